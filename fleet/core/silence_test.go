package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/retry"
)

// longSilence is longer than Config.DecodeStall and shorter than relayTimeout.
const longSilence = 4 * time.Second

// beginStream starts a stream and delivers its first event.
func (h *relayHost) beginStream(req id.Request) core.StartDecode {
	h.t.Helper()
	d := h.advanceToDecode(req, "resumable")
	h.deliverEvent(d, 0)
	return d
}

func (h *relayHost) deliverEvent(d core.StartDecode, n int64) []core.Effect {
	return h.reduce(core.TokensArrived{Request: d.Request, Attempt: d.Attempt, Offset: n, Tokens: []string{"x"}})
}

// assertFinishes delivers the last event of a stream and checks that it is complete.
func (h *relayHost) assertFinishes(d core.StartDecode, n int64) {
	h.t.Helper()
	assert.Assert(h.t, has(h.deliverEvent(d, n), core.Deliver{}), "an event after the silence was not delivered")
	out := h.reduce(core.TokensArrived{Request: d.Request, Attempt: d.Attempt, Offset: n + 1, End: true})
	assert.Assert(h.t, has(out, core.Finish{}))
}

// progressOn lets streams on the other engine make progress while an engine is silent, and
// returns all effects.
func (h *relayHost) progressOn(other core.StartDecode, d time.Duration) []core.Effect {
	var out []core.Effect
	for n := int64(1); d > 0; n++ {
		out = append(out, h.advance(100*time.Millisecond)...)
		out = append(out, h.deliverEvent(other, n)...)
		d -= 100 * time.Millisecond
	}
	return out
}

// beginTwo starts streams until two run on different engines.
func (h *relayHost) beginTwo() (silent, other core.StartDecode) {
	h.t.Helper()
	silent = h.beginStream("silent")
	for n := range 8 {
		other = h.beginStream(id.Request(fmt.Sprintf("other%d", n)))
		if other.Endpoint != silent.Endpoint {
			return silent, other
		}
	}
	h.t.Fatal("all streams run on one engine")
	return silent, other
}

// TestSilentEndpointKeepsStream guards against breaking off a stream because its endpoint
// is silent for a while.
func TestSilentEndpointKeepsStream(t *testing.T) {
	noBudget := func(cfg *core.Config) { cfg.Retry = retry.Config{Ratio: 0, Window: 10 * time.Second} }
	tests := []struct {
		name      string
		configure func(*core.Config)
		silence   func(h *relayHost) (core.StartDecode, []core.Effect)
	}{
		{"all engines are silent", func(*core.Config) {}, func(h *relayHost) (core.StartDecode, []core.Effect) {
			d := h.beginStream("r")
			return d, h.advance(longSilence)
		}},
		{"only prefills go on", func(*core.Config) {}, func(h *relayHost) (core.StartDecode, []core.Effect) {
			d := h.beginStream("r")
			out := h.advance(time.Second)
			h.advanceToDecode("later", "resumable")
			return d, append(out, h.advance(longSilence-time.Second)...)
		}},
		{"the other engine is leaving", func(*core.Config) {}, func(h *relayHost) (core.StartDecode, []core.Effect) {
			d, other := h.beginTwo()
			h.reduce(core.TableOpened{Snapshot: relayTable(2, other.Endpoint)})
			return d, h.progressOn(other, longSilence)
		}},
		{"no retry is left", noBudget, func(h *relayHost) (core.StartDecode, []core.Effect) {
			d, other := h.beginTwo()
			return d, h.progressOn(other, longSilence)
		}},
		{"the host was paused", func(*core.Config) {}, func(h *relayHost) (core.StartDecode, []core.Effect) {
			d, other := h.beginTwo()
			h.now = h.now.Add(longSilence)
			return d, append(h.deliverEvent(other, 1), h.advance(100*time.Millisecond)...)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHostWith(t, tt.configure)
			d, out := tt.silence(h)
			assert.Assert(t, !has(out, core.CancelRun{}) && !has(out, core.Refuse{}), "the stream was ended")
			h.assertFinishes(d, 1)
		})
	}
}

// TestSilentEndpointIsLeft guards against a stream that waits for an engine that never
// goes on although another one could resume it.
func TestSilentEndpointIsLeft(t *testing.T) {
	h := newRelayHost(t)
	d, other := h.beginTwo()
	out := h.progressOn(other, longSilence)
	again := h.completePrefill(out)
	assert.Equal(t, again.Request, d.Request)
	assert.Equal(t, again.From, int64(1))
	assert.Assert(t, again.Endpoint != d.Endpoint)
	h.assertFinishes(again, 1)
}

