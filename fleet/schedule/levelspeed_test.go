package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

// The tests in this file combine the speeds of engines with priority levels and with the
// draining of engines.

// TestLevelWaitBySpeed guards against expected waits of a model with levels that stay the
// same when engines become slow.
func TestLevelWaitBySpeed(t *testing.T) {
	const usual = projectedTokenTime
	reports := []time.Duration{usual, usual, usual, usual, usual, usual, usual, usual, usual, usual}
	c := speedCell(t, 8, reports...)
	schedule.SetLevels(c, at(0), 2)
	eps := engines(8, 10)
	for i := range eps {
		eps[i].Slots = 4
	}
	schedule.SetEndpoints(c, at(0), eps)
	now := serveRequests(c, 2*time.Second, promptTokens, outputMean)
	change := func(m *message.SlotRequest) { m.FirstToken, m.MaxWait = time.Hour, 0 }
	placed := placedOn(c, now, 0, 60, change)
	assert.Assert(t, len(placed) < 60)
	now += time.Second
	report(c, now, 8, reports...)
	before := schedule.ExpectedWait(c, at(now+110*ms), message.LevelOf(1))
	for i := range 4 {
		reports[i] *= 10
	}
	now += time.Second
	report(c, now, 8, reports...)
	after := schedule.ExpectedWait(c, at(now+110*ms), message.LevelOf(1))
	t.Logf("expected wait %v, before %v", after, before)
	// The engines have 6.4 of 10 times their usual speed in total.
	assert.Assert(t, float64(after) > 1.3*float64(before), "%v, before %v", after, before)
}

// TestLevelHoldBySpeed guards against an urgent request that waits for the memory of fast
// engines, because a free one is too slow for it, while smaller requests of a lower level
// take each part of that memory.
func TestLevelHoldBySpeed(t *testing.T) {
	const usual = projectedTokenTime
	c := speedCell(t, 8, usual, usual, 8*usual)
	schedule.SetLevels(c, at(0), 2)
	now := 1200 * ms
	needs := func(rank int, prompt int64) func(*message.SlotRequest) {
		return func(m *message.SlotRequest) {
			m.Level, m.PromptTokens, m.FirstToken, m.MaxWait, m.EventGap = message.LevelOf(rank), prompt, time.Hour, 0, speedGapTarget
		}
	}
	for i := range 12 { // leaves room for one more run on each fast engine
		acts := schedule.HandleSlotRequest(c, at(now), "h", memoryRequest(i, needs(1, promptTokens)))
		assert.Equal(t, len(grants(acts)), 1)
		start(c, at(now), string(grants(acts)[0].Request))
	}
	acts := schedule.HandleSlotRequest(c, at(now), "h", memoryRequest(30, needs(0, 3*promptTokens)))
	acts = append(acts, schedule.HandleSlotRequest(c, at(now), "h", memoryRequest(31, needs(1, 100)))...)
	assert.Equal(t, len(grants(acts)), 0, "%v", acts)
	acts = schedule.Tick(c, at(now+600*ms)) // the hold is bounded
	assert.DeepEqual(t, names(acts), []id.Request{memoryRequest(31, nil).Request})
}

// TestPinBySpeed guards against a slow engine that is drained for a request which waits for
// a faster one, and that others then cannot use.
func TestPinBySpeed(t *testing.T) {
	const usual = projectedTokenTime
	c := speedCell(t, 8, 8*usual, usual, usual)
	now := 1200 * ms
	patient := func(m *message.SlotRequest) { m.FirstToken, m.MaxWait = time.Hour, 0 }
	on := make(map[id.Endpoint][]string)
	for i := range 40 {
		for _, name := range placedOn(c, now, i, 1, patient) {
			on[name] = append(on[name], string(memoryRequest(i, nil).Request))
		}
	}
	schedule.HandleSlotRequest(c, at(now), "h", memoryRequest(40, func(m *message.SlotRequest) {
		m.PromptTokens, m.FirstToken, m.MaxWait, m.EventGap = 3*promptTokens, 30*time.Minute, 0, speedGapTarget
	}))
	now += 1100 * ms
	schedule.Tick(c, at(now))
	var acts []schedule.Action
	for _, name := range on["e08"] {
		acts = append(acts, finish(c, at(now), name, 0)...)
	}
	acts = append(acts, schedule.Tick(c, at(now))...)
	assert.Assert(t, len(on["e08"]) > 0 && len(grants(acts)) > 0, "%v", on)
	for _, g := range grants(acts) {
		assert.Equal(t, g.Decode, id.Endpoint("e08"))
	}
}
