package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// TestPeerContact guards against a host that does not learn from the watchers that the platform
// was available while it had lost contact, and against a single call of a watcher that fails
// and is taken for an outage.
func TestPeerContact(t *testing.T) {
	f := newFollowers(t, 12)
	begin := f.now
	f.advance(3*time.Second, nil)
	for name := range f.watchers() {
		f.reduce(name, core.PlatformContact{Lost: true})
		f.reduce(name, core.PlatformContact{})
	}
	f.contacts = nil
	f.advance(time.Second, nil)
	assert.Assert(t, len(f.contacts) >= 2*(len(f.names)-1), "%d", len(f.contacts))
	for _, since := range f.contacts {
		assert.Assert(t, !since.After(begin), "%s after the watchers had contact", since.Sub(begin))
	}
}

// TestNoPeerContactInOutage guards against a host that takes an outage of the platform for a
// loss of its own contact, because a watcher counts its contact of before the outage.
func TestNoPeerContactInOutage(t *testing.T) {
	f := newFollowers(t, 5)
	all := make(map[id.Host]bool)
	for _, name := range f.names {
		all[name] = true
	}
	f.contacts = nil
	f.advance(5*time.Second, all)
	assert.Equal(t, len(f.contacts), 0)
	end := f.now
	f.advance(10*time.Second, nil)
	assert.Assert(t, len(f.contacts) > 0)
	for _, since := range f.contacts {
		assert.Assert(t, since.After(end), "%s before the end of the outage", end.Sub(since))
	}
}

// TestReadAfterOutage guards against a watcher that counts an outage as contact when it
// announces the first revision that it has read afterwards.
func TestReadAfterOutage(t *testing.T) {
	f := newFollowers(t, 2)
	f.now = f.now.Add(10 * time.Second)
	f.contacts = nil
	for name := range f.watchers() {
		f.reduce(name, core.PlatformSeen{SeenRevisions: [core.SourceCount]uint64{core.SourceEndpoints: 90}})
		f.reduce(name, core.PlatformContact{})
	}
	f.advance(time.Second, nil)
	assert.Assert(t, len(f.contacts) > 0)
	for _, since := range f.contacts {
		assert.Assert(t, f.now.Sub(since) < 2*time.Second, "%s of contact", f.now.Sub(since))
	}
}
