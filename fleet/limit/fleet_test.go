package limit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
)

// maxRefusedWithinRate is the share of requests that may be refused although their account
// is within its rate and burst.
const maxRefusedWithinRate = 0.001

// newFleet returns 195 hosts, 15 of which may hold leases, with 19 accounts whose requests
// are generations of a few thousand tokens and small calls. The last three accounts are
// large. load is the share of its rate that an account uses.
func newFleet(cfg limit.Config, load float64, seed uint64) *simulation {
	const hosts, strong, accounts, large = 195, 15, 19, 3
	budgets := make(map[id.Account]limit.Budget)
	for i := range accounts {
		rate := int64(47_000)
		if i >= accounts-large {
			rate *= 3
		}
		budgets[id.Account(fmt.Sprintf("acc-%02d", i))] = cfg.Tolerance.Widen(limit.Budget{Rate: rate, Burst: rate})
	}
	sim := newSimulation(cfg, hosts, budgets, seed)
	sim.strong = strong
	for account, b := range budgets {
		const generation, small, smallPerGeneration = 6600, 400, 3
		perSecond := load * float64(b.Rate) / (generation/2 + smallPerGeneration*small/2)
		t := traffic{
			account: account, maxRequestTokens: generation, maxDuration: time.Second, hosts: sim.hosts,
			meanInterval: time.Duration(float64(time.Second) / perSecond),
		}
		sim.generate(t)
		t.maxRequestTokens = small
		t.meanInterval /= smallPerGeneration
		sim.generate(t)
	}
	return sim
}

// fleetConfig returns the settings of the users' deployments.
func fleetConfig() limit.Config {
	cfg := limit.DefaultConfig()
	cfg.Zones = []id.Zone{"z"}
	cfg.Groups = 16
	cfg.SlotRate = 6000
	cfg.PooledLease = 20 * time.Second
	cfg.ReserveLease = time.Minute
	cfg.SettleDelay = 100 * time.Millisecond
	cfg.Reclaim = true
	cfg.Tolerance = limit.Tolerance{Window: 8 * time.Second, Overrun: 0.1, OverrunSlack: 190_000}
	return cfg
}

// TestLargeFleet guards against requests that are refused although their account is within
// its rate, because its tokens lie with many hosts and each of them has too few. The load is
// a large fleet whose accounts use six tenths of their rates. In the second half two
// holders are lost, and their shares with them until their leases end.
func TestLargeFleet(t *testing.T) {
	sim := newFleet(fleetConfig(), 0.6, 1)
	sim.run(5 * time.Second) // until the leases are held
	sim.requests, sim.refused, sim.refusedWithinRate = 0, 0, 0
	sim.run(15 * time.Second)
	t.Logf("%d requests, %d refused, %d within the rate, %d messages", sim.requests, sim.refused, sim.refusedWithinRate, sim.sent)
	assert.NilError(t, sim.err)
	assert.Assert(t, float64(sim.refusedWithinRate) <= maxRefusedWithinRate*float64(sim.requests))
	sim.kill(sim.hosts[1])
	sim.kill(sim.hosts[2])
	sim.requests, sim.refused, sim.refusedWithinRate, sim.sent = 0, 0, 0, 0
	sim.run(25 * time.Second)
	t.Logf("two holders lost: %d requests, %d refused, %d within the rate, %d messages", sim.requests, sim.refused, sim.refusedWithinRate, sim.sent)
	assert.NilError(t, sim.err)
	assert.NilError(t, sim.checkWindows())
	assert.Assert(t, float64(sim.refusedWithinRate) <= maxRefusedWithinRate*float64(sim.requests))
}