// TestLostStreamIsNotRefused guards against ending a stream that has lost its endpoint
// because it is late, or because no other endpoint resumes it at once.
func TestLostStreamIsNotRefused(t *testing.T) {
	tests := []struct {
		begun   int64 // events before the failure
		leaving []id.Endpoint
	}{
		{begun: 1},
		{begun: 1, leaving: []id.Endpoint{"d1", "d2"}},
		{begun: 1, leaving: []id.Endpoint{"p1"}},
		{begun: 0},
		{begun: 0, leaving: []id.Endpoint{"d1", "d2"}},
	}
	for _, tt := range tests {
		h := newRelayHost(t)
		d := h.advanceToDecode("r", "resumable")
		for n := range tt.begun {
			h.deliverEvent(d, n)
		}
		h.advance(1300 * time.Millisecond)
		h.reduce(core.TableOpened{Snapshot: relayTable(2, tt.leaving...)})
		out := h.reduce(core.RunFailed{Request: "r", Attempt: d.Attempt, Endpoint: d.Endpoint, Code: "broken"})
		out = append(out, h.advance(time.Second)...)
		assert.Assert(t, !has(out, core.Refuse{}), "the stream was ended: %+v", tt)
		h.reduce(core.TableOpened{Snapshot: relayTable(3)})
		h.assertFinishes(h.completePrefill(append(out, h.advance(time.Second)...)), tt.begun)
	}
}

// TestRejectedRunIsNotCounted guards against ending a stream as if its attempts were used up,
// although an engine has rejected one of them.
func TestRejectedRunIsNotCounted(t *testing.T) {
	h := newRelayHost(t)
	d := h.beginStream("r")
	again := h.completePrefill(h.breakStream(d))
	h.reduce(core.TableOpened{Snapshot: relayTable(2, "d1", "d2")})
	out := h.reduce(core.RunFailed{Request: "r", Attempt: again.Attempt, Endpoint: again.Endpoint, Code: "full", NotRun: true})
	out = append(out, h.advance(time.Second)...)
	assert.Assert(t, !has(out, core.Refuse{}), "the stream was ended")
	h.reduce(core.TableOpened{Snapshot: relayTable(3)})
	h.assertFinishes(h.completePrefill(h.advance(time.Second)), 1)
}

// TestUnresumedStreamEnds guards against a caller without an event that gets no answer until
// its deadline, because the retry budget is used up.
func TestUnresumedStreamEnds(t *testing.T) {
	for _, answered := range []bool{false, true} {
		h := newRelayHostWith(t, func(cfg *core.Config) { cfg.Retry = retry.Config{Window: 10 * time.Second} })
		d := h.advanceToDecode("r", "resumable")
		failed := core.RunFailed{Request: "r", Attempt: d.Attempt, Endpoint: d.Endpoint, Code: "broken", HasReply: answered}
		out := append(h.reduce(failed), h.advance(3500*time.Millisecond)...) // FirstEventTimeout is 3 s
		assert.Equal(t, has(out, core.Refuse{}), !answered)
		assert.Equal(t, has(out, core.Reply{}), answered)
	}
}

// TestLateGrantIsReturned guards against a reservation that is kept although the request has
// stopped waiting for it: two schedulers may answer while a cell moves between hosts.
func TestLateGrantIsReturned(t *testing.T) {
	h, scheduler := newHostWithPeer(t)
	h.sendRequest("r", "resumable")
	grant := message.SlotGrant{Request: "r", Attempt: 1, Prefill: "p1", Decode: "d1", Valid: time.Second}
	d := h.completePrefill(h.reduce(core.PeerMessage{From: scheduler, Incarnation: 1, Message: grant}))
	h.breakStream(d)
	refusal := message.SlotRefusal{Request: "r", Attempt: 2, Reason: "too-late"}
	h.reduce(core.PeerMessage{From: "former", Incarnation: 1, Message: refusal})
	grant.Attempt = 2
	out := h.reduce(core.PeerMessage{From: scheduler, Incarnation: 1, Message: grant})
	sent := find(t, out, core.SendPeer{}).(core.SendPeer)
	assert.DeepEqual(t, sent.Message, message.SlotUpdate{Request: "r", Attempt: 2, Phase: message.PhaseCancelled})
}

// TestPausedHostTrustsScheduler guards against suspecting a sound scheduler after a pause of
// this host, because its reply has not been read yet.
func TestPausedHostTrustsScheduler(t *testing.T) {
	h, scheduler := newHostWithPeer(t)
	h.sendRequest("r", "once")
	h.now = h.now.Add(700 * time.Millisecond)
	out := h.advance(100 * time.Millisecond)
	assert.Assert(t, !has(out, core.StartPrefill{}), "the host has moved the cell to itself")
	grant := message.SlotGrant{Request: "r", Attempt: 1, Prefill: "p1", Decode: "d1", Valid: time.Second}
	assert.Assert(t, has(h.reduce(core.PeerMessage{From: scheduler, Incarnation: 1, Message: grant}), core.StartPrefill{}))
}
