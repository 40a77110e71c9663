package table_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/table"
)

// Guards against accepting wrong or withdrawn keys and against error messages that
// contain the secret.
func TestAuthenticate(t *testing.T) {
	s, _ := readExample(t, "wales.csv")
	presented, key, err := table.NewKey(bytes.NewReader(make([]byte, 36)), "till-2", "teifi-smokehouse")
	assert.NilError(t, err)
	s.Keys[key.ID] = key
	got, err := table.Authenticate(s, presented)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, key)

	withdrawn := key
	withdrawn.State = table.StateWithdrawn
	secret := presented[strings.LastIndex(presented, "-")+1:]
	cases := []struct {
		name, presented string
		row             table.Key
		want            error
	}{
		{"empty", "", key, table.ErrMalformedKey},
		{"prefix", "sk-till-2-" + secret, key, table.ErrMalformedKey},
		{"no secret", "rws-till-2-", key, table.ErrMalformedKey},
		{"short secret", "rws-till-2-" + secret[:20], key, table.ErrMalformedKey},
		{"long", presented + strings.Repeat("a", 500), key, table.ErrMalformedKey},
		{"trailing newline", presented + "\n", key, table.ErrMalformedKey},
		{"wrong secret", presented[:len(presented)-1] + "b", key, table.ErrUnknownKey},
		{"other key ID", "rws-till-3-" + secret, key, table.ErrUnknownKey},
		{"withdrawn", presented, withdrawn, table.ErrWithdrawnKey},
		{"wrong secret of a withdrawn key", presented[:len(presented)-1] + "b", withdrawn, table.ErrUnknownKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s.Keys[key.ID] = c.row
			row, err := table.Authenticate(s, c.presented)
			assert.ErrorIs(t, err, c.want)
			assert.Assert(t, !strings.Contains(err.Error(), secret))
			assert.DeepEqual(t, row, table.Key{})
		})
	}
}

// Guards against generating keys from a failing random source, or with a key ID that is
// invalid in the presented form.
func TestNewKeyFaults(t *testing.T) {
	_, _, err := table.NewKey(strings.NewReader("short"), "k", "a")
	assert.Assert(t, err != nil && !errors.Is(err, table.ErrMalformedKey))
	_, _, err = table.NewKey(bytes.NewReader(make([]byte, 36)), "k k", "a")
	assert.ErrorContains(t, err, "not a name")
}

// Guards against changes that Diff omits or returns in the wrong order.
func TestDiff(t *testing.T) {
	from, _ := readExample(t, "wales.csv")
	to, _ := readExample(t, "wales.csv")
	assert.Equal(t, len(table.Diff(from, to)), 0)
	delete(to.Keys, "label-public-1")
	a := to.Accounts["label-public"]
	a.Burst = 7
	to.Accounts[a.Name] = a
	to.Accounts["new"] = table.Account{Name: "new", Weight: 1, Rate: 2, Burst: 3}
	diff := table.Diff(from, to)
	assert.Equal(t, len(diff), 3)
	assert.DeepEqual(t, diff[0], table.Change{
		Kind: table.KindAccount, Name: "label-public", Op: table.OpChange,
		Columns: []table.ColumnChange{{Column: "burst-tokens", Old: "10000", New: "7"}},
	})
	assert.DeepEqual(t, diff[1].Columns, []table.ColumnChange{
		{Column: "weight", New: "1"}, {Column: "rate-tokens-per-s", New: "2"}, {Column: "burst-tokens", New: "3"},
	})
	assert.Equal(t, diff[2].Op, table.OpRemove)
	assert.Equal(t, len(table.Diff(nil, from)), len(table.Rows(from)))
}

// Guards against ModelEndpoints returning endpoints of other models or zones, or of
// services.
func TestModelEndpoints(t *testing.T) {
	s, _ := readExample(t, "tallinn.csv")
	var names []string
	for _, e := range table.ModelEndpoints(s, "kalev-8b", "tallinn-b") {
		names = append(names, string(e.Name))
	}
	assert.DeepEqual(t, names, []string{"engine-b-1", "engine-b-2", "engine-b-3", "engine-b-4"})
	assert.Equal(t, len(table.ModelEndpoints(s, "", "tallinn-b")), 0)
}
