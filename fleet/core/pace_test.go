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
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

func paceOn(id.Host) bool  { return true }
func paceOff(id.Host) bool { return false }

// paceNoise is the difference of the served parts that chance causes.
const paceNoise = 0.02

// paceWindow is the time for which hosts that all choose the same endpoint do so at least: the
// interval of the summaries.
const paceWindow = 500 * time.Millisecond

// evenShare returns the calls of one endpoint if all get as many.
func evenShare(d time.Duration) int { return int(paceCalls*d.Seconds()) / len(paceZones) }

// TestPaceLoad guards against hosts that send calls to an endpoint which other hosts have found
// slow, failing or silent, against hosts that choose the same endpoint at the same time, against
// endpoints that get no calls after their recovery, and against a choice that serves fewer calls
// than the statistics of each host alone.
func TestPaceLoad(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault serviceFault
	}{
		{"sound", serviceFault{slowdown: 1}},
		{"slow", serviceFault{slowdown: 5}},
		{"failing", serviceFault{slowdown: 1, failShare: 0.45}},
		{"silent", serviceFault{slowdown: 1, silent: true}},
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
			assert.Assert(t, on.most <= 3*evenShare(paceWindow), "%d calls to one endpoint in %s", on.most, paceWindow)
			assert.Assert(t, on.logs >= 2 && on.logs <= 12, "%d log lines", on.logs)
			assert.Assert(t, on.again > evenShare(2*time.Second)/2, "%d calls to a recovered endpoint", on.again)
		})
	}
}

// faultFigures are the calls during and after a fault of one endpoint.
type faultFigures struct {
	fault, after *paceResult
	noticed      int // calls to the endpoint in the last 4 s of the fault
	most         int // calls to any endpoint in a paceWindow of these
	again        int // calls to the endpoint in 2 s, from 4 s after the fault on
	logs         int // lines that an endpoint is slow or failing, or no longer
}

func measureFault(t *testing.T, fault serviceFault, enabled func(id.Host) bool) faultFigures {
	p := newPaceFleet(t, paceHosts, enabled)
	p.sendFor(paceSettleTime, paceCalls)
	p.services["v1"].serviceFault = fault
	out := faultFigures{fault: p.sendFor(2*time.Second, paceCalls)}
	var later []*paceResult
	for end := p.now.Add(paceFaultTime - 2*time.Second); p.now.Before(end); {
		later = append(later, p.sendFor(paceWindow, paceCalls))
		out.noticed += p.got["v1"]
		out.most = max(out.most, slices.Max(slices.Collect(maps.Values(p.got))))
	}
	if !enabled("") {
		p.sendFor(paceTimeout, 0)
		out.fault.add(later...)
		t.Logf("off: %s; %d calls to the endpoint in the last 4 s, at most %d to one in %s", out.fault, out.noticed, out.most, paceWindow)
		return out
	}
	p.services["v1"].serviceFault = serviceFault{slowdown: 1}
	out.after = p.sendFor(paceSettleTime, paceCalls)
	p.sendFor(2*time.Second, paceCalls)
	out.again, out.logs = p.got["v1"], p.logs
	out.fault.add(later...)
	t.Logf("on: %s; %d calls to the endpoint in the last 4 s, at most %d to one in %s", out.fault, out.noticed, out.most, paceWindow)
	t.Logf("on, after the fault: %s; %d calls to the endpoint in 2 s", out.after, out.again)
	return out
}

// The load of a small paceFleet.
const (
	fewPaceHosts = 18
	fewPaceCalls = 120.0
)

// TestPaceCollectorFault guards against hosts that learn nothing more of slow endpoints once the
// collector has ended, is frozen, has started again or is behind a cut link.
func TestPaceCollectorFault(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(p *paceFleet, collector id.Host)
		moves bool // the collector changes
	}{
		{"none", func(*paceFleet, id.Host) {}, false},
		{"ended", func(p *paceFleet, c id.Host) { p.endHost(c) }, true},
		{"frozen", func(p *paceFleet, c id.Host) { p.setFrozen(c, true) }, true},
		{"woken up", func(p *paceFleet, c id.Host) {
			p.setFrozen(c, true)
			p.sendFor(4*time.Second, fewPaceCalls)
			p.setFrozen(c, false)
		}, false},
		{"started again", func(p *paceFleet, c id.Host) {
			p.endHost(c)
			p.sendFor(200*time.Millisecond, fewPaceCalls)
			p.startHost(c, 2)
		}, false},
		{"cut link", func(p *paceFleet, _ id.Host) {
			for n, name := range p.names {
				p.halves[name] = n%2 == 0
			}
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPaceFleet(t, fewPaceHosts, paceOn)
			p.sendFor(3*time.Second, fewPaceCalls)
			before := p.collector()
			tt.fault(p, before)
			p.sendFor(4*time.Second, fewPaceCalls)
			p.collector()
			p.services["v1"].slowdown = 8
			p.sendFor(2*time.Second, fewPaceCalls)
			clear(p.summaries)
			r := p.sendFor(3*time.Second, fewPaceCalls)
			got := p.got["v1"]
			assert.Equal(t, p.collector() != before, tt.moves)
			p.sendFor(paceTimeout, 0)
			t.Logf("%s; %d calls to the slow endpoint; summaries %v", r, got, p.summaries)
			// At most half an even share, on both sides of a cut link together.
			assert.Assert(t, got < int(fewPaceCalls*3)/len(paceZones)/2, "%d calls to a slow endpoint", got)
		})
	}
}

