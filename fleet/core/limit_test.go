package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
)

// The platform's tolerance for requests beyond an endpoint's limit.
const (
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	limitKnown   = 500 * time.Millisecond
)

// sendCalls advances the clock while calls on a route arrive at random hosts. It returns
// their requests.
func (f *relayFleet) sendCalls(d time.Duration, route id.Route, perSecond float64) []id.Request {
	const tick = 10 * time.Millisecond
	var out []id.Request
	for end := f.now.Add(d); f.now.Before(end); {
		names := f.usable()
		for n := f.rng.Float64() + perSecond*tick.Seconds(); n >= 1; n-- {
			f.sent++
			req := id.Request(fmt.Sprintf("call-%d", f.sent))
			out = append(out, req)
			f.sentAt[req] = f.now
			f.reduce(names[f.rng.IntN(len(names))], core.RequestArrived{
				Request: req, Route: route, Account: "a", Key: "k", PromptTokens: 1000, MaxTokens: 500, Timeout: relayTimeout,
			})
		}
		f.advance(tick, 0, nil)
	}
	return out
}

// checkLimits fails if an endpoint gets more in a window than its limit allows. Only windows
// that end contactTime after the limit was named count, and only requests of hosts that had
// been told of it limitKnown before.
func (f *relayFleet) checkLimits(named time.Time) {
	f.t.Helper()
	for ep, perSecond := range f.limits {
		allowed := int(limitOverrun*perSecond*limitWindow.Seconds()) + limitSlack
		var times []time.Time
		for _, a := range f.arrivals[ep] {
			if a.told {
				times = append(times, a.at)
			}
		}
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= limitWindow {
				first++
			}
			if n := i - first + 1; at.Sub(named) >= contactTime {
				assert.Assert(f.t, n <= allowed, "%s got %d requests in %s, allowed %d", ep, n, limitWindow, allowed)
			}
		}
	}
}

func (f *relayFleet) servedShare(requests []id.Request) float64 {
	n := 0
	for _, req := range requests {
		if _, begun := f.begun[req]; begun || f.served[req] {
			n++
		}
	}
	return float64(n) / float64(max(len(requests), 1))
}

// TestServiceLimit guards against hosts that together send more to a service endpoint than the
// rate it has named, and against refusing calls that another endpoint can take.
func TestServiceLimit(t *testing.T) {
	for _, hosts := range []int{1, 9, 77} {
		for _, perSecond := range []float64{1, 3.2, 8} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, perSecond), func(t *testing.T) {
				f := newRelayFleetOf(t, hosts)
				f.sendCalls(2*time.Second, "safe", 40)
				f.limits["s1"] = perSecond
				named := f.now
				limited := f.sendCalls(15*time.Second, "safe", 40)
				f.checkLimits(named)
				sent := len(f.arrivals["s1"])
				assert.Assert(t, f.servedShare(limited) > 0.99, "refused %v", f.refused)
				delete(f.limits, "s1")
				f.sendCalls(5*time.Second, "safe", 40)
				f.sendCalls(5*time.Second, "safe", 40)
				again := len(f.arrivals["s1"]) - sent
				assert.Assert(t, again > 10*40/4, "%d calls in 10 s after the limit", again)
			})
		}
	}
}

// TestServiceLimitOfAll guards against hosts that leave the rate unused which limited endpoints
// still take, and against calls that wait although no endpoint takes them.
func TestServiceLimitOfAll(t *testing.T) {
	f := newRelayFleetOf(t, 9)
	f.sendCalls(2*time.Second, "safe", 40)
	f.limits["s1"], f.limits["s2"] = 6, 6
	named := f.now
	f.sendCalls(contactTime, "safe", 40)
	limited := f.sendCalls(12*time.Second, "safe", 40)
	f.checkLimits(named)
	want := 0.7 * 2 * 6 / 40
	assert.Assert(t, f.servedShare(limited) > want, "served %.3f, refused %v", f.servedShare(limited), f.refused)
}

