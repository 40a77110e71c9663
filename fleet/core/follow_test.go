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

// followers is a group of hosts in relay mode whose messages arrive without delay.
type followers struct {
	t           *testing.T
	now         time.Time
	hosts       map[id.Host]*core.State
	names       []id.Host
	modes       map[id.Host]core.Follow
	lastApplied map[id.Host]core.ApplyPlatform
	applied     map[id.Host]int // number of ApplyPlatform effects
	copies      map[id.Host]int // messages with changes that a host has sent
	sentBytes   map[id.Host]int // bytes of the changes in them
	contacts    []time.Time     // starts of contact in PeerContact effects
	refreshed   int             // number of RefreshPlatform effects
	reads       []core.ReadObject
	writes      []core.WriteObject
}

// newFollowers returns hosts that know each other and have been running for 4 s.
func newFollowers(t *testing.T, n int) *followers {
	f, list := newStartedFollowers(t, n)
	f.installHosts(list)
	f.advance(4*time.Second, nil)
	return f
}

// installHosts gives all hosts the list of hosts and a table.
func (f *followers) installHosts(list []object.Host) {
	for _, name := range f.names {
		f.reduce(name, core.HostsListed{Hosts: list})
		f.reduce(name, core.TableOpened{Snapshot: relayTable(1)})
	}
}

