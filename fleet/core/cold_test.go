package core_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/fleet/throttle"
)

// coldBound is the bound of the users' platform for requests to cold endpoints, and coldPerSecond
// the rate that they take. coldAllowed is how many may reach one in any second.
var coldBound = throttle.ColdBound{Overrun: 1.5, Slack: 5}

const (
	coldPerSecond = 20
	coldAllowed   = 35
	// coldKnown is the time after which all hosts know that an endpoint is cold, and requests that
	// were granted before have reached it.
	coldKnown = time.Second
)

// setCold makes endpoints cold, by the table of all hosts.
func (f *relayFleet) setCold(eps ...id.Endpoint) {
	f.editTable = func(s *table.Snapshot) {
		for _, name := range eps {
			ep := s.Endpoints[name]
			ep.ColdPerSecond = coldPerSecond
			s.Endpoints[name] = ep
		}
	}
	f.publishTable()
}

// mostInSecond returns the largest number of requests that have reached an endpoint in a second.
func (f *relayFleet) mostInSecond(ep id.Endpoint, since time.Time) int {
	most, first := 0, 0
	for i, a := range f.arrivals[ep] {
		for a.at.Sub(f.arrivals[ep][first].at) >= time.Second || f.arrivals[ep][first].at.Before(since) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// partition separates the hosts into a number of sides.
func (f *relayFleet) partition(sides int) {
	for i, name := range f.names {
		f.sides[name] = i % sides
	}
}

// hostChange is a change among the hosts, while calls of a route arrive.
type hostChange func(f *relayFleet, route id.Route, perSecond float64)

// coldChanges are the changes under which the bound must hold.
var coldChanges = map[string]hostChange{
	"none": func(f *relayFleet, route id.Route, perSecond float64) {
		f.sendCalls(4*time.Second, route, perSecond)
	},
	"rolling restart": func(f *relayFleet, route id.Route, perSecond float64) {
		for _, name := range f.names {
			f.endHost(name)
			f.sendCalls(200*time.Millisecond, route, perSecond)
			f.startHost(name, f.incarnations[name]+1)
		}
	},
	"partition": func(f *relayFleet, route id.Route, perSecond float64) {
		f.partition(2)
		f.sendCalls(6*time.Second, route, perSecond)
	},
	"partition of four zones": func(f *relayFleet, route id.Route, perSecond float64) {
		f.partition(4)
		f.sendCalls(3*time.Second, route, perSecond)
		f.sendCalls(3*time.Second, route, 0)
		f.sendCalls(3*time.Second, route, 2*perSecond) // hosts have saved up what they can
	},
	"isolated hosts": func(f *relayFleet, route id.Route, perSecond float64) {
		f.partition(len(f.names))
		f.sendCalls(4*time.Second, route, perSecond)
	},
	"isolated starts without a list of hosts": func(f *relayFleet, route id.Route, perSecond float64) {
		list := f.list
		f.list = nil
		f.partition(len(f.names))
		for _, name := range f.names {
			f.startHost(name, f.incarnations[name]+1)
		}
		f.sendCalls(4*time.Second, route, perSecond)
		f.list = list
		for _, name := range f.names {
			f.reduce(name, core.HostsListed{Hosts: list})
		}
	},
}

// TestCold guards against hosts that together send a cold endpoint more than the bound allows,
// against one that gets nothing, and against one that is limited when it is warm. The load is
// more than the cold endpoints may get.
func TestCold(t *testing.T) {
	changes := maps.Clone(coldChanges)
	for name, change := range limitedHostChanges {
		changes["scheduler: "+name] = func(f *relayFleet, route id.Route, perSecond float64) {
			change(f, member.Owner(f.names, "cell/"+relayDomain+"/m/0"), route, perSecond)
		}
	}
	for _, tt := range []struct {
		route id.Route
		hosts int
		load  float64
		cold  []id.Endpoint // the first one gets calls in any case
	}{{"safe", 40, 200, []id.Endpoint{"s1"}}, {"resumable", 9, 100, []id.Endpoint{"p1", "p2", "d0", "d1", "d2"}}} {
		for name, change := range changes {
			t.Run(fmt.Sprintf("%s, %s", tt.route, name), func(t *testing.T) {
				f := newRelayFleetOf(t, tt.hosts)
				f.prefills = 2
				f.publishTable()
				f.sendCalls(time.Second, tt.route, tt.load)
				f.setCold(tt.cold...)
				f.sendCalls(coldKnown, tt.route, tt.load)
				since := f.now
				change(f, tt.route, tt.load)
				f.partition(1)
				f.sendCalls(3*time.Second, tt.route, tt.load) // new schedulers grant little
				steady := f.now
				f.sendCalls(2*time.Second, tt.route, tt.load)
				for _, ep := range tt.cold {
					most := f.mostInSecond(ep, since)
					assert.Assert(t, most <= coldAllowed, "%s got %d requests in a second", ep, most)
				}
				got := float64(f.arrivalsSince(tt.cold[0], steady)) / f.now.Sub(steady).Seconds()
				assert.Assert(t, got >= coldPerSecond/4, "%.1f requests a second", got)
				f.setCold()
				warm := f.now
				f.sendCalls(time.Second, tt.route, tt.load)
				assert.Assert(t, float64(f.arrivalsSince(tt.cold[0], warm)) > 1.2*got)
			})
		}
	}
}

// TestColdSecondScheduler guards against a host that schedules a cell beside its owner and takes
// more than its part of a cold engine, before it knows that its zone is cut off: each of the four
// zones of the engines may have such a host.
func TestColdSecondScheduler(t *testing.T) {
	const load, zones = 50, 4
	f := newRelayFleetOf(t, 9)
	f.setCold("p1")
	f.sendCalls(time.Second, "resumable", load)
	f.sendCalls(2*time.Second, "resumable", 0) // the owner's queue ends
	owner := member.Owner(f.names, "cell/"+relayDomain+"/m/0")
	for i, name := range f.names {
		f.sides[name] = 1
		if name == owner || i%2 == 0 {
			f.sides[name], f.leaving[name] = 0, true
		}
	}
	since := f.now
	f.sendCalls(2*time.Second, "resumable", load)
	most := f.mostInSecond("p1", since)
	assert.Assert(t, most > 0 && most <= coldAllowed/2/(zones-1), "%d requests in a second", most)
}

// TestColdRetryAfter guards against a refusal without Retry-After by a host that uses no cold
// endpoint, because it has not read the list of hosts: its callers would repeat the call at once.
func TestColdRetryAfter(t *testing.T) {
	f := newRelayFleetOf(t, 1)
	f.list = nil
	f.startHost("h0", 2)
	f.setCold("s1", "s2")
	f.advance(4*time.Second, 0, nil)
	effects := core.Reduce(f.hosts["h0"], core.Input{Now: f.now, Wall: f.now, Event: core.RequestArrived{
		Request: "r", Route: "safe", Account: "a", Key: "k", PromptTokens: 1000, MaxTokens: 500, Timeout: relayTimeout,
	}})
	i := slices.IndexFunc(effects, func(e core.Effect) bool { _, ok := e.(core.Refuse); return ok })
	assert.Assert(t, i >= 0, "the call is not refused")
	refusal := effects[i].(core.Refuse)
	assert.Assert(t, refusal.NotRun && refusal.RetryAfter > 0, "%+v", refusal)
}
