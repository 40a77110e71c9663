package registry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/registry"
)

func removed(name string) []registry.Change {
	return []registry.Change{{Entry: registry.Entry{Name: name}, Removed: true}}
}

// regain returns a registry whose host has lost contact at 10 s and regained it at 14 s, when
// the entry a was no longer listed.
func regain(peerSince, peerNow time.Duration) *registry.State {
	s := registry.New(registry.DefaultConfig())
	registry.Replace(s, at(10*time.Second), []registry.Entry{entry("a"), entry("b"), entry("c")})
	registry.RecordFailure(s)
	if peerNow > 0 && peerNow <= 14*time.Second {
		registry.RecordPeerContact(s, at(peerSince), at(peerNow))
	}
	registry.Replace(s, at(14*time.Second), []registry.Entry{entry("b"), entry("c")})
	if peerNow > 14*time.Second {
		registry.RecordPeerContact(s, at(peerSince), at(peerNow))
		registry.Expire(s, at(peerNow))
	}
	return s
}

// TestOwnLoss guards against requests to removed endpoints from a host that was cut off from a
// platform which was available to its peers: to those removed meanwhile, and to those removed
// after the host has regained contact.
func TestOwnLoss(t *testing.T) {
	for _, peerNow := range []time.Duration{13500 * time.Millisecond, 14 * time.Second, 14500 * time.Millisecond} {
		s := regain(time.Second, peerNow)
		assert.DeepEqual(t, names(s), []string{"b", "c"})
		assert.Assert(t, registry.Apply(s, at(14600*time.Millisecond), removed("b")))
		assert.DeepEqual(t, names(s), []string{"c"})
	}
}

// TestOutageOfAll guards against dropping endpoints whose entries have expired in an outage of
// the platform, because a peer was in contact before it, after it or for a part of it.
func TestOutageOfAll(t *testing.T) {
	for _, peer := range [][2]time.Duration{
		{0, 0},
		{time.Second, 10 * time.Second},
		{time.Second, 12 * time.Second},
		{13900 * time.Millisecond, 14500 * time.Millisecond},
		{12 * time.Second, 15 * time.Second},
	} {
		s := regain(peer[0], peer[1])
		registry.Apply(s, at(15*time.Second), removed("b"))
		assert.DeepEqual(t, names(s), []string{"a", "b", "c"})
		registry.RecordResponse(s, at(16*time.Second))
		assert.Assert(t, registry.Expire(s, at(16*time.Second)))
		assert.DeepEqual(t, names(s), []string{"c"})
	}
}

// TestOutageAfterContact guards against a peer's contact of before an outage that counts as
// contact during it, when the peer states its contact of after the outage.
func TestOutageAfterContact(t *testing.T) {
	s := registry.New(registry.DefaultConfig())
	registry.RecordPeerContact(s, at(time.Second), at(10*time.Second))
	registry.Replace(s, at(10*time.Second), []registry.Entry{entry("a")})
	registry.RecordFailure(s)
	registry.Replace(s, at(14*time.Second), nil)
	registry.RecordPeerContact(s, at(13900*time.Millisecond), at(14500*time.Millisecond))
	assert.Assert(t, !registry.Expire(s, at(14500*time.Millisecond)))
	assert.DeepEqual(t, names(s), []string{"a"})
}

// TestContactOverRestore guards against dropping endpoints that the copy lacks from which the
// platform has come back, because a peer was in contact all the while.
func TestContactOverRestore(t *testing.T) {
	s := registry.New(registry.DefaultConfig())
	registry.Replace(s, at(10*time.Second), []registry.Entry{entry("a")})
	registry.RecordFailure(s)
	registry.RecordRestore(s, at(14*time.Second))
	registry.Replace(s, at(14*time.Second), nil)
	registry.RecordPeerContact(s, at(time.Second), at(14500*time.Millisecond))
	assert.Assert(t, !registry.Expire(s, at(14500*time.Millisecond)))
	assert.DeepEqual(t, names(s), []string{"a"})
}

// TestColdOverRestore guards against an endpoint that gets any number of requests while it is cold,
// because a restored platform lists what it said before, and against one that stays cold.
func TestColdOverRestore(t *testing.T) {
	cold := entry("a")
	cold.Cold = true
	s := registry.New(registry.DefaultConfig())
	registry.Replace(s, at(10*time.Second), []registry.Entry{cold})
	registry.RecordRestore(s, at(11*time.Second))
	registry.Replace(s, at(11*time.Second), []registry.Entry{entry("a")})
	assert.Assert(t, registry.Entries(s)[0].Cold)
	assert.Assert(t, registry.Apply(s, at(17*time.Second), []registry.Change{{Entry: entry("a")}}))
	assert.Assert(t, !registry.Entries(s)[0].Cold)
}
