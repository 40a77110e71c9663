package core_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

// pairHost is one of two hosts that exchange messages without delay.
type pairHost struct {
	name id.Host
	inc  id.Incarnation
	st   *core.State
}

func newPairHost(name id.Host, inc id.Incarnation, zone id.Zone, now time.Time, hosts []object.Host) *pairHost {
	h := &pairHost{name: name, inc: inc, st: core.New(core.DefaultConfig(name, inc, zone, []id.Zone{"a", "b"}), now)}
	core.Reduce(h.st, core.Input{Now: now, Wall: now, Event: core.HostsListed{Hosts: hosts}})
	return h
}

// reduce applies an event and passes the messages that it causes to the other host.
func (h *pairHost) reduce(t *testing.T, now time.Time, ev core.Event, to *pairHost) {
	t.Helper()
	for _, e := range core.Reduce(h.st, core.Input{Now: now, Wall: now, Event: ev}) {
		switch e := e.(type) {
		case core.SetIncarnation:
			h.inc = e.Incarnation
		case core.SendPeer:
			if e.To == to.name {
				to.reduce(t, now, core.PeerMessage{From: h.name, Incarnation: h.inc, Message: e.Message}, h)
			}
		}
	}
	assert.NilError(t, core.Check(h.st))
}

// isStale reports whether a host ignores a message as one of a former process.
func (h *pairHost) isStale(now time.Time, from id.Host, inc id.Incarnation) bool {
	ev := core.PeerMessage{From: from, Incarnation: inc, Message: message.TokenReturn{}}
	out := core.Reduce(h.st, core.Input{Now: now, Wall: now, Event: ev})
	return slices.ContainsFunc(out, func(e core.Effect) bool {
		l, ok := e.(core.Log)
		return ok && l.Text == "Message of an old incarnation was ignored."
	})
}

// TestRestartWithClockSetBack guards against a restarted host whose messages all hosts drop,
// because its clock was set back and its incarnation is lower than that of its former process.
// Messages of the former process must still have no effect.
func TestRestartWithClockSetBack(t *testing.T) {
	const former = 1_000_000
	for _, zone := range []id.Zone{"a", "b"} {
		now := time.Unix(1_000_000, 0)
		hosts := []object.Host{{Host: "h1", Zone: "a", Address: "10.0.0.1:1"}, {Host: "h2", Zone: zone, Address: "10.0.0.2:1"}}
		other := newPairHost("h1", 1, "a", now, hosts)
		hb := message.Heartbeat{Zone: zone}
		core.Reduce(other.st, core.Input{Now: now, Wall: now, Event: core.PeerMessage{From: "h2", Incarnation: former, Message: hb}})
		restarted := newPairHost("h2", former/2, zone, now, hosts)
		assert.Assert(t, other.isStale(now, "h2", restarted.inc))
		for range 60 {
			now = now.Add(core.DefaultTickInterval)
			other.reduce(t, now, core.Tick{}, restarted)
			restarted.reduce(t, now, core.Tick{}, other)
		}
		assert.Assert(t, !other.isStale(now, "h2", restarted.inc), "messages of the restarted host are dropped")
		assert.Assert(t, other.isStale(now, "h2", former), "messages of the former process are accepted")
		for range 600 {
			now = now.Add(core.DefaultTickInterval)
			other.reduce(t, now, core.Tick{}, restarted)
			restarted.reduce(t, now, core.Tick{}, other)
		}
		assert.Equal(t, restarted.inc, id.Incarnation(former+1))
	}
}
