package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/message"
)

// TestEvacuationForwarded guards against evacuations that a watcher doesn't forward, that hosts
// miss whose watcher has named a revision and died before it could forward the change, and that
// make hosts of older versions ignore the revisions of the other sources.
func TestEvacuationForwarded(t *testing.T) {
	f := newFollowers(t, 6)
	watcher := f.anyWatcher()
	changes := []message.PlatformChange{{Name: "az-a", Version: 7}}
	f.reduce(watcher, core.PlatformChanged{ConfigSource: core.SourceEvacuations, Since: 5, Revision: 7, Changes: changes})
	for _, name := range f.names {
		if name != watcher {
			assert.Equal(t, f.lastApplied[name].Changes.ConfigSource, core.SourceEvacuations)
		}
	}
	f.reduce(watcher, core.PlatformSeen{SeenRevisions: [core.SourceCount]uint64{4, 4, 7}})
	assert.Equal(t, f.refreshed, len(f.names)-1)
}

// TestNamedRevisions guards against a number of revisions that hosts of older versions don't
// know in deployments without evacuations, and against one that is not understood.
func TestNamedRevisions(t *testing.T) {
	for _, tt := range []struct {
		seen [core.SourceCount]uint64
		want int
	}{
		{[core.SourceCount]uint64{4, 5}, 2}, {[core.SourceCount]uint64{4, 5, 6}, 3},
	} {
		f := newFollowers(t, 2)
		watcher := f.anyWatcher()
		for _, e := range core.Reduce(f.hosts[watcher], core.Input{Now: f.now, Wall: f.now, Event: core.PlatformSeen{SeenRevisions: tt.seen}}) {
			send, ok := e.(core.SendPeer)
			assert.Assert(t, ok)
			m := send.Message.(message.PlatformUpdate)
			assert.Equal(t, len(m.SeenRevisions), tt.want)
			f.reduce(send.To, core.PeerMessage{From: watcher, Incarnation: 1, Message: m})
		}
		assert.Equal(t, f.refreshed, 1)
	}
	f := newFollowers(t, 2)
	f.reduce("h0", core.PeerMessage{From: "h1", Incarnation: 1, Message: message.PlatformUpdate{SeenRevisions: []uint64{9, 9, 9, 9}}})
	assert.Equal(t, f.refreshed, 0)
}
