package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// TestServiceStream guards against a stream of a plain service that is held back until its end,
// that runs again after it has broken off, or that goes on without its caller.
func TestServiceStream(t *testing.T) {
	failed := func(c core.CallService, notRun bool) core.RunFailed {
		return core.RunFailed{Request: "r", Attempt: c.Attempt, Endpoint: c.Endpoint, Code: "broken", NotRun: notRun}
	}
	for _, tt := range []struct {
		name   string
		events int64 // before the end
		end    func(h *relayHost, c core.CallService) []core.Effect
		check  func(t *testing.T, c core.CallService, out []core.Effect)
	}{
		{name: "complete", events: 2, end: func(h *relayHost, c core.CallService) []core.Effect {
			return h.reduce(core.TokensArrived{Request: "r", Attempt: c.Attempt, Offset: 2, End: true})
		}, check: func(t *testing.T, _ core.CallService, out []core.Effect) {
			assert.Equal(t, find(t, out, core.Finish{}).(core.Finish).OutputTokens, int64(2))
		}},
		{name: "broken off", events: 2, end: func(h *relayHost, c core.CallService) []core.Effect {
			return h.reduce(failed(c, false))
		}, check: assertBrokenOff},
		{name: "broken off, said not to have run", events: 1, end: func(h *relayHost, c core.CallService) []core.Effect {
			return h.reduce(failed(c, true))
		}, check: assertBrokenOff},
		{name: "broken off before its first event", end: func(h *relayHost, c core.CallService) []core.Effect {
			return h.reduce(failed(c, false))
		}, check: assertBrokenOff},
		{name: "rejected", end: func(h *relayHost, c core.CallService) []core.Effect {
			return h.reduce(failed(c, true))
		}, check: func(t *testing.T, c core.CallService, out []core.Effect) {
			again := find(t, out, core.CallService{}).(core.CallService)
			assert.Assert(t, again.Endpoint != c.Endpoint && again.Stream && again.Attempt == c.Attempt+1)
		}},
		{name: "caller gone", events: 1, end: func(h *relayHost, _ core.CallService) []core.Effect {
			return h.reduce(core.CallerGone{Request: "r"})
		}, check: assertCancelled},
		{name: "an event is left out, and much follows", events: 1, end: func(h *relayHost, c core.CallService) []core.Effect {
			var out []core.Effect
			for n := range int64(500) {
				out = append(out, h.reduce(core.TokensArrived{Request: "r", Attempt: c.Attempt, Offset: n + 2, Tokens: []string{"x"}})...)
			}
			return out
		}, check: func(t *testing.T, c core.CallService, out []core.Effect) {
			assertCancelled(t, c, out)
			assertBrokenOff(t, c, out)
		}},
		{name: "deadline", events: 1, end: func(h *relayHost, _ core.CallService) []core.Effect {
			return h.advance(relayTimeout + 100*time.Millisecond)
		}, check: func(t *testing.T, c core.CallService, out []core.Effect) {
			assertCancelled(t, c, out)
			assertBrokenOff(t, c, out)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHost(t)
			c := find(t, h.sendRequest("r", "events"), core.CallService{}).(core.CallService)
			assert.Assert(t, c.Stream && c.Timeout == 0)
			for n := range tt.events {
				out := h.reduce(core.TokensArrived{Request: "r", Attempt: c.Attempt, Offset: n, Tokens: []string{"x"}})
				assert.Equal(t, find(t, out, core.Deliver{}).(core.Deliver).Offset, n)
			}
			tt.check(t, c, tt.end(h, c))
		})
	}
}

// TestLeavingHostAndServiceStreams guards against a draining host that accepts a stream of a plain
// service, which it might cut, and against one that refuses other calls because streams take long.
func TestLeavingHostAndServiceStreams(t *testing.T) {
	h := newRelayHost(t)
	c := find(t, h.sendRequest("stream", "events"), core.CallService{}).(core.CallService)
	h.advance(8 * time.Second)
	h.reduce(core.TokensArrived{Request: "stream", Attempt: c.Attempt, Tokens: []string{"x"}})
	h.reduce(core.TokensArrived{Request: "stream", Attempt: c.Attempt, Offset: 1, End: true})
	for _, h := range []*relayHost{h, newRelayHost(t)} { // the second one has not measured any stream
		h.reduce(core.DrainRequested{Within: 6 * time.Second})
		h.advance(time.Second)
		assert.Assert(t, find(t, h.sendRequest("late", "events"), core.Refuse{}).(core.Refuse).NotRun)
		assert.Assert(t, has(h.sendRequest("call", "unsafe"), core.CallService{}))
	}
}

// TestQuickCallsBesideStreams guards against refusing the quick calls of a plain service as too late,
// and against keeping them away from an endpoint, because its streams last long.
func TestQuickCallsBesideStreams(t *testing.T) {
	h := newRelayHostWith(t, func(cfg *core.Config) { cfg.Pace.Enabled = true })
	count := make(map[id.Endpoint]int)
	for n := range 40 {
		stream := id.Request(fmt.Sprint("stream", n))
		c := find(t, h.sendRequest(stream, "events"), core.CallService{}).(core.CallService)
		h.reduce(core.TokensArrived{Request: stream, Attempt: c.Attempt, Tokens: []string{"x"}})
		h.advance(2 * time.Second)
		call := id.Request(fmt.Sprint("call", n))
		out := h.reduce(core.RequestArrived{Request: call, Route: "unsafe", Account: "a", Key: "k", Timeout: time.Second})
		quick := find(t, out, core.CallService{}).(core.CallService)
		count[quick.Endpoint]++
		h.advance(20 * time.Millisecond)
		h.reduce(core.ServiceDone{Request: call, Attempt: quick.Attempt, Status: 200})
		h.reduce(core.TokensArrived{Request: stream, Attempt: c.Attempt, Offset: 1, End: true})
	}
	assert.Assert(t, count["s1"] > 0 && count["s2"] > 0, "%v", count)
}

// assertBrokenOff checks that a request ends without a complete response or another run.
func assertBrokenOff(t *testing.T, _ core.CallService, out []core.Effect) {
	assert.Assert(t, !has(out, core.CallService{}) && !has(out, core.Finish{}), "%+v", out)
	assert.Assert(t, !find(t, out, core.Refuse{}).(core.Refuse).NotRun)
}

func assertCancelled(t *testing.T, c core.CallService, out []core.Effect) {
	assert.Equal(t, find(t, out, core.CancelRun{}).(core.CancelRun).Endpoint, c.Endpoint)
}
