package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// balanceCacheTokens is the memory of one engine of balanceCell, in tokens.
const balanceCacheTokens = 29_216

// balancePrefillRate is the prefill rate of the engines of balanceCell, in prompt
// tokens per second.
const balancePrefillRate = 24_000

// engines returns engines of the size of large deployments, spread over three zones.
func engines(prefills, decodes int) []schedule.Endpoint {
	var eps []schedule.Endpoint
	for i := range prefills + decodes {
		ep := schedule.Endpoint{
			Name: id.Endpoint(fmt.Sprintf("e%02d", i)), AZ: id.Zone(rune('a' + i%3)), Role: table.RoleDecode,
			Slots: 12, Blocks: balanceCacheTokens / blockTokens, BlockTokens: blockTokens, LinkRate: 1_000_000,
		}
		if i < prefills {
			ep.Role = table.RolePrefill
			ep.PrefillRate = balancePrefillRate
		}
		eps = append(eps, ep)
	}
	return eps
}

// serveRequests serves enough requests of the given sizes, one by one, for the
// averages to count. It returns the end time.
func serveRequests(c *schedule.Cell, from time.Duration, prompt, output int64) time.Duration {
	now := from
	for i := range 40 {
		m := memoryRequest(i, func(m *message.SlotRequest) {
			m.Request = id.Request(fmt.Sprintf("%s-%d", from, i))
			m.PromptTokens, m.OutputTokens, m.Expected = prompt, 2*output, output
		})
		schedule.HandleSlotRequest(c, at(now), "h", m)
		now += time.Duration(prompt) * time.Second / balancePrefillRate
		update := message.SlotUpdate{Request: m.Request, Attempt: 1, Phase: message.PhaseDecode}
		schedule.HandleUpdate(c, at(now), "h", update)
		now += time.Duration(output) * projectedTokenTime
		update.Phase, update.Tokens = message.PhaseDone, output
		schedule.HandleUpdate(c, at(now), "h", update)
	}
	return now
}

// balanceAfterDelay returns the decision of Balance once the state of the cell has
// persisted for longer than the delays before a role change.
func balanceAfterDelay(c *schedule.Cell, now time.Duration) []schedule.RoleChange {
	schedule.Balance(c, at(now))
	return schedule.Balance(c, at(now+10*time.Second))
}

func balanceCell(prefills, decodes int) *schedule.Cell {
	c := schedule.New(projectedConfig(), "m", at(0), false)
	schedule.SetEndpoints(c, at(0), engines(prefills, decodes))
	return c
}

// TestSurplusPrefills guards against prefill engines that are idle while the memory of
// the decode engines is full in every burst, against a cell that keeps too few of
// them, and against a zone that is left without one.
func TestSurplusPrefills(t *testing.T) {
	c := balanceCell(20, 36)
	changes := balanceAfterDelay(c, serveRequests(c, 0, promptTokens, outputMean))
	assert.Assert(t, len(changes) >= 4 && len(changes) <= 8, "%+v", changes)
	remaining := map[id.Zone]int{"a": 7, "b": 7, "c": 6}
	for _, change := range changes {
		assert.Equal(t, change.Role, table.RoleDecode)
		for _, ep := range engines(20, 36) {
			if ep.Name == change.Endpoint {
				remaining[ep.AZ]--
			}
		}
	}
	assert.Assert(t, max(remaining["a"], remaining["b"], remaining["c"])-min(remaining["a"], remaining["b"], remaining["c"]) <= 1, "%v", remaining)
}

// TestVaryingSurplus guards against engines that never change their roles because the
// surplus of prefill engines differs a little at each check, as it does in large cells. The
// change covers no more engines than were in surplus all the time.
func TestVaryingSurplus(t *testing.T) {
	surplusFor := func(output int64) int {
		c := balanceCell(31, 59)
		return len(balanceAfterDelay(c, serveRequests(c, 0, promptTokens, output)))
	}
	least, most := surplusFor(outputMean), surplusFor(2*outputMean)
	assert.Assert(t, 0 < least && least < most, "%d, %d", least, most)
	c := balanceCell(31, 59)
	now := time.Duration(0)
	var changes []schedule.RoleChange
	for i := 0; i < 10 && len(changes) == 0; i++ {
		now = serveRequests(c, now, promptTokens, outputMean+int64(i%2)*outputMean)
		changes = schedule.Balance(c, at(now))
	}
	assert.Assert(t, least <= len(changes) && len(changes) < most, "%d changes, surplus from %d to %d", len(changes), least, most)
}

