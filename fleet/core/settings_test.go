package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// TestDifferingSettings guards against hosts that partition rates differently, because
// their shared settings differ, without an error in the log and the status.
func TestDifferingSettings(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	st := core.New(core.DefaultConfig("a-1", 1, "a", []id.Zone{"a", "b"}), now)
	sendHeartbeat := func(digest uint64) []core.Effect {
		return core.Reduce(st, core.Input{Now: now, Event: core.PeerMessage{
			From: "a-2", Incarnation: 1, Message: message.Heartbeat{Zone: "a", Settings: digest},
		}})
	}
	logged := 0
	for range 3 {
		for _, e := range sendHeartbeat(7) {
			if l, ok := e.(core.Log); ok && l.Level == core.LogError {
				logged++
			}
		}
	}
	assert.Equal(t, logged, 1, "want one log line for each differing host")
	assert.DeepEqual(t, core.StatusOf(st, now).Differing, []id.Host{"a-2"})
	sendHeartbeat(0)
	assert.Equal(t, len(core.StatusOf(st, now).Differing), 0)
}
