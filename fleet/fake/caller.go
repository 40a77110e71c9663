package fake

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// Result is the outcome of a call from its caller's point of view.
type Result string

// Results of calls.
const (
	ResultOpen     Result = ""      // not ended yet
	ResultComplete Result = "whole" // complete reply
	ResultRefused  Result = "refused"
	ResultBroken   Result = "broken" // connection lost, or error after the first token
	ResultCanceled Result = "cancelled"
)

// Call is one request from its caller's point of view.
type Call struct {
	Request       id.Request
	Host          id.Host // entry host
	Account       id.Account
	Route         id.Route
	Prompt        int64  // tokens
	OutputLimit   int64  // output limit, tokens
	NaturalOutput int64  // tokens that the model generates without a limit
	Key           string // idempotency key
	Prefix        uint64 // ID of the shared prompt prefix; 0 means none
	SharedTokens  int64  // leading prompt tokens shared by all requests with this prefix
	Sent          time.Time
	First         time.Time // first token or service reply
	Last          time.Time // latest token
	Ended         time.Time
	MaxGap        time.Duration // longest time between two chunks
	Received      int64         // tokens
	Result        Result
	Code          string // error code of a refusal or a broken call
	NotRun        bool   // the refusal states that the request has not run
	Recorded      bool   // the reply was recorded for an earlier call with the same key
	reachedHost   bool   // the request has reached its entry host
	ended         int    // number of final replies; more than 1 violates an invariant
}

// Charge is the rate tokens charged for one admitted request, net of refunds.
type Charge struct {
	At      time.Time
	Account id.Account
	Tokens  int64
}

// Spec describes a request to send. Prompt, OutputLimit, NaturalOutput, Prefix and
// SharedTokens have the same meaning as in Call.
type Spec struct {
	Account       id.Account
	KeyID         id.KeyID
	Route         id.Route
	Prompt        int64
	OutputLimit   int64
	NaturalOutput int64
	Prefix        uint64
	SharedTokens  int64
	Key           string  // idempotency key
	Host          id.Host // entry host; if empty, the load balancer chooses one
}

// Send sends a request now. Without a host in spec, the load balancer chooses one of
// the Candidates at random. A call to a host that does not run is refused at once.
func (sim *Simulation) Send(spec Spec) *Call {
	sim.serial++
	call := &Call{
		Request: id.Request(fmt.Sprintf("r-%06d", sim.serial)), Host: spec.Host, Account: spec.Account,
		Route: spec.Route, Prompt: spec.Prompt, OutputLimit: spec.OutputLimit, NaturalOutput: spec.NaturalOutput, Key: spec.Key, Prefix: spec.Prefix, SharedTokens: spec.SharedTokens, Sent: sim.now,
	}
	if call.Host == "" {
		call.Host = sim.chooseHost()
	}
	sim.calls = append(sim.calls, call)
	sim.callsByRequest[call.Request] = call
	h := sim.hosts[call.Host]
	if h == nil || !h.alive {
		call.Result, call.Code, call.NotRun = ResultRefused, "no-connection", true
		return call
	}
	inc := h.inc
	sim.after(sim.cfg.LocalDelay, func() {
		sim.deliver(h, inc, core.RequestArrived{
			Request: call.Request, Route: spec.Route, Account: spec.Account, Key: spec.KeyID,
			PromptTokens: spec.Prompt, MaxTokens: spec.OutputLimit, Prefix: spec.Prefix,
			IdempotencyKey: spec.Key, Digest: string(spec.Route),
		})
	})
	return call
}

// Candidates returns the hosts that the load balancer chooses from: those that run
// and are not leaving.
func (sim *Simulation) Candidates() []id.Host {
	var candidates []id.Host
	for _, name := range sim.hostNames {
		if h := sim.hosts[name]; h.alive && !h.leaving {
			candidates = append(candidates, name)
		}
	}
	return candidates
}

func (sim *Simulation) chooseHost() id.Host {
	candidates := sim.Candidates()
	if len(candidates) == 0 {
		return ""
	}
	return candidates[sim.rng.IntN(len(candidates))]
}

// Cancel closes the caller's connection. It has no effect on a call that has ended.
func (sim *Simulation) Cancel(call *Call) {
	if call.Result != ResultOpen {
		return
	}
	call.Result = ResultCanceled
	call.Ended = sim.now
	h := sim.hosts[call.Host]
	inc := h.inc
	sim.after(sim.cfg.LocalDelay, func() { sim.deliver(h, inc, core.CallerGone{Request: call.Request}) })
}

