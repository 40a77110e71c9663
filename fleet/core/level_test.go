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

// levelTable has two levels for the model: those of the accounts "urgent" and "a".
func levelTable(version uint64) *table.Snapshot {
	s := relayTable(version)
	s.Accounts["a"] = table.Account{Name: "a", Weight: 1, Priority: 1}
	s.Accounts["urgent"] = table.Account{Name: "urgent", Weight: 1}
	return s
}

// slotRequests returns the slot requests that are sent to other hosts.
func slotRequests(effects []core.Effect) []message.SlotRequest {
	var out []message.SlotRequest
	for _, e := range effects {
		if sent, ok := e.(core.SendPeer); ok {
			if m, ok := sent.Message.(message.SlotRequest); ok {
				out = append(out, m)
			}
		}
	}
	return out
}

// TestLevelOfRun guards against engines that do not learn the level of a request, against
// a trace without it, and against a resumed stream that loses it after a change of the
// configuration.
func TestLevelOfRun(t *testing.T) {
	for _, tt := range []struct {
		table *table.Snapshot
		want  message.Level
		trace string
	}{
		{relayTable(2), 0, "admitted for 1500 tokens"},
		{levelTable(2), message.LevelOf(1), "admitted for 1500 tokens at level 1"},
	} {
		h := newRelayHost(t)
		h.reduce(core.TableOpened{Snapshot: tt.table})
		out := h.sendRequest("r", "resumable")
		assert.Equal(t, find(t, out, core.StartPrefill{}).(core.StartPrefill).Level, tt.want)
		d := h.completePrefill(out)
		assert.Equal(t, d.Level, tt.want)
		h.reduce(core.TableOpened{Snapshot: relayTable(3)})
		h.reduce(core.TokensArrived{Request: "r", Attempt: d.Attempt, Tokens: []string{"one"}})
		out = h.breakStream(d)
		assert.Equal(t, find(t, out, core.StartPrefill{}).(core.StartPrefill).Level, tt.want)
		assert.Equal(t, h.completePrefill(out).Level, tt.want)
		record, _ := core.Explain(h.st, "r")
		assert.Equal(t, record.Trace[1].Text, tt.trace)
	}
}

// TestLevelOfSlotRequest guards against a scheduler that does not learn the level of a
// request, and against one that takes over and does not learn it.
func TestLevelOfSlotRequest(t *testing.T) {
	h, peer := newHostWithPeer(t)
	h.reduce(core.TableOpened{Snapshot: levelTable(2)})
	sent := slotRequests(h.sendRequest("r", "once"))
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].Level, message.LevelOf(1))
	h.reduce(core.PeerMessage{From: peer, Incarnation: 2, Message: message.Heartbeat{Zone: relayDomain, Register: true}})
	repeated := slotRequests(h.advance(100 * time.Millisecond))
	assert.Assert(t, len(repeated) > 0)
	assert.Equal(t, repeated[0].Level, message.LevelOf(1))
	out := h.advance(time.Second) // the peer does not answer, so that this host takes over
	assert.Equal(t, find(t, out, core.StartPrefill{}).(core.StartPrefill).Level, message.LevelOf(1))
}

// TestQueuedByLevel guards against queued requests that are missing in the metrics by
// level, also those of a host of an older version.
func TestQueuedByLevel(t *testing.T) {
	h, peer := newHostWithPeer(t)
	h.reduce(core.TableOpened{Snapshot: levelTable(2)})
	for i := range 30 { // the endpoints take fewer; the last three have the levels 0, 1 and none
		h.reduce(core.PeerMessage{From: peer, Incarnation: 1, Message: message.SlotRequest{
			Request: id.Request(fmt.Sprintf("r%02d", i)), Attempt: 1, Account: "a", Model: "m", CanWait: true,
			PromptTokens: 1000, OutputTokens: 1000, Level: []message.Level{message.LevelOf(0), message.LevelOf(1), 0}[i%3],
		}})
	}
	total := 0
	for _, n := range core.QueuedByLevel(h.st) {
		total += n
	}
	assert.Equal(t, core.StatusOf(h.st, h.now).Cells[0].Queued, total)
	urgent := core.QueuedByLevel(h.st)[core.LevelQueue{Model: "m", Level: message.LevelOf(0)}]
	assert.Assert(t, urgent > 0 && urgent < total-urgent, "%d of %d", urgent, total)
}

// TestRefusedByLevel guards against refusals that are not counted by level, and against
// such counts for a model without levels.
func TestRefusedByLevel(t *testing.T) {
	for _, tt := range []struct {
		table *table.Snapshot
		want  []message.Level
	}{{relayTable(2), nil}, {levelTable(2), []message.Level{message.LevelOf(1)}}} {
		h := newRelayHost(t)
		delete(tt.table.Endpoints, "p1")
		h.reduce(core.TableOpened{Snapshot: tt.table})
		var got []message.Level
		for _, e := range append(h.sendRequest("r", "once"), h.advance(time.Second)...) {
			if c, ok := e.(core.Count); ok && c.Name == core.MetricRefusedLevel {
				got = append(got, c.Level)
			}
		}
		assert.DeepEqual(t, got, tt.want)
	}
}
