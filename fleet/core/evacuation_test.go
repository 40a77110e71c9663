package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/message"
)

// TestEvacuationForwarded guards against evacuations that a watcher doesn't forward, and that
// hosts miss whose watcher has named a revision and died before it could forward the change.
func TestEvacuationForwarded(t *testing.T) {
	f := newFollowers(t, 6)
	watcher := f.anyWatcher()
	changes := []message.PlatformChange{{Name: "az-a", Version: 7}}
	f.reduce(watcher, core.PlatformChanged{ConfigSource: core.SourceEvacuations, Since: 5, Revision: 7, Changes: changes})
	for _, name := range f.names {
		assert.Equal(t, f.lastApplied[name].Changes.Revision == 7, name != watcher)
	}
	f.reduce(watcher, core.PlatformSeen{SeenRevisions: [core.SourceCount]uint64{4, 4, 7}})
	assert.Equal(t, f.refreshed, len(f.names)-1)
}

// TestNamedRevisions guards against a number of revisions that hosts of older versions don't
// know in deployments without evacuations, and against one that is not understood.
func TestNamedRevisions(t *testing.T) {
	for want, seen := range map[int][core.SourceCount]uint64{2: {4, 5}, 3: {4, 5, 6}} {
		f := newFollowers(t, 2)
		in := core.Input{Now: f.now, Wall: f.now, Event: core.PlatformSeen{SeenRevisions: seen}}
		m := core.Reduce(f.hosts["h0"], in)[0].(core.SendPeer).Message.(message.PlatformUpdate)
		assert.Equal(t, len(m.SeenRevisions), want)
		f.reduce("h1", core.PeerMessage{From: "h0", Incarnation: 1, Message: m})
		assert.Equal(t, f.refreshed, 1)
		m.SeenRevisions = []uint64{9, 9, 9, 9}
		f.reduce("h1", core.PeerMessage{From: "h0", Incarnation: 1, Message: m})
		assert.Equal(t, f.refreshed, 1)
	}
}
