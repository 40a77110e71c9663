package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
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
