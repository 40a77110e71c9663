package limit_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
)

// TestMain fixes the seed of randomised tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	if !set["rapid.seed"] {
		_ = flag.Set("rapid.seed", "1")
	}
	if !set["rapid.nofailfile"] {
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

func testConfig() limit.Config {
	cfg := limit.DefaultConfig()
	cfg.Zones = []id.Zone{"z1", "z2", "z3"}
	cfg.Groups = 3
	cfg.SlotRate = 60
	cfg.PooledLease = 3 * time.Second
	cfg.ReserveLease = 9 * time.Second
	cfg.Margin = 50 * time.Millisecond
	cfg.AskTimeout = 100 * time.Millisecond
	return cfg
}

func testBudgets() map[id.Account]limit.Budget {
	return map[id.Account]limit.Budget{"large": {Rate: 300, Burst: 600}, "small": {Rate: 50, Burst: 91}}
}

// fault is one disturbance of a randomised run.
type fault struct {
	kind, target int
	at, length   time.Duration
}

func drawFaults(t *rapid.T, end time.Duration) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:   rapid.IntRange(0, 5).Draw(t, "kind"),
			target: rapid.IntRange(0, 5).Draw(t, "target"),
			at:     time.Duration(rapid.IntRange(0, int(end/time.Millisecond)).Draw(t, "at-ms")) * time.Millisecond,
			length: time.Duration(rapid.IntRange(100, 15_000).Draw(t, "length-ms")) * time.Millisecond,
		}
	}), 0, 12).Draw(t, "faults")
}

func (w *world) inject(f fault) {
	h := w.hosts[f.target%len(w.hosts)]
	restart := func() {
		w.kill(h)
		w.start(h)
	}
	w.after(f.at, func() {
		switch f.kind {
		case 0:
			w.kill(h)
			w.after(f.length, restart)
		case 1:
			restart()
		case 2:
			w.pause(h, f.length)
		case 3:
			w.cut[h.zone] = true
			w.hostsChanged()
			w.after(f.length, func() { w.cut[h.zone] = false; w.hostsChanged() })
		case 4:
			w.down = true
			w.after(f.length, func() { w.down = false })
		case 5:
			w.drain(h)
			w.after(f.length, restart)
		}
	})
}

// boundBudgets holds an account whose burst lasts far longer than a lease and
// one whose buckets fill up within the time of a message.
func boundBudgets() map[id.Account]limit.Budget {
	return map[id.Account]limit.Budget{"slow": {Rate: 9, Burst: 601}, "fast": {Rate: 2000, Burst: 900}}
}

// TestBoundUnderFaults guards against any sequence of host, network and
// platform faults that lets an account exceed its rate and burst in a window.
// Floods around the faults spend every token that some host believes it has.
func TestBoundUnderFaults(t *testing.T) {
	t.Parallel()
	const end = 40 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Zones = cfg.Zones[:rapid.IntRange(2, 3).Draw(t, "zones")]
		cfg.Groups = rapid.IntRange(1, 2).Draw(t, "groups")
		w := newWorld(cfg, 2, boundBudgets(), rapid.Uint64().Draw(t, "seed"))
		w.faulty = rapid.Bool().Draw(t, "faulty")
		w.flap = rapid.Bool().Draw(t, "flap")
		waste := rapid.IntRange(0, 3).Draw(t, "waste-in")
		for _, f := range drawFaults(t, end) {
			w.inject(f)
			for _, at := range []time.Duration{f.at - time.Second, f.at, f.at + f.length, f.at + f.length + cfg.PooledLease} {
				if w.rnd.IntN(2) == 0 {
					w.floodAt(max(at, 0), waste)
				}
			}
		}
		for at := 2 * time.Second; at < end; at += 7 * time.Second {
			w.floodAt(at, waste)
		}
		for at := time.Second; at <= end; at += time.Second {
			w.run(at)
			assert.NilError(t, w.err)
			assert.NilError(t, w.checkWindows())
		}
	})
}

