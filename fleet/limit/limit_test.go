package limit_test

import (
	"flag"
	"maps"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
)

// TestMain fixes the seed of randomized tests unless the command line sets one.
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
	cfg.TokenRequestTimeout = 100 * time.Millisecond
	return cfg
}

func testBudgets() map[id.Account]limit.Budget {
	return map[id.Account]limit.Budget{"large": {Rate: 300, Burst: 600}, "small": {Rate: 50, Burst: 91}}
}

// fault is one fault that a randomized test injects.
type fault struct {
	kind, target int
	at, length   time.Duration
}

// The numbers of kinds of faults, without and with restores of the platform.
const (
	faultKinds            = 6
	faultKindsWithRestore = 7
)

func drawFaults(t *rapid.T, end time.Duration, kinds int) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:   rapid.IntRange(0, kinds-1).Draw(t, "kind"),
			target: rapid.IntRange(0, 5).Draw(t, "target"),
			at:     time.Duration(rapid.IntRange(0, int(end/time.Millisecond)).Draw(t, "at-ms")) * time.Millisecond,
			length: time.Duration(rapid.IntRange(100, 15_000).Draw(t, "length-ms")) * time.Millisecond,
		}
	}), 0, 12).Draw(t, "faults")
}

func (sim *simulation) inject(f fault) {
	h := sim.hosts[f.target%len(sim.hosts)]
	restart := func() {
		sim.kill(h)
		sim.start(h)
	}
	sim.after(f.at, func() {
		switch f.kind {
		case 0:
			sim.kill(h)
			sim.after(f.length, restart)
		case 1:
			restart()
		case 2:
			sim.pause(h, f.length)
		case 3:
			sim.partitioned[h.zone] = true
			sim.hostsChanged()
			sim.after(f.length, func() { sim.partitioned[h.zone] = false; sim.hostsChanged() })
		case 4:
			sim.platformDown = true
			sim.after(f.length, func() { sim.platformDown = false })
		case 5:
			sim.drain(h)
			sim.after(f.length, restart)
		case 6:
			sim.drain(h)
			sim.after(150*time.Millisecond, func() { sim.restoreAfter(f.length, restart) })
		}
	})
}

// restoreAfter brings the platform back from a copy of now, once all groups have been held,
// and then calls restart. If a host has just released its parts, the copy shows them as free
// although others have acquired them since.
func (sim *simulation) restoreAfter(d time.Duration, restart func()) {
	older := maps.Clone(sim.objects)
	sim.after(d, func() {
		if len(older) == len(sim.cfg.Zones)*sim.cfg.Groups {
			sim.era++
			sim.objects = older
		}
		restart()
	})
}

// boundBudgets returns budgets for an account whose burst takes far longer than a lease
// to refill, and for one whose buckets refill within the latency of a message.
func boundBudgets() map[id.Account]limit.Budget {
	return map[id.Account]limit.Budget{"slow": {Rate: 9, Burst: 601}, "fast": {Rate: 2000, Burst: 900}}
}

// TestBoundUnderFaults guards against a sequence of host, network and platform faults
// that lets an account exceed its rate and burst in a window. Request bursts around the
// faults spend every token that any host considers available.
func TestBoundUnderFaults(t *testing.T) {
	t.Parallel()
	checkBound(t, faultKinds)
}

// TestBoundAfterRestore guards against the same when the platform also comes back from older
// copies, which name earlier holders, and in which versions are given out again.
func TestBoundAfterRestore(t *testing.T) {
	t.Parallel()
	checkBound(t, faultKindsWithRestore)
}

func checkBound(t *testing.T, kinds int) {
	const end = 40 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Zones = cfg.Zones[:rapid.IntRange(2, 3).Draw(t, "zones")]
		cfg.Groups = rapid.IntRange(1, 2).Draw(t, "groups")
		sim := newSimulation(cfg, 2, boundBudgets(), rapid.Uint64().Draw(t, "seed"))
		if kinds == faultKindsWithRestore {
			sim.era = 1
		}
		sim.faulty = rapid.Bool().Draw(t, "faulty")
		sim.wrongHosts = rapid.Bool().Draw(t, "wrong-hosts")
		partialUse := rapid.IntRange(0, 3).Draw(t, "partial-use-in")
		for _, f := range drawFaults(t, end, kinds) {
			sim.inject(f)
			for _, at := range []time.Duration{f.at - time.Second, f.at, f.at + f.length, f.at + f.length + cfg.PooledLease} {
				if sim.rnd.IntN(2) == 0 {
					sim.burstAt(max(at, 0), partialUse)
				}
			}
		}
		for at := 2 * time.Second; at < end; at += 7 * time.Second {
			sim.burstAt(at, partialUse)
		}
		for at := time.Second; at <= end; at += time.Second {
			sim.run(at)
			assert.NilError(t, sim.err)
			assert.NilError(t, sim.checkWindows())
		}
	})
}

