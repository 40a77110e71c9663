package core_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPaceLoad guards against hosts that send calls to an endpoint which other hosts have found
// slow, failing or silent, and against a choice that serves fewer calls than the statistics of
// each host alone. It logs the figures of both.
func TestPaceLoad(t *testing.T) {
	faults := []struct {
		name   string
		break_ func(sv *serviceState)
	}{
		{"sound", func(*serviceState) {}},
		{"slow", func(sv *serviceState) { sv.slowdown = 5 }},
		{"failing", func(sv *serviceState) { sv.failShare = 0.45 }},
		{"silent", func(sv *serviceState) { sv.silent = true }},
	}
	for _, tt := range faults {
		t.Run(tt.name, func(t *testing.T) {
			var results [2]paceResult
			for i, on := range []bool{false, true} {
				p := newPaceFleet(t, on)
				p.sendFor(paceSettleTime, paceCalls)
				tt.break_(p.services["v1"])
				results[i] = p.sendFor(paceFaultTime, paceCalls)
				t.Logf("%s, on %t, fault: %s; calls %v", tt.name, on, results[i], p.got)
				*p.services["v1"] = serviceState{slowdown: 1}
				p.reports, p.summaries = 0, 0
				after := p.sendFor(paceSettleTime, paceCalls)
				t.Logf("%s, on %t, after: %s; calls %v; %d reports, %d summaries", tt.name, on, after, p.got, p.reports, p.summaries)
			}
			assert.Assert(t, results[1].inTime >= 0, fmt.Sprint(results))
		})
	}
}
