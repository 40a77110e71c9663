package table_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// drawSnapshot generates a valid snapshot.
func drawSnapshot(t *rapid.T) *table.Snapshot {
	s := &table.Snapshot{
		Accounts:  map[id.Account]table.Account{},
		Pools:     map[id.Pool]table.Pool{},
		Endpoints: map[id.Endpoint]table.Endpoint{},
		Routes:    map[id.Route]table.Route{},
		Keys:      map[id.KeyID]table.Key{},
	}
	for i := range rapid.IntRange(1, 60).Draw(t, "accounts") {
		name := id.Account(fmt.Sprintf("account-%d", i))
		s.Accounts[name] = table.Account{Name: name, Weight: draw(t, 1, 1e6), Rate: draw(t, 1, 1e9), Burst: draw(t, 1, 1e9)}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "models") {
		drawModel(t, s, i)
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "services") {
		drawService(t, s, i)
	}
	random := bytes.NewReader(rapid.SliceOfN(rapid.Byte(), 36*20, 36*20).Draw(t, "random"))
	for i := range rapid.IntRange(0, 20).Draw(t, "keys") {
		_, key, err := table.NewKey(random, id.KeyID(fmt.Sprintf("key-%d", i)), "account-0")
		assert.NilError(t, err)
		key.State = rapid.SampledFrom([]table.State{table.StateActive, table.StateWithdrawn}).Draw(t, "state")
		s.Keys[key.ID] = key
	}
	return s
}

func draw(t *rapid.T, low, high int64) int64 { return rapid.Int64Range(low, high).Draw(t, "number") }

func drawModel(t *rapid.T, s *table.Snapshot, i int) {
	model := id.Model(fmt.Sprintf("Model_%d.b", i))
	for _, role := range []table.Role{table.RolePrefill, table.RoleDecode} {
		p := table.Pool{
			Name: id.Pool(fmt.Sprintf("%s-%d", role, i)), Role: role, Model: model, Slots: draw(t, 1, 1e5),
			Blocks: draw(t, 1, 1e9), BlockTokens: draw(t, 1, 1e9), LinkRate: draw(t, 1, 1e9), MaxQueue: draw(t, 1, 1e6),
		}
		if role == table.RolePrefill {
			p.PrefillRate = draw(t, 1, 1e9)
		}
		s.Pools[p.Name] = p
		drawEndpoints(t, s, p.Name)
	}
	r := drawRoute(t, id.Route(fmt.Sprintf("model-route-%d", i)))
	r.Model, r.Idempotent, r.CanWait, r.MaxTokens = model, true, rapid.Bool().Draw(t, "can-wait"), draw(t, 1, 1e6)
	r.FirstToken = time.Duration(draw(t, 1, 3.6e6)) * time.Millisecond
	r.BetweenTokens = time.Duration(draw(t, 1, 6e4)) * time.Millisecond
	s.Routes[r.Name] = r
}

func drawService(t *rapid.T, s *table.Snapshot, i int) {
	p := table.Pool{Name: id.Pool(fmt.Sprintf("service-%d", i)), Role: table.RoleService, Slots: draw(t, 1, 1e5), MaxQueue: draw(t, 1, 1e6)}
	s.Pools[p.Name] = p
	drawEndpoints(t, s, p.Name)
	r := drawRoute(t, id.Route(fmt.Sprintf("service-route-%d", i)))
	r.Pool, r.Idempotent = p.Name, rapid.Bool().Draw(t, "idempotent")
	s.Routes[r.Name] = r
}

func drawRoute(t *rapid.T, name id.Route) table.Route {
	r := table.Route{Name: name, Open: rapid.Bool().Draw(t, "open")}
	r.Class = rapid.SampledFrom([]message.Class{message.ClassInteractive, message.ClassDeferrable}).Draw(t, "class")
	r.MaxStaleness = time.Duration(draw(t, 0, 2592000)) * time.Second
	if r.Open {
		r.Account = "account-0"
	}
	return r
}

func drawEndpoints(t *rapid.T, s *table.Snapshot, pool id.Pool) {
	for range rapid.IntRange(0, 12).Draw(t, "endpoints") {
		n := len(s.Endpoints)
		e := table.Endpoint{Name: id.Endpoint(fmt.Sprintf("endpoint-%d", n)), Pool: pool, Zone: id.Zone(fmt.Sprintf("zone-%d", n%3))}
		e.Address = fmt.Sprintf("10.0.%d.%d:80", n/250, n%250+1)
		e.Fencing = rapid.SampledFrom([]table.Fencing{table.FencingChecked, table.FencingIgnored}).Draw(t, "fencing")
		e.State = rapid.SampledFrom([]table.State{table.StateActive, table.StateLeaving}).Draw(t, "state")
		s.Endpoints[e.Name] = e
	}
}