// floodAt lets both accounts of boundBudgets flood all hosts for a while.
func (w *world) floodAt(at time.Duration, wasteIn int) {
	at += time.Duration(w.rnd.IntN(300)) * time.Millisecond
	length := time.Duration(50+w.rnd.IntN(250)) * time.Millisecond
	for _, account := range []id.Account{"fast", "slow"} {
		t := traffic{account: account, most: w.budgets[account].Burst / 12, hold: 3 * time.Second, wasteIn: wasteIn}
		for _, h := range w.hosts {
			for d := time.Duration(0); d < length; d += 12 * time.Millisecond {
				w.after(at+d, func() { w.arrive(t, h) })
			}
		}
	}
}

// TestBoundUnderRefunds guards against refunds and late gifts that let an
// account exceed its rate and burst. Long requests of all sizes leave random
// parts unused while buckets refill, and messages take long against the refill.
func TestBoundUnderRefunds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Zones = cfg.Zones[:2]
		cfg.Groups = 1
		cfg.ReserveShare = 0
		budgets := map[id.Account]limit.Budget{"slow": {Rate: 20, Burst: 60}, "fast": {Rate: 3000, Burst: 400}}
		w := newWorld(cfg, 1, budgets, rapid.Uint64().Draw(t, "seed"))
		w.faulty = rapid.Bool().Draw(t, "faulty")
		w.run(4 * time.Second)
		load := time.Duration(rapid.IntRange(20, 200).Draw(t, "load-percent"))
		most := rapid.Int64Range(10, 40).Draw(t, "largest")
		w.drive(traffic{account: "slow", every: time.Second * 100 / load, most: most, hold: 4 * time.Second, wasteIn: 1, hosts: w.hosts})
		w.drive(traffic{account: "fast", every: 25 * time.Millisecond * 100 / load, most: 5 * most, hold: 100 * time.Millisecond, wasteIn: 3, hosts: w.hosts})
		w.run(34 * time.Second)
		assert.NilError(t, w.err)
		assert.NilError(t, w.checkWindows())
	})
}

// TestSkewedLoad guards against refusals of an account that is well within its
// rate, but sends all of its requests to one host.
func TestSkewedLoad(t *testing.T) {
	w := newWorld(testConfig(), 3, testBudgets(), 7)
	w.run(3 * time.Second)
	one := w.hosts[:1]
	w.drive(traffic{account: "large", every: 105 * time.Millisecond, most: 50, hold: time.Second, hosts: one})
	w.drive(traffic{account: "small", every: 165 * time.Millisecond, most: 12, hold: time.Second, hosts: one})
	w.run(303 * time.Second)
	assert.NilError(t, w.err)
	assert.NilError(t, w.checkWindows())
	t.Logf("%d requests, %d refused, %d of them within the rate, %.2f messages per request",
		w.requests, w.refused, w.unfair, float64(w.sent)/float64(w.requests))
	assert.Assert(t, w.unfair*100 <= w.requests, "%d of %d refused within the rate", w.unfair, w.requests)
}

// TestOverload guards against a flood of asks for an account that is plainly
// over its rate, and against wasting the rate that it has.
func TestOverload(t *testing.T) {
	w := newWorld(testConfig(), 3, testBudgets(), 8)
	w.run(3 * time.Second)
	w.drive(traffic{account: "large", every: 8 * time.Millisecond, most: 50, hosts: w.hosts})
	w.run(63 * time.Second)
	assert.NilError(t, w.err)
	assert.NilError(t, w.checkWindows())
	var admitted int64
	for _, u := range w.charges["large"] {
		admitted += u.tokens
	}
	share := float64(admitted) / (60*300 + 600)
	perRequest := float64(w.sent) / float64(w.requests)
	t.Logf("offered 10 times the rate: %.3f of rate and burst admitted, %.2f messages per request", share, perRequest)
	assert.Assert(t, share > 0.9)
	assert.Assert(t, perRequest < 1)
}
