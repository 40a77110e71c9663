package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/pace"
	"ragwortshunt.example/fleet/retry"
	"ragwortshunt.example/fleet/table"
)

// In relay mode (Config.Relay) the host serves the users' platform, which has its own
// protocols, configuration format and engines:
//
//   - The table arrives as TableOpened from the adapter that watches the platform's
//     configuration. There is no manifest, and peers do not exchange tables.
//   - Each attempt of a caller has a unique ID and enters at one host, so that a
//     non-idempotent call needs no durable claim.
//   - Responses are forwarded unmodified. Offsets count the events of a stream, not
//     tokens, and an admitted request that may have run is charged in full.
//   - A prefill does not count as a run.

// CodeDeadline is the code of a request that has exceeded its deadline.
const CodeDeadline = "deadline"

const (
	// unlimitedStartTimeout is the time within which an endpoint must start work on a
	// request without a rate limit.
	unlimitedStartTimeout = time.Second
	// schedulerAckTimeout is the time within which a scheduler replies to a
	// SlotRequest or acknowledges it. Hosts with a CPU quota can be paused for up to
	// 100 ms.
	schedulerAckTimeout = 300 * time.Millisecond
	// maxRelayFailures is the number of failed attempts and rejected grants after which a
	// request is refused.
	maxRelayFailures = 4
	// maxQueueWaitPercent is the percentage of the route's FirstEventTimeout that a
	// request may spend in a queue.
	maxQueueWaitPercent = 35
)

// prefillTokens returns the number of tokens that the prefill of an attempt processes.
func (r *request) prefillTokens() int64 {
	if r.relayed {
		return r.PromptTokens
	}
	return r.PromptTokens + r.delivered
}

// outputTokens returns the number of delivered output tokens. In relay mode it
// estimates them from the number of events.
func (s *step) outputTokens(r *request) int64 {
	if !r.relayed {
		return r.delivered
	}
	pool := s.snapshot().Pools[s.snapshot().Endpoints[r.decode].Pool]
	return r.delivered * max(pool.EventTokens, 1)
}

// waitedByCaller returns how long the caller has waited: for the first event since its
// arrival, or in relay mode for the next event of a broken stream since the last one.
func (s *step) waitedByCaller(r *request) time.Duration {
	if r.relayed && r.delivered > 0 {
		return s.now.Sub(r.lastToken)
	}
	return s.now.Sub(r.arrived)
}

// maxQueueWait returns how long the caller may have waited when the request leaves the
// queue. The rest of the route's FirstEventTimeout is reserved for prefill and KV transfer,
// and for a refusal that states when to retry. A request that may have run queues as long as
// its caller waits, because a refusal could not state that it has not run, and would break
// off a stream that has begun.
func (s *step) maxQueueWait(r *request) time.Duration {
	switch {
	case !r.relayed || !r.ranEarlier:
		return r.route.FirstEventTimeout * maxQueueWaitPercent / 100
	case r.delivered == 0:
		return r.route.FirstEventTimeout
	case r.deadline.IsZero():
		return 0
	}
	return s.waitedByCaller(r) + r.deadline.Sub(s.now)
}

// earlierWait returns how long the caller had already waited when the request arrived,
// if it is a retry of a refused request. It is the difference between the route's
// timeout and the remaining timeout of the request.
func (r *request) earlierWait() time.Duration {
	if !r.relayed || r.Timeout <= 0 || r.route.Timeout <= 0 {
		return 0
	}
	return max(r.route.Timeout-r.Timeout, 0)
}

