package limit_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

var epoch = time.Unix(0, 0)

func sec(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func singleConfig() limit.Config {
	cfg := testConfig()
	cfg.Host, cfg.Zone, cfg.Zones = "h1", "z1", []id.Zone{"z1"}
	cfg.Groups, cfg.ReserveShare = 1, 0
	cfg.PooledLease, cfg.ReserveLease = time.Minute, time.Hour
	return cfg
}

// newReadingHost returns a host that starts to read its only group at -1 s.
func newReadingHost(t *testing.T, cfg limit.Config, b limit.Budget) *limit.State {
	s := limit.New(cfg)
	limit.SetBudgets(s, sec(-2), map[id.Account]limit.Budget{"a": b})
	limit.SetHosts(s, sec(-2), map[id.Zone][]id.Host{"z1": {"h1"}}, map[id.Zone][]id.Host{"z1": {"h1"}})
	_, actions := limit.Tick(s, sec(-1))
	assert.DeepEqual(t, actions, []limit.Action{limit.ReadLease{Group: "z1.0"}})
	return s
}

// newHoldingHost returns the only host, which holds the only group at 0 s with a full
// bucket. It sent the write of its lease at -1 s.
func newHoldingHost(t *testing.T, b limit.Budget) *limit.State {
	s := newReadingHost(t, singleConfig(), b)
	actions := limit.HandleRead(s, sec(-1), object.ReadResult{Name: "z1.0"})
	assert.Equal(t, len(actions), 1)
	limit.HandleWrite(s, sec(0), object.WriteResult{Name: "z1.0", Version: 1, Outcome: object.WriteDone})
	return s
}

// admit reports whether the host admits a request without requesting tokens from peers.
func admit(t *testing.T, s *limit.State, at float64, req id.Request, tokens int64) bool {
	d, _ := limit.Admit(s, sec(at), req, "a", tokens)
	assert.NilError(t, limit.Check(s))
	_, ok := d.(limit.Admitted)
	return ok
}

// TestRefundAfterRefill guards against refunding a charge after the bucket has refilled
// to its burst and a later request has spent the refill.
func TestRefundAfterRefill(t *testing.T) {
	s := newHoldingHost(t, limit.Budget{Rate: 10, Burst: 100})
	assert.Assert(t, admit(t, s, 0, "first", 100))
	assert.Assert(t, admit(t, s, 10, "second", 100))
	limit.Settle(s, sec(10), "first", 0)
	assert.Assert(t, !admit(t, s, 10, "third", 1))
}

// TestOverlappingRefunds guards against two refunds that both use the same headroom
// below the burst.
func TestOverlappingRefunds(t *testing.T) {
	s := newHoldingHost(t, limit.Budget{Rate: 10, Burst: 100})
	assert.Assert(t, admit(t, s, 0, "first", 50))
	assert.Assert(t, admit(t, s, 0, "second", 50))
	assert.Assert(t, admit(t, s, 5, "third", 50))
	limit.Settle(s, sec(5), "first", 0)
	limit.Settle(s, sec(5), "second", 0)
	assert.Assert(t, admit(t, s, 5, "fourth", 50))
	assert.Assert(t, !admit(t, s, 5, "fifth", 1))
}

// TestRefundOfLateCharge guards against limiting a refund by the bucket's occupancy
// before the charge. That would deny refunds that exceed no limit.
func TestRefundOfLateCharge(t *testing.T) {
	s := newHoldingHost(t, limit.Budget{Rate: 10, Burst: 100})
	assert.Assert(t, admit(t, s, 0, "first", 100))
	limit.Settle(s, sec(2), "first", 20)
	assert.Assert(t, admit(t, s, 2, "second", 100))
}

func requestTokens(t *testing.T, s *limit.State, at float64, tokens int64) message.TokenTransfer {
	m := message.TokenRequest{Request: "remote", Account: "a", Tokens: tokens}
	actions := limit.HandleRequest(s, sec(at), "h2", m)
	assert.Equal(t, len(actions), 1)
	return actions[0].(limit.Send).Message.(message.TokenTransfer)
}

// TestTransferCountsAgainstBurst guards against a bucket that refills to its burst while
// a peer may still spend a transfer from it.
func TestTransferCountsAgainstBurst(t *testing.T) {
	s := newHoldingHost(t, limit.Budget{Rate: 2000, Burst: 100})
	assert.Equal(t, requestTokens(t, s, 0, 60).Tokens, int64(60))
	assert.Assert(t, !admit(t, s, 0.1, "during", 41))
	assert.Assert(t, admit(t, s, 0.3, "after", 100))
}

// TestTransferReturnedOnce guards against a duplicate TokenReturn that creates tokens.
func TestTransferReturnedOnce(t *testing.T) {
	s := newHoldingHost(t, limit.Budget{Rate: 1, Burst: 100})
	reply := requestTokens(t, s, 0, 100)
	back := message.TokenReturn{Account: "a", Tokens: 40, Charge: reply.Charge}
	limit.HandleReturn(s, sec(0.01), back)
	limit.HandleReturn(s, sec(0.01), back)
	assert.Assert(t, !admit(t, s, 0.01, "large", 41))
	assert.Assert(t, admit(t, s, 0.01, "small", 40))
}

// TestLeaseCountsFromSend guards against using a lease after another host may have
// acquired it. This happens if the lease is counted from a late reply to the write
// instead of from the time it was sent.
func TestLeaseCountsFromSend(t *testing.T) {
	s := newHoldingHost(t, limit.Budget{Rate: 10, Burst: 100})
	assert.Assert(t, admit(t, s, 58.9, "before", 1))
	assert.Assert(t, !admit(t, s, 58.95, "after", 1))
	_, actions := limit.Tick(s, sec(58.95))
	assert.Equal(t, len(actions), 1)
	limit.HandleWrite(s, sec(70), object.WriteResult{Name: "z1.0", Version: 2, Outcome: object.WriteDone})
	assert.Assert(t, admit(t, s, 118.8, "renewed", 1))
	assert.Assert(t, !admit(t, s, 118.9, "expired", 1))
}

// TestReleaseFreezes guards against spending tokens whose level a release has written
// into the lease object, even if the outcome of the write is unknown.
func TestReleaseFreezes(t *testing.T) {
	s := newHoldingHost(t, limit.Budget{Rate: 0, Burst: 100})
	limit.Drain(s, sec(0))
	assert.Assert(t, admit(t, s, 0.1, "before", 10))
	_, actions := limit.Tick(s, sec(0.2))
	assert.Equal(t, len(actions), 1)
	assert.Assert(t, !admit(t, s, 0.2, "frozen", 1))
	limit.HandleWrite(s, sec(0.3), object.WriteResult{Name: "z1.0", Outcome: object.WriteUnknown})
	assert.Assert(t, !admit(t, s, 0.4, "unknown", 1))
	assert.Assert(t, !limit.Drained(s))
	_, actions = limit.Tick(s, sec(0.5))
	assert.DeepEqual(t, actions, []limit.Action{limit.ReadLease{Group: "z1.0"}})
}

// TestBudgetChange guards against tokens that are created when a budget is raised,
// survive when it is lowered, or return when a removed account is added again.
func TestBudgetChange(t *testing.T) {
	s := newHoldingHost(t, limit.Budget{Rate: 1, Burst: 100})
	set := func(b map[id.Account]limit.Budget) { limit.SetBudgets(s, sec(0), b) }
	set(map[id.Account]limit.Budget{"a": {Rate: 1, Burst: 200}})
	assert.Assert(t, !admit(t, s, 0, "raised", 101))
	set(map[id.Account]limit.Budget{"a": {Rate: 1, Burst: 30}})
	set(map[id.Account]limit.Budget{"a": {Rate: 1, Burst: 100}})
	assert.Assert(t, !admit(t, s, 0, "lowered", 31))
	assert.Assert(t, admit(t, s, 0, "rest", 10))
	set(nil)
	set(map[id.Account]limit.Budget{"a": {Rate: 1, Burst: 100}})
	assert.Assert(t, !admit(t, s, 0, "removed", 1))
}

// TestTakeoverKeepsReserve guards against shortening the remaining lease of the previous
// holder's reserve part when another host acquires the pooled part.
func TestTakeoverKeepsReserve(t *testing.T) {
	cfg := singleConfig()
	s := newReadingHost(t, cfg, limit.Budget{Rate: 10, Burst: 100})
	value := `{"writer":"h9","pooled":{"holder":"h9","wait-ns":60000000000},"reserve":{"holder":"h9","wait-ns":3600000000000}}`
	actions := limit.HandleRead(s, sec(0), object.ReadResult{Name: "z1.0", Version: 4, Value: []byte(value)})
	assert.Equal(t, len(actions), 0)
	_, actions = limit.Tick(s, sec(60))
	assert.Equal(t, len(actions), 0, "acquired before the margin has passed")
	_, actions = limit.Tick(s, sec(61))
	write := actions[0].(limit.WriteLease)
	assert.Equal(t, write.IfVersion, uint64(4))
	var v struct {
		Pooled, Reserve struct {
			Holder string
			Wait   time.Duration `json:"wait-ns"`
		}
	}
	assert.NilError(t, json.Unmarshal(write.Value, &v))
	assert.Equal(t, v.Pooled.Holder, "h1")
	assert.Equal(t, v.Reserve.Holder, "h9")
	assert.Equal(t, v.Reserve.Wait, 3539*time.Second)
}

// TestLongLease guards against a lease of another writer that is so long that its end
// overflows, so that it counts as free at once, or that never ends.
func TestLongLease(t *testing.T) {
	for _, wait := range []string{"9223372036854775807", "-9223372036854775808"} {
		s := newReadingHost(t, singleConfig(), limit.Budget{Rate: 10, Burst: 100})
		value := `{"pooled":{"holder":"h2","wait-ns":` + wait + `},"reserve":{"holder":"h2","wait-ns":` + wait + `}}`
		actions := limit.HandleRead(s, sec(0), object.ReadResult{Name: "z1.0", Version: 4, Value: []byte(value)})
		assert.Equal(t, len(actions), 0, wait)
		_, actions = limit.Tick(s, sec(86_400+60))
		assert.Equal(t, len(actions), 1, wait)
		_, ok := actions[0].(limit.WriteLease)
		assert.Assert(t, ok, wait)
	}
}