// TestUnmeasuredTokenTime guards against role changes from a guessed token time: before
// enough runs have ended there are none, and afterwards a wrong guess has no effect.
func TestUnmeasuredTokenTime(t *testing.T) {
	cfg := projectedConfig()
	right := balanceCell(20, 36)
	want := balanceAfterDelay(right, serveRequests(right, 0, promptTokens, outputMean))
	cfg.TokenTime *= 6
	c := schedule.New(cfg, "m", at(0), false)
	schedule.SetEndpoints(c, at(0), engines(20, 36))
	now := time.Duration(0)
	for i := range 40 {
		m := memoryRequest(i, func(m *message.SlotRequest) { m.PromptTokens, m.Expected = promptTokens, outputMean })
		schedule.HandleSlotRequest(c, at(now), "h", m)
		now += 10 * time.Millisecond
		schedule.HandleUpdate(c, at(now), "h", message.SlotUpdate{Request: m.Request, Attempt: 1, Phase: message.PhaseDecode})
	}
	assert.Equal(t, len(balanceAfterDelay(c, now)), 0)
	c = schedule.New(cfg, "m", at(0), false)
	schedule.SetEndpoints(c, at(0), engines(20, 36))
	assert.Equal(t, len(balanceAfterDelay(c, serveRequests(c, 0, promptTokens, outputMean))), len(want))
}

// TestBalancedRoles guards against role changes in a cell that is balanced already.
func TestBalancedRoles(t *testing.T) {
	c := balanceCell(4, 8)
	assert.Equal(t, len(balanceAfterDelay(c, serveRequests(c, 0, promptTokens, outputMean))), 0)
}

// TestShortPrefills guards against prompts that queue for a few prefill engines while
// decode engines are idle.
func TestShortPrefills(t *testing.T) {
	c := balanceCell(2, 10)
	changes := balanceAfterDelay(c, serveRequests(c, 0, 2*promptTokens, 100))
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Role, table.RolePrefill)
}

// TestLostEngines guards against role changes because of engines that have crashed and
// are back within seconds.
func TestLostEngines(t *testing.T) {
	c := balanceCell(4, 8)
	now := serveRequests(c, 0, promptTokens, outputMean)
	schedule.SetEndpoints(c, at(now), engines(4, 8)[:9])
	assert.Equal(t, len(schedule.Balance(c, at(now))), 0)
	assert.Equal(t, len(schedule.Balance(c, at(now+4*time.Second))), 0)
}

// TestMeasuredPrefillRate guards against plans based on a stated rate that the
// engines do not reach: prompts that take twice as long need twice the engines.
func TestMeasuredPrefillRate(t *testing.T) {
	slow := engines(20, 36)
	for i := range slow {
		slow[i].PrefillRate *= 2 // stated; serveRequests runs prefills at half of it
	}
	c := schedule.New(projectedConfig(), "m", at(0), false)
	schedule.SetEndpoints(c, at(0), slow)
	stated := balanceCell(20, 36)
	want := balanceAfterDelay(stated, serveRequests(stated, 0, promptTokens, outputMean))
	got := balanceAfterDelay(c, serveRequests(c, 0, promptTokens, outputMean))
	assert.Assert(t, len(got) <= len(want)+1, "%d changes in place of %d", len(got), len(want))
}

// TestNoOutput guards against role changes of all engines because requests without
// output seem to need no decode engine.
func TestNoOutput(t *testing.T) {
	c := balanceCell(4, 8)
	assert.Equal(t, len(balanceAfterDelay(c, serveRequests(c, 0, promptTokens, 0))), 0)
}
