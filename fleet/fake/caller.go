package fake

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// Result tells how a call ended at its caller.
type Result string

// The results of calls.
const (
	ResultOpen     Result = ""
	ResultWhole    Result = "whole"
	ResultRefused  Result = "refused"
	ResultBroken   Result = "broken" // connection lost, or an error in the stream
	ResultCanceled Result = "cancelled"
)

// Call is one request as its caller sees it.
type Call struct {
	Request  id.Request
	Host     id.Host
	Account  id.Account
	Route    id.Route
	Prompt   int64 // tokens
	Limit    int64 // output limit, tokens
	Want     int64 // tokens that the model would generate
	Key      string
	Prefix   uint64 // 0 is none
	Shared   int64  // leading prompt tokens that requests of one prefix share
	Sent     time.Time
	First    time.Time
	Last     time.Time
	Ended    time.Time
	MaxGap   time.Duration
	Received int64
	Result   Result
	Code     string
	NotRun   bool
	Recorded bool // the reply was the recorded one of an earlier call
	arrived  bool // reached its entry host
	ended    int  // how often an end was seen
}

// Charge is one admission, net of its refund.
type Charge struct {
	At      time.Time
	Account id.Account
	Tokens  int64
}

// Spec describes a request to send.
type Spec struct {
	Account id.Account
	KeyID   id.KeyID
	Route   id.Route
	Prompt  int64
	Limit   int64
	Want    int64
	Prefix  uint64
	Shared  int64   // leading prompt tokens that requests of one prefix share
	Key     string  // idempotency key
	Host    id.Host // empty lets the balancer choose
}

// Send sends a request now. The balancer spreads requests over the hosts that
// run and are not known to be leaving.
func (w *World) Send(spec Spec) *Call {
	w.serial++
	call := &Call{
		Request: id.Request(fmt.Sprintf("r-%06d", w.serial)), Host: spec.Host, Account: spec.Account,
		Route: spec.Route, Prompt: spec.Prompt, Limit: spec.Limit, Want: spec.Want, Key: spec.Key, Prefix: spec.Prefix, Shared: spec.Shared, Sent: w.now,
	}
	if call.Host == "" {
		call.Host = w.balance()
	}
	w.calls = append(w.calls, call)
	w.callers[call.Request] = call
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

// Candidates returns the hosts that the balancer chooses from.
func (w *World) Candidates() []id.Host {
	var up []id.Host
	for _, name := range w.order {
		if h := w.hosts[name]; h.alive && !h.leaving {
			up = append(up, name)
		}
	}
	return up
}

func (w *World) balance() id.Host {
	up := w.Candidates()
	if len(up) == 0 {
		return ""
	}
	return up[w.rng.IntN(len(up))]
}

// Cancel closes the caller's connection.
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

func (w *World) breakCalls(name id.Host) {
	for _, c := range w.calls {
		if c.Host == name && c.Result == ResultOpen {
			c.Result, c.Code = ResultBroken, "connection-lost"
			c.Ended = w.now
		}
	}
}

// answer checks what a caller receives: its own answer, in order and once.
func (w *World) answer(h *host, e core.Effect) {
	switch e := e.(type) {
	case core.Deliver:
		w.delivered(h, e)
	case core.Finish:
		w.ended(e.Request, func(c *Call) {
			c.Result = ResultWhole
			if c.Received != AnswerLength(c.Want, c.Limit) {
				w.fail("request %s ended as complete with %d tokens of %d", c.Request, c.Received, AnswerLength(c.Want, c.Limit))
			}
		})
	case core.Reply:
		w.ended(e.Request, func(c *Call) {
			c.Result = ResultWhole
			c.Recorded = e.Recorded
			c.First = w.now
		})
	case core.Refuse:
		w.ended(e.Request, func(c *Call) { w.refused(c, e) })
	}
}

func (w *World) refused(c *Call, e core.Refuse) {
	c.Result, c.Code, c.NotRun = ResultRefused, e.Code, e.NotRun
	if c.Received > 0 {
		c.Result = ResultBroken
	}
	if e.NotRun && (c.Received > 0 || w.executions(c.Request) > 0) {
		w.fail("request %s was refused as not run after it ran", c.Request)
	}
}

func (w *World) delivered(h *host, e core.Deliver) {
	c := w.callers[e.Request]
	if c.Host != h.name {
		w.fail("request %s was answered by %s", c.Request, h.name)
	}
	if c.ended > 0 {
		w.fail("request %s got tokens after its end", c.Request)
	}
	if e.Offset != c.Received {
		w.fail("request %s got offset %d after %d tokens", c.Request, e.Offset, c.Received)
	}
	for i, t := range e.Tokens {
		if want := token(e.Offset + int64(i)); t != want {
			w.fail("request %s got %q in place of %q", c.Request, t, want)
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

func (w *World) ended(req id.Request, fn func(c *Call)) {
	c := w.callers[req]
	c.ended++
	c.Ended = w.now
	if c.ended > 1 {
		w.fail("request %s was answered twice", req)
	}
	if c.Result == ResultOpen {
		fn(c)
	}
}

func (w *World) charged(e core.Charged) {
	w.open[e.Request] = len(w.ledger)
	w.ledger = append(w.ledger, Charge{At: w.now, Account: e.Account, Tokens: e.Tokens})
}

func (w *World) refunded(e core.Refunded) {
	if i, ok := w.open[e.Request]; ok {
		w.ledger[i].Tokens -= e.Tokens
		delete(w.open, e.Request)
	}
}

// CallOf returns the call of a request.
func (w *World) CallOf(req id.Request) *Call { return w.callers[req] }

// EndOf returns when a call ended, since the start of the run.
func (w *World) EndOf(req id.Request) time.Duration { return w.callers[req].Ended.Sub(Start) }

// Calls returns all calls in the order in which they were sent.
func (w *World) Calls() []*Call { return w.calls }

// Ledger returns all admissions, net of refunds.
func (w *World) Ledger() []Charge { return w.ledger }
