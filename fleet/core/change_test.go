package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// TestChangeWhileRequestArrives guards against a final refusal of a request whose route was
// looked up just before a change of the configuration moved it.
func TestChangeWhileRequestArrives(t *testing.T) {
	tests := []struct {
		name string
		sent uint64 // version of the table in which the adapter found the route
		code string
	}{
		{"found in the table before", 1, core.CodeTableChanged},
		{"found in no table", 2, core.CodeUnknownRoute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHost(t)
			changed := relayTable(2)
			delete(changed.Routes, "safe")
			h.reduce(core.TableOpened{Snapshot: changed})
			out := h.reduce(core.RequestArrived{Request: "r", Table: tt.sent, Route: "safe", Account: "a", Key: "k", Timeout: relayTimeout})
			refused := find(t, out, core.Refuse{}).(core.Refuse)
			assert.Equal(t, refused.Code, tt.code)
			assert.Assert(t, refused.NotRun)
		})
	}
}

// TestKeyPassesOn guards against requests that wait while their key passes to another client
// account, and are refused for it, or run and are charged under the former one; and against
// requests that run with a key that was withdrawn before their last attempt.
func TestKeyPassesOn(t *testing.T) {
	for _, tt := range []struct{ prefilling, withdrawn bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
		t.Run(fmt.Sprintf("prefilling=%t,withdrawn=%t", tt.prefilling, tt.withdrawn), func(t *testing.T) {
			h, scheduler := newHostWithPeer(t)
			h.sendRequest("r", "once")
			grant := message.SlotGrant{Request: "r", Attempt: 1, Prefill: "p1", Decode: "d1", Valid: time.Second}
			if tt.prefilling {
				out := h.reduce(core.PeerMessage{From: scheduler, Incarnation: 1, Message: grant})
				assert.Equal(t, find(t, out, core.StartPrefill{}).(core.StartPrefill).Account, id.Account("a"))
			}

			changed := relayTable(2)
			changed.Accounts["b"] = table.Account{Name: "b", Weight: 1}
			changed.Keys["k"] = table.Key{ID: "k", Account: "b", State: table.StateActive}
			if tt.withdrawn {
				delete(changed.Keys, "k")
			}
			out := h.reduce(core.TableOpened{Snapshot: changed})
			if tt.prefilling {
				assert.Assert(t, !has(out, core.Refuse{}) && !has(out, core.Refunded{}), "the prefill goes on")
				out = h.reduce(core.RunFailed{Request: "r", Attempt: 1, Endpoint: "p1", Code: "broken", NotRun: true})
			}

			if tt.withdrawn {
				refused := find(t, out, core.Refuse{}).(core.Refuse)
				assert.Assert(t, refused.Code == core.CodeKeyWithdrawn && refused.NotRun, "%+v", refused)
				return
			}
			assert.Assert(t, !has(out, core.Refuse{}))
			assert.Equal(t, find(t, out, core.Refunded{}).(core.Refunded).Account, id.Account("a"))
			assert.Equal(t, find(t, out, core.Charged{}).(core.Charged).Account, id.Account("b"))
			h.sendRequest("late", "once") // the adapter has found the owner of the key in the table before
			for req, attempt := range map[id.Request]id.Attempt{"r": 2, "late": 1} {
				grant.Request, grant.Attempt = req, attempt
				out = h.reduce(core.PeerMessage{From: scheduler, Incarnation: 1, Message: grant})
				assert.Equal(t, find(t, out, core.StartPrefill{}).(core.StartPrefill).Account, id.Account("b"), req)
			}
		})
	}
}
