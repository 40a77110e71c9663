package limit_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/object"
)

// TestHolderAfterRestore guards against a holder that stops admitting requests, or that does
// not write its lease again, because the store has come back from a copy that names another
// holder or none.
func TestHolderAfterRestore(t *testing.T) {
	for name, older := range map[string]object.ReadResult{
		"absent": {Name: "z1.0"},
		"other":  {Name: "z1.0", Version: 1, Value: []byte(`{"writer":"h9","era":1,"pooled":{"holder":"h9","wait-ns":60000000000},"reserve":{"released":true}}`)},
	} {
		s := newReadingHost(t, singleConfig(), limit.Budget{Rate: 10, Burst: 100})
		limit.SetEra(s, sec(-1), 1)
		limit.HandleRead(s, sec(-1), object.ReadResult{Name: "z1.0"})
		limit.HandleWrite(s, sec(0), object.WriteResult{Name: "z1.0", Version: 8, Outcome: object.WriteDone})
		limit.SetEra(s, sec(1), 2)
		assert.Assert(t, admit(t, s, 1, "a", 10), name)
		_, actions := limit.Tick(s, sec(1))
		assert.DeepEqual(t, actions, []limit.Action{limit.ReadLease{Group: "z1.0"}})
		actions = limit.HandleRead(s, sec(2), older)
		assert.Equal(t, len(actions), 1, name)
		write := actions[0].(limit.WriteLease)
		assert.Equal(t, write.IfVersion, older.Version)
		var v struct {
			Era    uint64
			Pooled struct{ Holder string }
		}
		assert.NilError(t, json.Unmarshal(write.Value, &v))
		assert.Equal(t, v.Era, uint64(2))
		assert.Equal(t, v.Pooled.Holder, "h1")
		assert.Assert(t, admit(t, s, 2, "b", 10), name)
	}
}

// TestOutdatedLease guards against a host that acquires a part at once because a copy of the
// store shows it as free, or as held by this host, although another host may have acquired it
// in the time that the store has lost.
func TestOutdatedLease(t *testing.T) {
	released := `{"writer":"h9","era":1,"pooled":{"released":true},"reserve":{"released":true}}`
	earlier := `{"writer":"h1","incarnation":4,"era":1,"pooled":{"holder":"h1","incarnation":4,"wait-ns":1},"reserve":{"released":true}}`
	thisProcess := `{"writer":"h1","era":1,"pooled":{"holder":"h1","term":9,"wait-ns":1},"reserve":{"released":true}}`
	tests := []struct {
		name    string
		value   string
		sawEra1 bool // the process has run before the restore
		reclaim bool
		wait    time.Duration // 0: no wait
	}{
		{name: "released, seen", value: released, sawEra1: true, wait: time.Minute},
		{name: "released", value: released, wait: time.Minute},
		{name: "held by this process, seen", value: thisProcess, sawEra1: true, wait: time.Minute},
		{name: "held by an earlier process, seen", value: earlier, sawEra1: true, reclaim: true, wait: 2 * time.Second},
		{name: "held by an earlier process", value: earlier, reclaim: true, wait: 2 * time.Second},
		{name: "absent, seen", sawEra1: true, wait: time.Minute},
		{name: "absent"},
	}
	for _, tt := range tests {
		cfg := singleConfig()
		cfg.Reclaim = tt.reclaim
		s := limit.New(cfg)
		if tt.sawEra1 {
			limit.SetEra(s, sec(-3), 1)
		}
		limit.SetEra(s, sec(-2), 2)
		limit.SetBudgets(s, sec(-2), map[id.Account]limit.Budget{"a": {Rate: 10, Burst: 100}})
		hosts := map[id.Zone][]id.Host{"z1": {"h1"}}
		limit.SetHosts(s, sec(-2), hosts, hosts)
		limit.Tick(s, sec(-1))
		r := object.ReadResult{Name: "z1.0", Value: []byte(tt.value)}
		if tt.value != "" {
			r.Version = 3
		}
		actions := limit.HandleRead(s, sec(0), r)
		if tt.wait == 0 {
			assert.Equal(t, len(actions), 1, tt.name)
			continue
		}
		assert.Equal(t, len(actions), 0, tt.name)
		assert.Equal(t, acquiredAfter(s, r).Round(time.Second), tt.wait, tt.name)
	}
}

// acquiredAfter returns when the host first writes the group, which stays as it was read at
// 0 s. It returns 0 if the host does not write within two minutes.
func acquiredAfter(s *limit.State, r object.ReadResult) time.Duration {
	for d := time.Duration(0); d < 2*time.Minute; d += 50 * time.Millisecond {
		_, actions := limit.Tick(s, epoch.Add(d))
		for len(actions) > 0 {
			if _, ok := actions[0].(limit.WriteLease); ok {
				return d
			}
			actions = limit.HandleRead(s, epoch.Add(d), r)
		}
	}
	return 0
}
