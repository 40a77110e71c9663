package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

const (
	projectedTokenTime = 4500 * time.Microsecond
	blockTokens        = 16
	cacheTokens        = 37_563
	promptTokens       = 3200
	outputLimit        = 1870
	outputMean         = 780
)

func projectedConfig() schedule.Config {
	cfg := schedule.DefaultConfig()
	cfg.ProjectMemory = true
	cfg.MemoryPercent = 97
	cfg.TokenTime = projectedTokenTime
	cfg.DeferrableShare = 0
	return cfg
}

// memoryCell returns a cell of one prefill and one decode engine of the size that the
// users run.
func memoryCell(cfg schedule.Config) *schedule.Cell {
	c := schedule.New(cfg, "m", at(0), false)
	schedule.SetEndpoints(c, at(0), []schedule.Endpoint{
		{
			Name: "p", Role: table.RolePrefill, Slots: 24, Blocks: cacheTokens / blockTokens, BlockTokens: blockTokens,
			PrefillRate: 33_000, LinkRate: 1_000_000,
		},
		{Name: "d", Role: table.RoleDecode, Slots: 24, Blocks: cacheTokens / blockTokens, BlockTokens: blockTokens, LinkRate: 1_000_000},
	})
	return c
}

func memoryRequest(n int, change func(*message.SlotRequest)) message.SlotRequest {
	m := message.SlotRequest{
		Request: id.Request(rune('A' + n)), Attempt: 1, Account: "a", Model: "m", Class: message.ClassInteractive,
		PromptTokens: promptTokens, OutputTokens: outputLimit, Expected: outputMean, FirstToken: 900 * time.Millisecond,
		CanWait: true, MaxWait: 2300 * time.Millisecond,
	}
	if change != nil {
		change(&m)
	}
	return m
}

// countGrants sends n slot requests, leaves time after each for a grant, starts the
// decode of each granted request at once, and returns the number of grants.
func countGrants(c *schedule.Cell, n int) int {
	count := 0
	now := time.Duration(0)
	for i := range n {
		m := memoryRequest(i, nil)
		acts := schedule.HandleSlotRequest(c, at(now), "h", m)
		now += 110 * time.Millisecond
		acts = append(acts, schedule.Tick(c, at(now))...)
		for _, a := range acts {
			if s, ok := a.(schedule.Send); ok {
				if g, ok := s.Message.(message.SlotGrant); ok {
					count++
					schedule.HandleUpdate(c, at(now), "h", message.SlotUpdate{
						Request: g.Request, Attempt: g.Attempt, Phase: message.PhaseDecode,
					})
				}
			}
		}
	}
	return count
}

// TestExpectedMemory guards against engines whose memory stays a quarter empty because
// each run reserves its output limit, and against more runs than fit when all of them
// reach the expected length.
func TestExpectedMemory(t *testing.T) {
	reserved := schedule.DefaultConfig()
	assert.Equal(t, countGrants(memoryCell(reserved), 14), cacheTokens/(promptTokens+outputLimit))
	n := countGrants(memoryCell(projectedConfig()), 14)
	assert.Assert(t, n >= 9, "%d runs", n)
	assert.Assert(t, n*(promptTokens+outputMean) <= cacheTokens*11/10, "%d runs", n)
}

// TestUnknownLength guards against placing a run of unknown length as if it were
// short.
func TestUnknownLength(t *testing.T) {
	c := memoryCell(projectedConfig())
	n := 0
	for i := range 14 {
		m := memoryRequest(i, func(m *message.SlotRequest) { m.Expected = 0 })
		for _, a := range schedule.HandleSlotRequest(c, at(0), "h", m) {
			if s, ok := a.(schedule.Send); ok {
				if _, ok := s.Message.(message.SlotGrant); ok {
					n++
				}
			}
		}
		schedule.HandleUpdate(c, at(0), "h", message.SlotUpdate{Request: m.Request, Attempt: 1, Phase: message.PhaseDecode})
	}
	assert.Assert(t, n*(promptTokens+outputLimit) <= cacheTokens, "%d runs", n)
}

// TestMaxWait guards against a request that stays queued until its caller has
// disconnected. One that cannot start in time is refused earlier, with a retry time.
func TestMaxWait(t *testing.T) {
	c := memoryCell(projectedConfig())
	countGrants(c, 14)
	const from = 2 * time.Second
	m := memoryRequest(30, nil)
	acts := schedule.HandleSlotRequest(c, at(from), "h", m)
	for now := from; now < from+m.MaxWait+100*time.Millisecond; now += 20 * time.Millisecond {
		acts = append(acts, schedule.Tick(c, at(now))...)
	}
	for _, a := range acts {
		if s, ok := a.(schedule.Send); ok {
			if r, ok := s.Message.(message.SlotRefusal); ok && r.Request == m.Request {
				assert.Assert(t, r.Retry > 0)
				return
			}
		}
	}
	t.Fatal("the request was not refused within its maximum queueing time")
}

// TestRetryGoesAfterNewRequest guards against a retry after a refusal that goes before
// requests that can still meet their target.
func TestRetryGoesAfterNewRequest(t *testing.T) {
	c := memoryCell(projectedConfig())
	n := countGrants(c, 9)
	now := 1100 * time.Millisecond
	retried := memoryRequest(40, func(m *message.SlotRequest) { m.ElapsedBeforeEntry = 3 * time.Second })
	fresh := memoryRequest(41, nil)
	schedule.HandleSlotRequest(c, at(now), "h", retried)
	schedule.HandleSlotRequest(c, at(now), "h", fresh)
	var first id.Request
	for i := 0; i < n && first == ""; i++ {
		acts := schedule.HandleUpdate(c, at(now), "h", message.SlotUpdate{
			Request: memoryRequest(i, nil).Request, Attempt: 1, Phase: message.PhaseDone,
		})
		now += 20 * time.Millisecond
		acts = append(acts, schedule.Tick(c, at(now))...)
		for _, a := range acts {
			if s, ok := a.(schedule.Send); ok {
				if g, ok := s.Message.(message.SlotGrant); ok && first == "" && (g.Request == retried.Request || g.Request == fresh.Request) {
					first = g.Request
				}
			}
		}
	}
	assert.Equal(t, first, fresh.Request, "%d runs", n)
}

// TestRetrySpread guards against refused requests that return as the same burst.
func TestRetrySpread(t *testing.T) {
	cfg := projectedConfig()
	cfg.MinRetry, cfg.MaxRetry, cfg.RetrySpread = 2*time.Second, 4*time.Second, time.Second
	c := schedule.New(cfg, "m", at(0), false) // without endpoints every request is refused
	seen := make(map[time.Duration]bool)
	for i := range 20 {
		for _, a := range schedule.HandleSlotRequest(c, at(0), "h", memoryRequest(i, nil)) {
			r := a.(schedule.Send).Message.(message.SlotRefusal)
			assert.Assert(t, r.Retry >= cfg.MinRetry && r.Retry < cfg.MaxRetry+cfg.RetrySpread, "%s", r.Retry)
			seen[r.Retry] = true
		}
	}
	assert.Assert(t, len(seen) > 10, "%d different times", len(seen))
}