// breakOpenCalls ends the open calls of a host with a lost connection.
func (sim *Simulation) breakOpenCalls(name id.Host) {
	for _, c := range sim.calls {
		if c.Host == name && c.Result == ResultOpen {
			c.Result, c.Code = ResultBroken, "connection-lost"
			c.Ended = sim.now
		}
	}
}

// handleReply records what a caller receives, and checks that it gets the reply to
// its own request, in order and exactly once.
func (sim *Simulation) handleReply(h *host, e core.Effect) {
	switch e := e.(type) {
	case core.Deliver:
		sim.handleTokens(h, e)
	case core.Finish:
		sim.ended(e.Request, func(c *Call) {
			c.Result = ResultComplete
			if c.Received != AnswerLength(c.NaturalOutput, c.OutputLimit) {
				sim.fail("request %s ended as complete with %d of %d tokens", c.Request, c.Received, AnswerLength(c.NaturalOutput, c.OutputLimit))
			}
		})
	case core.Reply:
		sim.ended(e.Request, func(c *Call) {
			c.Result = ResultComplete
			c.Recorded = e.Recorded
			c.First = sim.now
		})
	case core.Refuse:
		sim.ended(e.Request, func(c *Call) { sim.handleRefusal(c, e) })
	}
}

func (sim *Simulation) handleRefusal(c *Call, e core.Refuse) {
	c.Result, c.Code, c.NotRun = ResultRefused, e.Code, e.NotRun
	if c.Received > 0 {
		c.Result = ResultBroken
	}
	if e.NotRun && (c.Received > 0 || sim.executions(c.Request) > 0) {
		sim.fail("request %s was refused with not-run although it had run", c.Request)
	}
}

func (sim *Simulation) handleTokens(h *host, e core.Deliver) {
	c := sim.callsByRequest[e.Request]
	if c.Host != h.name {
		sim.fail("request %s received tokens from %s, which is not its entry host", c.Request, h.name)
	}
	if c.ended > 0 {
		sim.fail("request %s received tokens after its end", c.Request)
	}
	if e.Offset != c.Received {
		sim.fail("request %s received offset %d, want %d", c.Request, e.Offset, c.Received)
	}
	for i, t := range e.Tokens {
		if want := token(e.Offset + int64(i)); t != want {
			sim.fail("request %s received token %q, want %q", c.Request, t, want)
		}
	}
	c.Received += int64(len(e.Tokens))
	if c.First.IsZero() {
		c.First = sim.now
	} else if gap := sim.now.Sub(c.Last); gap > c.MaxGap {
		c.MaxGap = gap
	}
	c.Last = sim.now
}

// ended records the end of a call. It calls fn only if the call was still open, that
// is, if the caller had not disconnected before.
func (sim *Simulation) ended(req id.Request, fn func(c *Call)) {
	c := sim.callsByRequest[req]
	c.ended++
	c.Ended = sim.now
	if c.ended > 1 {
		sim.fail("request %s ended more than once", req)
	}
	if c.Result == ResultOpen {
		fn(c)
	}
}

func (sim *Simulation) recordCharge(e core.Charged) {
	sim.openCharges[e.Request] = len(sim.ledger)
	sim.ledger = append(sim.ledger, Charge{At: sim.now, Account: e.Account, Tokens: e.Tokens})
}

func (sim *Simulation) recordRefund(e core.Refunded) {
	if i, ok := sim.openCharges[e.Request]; ok {
		sim.ledger[i].Tokens -= e.Tokens
		delete(sim.openCharges, e.Request)
	}
}

// CallOf returns the call of a request, or nil if there is none.
func (sim *Simulation) CallOf(req id.Request) *Call { return sim.callsByRequest[req] }

// EndOf returns the end of a call as the time since the start of the run.
func (sim *Simulation) EndOf(req id.Request) time.Duration {
	return sim.callsByRequest[req].Ended.Sub(Start)
}

// Calls returns all calls in the order in which they were sent.
func (sim *Simulation) Calls() []*Call { return sim.calls }

// Ledger returns the charges of all admitted requests in the order of admission.
func (sim *Simulation) Ledger() []Charge { return sim.ledger }
