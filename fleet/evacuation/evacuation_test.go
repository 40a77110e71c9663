package evacuation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/evacuation"
	"ragwortshunt.example/fleet/id"
)

var start = time.Unix(1, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestZones guards against a zone that stays evacuated after its entry is gone, or is used
// while it has one, and against a host that sends requests before it knows the zones.
func TestZones(t *testing.T) {
	s := evacuation.New(evacuation.DefaultConfig())
	assert.Assert(t, !evacuation.IsKnown(s))
	assert.Assert(t, evacuation.Replace(s, start, nil), "the first list makes the zones known")
	assert.Assert(t, evacuation.IsKnown(s))
	assert.Assert(t, !evacuation.Replace(s, start, nil))
	assert.Assert(t, evacuation.Apply(s, []evacuation.Change{{Zone: "b"}, {Zone: "a"}}))
	assert.Assert(t, !evacuation.Apply(s, []evacuation.Change{{Zone: "b"}, {Zone: "c", Removed: true}}))
	assert.DeepEqual(t, evacuation.Zones(s), []id.Zone{"a", "b"})
	assert.Assert(t, evacuation.Apply(s, []evacuation.Change{{Zone: "b", Removed: true}}))
	assert.Assert(t, evacuation.Replace(s, start, []id.Zone{"c"}))
	assert.DeepEqual(t, evacuation.Zones(s), []id.Zone{"c"})
}

// TestRestore guards against requests to a zone whose entry the copy lacks from which the
// store has come back, against a zone that then stays evacuated for ever, and against a
// removal after the restore that takes effect late.
func TestRestore(t *testing.T) {
	for name, tt := range map[string]struct {
		listed []id.Zone
		change []evacuation.Change
		early  []id.Zone
		late   []id.Zone
	}{
		"entry lost":     {early: []id.Zone{"a"}},
		"entry kept":     {listed: []id.Zone{"a"}, early: []id.Zone{"a"}, late: []id.Zone{"a"}},
		"written again":  {change: []evacuation.Change{{Zone: "a"}}, early: []id.Zone{"a"}, late: []id.Zone{"a"}},
		"removed again":  {listed: []id.Zone{"a"}, change: []evacuation.Change{{Zone: "a", Removed: true}}},
		"older entry":    {listed: []id.Zone{"b"}, early: []id.Zone{"a", "b"}, late: []id.Zone{"b"}},
		"another change": {change: []evacuation.Change{{Zone: "b"}}, early: []id.Zone{"a", "b"}, late: []id.Zone{"b"}},
	} {
		s := evacuation.New(evacuation.DefaultConfig())
		evacuation.Replace(s, start, []id.Zone{"a"})
		evacuation.RecordRestore(s, start)
		evacuation.Replace(s, start, tt.listed)
		evacuation.Apply(s, tt.change)
		assert.Assert(t, !evacuation.Expire(s, at(4900*time.Millisecond)), name)
		assert.Equal(t, len(evacuation.Zones(s)), len(tt.early), name)
		evacuation.Expire(s, at(5*time.Second))
		assert.Equal(t, len(evacuation.Zones(s)), len(tt.late), name)
	}
}
