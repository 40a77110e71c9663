package order_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/order"
)

// TestInvalidLease guards against an order lease that another writer has overwritten and
// that no host can acquire any more, or that a host acquires at once, while the holder
// before may still send orders.
func TestInvalidLease(t *testing.T) {
	for _, value := range []string{
		"", "\x00", "[]", "{}", `{"fence":-1}`, `{"fence":1e400}`, `{"fence":18446744073709551615,"released":true}`, `{"fence":1,"lease-ms":9223372036854775807}`,
	} {
		cfg := order.DefaultConfig()
		cfg.Host, cfg.Zone = "h", "z"
		s := order.New(cfg)
		assert.DeepEqual(t, order.SetDesiredStates(s, start, nil, true), []order.Action{order.Read{Name: "z"}})
		actions := order.HandleRead(s, start, object.ReadResult{Name: "z", Version: 4, Value: []byte(value)})
		actions = append(actions, order.Tick(s, start.Add(cfg.Lease))...)
		assert.Equal(t, len(actions), 0, value)
		actions = order.Tick(s, start.Add(10*cfg.Lease+cfg.Margin))
		assert.Equal(t, len(actions), 1, value)
		w, ok := actions[0].(order.Write)
		assert.Assert(t, ok && w.IfVersion == 4, "%q: %v", value, actions)
		var written struct{ Fence uint64 }
		assert.NilError(t, json.Unmarshal(w.Value, &written))
		assert.Assert(t, written.Fence > 1, value)
		order.HandleWrite(s, start.Add(time.Minute*2), object.WriteResult{Name: "z", Version: 5, Outcome: object.WriteDone})
		assert.NilError(t, order.Check(s))
	}
}