// Guards against values that are lost in the conversion between snapshot, CSV and
// segments.
func TestRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		var b bytes.Buffer
		assert.NilError(t, table.Format(&b, s))
		parsed, err := table.Parse(&b, "table.csv")
		assert.NilError(t, err)
		assert.DeepEqual(t, parsed, s)

		version := rapid.Uint64Min(1).Draw(t, "version")
		manifest, segments, err := table.Split(s, version)
		assert.NilError(t, err)
		s.Version = version
		opened, err := table.Open(manifest, segments)
		assert.NilError(t, err)
		assert.DeepEqual(t, opened, s)
		stored, err := table.ManifestVersion(manifest)
		assert.NilError(t, err)
		assert.Equal(t, stored, version)
		for _, segment := range segments {
			assert.Assert(t, len(segment) <= 8<<10)
		}
	})
}

// Guards against installing a table with a missing or corrupt segment or a truncated
// manifest.
func TestOpenDamaged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manifest, segments, err := table.Split(drawSnapshot(t), 7)
		assert.NilError(t, err)
		name := rapid.SampledFrom(slices.Sorted(maps.Keys(segments))).Draw(t, "segment")
		have := map[string]bool{}
		for other := range segments {
			have[other] = other != name
		}
		missing, err := table.Missing(manifest, have)
		assert.NilError(t, err)
		assert.DeepEqual(t, missing, []string{name})

		segment := bytes.Clone(segments[name])
		delete(segments, name)
		_, err = table.Open(manifest, segments)
		assert.ErrorIs(t, err, table.ErrMissingSegment)

		segment[rapid.IntRange(0, len(segment)-1).Draw(t, "byte")] ^= 1
		segments[name] = segment
		_, err = table.Open(manifest, segments)
		assert.ErrorIs(t, err, table.ErrCorruptSegment)

		at := rapid.IntRange(0, len(manifest)-1).Draw(t, "manifest byte")
		_, err = table.Open(manifest[:at], segments)
		assert.ErrorIs(t, err, table.ErrManifest)
	})
}

// Guards against a change of one row that rewrites many segments.
func TestSplitOneRowChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		_, before, err := table.Split(s, 1)
		assert.NilError(t, err)
		name := rapid.SampledFrom(slices.Sorted(maps.Keys(s.Accounts))).Draw(t, "account")
		a := s.Accounts[name]
		a.Weight = a.Weight%9 + 1
		s.Accounts[name] = a
		_, after, err := table.Split(s, 2)
		assert.NilError(t, err)
		changed := 0
		for name := range after {
			if before[name] == nil {
				changed++
			}
		}
		assert.Assert(t, changed <= 3, "%d segments changed", changed)
	})
}

// Guards against writing a table to the platform that cannot be read back.
func TestSplitInvalid(t *testing.T) {
	s, _ := readExample(t, "wales.csv")
	r := s.Routes["issue-label"]
	r.MaxStaleness = 1500 * time.Millisecond
	s.Routes[r.Name] = r
	_, _, err := table.Split(s, 1)
	assert.ErrorContains(t, err, "whole multiples")
	assert.ErrorContains(t, table.Format(&bytes.Buffer{}, s), "whole multiples")
	r.MaxStaleness = time.Second
	r.Pool = "none"
	s.Routes[r.Name] = r
	_, _, err = table.Split(s, 1)
	assert.ErrorContains(t, err, `pool "none" is unknown`)
}

// Guards against dropping versions from the history too early: their segments would be
// removed while hosts with a stale manifest still read them.
func TestManifestHistory(t *testing.T) {
	s, _ := readExample(t, "wales.csv")
	var last table.Manifest
	var versions []table.Manifest
	for version := uint64(1); version <= 8; version++ {
		a := s.Accounts["label-public"]
		a.Rate = int64(version)
		s.Accounts[a.Name] = a
		raw, _, err := table.Split(s, version)
		assert.NilError(t, err)
		m, err := table.ParseManifest(raw)
		assert.NilError(t, err)
		if version > 1 {
			m = m.WithHistory(last, 5)
		}
		last, versions = m, append(versions, m)
	}
	uses := last.ReferencedSegments()
	for i, m := range versions {
		kept := !slices.ContainsFunc(m.Segments, func(name string) bool { return !uses[name] })
		assert.Equal(t, kept, i >= 2, "version %d", m.Version)
		assert.Equal(t, last.Contains(m), i >= 2, "version %d", m.Version)
		previous, ok := last.Previous(m.Version)
		assert.Equal(t, ok, i >= 2 && i < 7, "version %d", m.Version)
		if ok {
			assert.DeepEqual(t, previous.Segments, m.Segments)
		}
	}
}
