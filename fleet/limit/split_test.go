package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/limit"
)

// TestLeaseSplit guards against a reserve share and lease durations with which a host
// crash causes many refusals, or with which the reserve becomes unusable during a long
// platform outage. The figures are recorded in docs/decisions/0001-lease-split.md.
func TestLeaseSplit(t *testing.T) {
	t.Parallel()
	settings := []struct {
		share           float64
		pooled, reserve time.Duration
	}{
		{0.25, 20 * time.Second, 10 * time.Minute},
		{0.5, 20 * time.Second, 10 * time.Minute},
		{0.75, 20 * time.Second, 10 * time.Minute},
		{0.5, 10 * time.Second, 10 * time.Minute},
		{0.5, 20 * time.Second, 20 * time.Minute},
	}
	for _, set := range settings {
		cfg := testConfig()
		cfg.Groups, cfg.Margin = 8, limit.DefaultConfig().Margin
		cfg.ReserveShare, cfg.PooledLease, cfg.ReserveLease = set.share, set.pooled, set.reserve
		crash := crashRefusals(t, cfg)
		early, late := outageShares(t, cfg)
		t.Logf("reserve %.2f, leases %v/%v: crash %.2f%% refused within the rate; outage min 1-4 %.2f, min 11-14 %.2f of offered admitted",
			set.share, set.pooled, set.reserve, crash*100, early, late)
		assert.Assert(t, crash < 0.2)
		assert.Assert(t, early > set.share/0.8*0.9)
	}
}

func startLoad(sim *simulation, meanInterval time.Duration) {
	sim.run(3 * time.Second)
	sim.generate(traffic{account: "large", meanInterval: meanInterval, maxRequestTokens: 50, maxDuration: time.Second, hosts: sim.hosts})
}

// crashRefusals returns the fraction of requests that were refused although they were
// within the rate, in the 9 minutes after the busiest of nine hosts dies. The load is
// 95% of the rate.
func crashRefusals(t *testing.T, cfg limit.Config) float64 {
	sim := newSimulation(cfg, 3, testBudgets(), 11)
	startLoad(sim, 89*time.Millisecond)
	sim.run(2 * time.Minute)
	requests, refusedWithinRate := sim.requests, sim.refusedWithinRate
	sim.kill(sim.hosts[sim.busiest()])
	sim.run(11 * time.Minute)
	assert.NilError(t, sim.err)
	assert.NilError(t, sim.checkWindows())
	return float64(sim.refusedWithinRate-refusedWithinRate) / float64(sim.requests-requests)
}

// busiest returns the index of the host that sent the most token transfers.
func (sim *simulation) busiest() int {
	best := 0
	for i, h := range sim.hosts {
		if h.transfersSent > sim.hosts[best].transfersSent {
			best = i
		}
	}
	return best
}

// outageShares returns the fraction of requests admitted in minutes 1 to 4 and 11 to 14
// of a platform outage. The load is 80% of the rate.
func outageShares(t *testing.T, cfg limit.Config) (early, late float64) {
	sim := newSimulation(cfg, 3, testBudgets(), 12)
	startLoad(sim, 106*time.Millisecond)
	sim.run(2 * time.Minute)
	sim.platformDown = true
	share := func(from, to time.Duration) float64 {
		sim.run(2*time.Minute + from)
		requests, refused := sim.requests, sim.refused
		sim.run(2*time.Minute + to)
		return 1 - float64(sim.refused-refused)/float64(sim.requests-requests)
	}
	early = share(time.Minute, 4*time.Minute)
	late = share(11*time.Minute, 14*time.Minute)
	assert.NilError(t, sim.err)
	assert.NilError(t, sim.checkWindows())
	return early, late
}
