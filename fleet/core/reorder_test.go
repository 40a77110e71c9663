package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
)

// scheduler is a host that schedules the cells of its zone. Its only peer is simulated
// by the test.
type scheduler struct {
	t     *testing.T
	st    *core.State
	now   time.Time
	zones []id.Zone
}

func newScheduler(t *testing.T) *scheduler {
	d := fake.Tallinn()
	s := &scheduler{t: t, now: time.Unix(1, 0), zones: d.ZoneNames()}
	s.st = core.New(core.DefaultConfig("h1", 1, s.zones[0], s.zones), s.now)
	s.reduce(core.HostsListed{Hosts: []object.Host{
		{Host: "h1", Zone: s.zones[0], Address: "127.0.0.1:1"},
		{Host: "h2", Zone: s.zones[0], Address: "127.0.0.1:2"},
	}})
	manifest, segments, err := table.Split(d.Table(), 1)
	assert.NilError(t, err)
	s.receive(message.TableReply{Version: 1, Manifest: manifest, Segments: segments})
	return s
}

func (s *scheduler) reduce(ev core.Event) []core.Effect {
	return core.Reduce(s.st, core.Input{Now: s.now, Wall: s.now, Event: ev})
}

func (s *scheduler) receive(m message.Message) []core.Effect {
	return s.reduce(core.PeerMessage{From: "h2", Incarnation: 1, Message: m})
}

// runFor advances the clock, with ticks and heartbeats of the peer, and returns the
// effects.
func (s *scheduler) runFor(d time.Duration) []core.Effect {
	const tick = 50 * time.Millisecond
	var out []core.Effect
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		out = append(out, s.receive(message.Heartbeat{Zone: s.zones[0]})...)
		out = append(out, s.reduce(core.Tick{})...)
	}
	return out
}

func isGranted(effects []core.Effect) bool {
	for _, effect := range effects {
		if send, ok := effect.(core.SendPeer); ok {
			if grant, ok := send.Message.(message.SlotGrant); ok && grant.Attempt == 2 {
				return true
			}
		}
	}
	return false
}

// TestSlotRequestOvertakesEnd guards against a scheduler that loses track of a running
// attempt and cancels it, because the SlotRequest of the attempt was handled before the
// end of the previous attempt. This order occurs if both messages are in one envelope.
func TestSlotRequestOvertakesEnd(t *testing.T) {
	s := newScheduler(t)
	model := fake.Tallinn().Table().Routes[fake.RouteInteractive].Model
	slotRequest := message.SlotRequest{
		Request: "r1", Attempt: 1, Account: "large-1", Model: model, PromptTokens: 100, OutputTokens: 100, CanWait: true,
	}
	s.receive(slotRequest)
	s.runFor(3 * time.Second)
	var e message.Envelope
	e.Add(message.SlotUpdate{Request: "r1", Attempt: 1, Phase: message.PhaseCancelled})
	slotRequest.Attempt = 2
	e.Add(slotRequest)
	var effects []core.Effect
	for _, m := range e.Messages() {
		effects = append(effects, s.receive(m)...)
	}
	effects = append(effects, s.runFor(100*time.Millisecond)...)
	assert.Assert(t, isGranted(effects), "the second attempt was not granted")
	s.receive(message.SlotUpdate{Request: "r1", Attempt: 2, Phase: message.PhaseDecode})
	for _, effect := range s.runFor(3 * time.Second) {
		cancel, ok := effect.(core.CancelRun)
		assert.Assert(t, !ok || cancel.Attempt != 2, "cancelled: %v", cancel)
	}
}

// TestFailureBeforeSlotRequest guards against a scheduler that places requests on a
// failed engine. It happens if the failure and the SlotRequest of the next attempt are
// in one envelope, and the scheduler handles the SlotRequest first and then ignores the
// failure as outdated.
func TestFailureBeforeSlotRequest(t *testing.T) {
	h := newRelayHost(t)
	h.reduce(core.HostsListed{Hosts: []object.Host{
		{Host: "h1", Zone: relayDomain, Address: "127.0.0.1:1"}, {Host: "h2", Zone: relayDomain, Address: "127.0.0.1:2"},
	}})
	receive := func(m message.Message) []core.Effect {
		return h.reduce(core.PeerMessage{From: "h2", Incarnation: 1, Message: m})
	}
	slotRequest := func(req id.Request, attempt id.Attempt) message.SlotRequest {
		return message.SlotRequest{
			Request: req, Attempt: attempt, Account: "a", Model: "m", Class: message.ClassInteractive,
			PromptTokens: 100, OutputTokens: 100, FirstToken: relayQueueTime, CanWait: true,
		}
	}
	granted := func(effects []core.Effect) message.SlotGrant {
		return find(t, effects, core.SendPeer{}).(core.SendPeer).Message.(message.SlotGrant)
	}
	failed := granted(receive(slotRequest("r1", 1))).Decode
	var batch message.Envelope
	batch.Add(message.SlotUpdate{Request: "r1", Attempt: 1, Phase: message.PhaseCancelled, Failed: failed, Unreachable: true})
	batch.Add(slotRequest("r1", 2))
	for _, m := range batch.Messages() {
		receive(m)
	}
	receive(message.SlotUpdate{Request: "r1", Attempt: 2, Phase: message.PhaseCancelled})
	for i := range 4 {
		h.advance(100 * time.Millisecond)
		req := id.Request(fmt.Sprintf("s%d", i))
		g := granted(receive(slotRequest(req, 1)))
		assert.Assert(t, g.Decode != failed, "failed endpoint %s is granted again", failed)
		receive(message.SlotUpdate{Request: req, Attempt: 1, Phase: message.PhaseCancelled})
	}
}
