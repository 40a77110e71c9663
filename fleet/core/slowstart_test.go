package core_test

import (
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
	for _, tt := range []struct {
		route           id.Route
		perSecond       float64
		evacuated, rest []id.Endpoint
	}{
		{"safe", 40, []id.Endpoint{"s1"}, []id.Endpoint{"s2"}},
		{"resumable", 25, []id.Endpoint{"d0", "d1", "d2", "d3"}, []id.Endpoint{"d4", "d5", "d6", "d7"}},
	} {
		t.Run(string(tt.route), func(t *testing.T) {
			f := newRelayFleetOf(t, 9)
			f.prefills = 4
			f.publishTable()
			f.sendCalls(2*time.Second, tt.route, tt.perSecond) // a new scheduler grants little
			before := f.sendCalls(3*time.Second, tt.route, tt.perSecond)
			f.evacuate(tt.evacuated...)
			f.sendCalls(500*time.Millisecond, tt.route, tt.perSecond) // decodes of running prefills
			since := f.now
			f.sendCalls(2*time.Second, tt.route, tt.perSecond)
			for _, name := range []id.Host{"h1", "h2"} {
				limitedHostChanges["kill"](f, name, tt.route, tt.perSecond)
			}
			f.sendCalls(2*time.Second, tt.route, tt.perSecond)
			assert.Equal(t, f.shareSince(since, tt.evacuated, tt.rest), 0.0)
			assert.Assert(t, f.servedShare(before) > 0.99, "refused %v", f.refused)

			f.evacuate()
			for second, allowed := range []float64{0.4, 0.6, 0.8, 1, 1, 1, 1} {
				since := f.now
				f.sendCalls(time.Second, tt.route, tt.perSecond)
				share := f.shareSince(since, tt.evacuated, tt.rest)
				assert.Assert(t, share <= allowed && (second < 5 || share > 0.2), "share %.2f in second %d", share, second)
			}
		})
	}
}

// TestNoSlowStart guards against a slow start in deployments whose zones are never evacuated, when
// endpoints that were draining are in use again: half of the endpoints get their usual load at once.
func TestNoSlowStart(t *testing.T) {
	eps, rest := []id.Endpoint{"s1"}, []id.Endpoint{"s2"}
	f := newRelayFleetOf(t, 9)
	f.noEvacuations = true
	for _, name := range f.names {
		f.startHost(name, 2)
	}
	f.advance(4*time.Second, 0, nil)
	f.evacuate(eps...)
	f.sendCalls(2*time.Second, "safe", 40)
	f.evacuate()
	since := f.now
	f.sendCalls(time.Second, "safe", 40)
	share := f.shareSince(since, eps, rest)
	assert.Assert(t, share > 0.4, "share %.2f in the first second", share)
}

// shareSince returns the share of some endpoints in the requests of these and the others.
func (f *relayFleet) shareSince(since time.Time, eps, others []id.Endpoint) float64 {
	var sums [2]int
	for i, group := range [][]id.Endpoint{eps, others} {
		for _, ep := range group {
			sums[i] += f.arrivalsSince(ep, since)
		}
	}
	return float64(sums[0]) / float64(max(1, sums[0]+sums[1]))
}
