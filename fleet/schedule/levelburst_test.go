package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

// A burst of twice the capacity in which one in nine requests is urgent.
const (
	levelCapacity      = 78.0 // requests per second that the engines of burstSim decode
	levelBurstFrom     = 4 * time.Second
	levelBurstUntil    = 12 * time.Second
	levelEnd           = 20 * time.Second
	urgentOneIn        = 9
	urgentFirstToken   = 800 * time.Millisecond
	basicFirstToken    = 2 * time.Second
	maxQueueingPercent = 35 // of the time until the caller disconnects
	retryStep          = 100 * time.Millisecond
	levelMinRetry      = 2500 * time.Millisecond
	levelMaxRetry      = 5 * time.Second
	// minShare is the target of the design for first events in time.
	minShare = 0.95
)

func levelBurstRate(now time.Duration) float64 {
	switch {
	case now >= levelEnd:
		return 0
	case now >= levelBurstFrom && now < levelBurstUntil:
		return 2 * levelCapacity
	}
	return levelCapacity * 2 / 3
}

// tiers returns a function that makes some requests urgent and the others basic.
func tiers(isUrgent func(n int) bool) func(int, *message.SlotRequest) {
	return func(n int, m *message.SlotRequest) {
		m.Account = id.Account(rune('a' + n%7))
		m.Level, m.FirstToken = message.LevelOf(1), basicFirstToken
		if isUrgent(n) {
			m.Level, m.FirstToken = message.LevelOf(0), urgentFirstToken
		}
		m.MaxWait = 4 * m.FirstToken * maxQueueingPercent / 100
	}
}

func newLevelBurst(seed uint64, levels int) *burstSim {
	cfg := projectedConfig()
	cfg.ScanLimit, cfg.LaneScanLimit = 24, 12
	cfg.MinRetry, cfg.MaxRetry, cfg.RetrySpread = levelMinRetry, levelMaxRetry, 1250*time.Millisecond
	s := newBurstSim(cfg, 14, seed)
	schedule.SetLevels(s.cell, at(0), levels)
	s.rate, s.classify = levelBurstRate, tiers(func(n int) bool { return n%urgentOneIn == 0 })
	return s
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// TestLevelBurst guards against urgent requests that wait behind the others in a burst,
// against requests that are refused at the end of their queueing time although that was
// foreseeable, and against refused requests that return together.
func TestLevelBurst(t *testing.T) {
	for seed := range uint64(3) {
		off, on := newLevelBurst(seed, 0), newLevelBurst(seed, 2)
		for _, s := range []*burstSim{off, on} {
			s.run(false)
			t.Logf("seed %d, levels %t: urgent %+v, basic %+v", seed, s == on, s.byLevel[0], s.byLevel[1])
			t.Logf("at most %d retries in %v, after %v to %v", s.mostRetries, retryStep, s.retryMin, s.retryMax)
		}
		u := on.byLevel[0]
		assert.Assert(t, share(u.onTime, u.requested) >= minShare, "%+v", u)
		assert.Assert(t, share(on.refusedAtLimit, on.refusals) <= 1-minShare, "%+v", on.burstTally)
		assert.Assert(t, float64(on.mostRetries) <= levelCapacity*retryStep.Seconds()+1, "%d retries at a time", on.mostRetries)
		assert.Assert(t, on.retryMin >= levelMinRetry && on.retryMax <= levelMaxRetry, "%v to %v", on.retryMin, on.retryMax)
	}
}

// TestLowerLevelShare guards against a constant overload of urgent requests that starves
// the others, also those with large prompts.
func TestLowerLevelShare(t *testing.T) {
	s := newLevelBurst(1, 2)
	s.rate = func(time.Duration) float64 { return 3 * levelCapacity }
	s.classify = tiers(func(n int) bool { return n%3 != 0 })
	s.runUntil(levelBurstUntil, false)
	urgent, basic := s.byLevel[0].started, s.byLevel[1].started
	t.Logf("prompt tokens started: %d urgent, %d basic", urgent, basic)
	assert.Assert(t, float64(basic) >= 0.1*float64(basic+urgent), "%d of %d", basic, basic+urgent)
}
