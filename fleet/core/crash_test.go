package core_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// crashMixes are the ways in which prompts share segments with crashing ones. n is different
// for each request.
func crashMixes() map[string]func(crashing bool, n id.Segment) []id.Segment {
	return map[string]func(crashing bool, n id.Segment) []id.Segment{
		"after a shared segment": func(crashing bool, n id.Segment) []id.Segment {
			if crashing {
				return []id.Segment{sharedSegment, crashingSegment}
			}
			return []id.Segment{sharedSegment, n}
		},
		"after a rare segment": func(crashing bool, n id.Segment) []id.Segment {
			if crashing {
				return []id.Segment{n % 50, crashingSegment}
			}
			return []id.Segment{n % 50}
		},
		"first of the prompt": func(crashing bool, n id.Segment) []id.Segment {
			if crashing {
				return []id.Segment{crashingSegment, sharedSegment, n % 50}
			}
			return []id.Segment{n % 50, sharedSegment}
		},
	}
}

// reachedAfterLimit returns how many calls with crashingSegment have reached an engine later
// than contactTime after the death of maxSpared engines.
func (f *relayFleet) reachedAfterLimit() int {
	if len(f.deaths) < maxSpared {
		return 0
	}
	limit := f.deaths[maxSpared-1].Add(contactTime)
	n := 0
	for _, at := range f.reached {
		if at.After(limit) {
			n++
		}
	}
	return n
}

// begunShare returns the share of the sound requests sent in [from, to) whose answer has
// begun.
func (f *relayFleet) begunShare(from, to time.Time) float64 {
	sent, begun := 0, 0
	for req, at := range f.sentAt {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		sent++
		if _, ok := f.begun[req]; ok {
			begun++
		}
	}
	return float64(begun) / float64(max(sent, 1))
}

// TestCrashingSegment guards against a segment of prompts that ends engine after engine, and
// against refusing the requests that have other segments in common with it.
func TestCrashingSegment(t *testing.T) {
	for name, mix := range crashMixes() {
		t.Run(name, func(t *testing.T) {
			f := newRelayFleet(t)
			segments := func(crashing bool) []id.Segment { return mix(crashing, 0x1000+id.Segment(f.sent)) }
			f.advance(10*time.Second, 0, segments)
			start := f.now
			f.advance(30*time.Second, crashingRate, segments)
			end := f.now
			f.advance(2*time.Second, 0, nil)
			assert.Assert(t, f.reachedAfterLimit() <= maxAfter, "%d requests reached an engine, %d engines ended",
				f.reachedAfterLimit(), len(f.deaths))
			share := f.begunShare(start.Add(2*contactTime+5*time.Second), end)
			assert.Assert(t, share >= 0.95, "%.3f of the sound requests were served, refused %v", share, f.refused)
		})
	}
}

// TestCrashingSegmentLongPrompts guards against overlooking a crashing segment that follows very
// many sound ones, and against blaming one of these for it: all engines are down most of the
// time, so that they are rarely answered.
func TestCrashingSegmentLongPrompts(t *testing.T) {
	for _, n := range []int{66, 1300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newRelayFleet(t)
			f.restart = 6 * time.Second
			var common []id.Segment
			for i := range n {
				common = append(common, 0x5c000000+id.Segment(i))
			}
			segments := func(crashing bool) []id.Segment {
				topic := 0x71000000 + id.Segment(f.rng.IntN(20))
				if crashing {
					topic = crashingSegment
				}
				return append(slices.Clone(common), topic)
			}
			f.advance(5*time.Second, 0, segments)
			start := f.now
			f.advance(20*time.Second, crashingRate, segments)
			end := f.now
			f.advance(2*time.Second, 0, nil)
			assert.Assert(t, f.reachedAfterLimit() <= maxAfter, "%d requests, %d engines ended", f.reachedAfterLimit(), len(f.deaths))
			share := f.begunShare(start.Add(2*contactTime+5*time.Second), end)
			assert.Assert(t, share >= 0.95, "%.3f of the sound requests were served, refused %v", share, f.refused)
		})
	}
}

// TestTruncatedSegments guards against blaming known segments for a crash under a prompt that has
// more segments than its host knows, or the segments of other runs on the same engines.
func TestTruncatedSegments(t *testing.T) {
	f := newRelayFleet(t)
	f.restart = 6 * time.Second
	segments := func(bool) []id.Segment { return []id.Segment{sharedSegment} }
	f.advance(5*time.Second, 0, segments)
	f.truncated = true
	f.advance(20*time.Second, 10*crashingRate, segments)
	assert.Assert(t, len(f.deaths) > 2*maxSpared, "%d engines ended", len(f.deaths))
	assert.Equal(t, f.refused[core.CodeQuarantined], 0, "refused %v", f.refused)
}

