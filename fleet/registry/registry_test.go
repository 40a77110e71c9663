package registry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/registry"
	"ragwortshunt.example/fleet/table"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func entry(name string) registry.Entry {
	return registry.Entry{Name: name, Service: "s", Endpoint: table.Endpoint{
		Name: registry.EndpointName(name, "1"), State: table.StateActive,
	}}
}

func names(s *registry.State) []string {
	out := []string{}
	for _, e := range registry.Entries(s) {
		out = append(out, e.Name)
	}
	return out
}

// TestQuietWatch guards against mistaking an idle watch for a platform outage. An
// endpoint whose entry was removed would then continue to receive requests.
func TestQuietWatch(t *testing.T) {
	s := registry.New(registry.DefaultConfig())
	registry.Replace(s, at(0), []registry.Entry{entry("a"), entry("b")})
	changed := registry.Apply(s, at(10*time.Second), []registry.Change{{Entry: registry.Entry{Name: "a"}, Removed: true}})
	assert.Assert(t, changed)
	assert.DeepEqual(t, names(s), []string{"b"})
}

// TestOutage guards against dropping endpoints whose entries expired during an outage
// because they could not be renewed, and against keeping endpoints that do not
// register again.
func TestOutage(t *testing.T) {
	s := registry.New(registry.DefaultConfig())
	registry.Replace(s, at(0), []registry.Entry{entry("a"), entry("b")})
	registry.RecordFailure(s)
	registry.Replace(s, at(5*time.Second), nil)
	assert.DeepEqual(t, names(s), []string{"a", "b"})
	registry.Apply(s, at(6*time.Second), []registry.Change{{Entry: entry("a")}})
	assert.Assert(t, !registry.Expire(s, at(6500*time.Millisecond)))
	registry.RecordResponse(s, at(7100*time.Millisecond))
	assert.Assert(t, registry.Expire(s, at(7200*time.Millisecond)))
	assert.DeepEqual(t, names(s), []string{"a"})
}

// TestRepeatedOutage guards against dropping entries at the end of the grace period
// while the platform is failing again and cannot list them.
func TestRepeatedOutage(t *testing.T) {
	s := registry.New(registry.DefaultConfig())
	registry.Replace(s, at(0), []registry.Entry{entry("a")})
	registry.RecordFailure(s)
	registry.Replace(s, at(5*time.Second), nil)
	registry.RecordFailure(s)
	assert.Assert(t, !registry.Expire(s, at(9*time.Second)))
	assert.DeepEqual(t, names(s), []string{"a"})
}

// TestNoGraceForLeaving guards against granting the grace period to an endpoint that
// has announced that it is leaving.
func TestNoGraceForLeaving(t *testing.T) {
	s := registry.New(registry.DefaultConfig())
	leaving := entry("a")
	leaving.State = table.StateLeaving
	registry.Replace(s, at(0), []registry.Entry{leaving})
	registry.RecordFailure(s)
	assert.Assert(t, registry.Replace(s, at(5*time.Second), nil))
	assert.DeepEqual(t, names(s), []string{})
}

// TestNoGraceForInvalid guards against granting the grace period to an endpoint whose entry
// has been overwritten by one that names none.
func TestNoGraceForInvalid(t *testing.T) {
	s := registry.New(registry.DefaultConfig())
	registry.Replace(s, at(0), []registry.Entry{entry("a"), entry("b")})
	registry.RecordFailure(s)
	changed := registry.Apply(s, at(5*time.Second), []registry.Change{{Entry: registry.Entry{Name: "a"}, Invalid: true}})
	assert.Assert(t, changed)
	assert.DeepEqual(t, names(s), []string{"b"})
	assert.Assert(t, !registry.Apply(s, at(5*time.Second), []registry.Change{{Entry: registry.Entry{Name: "a"}, Invalid: true}}))
}

// TestRestart guards against treating a restarted endpoint as its predecessor, whose
// recorded state no longer applies.
func TestRestart(t *testing.T) {
	first, second := registry.EndpointName("i-1", "a"), registry.EndpointName("i-1", "b")
	assert.Assert(t, first != second)
	assert.Equal(t, registry.Instance(first), "i-1")
	assert.Equal(t, registry.Instance(id.Endpoint("plain")), "")
}

// TestRestoredPlatform guards against requests to an endpoint that had left, because the
// platform has come back from a copy that still lists it, and against endpoints that are
// dropped because the copy lacks them.
func TestRestoredPlatform(t *testing.T) {
	leaving := func(e registry.Entry) registry.Entry {
		e.State = table.StateLeaving
		return e
	}
	older := []registry.Entry{entry("gone"), entry("leaving"), entry("stays"), entry("restarted")}
	restarted := entry("restarted")
	restarted.Endpoint.Name = registry.EndpointName("restarted", "2")
	s := registry.New(registry.DefaultConfig())
	registry.Replace(s, at(0), older)
	newer := []registry.Entry{leaving(entry("leaving")), entry("stays"), restarted, entry("added")}
	registry.Replace(s, at(5*time.Second), newer)
	want := []registry.Entry{newer[3], newer[0], restarted, newer[1]}

	registry.RecordRestore(s, at(10*time.Second))
	registry.Replace(s, at(10*time.Second), older)
	assert.DeepEqual(t, registry.Entries(s), want)
	registry.Apply(s, at(11*time.Second), []registry.Change{{Entry: entry("added")}, {Entry: restarted}})
	registry.RecordResponse(s, at(13*time.Second))
	registry.Expire(s, at(13*time.Second))
	assert.DeepEqual(t, registry.Entries(s), want)

	// What is still listed after the hold is in use again; what was removed is not.
	registry.Apply(s, at(14*time.Second), []registry.Change{{Entry: registry.Entry{Name: "gone"}, Removed: true}})
	assert.Assert(t, registry.Expire(s, at(15*time.Second)))
	want[1] = entry("leaving")
	assert.DeepEqual(t, registry.Entries(s), want)
}

// TestReturnWithoutRestore guards against an endpoint that stays out of use although it has
// registered again and the platform has not been restored.
func TestReturnWithoutRestore(t *testing.T) {
	s := registry.New(registry.DefaultConfig())
	registry.Replace(s, at(0), []registry.Entry{entry("a")})
	registry.Apply(s, at(time.Second), []registry.Change{{Entry: registry.Entry{Name: "a"}, Removed: true}})
	registry.Apply(s, at(2*time.Second), []registry.Change{{Entry: entry("a")}})
	assert.DeepEqual(t, names(s), []string{"a"})
}
