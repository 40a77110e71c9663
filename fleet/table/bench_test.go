package table_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// targetSnapshot returns a table of the size that the system must support: 20,000
// accounts with one key each and 10,000 endpoints.
func targetSnapshot(b *testing.B) *table.Snapshot {
	s, _ := readExample(b, "wales.csv")
	random := bytes.NewReader(make([]byte, 36*20000))
	for i := range 20000 {
		name := fmt.Sprintf("account-%05d", i)
		s.Accounts[id.Account(name)] = table.Account{Name: id.Account(name), Weight: 1, Rate: 1000, Burst: 10000}
		_, key, err := table.NewKey(random, id.KeyID(name), id.Account(name))
		assert.NilError(b, err)
		s.Keys[key.ID] = key
	}
	for i := range 10000 {
		e := table.Endpoint{Name: id.Endpoint(fmt.Sprintf("runner-%05d", i)), Pool: "declaration-decode", Zone: "wales-a"}
		e.Address = fmt.Sprintf("10.1.%d.%d:80", i/250, i%250+1)
		e.Fencing, e.State = table.FencingChecked, table.StateActive
		s.Endpoints[e.Name] = e
	}
	return s
}

// BenchmarkOpen measures the cost for a host of decoding a whole table of the target
// size.
func BenchmarkOpen(b *testing.B) {
	manifest, segments, err := table.Split(targetSnapshot(b), 1)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := table.Open(manifest, segments)
		assert.NilError(b, err)
	}
}
