package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
)

// surplusTable has far more prefill engines than its requests need.
func surplusTable(version uint64, roles map[id.Endpoint]table.Role) *table.Snapshot {
	s := relayTable(version)
	for i := range 6 {
		name := id.Endpoint(fmt.Sprintf("e%d", i))
		pool := id.Pool("m/prefill")
		if roles[name] == table.RoleDecode {
			pool = "m/decode"
		}
		s.Endpoints[name] = table.Endpoint{
			Name: name, Pool: pool, Zone: relayDomain, Address: fmt.Sprintf("10.0.1.%d:1", i),
			State: table.StateActive, Fencing: table.FencingChecked,
		}
	}
	return s
}

// newSurplusHost returns a host whose cell has served enough requests for a decision on
// role changes.
func newSurplusHost(t *testing.T) *relayHost {
	// The runs are long enough to measure the token time, and as many as a decision needs.
	// They end before it is due.
	const runs, runTokens = 24, 100
	h := newRelayHostWith(t, func(cfg *core.Config) {
		cfg.Schedule.ProjectMemory = true
		cfg.Schedule.TokenTime = 5 * time.Millisecond
	})
	h.reduce(core.TableOpened{Snapshot: surplusTable(2, nil)})
	for i := range runs {
		req := id.Request(fmt.Sprintf("r%d", i))
		d := h.advanceToDecode(req, "resumable")
		h.advance(100 * time.Millisecond)
		tokens := slices.Repeat([]string{"x"}, runTokens)
		h.reduce(core.TokensArrived{Request: req, Attempt: d.Attempt, Tokens: tokens, End: true})
	}
	return h
}

// acquireOrderLease answers the read of the order lease, which has no holder, and returns
// the resulting write. The host holds the lease when the write has succeeded.
func (h *relayHost) acquireOrderLease(effects []core.Effect) core.WriteObject {
	h.t.Helper()
	for _, e := range effects {
		if r, ok := e.(core.ReadObject); ok && r.Kind == object.KindOrder {
			return find(h.t, h.reduce(core.ObjectRead{Kind: r.Kind, Name: r.Name}), core.WriteObject{}).(core.WriteObject)
		}
	}
	h.t.Fatal("the order lease is not read")
	return core.WriteObject{}
}

func ordersOf(effects []core.Effect) []core.SendOrder {
	var out []core.SendOrder
	for _, e := range effects {
		if o, ok := e.(core.SendOrder); ok {
			out = append(out, o)
		}
	}
	return out
}

// TestRoleOrders guards against an order without the order lease, against engines that
// get no grants although the platform is unreachable and their roles cannot change,
// against grants on an engine whose role is changing, and against a second order after
// the role has changed.
func TestRoleOrders(t *testing.T) {
	h := newSurplusHost(t)
	effects := h.advance(2 * time.Second)
	assert.Equal(t, len(ordersOf(effects)), 0)
	for i := range 6 { // all engines still get grants
		assert.Assert(t, has(h.sendRequest(id.Request(fmt.Sprintf("s%d", i)), "resumable"), core.StartPrefill{}))
	}
	w := h.acquireOrderLease(effects)
	h.reduce(core.ObjectWritten{Kind: w.Kind, Name: w.Name, Outcome: object.WriteDone, Version: 1})
	orders := ordersOf(h.advance(time.Second))
	assert.Assert(t, len(orders) > 0)
	ordered := make(map[id.Endpoint]table.Role)
	for _, o := range orders {
		assert.Equal(t, o.Order.Role, string(table.RoleDecode))
		assert.Equal(t, o.Order.Fence, uint64(1))
		ordered[o.Endpoint] = table.RoleDecode
		h.reduce(core.OrderAnswered{Endpoint: o.Endpoint, Fence: 1, Done: true})
	}
	h.assertUnused("t", ordered)
	h.reduce(core.TableOpened{Snapshot: surplusTable(3, ordered)})
	for _, o := range ordersOf(h.advance(3 * time.Second)) {
		assert.Equal(t, ordered[o.Endpoint], table.Role(""), "%s is ordered twice", o.Endpoint)
	}
}

// assertUnused checks that no prefill starts on one of the engines.
func (h *relayHost) assertUnused(prefix string, engines map[id.Endpoint]table.Role) {
	h.t.Helper()
	for i := range 10 {
		effects := h.sendRequest(id.Request(fmt.Sprintf("%s%d", prefix, i)), "resumable")
		effects = append(effects, h.advance(100*time.Millisecond)...)
		for _, e := range effects {
			if p, ok := e.(core.StartPrefill); ok {
				_, changing := engines[p.Endpoint]
				assert.Assert(h.t, !changing, "%s is granted", p.Endpoint)
			}
		}
	}
}
