package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/limit"
)

// TestLeaseSplit guards the choice of reserve share and lease lengths: a crash
// must cost few refusals, and a long outage must leave the reserve in use. The
// figures are recorded in docs/decisions/0001-lease-split.md.
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

func loadAll(w *world, every time.Duration) {
	w.run(3 * time.Second)
	w.drive(traffic{account: "large", every: every, most: 50, hold: time.Second, hosts: w.hosts})
}

// crashRefusals returns the share of requests refused although within the rate
// in the 9 minutes after the busiest host of nine dies, at 95% of the rate.
func crashRefusals(t *testing.T, cfg limit.Config) float64 {
	w := newWorld(cfg, 3, testBudgets(), 11)
	loadAll(w, 89*time.Millisecond)
	w.run(2 * time.Minute)
	requests, unfair := w.requests, w.unfair
	w.kill(w.hosts[w.busiest()])
	w.run(11 * time.Minute)
	assert.NilError(t, w.err)
	assert.NilError(t, w.checkWindows())
	return float64(w.unfair-unfair) / float64(w.requests-requests)
}

// busiest returns the index of the host that answered most asks.
func (w *world) busiest() int {
	best := 0
	for i, h := range w.hosts {
		if h.gave > w.hosts[best].gave {
			best = i
		}
	}
	return best
}

// outageShares returns the share of requests admitted in the minutes 1 to 4 and
// 11 to 14 of a platform outage, at 80% of the rate.
func outageShares(t *testing.T, cfg limit.Config) (early, late float64) {
	w := newWorld(cfg, 3, testBudgets(), 12)
	loadAll(w, 106*time.Millisecond)
	w.run(2 * time.Minute)
	w.down = true
	share := func(from, to time.Duration) float64 {
		w.run(2*time.Minute + from)
		requests, refused := w.requests, w.refused
		w.run(2*time.Minute + to)
		return 1 - float64(w.refused-refused)/float64(w.requests-requests)
	}
	early = share(time.Minute, 4*time.Minute)
	late = share(11*time.Minute, 14*time.Minute)
	assert.NilError(t, w.err)
	assert.NilError(t, w.checkWindows())
	return early, late
}
