package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// TestZonesFailTogether guards against refusing requests for an hour because the engines of two
// zones end together while many requests with the same new segment begin.
func TestZonesFailTogether(t *testing.T) {
	const (
		interval = 5 * time.Millisecond   // between the ends of two engines
		recovery = 10 * time.Second       // within which requests are served again
		known    = 20 * time.Second       // how long requests are watched afterwards
		begin    = 150 * time.Millisecond // after which runs have begun on all engines
	)
	for _, c := range []struct {
		engines int
		restart time.Duration
	}{
		{5, engineRestart},
		{5, 6 * time.Second},
		{relayEngines, 2 * time.Second},
		{relayEngines, engineRestart},
		{relayEngines, 6 * time.Second},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d/%s/%d", c.engines, c.restart, seed), func(t *testing.T) {
				t.Parallel()
				f := newBatchFleet(t, seed)
				f.restart = c.restart
				f.keepEngines(c.engines, relayAZs[:2])
				f.advance(5*time.Second, 0, func(bool) []id.Segment { return []id.Segment{sharedSegment} })
				segments := func(bool) []id.Segment { return []id.Segment{newSegment, 0x5000 + id.Segment(f.sent)} }
				for range 3 * c.engines {
					f.sendRequest("sound", segments(false))
				}
				f.advance(begin, 0, nil)
				for _, ep := range f.liveEngines() {
					assert.Assert(t, len(f.running[ep]) > 0, "no run on %s", ep)
					f.endEngine(ep)
					f.now = f.now.Add(interval)
				}
				f.advance(recovery, 0, segments)
				clear(f.refused)
				start := f.now
				f.advance(known, 0, segments)
				assert.Equal(t, f.refused[core.CodeQuarantined], 0, "refused %v", f.refused)
				share := f.begunShare(start, f.now.Add(-2*time.Second))
				assert.Assert(t, share >= 0.95, "%.3f of the requests were served, refused %v", share, f.refused)
			})
		}
	}
}

// keepEngines removes all but n engines, which are in the given zones in turn.
func (f *relayFleet) keepEngines(n int, azs []id.Zone) {
	for i, ep := range f.liveEngines() {
		if i < n {
			f.azs[f.engines[ep]] = azs[i%len(azs)]
		} else {
			delete(f.engines, ep)
		}
	}
	f.publishTable()
}

// TestProbesOfNextArbiter guards against engines that end under further probes because the
// arbiter has ended, and against a sound segment that stays quarantined because of it.
func TestProbesOfNextArbiter(t *testing.T) {
	const batch = 10
	for _, kind := range []string{"crash", "sound"} {
		for _, ended := range newRelayFleet(t).names {
			t.Run(fmt.Sprintf("%s/%s", kind, ended), func(t *testing.T) {
				t.Parallel()
				f := newBatchFleet(t, batch)
				segment := map[string]id.Segment{"crash": crashingSegment, "sound": newSegment}[kind]
				for range batch {
					f.sendRequest(kind, []id.Segment{segment})
				}
				f.advance(150*time.Millisecond, 0, nil)
				if kind == "sound" {
					for _, ep := range f.liveEngines() {
						f.endEngine(ep)
					}
				}
				f.advance(time.Second, 0, nil)
				f.endHost(ended)
				for range 600 {
					f.sendRequest(kind, []id.Segment{segment})
					f.advance(50*time.Millisecond, 0, nil)
				}
				assert.Assert(t, f.reachedAfterLimit() <= maxAfter, "%d requests reached an engine, %d engines ended",
					f.reachedAfterLimit(), len(f.deaths))
				assert.Assert(t, f.refused[core.CodeQuarantined] > 0, "not quarantined")
				clear(f.refused)
				for range 20 {
					f.sendRequest(kind, []id.Segment{segment})
				}
				assert.Equal(t, f.refused[core.CodeQuarantined] > 0, kind == "crash", "refused %v", f.refused)
			})
		}
	}
}
