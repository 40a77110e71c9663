package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// TestEndpointNotice guards against requests to an endpoint that has told this host that it
// is leaving or wants a pause, and against refusing calls that another endpoint takes.
func TestEndpointNotice(t *testing.T) {
	for _, n := range []core.EndpointNotice{{Leaving: true}, {Pause: 2 * time.Second}} {
		h := newRelayHost(t)
		n.Endpoint = "s1"
		h.reduce(n)
		for i := range 20 {
			c := find(t, h.sendRequest(id.Request(fmt.Sprint("r", i)), "unsafe"), core.CallService{}).(core.CallService)
			assert.Equal(t, c.Endpoint, id.Endpoint("s2"))
		}
		n.Endpoint = "s2"
		h.reduce(n)
		refused := find(t, h.sendRequest("none", "unsafe"), core.Refuse{}).(core.Refuse)
		assert.Assert(t, refused.NotRun && refused.RetryAfter > 0, "%+v", refused)
		n.Endpoint = "d1"
		h.reduce(n)
		for i := range 2 { // a new scheduler grants a quarter of the slots at first
			d := h.advanceToDecode(id.Request(fmt.Sprint("m", i)), "once")
			assert.Equal(t, d.Endpoint, id.Endpoint("d2"))
		}
		h.advance(2100 * time.Millisecond)
		assert.Equal(t, has(h.sendRequest("later", "unsafe"), core.CallService{}), !n.Leaving)
	}
}

// TestPauseOutlivesListing guards against requests to an endpoint within the pause that it has
// asked for, because the platform has not listed it for a while.
func TestPauseOutlivesListing(t *testing.T) {
	h := newRelayHost(t)
	for _, name := range []id.Endpoint{"s1", "s2"} {
		h.reduce(core.EndpointNotice{Endpoint: name, Pause: 5 * time.Minute})
	}
	without := relayTable(2)
	delete(without.Endpoints, "s1")
	delete(without.Endpoints, "s2")
	h.advance(90 * time.Second)
	h.reduce(core.TableOpened{Snapshot: without})
	h.reduce(core.TableOpened{Snapshot: relayTable(3)})
	assert.Assert(t, !has(h.sendRequest("early", "unsafe"), core.CallService{}), "the pause was forgotten")
	h.advance(4 * time.Minute)
	assert.Assert(t, has(h.sendRequest("later", "unsafe"), core.CallService{}))
}
