package core

import (
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Engine priorities. 0 is the highest.
const (
	priorityInteractive = 0
	priorityDeferrable  = 1
)

// codeStalled is the code of an attempt that was silent for too long.
const codeStalled = "stalled"

const defaultPrefillRate = 1000 // tokens per second, when the pool states none

func (r *request) priority() int {
	if r.route.Class == message.ClassDeferrable {
		return priorityDeferrable
	}
	return priorityInteractive
}

func (s *step) startPrefill(r *request, valid time.Duration) {
	ep, ok := s.snapshot().Endpoints[r.prefill]
	if !ok {
		s.attemptFailed(r, r.prefill, CodeNoEndpoint, true)
		return
	}
	r.stage = StagePrefill
	r.running = true
	r.progress = s.now
	r.timeout = s.prefillTimeout(r)
	r.held = s.now.Add(-s.firstHold())
	r.note(s.now, "attempt %d: prefill on %s, decode slot on %s", r.attempt, r.prefill, r.decode)
	s.send(r.host, message.SlotUpdate{Request: r.Request, Attempt: r.attempt, Phase: message.PhasePrefill})
	s.emit(Observe{Name: MetricQueueTime, Account: r.account, Value: s.now.Sub(r.arrived)})
	s.emit(StartPrefill{
		Request: r.Request, Attempt: r.attempt, Model: r.route.Model,
		Endpoint: r.prefill, Address: ep.Address, Priority: r.priority(),
		Tokens: r.readTokens(), Output: r.delivered,
		NotAfter: s.now.Add(valid), Timeout: r.timeout,
		Decode: r.decode, DecodeAddress: s.snapshot().Endpoints[r.decode].Address,
	})
}

// firstHold returns by how much the first registration of an attempt is early.
// A prefill that runs for half the life of its grant is registered then, because
// the scheduler would otherwise take the grant for unused and cancel it.
func (s *step) firstHold() time.Duration {
	return max(0, s.cfg.HoldRefresh-s.cfg.Schedule.HoldTimeout/2)
}

// prefillTimeout allows three times the expected time of the prefill, and a
// fixed time for the engine's own queue.
func (s *step) prefillTimeout(r *request) time.Duration {
	rate := s.snapshot().Pools[s.snapshot().Endpoints[r.prefill].Pool].PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	tokens := r.readTokens()
	expected := time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
	return 3*expected + s.cfg.PrefillGrace
}

func (s *step) current(req id.Request, attempt id.Attempt, stage Stage) (*request, bool) {
	r, ok := s.requests[req]
	if !ok || r.attempt != attempt || r.stage != stage {
		return nil, false
	}
	return r, true
}

func (s *step) prefillDone(ev PrefillDone) {
	r, ok := s.current(ev.Request, ev.Attempt, StagePrefill)
	if !ok {
		return
	}
	from, okFrom := s.snapshot().Endpoints[r.prefill]
	to, okTo := s.snapshot().Endpoints[r.decode]
	if !okFrom || !okTo {
		s.attemptFailed(r, r.decode, CodeNoEndpoint, false)
		return
	}
	r.stage = StageDecode
	r.runs++
	r.progress = s.now
	r.held = s.now
	r.note(s.now, "prefill done, %d tokens cached", ev.CachedTokens)
	s.send(r.host, message.SlotUpdate{Request: r.Request, Attempt: r.attempt, Phase: message.PhaseDecode})
	s.emit(StartDecode{
		Request: r.Request, Attempt: r.attempt, Model: r.route.Model,
		Endpoint: r.decode, Address: to.Address, Source: from.Address, KV: ev.KV,
		Tokens: r.readTokens(), From: r.delivered,
		MaxTokens: r.MaxTokens, Priority: r.priority(),
	})
}

// tokensArrived delivers tokens in offset order. Parts ahead of the delivered
// offset wait; repeated parts and parts of older attempts are dropped.
func (s *step) tokensArrived(ev TokensArrived) {
	r, ok := s.current(ev.Request, ev.Attempt, StageDecode)
	if !ok {
		return
	}
	r.progress = s.now
	r.resumed = false
	if ev.Offset > r.delivered {
		r.waiting[ev.Offset] = ev
		return
	}
	s.deliver(r, ev)
	for r.stage == StageDecode {
		next, ok := takeWaiting(r)
		if !ok {
			return
		}
		s.deliver(r, next)
		if _, live := s.requests[r.Request]; !live {
			return
		}
	}
}

// takeWaiting removes and returns a held-back part that reaches the delivered
// offset. The lowest offset goes first.
func takeWaiting(r *request) (TokensArrived, bool) {
	best := int64(-1)
	for off := range r.waiting {
		if off <= r.delivered && (best < 0 || off < best) {
			best = off
		}
	}
	if best < 0 {
		return TokensArrived{}, false
	}
	ev := r.waiting[best]
	delete(r.waiting, best)
	return ev, true
}

func (s *step) deliver(r *request, ev TokensArrived) {
	skip := r.delivered - ev.Offset
	if skip < int64(len(ev.Tokens)) {
		fresh := ev.Tokens[skip:]
		s.emit(Deliver{Request: r.Request, Offset: r.delivered, Tokens: fresh})
		r.delivered += int64(len(fresh))
		s.observeTokens(r, len(fresh))
	}
	if ev.End && ev.Offset+int64(len(ev.Tokens)) == r.delivered {
		s.finish(r, ev.Finish)
	}
}

func (s *step) observeTokens(r *request, n int) {
	if r.firstToken.IsZero() {
		r.firstToken = s.now
		s.emit(Observe{Name: MetricFirstToken, Account: r.account, Value: s.now.Sub(r.arrived)})
		r.note(s.now, "first token")
	} else {
		gap := s.now.Sub(r.lastToken) / time.Duration(n)
		s.emit(Observe{Name: MetricBetweenTokens, Account: r.account, Value: gap})
	}
	r.lastToken = s.now
	s.emit(Count{Name: MetricOutputTokens, Account: r.account, N: int64(n)})
}

func (s *step) finish(r *request, reason string) {
	r.note(s.now, "finished with %d tokens", r.delivered)
	s.send(r.host, message.SlotUpdate{
		Request: r.Request, Attempt: r.attempt, Phase: message.PhaseDone, Tokens: s.outputTokens(r),
	})
	s.emit(Finish{
		Request: r.Request, Finish: reason,
		PromptTokens: r.PromptTokens, OutputTokens: r.delivered,
	})
	s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
	s.close(r, "finished")
}

func (s *step) runFailed(ev RunFailed) {
	if ev.Down {
		s.endpointDown(ev.Endpoint)
	}
	r, ok := s.requests[ev.Request]
	if !ok || r.attempt != ev.Attempt {
		return
	}
	r.answered = r.answered || ev.Answered
	if r.stage == StageCall {
		s.serviceFailed(r, ev)
		return
	}
	if r.stage != StagePrefill && r.stage != StageDecode {
		return
	}
	if r.relayed {
		s.relayFailed(r, ev)
		return
	}
	if s.resume(r, ev) {
		return
	}
	s.attemptFailed(r, ev.Endpoint, ev.Code, ev.NotRun && r.stage == StagePrefill)
}

// resume continues a broken stream on the same endpoint, once between two
// tokens and only if the endpoint may still have the run.
func (s *step) resume(r *request, ev RunFailed) bool {
	if r.stage != StageDecode || r.resumed || ev.Down || ev.NotRun || ev.Code == engine.CodeNoRun {
		return false
	}
	ep, ok := s.snapshot().Endpoints[r.decode]
	if !ok {
		return false
	}
	r.resumed = true
	r.progress = s.now
	r.note(s.now, "stream broke (%s), resumed at %d", ev.Code, r.delivered)
	s.emit(Count{Name: MetricResumed, Account: r.account, N: 1})
	s.emit(ResumeDecode{
		Request: r.Request, Attempt: r.attempt, Endpoint: r.decode, Address: ep.Address, From: r.delivered,
	})
	return true
}

// attemptFailed releases the attempt and starts another one, with a prefill
// over prompt and delivered output. notRun means that the endpoint has proved
// that the attempt did not start.
func (s *step) attemptFailed(r *request, ep id.Endpoint, code string, notRun bool) {
	r.note(s.now, "attempt %d failed on %s: %s", r.attempt, ep, code)
	if notRun {
		r.running = false
	}
	if r.stage == StageDecode {
		s.emit(Count{Name: MetricWastedPrefill, Account: r.account, N: r.PromptTokens})
	}
	s.releaseAttempt(r, ep)
	s.emit(Count{Name: MetricRetried, Account: r.account, Code: code, N: 1})
	r.avoid = ep
	r.resumed = false
	if !retriesFree(code) {
		r.failures++
	}
	if r.failures > s.cfg.MaxFailures {
		s.refuse(r, CodeEndpointFailed, "endpoints failed repeatedly", time.Second)
		return
	}
	if r.delivered >= r.MaxTokens && r.MaxTokens > 0 {
		s.finishAtLimit(r)
		return
	}
	s.askSlot(r)
}

// retriesFree tells whether a failure is a missed reservation, which says
// nothing about the health of the endpoint.
func retriesFree(code string) bool {
	return code == engine.CodeFull || code == engine.CodeLeaving || code == CodeNoEndpoint
}

// finishAtLimit ends an answer whose every token was delivered before the end
// marker was lost. The output limit makes it complete.
func (s *step) finishAtLimit(r *request) {
	s.emit(Finish{
		Request: r.Request, Finish: "length",
		PromptTokens: r.PromptTokens, OutputTokens: r.delivered,
	})
	s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
	s.close(r, "finished")
}

// checkStalled ends an attempt that has been silent for too long. The shell's own
// timeout of a prefill comes first unless its event was lost.
func (s *step) checkStalled(r *request) {
	ep, bound := r.decode, s.cfg.DecodeStall
	if r.stage == StagePrefill {
		ep, bound = r.prefill, r.timeout+s.cfg.DecodeStall
	}
	if s.now.Sub(r.progress) < bound {
		return
	}
	if r.relayed {
		s.relayStalled(r, ep)
		return
	}
	s.attemptFailed(r, ep, codeStalled, false)
}
