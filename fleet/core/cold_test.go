package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/fleet/throttle"
)

// coldBound is the bound of the users' platform for requests to cold endpoints.
var coldBound = throttle.ColdBound{Overrun: 1.5, Slack: 5}

// coldKnown is the time after which all hosts know that an endpoint is cold, and requests that
// were granted before have reached it.
const coldKnown = time.Second

// setCold makes endpoints cold, by the table of all hosts.
func (f *relayFleet) setCold(perSecond float64, eps ...id.Endpoint) {
	f.editTable = func(s *table.Snapshot) {
		for _, name := range eps {
			ep := s.Endpoints[name]
			ep.ColdPerSecond = perSecond
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

// allowedCold returns how many requests a cold endpoint may get in any second.
func allowedCold(perSecond float64) int { return int(perSecond*coldBound.Overrun + coldBound.Slack) }

// checkCold fails if a cold endpoint gets more requests in a second than the bound allows, from
// all hosts together.
func (f *relayFleet) checkCold(perSecond float64, since time.Time, eps ...id.Endpoint) {
	f.t.Helper()
	allowed := allowedCold(perSecond)
	for _, ep := range eps {
		most := f.mostInSecond(ep, since)
		assert.Assert(f.t, most <= allowed, "%s got %d requests in a second, allowed %d", ep, most, allowed)
	}
}

// partition separates the hosts into a number of sides.
func (f *relayFleet) partition(sides int) {
	for i, name := range f.names {
		f.sides[name] = i % sides
	}
}

// coldChanges are the changes among the hosts under which the bound must hold.
var coldChanges = map[string]func(f *relayFleet, route id.Route, perSecond float64){
	"none": func(f *relayFleet, route id.Route, perSecond float64) {
		f.sendCalls(4*time.Second, route, perSecond)
	},
	"rolling restart": func(f *relayFleet, route id.Route, perSecond float64) {
		for _, name := range f.names[:min(len(f.names), 20)] {
			f.endHost(name)
			f.sendCalls(200*time.Millisecond, route, perSecond)
			f.startHost(name, f.incarnations[name]+1)
		}
	},
	"partition": func(f *relayFleet, route id.Route, perSecond float64) {
		f.partition(2)
		f.sendCalls(6*time.Second, route, perSecond)
		f.partition(1)
	},
	"partition of four zones": func(f *relayFleet, route id.Route, perSecond float64) {
		f.partition(4)
		f.sendCalls(3*time.Second, route, perSecond)
		f.sendCalls(3*time.Second, route, 0)
		f.sendCalls(3*time.Second, route, 2*perSecond) // hosts have saved up what they can
		f.partition(1)
	},
	"isolated hosts": func(f *relayFleet, route id.Route, perSecond float64) {
		f.partition(len(f.names))
		f.sendCalls(4*time.Second, route, perSecond)
		f.partition(1)
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
		f.partition(1)
		for _, name := range f.names {
			f.reduce(name, core.HostsListed{Hosts: list})
		}
		f.sendCalls(6*time.Second, route, perSecond)
	},
	"host started cut off": func(f *relayFleet, route id.Route, perSecond float64) {
		f.endHost("h3")
		f.sides["h3"] = 1
		f.startHost("h3", 2)
		f.sendCalls(4*time.Second, route, perSecond)
		f.partition(1)
	},
}

// TestColdService guards against hosts that together send a cold endpoint of a plain service
// more than the bound allows, and against one that gets nothing, or too little when it is warm.
func TestColdService(t *testing.T) {
	const load, perSecond = 200, 20
	for name, change := range coldChanges {
		for _, hosts := range []int{9, 40} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				f := newRelayFleetOf(t, hosts)
				f.sendCalls(time.Second, "safe", load)
				f.setCold(perSecond, "s1")
				f.sendCalls(coldKnown, "safe", load)
				since := f.now
				change(f, "safe", load)
				f.sendCalls(3*time.Second, "safe", load)
				f.checkCold(perSecond, since, "s1")
				got := float64(f.arrivalsSince("s1", since)) / f.now.Sub(since).Seconds()
				assert.Assert(t, got >= perSecond/4, "%.1f calls a second", got)
				f.setCold(0, "s1")
				warm := f.now
				f.sendCalls(time.Second, "safe", load)
				assert.Assert(t, f.arrivalsSince("s1", warm) > load/4)
			})
		}
	}
}

// TestColdEngine guards against schedulers that together grant a cold engine more requests than
// the bound allows, and against one that gets nothing. The load is more than the engines take.
func TestColdEngine(t *testing.T) {
	const load, perSecond = 100, 20
	cold := []id.Endpoint{"p1", "p2", "d0", "d1", "d2"}
	changes := map[string]func(f *relayFleet, route id.Route, perSecond float64){}
	for name, change := range coldChanges {
		changes[name] = change
	}
	for name, change := range limitedHostChanges {
		changes["scheduler: "+name] = func(f *relayFleet, route id.Route, perSecond float64) {
			scheduler := member.Owner(f.names, "cell/"+relayDomain+"/m/0")
			for range 2 {
				change(f, scheduler, route, perSecond)
				f.sendCalls(time.Second, route, perSecond)
			}
		}
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			f := newRelayFleetOf(t, 9)
			f.prefills = 2
			f.publishTable()
			f.sendCalls(2*time.Second, "resumable", load)
			f.setCold(perSecond, cold...)
			f.sendCalls(coldKnown, "resumable", load)
			since := f.now
			change(f, "resumable", load)
			f.sendCalls(3*time.Second, "resumable", load) // new schedulers grant little
			steady := f.now
			f.sendCalls(3*time.Second, "resumable", load)
			f.checkCold(perSecond, since, cold...)
			got := float64(f.arrivalsSince("p1", steady)) / f.now.Sub(steady).Seconds()
			assert.Assert(t, got >= perSecond/4, "%.1f requests a second", got)
		})
	}
}

// TestColdSecondScheduler guards against a host that schedules a cell beside its owner and takes
// more than its part of a cold engine, before it knows that its zone is cut off: each of the four
// zones of the engines may have such a host.
func TestColdSecondScheduler(t *testing.T) {
	const load, perSecond, zones = 50, 20, 4
	f := newRelayFleetOf(t, 9)
	f.setCold(perSecond, "p1")
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
	assert.Assert(t, most > 0 && most <= allowedCold(perSecond)/2/(zones-1), "%d requests in a second", most)
}
