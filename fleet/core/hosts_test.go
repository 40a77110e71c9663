package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

// countHostLists advances the clock with ticks and returns the number of reads of the
// host list.
func countHostLists(st *core.State, from time.Time, d time.Duration) int {
	n := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(core.DefaultTickInterval) {
		for _, e := range core.Reduce(st, core.Input{Now: now, Wall: now, Event: core.Tick{}}) {
			if _, ok := e.(core.ListHosts); ok {
				n++
			}
		}
	}
	return n
}

// TestHostListInterval guards against load on the platform that grows with the square of
// the number of hosts, and against a long interval while the address of a new host is
// unknown.
func TestHostListInterval(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	st := core.New(core.DefaultConfig("h-000", 1, "a", []id.Zone{"a"}), start)
	assert.Equal(t, countHostLists(st, start, 10*time.Millisecond), 1)
	var hosts []object.Host
	for i := range 500 {
		hosts = append(hosts, object.Host{Host: id.Host(fmt.Sprintf("h-%03d", i)), Zone: "a", Address: "10.0.0.1:1"})
	}
	core.Reduce(st, core.Input{Now: start, Wall: start, Event: core.HostsListed{Hosts: hosts}})
	assert.Equal(t, countHostLists(st, start, 11*time.Second), 0)
	at := start.Add(11 * time.Second)
	core.Reduce(st, core.Input{Now: at, Wall: at, Event: core.PeerMessage{
		From: "h-new", Incarnation: 1, Message: message.Heartbeat{Zone: "a"},
	}})
	assert.Equal(t, countHostLists(st, at, 100*time.Millisecond), 1)
}
