package core_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/fake"
)

// TestMain fixes the seed and the number of randomised runs, so that the result of the
// tests is reproducible. Flags on the command line override the defaults.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	warmUp    = 5 * time.Second
	loadEnd   = 35 * time.Second
	runEnd    = 90 * time.Second
	heldBound = 20 * time.Second // engine memory must be freed within this time after the end of a call
)

// shortLeases shortens the leases, so that they expire several times within a run.
func shortLeases(cfg *core.Config) {
	cfg.Limit.PooledLease = 3 * time.Second
	cfg.Limit.ReserveLease = 8 * time.Second
	cfg.Order.Lease = 3 * time.Second
}

func drawFaults(t *rapid.T) []fake.Fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fake.Fault {
		return fake.Fault{
			Kind:       fake.FaultKind(rapid.IntRange(0, int(fake.FaultWithdrawKey)).Draw(t, "kind")),
			At:         time.Duration(rapid.IntRange(2000, 33000).Draw(t, "at-ms")) * time.Millisecond,
			ActiveTime: time.Duration(rapid.IntRange(100, 14000).Draw(t, "for-ms")) * time.Millisecond,
			Target:     rapid.IntRange(0, 30).Draw(t, "target"),
		}
	}), 0, 12).Draw(t, "faults")
}

// mixedLoad generates load near the capacity of the deployment, with one client account
// above its rate, cancelled calls and repeated non-idempotent calls.
func mixedLoad(sim *fake.Simulation) {
	interactive := fake.RequestStream{
		Account: "large-1", Route: fake.RouteInteractive, Rate: 12, From: warmUp, To: loadEnd,
		PromptMin: 50, PromptMax: 400, OutputMin: 10, OutputMax: 80, OutputLimit: 100, Cancel: 0.1,
	}
	deferrable := fake.RequestStream{
		Account: "large-2", Route: fake.RouteDeferrable, Rate: 3, From: warmUp, To: loadEnd,
		PromptMin: 1000, PromptMax: 20000, OutputMin: 50, OutputMax: 300, OutputLimit: 400, Cancel: 0.1,
	}
	over := deferrable
	over.Account, over.Rate = "small-1", 4
	once := fake.RequestStream{
		Account: "small-2", Route: fake.RouteOnce, Rate: 6, From: warmUp, To: loadEnd,
		PromptMin: 5, PromptMax: 20, Cancel: 0.1, RepeatProbability: 0.4,
	}
	for _, stream := range []fake.RequestStream{interactive, deferrable, over, once} {
		sim.Generate(stream)
	}
}

// TestRandomFaults runs nine decision cores with random faults. It checks every
// invariant in "What must always hold" that is visible from outside: rate and burst in
// every window, complete responses without duplicates, correct not-run marks on
// refusals, at most one run of a non-idempotent call, no leaked engine memory, and the
// same table version on all hosts.
func TestRandomFaults(t *testing.T) {
	runs, events := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		cfg := fake.Tallinn().Config(rapid.Uint64().Draw(t, "seed"))
		cfg.Tune = shortLeases
		sim, err := fake.New(cfg)
		assert.NilError(t, err)
		for _, f := range drawFaults(t) {
			sim.Inject(f)
		}
		mixedLoad(sim)
		assert.NilError(t, sim.Run(runEnd))
		checkRun(t, sim)
		runs++
		events += sim.Steps()
	})
	t.Logf("%d runs, %d events reduced", runs, events)
}

func checkRun(t assert.TestingT, sim *fake.Simulation) {
	assert.NilError(t, sim.CheckRates())
	assert.Equal(t, len(sim.RepeatedExecutions()), 0, "non-idempotent calls ran twice: %v", sim.RepeatedExecutions())
	for _, h := range sim.OrphanedRuns() {
		assert.Assert(t, sim.Now().Sub(h.Since) < heldBound, "%s still holds memory for %s", h.Endpoint, h.Request)
	}
	for _, c := range sim.Calls() {
		rec, _ := sim.Explain(c)
		assert.Assert(t, c.Result != fake.ResultOpen, "call %s on %s has no end: %+v", c.Request, c.Host, rec)
	}
	var version uint64
	for _, h := range sim.Hosts() {
		if !sim.Alive(h) {
			continue
		}
		if version == 0 {
			version = sim.Version(h)
		}
		assert.Equal(t, sim.Version(h), version, "host %s", h)
	}
}
