package core

import (
	"net/http"
	"sort"
	"time"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/pace"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/fleet/throttle"
)

const avoidFailedFor = 2 * time.Second // how long a failed service endpoint is avoided

// requestClaim requests a durable claim for a non-idempotent call before its dispatch.
func (s *step) requestClaim(r *request) {
	r.stage = StageClaim
	r.addTrace(s.now, "claims its run")
	owner := s.claimOwner(r.account, r.IdempotencyKey)
	s.claimActions(claim.Claim(s.claims, s.now, r.Request, s.claimOf(r), owner, s.wall))
}

// claimOf returns the claim of a request. The request ID serves as the nonce, because
// it is unique.
func (s *step) claimOf(r *request) message.Claim {
	return message.Claim{
		Account: r.account,
		Key:     r.IdempotencyKey,
		Nonce:   string(r.Request),
		Digest:  r.Digest,
	}
}

// claimOwner returns the live host, of any zone, that batches the claim updates of a
// shard. Another host may write concurrently; the conditional update resolves the
// conflict.
func (s *step) claimOwner(account id.Account, key string) id.Host {
	return s.claimShardOwner(claim.Shard(s.cfg.Claim, account, key))
}

func (s *step) claimResult(res claim.Result) {
	r, ok := s.requests[res.Request]
	if !ok || r.stage != StageClaim {
		return
	}
	switch {
	case res.Won:
		r.addTrace(s.now, "holds its claim")
		s.callService(r)
	case res.Unavailable:
		s.refuse(r, CodeNoClaim, "the claim of this call cannot be recorded now", time.Second)
	case res.Mismatch:
		s.refuse(r, CodeKeyMismatch, "the idempotency key was used for another request", 0)
	case res.Expired:
		s.refuseUnknown(r, CodeKeyExpired, "the idempotency key is older than the retention time")
	case res.State == message.ClaimDone && len(res.Outcome) > 0:
		s.repeatOutcome(r, res.Outcome)
	default:
		s.refuseUnknown(r, CodeOutcomeUnknown, "an earlier call with this key has run or may have run")
	}
}

// refuseUnknown refuses a call that an earlier request may have run.
func (s *step) refuseUnknown(r *request, code, text string) {
	r.ranEarlier = true
	s.refuse(r, code, text, 0)
}

func (s *step) repeatOutcome(r *request, outcome []byte) {
	r.addTrace(s.now, "repeats the recorded reply")
	s.emit(Reply{Request: r.Request, Recorded: true, Outcome: outcome})
	s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
	s.close(r, "repeated")
}

// callService dispatches a call to the preferred endpoint; see serviceBefore. If there
// is none, it refuses the request.
func (s *step) callService(r *request) {
	if !s.endsBeforeStop(r) {
		r.stage = StageCall
		s.refuseLeaving(r)
		return
	}
	if s.refuseSlowService(r) {
		return
	}
	ep, ok := s.chooseService(r)
	if !ok {
		s.settleClaim(r, message.ClaimNotRun, nil)
		r.stage = StageCall
		s.refuseUnplacedCall(r)
		return
	}
	throttle.Take(s.throttle, ep.Name)
	r.stage = StageCall
	r.attempt++
	r.dispatched = true
	r.prefill = ""
	r.decode = ep.Name
	s.outstandingCalls[ep.Name]++
	if !r.route.Streams {
		pace.Started(s.pace, s.now, r.route.Pool, ep.Name)
	}
	r.callStarted = s.now
	r.addTrace(s.now, "attempt %d: call on %s", r.attempt, ep.Name)
	s.emit(CallService{
		Request: r.Request, Attempt: r.attempt, Account: r.namedAccount(), Endpoint: ep.Name, Address: ep.Address,
		NotAfter: s.callNotAfter(r), Timeout: s.callTimeout(r), Stream: r.route.Streams, Repeat: !r.route.Idempotent,
	})
}

// callNotAfter returns the latest start of a call. It prevents a process that was
// frozen after the decision from starting the call when it resumes.
func (s *step) callNotAfter(r *request) time.Time {
	bound := s.now.Add(time.Second)
	if r.notAfter.Before(bound) && r.notAfter.After(s.now) {
		return r.notAfter
	}
	return bound
}

// refuseUnplacedCall refuses a call that no endpoint takes now.
func (s *step) refuseUnplacedCall(r *request) {
	if pause, ok := s.shortestPause(r); ok {
		s.refuse(r, CodeLimited, "the endpoints take no requests of this host now", min(pause, limitedRetryAfter))
		return
	}
	if next, limited := s.nextCallAfter(s.callableEndpoints(r)); limited {
		s.refuse(r, CodeLimited, "the endpoints take no more requests now", next)
		return
	}
	s.refuse(r, CodeNoEndpoint, "no endpoint serves the route", time.Second)
}

// callableEndpoints returns the endpoints that the call may be sent to, apart from their
// limits.
func (s *step) callableEndpoints(r *request) []table.Endpoint {
	var eps []table.Endpoint
	for _, ep := range s.snapshot().Endpoints {
		if ep.Pool == r.route.Pool && ep.State == table.StateActive && ep.Name != r.avoid && s.takesRequests(ep.Name) {
			eps = append(eps, ep)
		}
	}
	if r.relayed {
		eps = s.reachable(eps)
	}
	return eps
}

