package core_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
)

func paceOn(id.Host) bool  { return true }
func paceOff(id.Host) bool { return false }

// paceNoise is the difference of the served parts that chance causes.
const paceNoise = 0.02

// evenShare returns the calls of one endpoint if all get as many.
func evenShare(d time.Duration) int { return int(paceCalls*d.Seconds()) / len(paceZones) }

// TestPaceLoad guards against hosts that send calls to an endpoint which other hosts have found
// slow, failing or silent, against endpoints that get no calls after their recovery, and against
// a choice that serves fewer calls than the statistics of each host alone.
func TestPaceLoad(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault serviceState
	}{
		{"sound", serviceState{slowdown: 1}},
		{"slow", serviceState{slowdown: 5}},
		{"failing", serviceState{slowdown: 1, failShare: 0.45}},
		{"silent", serviceState{slowdown: 1, silent: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			off := measureFault(t, tt.fault, paceOff)
			on := measureFault(t, tt.fault, paceOn)
			if tt.name == "sound" {
				assert.Assert(t, on.fault.served() > off.fault.served()-paceNoise)
				return
			}
			assert.Assert(t, on.fault.served() > off.fault.served(), "served %.3f, off %.3f", on.fault.served(), off.fault.served())
			assert.Assert(t, on.fault.part(on.fault.failed) <= off.fault.part(off.fault.failed))
			assert.Assert(t, on.noticed < evenShare(4*time.Second)/4, "%d calls to a faulty endpoint", on.noticed)
			assert.Assert(t, on.again > evenShare(2*time.Second)/2, "%d calls to a recovered endpoint", on.again)
		})
	}
}

// faultFigures are the calls during and after a fault of one endpoint.
type faultFigures struct {
	fault, after *paceResult
	noticed      int // calls to the endpoint in the last 4 s of the fault
	again        int // calls to the endpoint in 2 s, from 4 s after the fault on
}

func measureFault(t *testing.T, fault serviceState, enabled func(id.Host) bool) faultFigures {
	p := newPaceFleet(t, paceHosts, enabled)
	p.sendFor(paceSettleTime, paceCalls)
	*p.services["v1"] = fault
	out := faultFigures{fault: p.sendFor(2*time.Second, paceCalls)}
	later := p.sendFor(paceFaultTime-2*time.Second, paceCalls)
	out.noticed = p.got["v1"]
	*p.services["v1"] = serviceState{slowdown: 1}
	out.after = p.sendFor(paceSettleTime, paceCalls)
	p.sendFor(2*time.Second, paceCalls)
	out.again = p.got["v1"]
	out.fault.add(later)
	t.Logf("on %t: fault %s; then %s; calls to the endpoint: %d late in the fault, %d later", enabled(""), out.fault, out.after, out.noticed, out.again)
	return out
}
