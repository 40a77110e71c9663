package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/table"
)

// breakStream breaks the connection of a stream and returns the effects up to its continuation.
// The engine reports that the run has ended.
func (h *relayHost) breakStream(d core.StartDecode) []core.Effect {
	out := h.loseAnswer(d)
	return append(out, h.reduce(core.RunStopped{Request: d.Request, Attempt: d.Attempt, Ended: true})...)
}

// loseAnswer breaks the connection of a stream whose engine works on.
func (h *relayHost) loseAnswer(d core.StartDecode) []core.Effect {
	return h.reduce(core.RunFailed{Request: d.Request, Attempt: d.Attempt, Endpoint: d.Endpoint, Code: "broken"})
}

// movingTable is a table with engines that can move the KV cache of a run.
func movingTable(version uint64) *table.Snapshot {
	snap := relayTable(version)
	pool := snap.Pools["m/decode"]
	pool.MovesKV = true
	snap.Pools["m/decode"] = pool
	return snap
}

// TestLostAnswerWaitsForRun guards against a stream that goes on elsewhere while its first run
// works on for over 400 ms, because a broken connection was taken for the end of the run.
func TestLostAnswerWaitsForRun(t *testing.T) {
	tests := []struct {
		name   string
		events int64         // before the failure, 2 ms apart
		hold   time.Duration // least time until the stream goes on
	}{
		{"pace unknown", 1, 600 * time.Millisecond},
		{"480 events left", 20, 560 * time.Millisecond},
		{"300 events left", 200, 600 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHost(t)
			d := h.advanceToDecode("r", "resumable")
			for n := range tt.events {
				h.now = h.now.Add(2 * time.Millisecond)
				h.deliverEvent(d, n)
			}
			out := append(h.loseAnswer(d), h.advance(tt.hold-20*time.Millisecond)...)
			assert.Assert(t, !has(out, core.StartPrefill{}) && !has(out, core.Refuse{}), "the run may still work on")
			again := h.completePrefill(h.advance(200 * time.Millisecond))
			assert.Equal(t, again.From, tt.events)
			h.assertFinishes(again, tt.events)
		})
	}
}

// TestSlowRunHoldsStream guards against a wait that is shorter than what the engine has left to do
// at its pace.
func TestSlowRunHoldsStream(t *testing.T) {
	h := newRelayHost(t)
	d := h.beginStream("r")
	for n := int64(1); n < 100; n++ {
		h.now = h.now.Add(10 * time.Millisecond)
		h.deliverEvent(d, n)
	}
	// 400 events of 10 ms are left, of which the last 400 ms may overlap.
	out := append(h.loseAnswer(d), h.advance(3500*time.Millisecond)...)
	assert.Assert(t, !has(out, core.StartPrefill{}) && !has(out, core.Refuse{}), "the run may still work on")
	assert.Equal(t, h.completePrefill(h.advance(200*time.Millisecond)).From, int64(100))
}

// TestStoppedRunContinuesAtOnce guards against a pause in a stream whose earlier run is known to
// have ended, and against a result of another attempt that is taken for it.
func TestStoppedRunContinuesAtOnce(t *testing.T) {
	h := newRelayHost(t)
	h.reduce(core.TableOpened{Snapshot: movingTable(2)})
	d := h.beginStream("r")
	stop := find(t, h.loseAnswer(d), core.StopRun{}).(core.StopRun)
	assert.Equal(t, stop.Address, d.Address)
	assert.Assert(t, stop.Target != "" && stop.Target != d.Address, "%+v", stop)

	out := h.reduce(core.RunStopped{Request: "r", Attempt: d.Attempt})
	out = append(out, h.reduce(core.RunStopped{Request: "r", Attempt: d.Attempt + 1, Ended: true})...)
	assert.Assert(t, !has(out, core.StartPrefill{}), "the run may still work on")
	out = h.reduce(core.RunStopped{Request: "r", Attempt: d.Attempt, Ended: true})
	h.assertFinishes(h.completePrefill(out), 1)
}

// TestUnreachableEngineIsLeft guards against a stream that waits for the run of an engine that is
// gone and can't say so.
func TestUnreachableEngineIsLeft(t *testing.T) {
	h := newRelayHost(t)
	d := h.beginStream("r")
	h.loseAnswer(d)
	out := h.reduce(core.RunStopped{Request: "r", Attempt: d.Attempt, Unreachable: true})
	h.assertFinishes(h.completePrefill(out), 1)
}

// TestLastAttemptIsNotStopped guards against calls about runs that no other one may continue.
func TestLastAttemptIsNotStopped(t *testing.T) {
	h := newRelayHost(t)
	d := h.beginStream("r")
	again := h.completePrefill(h.breakStream(d)) // the route allows two runs
	assert.Assert(t, !has(h.loseAnswer(again), core.StopRun{}))

	h = newRelayHost(t)
	assert.Assert(t, !has(h.loseAnswer(h.advanceToDecode("o", "once")), core.StopRun{}))
}

// TestStopWithoutMove guards against calls to engines that can't move KV caches, whose 404 says
// nothing about the run.
func TestStopWithoutMove(t *testing.T) {
	h := newRelayHost(t)
	d := h.beginStream("r")
	assert.Equal(t, find(t, h.loseAnswer(d), core.StopRun{}).(core.StopRun).Target, "")
}

// TestRejectedRunIsNotStopped guards against a pause after an engine has rejected a stream.
func TestRejectedRunIsNotStopped(t *testing.T) {
	h := newRelayHost(t)
	d := h.advanceToDecode("r", "resumable")
	out := h.reduce(core.RunFailed{Request: "r", Attempt: d.Attempt, Endpoint: d.Endpoint, Code: "full", NotRun: true})
	assert.Assert(t, !has(out, core.StopRun{}))
	assert.Assert(t, has(out, core.StartPrefill{}))
}
