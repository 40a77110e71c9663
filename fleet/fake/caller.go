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
	ResultWhole    Result = "whole" // complete reply
	ResultRefused  Result = "refused"
	ResultBroken   Result = "broken" // connection lost, or error after the first token
	ResultCanceled Result = "cancelled"
)

// Call is one request from its caller's point of view.
type Call struct {
	Request     id.Request
	Host        id.Host // entry host
	Account     id.Account
	Route       id.Route
	Prompt      int64  // tokens
	Limit       int64  // output limit, tokens
	Want        int64  // tokens that the model generates without a limit
	Key         string // idempotency key
	Prefix      uint64 // ID of the shared prompt prefix; 0 means none
	Shared      int64  // leading prompt tokens shared by all requests with this prefix
	Sent        time.Time
	First       time.Time // first token or service reply
	Last        time.Time // latest token
	Ended       time.Time
	MaxGap      time.Duration // longest time between two chunks
	Received    int64         // tokens
	Result      Result
	Code        string // error code of a refusal or a broken call
	NotRun      bool   // the refusal states that the request has not run
	Recorded    bool   // the reply was recorded for an earlier call with the same key
	reachedHost bool   // the request has reached its entry host
	ended       int    // number of final replies; more than 1 violates an invariant
}

// Charge is the rate tokens charged for one admitted request, net of refunds.
type Charge struct {
	At      time.Time
	Account id.Account
	Tokens  int64
}

// Spec describes a request to send. Prompt, Limit, Want, Prefix and Shared have the
// same meaning as in Call.
type Spec struct {
	Account id.Account
	KeyID   id.KeyID
	Route   id.Route
	Prompt  int64
	Limit   int64
	Want    int64
	Prefix  uint64
	Shared  int64
	Key     string  // idempotency key
	Host    id.Host // entry host; if empty, the load balancer chooses one
}

// Send sends a request now. Without a host in spec, the load balancer chooses one of
// the Candidates at random. A call to a host that does not run is refused at once.
func (w *World) Send(spec Spec) *Call {
	w.serial++
	call := &Call{
		Request: id.Request(fmt.Sprintf("r-%06d", w.serial)), Host: spec.Host, Account: spec.Account,
		Route: spec.Route, Prompt: spec.Prompt, Limit: spec.Limit, Want: spec.Want, Key: spec.Key, Prefix: spec.Prefix, Shared: spec.Shared, Sent: w.now,
	}
	if call.Host == "" {
		call.Host = w.chooseHost()
	}
	w.calls = append(w.calls, call)
	w.callsByRequest[call.Request] = call
	h := w.hosts[call.Host]
	if h == nil || !h.alive {
		call.Result, call.Code, call.NotRun = ResultRefused, "no-connection", true
		return call
	}
	inc := h.inc
	w.after(w.cfg.LocalDelay, func() {
		w.deliver(h, inc, core.RequestArrived{
			Request: call.Request, Route: spec.Route, Account: spec.Account, Key: spec.KeyID,
			PromptTokens: spec.Prompt, MaxTokens: spec.Limit, Prefix: spec.Prefix,
			IdempotencyKey: spec.Key, Digest: string(spec.Route),
		})
	})
	return call
}

// Candidates returns the hosts that the load balancer chooses from: those that run
// and are not leaving.
func (w *World) Candidates() []id.Host {
	var candidates []id.Host
	for _, name := range w.hostNames {
		if h := w.hosts[name]; h.alive && !h.leaving {
			candidates = append(candidates, name)
		}
	}
	return candidates
}

func (w *World) chooseHost() id.Host {
	candidates := w.Candidates()
	if len(candidates) == 0 {
		return ""
	}
	return candidates[w.rng.IntN(len(candidates))]
}

// Cancel closes the caller's connection. It has no effect on a call that has ended.
func (w *World) Cancel(call *Call) {
	if call.Result != ResultOpen {
		return
	}
	call.Result = ResultCanceled
	call.Ended = w.now
	h := w.hosts[call.Host]
	inc := h.inc
	w.after(w.cfg.LocalDelay, func() { w.deliver(h, inc, core.CallerGone{Request: call.Request}) })
}

