package core_test

import (
	"fmt"
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
	paceCalls      = 200.0 // per second
	paceTarget     = 300 * time.Millisecond
	paceTimeout    = 1500 * time.Millisecond
	paceSlots      = 6
	paceQueue      = 24
	paceCallTime   = 60 * time.Millisecond
	paceQuickFail  = 2 * time.Millisecond
	paceBaseRate   = 0.14 // failure rate of one half of the calls on each endpoint
	paceFaultTime  = 6 * time.Second
	paceSettleTime = 4 * time.Second
)

// paceZones are the zones of the endpoints.
var paceZones = []id.Zone{"az-a", "az-a", "az-b", "az-b", "az-c", "az-d"}

// serviceState is a simulated endpoint of a plain service.
type serviceState struct {
	slowdown  float64 // factor of the duration of a call
	failShare float64 // of the calls that fail quickly
	silent    bool    // calls never end
	running   int
	queue     []func()
}

// paceFleet is a relayFleet with simulated service endpoints.
type paceFleet struct {
	*relayFleet
	services  map[id.Endpoint]*serviceState
	started   map[id.Request]time.Time
	failed    map[id.Request]id.Attempt // attempt whose answer is a failure
	got       map[id.Endpoint]int       // calls
	summaries int
	reports   int
	result    paceResult
}

// paceResult counts the ends of calls.
type paceResult struct {
	sent, inTime, late, failed, refused int
}

func (r paceResult) String() string {
	part := func(n int) float64 { return 100 * float64(n) / float64(max(r.sent, 1)) }
	return fmt.Sprintf("%d calls: %.1f %% in time, %.1f %% late, %.1f %% failed, %.1f %% refused",
		r.sent, part(r.inTime), part(r.late), part(r.failed), part(r.refused))
}

func paceEndpoint(n int) id.Endpoint { return id.Endpoint(fmt.Sprintf("v%d", n)) }

func newPaceFleet(t *testing.T, on bool) *paceFleet {
	p := &paceFleet{
		services: make(map[id.Endpoint]*serviceState), started: make(map[id.Request]time.Time),
		failed: make(map[id.Request]id.Attempt), got: make(map[id.Endpoint]int),
	}
	for n := range paceZones {
		p.services[paceEndpoint(n)] = &serviceState{slowdown: 1}
	}
	p.relayFleet = newRelayFleetWith(t, paceHosts, options{
		configure: func(host id.Host, cfg *core.Config) {
			cfg.Pace.Enabled = on
			cfg.AZ = []id.Zone{"az-a", "az-b", "az-c", "az-d"}[int(host[len(host)-1])%4]
		},
		edit:    p.editTable,
		serve:   func(host id.Host, e core.CallService) { p.serveCall(host, e) },
		observe: func(_ id.Host, e core.Effect) { p.record(e) },
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
		if p.rng.Float64() < paceBaseRate/2 {
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
func (p *paceFleet) record(e core.Effect) {
	switch e := e.(type) {
	case core.SendPeer:
		p.recordMessage(e.Message)
	case core.Reply:
		failed, ok := p.failed[e.Request]
		switch {
		case ok && failed == e.Attempt:
			p.result.failed++
		case p.now.Sub(p.started[e.Request]) <= paceTarget:
			p.result.inTime++
		default:
			p.result.late++
		}
	case core.Refuse:
		if e.NotRun {
			p.result.refused++
		} else {
			p.result.failed++
		}
	}
}

func (p *paceFleet) recordMessage(m message.Message) {
	switch m := m.(type) {
	case message.PaceReport:
		p.reports++
	case message.PaceSummary:
		p.summaries++
	case message.Broadcast:
		p.summaries += len(m.PaceSummaries)
	}
}

// sendFor sends calls to random hosts, one half of them at most once, and returns how the calls
// that ended meanwhile have ended.
func (p *paceFleet) sendFor(d time.Duration, perSecond float64) paceResult {
	const tick = 10 * time.Millisecond
	p.result = paceResult{}
	clear(p.got)
	for end := p.now.Add(d); p.now.Before(end); {
		names := p.usable()
		for n := p.rng.ExpFloat64() * perSecond * tick.Seconds(); n >= p.rng.Float64(); n-- {
			p.sendCall(names[p.rng.IntN(len(names))])
		}
		p.advance(tick, 0, nil)
	}
	return p.result
}

func (p *paceFleet) sendCall(host id.Host) {
	p.sent++
	p.result.sent++
	req := id.Request(fmt.Sprintf("call-%d", p.sent))
	p.started[req] = p.now
	route := id.Route("safe")
	if p.sent%2 == 0 {
		route = "unsafe"
	}
	p.reduce(host, core.RequestArrived{
		Request: req, Route: route, Account: "a", Key: "k", PromptTokens: 1, MaxTokens: 1, Timeout: paceTimeout,
	})
}
