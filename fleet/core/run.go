package core

import (
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Request priorities as engines know them. 0 is the highest.
const (
	priorityInteractive = 0
	priorityDeferrable  = 1
)

// codeStalled is the code of an attempt that made no progress within its time limit.
const codeStalled = "stalled"

// codeStreamGap is the code of an attempt whose engine has left out a chunk of its stream.
const codeStreamGap = "stream-gap"

// Limits of the chunks of one request that wait for earlier ones, in bytes.
const (
	maxOutOfOrderBytes = 64 << 10
	chunkOverhead      = 256 // of a chunk in the buffer
	tokenOverhead      = 16  // of a token beside its text
)

const defaultPrefillRate = 1000 // tokens per second, if the pool does not specify a rate

func (r *request) priority() int {
	if r.route.Class == message.ClassDeferrable {
		return priorityDeferrable
	}
	return priorityInteractive
}

func (s *step) startPrefill(r *request, validFor time.Duration) {
	ep, ok := s.snapshot().Endpoints[r.prefill]
	if !ok {
		s.attemptFailed(r, r.prefill, CodeNoEndpoint, true)
		return
	}
	if !s.sendProbe(r) {
		return
	}
	r.stage = StagePrefill
	r.dispatched = true
	r.lastProgress = s.now
	r.timeout = s.prefillTimeout(r)
	r.decodeUnusableSince = time.Time{}
	r.lastRegistered = s.now.Add(-s.firstHoldAdvance())
	r.addTrace(s.now, "attempt %d: prefill on %s, decode slot on %s", r.attempt, r.prefill, r.decode)
	s.send(r.schedulerHost, message.SlotUpdate{Request: r.Request, Attempt: r.attempt, Phase: message.PhasePrefill})
	s.emit(Observe{Name: MetricQueueTime, Account: r.account, Value: s.now.Sub(r.arrived)})
	s.emit(StartPrefill{
		Request: r.Request, Attempt: r.attempt, Account: r.namedAccount(), Model: r.route.Model,
		Endpoint: r.prefill, Address: ep.Address, Priority: r.priority(), Level: r.level,
		Tokens: r.prefillTokens(), Output: r.delivered,
		NotAfter: s.now.Add(validFor), Timeout: r.timeout,
		Decode: r.decode, DecodeAddress: s.snapshot().Endpoints[r.decode].Address,
	})
}

// firstHoldAdvance returns how much earlier than HoldRefreshInterval the first
// registration of an attempt is sent. A prefill is registered after half of the grant's
// lifetime, because the scheduler would otherwise consider the grant unused and cancel
// it.
func (s *step) firstHoldAdvance() time.Duration {
	return max(0, s.cfg.HoldRefreshInterval-s.cfg.Schedule.GrantTimeout/2)
}

// prefillTimeout returns three times the expected duration of the prefill, plus a
// fixed time for the engine's internal queue.
func (s *step) prefillTimeout(r *request) time.Duration {
	rate := s.snapshot().Pools[s.snapshot().Endpoints[r.prefill].Pool].PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	tokens := r.prefillTokens()
	expected := time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
	return 3*expected + s.cfg.PrefillGrace
}

// currentAttempt returns the request if attempt is its current attempt and the request
// is in the given stage. Callers use it to drop late events of earlier attempts and
// stages.
func (s *step) currentAttempt(req id.Request, attempt id.Attempt, stage Stage) (*request, bool) {
	r, ok := s.requests[req]
	if !ok || r.attempt != attempt || r.stage != stage {
		return nil, false
	}
	return r, true
}

func (s *step) prefillDone(ev PrefillDone) {
	r, ok := s.currentAttempt(ev.Request, ev.Attempt, StagePrefill)
	if !ok {
		return
	}
	from, okFrom := s.snapshot().Endpoints[r.prefill]
	to, okTo := s.snapshot().Endpoints[r.decode]
	if !okFrom {
		s.attemptFailed(r, r.decode, CodeNoEndpoint, false)
		return
	}
	if !okTo || s.decodeIsLate(r) {
		s.leaveDecode(r, from, ev.KV)
		return
	}
	r.stage = StageDecode
	r.runCount++
	r.lastProgress = s.now
	r.lastRegistered = s.now
	r.addTrace(s.now, "prefill done, %d tokens cached", ev.CachedTokens)
	s.send(r.schedulerHost, message.SlotUpdate{Request: r.Request, Attempt: r.attempt, Phase: message.PhaseDecode})
	s.emit(StartDecode{
		Request: r.Request, Attempt: r.attempt, Account: r.namedAccount(), Model: r.route.Model,
		Endpoint: r.decode, Address: to.Address, Source: from.Address, KV: ev.KV,
		Tokens: r.prefillTokens(), From: r.delivered,
		MaxTokens: r.MaxTokens, Priority: r.priority(), Level: r.level,
	})
}

// tokensArrived delivers tokens in the order of their offsets. Chunks beyond the
// delivered offset are buffered; duplicates and chunks of earlier attempts are dropped.
func (s *step) tokensArrived(ev TokensArrived) {
	r, ok := s.currentStream(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	s.recordProgress(r)
	s.checkProbe(r)
	r.resumed = false
	if ev.Offset > r.delivered {
		s.buffer(r, ev)
		return
	}
	s.deliver(r, ev)
	for r.isStreaming() {
		next, ok := takeOutOfOrder(r)
		if !ok {
			return
		}
		s.deliver(r, next)
		if _, live := s.requests[r.Request]; !live {
			return
		}
	}
}

// buffer keeps a chunk until those before it have arrived. The attempt fails if its engine leaves
// out a chunk and sends too much after it.
func (s *step) buffer(r *request, ev TokensArrived) {
	if old, ok := r.outOfOrder[ev.Offset]; ok {
		r.outOfOrderBytes -= chunkBytes(old)
	}
	r.outOfOrderBytes += chunkBytes(ev)
	r.outOfOrder[ev.Offset] = ev
	if r.outOfOrderBytes > maxOutOfOrderBytes {
		s.runFailed(RunFailed{Request: r.Request, Attempt: r.attempt, Endpoint: r.decode, Code: codeStreamGap, Alive: true})
	}
}

// chunkBytes returns the memory of a buffered chunk.
func chunkBytes(ev TokensArrived) int {
	n := chunkOverhead
	for _, token := range ev.Tokens {
		n += len(token) + tokenOverhead
	}
	return n
}

// takeOutOfOrder removes and returns the buffered chunk with the lowest offset, if it
// is not beyond the delivered offset.
func takeOutOfOrder(r *request) (TokensArrived, bool) {
	lowest := int64(-1)
	for off := range r.outOfOrder {
		if off <= r.delivered && (lowest < 0 || off < lowest) {
			lowest = off
		}
	}
	if lowest < 0 {
		return TokensArrived{}, false
	}
	ev := r.outOfOrder[lowest]
	delete(r.outOfOrder, lowest)
	r.outOfOrderBytes -= chunkBytes(ev)
	return ev, true
}

func (s *step) deliver(r *request, ev TokensArrived) {
	skip := r.delivered - ev.Offset
	if skip < int64(len(ev.Tokens)) {
		s.recordEventGap(r)
		newTokens := ev.Tokens[skip:]
		s.recordEnginePace(r, len(newTokens))
		s.emit(Deliver{Request: r.Request, Attempt: r.attempt, Offset: r.delivered, Tokens: newTokens})
		r.delivered += int64(len(newTokens))
		s.observeTokens(r, len(newTokens))
	}
	if ev.End && ev.Offset+int64(len(ev.Tokens)) == r.delivered {
		s.finish(r, ev.Finish)
	}
}

func (s *step) observeTokens(r *request, n int) {
	if r.firstToken.IsZero() {
		r.firstToken = s.now
		s.emit(Observe{Name: MetricFirstToken, Account: r.account, Value: s.now.Sub(r.arrived)})
		r.addTrace(s.now, "first token")
	} else {
		gap := s.now.Sub(r.lastToken) / time.Duration(n)
		s.emit(Observe{Name: MetricBetweenTokens, Account: r.account, Value: gap})
	}
	r.lastToken = s.now
	s.emit(Count{Name: MetricOutputTokens, Account: r.account, N: int64(n)})
}

func (s *step) finish(r *request, reason string) {
	r.addTrace(s.now, "finished with %d tokens", r.delivered)
	if r.isService() {
		s.callAnswered(r)
	} else {
		s.endDecode(r)
	}
	s.emit(Finish{
		Request: r.Request, Finish: reason,
		PromptTokens: r.PromptTokens, OutputTokens: r.delivered,
	})
	s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
	s.close(r, "finished")
}

// endDecode records the end of a decode whose stream is complete, and frees its reservation.
func (s *step) endDecode(r *request) {
	s.send(r.schedulerHost, message.SlotUpdate{
		Request: r.Request, Attempt: r.attempt, Phase: message.PhaseDone, Tokens: s.outputTokens(r),
	})
	if r.delivered > r.decodeFrom {
		s.recordAnswer(r, r.decode)
	}
	s.recordDuration(r.route, s.now.Sub(r.arrived))
}

func (s *step) runFailed(ev RunFailed) {
	if ev.Unreachable {
		s.endpointDown(ev.Endpoint)
	}
	r, ok := s.requests[ev.Request]
	if !ok || r.attempt != ev.Attempt {
		return
	}
	if ev.HasReply {
		r.replyAttempt = ev.Attempt
	}
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

// resume continues a broken stream on the same endpoint and reports whether it did. It
// does so at most once until the next token arrives, and only if the endpoint may
// still have the run.
func (s *step) resume(r *request, ev RunFailed) bool {
	if r.stage != StageDecode || r.resumed || ev.Unreachable || ev.NotRun {
		return false
	}
	if ev.Code == engine.CodeNoRun || ev.Code == codeStreamGap {
		return false
	}
	ep, ok := s.snapshot().Endpoints[r.decode]
	if !ok {
		return false
	}
	r.resumed = true
	r.lastProgress = s.now
	r.addTrace(s.now, "stream broke (%s), resumed at %d", ev.Code, r.delivered)
	s.emit(Count{Name: MetricResumed, Account: r.account, N: 1})
	s.emit(ResumeDecode{
		Request: r.Request, Attempt: r.attempt, Endpoint: r.decode, Address: ep.Address, From: r.delivered,
	})
	return true
}

// attemptFailed releases the attempt and starts another one, with a prefill of the
// prompt and the delivered output. notRun means that the attempt is known not to have
// started on the endpoint.
func (s *step) attemptFailed(r *request, ep id.Endpoint, code string, notRun bool) {
	r.addTrace(s.now, "attempt %d failed on %s: %s", r.attempt, ep, code)
	if notRun {
		r.dispatched = false
	}
	if r.stage == StageDecode {
		s.emit(Count{Name: MetricWastedPrefill, Account: r.account, N: r.PromptTokens})
	}
	s.releaseAttempt(r, ep)
	s.emit(Count{Name: MetricRetried, Account: r.account, Code: code, N: 1})
	r.avoid = ep
	r.resumed = false
	if !isMissedReservation(code) {
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
	s.requestSlot(r)
}

// isMissedReservation reports whether an attempt failed because its reservation was no
// longer valid. Such a failure does not indicate a problem of the endpoint and does
// not count towards Config.MaxFailures.
func isMissedReservation(code string) bool {
	return code == engine.CodeFull || code == engine.CodeLeaving || code == CodeNoEndpoint
}

// finishAtLimit ends a response that reached its output limit, but whose end marker
// was lost. It is complete, because no token can follow.
func (s *step) finishAtLimit(r *request) {
	s.emit(Finish{
		Request: r.Request, Finish: "length",
		PromptTokens: r.PromptTokens, OutputTokens: r.delivered,
	})
	s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
	s.close(r, "finished")
}

// checkStalled ends an attempt that has made no progress for too long. The adapter's
// timeout of a prefill fires first, unless its event was lost.
func (s *step) checkStalled(r *request) {
	ep, bound := r.decode, s.cfg.DecodeStall
	if r.stage == StagePrefill {
		ep, bound = r.prefill, r.timeout+s.cfg.DecodeStall
	}
	if s.now.Sub(r.lastProgress) < bound {
		return
	}
	if r.relayed {
		s.relayStalled(r, ep)
		return
	}
	s.attemptFailed(r, ep, codeStalled, false)
}