// burstAt sends a short burst of requests of both accounts of boundBudgets to all hosts.
func (sim *simulation) burstAt(at time.Duration, partialUseIn int) {
	at += time.Duration(sim.rnd.IntN(300)) * time.Millisecond
	length := time.Duration(50+sim.rnd.IntN(250)) * time.Millisecond
	for _, account := range []id.Account{"fast", "slow"} {
		t := traffic{account: account, maxRequestTokens: sim.budgets[account].Burst / 12, maxDuration: 3 * time.Second, partialUseIn: partialUseIn}
		for _, h := range sim.hosts {
			for d := time.Duration(0); d < length; d += 12 * time.Millisecond {
				sim.after(at+d, func() { sim.arrive(t, h) })
			}
		}
	}
}

// TestBoundUnderRefunds guards against refunds and late transfers that let an account
// exceed its rate and burst. Long requests of all sizes leave random amounts unused
// while buckets refill, and message latency is long compared with the refill time.
func TestBoundUnderRefunds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Zones = cfg.Zones[:2]
		cfg.Groups = 1
		cfg.ReserveShare = 0
		budgets := map[id.Account]limit.Budget{"slow": {Rate: 20, Burst: 60}, "fast": {Rate: 3000, Burst: 400}}
		sim := newSimulation(cfg, 1, budgets, rapid.Uint64().Draw(t, "seed"))
		sim.faulty = rapid.Bool().Draw(t, "faulty")
		sim.run(4 * time.Second)
		load := time.Duration(rapid.IntRange(20, 200).Draw(t, "load-percent"))
		maxRequestTokens := rapid.Int64Range(10, 40).Draw(t, "largest")
		sim.generate(traffic{account: "slow", meanInterval: time.Second * 100 / load, maxRequestTokens: maxRequestTokens, maxDuration: 4 * time.Second, partialUseIn: 1, hosts: sim.hosts})
		sim.generate(traffic{account: "fast", meanInterval: 25 * time.Millisecond * 100 / load, maxRequestTokens: 5 * maxRequestTokens, maxDuration: 100 * time.Millisecond, partialUseIn: 3, hosts: sim.hosts})
		sim.run(34 * time.Second)
		assert.NilError(t, sim.err)
		assert.NilError(t, sim.checkWindows())
	})
}

// TestSkewedLoad guards against refusing an account that is well within its rate but
// sends all of its requests to one host.
func TestSkewedLoad(t *testing.T) {
	sim := newSimulation(testConfig(), 3, testBudgets(), 7)
	sim.run(3 * time.Second)
	one := sim.hosts[:1]
	sim.generate(traffic{account: "large", meanInterval: 105 * time.Millisecond, maxRequestTokens: 50, maxDuration: time.Second, hosts: one})
	sim.generate(traffic{account: "small", meanInterval: 165 * time.Millisecond, maxRequestTokens: 12, maxDuration: time.Second, hosts: one})
	sim.run(303 * time.Second)
	assert.NilError(t, sim.err)
	assert.NilError(t, sim.checkWindows())
	t.Logf("%d requests, %d refused, %d of them within the rate, %.2f messages per request",
		sim.requests, sim.refused, sim.refusedWithinRate, float64(sim.sent)/float64(sim.requests))
	assert.Assert(t, sim.refusedWithinRate*100 <= sim.requests, "%d of %d refused within the rate", sim.refusedWithinRate, sim.requests)
}

// TestOverload guards against excessive TokenRequest messages for an account that is far
// above its rate, and against admitting less than its rate.
func TestOverload(t *testing.T) {
	sim := newSimulation(testConfig(), 3, testBudgets(), 8)
	sim.run(3 * time.Second)
	sim.generate(traffic{account: "large", meanInterval: 8 * time.Millisecond, maxRequestTokens: 50, hosts: sim.hosts})
	sim.run(63 * time.Second)
	assert.NilError(t, sim.err)
	assert.NilError(t, sim.checkWindows())
	var admitted int64
	for _, u := range sim.charges["large"] {
		admitted += u.tokens
	}
	share := float64(admitted) / (60*300 + 600)
	perRequest := float64(sim.sent) / float64(sim.requests)
	t.Logf("offered 10 times the rate: %.3f of rate and burst admitted, %.2f messages per request", share, perRequest)
	assert.Assert(t, share > 0.9)
	assert.Assert(t, perRequest < 1)
}
