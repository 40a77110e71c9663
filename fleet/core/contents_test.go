package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
)

// TestOtherContents guards against followers that keep an object which was removed while no host
// watched the platform. They know other objects at the revision that a watcher names.
func TestOtherContents(t *testing.T) {
	f := newFollowers(t, 6)
	seen := func(digest uint64) core.PlatformSeen {
		return core.PlatformSeen{
			SeenRevisions: [core.SourceCount]uint64{core.SourceEndpoints: 7}, Digests: [core.SourceCount]uint64{core.SourceEndpoints: digest},
		}
	}
	for _, name := range f.names {
		f.reduce(name, seen(1))
	}
	for _, tt := range []struct {
		name   string
		digest uint64
		want   int
	}{
		{"the same objects", 1, 0},
		{"not read since it watches", 0, 0},
		{"other objects", 2, len(f.names) - 1},
	} {
		f.refreshed = 0
		f.reduce(f.anyWatcher(), seen(tt.digest))
		assert.Equal(t, f.refreshed, tt.want, tt.name)
	}
}
