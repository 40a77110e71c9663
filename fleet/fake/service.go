package fake

import (
	"sort"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// serviceTime is the time that a plain service takes for a call.
const serviceTime = 5 * time.Millisecond

// serviceFake is one plain service.
type serviceFake struct {
	name      id.Endpoint
	zone      id.Zone
	alive     bool
	LoseReply float64 // share of calls that run but are not answered
	ran       map[string]int
	requests  map[id.Request]int
}

// SetLostServiceReplies sets the share of service calls that run but are not
// answered.
func (w *World) SetLostServiceReplies(share float64) {
	for _, s := range w.service {
		s.LoseReply = share
	}
}

func (w *World) callService(h *host, e core.CallService) {
	s := w.service[e.Endpoint]
	inc := h.inc
	d, reachable := w.delay(h.zone, s.zone)
	w.after(d, func() {
		if !reachable || !s.alive {
			w.failRun(h, inc, e.Request, e.Attempt, e.Endpoint, "unreachable", true, true)
			return
		}
		w.execute(s, h, inc, e, d)
	})
}

func (w *World) execute(s *serviceFake, h *host, inc id.Incarnation, e core.CallService, d time.Duration) {
	call := w.callers[e.Request]
	key := string(call.Account) + "/" + call.Key
	if call.Key == "" {
		key = string(e.Request)
	}
	s.ran[key]++
	if s.requests == nil {
		s.requests = make(map[id.Request]int)
	}
	s.requests[e.Request]++
	lost := s.LoseReply > 0 && w.rng.Float64() < s.LoseReply
	w.after(serviceTime+d, func() {
		if lost {
			w.deliver(h, inc, core.RunFailed{Request: e.Request, Attempt: e.Attempt, Endpoint: s.name, Code: "stream-broken"})
			return
		}
		w.deliver(h, inc, core.ServiceDone{Request: e.Request, Attempt: e.Attempt, Status: 200, Outcome: []byte("{}")})
	})
}

// executions returns how often any endpoint ran a service request.
func (w *World) executions(req id.Request) int {
	n := 0
	for _, s := range w.service {
		n += s.requests[req]
	}
	return n
}

// Repeated returns the idempotency keys that ran more than once.
func (w *World) Repeated() []string {
	total := make(map[string]int)
	for _, s := range w.service {
		for k, n := range s.ran {
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
