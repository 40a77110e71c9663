package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/schedule"
)

// TestLateDeferrableGoesLast guards against the collapse in which every deferrable
// request is served just after its target, because requests that have missed their
// target go before those that can still meet it.
func TestLateDeferrableGoesLast(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 1, 100))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("busy"))
	start(c, t0, "busy")
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("old", deferred, target(time.Second)))
	schedule.HandleSlotRequest(c, at(500*ms), "h", slotRequest("new", deferred, target(5*time.Second)))
	schedule.Tick(c, at(1500*ms))
	acts := finish(c, at(1600*ms), "busy", 100)
	assert.DeepEqual(t, names(acts), []id.Request{"new"})
	acts = finish(c, at(1700*ms), "new", 100)
	assert.DeepEqual(t, names(acts), []id.Request{"old"})
	assert.Equal(t, len(refusals(acts)), 0)
	mustCheck(t, c)
}

// TestDeferrableDebtIsPaid guards against deferrable requests that go before queued
// interactive ones although deferrable requests have just been served.
func TestDeferrableDebtIsPaid(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 20, 100))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("d1", deferred, prompt(5000)))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("d2", deferred, prompt(5000)))
	schedule.HandleSlotRequest(c, at(10*ms), "h", slotRequest("s1", target(5*time.Second)))
	schedule.HandleSlotRequest(c, at(20*ms), "h", slotRequest("s2", target(5*time.Second)))
	acts := start(c, at(500*ms), "d1")
	assert.DeepEqual(t, names(acts), []id.Request{"s1", "s2", "d2"})
}
