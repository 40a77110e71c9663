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
