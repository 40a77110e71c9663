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

// grownCacheTokens is the memory of one engine of balanceCell.
const grownCacheTokens = 29_216

// prefillSpeed is the prompt tokens per second that the engines of balanceCell read.
const prefillSpeed = 24_000

// engines returns engines of the size that large deployments have, dealt out over three zones.
func engines(prefills, decodes int) []schedule.Endpoint {
	var eps []schedule.Endpoint
	for i := range prefills + decodes {
		ep := schedule.Endpoint{
			Name: id.Endpoint(fmt.Sprintf("e%02d", i)), AZ: id.Zone(rune('a' + i%3)), Role: table.RoleDecode,
			Slots: 12, Blocks: grownCacheTokens / pieceTokens, BlockTokens: pieceTokens, LinkRate: 1_000_000,
		}
		if i < prefills {
			ep.Role = table.RolePrefill
			ep.PrefillRate = prefillSpeed
		}
		eps = append(eps, ep)
	}
	return eps
}

// play has requests of the given sizes served one by one, until the averages count.
func play(c *schedule.Cell, from time.Duration, prompt, output int64) time.Duration {
	now := from
	for i := range 40 {
		m := memoryAsk(i, func(m *message.SlotAsk) {
			m.Request = id.Request(fmt.Sprintf("%s-%d", from, i))
			m.PromptTokens, m.OutputTokens, m.Expected = prompt, 2*output, output
		})
		schedule.HandleAsk(c, at(now), "h", m)
		now += time.Duration(prompt) * time.Second / prefillSpeed
		update := message.SlotUpdate{Request: m.Request, Attempt: 1, Phase: message.PhaseDecode}
		schedule.HandleUpdate(c, at(now), "h", update)
		now += time.Duration(output) * stepTime
		update.Phase, update.Tokens = message.PhaseDone, output
		schedule.HandleUpdate(c, at(now), "h", update)
	}
	return now
}

// settled returns what Balance decides when the state of the cell has lasted.
func settled(c *schedule.Cell, now time.Duration) []schedule.RoleChange {
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
	changes := settled(c, play(c, 0, promptOne, outputMean))
	assert.Assert(t, len(changes) >= 4 && len(changes) <= 8, "%+v", changes)
	left := map[id.Zone]int{"a": 7, "b": 7, "c": 6}
	for _, change := range changes {
		assert.Equal(t, change.Role, table.RoleDecode)
		for _, ep := range engines(20, 36) {
			if ep.Name == change.Endpoint {
				left[ep.AZ]--
			}
		}
	}
	assert.Assert(t, max(left["a"], left["b"], left["c"])-min(left["a"], left["b"], left["c"]) <= 1, "%v", left)
}

// TestBalancedRoles guards against engines that change their roles for nothing.
func TestBalancedRoles(t *testing.T) {
	c := balanceCell(4, 8)
	assert.Equal(t, len(settled(c, play(c, 0, promptOne, outputMean))), 0)
}

// TestShortPrefills guards against prompts that queue for a few prefill engines while
// decode engines are idle.
func TestShortPrefills(t *testing.T) {
	c := balanceCell(2, 10)
	changes := settled(c, play(c, 0, 2*promptOne, 100))
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Role, table.RolePrefill)
}

// TestLostEngines guards against changes of role because of engines that have crashed
// and are back within seconds.
func TestLostEngines(t *testing.T) {
	c := balanceCell(4, 8)
	now := play(c, 0, promptOne, outputMean)
	schedule.SetEndpoints(c, at(now), engines(4, 8)[:9])
	assert.Equal(t, len(schedule.Balance(c, at(now))), 0)
	assert.Equal(t, len(schedule.Balance(c, at(now+4*time.Second))), 0)
}

// TestMeasuredPace guards against plans by a stated rate that the engines do not have:
// prompts that take twice as long need twice the engines.
func TestMeasuredPace(t *testing.T) {
	slow := engines(20, 36)
	for i := range slow {
		slow[i].PrefillRate *= 2 // stated; play reads prompts at half of it
	}
	c := schedule.New(projectedConfig(), "m", at(0), false)
	schedule.SetEndpoints(c, at(0), slow)
	stated := balanceCell(20, 36)
	want := settled(stated, play(stated, 0, promptOne, outputMean))
	got := settled(c, play(c, 0, promptOne, outputMean))
	assert.Assert(t, len(got) <= len(want)+1, "%d changes in place of %d", len(got), len(want))
}

// TestNoOutput guards against engines that all change their role because requests
// without output seem to need no decode engine.
func TestNoOutput(t *testing.T) {
	c := balanceCell(4, 8)
	assert.Equal(t, len(settled(c, play(c, 0, promptOne, 0))), 0)
}