func (s *step) chooseService(r *request) (table.Endpoint, bool) {
	eps := s.withoutReturning(r, s.withinLimits(s.callableEndpoints(r)))
	paced := s.isPaced(r, eps)
	sort.Slice(eps, func(i, j int) bool { return s.serviceBefore(r, eps[i], eps[j], paced) })
	if len(eps) == 0 {
		return table.Endpoint{}, false
	}
	if paced && len(eps) > 1 && s.isFaster(r, eps[1], eps[0]) {
		return eps[1], true
	}
	return eps[0], true
}

// serviceBefore reports whether a is preferred to b. Endpoints that failed lately come
// last. In relay mode the shortest expected latency wins, or the lowest score of package pace;
// otherwise, and between equal latencies, this host's zone, then the fewest outstanding calls of
// this host, then the name.
func (s *step) serviceBefore(r *request, a, b table.Endpoint, paced bool) bool {
	if fa, fb := s.isAvoided(a.Name), s.isAvoided(b.Name); fa != fb {
		return fb
	}
	if paced {
		return s.paceScore(r, a) < s.paceScore(r, b)
	}
	if r.relayed {
		if la, lb := s.expectedLatency(r, a), s.expectedLatency(r, b); la != lb {
			return la < lb
		}
	}
	if za, zb := a.Zone == s.cfg.Zone, b.Zone == s.cfg.Zone; za != zb {
		return za
	}
	if ca, cb := s.outstandingCalls[a.Name], s.outstandingCalls[b.Name]; ca != cb {
		return ca < cb
	}
	return a.Name < b.Name
}

func (s *step) isAvoided(ep id.Endpoint) bool {
	until, ok := s.avoid[ep]
	return ok && s.now.Before(until)
}

func (s *step) serviceDone(ev ServiceDone) {
	r, ok := s.currentAttempt(ev.Request, ev.Attempt, StageCall)
	if !ok {
		return
	}
	s.callAnswered(r)
	r.addTrace(s.now, "reply %d", ev.Status)
	s.settleClaim(r, message.ClaimDone, ev.Outcome)
	if !r.callerLeft {
		s.emit(Reply{Request: r.Request, Attempt: r.attempt})
	}
	s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
	s.close(r, "finished "+http.StatusText(ev.Status))
}

// callAnswered records the end of a call whose answer is complete.
func (s *step) callAnswered(r *request) {
	s.endCall(r, pace.Answered)
	s.recordCall(r.decode, s.callLatency(r), false, false)
	s.recordDuration(r.route, s.now.Sub(r.callStarted))
	s.emit(Observe{Name: MetricServiceTime, Account: r.account, Value: s.now.Sub(r.arrived)})
}

func (s *step) endCall(r *request, outcome pace.Outcome) {
	s.recordPace(r, outcome)
	s.outstandingCalls[r.decode]--
	if s.outstandingCalls[r.decode] <= 0 {
		delete(s.outstandingCalls, r.decode)
	}
}

// serviceFailed retries a call if it is known not to have run or if the route is
// idempotent. Otherwise it refuses the request; the outcome is unknown if an attempt
// may have run.
func (s *step) serviceFailed(r *request, ev RunFailed) {
	if r.delivered > 0 {
		ev.NotRun = false // a stream that has begun has run, whatever its endpoint states
	}
	if ev.Code == codeStreamGap {
		s.cancelRun(r.Request, r.attempt, r.decode) // the endpoint works on
	}
	s.endCall(r, s.paceOutcome(r, ev))
	s.recordCall(ev.Endpoint, s.callLatency(r), true, ev.Unreachable)
	r.addTrace(s.now, "call failed on %s: %s (not-run %t)", ev.Endpoint, ev.Code, ev.NotRun)
	if !ev.HasReply {
		s.avoid[ev.Endpoint] = s.now.Add(avoidFailedFor)
	}
	r.avoid = ev.Endpoint
	r.dispatched = false
	if !ev.NotRun {
		r.ranEarlier = true
	}
	r.failures++
	if r.relayed {
		s.relayCallFailed(r, ev)
		return
	}
	retryable := ev.NotRun || r.route.Idempotent
	if retryable && r.failures <= s.cfg.MaxFailures && !r.callerLeft {
		s.callService(r)
		return
	}
	if !r.ranEarlier {
		s.settleClaim(r, message.ClaimNotRun, nil)
		s.refuse(r, CodeEndpointFailed, "no endpoint took the call", time.Second)
		return
	}
	s.refuse(r, CodeOutcomeUnknown, "the endpoint did not answer; the call may have run", 0)
}

// settleClaim records the end of a claimed run. A run of unknown outcome keeps its
// claim, so that no other call can run under the same idempotency key.
func (s *step) settleClaim(r *request, state message.ClaimState, outcome []byte) {
	if r.relayed || r.route.Idempotent || !r.isService() || r.ranEarlier && state == message.ClaimNotRun {
		return
	}
	owner := s.claimOwner(r.account, r.IdempotencyKey)
	m := message.ClaimSettle{Claim: s.claimOf(r), State: state, Outcome: outcome}
	s.claimActions(claim.Settle(s.claims, s.now, m, owner))
}
