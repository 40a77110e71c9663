package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// TestSlowService guards against calls that queue at a slow endpoint while another one
// is idle.
func TestSlowService(t *testing.T) {
	h := newRelayHost(t)
	count := make(map[id.Endpoint]int)
	for n := range 200 {
		req := id.Request(fmt.Sprintf("r%d", n))
		c := find(t, h.sendRequest(req, "unsafe"), core.CallService{}).(core.CallService)
		count[c.Endpoint]++
		duration := 10 * time.Millisecond
		if c.Endpoint == "s1" {
			duration = 60 * time.Millisecond
		}
		h.now = h.now.Add(duration)
		h.reduce(core.ServiceDone{Request: req, Attempt: c.Attempt, Status: 200})
	}
	assert.Assert(t, count["s2"] > 8*count["s1"], "%v", count)
	assert.Assert(t, count["s1"] > 0, "the slow endpoint is never tried")
}

// TestEvenServices guards against sending all calls to the first of several equal
// endpoints.
func TestEvenServices(t *testing.T) {
	h := newRelayHost(t)
	count := make(map[id.Endpoint]int)
	for n := range 200 {
		req := id.Request(fmt.Sprintf("r%d", n))
		c := find(t, h.sendRequest(req, "unsafe"), core.CallService{}).(core.CallService)
		count[c.Endpoint]++
		h.now = h.now.Add(10 * time.Millisecond)
		h.reduce(core.ServiceDone{Request: req, Attempt: c.Attempt, Status: 200})
	}
	assert.Assert(t, count["s1"] > 40 && count["s2"] > 40, "%v", count)
}

// TestUnreachableService guards against calls that wait for endpoints which the host has
// just failed to reach, against endpoints that are never tried again, and against
// replacing an endpoint's error response because no other endpoint is left.
func TestUnreachableService(t *testing.T) {
	h := newRelayHost(t)
	c := find(t, h.sendRequest("r1", "unsafe"), core.CallService{}).(core.CallService)
	down := core.RunFailed{Request: "r1", Attempt: c.Attempt, Endpoint: c.Endpoint, Code: "unreachable", NotRun: true, Unreachable: true}
	c = find(t, h.reduce(down), core.CallService{}).(core.CallService)
	down.Attempt, down.Endpoint = c.Attempt, c.Endpoint
	assert.Assert(t, find(t, h.reduce(down), core.Refuse{}).(core.Refuse).NotRun)
	refused := find(t, h.sendRequest("r2", "unsafe"), core.Refuse{}).(core.Refuse)
	assert.Assert(t, refused.NotRun && refused.RetryAfter > 0)
	h.advance(1500 * time.Millisecond)
	c = find(t, h.sendRequest("r3", "safe"), core.CallService{}).(core.CallService)
	other := core.RunFailed{Request: "r3", Attempt: c.Attempt, Endpoint: c.Endpoint, Code: "unreachable", NotRun: true, Unreachable: true}
	c = find(t, h.reduce(other), core.CallService{}).(core.CallService)
	out := h.reduce(core.RunFailed{Request: "r3", Attempt: c.Attempt, Endpoint: c.Endpoint, Code: "500", HasReply: true})
	assert.Assert(t, has(out, core.Reply{}) && !has(out, core.Refuse{}), "%+v", out)
}
