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

// TestBoundUnderFaults guards against any sequence of host, network and
// platform faults that lets an account exceed its rate and burst in a window.
func TestBoundUnderFaults(t *testing.T) {
	const end = 40 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(testConfig(), 2, testBudgets(), rapid.Uint64().Draw(t, "seed"))
		w.faulty = rapid.Bool().Draw(t, "faulty")
		w.flap = rapid.Bool().Draw(t, "flap")
		for _, f := range drawFaults(t, end) {
			w.inject(f)
		}
		load := time.Duration(rapid.IntRange(30, 300).Draw(t, "load-percent"))
		large := traffic{account: "large", every: 250 * time.Millisecond * 100 / load, most: 150, hold: 4 * time.Second, wasteIn: 1, hosts: w.hosts}
		small := traffic{account: "small", every: 400 * time.Millisecond * 100 / load, most: 40, hold: 4 * time.Second, wasteIn: 1, hosts: w.hosts}
		if rapid.Bool().Draw(t, "bursts") {
			large.pause, small.pause = 5*time.Second, 4*time.Second
		}
		w.drive(large)
		w.drive(small)
		for at := time.Second; at <= end; at += time.Second {
			w.run(at)
			assert.NilError(t, w.err)
			assert.NilError(t, w.checkWindows())
		}
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