// shortestTimeout returns the shorter of two timeouts, of which 0 means none.
func shortestTimeout(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// setDeadline sets the deadline from the shorter of the caller's timeout and the
// route's timeout.
func (s *step) setDeadline(r *request) {
	if bound := shortestTimeout(r.Timeout, r.route.Timeout); bound > 0 {
		r.deadline = r.arrived.Add(bound)
	}
}

func (s *step) isUnlimited(r *request) bool {
	return r.relayed && s.snapshot().Accounts[r.account].Rate <= 0
}

func (s *step) countRequest(r *request) {
	if r.relayed {
		retry.CountRequest(s.retries, s.now, r.retryBudgetKey())
	}
}

// retryBudgetKey returns the pool or model whose retry budget applies to the request.
func (r *request) retryBudgetKey() id.Pool {
	if r.isService() {
		return r.route.Pool
	}
	return id.Pool(r.route.Model)
}

// takeRetry reports whether the request may be dispatched again, and takes the retry
// from the retry budget if so. ran means that the failed attempt may have run.
func (s *step) takeRetry(r *request, ran bool) bool {
	if ran && r.runCount >= max(r.route.Attempts, 1) {
		return false
	}
	if r.failures >= maxRelayFailures || r.callerLeft {
		return false
	}
	return retry.Allow(s.retries, s.now, r.retryBudgetKey(), s.retryHosts())
}

// retryHosts returns the number of hosts that share the retry budget.
func (s *step) retryHosts() int { return member.Count(s.member) + 1 }

// callTimeout returns the timeout of a call to a plain service, which does not exceed
// the request's deadline. A stream has none: it lasts until its deadline, which the core
// watches, or until its caller leaves.
func (s *step) callTimeout(r *request) time.Duration {
	if r.route.Streams {
		return 0
	}
	if r.deadline.IsZero() {
		return s.cfg.ServiceTimeout
	}
	return min(s.cfg.ServiceTimeout, r.deadline.Sub(s.now))
}

// cancelCall cancels the running call of a caller that has disconnected, if the route
// is idempotent or its answer is a stream, and reports whether it did.
func (s *step) cancelCall(r *request) bool {
	if !r.relayed || !r.route.Idempotent && !r.route.Streams {
		return false
	}
	s.endCall(r, pace.Abandoned)
	s.cancelRun(r.Request, r.attempt, r.decode)
	return true
}

// abandonCall cancels the running call of a request that ends without its answer. The call may
// have run.
func (s *step) abandonCall(r *request) {
	s.endCall(r, pace.Abandoned)
	s.cancelRun(r.Request, r.attempt, r.decode)
	r.ranEarlier = true
	r.dispatched = false
}

// relayCallFailed retries a call that did not run or whose route is idempotent.
// Otherwise it forwards the endpoint's reply, if there is one.
func (s *step) relayCallFailed(r *request, ev RunFailed) {
	if !ev.NotRun {
		r.runCount++
	}
	retryable := ev.NotRun || r.route.Idempotent
	if retryable {
		_, retryable = s.chooseService(r)
	}
	if retryable && !s.endsBeforeStop(r) {
		if !r.mayHaveRun() {
			s.refuseLeaving(r)
			return
		}
		retryable = false
	}
	if retryable && s.takeRetry(r, !ev.NotRun) {
		s.emit(Count{Name: MetricRetried, Account: r.account, Code: ev.Code, N: 1})
		if !s.reauthorize(r) {
			s.callService(r)
		}
		return
	}
	s.relayGiveUp(r, ev.Code)
}

// relayFailed handles a failed prefill or a stream that broke before its end marker.
func (s *step) relayFailed(r *request, ev RunFailed) {
	r.addTrace(s.now, "attempt %d failed on %s: %s (not-run %t, %d events), segments %v",
		r.attempt, ev.Endpoint, ev.Code, ev.NotRun, r.delivered-r.decodeFrom, r.Segments[max(len(r.Segments)-maxTracedSegments, 0):])
	// An attempt that has delivered events has run, whatever its endpoint states.
	ran := r.stage == StageDecode && (!ev.NotRun || r.delivered > r.decodeFrom)
	if r.stage == StageDecode && !ran {
		r.runCount--
	}
	if r.stage == StageDecode {
		s.emit(Count{Name: MetricWastedPrefill, Account: r.account, N: r.PromptTokens})
	}
	if ran {
		s.recordBrokenRun(r, ev)
		if !r.route.NoResume && r.runCount < r.route.Attempts {
			s.awaitRunEnd(r, ev.Endpoint)
		}
	}
	s.probeFailed(r, ev)
	r.dispatched = ran
	r.unreachableEndpoint = ""
	if ev.Unreachable {
		r.unreachableEndpoint = ev.Endpoint
	}
	s.releaseAttempt(r, ev.Endpoint)
	r.avoid = ev.Endpoint
	r.failures++
	if !r.mayHaveRun() && s.refuseQuarantined(r) {
		return
	}
	_, _, quarantined := s.findQuarantined(r)
	retryable := !quarantined && (!ran || !r.route.NoResume)
	if retryable && s.takeRetry(r, ran) {
		s.emit(Count{Name: MetricRetried, Account: r.account, Code: ev.Code, N: 1})
		s.requestSlotAfterRun(r)
		return
	}
	if !quarantined && s.resumeLater(r, true) {
		return
	}
	s.relayGiveUp(r, ev.Code)
}

// schedulerSilent reports whether no message has arrived from the scheduler since the
// SlotRequest, although schedulers acknowledge each SlotRequest that they queue.
// Membership detects a dead or unreachable scheduler only after 2 s, which is too late
// for most requests.
func (s *step) schedulerSilent(r *request) bool {
	if !r.relayed || r.schedulerHost == "" || r.schedulerHost == s.cfg.Host || s.waitedFor(r.lastSlotRequest) < schedulerAckTimeout {
		return false
	}
	if _, ok := s.suspectUntil[r.schedulerHost]; ok {
		return false
	}
	return !member.LastHeard(s.member, r.schedulerHost).After(r.lastSlotRequest)
}

// firstUnusable returns the first of the endpoints that is leaving, missing in this host's
// table or takes no requests of this host now, or an empty name.
func (s *step) firstUnusable(eps ...id.Endpoint) id.Endpoint {
	for _, name := range eps {
		if ep, ok := s.snapshot().Endpoints[name]; !ok || ep.State != table.StateActive || !s.takesRequests(name) {
			return name
		}
	}
	return ""
}

// rejectGrant returns a grant on an endpoint that is leaving or missing in this host's
// table, and requests slots again. A scheduler that has lost contact with the platform
// may grant such an endpoint, because its table is stale.
func (s *step) rejectGrant(r *request, from id.Host, m message.SlotGrant, ep id.Endpoint) {
	r.addTrace(s.now, "attempt %d: %s granted %s, which is leaving", r.attempt, from, ep)
	s.send(from, message.SlotUpdate{
		Request: m.Request, Attempt: m.Attempt, Phase: message.PhaseCancelled, Failed: ep,
	})
	r.avoid = ep
	r.failures++
	if r.failures >= maxRelayFailures {
		if s.resumeLater(r, false) {
			return
		}
		s.refuse(r, CodeNoEndpoint, "the scheduler knows no usable endpoint", time.Second)
		return
	}
	s.requestSlot(r)
}

// relayStalled ends a stalled prefill, or a stalled stream that can be resumed on another
// endpoint. Silence alone is no failure: a sound endpoint may pause and continue, and the
// connections of an endpoint that is gone break. All other streams wait until the endpoint
// continues, the caller leaves or the deadline has passed.
func (s *step) relayStalled(r *request, ep id.Endpoint) {
	if r.stage == StageDecode && !s.isResumableElsewhere(r, ep) {
		return
	}
	s.cancelRun(r.Request, r.attempt, ep)
	s.relayFailed(r, RunFailed{Request: r.Request, Attempt: r.attempt, Endpoint: ep, Code: codeStalled})
}

// forwardReply ends a request with the reply of the endpoint that failed it, and reports whether
// there is one. None can follow the events of a stream.
func (s *step) forwardReply(r *request) bool {
	if !r.relayed || r.replyAttempt == 0 || r.delivered > 0 {
		return false
	}
	if !r.callerLeft {
		s.emit(Reply{Request: r.Request, Attempt: r.replyAttempt})
	}
	s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
	s.close(r, "failed by the endpoint")
	return true
}

// relayGiveUp ends a request that is not retried.
func (s *step) relayGiveUp(r *request, code string) {
	if r.mayHaveRun() {
		s.refuse(r, CodeOutcomeUnknown, "the endpoint did not answer ("+code+"); the request may have run", 0)
		return
	}
	s.refuse(r, CodeEndpointFailed, "no endpoint took the request ("+code+")", time.Second)
}

// expireRequest ends a request whose deadline has passed and reports whether it did.
func (s *step) expireRequest(r *request) bool {
	if r.deadline.IsZero() || s.now.Before(r.deadline) {
		return false
	}
	if r.stage == StageCall {
		s.abandonCall(r)
	}
	s.refuse(r, CodeDeadline, "the time of the request has passed", 0)
	return true
}