// TestCrashingSegmentAnsweredBefore guards against trusting a segment for good because it
// was answered before.
func TestCrashingSegmentAnsweredBefore(t *testing.T) {
	f := newRelayFleet(t)
	f.advance(10*time.Second, 0, func(bool) []id.Segment { return []id.Segment{crashingSegment} })
	start := f.now
	segments := func(crashing bool) []id.Segment {
		if crashing {
			return []id.Segment{crashingSegment}
		}
		return []id.Segment{sharedSegment}
	}
	f.advance(20*time.Second, crashingRate, segments)
	assert.Assert(t, len(f.deaths) >= 1 && f.deaths[0].After(start))
	assert.Assert(t, f.reachedAfterLimit() <= maxAfter, "%d requests, %d engines ended", f.reachedAfterLimit(), len(f.deaths))
}

// crashAfterOwnSegment returns the segments of a request whose crashing segment follows one that
// no other request has.
func (f *relayFleet) crashAfterOwnSegment(crashing bool) []id.Segment {
	if crashing {
		return []id.Segment{0x1000 + id.Segment(f.sent), crashingSegment}
	}
	return []id.Segment{sharedSegment}
}

// TestCrashingSegmentRestarts guards against hosts that start again without knowing which
// segments crash engines. All but one host start again, one after the other.
func TestCrashingSegmentRestarts(t *testing.T) {
	f := newRelayFleet(t)
	segments := f.crashAfterOwnSegment
	f.advance(10*time.Second, crashingRate, segments)
	deaths := len(f.deaths)
	assert.Assert(t, deaths >= 3 && f.reachedAfterLimit() <= maxAfter, "%d engines ended", deaths)
	assert.DeepEqual(t, core.StatusOf(f.hosts["h0"], f.now).Quarantined, []string{crashingSegment.String()})
	for _, name := range f.names[1:] {
		f.startHost(name, 2)
		f.advance(contactTime, 0, segments)
	}
	f.advance(10*time.Second, crashingRate, segments)
	assert.Equal(t, len(f.deaths), deaths)
}

// TestOtherCrashes guards against refusing sound requests because engines end for a reason
// that has nothing to do with prompts: one by one, many at the same moment, or all of them.
func TestOtherCrashes(t *testing.T) {
	for name, kill := range map[string]func(f *relayFleet, n int) bool{
		"one by one": func(f *relayFleet, n int) bool { return f.now.UnixMilli()%700 < 10 && n == 0 },
		"half":       func(f *relayFleet, n int) bool { return f.now.UnixMilli()%6000 < 10 && n < relayEngines/2 },
		"all":        func(f *relayFleet, _ int) bool { return f.now.UnixMilli()%10_000 < 10 },
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				f := newRelayFleet(t)
				f.rng = rand.New(rand.NewPCG(seed, 3))
				segments := func(bool) []id.Segment {
					return []id.Segment{sharedSegment, 0x2000 + id.Segment(f.rng.IntN(40))}
				}
				for range 3000 {
					f.advance(10*time.Millisecond, 0, segments)
					for i, ep := range f.liveEngines() {
						if kill(f, i) {
							f.endEngine(ep)
						}
					}
				}
				assert.Assert(t, len(f.deaths) > 10, "%d engines ended", len(f.deaths))
				assert.Equal(t, f.refused[core.CodeQuarantined], 0, "refused %v", f.refused)
			})
		}
	}
}

// TestCrashingSegmentRestartOfAll guards against forgetting which segments crash engines when
// all hosts start again at the same time.
func TestCrashingSegmentRestartOfAll(t *testing.T) {
	f := newRelayFleet(t)
	segments := f.crashAfterOwnSegment
	f.advance(10*time.Second, crashingRate, segments)
	deaths := len(f.deaths)
	assert.Assert(t, deaths >= 3 && f.reachedAfterLimit() <= maxAfter, "%d engines ended", deaths)
	f.pending = nil
	clear(f.running)
	for _, name := range f.names {
		f.startHost(name, 2)
	}
	f.publishTable()
	f.advance(10*time.Second, crashingRate, segments)
	assert.Equal(t, len(f.deaths), deaths)
}

// TestInvalidAnswer guards against reporting a prompt as crashing because its engine, which is
// alive, has sent something that is no answer.
func TestInvalidAnswer(t *testing.T) {
	for _, alive := range []bool{false, true} {
		h, _ := newHostWithPeer(t)
		h.now = h.now.Add(time.Millisecond)
		h.reduce(core.RequestArrived{Request: "r", Route: "once", Account: "a", Key: "k", PromptTokens: 1000, Segments: []id.Segment{1}})
		d := h.completePrefill(h.advance(time.Second))
		reported := false
		for _, e := range h.reduce(core.RunFailed{Request: "r", Attempt: d.Attempt, Endpoint: d.Endpoint, Code: "invalid-reply", Alive: alive}) {
			if e, ok := e.(core.SendPeer); ok {
				_, isReport := e.Message.(message.CrashReport)
				reported = reported || isReport
			}
		}
		assert.Equal(t, reported, !alive)
	}
}
