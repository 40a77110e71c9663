package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// The load of a paceFleet: the second deployment of docs/design/hard-load.md.
const (
	paceHosts      = 87
	paceCalls      = 200.0                 // per second
	paceTick       = 20 * time.Millisecond // between two ticks of a host, as in relay mode
	paceArrivals   = 5 * time.Millisecond  // between two points in time at which calls arrive and end
	paceTarget     = 300 * time.Millisecond
	paceTimeout    = 1500 * time.Millisecond
	paceSlots      = 6
	paceQueue      = 24
	paceCallTime   = 60 * time.Millisecond
	paceQuickFail  = 2 * time.Millisecond
	paceBaseRate   = 0.14 // failure rate of the repeatable half of the calls on each endpoint
	paceFaultTime  = 6 * time.Second
	paceSettleTime = 4 * time.Second // before and after the fault
)

// paceZones are the zones of the endpoints.
var paceZones = []id.Zone{"az-a", "az-a", "az-b", "az-b", "az-c", "az-d"}

// serviceFault is what is wrong with an endpoint.
type serviceFault struct {
	slowdown  float64 // factor of the duration of a call
	failShare float64 // of the calls that fail quickly
	silent    bool    // calls never end
}

// serviceState is a simulated endpoint of a plain service.
type serviceState struct {
	serviceFault
	running int
	queue   []func()
}

// paceFleet is a relayFleet with simulated service endpoints.
type paceFleet struct {
	*relayFleet
	services  map[id.Endpoint]*serviceState
	started   map[id.Request]startedCall
	failed    map[id.Request]id.Attempt // attempt whose answer is a failure
	got       map[id.Endpoint]int       // calls
	summaries map[id.Host]int           // by sender
	reports   map[id.Host]int           // by receiver
	frozen    map[id.Host]bool          // get no ticks, messages and calls
	halves    map[id.Host]bool          // side of a cut link; all hosts are on one side without it
	tickAt    time.Time
	logs      int         // lines of package pace
	result    *paceResult // of the calls that are sent now
}

// startedCall is a call that a caller has sent.
type startedCall struct {
	at     time.Time
	result *paceResult
}

// paceResult counts calls by their ends. It changes until all of them have ended.
type paceResult struct {
	sent, inTime, late, failed, refused int
}

func (r *paceResult) String() string {
	return fmt.Sprintf("%d calls: %.1f %% in time, %.1f %% late, %.1f %% failed, %.1f %% refused",
		r.sent, 100*r.part(r.inTime), 100*r.part(r.late), 100*r.part(r.failed), 100*r.part(r.refused))
}

func (r *paceResult) part(n int) float64 { return float64(n) / float64(max(r.sent, 1)) }

// served returns the part of the calls that were answered in time.
func (r *paceResult) served() float64 { return r.part(r.inTime) }

func newPaceFleet(t *testing.T, hosts int, enabled func(id.Host) bool) *paceFleet {
	p := &paceFleet{
		services: make(map[id.Endpoint]*serviceState), started: make(map[id.Request]startedCall),
		failed: make(map[id.Request]id.Attempt), got: make(map[id.Endpoint]int),
		summaries: make(map[id.Host]int), reports: make(map[id.Host]int), frozen: make(map[id.Host]bool), halves: make(map[id.Host]bool),
	}
	for n := range paceZones {
		p.services[id.Endpoint(fmt.Sprintf("v%d", n))] = &serviceState{serviceFault: serviceFault{slowdown: 1}}
	}
	p.relayFleet = newRelayFleetWith(t, hosts, options{
		configure: func(host id.Host, cfg *core.Config) {
			cfg.Pace.Enabled = enabled(host)
			cfg.AZ = []id.Zone{"az-a", "az-b", "az-c", "az-d"}[int(host[len(host)-1])%4]
		},
		edit:      p.editTable,
		serve:     func(host id.Host, e core.CallService) { p.serveCall(host, e) },
		observe:   p.record,
		separated: func(a, b id.Host) bool { return p.halves[a] != p.halves[b] },
	})
	return p
}

// editTable replaces the service endpoints.
func (p *paceFleet) editTable(snap *table.Snapshot) {
	delete(snap.Endpoints, "s1")
	delete(snap.Endpoints, "s2")
	for name := range p.services {
		zone := paceZones[int(name[1]-'0')%len(paceZones)]
		snap.Endpoints[name] = table.Endpoint{
			Name: name, Pool: "rack", Zone: relayDomain, AZ: zone, Address: "10.0.2.1:" + string(name[1:]),
			State: table.StateActive, Slots: paceSlots,
		}
	}
}

