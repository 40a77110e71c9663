package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// TestLeavingHost guards against a draining host that refuses service calls on open
// connections although the shutdown takes seconds, and against a long Retry-After
// although other hosts are ready.
func TestLeavingHost(t *testing.T) {
	h := newRelayHost(t)
	h.reduce(core.DrainRequested{})
	c := find(t, h.sendRequest("r1", "unsafe"), core.CallService{}).(core.CallService)
	assert.Assert(t, !has(h.advance(200*time.Millisecond), core.Stopped{}))
	assert.Assert(t, has(h.reduce(core.ServiceDone{Request: "r1", Attempt: c.Attempt, Status: 200}), core.Reply{}))
	refused := find(t, h.sendRequest("r2", "once"), core.Refuse{}).(core.Refuse)
	assert.Assert(t, refused.NotRun && refused.RetryAfter > 0 && refused.RetryAfter <= 100*time.Millisecond, "%+v", refused)
	assert.Assert(t, has(h.advance(5*time.Second), core.Stopped{}))
}

// TestLeavingHostAnswersAll guards against connections that are closed without an answer
// when a host that is leaving must end.
func TestLeavingHostAnswersAll(t *testing.T) {
	const within = 5 * time.Second
	h, scheduler := newHostWithPeer(t)
	assert.Assert(t, has(h.sendRequest("queued", "once"), core.SendPeer{}))
	h.reduce(core.DrainRequested{Within: within})
	assert.Assert(t, has(h.sendRequest("early", "unsafe"), core.CallService{}))
	var refused []id.Request
	for n := range 52 {
		h.reduce(core.PeerMessage{From: scheduler, Incarnation: 1, Message: message.Heartbeat{Zone: relayDomain}})
		out := h.advance(within / 50)
		if n == 30 || n == 48 {
			out = append(out, h.sendRequest(id.Request(fmt.Sprint("late", n)), "unsafe")...)
		}
		for _, e := range out {
			if e, ok := e.(core.Refuse); ok {
				refused = append(refused, e.Request)
				assert.Assert(t, e.NotRun && e.RetryAfter > 0, "%+v", e)
			}
		}
	}
	assert.DeepEqual(t, refused, []id.Request{"late30", "late48", "queued"})
}

// TestLeavingHostEndsRuns guards against connections that are closed without an answer because
// an endpoint still works on their requests when a host that is leaving must end. An answer
// that has begun is not ended early, and an answer that arrives in the last moments is passed
// on.
func TestLeavingHostEndsRuns(t *testing.T) {
	const within = 3 * time.Second
	for _, tt := range []struct {
		name  string
		route id.Route
		begun bool // the stream has begun
		reply bool // the endpoint answers after the time of the drain
		want  core.Effect
	}{
		{name: "unsafe call", route: "unsafe", want: core.Refuse{}},
		{name: "safe call", route: "safe", want: core.Refuse{}},
		{name: "call with a late answer", route: "unsafe", reply: true, want: core.Reply{}},
		{name: "stream without an event", route: "once", want: core.Refuse{}},
		{name: "resumable stream without an event", route: "resumable", want: core.Refuse{}},
		{name: "stream that has begun", route: "once", begun: true},
		{name: "stream of a service without an event", route: "events", want: core.Refuse{}},
		{name: "stream of a service that has begun", route: "events", begun: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHost(t)
			out := h.sendRequest("r", tt.route)
			attempt := id.Attempt(1)
			if tt.route == "once" || tt.route == "resumable" {
				attempt = h.completePrefill(out).Attempt
			}
			if tt.begun {
				h.reduce(core.TokensArrived{Request: "r", Attempt: attempt, Tokens: []string{"event"}})
			}
			h.reduce(core.DrainRequested{Within: within})
			out = h.advance(within + 100*time.Millisecond)
			assert.Assert(t, !has(out, core.Refuse{}) && !has(out, core.Stopped{}), "%+v", out)
			if tt.reply {
				out = h.reduce(core.ServiceDone{Request: "r", Attempt: 1, Status: 200})
			}
			out = append(out, h.advance(200*time.Millisecond)...)
			assert.Equal(t, has(out, core.Refuse{}) || has(out, core.Reply{}), tt.want != nil, "%+v", out)
			if tt.want == nil {
				return
			}
			if refused, ok := find(t, out, tt.want).(core.Refuse); ok {
				assert.Assert(t, !refused.NotRun && refused.Code == core.CodeOutcomeUnknown, "%+v", refused)
				assert.Assert(t, has(out, core.CancelRun{}), "%+v", out)
			}
		})
	}
}

