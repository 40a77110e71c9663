package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// TestDecodeEngineLeaves guards against a decode that starts on an engine long after it has
// announced to leave, has asked for a pause or has left, because that happened during a long
// prefill. It also guards against KV caches that are left to expire, and against repeating
// prefills that end soon after the announcement.
func TestDecodeEngineLeaves(t *testing.T) {
	events := map[string]func(d id.Endpoint) core.Event{
		"leaving in the table": func(d id.Endpoint) core.Event { return core.TableOpened{Snapshot: relayTable(2, d)} },
		"leaving in an answer": func(d id.Endpoint) core.Event { return core.EndpointNotice{Endpoint: d, Leaving: true} },
		"pause": func(d id.Endpoint) core.Event {
			return core.EndpointNotice{Endpoint: d, Pause: 3 * time.Second}
		},
		"removed": func(d id.Endpoint) core.Event {
			snap := relayTable(2)
			delete(snap.Endpoints, d)
			return core.TableOpened{Snapshot: snap}
		},
	}
	for name, event := range events {
		t.Run(name, func(t *testing.T) {
			for _, route := range []id.Route{"once", "resumable"} {
				h := newRelayHost(t)
				p := find(t, h.sendRequest("r", route), core.StartPrefill{}).(core.StartPrefill)
				h.reduce(event(p.Decode))
				h.advance(time.Second)
				out := h.reduce(core.PrefillDone{Request: "r", Attempt: p.Attempt, KV: "kv"})
				assert.Assert(t, !has(out, core.StartDecode{}), "the decode started on an engine that takes no requests")
				assert.DeepEqual(t, find(t, out, core.CancelRun{}), core.CancelRun{
					Request: "r", Attempt: p.Attempt, Endpoint: p.Endpoint, Address: "10.0.0.1:1", KV: "kv",
				})
				assert.Assert(t, h.completePrefill(out).Endpoint != p.Decode)
			}
			if name == "removed" {
				return
			}
			h := newRelayHost(t)
			p := find(t, h.sendRequest("r", "once"), core.StartPrefill{}).(core.StartPrefill)
			h.advance(time.Second)
			h.reduce(event(p.Decode))
			h.advance(200 * time.Millisecond)
			out := h.reduce(core.PrefillDone{Request: "r", Attempt: p.Attempt, KV: "kv"})
			assert.Equal(t, find(t, out, core.StartDecode{}).(core.StartDecode).Endpoint, p.Decode)
		})
	}
}
