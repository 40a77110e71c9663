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

// followers are hosts that hear each other at once.
type followers struct {
	t     *testing.T
	now   time.Time
	hosts map[id.Host]*core.State
	names []id.Host
	ways  map[id.Host]core.Follow
	last  map[id.Host]core.ApplyPlatform
}

// newFollowers returns hosts that have been up for some seconds.
func newFollowers(t *testing.T, n int) *followers {
	f, list := newStartedFollowers(t, n)
	f.know(list)
	f.pass(4*time.Second, nil)
	return f
}

// know gives all hosts the list of hosts.
func (f *followers) know(list []object.Host) {
	for _, name := range f.names {
		f.reduce(name, core.HostsListed{Hosts: list})
		f.reduce(name, core.TableOpened{Snapshot: relayTable(1)})
	}
}

// newStartedFollowers returns hosts that do not know each other yet, and their list.
func newStartedFollowers(t *testing.T, n int) (*followers, []object.Host) {
	f := &followers{
		t: t, now: time.Unix(1, 0), hosts: make(map[id.Host]*core.State), ways: make(map[id.Host]core.Follow),
		last: make(map[id.Host]core.ApplyPlatform),
	}
	var list []object.Host
	for i := range n {
		name := id.Host(fmt.Sprintf("h%d", i))
		f.names = append(f.names, name)
		list = append(list, object.Host{Host: name, Zone: relayDomain, Address: fmt.Sprintf("127.0.0.1:%d", i+1)})
	}
	for _, name := range f.names {
		cfg := core.DefaultConfig(name, 1, relayDomain, []id.Zone{relayDomain})
		cfg.Relay = true
		f.hosts[name] = core.New(cfg, f.now)
	}
	return f, list
}

// reduce passes an event to a host and its messages to the others.
func (f *followers) reduce(name id.Host, ev core.Event) {
	for _, e := range core.Reduce(f.hosts[name], core.Input{Now: f.now, Wall: f.now, Event: ev}) {
		switch e := e.(type) {
		case core.SendPeer:
			f.reduce(e.To, core.PeerMessage{From: name, Incarnation: 1, Message: e.Message})
		case core.FollowPlatform:
			f.ways[name] = e.Follow
		case core.ApplyPlatform:
			f.last[name] = e
		}
	}
}

// pass lets time pass in which the watchers are in contact with the platform, except
// those in cut.
func (f *followers) pass(d time.Duration, cut map[id.Host]bool) {
	const tick = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		for _, name := range f.names {
			f.reduce(name, core.Tick{})
			if f.ways[name] == core.FollowBrisk {
				f.reduce(name, core.PlatformContact{Lost: cut[name]})
			}
		}
	}
}

func (f *followers) count(way core.Follow) int {
	n := 0
	for _, name := range f.names {
		if f.ways[name] == way {
			n++
		}
	}
	return n
}

func (f *followers) watchers() map[id.Host]bool {
	out := make(map[id.Host]bool)
	for name, way := range f.ways {
		if way == core.FollowBrisk {
			out[name] = true
		}
	}
	return out
}

// TestWatchers guards against a fleet in which each host watches the platform, or
// none does.
func TestWatchers(t *testing.T) {
	f := newFollowers(t, 12)
	assert.Equal(t, f.count(core.FollowBrisk), 2)
	assert.Equal(t, f.count(core.FollowPeers), 10)
}

// TestStartOfAll guards against hosts that all watch the platform when they start
// together, and against a start after which nobody does.
func TestStartOfAll(t *testing.T) {
	f, list := newStartedFollowers(t, 12)
	f.pass(300*time.Millisecond, nil)
	assert.Equal(t, f.count(core.FollowSelf)+f.count(core.FollowBrisk), 0)
	f.know(list)
	for range 40 {
		f.pass(50*time.Millisecond, nil)
		assert.Equal(t, f.count(core.FollowSelf), 0)
		assert.Assert(t, f.count(core.FollowBrisk) <= 2)
	}
	assert.Equal(t, f.count(core.FollowBrisk), 2)
}

// TestLostWatchers guards against followers that miss changes because the platform
// turns both watchers away: others take their place at once.
func TestLostWatchers(t *testing.T) {
	f := newFollowers(t, 12)
	cut := f.watchers()
	f.pass(200*time.Millisecond, cut)
	assert.Equal(t, f.count(core.FollowBrisk), 2)
	for name := range f.watchers() {
		assert.Assert(t, !cut[name], "%s has lost contact", name)
	}
	assert.Equal(t, f.count(core.FollowSelf), 0)
}

// TestOutageOfAll guards against hosts that rely on each other while the platform
// serves none of the watchers.
func TestOutageOfAll(t *testing.T) {
	f := newFollowers(t, 5)
	all := make(map[id.Host]bool)
	for _, name := range f.names {
		all[name] = true
	}
	f.pass(2500*time.Millisecond, all)
	assert.Equal(t, f.count(core.FollowPeers), 0)
}

// TestPassedChange guards against a change that a watcher reads and does not pass on.
func TestPassedChange(t *testing.T) {
	f := newFollowers(t, 6)
	var watcher id.Host
	for name := range f.watchers() {
		watcher = name
	}
	changes := []message.PlatformChange{{Name: "i-1", Version: 7, Spec: []byte("x")}}
	f.reduce(watcher, core.PlatformChanged{Source: core.SourceEndpoints, Since: 5, Revision: 7, Changes: changes})
	for _, name := range f.names {
		if name != watcher {
			assert.Equal(t, f.last[name].Changes.Revision, uint64(7), name)
			assert.DeepEqual(t, f.last[name].Changes.Changes, changes)
		}
	}
	f.last = make(map[id.Host]core.ApplyPlatform)
	for _, name := range f.names {
		f.reduce(name, core.PlatformSeen{Seen: [core.SourceCount]uint64{core.SourceEndpoints: 7}})
	}
	f.reduce(watcher, core.PlatformChanged{Source: core.SourceEndpoints, Since: 5, Revision: 7, Changes: changes})
	assert.Equal(t, len(f.last), 0, "a change was applied twice")
}

// TestPassedBytes guards against watchers whose links are busy for seconds because they
// pass a whole configuration on to each host: what follows, such as an endpoint that
// leaves, is then known too late. The load is five versions in quick succession; the
// bound is what a link of 10 Mbit/s carries in the 2 s after which a version must be in
// force.
func TestPassedBytes(t *testing.T) {
	const (
		hosts       = 77
		configBytes = 18_000 // 54 routes and 16 client accounts
		versions    = 5
		linkBytes   = 10_000_000 / 8 * 2
	)
	f := newFollowers(t, hosts)
	var watcher id.Host
	for name := range f.watchers() {
		watcher = name
	}
	sent := 0
	for n := range uint64(versions) {
		changes := []message.PlatformChange{{Name: "main", Version: 7 + n, Spec: make([]byte, configBytes)}}
		ev := core.PlatformChanged{Source: core.SourceConfig, Since: 6 + n, Revision: 7 + n, Changes: changes}
		for _, e := range core.Reduce(f.hosts[watcher], core.Input{Now: f.now, Wall: f.now, Event: ev}) {
			if m, ok := e.(core.SendPeer); ok {
				sent += passedBytes(m.Message)
			}
		}
	}
	assert.Assert(t, sent <= linkBytes, "%d bytes", sent)
}

func passedBytes(m message.Message) int {
	give, ok := m.(message.PlatformGive)
	if !ok {
		return 0
	}
	n := 0
	for _, c := range give.Changes {
		n += len(c.Spec)
	}
	return n
}