// callTook sends a call to the route that takes the given time.
func (h *relayHost) callTook(req id.Request, route id.Route, took time.Duration) {
	h.t.Helper()
	c := find(h.t, h.sendRequest(req, route), core.CallService{}).(core.CallService)
	h.advance(took)
	assert.Assert(h.t, has(h.reduce(core.ServiceDone{Request: req, Attempt: c.Attempt, Status: 200}), core.Reply{}))
}

// TestLeavingHostMeasuresCalls guards against a draining host that starts calls which can't end
// before it must, because their service is slow, and against one that refuses calls to a fast
// service or with a short timeout.
func TestLeavingHostMeasuresCalls(t *testing.T) {
	const within = 6 * time.Second
	for _, tt := range []struct {
		name     string
		took     time.Duration // by the last call; 0 means none
		running  time.Duration // age of a call that has no answer yet; 0 means none
		timeout  time.Duration // of the caller
		after    time.Duration // since the start of the drain
		accepted bool
	}{
		{name: "fast service", took: 20 * time.Millisecond, after: 3 * time.Second, accepted: true},
		{name: "fast service, late", took: 20 * time.Millisecond, after: 3600 * time.Millisecond},
		{name: "slow service, early", took: 3 * time.Second, after: 300 * time.Millisecond, accepted: true},
		{name: "slow service", took: 3 * time.Second, after: 600 * time.Millisecond},
		{name: "slow service, short timeout", took: 3 * time.Second, timeout: time.Second, after: 4800 * time.Millisecond, accepted: true},
		{name: "call without an answer", running: 3 * time.Second, after: 700 * time.Millisecond},
		{name: "slow and fast service", took: 7 * time.Second, after: 0},
		{name: "timeout at the end", took: 7 * time.Second, timeout: 1200 * time.Millisecond, after: 5 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHost(t)
			if tt.took > 0 {
				h.callTook("first", "unsafe", tt.took)
			}
			if tt.running > 0 {
				h.sendRequest("running", "unsafe")
				h.advance(tt.running)
			}
			h.reduce(core.DrainRequested{Within: within})
			h.advance(tt.after)
			out := h.reduce(core.RequestArrived{Request: "r", Route: "unsafe", Account: "a", Key: "k", Timeout: tt.timeout})
			assert.Equal(t, has(out, core.CallService{}), tt.accepted, "%+v", out)
			if !tt.accepted {
				refused := find(t, out, core.Refuse{}).(core.Refuse)
				assert.Assert(t, refused.NotRun && refused.RetryAfter > 0 && refused.RetryAfter <= 100*time.Millisecond, "%+v", refused)
			}
		})
	}
}

// TestLeavingHostStartsNoLateAttempt guards against another attempt of a call that can't end
// before the host must, and against a 503 for a call that may have run.
func TestLeavingHostStartsNoLateAttempt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		failed core.RunFailed
		notRun bool
	}{
		{name: "rejected", failed: core.RunFailed{NotRun: true}, notRun: true},
		{name: "broken", failed: core.RunFailed{Code: "broken"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHost(t)
			h.reduce(core.DrainRequested{Within: 5 * time.Second})
			c := find(t, h.sendRequest("r", "safe"), core.CallService{}).(core.CallService)
			h.advance(4 * time.Second)
			tt.failed.Request, tt.failed.Attempt, tt.failed.Endpoint = "r", c.Attempt, c.Endpoint
			out := h.reduce(tt.failed)
			assert.Assert(t, !has(out, core.CallService{}), "%+v", out)
			assert.Equal(t, find(t, out, core.Refuse{}).(core.Refuse).NotRun, tt.notRun)
		})
	}
}

// TestStopAnnounced guards against requests that a host still accepts, while the balancer sends
// it new connections, although their answers usually take longer than the host has left.
func TestStopAnnounced(t *testing.T) {
	for _, tt := range []struct {
		name     string
		took     time.Duration
		within   time.Duration
		accepted bool
	}{
		{"fast service", 20 * time.Millisecond, 7 * time.Second, true},
		{"slow service", 3 * time.Second, 7 * time.Second, true},
		{"service that outlasts the stop", 8 * time.Second, 7 * time.Second, false},
		{"service that outlasts a short stop", 3 * time.Second, 2 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHost(t)
			h.callTook("first", "unsafe", tt.took)
			h.reduce(core.StopAnnounced{Within: tt.within})
			assert.Equal(t, has(h.sendRequest("r", "unsafe"), core.CallService{}), tt.accepted)
		})
	}
}