// TestEngineLimit guards against a scheduler that grants an engine more requests than the rate
// it has named, and against refusing requests that other engines can take.
func TestEngineLimit(t *testing.T) {
	f := newRelayFleetOf(t, 9)
	f.sendCalls(2*time.Second, "resumable", 20)
	for i := range relayEngines / 2 {
		f.limits[id.Endpoint(fmt.Sprintf("d%d", i))] = 1
	}
	named := f.now
	limited := f.sendCalls(15*time.Second, "resumable", 20)
	f.checkLimits(named)
	assert.DeepEqual(t, core.StatusOf(f.hosts["h0"], f.now).Limits, f.limits)
	assert.Assert(t, f.servedShare(limited) > 0.99, "served %.3f, refused %v", f.servedShare(limited), f.refused)
	before := len(f.arrivals["d0"])
	clear(f.limits)
	f.sendCalls(10*time.Second, "resumable", 20)
	again := len(f.arrivals["d0"]) - before
	assert.Assert(t, again > 10*20/relayEngines/2, "%d requests in 10 s after the limit", again)
}

// TestPrefillLimit guards against prefills beyond the rate that an engine has named, and against
// requests that wait for it until their callers have gone.
func TestPrefillLimit(t *testing.T) {
	f := newRelayFleetOf(t, 9)
	f.sendCalls(2*time.Second, "resumable", 20)
	f.limits["p1"] = 5
	named := f.now
	f.sendCalls(contactTime, "resumable", 20)
	limited := f.sendCalls(12*time.Second, "resumable", 20)
	f.sendCalls(2*time.Second, "resumable", 0)
	f.checkLimits(named)
	assert.Assert(t, f.servedShare(limited) > 0.7*5/20, "served %.3f, refused %v", f.servedShare(limited), f.refused)
	assert.Equal(t, f.refused[core.CodeDeadline], 0, "refused %v", f.refused)
}

// limitedHostChanges are the ways in which a host hands its work over and gets it back.
var limitedHostChanges = map[string]func(f *relayFleet, name id.Host, route id.Route, perSecond float64){
	"stop": func(f *relayFleet, name id.Host, route id.Route, perSecond float64) {
		f.leaving[name] = true
		f.reduce(name, core.DrainRequested{Within: 2 * time.Second})
		f.sendCalls(3*time.Second, route, perSecond)
		f.endHost(name)
		f.leaving[name] = false
		f.startHost(name, f.incarnations[name]+1)
	},
	"kill": func(f *relayFleet, name id.Host, route id.Route, perSecond float64) {
		f.endHost(name)
		f.sendCalls(500*time.Millisecond, route, perSecond)
		f.startHost(name, f.incarnations[name]+1)
	},
	"long kill": func(f *relayFleet, name id.Host, route id.Route, perSecond float64) {
		f.endHost(name)
		f.sendCalls(4*time.Second, route, perSecond)
		f.startHost(name, f.incarnations[name]+1)
	},
	"cut": func(f *relayFleet, name id.Host, route id.Route, perSecond float64) {
		f.cut(name)
		f.sendCalls(1500*time.Millisecond, route, perSecond)
		f.cutOff[name] = false
	},
	"long cut": func(f *relayFleet, name id.Host, route id.Route, perSecond float64) {
		f.cut(name)
		f.sendCalls(4*time.Second, route, perSecond)
		f.cutOff[name] = false
	},
}

// TestEngineLimitNewScheduler guards against a scheduler that takes over limited engines
// without knowing their limits, or with requests saved up for them. The hosts refresh what they
// know of limits 1.5 to 3.5 s after the first change.
func TestEngineLimitNewScheduler(t *testing.T) {
	const perSecond = 60
	for name, change := range limitedHostChanges {
		for _, wait := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s after %s", name, wait), func(t *testing.T) {
				f := newRelayFleetOf(t, 9)
				f.sendCalls(2*time.Second, "resumable", perSecond)
				for ep := range f.engines {
					f.limits[ep] = 1
				}
				named := f.now
				f.sendCalls(contactTime+wait, "resumable", perSecond)
				scheduler := member.Owner(f.names, "cell/"+relayDomain+"/m/0")
				for range 2 {
					change(f, scheduler, "resumable", perSecond)
					f.sendCalls(time.Second, "resumable", perSecond)
				}
				limited := f.sendCalls(8*time.Second, "resumable", perSecond)
				f.checkLimits(named)
				want := 0.7 * relayEngines / perSecond
				assert.Assert(t, f.servedShare(limited) > want, "served %.3f, refused %v", f.servedShare(limited), f.refused)
			})
		}
	}
}
