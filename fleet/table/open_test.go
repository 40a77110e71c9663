package table_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// mutate applies one random change that keeps the table valid. The change may have no
// effect.
func mutate(t *rapid.T, s *table.Snapshot, n int) {
	account := id.Account(fmt.Sprintf("account-%d", rapid.IntRange(0, 70).Draw(t, "account")))
	key := id.KeyID(fmt.Sprintf("key-%d", rapid.IntRange(0, 20).Draw(t, "key")))
	endpoint := id.Endpoint(fmt.Sprintf("endpoint-%d", rapid.IntRange(0, 30).Draw(t, "endpoint")))
	k, hasKey := s.Keys[key]
	e, hasEndpoint := s.Endpoints[endpoint]
	switch rapid.IntRange(0, 7).Draw(t, "change") {
	case 0:
		s.Accounts[account] = table.Account{Name: account, Weight: 1, Rate: draw(t, 1, 1e9), Burst: 1}
	case 1:
		if account != "account-0" {
			delete(s.Accounts, account)
		}
	case 2:
		delete(s.Keys, key)
	case 3:
		delete(s.Endpoints, endpoint)
	case 4:
		if hasKey {
			k.State = table.StateWithdrawn
			s.Keys[key] = k
		}
	case 5, 6:
		if hasEndpoint {
			e.Address = fmt.Sprintf("10.1.0.%d:80", n+1)
			s.Endpoints[endpoint] = e
		}
	case 7:
		for name, p := range s.Pools {
			p.Slots = 7
			s.Pools[name] = p
		}
	}
}

// Guards against OpenIncremental returning a snapshot that differs from the stored one
// when it decodes only the segments that differ from an earlier version.
func TestOpenIncremental(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawSnapshot(t)
		after := &table.Snapshot{
			Accounts: maps.Clone(before.Accounts), Pools: maps.Clone(before.Pools), Endpoints: maps.Clone(before.Endpoints),
			Routes: maps.Clone(before.Routes), Keys: maps.Clone(before.Keys),
		}
		for n := range rapid.IntRange(0, 3).Draw(t, "changes") {
			mutate(t, after, n)
		}
		old, segments, err := table.Split(before, 1)
		assert.NilError(t, err)
		manifest, added, err := table.Split(after, 2)
		assert.NilError(t, err)
		maps.Copy(segments, added)
		before.Version, after.Version = 1, 2
		got, err := table.OpenIncremental(before, old, manifest, segments)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, after)
		opened, err := table.Open(old, segments)
		assert.NilError(t, err)
		assert.DeepEqual(t, opened, before)
	})
}

// manifestOf returns a manifest of the given segments and the segments by name. It
// allows segments that Split would not write.
func manifestOf(t *testing.T, version uint64, segments ...string) ([]byte, map[string][]byte) {
	byName := map[string][]byte{}
	for _, s := range segments {
		byName[table.SegmentName([]byte(s))] = []byte(s)
	}
	m := table.Manifest{Format: 1, Version: version, Segments: slices.Sorted(maps.Keys(byName))}
	sum := sha256.Sum256([]byte(strings.Join(m.Segments, "\n") + "\n"))
	m.Digest = hex.EncodeToString(sum[:16])
	out, err := m.Bytes()
	assert.NilError(t, err)
	return out, byName
}

// Guards against OpenIncremental accepting a table whose errors only show in a check
// across segments, such as a reference to a removed row.
func TestOpenIncrementalFaults(t *testing.T) {
	const (
		accounts = "kind,name,weight,rate-tokens-per-s,burst-tokens\naccount,a,1,10,100\n"
		pools    = "kind,name,role,slots,max-queue\npool,p,service,1,1\n"
		endpoint = "kind,name,pool,zone,address\nendpoint,e,p,z,10.0.0.1:80\n"
	)
	key := "kind,name,account,salt,hash\nkey,k,a," + strings.Repeat("0", 32) + "," + strings.Repeat("0", 64) + "\n"
	all := []string{accounts, pools, endpoint, key}
	tests := []struct {
		name string
		next []string
	}{
		{"account of a key removed", []string{pools, endpoint, key}},
		{"pool of an endpoint removed", []string{accounts, endpoint, key}},
		{"key of an unknown account", append(slices.Clone(all), strings.Replace(strings.Replace(key, ",a,", ",b,", 1), "key,k", "key,l", 1))},
		{"account defined twice", append(slices.Clone(all), "kind,name,weight,rate-tokens-per-s,burst-tokens\naccount,a,1,11,100\n")},
		{"address in use", append(slices.Clone(all), "kind,name,pool,zone,address\nendpoint,f,p,z,10.0.0.1:80\n")},
		{"value out of range", append(slices.Clone(all), "kind,name,weight,rate-tokens-per-s,burst-tokens\naccount,c,1,0,100\n")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			old, segments := manifestOf(t, 1, all...)
			prev, err := table.Open(old, segments)
			assert.NilError(t, err)
			manifest, added := manifestOf(t, 2, tt.next...)
			maps.Copy(segments, added)
			_, want := table.Open(manifest, segments)
			_, err = table.OpenIncremental(prev, old, manifest, segments)
			assert.ErrorContains(t, err, want.Error())
		})
	}
}

// Guards against installing a table with a missing or corrupt segment, even if the
// earlier version has the same segment.
func TestOpenIncrementalDamaged(t *testing.T) {
	s, _ := readExample(t, "wales.csv")
	old, segments, err := table.Split(s, 1)
	assert.NilError(t, err)
	manifest, _, err := table.Split(s, 2)
	assert.NilError(t, err)
	for name, segment := range segments {
		delete(segments, name)
		_, err := table.OpenIncremental(s, old, manifest, segments)
		assert.ErrorIs(t, err, table.ErrMissingSegment)
		segments[name] = append([]byte("x"), segment...)
		_, err = table.OpenIncremental(s, old, manifest, segments)
		assert.ErrorIs(t, err, table.ErrCorruptSegment)
		segments[name] = segment
	}
}
