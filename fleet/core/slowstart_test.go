package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// arrivalsSince returns how many requests have reached an endpoint since a time.
func (f *relayFleet) arrivalsSince(ep id.Endpoint, since time.Time) int {
	n := 0
	for _, a := range f.arrivals[ep] {
		if a.at.After(since) {
			n++
		}
	}
	return n
}

// evacuate sets the endpoints of evacuated zones on all hosts.
func (f *relayFleet) evacuate(eps ...id.Endpoint) {
	f.editTable = func(s *table.Snapshot) {
		for _, name := range eps {
			ep := s.Endpoints[name]
			ep.State = table.StateLeaving
			s.Endpoints[name] = ep
		}
	}
	f.publishTable()
}

// TestEvacuatedEndpoints guards against requests to endpoints of an evacuated zone under load,
// also after a change of the scheduler, against a run that is cut off there, against all load
// at once when they return, and against endpoints that stay unused then.
func TestEvacuatedEndpoints(t *testing.T) {
	for route, perSecond := range map[id.Route]float64{"safe": 40, "resumable": 25} {
		all := map[id.Route][]id.Endpoint{"safe": {"s1", "s2"}, "resumable": {"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"}}[route]
		evacuated := all[:len(all)/2]
		t.Run(string(route), func(t *testing.T) {
			f := newRelayFleetOf(t, 9)
			f.prefills = 4
			f.publishTable()
			f.sendCalls(2*time.Second, route, perSecond) // a new scheduler grants little
			before := f.sendCalls(3*time.Second, route, perSecond)
			f.evacuate(evacuated...)
			f.sendCalls(500*time.Millisecond, route, perSecond) // decodes of running prefills
			since := f.now
			f.sendCalls(2*time.Second, route, perSecond)
			limitedHostChanges["kill"](f, "h1", route, perSecond)
			limitedHostChanges["kill"](f, "h2", route, perSecond)
			f.sendCalls(2*time.Second, route, perSecond)
			for _, ep := range evacuated {
				assert.Equal(t, f.arrivalsSince(ep, since), 0, "%s gets requests", ep)
			}
			assert.Assert(t, f.servedShare(before) > 0.99, "refused %v", f.refused)

			f.evacuate()
			f.checkReturn(route, evacuated, perSecond)
		})
	}
}

// checkReturn sends load and fails unless the load of the returned endpoints grows gradually,
// to the load of the others.
func (f *relayFleet) checkReturn(route id.Route, eps []id.Endpoint, perSecond float64) {
	f.t.Helper()
	for second, allowed := range []float64{0.4, 0.6, 0.8, 1, 1, 1, 1} {
		since := f.now
		f.sendCalls(time.Second, route, perSecond)
		sum := 0
		for _, ep := range eps {
			sum += f.arrivalsSince(ep, since)
		}
		share := float64(sum) / perSecond
		text := fmt.Sprintf("share %.2f in second %d", share, second)
		assert.Assert(f.t, share <= allowed, text)
		assert.Assert(f.t, second < 5 || share > 0.2, text)
		f.t.Log(text)
	}
}