// breakOpenCalls ends the open calls of a host with a lost connection.
func (w *World) breakOpenCalls(name id.Host) {
	for _, c := range w.calls {
		if c.Host == name && c.Result == ResultOpen {
			c.Result, c.Code = ResultBroken, "connection-lost"
			c.Ended = w.now
		}
	}
}

// handleReply records what a caller receives, and checks that it gets the reply to
// its own request, in order and exactly once.
func (w *World) handleReply(h *host, e core.Effect) {
	switch e := e.(type) {
	case core.Deliver:
		w.handleTokens(h, e)
	case core.Finish:
		w.ended(e.Request, func(c *Call) {
			c.Result = ResultWhole
			if c.Received != AnswerLength(c.Want, c.Limit) {
				w.fail("request %s ended as complete with %d of %d tokens", c.Request, c.Received, AnswerLength(c.Want, c.Limit))
			}
		})
	case core.Reply:
		w.ended(e.Request, func(c *Call) {
			c.Result = ResultWhole
			c.Recorded = e.Recorded
			c.First = w.now
		})
	case core.Refuse:
		w.ended(e.Request, func(c *Call) { w.handleRefusal(c, e) })
	}
}

func (w *World) handleRefusal(c *Call, e core.Refuse) {
	c.Result, c.Code, c.NotRun = ResultRefused, e.Code, e.NotRun
	if c.Received > 0 {
		c.Result = ResultBroken
	}
	if e.NotRun && (c.Received > 0 || w.executions(c.Request) > 0) {
		w.fail("request %s was refused with not-run although it had run", c.Request)
	}
}

func (w *World) handleTokens(h *host, e core.Deliver) {
	c := w.callsByRequest[e.Request]
	if c.Host != h.name {
		w.fail("request %s received tokens from %s, which is not its entry host", c.Request, h.name)
	}
	if c.ended > 0 {
		w.fail("request %s received tokens after its end", c.Request)
	}
	if e.Offset != c.Received {
		w.fail("request %s received offset %d, want %d", c.Request, e.Offset, c.Received)
	}
	for i, t := range e.Tokens {
		if want := token(e.Offset + int64(i)); t != want {
			w.fail("request %s received token %q, want %q", c.Request, t, want)
		}
	}
	c.Received += int64(len(e.Tokens))
	if c.First.IsZero() {
		c.First = w.now
	} else if gap := w.now.Sub(c.Last); gap > c.MaxGap {
		c.MaxGap = gap
	}
	c.Last = w.now
}

// ended counts the end of a call. It calls fn only if the call was still open, that
// is, if the caller had not disconnected before.
func (w *World) ended(req id.Request, fn func(c *Call)) {
	c := w.callsByRequest[req]
	c.ended++
	c.Ended = w.now
	if c.ended > 1 {
		w.fail("request %s ended more than once", req)
	}
	if c.Result == ResultOpen {
		fn(c)
	}
}

func (w *World) recordCharge(e core.Charged) {
	w.openCharges[e.Request] = len(w.ledger)
	w.ledger = append(w.ledger, Charge{At: w.now, Account: e.Account, Tokens: e.Tokens})
}

func (w *World) recordRefund(e core.Refunded) {
	if i, ok := w.openCharges[e.Request]; ok {
		w.ledger[i].Tokens -= e.Tokens
		delete(w.openCharges, e.Request)
	}
}

// CallOf returns the call of a request, or nil if there is none.
func (w *World) CallOf(req id.Request) *Call { return w.callsByRequest[req] }

// EndOf returns the end of a call as the time since the start of the run.
func (w *World) EndOf(req id.Request) time.Duration { return w.callsByRequest[req].Ended.Sub(Start) }

// Calls returns all calls in the order in which they were sent.
func (w *World) Calls() []*Call { return w.calls }

// Ledger returns the charges of all admitted requests in the order of admission.
func (w *World) Ledger() []Charge { return w.ledger }