// TestPaceOldHosts guards against the need for all hosts to have the same version: those that
// have package pace use the reports of one another, and the others choose as before.
func TestPaceOldHosts(t *testing.T) {
	p := newPaceFleet(t, fewPaceHosts, func(h id.Host) bool { return h >= "h5" })
	p.sendFor(3*time.Second, fewPaceCalls)
	p.services["v1"].failShare = 0.9
	p.sendFor(2*time.Second, fewPaceCalls)
	p.sendFor(2*time.Second, fewPaceCalls)
	assert.Assert(t, p.got["v1"] > 0)
	for name := range p.summaries {
		assert.Assert(t, name >= "h5", "%s sends summaries", name)
	}
}

// TestPaceCost guards against more than one report per host and interval, more than one summary
// per interval, and messages while the service gets no calls.
func TestPaceCost(t *testing.T) {
	p := newPaceFleet(t, fewPaceHosts, paceOn)
	p.sendFor(2*time.Second, 2000)
	clear(p.summaries)
	p.collector()
	p.services["v1"].slowdown = 5
	p.sendFor(4*time.Second, 500)
	reports := 0
	for _, n := range p.reports {
		reports += n
	}
	assert.Assert(t, reports <= 8*(fewPaceHosts-1) && reports > 7*(fewPaceHosts-1), "%d reports", reports)
	assert.Equal(t, len(p.summaries), 1, "%v", p.summaries)
	p.sendFor(8*time.Second, 0)
	clear(p.summaries)
	p.collector()
	p.sendFor(3*time.Second, 0)
	assert.Equal(t, len(p.summaries)+len(p.reports), 0)
}

// TestPaceRefusal guards against calls that wait for endpoints which answer none in time, against
// a refusal without a time for the next attempt, and against hosts that go on refusing.
func TestPaceRefusal(t *testing.T) {
	p := newPaceFleet(t, fewPaceHosts, paceOn)
	p.sendFor(2*time.Second, fewPaceCalls)
	for _, sv := range p.services {
		sv.silent = true
	}
	p.sendFor(3*time.Second, fewPaceCalls)
	clear(p.refused)
	r := p.sendFor(2*time.Second, fewPaceCalls)
	assert.Assert(t, r.part(p.refused[core.CodeServiceSlow]) > 0.7, "refused %v, %s", p.refused, r)
	for _, sv := range p.services {
		sv.silent = false
	}
	p.sendFor(4*time.Second, fewPaceCalls)
	r = p.sendFor(2*time.Second, fewPaceCalls)
	p.sendFor(paceTimeout, 0)
	assert.Assert(t, r.served() > 0.95, "%s", r)
}

// TestPaceMessages guards against summaries of hosts that do not collect, such as a former
// collector that covers its own calls only, against the collection of reports that belong to
// another host, and against the time of a pause of this host in its reports.
func TestPaceMessages(t *testing.T) {
	h := newRelayHostWith(t, func(cfg *core.Config) { cfg.Pace.Enabled = true })
	collector := id.Host("h2")
	for n := 3; member.Owner([]id.Host{"h1", "other", collector}, "pace/rack") != collector; n++ {
		collector = id.Host(fmt.Sprintf("h%d", n))
	}
	list := []object.Host{{Host: "h1", Zone: relayDomain, Address: "127.0.0.1:1"}}
	for _, name := range []id.Host{"other", collector} {
		list = append(list, object.Host{Host: name, Zone: relayDomain, Address: "127.0.0.1:2"})
	}
	h.reduce(core.HostsListed{Hosts: list})
	receive := func(from id.Host, m message.Message) []core.Effect {
		return h.reduce(core.PeerMessage{From: from, Incarnation: 1, Message: m})
	}
	receive("other", message.Heartbeat{Zone: relayDomain})
	receive(collector, message.Heartbeat{Zone: relayDomain})
	summary := message.PaceSummary{Service: "rack", Endpoints: []message.EndpointPace{{Endpoint: "s1", Share: 1, ServiceTime: 1}}}
	receive("other", summary)
	assert.Equal(t, len(core.ServicePaces(h.st, h.now)), 0)
	receive(collector, summary)
	assert.Equal(t, len(core.ServicePaces(h.st, h.now)), 1)
	calls := []message.EndpointCalls{{Endpoint: "s1", Answered: 50}}
	receive("other", message.PaceReport{Service: "rack", Endpoints: calls})
	assert.Assert(t, len(paceMessages(h.advance(1600*time.Millisecond))) == 0)
	receive(collector, message.Heartbeat{Zone: relayDomain})

	h.sendRequest("r", "unsafe")
	h.now = h.now.Add(400 * time.Millisecond)
	reports := paceMessages(h.advance(300 * time.Millisecond))
	assert.Equal(t, len(reports), 1)
	outstanding := reports[0].(message.PaceReport).Endpoints[0].Outstanding
	assert.Assert(t, outstanding < 200*time.Millisecond, "%s", outstanding)
}

// paceMessages returns the messages of package pace that a host sends.
func paceMessages(effects []core.Effect) []message.Message {
	var out []message.Message
	for _, e := range effects {
		if e, ok := e.(core.SendPeer); ok {
			switch m := e.Message.(type) {
			case message.PaceReport, message.PaceSummary:
				out = append(out, m)
			}
		}
	}
	return out
}
