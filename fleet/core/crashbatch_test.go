package core_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

const (
	batchInterval = 8 * time.Second
	batchPrefills = 4
	newSegment    = id.Segment(0x3000)
)

// newBatchFleet returns a relayFleet with enough prefill engines to begin a batch at once.
func newBatchFleet(t *testing.T, seed uint64) *relayFleet {
	f := newRelayFleet(t)
	f.prefills = batchPrefills
	f.rng = rand.New(rand.NewPCG(seed, 5))
	f.publishTable()
	return f
}

// sendBatches advances the clock while n crashing requests arrive at the same moment every
// batchInterval, beside sound ones.
func (f *relayFleet) sendBatches(d time.Duration, n int, segments func(crashing bool) []id.Segment) {
	for end := f.now.Add(d); f.now.Before(end); {
		for range n {
			f.sendRequest("crash", segments(true))
		}
		f.advance(batchInterval, 0, segments)
	}
}

// TestCrashingBatches guards against taking engines that end at the same moment, because
// requests with the crashing segment have arrived together, for a failed rack.
func TestCrashingBatches(t *testing.T) {
	for name, mix := range crashMixes() {
		for _, batch := range []int{5, 10, 24} {
			for _, restart := range []time.Duration{2 * time.Second, 6 * time.Second} {
				t.Run(fmt.Sprintf("%s/%d/%s", name, batch, restart), func(t *testing.T) {
					t.Parallel()
					f := newBatchFleet(t, uint64(batch))
					f.restart = restart
					segments := func(crashing bool) []id.Segment { return mix(crashing, 0x1000+id.Segment(f.sent)) }
					f.advance(10*time.Second, 0, segments)
					start := f.now
					f.sendBatches(4*batchInterval, batch, segments)
					end := f.now
					f.advance(2*time.Second, 0, nil)
					assert.Assert(t, f.reachedAfterLimit() <= maxAfter, "%d requests reached an engine, %d engines ended, refused %v",
						f.reachedAfterLimit(), len(f.deaths), f.refused)
					share := f.begunShare(start.Add(2*contactTime+5*time.Second), end)
					assert.Assert(t, share >= 0.95, "%.3f of the sound requests were served, refused %v", share, f.refused)
				})
			}
		}
	}
}

// TestCrashingBatchesRestarts guards against needing more batches than a host lives: the hosts
// start again one after the other, and each forgets the reports that it had.
func TestCrashingBatchesRestarts(t *testing.T) {
	f := newBatchFleet(t, 1)
	f.restart = 6 * time.Second
	segments := func(crashing bool) []id.Segment {
		if crashing {
			return []id.Segment{sharedSegment, crashingSegment}
		}
		return []id.Segment{sharedSegment}
	}
	f.advance(10*time.Second, 0, segments)
	for n := range 32 {
		if n%8 == 0 {
			for range 10 {
				f.sendRequest("crash", segments(true))
			}
		}
		f.advance(500*time.Millisecond, 0, segments)
		f.startHost(f.names[n%len(f.names)], id.Incarnation(n+2))
		f.advance(500*time.Millisecond, 0, segments)
	}
	assert.Assert(t, f.reachedAfterLimit() <= maxAfter, "%d requests reached an engine, %d engines ended, refused %v",
		f.reachedAfterLimit(), len(f.deaths), f.refused)
}

// TestZonePowerLoss guards against refusing requests because most engines, all of one zone, lose
// power at the same moment while many requests with the same new segment begin.
func TestZonePowerLoss(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newBatchFleet(t, seed)
			for _, address := range f.engines {
				f.azs[address] = relayAZs[0]
			}
			f.publishTable()
			shared := func(bool) []id.Segment { return []id.Segment{sharedSegment} }
			f.advance(5*time.Second, 0, shared)
			for range 3 * relayEngines {
				f.sendRequest("sound", []id.Segment{sharedSegment, newSegment})
			}
			f.advance(150*time.Millisecond, 0, shared)
			under := 0
			for _, ep := range f.liveEngines() {
				if len(f.running[ep]) > 0 {
					under++
				}
				f.endEngine(ep)
			}
			assert.Assert(t, under >= maxSpared, "%d engines had runs", under)
			f.advance(10*time.Second, 0, func(bool) []id.Segment { return []id.Segment{sharedSegment, newSegment} })
			assert.Equal(t, f.refused[core.CodeQuarantined], 0, "refused %v", f.refused)
		})
	}
}
