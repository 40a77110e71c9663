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
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHost(t)
			out := h.sendRequest("r", tt.route)
			if tt.route == "once" || tt.route == "resumable" {
				d := h.completePrefill(out)
				if tt.begun {
					h.reduce(core.TokensArrived{Request: "r", Attempt: d.Attempt, Tokens: []string{"event"}})
				}
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
