package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/member"
)

// TestSchedulerCutOff guards against a scheduler that keeps the reservations whose ends it has
// missed while it was cut off, and then grants nothing.
func TestSchedulerCutOff(t *testing.T) {
	const perSecond = 30
	f := newRelayFleetOf(t, 9)
	f.sendCalls(6500*time.Millisecond, "resumable", perSecond)
	scheduler := member.Owner(f.names, "cell/"+relayDomain+"/m/0")
	limitedHostChanges["cut"](f, scheduler, "resumable", perSecond)
	f.sendCalls(contactTime, "resumable", perSecond)
	after := f.sendCalls(5*time.Second, "resumable", perSecond)
	f.sendCalls(time.Second, "resumable", 0)
	assert.Assert(t, f.servedShare(after) > 0.9, "served %.3f, refused %v", f.servedShare(after), f.refused)
}