// newStartedFollowers returns hosts that do not know each other yet, and the list of
// these hosts.
func newStartedFollowers(t *testing.T, n int) (*followers, []object.Host) {
	f := &followers{
		t: t, now: time.Unix(1, 0), hosts: make(map[id.Host]*core.State), modes: make(map[id.Host]core.Follow),
		lastApplied: make(map[id.Host]core.ApplyPlatform),
		applied:     make(map[id.Host]int),
		copies:      make(map[id.Host]int),
		sentBytes:   make(map[id.Host]int),
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

// reduce handles an event on a host and delivers the resulting messages to the others.
func (f *followers) reduce(name id.Host, ev core.Event) {
	for _, e := range core.Reduce(f.hosts[name], core.Input{Now: f.now, Wall: f.now, Event: ev}) {
		switch e := e.(type) {
		case core.SendPeer:
			if n := forwardedBytes(e.Message); n > 0 {
				f.copies[name]++
				f.sentBytes[name] += n
			}
			f.reduce(e.To, core.PeerMessage{From: name, Incarnation: 1, Message: e.Message})
		case core.FollowPlatform:
			f.modes[name] = e.Follow
		case core.ApplyPlatform:
			f.lastApplied[name] = e
			f.applied[name]++
		case core.PeerContact:
			f.contacts = append(f.contacts, e.Since)
		case core.RefreshPlatform:
			f.refreshed++
		case core.ReadObject:
			f.reads = append(f.reads, e)
		case core.WriteObject:
			f.writes = append(f.writes, e)
		}
	}
}

// advance advances the clock. The watchers are in contact with the platform, except those
// in disconnected.
func (f *followers) advance(d time.Duration, disconnected map[id.Host]bool) {
	const tick = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		for _, name := range f.names {
			f.reduce(name, core.Tick{})
			if f.modes[name] == core.FollowAsWatcher {
				f.reduce(name, core.PlatformContact{Lost: disconnected[name]})
			}
		}
	}
}

func (f *followers) countMode(mode core.Follow) int {
	n := 0
	for _, name := range f.names {
		if f.modes[name] == mode {
			n++
		}
	}
	return n
}

func (f *followers) watchers() map[id.Host]bool {
	out := make(map[id.Host]bool)
	for name, mode := range f.modes {
		if mode == core.FollowAsWatcher {
			out[name] = true
		}
	}
	return out
}

// TestWatchers guards against a fleet in which all hosts or no hosts watch the platform.
func TestWatchers(t *testing.T) {
	f := newFollowers(t, 12)
	assert.Equal(t, f.countMode(core.FollowAsWatcher), 2)
	assert.Equal(t, f.countMode(core.FollowWatchers), 10)
}

// TestStrongWatchers guards against watchers on hosts that cannot carry the work, and
// against a fleet without watchers after the strong hosts are gone.
func TestStrongWatchers(t *testing.T) {
	f, list := newStartedFollowers(t, 12)
	strong := map[id.Host]bool{"h3": true, "h8": true}
	for i := range list {
		list[i].Capacity = 0.2
		if strong[list[i].Host] {
			list[i].Capacity = 0.8
		}
	}
	f.installHosts(list)
	f.advance(4*time.Second, nil)
	assert.DeepEqual(t, f.watchers(), strong)
	f.advance(200*time.Millisecond, strong)
	assert.Equal(t, f.countMode(core.FollowAsWatcher), 2)
	for name := range f.watchers() {
		assert.Assert(t, !strong[name], "%s has lost contact", name)
	}
}

// TestStartOfAll guards against hosts that start together and all watch the platform, and
// against a start after which no host watches it.
func TestStartOfAll(t *testing.T) {
	f, list := newStartedFollowers(t, 12)
	f.advance(300*time.Millisecond, nil)
	assert.Equal(t, f.countMode(core.FollowSelf)+f.countMode(core.FollowAsWatcher), 0)
	f.installHosts(list)
	for range 40 {
		f.advance(50*time.Millisecond, nil)
		assert.Equal(t, f.countMode(core.FollowSelf), 0)
		assert.Assert(t, f.countMode(core.FollowAsWatcher) <= 2)
	}
	assert.Equal(t, f.countMode(core.FollowAsWatcher), 2)
}

// TestLostWatchers guards against followers that miss changes because both watchers have
// lost contact with the platform. Other hosts must replace them immediately.
func TestLostWatchers(t *testing.T) {
	f := newFollowers(t, 12)
	disconnected := f.watchers()
	f.advance(200*time.Millisecond, disconnected)
	assert.Equal(t, f.countMode(core.FollowAsWatcher), 2)
	for name := range f.watchers() {
		assert.Assert(t, !disconnected[name], "%s has lost contact", name)
	}
	assert.Equal(t, f.countMode(core.FollowSelf), 0)
}

// TestOutageOfAll guards against hosts that rely on watchers which all have lost contact
// with the platform.
func TestOutageOfAll(t *testing.T) {
	f := newFollowers(t, 5)
	all := make(map[id.Host]bool)
	for _, name := range f.names {
		all[name] = true
	}
	f.advance(2500*time.Millisecond, all)
	assert.Equal(t, f.countMode(core.FollowWatchers), 0)
}

// TestForwardedChange guards against a watcher that does not forward a change it has
// read, and against a change that is applied twice.
func TestForwardedChange(t *testing.T) {
	f := newFollowers(t, 6)
	var watcher id.Host
	for name := range f.watchers() {
		watcher = name
	}
	changes := []message.PlatformChange{{Name: "i-1", Version: 7, Spec: []byte("x")}}
	f.reduce(watcher, core.PlatformChanged{ConfigSource: core.SourceEndpoints, Since: 5, Revision: 7, Changes: changes})
	for _, name := range f.names {
		if name != watcher {
			assert.Equal(t, f.lastApplied[name].Changes.Revision, uint64(7), name)
			assert.DeepEqual(t, f.lastApplied[name].Changes.Changes, changes)
		}
	}
	f.lastApplied = make(map[id.Host]core.ApplyPlatform)
	for _, name := range f.names {
		f.reduce(name, core.PlatformSeen{SeenRevisions: [core.SourceCount]uint64{core.SourceEndpoints: 7}})
	}
	f.reduce(watcher, core.PlatformChanged{ConfigSource: core.SourceEndpoints, Since: 5, Revision: 7, Changes: changes})
	assert.Equal(t, len(f.lastApplied), 0, "a change was applied twice")
}

// TestPassedBytes guards against watchers whose network links are saturated for seconds
// because they forward a whole configuration to each host. Later changes, such as a
// leaving endpoint, would arrive too late. The load is five versions in quick
// succession. The bound is the capacity of a 10 Mbit/s link in 2 s, the time within
// which a version must be in force.
func TestPassedBytes(t *testing.T) {
	const (
		hosts       = 77
		configBytes = 18_000 // 54 routes and 16 client accounts
		versions    = 5
		linkBytes   = 10_000_000 / 8 * 2
	)
	f := newFollowers(t, hosts)
	watcher := f.anyWatcher()
	for n := range uint64(versions) {
		changes := []message.PlatformChange{{Name: "main", Version: 7 + n, Spec: make([]byte, configBytes)}}
		f.reduce(watcher, core.PlatformChanged{
			ConfigSource: core.SourceConfig, Since: 6 + n, Revision: 7 + n, Changes: changes,
		})
	}
	for _, name := range f.names {
		assert.Assert(t, f.sentBytes[name] <= linkBytes, "%s: %d bytes", name, f.sentBytes[name])
	}
}

// TestChangeReachesAll guards against hosts that get a change twice or not at all, and
// against a number of copies per host that grows with the number of hosts. The bound is
// the square root of that number, rounded up, but not below 16.
func TestChangeReachesAll(t *testing.T) {
	for hosts, bound := range map[int]int{9: 16, 77: 16, 195: 16, 300: 18} {
		f := newFollowers(t, hosts)
		watcher := f.anyWatcher()
		f.applied = make(map[id.Host]int)
		changes := []message.PlatformChange{{Name: "i-1", Version: 7, Spec: []byte("x")}}
		f.reduce(watcher, core.PlatformChanged{ConfigSource: core.SourceEndpoints, Since: 5, Revision: 7, Changes: changes})
		for _, name := range f.names {
			want := 1
			if name == watcher {
				want = 0
			}
			assert.Equal(t, f.applied[name], want, "%s of %d", name, hosts)
			assert.Assert(t, f.copies[name] <= bound, "%s of %d sent %d copies", name, hosts, f.copies[name])
		}
	}
}

// anyWatcher returns the first host in the order of names that watches the platform.
func (f *followers) anyWatcher() id.Host {
	watchers := f.watchers()
	for _, name := range f.names {
		if watchers[name] {
			return name
		}
	}
	f.t.Fatal("no host watches the platform")
	return ""
}

// forwardedBytes returns the bytes of the changes in a message.
func forwardedBytes(m message.Message) int {
	var updates []message.PlatformUpdate
	switch m := m.(type) {
	case message.PlatformUpdate:
		updates = append(updates, m)
	case message.Broadcast:
		updates = m.Updates
	}
	n := 0
	for _, u := range updates {
		for _, c := range u.Changes {
			n += len(c.Spec)
		}
	}
	return n
}

// TestChangeAfterRestore guards against followers that drop a forwarded change because the
// store has come back from an older copy, in which the revision of the change is lower than
// what they have read. A message of before the restore that arrives late, and a host that
// sends no eras, must not raise the revisions again.
func TestChangeAfterRestore(t *testing.T) {
	f := newFollowers(t, 6)
	watcher := f.anyWatcher()
	for _, name := range f.names {
		f.reduce(name, core.PlatformSeen{Era: 1, SeenRevisions: [core.SourceCount]uint64{77, 77}})
	}
	changes := []message.PlatformChange{{Name: "main", Version: 61, Spec: []byte("x")}}
	for _, late := range []message.PlatformUpdate{
		{},
		{StoreEra: 1, SeenRevisions: []uint64{80, 80}},
		{StoreEra: 1, Revision: 81, Changes: changes},
		{SeenRevisions: []uint64{82, 82}},
	} {
		f.refreshed = 0
		f.reduce(watcher, core.PlatformSeen{Era: 2, SeenRevisions: [core.SourceCount]uint64{60, 60}})
		for _, name := range f.names {
			if name == watcher {
				continue
			}
			f.applied[name] = 0
			f.reduce(name, core.PeerMessage{From: watcher, Incarnation: 1, Message: late})
			assert.Equal(t, f.applied[name], 0, "%s applied a change of before the restore", name)
		}
		f.reduce(watcher, core.PlatformChanged{ConfigSource: core.SourceConfig, Era: 2, Since: 60, Revision: 61, Changes: changes})
		for _, name := range f.names {
			if name != watcher {
				assert.Equal(t, f.applied[name], 1, name)
				assert.Equal(t, f.lastApplied[name].Changes.Era, uint64(2))
			}
		}
	}
	assert.Equal(t, f.refreshed, 0, "sources are read again although nothing is newer")
}

// TestRefreshAfterRestore guards against hosts that read nothing again after a restore that
// only one of them has seen.
func TestRefreshAfterRestore(t *testing.T) {
	f := newFollowers(t, 6)
	for _, name := range f.names {
		f.reduce(name, core.PlatformSeen{Era: 1, SeenRevisions: [core.SourceCount]uint64{77, 77}})
	}
	f.refreshed = 0
	f.reduce(f.anyWatcher(), core.PlatformSeen{Era: 2})
	assert.Equal(t, f.refreshed, len(f.names)-1)
}

// TestLeasesAfterRestore guards against a host that goes on with leases of which the store may
// know nothing any more: a result of a call of before a restore must not count, and the
// objects must be read again under the new era.
func TestLeasesAfterRestore(t *testing.T) {
	f := newFollowers(t, 1)
	host := f.names[0]
	f.reduce(host, core.PlatformSeen{Era: 1})
	f.advance(2*time.Second, nil)
	assert.Assert(t, len(f.reads) > 0)
	for _, r := range f.reads {
		f.reduce(host, core.ObjectRead{Kind: r.Kind, Name: r.Name, SentEra: r.Era, Era: 1})
	}
	assert.Assert(t, len(f.writes) > 0)
	writes := f.writes
	f.writes, f.reads = nil, nil
	for i, w := range writes {
		f.reduce(host, core.ObjectWritten{
			Kind: w.Kind, Name: w.Name, Version: uint64(i + 1), Outcome: object.WriteDone, SentEra: w.Era, Era: 2,
		})
	}
	f.advance(time.Second, nil)
	assert.Equal(t, len(f.writes), 0, "a lease is used or written although the store may have lost its holder")
	assert.Assert(t, len(f.reads) > 0)
	for _, r := range f.reads {
		assert.Equal(t, r.Era, uint64(2))
	}
}
