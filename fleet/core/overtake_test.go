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

// scheduler is one host without peers that schedules the cells of its zone.
type scheduler struct {
	t   *testing.T
	st  *core.State
	now time.Time
	zs  []id.Zone
}

func newScheduler(t *testing.T) *scheduler {
	d := fake.Tallinn()
	s := &scheduler{t: t, now: time.Unix(1, 0), zs: d.ZoneNames()}
	s.st = core.New(core.DefaultConfig("h1", 1, s.zs[0], s.zs), s.now)
	s.reduce(core.HostsListed{Hosts: []object.Host{
		{Host: "h1", Zone: s.zs[0], Address: "127.0.0.1:1"},
		{Host: "h2", Zone: s.zs[0], Address: "127.0.0.1:2"},
	}})
	manifest, segments, err := table.Split(d.Table(), 1)
	assert.NilError(t, err)
	s.hear(message.TableGive{Version: 1, Manifest: manifest, Segments: segments})
	return s
}

func (s *scheduler) reduce(ev core.Event) []core.Effect {
	return core.Reduce(s.st, core.Input{Now: s.now, Wall: s.now, Event: ev})
}

func (s *scheduler) hear(m message.Message) []core.Effect {
	return s.reduce(core.PeerMessage{From: "h2", Incarnation: 1, Message: m})
}

// run lets time pass, in which the peer lives, and returns the effects.
func (s *scheduler) run(d time.Duration) []core.Effect {
	const tick = 50 * time.Millisecond
	var out []core.Effect
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		out = append(out, s.hear(message.Heartbeat{Zone: s.zs[0]})...)
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

// Guards against a scheduler that loses a running attempt, and cancels it, when
// the ask of the attempt overtakes the end of the one before, as it does within
// one envelope.
func TestAskOvertakesEnd(t *testing.T) {
	s := newScheduler(t)
	model := fake.Tallinn().Table().Routes[fake.RouteInteractive].Model
	ask := message.SlotAsk{
		Request: "r1", Attempt: 1, Account: "large-1", Model: model, PromptTokens: 100, OutputTokens: 100, CanWait: true,
	}
	s.hear(ask)
	s.run(3 * time.Second)
	var e message.Envelope
	e.Add(message.SlotUpdate{Request: "r1", Attempt: 1, Phase: message.PhaseCancelled})
	ask.Attempt = 2
	e.Add(ask)
	var effects []core.Effect
	for _, m := range e.Messages() {
		effects = append(effects, s.hear(m)...)
	}
	effects = append(effects, s.run(100*time.Millisecond)...)
	assert.Assert(t, isGranted(effects), "the second attempt was not granted")
	s.hear(message.SlotUpdate{Request: "r1", Attempt: 2, Phase: message.PhaseDecode})
	for _, effect := range s.run(3 * time.Second) {
		cancel, ok := effect.(core.CancelRun)
		assert.Assert(t, !ok || cancel.Attempt != 2, "cancelled: %v", cancel)
	}
}

// TestFailureBeforeAsk guards against a scheduler that places requests on an engine whose
// failure came in one batch with the next ask, and was taken for old news after it.
func TestFailureBeforeAsk(t *testing.T) {
	h := newRelayHost(t)
	h.reduce(core.HostsListed{Hosts: []object.Host{
		{Host: "h1", Zone: relayDomain, Address: "127.0.0.1:1"}, {Host: "h2", Zone: relayDomain, Address: "127.0.0.1:2"},
	}})
	hear := func(m message.Message) []core.Effect {
		return h.reduce(core.PeerMessage{From: "h2", Incarnation: 1, Message: m})
	}
	ask := func(req id.Request, attempt id.Attempt) message.SlotAsk {
		return message.SlotAsk{
			Request: req, Attempt: attempt, Account: "a", Model: "m", Class: message.ClassInteractive,
			PromptTokens: 100, OutputTokens: 100, FirstToken: relayQueueTime, CanWait: true,
		}
	}
	granted := func(effects []core.Effect) message.SlotGrant {
		return find(t, effects, core.SendPeer{}).(core.SendPeer).Message.(message.SlotGrant)
	}
	failed := granted(hear(ask("r1", 1))).Decode
	var batch message.Envelope
	batch.Add(message.SlotUpdate{Request: "r1", Attempt: 1, Phase: message.PhaseCancelled, Failed: failed, Down: true})
	batch.Add(ask("r1", 2))
	for _, m := range batch.Messages() {
		hear(m)
	}
	hear(message.SlotUpdate{Request: "r1", Attempt: 2, Phase: message.PhaseCancelled})
	for i := range 4 {
		h.pass(100 * time.Millisecond)
		req := id.Request(fmt.Sprintf("s%d", i))
		g := granted(hear(ask(req, 1)))
		assert.Assert(t, g.Decode != failed, "%s is granted again", failed)
		hear(message.SlotUpdate{Request: req, Attempt: 1, Phase: message.PhaseCancelled})
	}
}
