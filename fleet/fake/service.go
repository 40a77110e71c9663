package fake

import (
	"sort"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// serviceTime is the time that a service takes to run a call.
const serviceTime = 5 * time.Millisecond

// fakeService is a simulated service endpoint.
type fakeService struct {
	name          id.Endpoint
	zone          id.Zone
	alive         bool
	lostReplies   float64 // share of calls that run but whose reply is lost
	runsByKey     map[string]int
	runsByRequest map[id.Request]int
}

// SetLostServiceReplies sets the share of service calls that run but whose reply is
// lost.
func (sim *Simulation) SetLostServiceReplies(share float64) {
	for _, s := range sim.services {
		s.lostReplies = share
	}
}

func (sim *Simulation) callService(h *host, e core.CallService) {
	s := sim.services[e.Endpoint]
	inc := h.inc
	d, reachable := sim.delay(h.zone, s.zone)
	sim.after(d, func() {
		if !reachable || !s.alive {
			sim.failRun(h, inc, e.Request, e.Attempt, e.Endpoint, "unreachable", true, true)
			return
		}
		sim.execute(s, h, inc, e, d)
	})
}

// execute runs a service call. It counts the run under the account and idempotency
// key, or under the request ID if there is no key.
func (sim *Simulation) execute(s *fakeService, h *host, inc id.Incarnation, e core.CallService, d time.Duration) {
	call := sim.callsByRequest[e.Request]
	key := string(call.Account) + "/" + call.Key
	if call.Key == "" {
		key = string(e.Request)
	}
	s.runsByKey[key]++
	if s.runsByRequest == nil {
		s.runsByRequest = make(map[id.Request]int)
	}
	s.runsByRequest[e.Request]++
	replyLost := s.lostReplies > 0 && sim.rng.Float64() < s.lostReplies
	sim.after(serviceTime+d, func() {
		if replyLost {
			sim.deliver(h, inc, core.RunFailed{Request: e.Request, Attempt: e.Attempt, Endpoint: s.name, Code: "stream-broken"})
			return
		}
		sim.deliver(h, inc, core.ServiceDone{Request: e.Request, Attempt: e.Attempt, Status: 200, Outcome: []byte("{}")})
	})
}

// executions returns how often service endpoints have run a request.
func (sim *Simulation) executions(req id.Request) int {
	n := 0
	for _, s := range sim.services {
		n += s.runsByRequest[req]
	}
	return n
}

// RepeatedExecutions returns the calls that ran more than once: as account and
// idempotency key, or as request ID for calls without a key.
func (sim *Simulation) RepeatedExecutions() []string {
	total := make(map[string]int)
	for _, s := range sim.services {
		for k, n := range s.runsByKey {
			total[k] += n
		}
	}
	var out []string
	for k, n := range total {
		if n > 1 {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}
