package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
)

// answersTo returns the holds with which a host answers a query of a scheduler.
func (h *relayHost) answersTo(from id.Host, req id.Request, attempt id.Attempt) []message.SlotHold {
	q := message.SlotQuery{Request: req, Attempt: attempt, Model: "m"}
	var out []message.SlotHold
	for _, e := range h.reduce(core.PeerMessage{From: from, Incarnation: 1, Message: q}) {
		if sent, ok := e.(core.SendPeer); ok && sent.To == from {
			if m, ok := sent.Message.(message.SlotHold); ok {
				out = append(out, m)
			}
		}
	}
	return out
}

// TestSlotQuery guards against a host that denies an attempt which still runs, also one that
// another scheduler has granted, or that confirms one which has ended.
func TestSlotQuery(t *testing.T) {
	const other = id.Host("other")
	h, peer := newHostWithPeer(t)
	h.reduce(core.PeerMessage{From: other, Incarnation: 1, Message: message.Heartbeat{Zone: "other-zone", Address: "127.0.0.1:3"}})
	h.sendRequest("r", "resumable")
	assert.Equal(t, len(h.answersTo(other, "r", 1)), 0) // no grant yet
	h.reduce(core.PeerMessage{From: peer, Incarnation: 1, Message: message.SlotGrant{
		Request: "r", Attempt: 1, Prefill: "p1", Decode: "d1", Valid: time.Second,
	}})
	running := message.SlotHold{
		Request: "r", Attempt: 1, Account: "a", Model: "m", Prefill: "p1", Decode: "d1", Phase: message.PhasePrefill,
		PromptTokens: 1000, OutputTokens: 500,
	}
	for _, from := range []id.Host{peer, other} {
		assert.DeepEqual(t, h.answersTo(from, "r", 1), []message.SlotHold{running})
	}
	h.reduce(core.PrefillDone{Request: "r", Attempt: 1, KV: "kv"})
	running.Phase = message.PhaseDecode
	assert.DeepEqual(t, h.answersTo(peer, "r", 1), []message.SlotHold{running})
	assert.Equal(t, len(h.answersTo(peer, "r", 2)), 0)

	ended := []message.SlotHold{{Request: "r", Attempt: 1, Model: "m", Phase: message.PhaseCancelled}}
	h.reduce(core.RunFailed{Request: "r", Attempt: 1, Endpoint: "d1", Code: "connection-broken"})
	assert.DeepEqual(t, h.answersTo(peer, "r", 1), ended)
	h.reduce(core.CallerGone{Request: "r"})
	ended[0].Attempt = 2
	assert.DeepEqual(t, h.answersTo(peer, "r", 2), ended)
}

// TestEveryMissedEnd guards against single reservations that outlast a cut of the scheduler,
// also those of attempts that hosts have moved to another scheduler during the cut.
func TestEveryMissedEnd(t *testing.T) {
	f := newRelayFleetOf(t, 9)
	f.sendCalls(6500*time.Millisecond, "resumable", 30)
	scheduler := member.Owner(f.names, "cell/"+relayDomain+"/m/0")
	limitedHostChanges["cut"](f, scheduler, "resumable", 30)
	f.sendCalls(contactTime, "resumable", 30)
	f.sendCalls(30*time.Second, "resumable", 0)
	cells := core.StatusOf(f.hosts[scheduler], f.now).Cells
	assert.Equal(t, len(cells), 1)
	slots := relayEngines * int(relayTable(1).Pools["m/decode"].Slots)
	assert.Equal(t, cells[0].FreeSlots, slots)
}