func (p *paceFleet) serveCall(host id.Host, e core.CallService) {
	sv := p.services[e.Endpoint]
	p.got[e.Endpoint]++
	run := func() { p.run(host, e, sv) }
	switch {
	case sv.silent:
	case p.rng.Float64() < sv.failShare:
		p.after(paceQuickFail, func() { p.fail(host, e) })
	case sv.running < paceSlots:
		run()
	case len(sv.queue) < paceQueue:
		sv.queue = append(sv.queue, run)
	default:
		p.after(paceQuickFail, func() {
			p.reduce(host, core.RunFailed{Request: e.Request, Attempt: e.Attempt, Endpoint: e.Endpoint, Code: "full", NotRun: true})
		})
	}
}

// run answers a call that has a slot. Durations vary by a fifth.
func (p *paceFleet) run(host id.Host, e core.CallService, sv *serviceState) {
	sv.running++
	took := time.Duration(float64(paceCallTime) * sv.slowdown * (0.8 + 0.4*p.rng.Float64()))
	p.after(took, func() {
		sv.running--
		if len(sv.queue) > 0 {
			next := sv.queue[0]
			sv.queue = sv.queue[1:]
			next()
		}
		if strings.HasPrefix(string(e.Request), "safe") && p.rng.Float64() < paceBaseRate {
			p.fail(host, e)
			return
		}
		p.reduce(host, core.ServiceDone{Request: e.Request, Attempt: e.Attempt, Status: 200})
	})
}

func (p *paceFleet) fail(host id.Host, e core.CallService) {
	p.failed[e.Request] = e.Attempt
	p.reduce(host, core.RunFailed{Request: e.Request, Attempt: e.Attempt, Endpoint: e.Endpoint, Code: "500", HasReply: true})
}

// record counts messages and the ends of calls.
func (p *paceFleet) record(host id.Host, e core.Effect) {
	switch e := e.(type) {
	case core.SendPeer:
		p.recordMessage(host, e)
	case core.Log:
		if e.Component == "pace" {
			p.logs++
		}
	case core.Reply:
		c := p.started[e.Request]
		failed, ok := p.failed[e.Request]
		switch {
		case ok && failed == e.Attempt:
			c.result.failed++
		case p.now.Sub(c.at) <= paceTarget:
			c.result.inTime++
		default:
			c.result.late++
		}
	case core.Refuse:
		if e.NotRun {
			p.started[e.Request].result.refused++
		} else {
			p.started[e.Request].result.failed++
		}
	}
}

func (p *paceFleet) recordMessage(host id.Host, e core.SendPeer) {
	switch m := e.Message.(type) {
	case message.PaceReport:
		p.reports[e.To]++
	case message.PaceSummary:
		p.summaries[host]++
	case message.Broadcast:
		if len(m.PaceSummaries) > 0 && m.Origin == host {
			p.summaries[host]++
		}
	}
}

// sendFor sends calls to random hosts, one half of them at most once.
func (p *paceFleet) sendFor(d time.Duration, perSecond float64) *paceResult {
	p.result = new(paceResult)
	clear(p.got)
	for end := p.now.Add(d); p.now.Before(end); {
		names := p.usable()
		mean := perSecond * paceArrivals.Seconds()
		for sum := p.rng.ExpFloat64(); sum < mean; sum += p.rng.ExpFloat64() {
			p.sendCall(names[p.rng.IntN(len(names))])
		}
		p.step()
	}
	return p.result
}

// step advances the clock by paceArrivals.
func (p *paceFleet) step() {
	p.now = p.now.Add(paceArrivals)
	p.runPending()
	if p.now.Before(p.tickAt) {
		return
	}
	p.tickAt = p.now.Add(paceTick)
	for _, name := range p.names {
		if !p.frozen[name] {
			p.reduce(name, core.Tick{})
		}
	}
}

func (p *paceFleet) sendCall(host id.Host) {
	p.sent++
	p.result.sent++
	route := id.Route("safe")
	if p.sent%2 == 0 {
		route = "unsafe"
	}
	req := id.Request(fmt.Sprintf("%s-%d", route, p.sent))
	p.started[req] = startedCall{at: p.now, result: p.result}
	p.reduce(host, core.RequestArrived{
		Request: req, Route: route, Account: "a", Key: "k", PromptTokens: 1, MaxTokens: 1, Timeout: paceTimeout,
	})
}

func (r *paceResult) add(others ...*paceResult) {
	for _, o := range others {
		r.sent += o.sent
		r.inTime += o.inTime
		r.late += o.late
		r.failed += o.failed
		r.refused += o.refused
	}
}

// collector returns the host that has got most reports, and forgets the reports.
func (p *paceFleet) collector() id.Host {
	var best id.Host
	for _, name := range p.names {
		if best == "" || p.reports[name] > p.reports[best] {
			best = name
		}
	}
	clear(p.reports)
	return best
}

func (p *paceFleet) setFrozen(name id.Host, frozen bool) {
	p.frozen[name], p.cutOff[name] = frozen, frozen
}
