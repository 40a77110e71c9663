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

const ms = time.Millisecond

var t0 = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

func prefill(name string) schedule.Endpoint {
	return schedule.Endpoint{
		Name: id.Endpoint(name), Role: table.RolePrefill, Slots: 4, Blocks: 100, BlockTokens: 1000,
		PrefillRate: 10_000, LinkRate: 1_000_000,
	}
}

func decode(name string, slots, blocks int64) schedule.Endpoint {
	return schedule.Endpoint{
		Name: id.Endpoint(name), Role: table.RoleDecode, Slots: slots, Blocks: blocks, BlockTokens: 1000, LinkRate: 1_000_000,
	}
}

// slotRequest returns a small interactive request of 100 prompt and 100 output tokens.
func slotRequest(request string, change ...func(*message.SlotRequest)) message.SlotRequest {
	m := message.SlotRequest{
		Request: id.Request(request), Attempt: 1, Account: "a", Model: "m", Class: message.ClassInteractive,
		PromptTokens: 100, OutputTokens: 100, FirstToken: 570 * ms,
	}
	for _, f := range change {
		f(&m)
	}
	return m
}

func prompt(n int64) func(*message.SlotRequest) {
	return func(m *message.SlotRequest) { m.PromptTokens = n }
}

func output(n int64) func(*message.SlotRequest) {
	return func(m *message.SlotRequest) { m.OutputTokens = n }
}

func account(a id.Account) func(*message.SlotRequest) {
	return func(m *message.SlotRequest) { m.Account = a }
}

func target(d time.Duration) func(*message.SlotRequest) {
	return func(m *message.SlotRequest) { m.FirstToken = d }
}

func avoiding(ep id.Endpoint) func(*message.SlotRequest) {
	return func(m *message.SlotRequest) { m.Avoid = ep }
}

func attempt(n id.Attempt) func(*message.SlotRequest) {
	return func(m *message.SlotRequest) { m.Attempt = n }
}
func canWait(m *message.SlotRequest)  { m.CanWait = true }
func deferred(m *message.SlotRequest) { m.Class = message.ClassDeferrable; m.FirstToken = 0 }

func cell(change func(*schedule.Config), eps ...schedule.Endpoint) *schedule.Cell {
	cfg := schedule.DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	c := schedule.New(cfg, "m", t0, false)
	schedule.SetEndpoints(c, t0, eps)
	return c
}

func grants(acts []schedule.Action) []message.SlotGrant {
	var out []message.SlotGrant
	for _, a := range acts {
		if s, ok := a.(schedule.Send); ok {
			if g, ok := s.Message.(message.SlotGrant); ok {
				out = append(out, g)
			}
		}
	}
	return out
}

func refusals(acts []schedule.Action) []message.SlotRefusal {
	var out []message.SlotRefusal
	for _, a := range acts {
		if s, ok := a.(schedule.Send); ok {
			if r, ok := s.Message.(message.SlotRefusal); ok {
				out = append(out, r)
			}
		}
	}
	return out
}

func cancels(acts []schedule.Action) []schedule.Cancel {
	var out []schedule.Cancel
	for _, a := range acts {
		if x, ok := a.(schedule.Cancel); ok {
			out = append(out, x)
		}
	}
	return out
}

func names(acts []schedule.Action) []id.Request {
	var out []id.Request
	for _, g := range grants(acts) {
		out = append(out, g.Request)
	}
	return out
}

func update(request string, phase message.Phase, tokens int64) message.SlotUpdate {
	return message.SlotUpdate{Request: id.Request(request), Attempt: 1, Phase: phase, Tokens: tokens}
}

// finish takes a granted request through all phases at one time.
func finish(c *schedule.Cell, now time.Time, request string, tokens int64) []schedule.Action {
	acts := schedule.HandleUpdate(c, now, "h", update(request, message.PhasePrefill, 0))
	acts = append(acts, schedule.HandleUpdate(c, now, "h", update(request, message.PhaseDecode, 0))...)
	return append(acts, schedule.HandleUpdate(c, now, "h", update(request, message.PhaseDone, tokens))...)
}

// start moves a granted request into the decode phase.
func start(c *schedule.Cell, now time.Time, request string) []schedule.Action {
	return schedule.HandleUpdate(c, now, "h", update(request, message.PhaseDecode, 0))
}

func mustCheck(t *testing.T, c *schedule.Cell) {
	t.Helper()
	assert.NilError(t, schedule.Check(c))
}
