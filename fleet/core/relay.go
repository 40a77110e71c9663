package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/retry"
	"ragwortshunt.example/fleet/table"
)

// With Config.Relay the host serves a platform that has a protocol, a
// configuration and engines of its own:
//
//   - The table comes as TableOpened from the shell that watches the platform's
//     configuration. There is no manifest, and peers exchange no tables.
//   - Each attempt of a caller has an ID of its own and enters at one host, so that
//     a non-idempotent call needs no durable claim.
//   - Answers are passed on as the endpoint made them. Offsets count the events of
//     a stream, not tokens, and an admitted request is charged in full.
//   - A prefill does not count as a run.

// CodeDeadline is the code of a request whose caller waits no longer.
const CodeDeadline = "deadline"

const (
	// unlimitedValid is the time in which the work on a request without a rate
	// limit must begin.
	unlimitedValid = time.Second
	// schedulerAnswer is the time in which a scheduler answers or acknowledges an ask.
	// Hosts whose processor time is rationed stand still for up to 100 ms.
	schedulerAnswer = 300 * time.Millisecond
	// leavingRetry is told to callers of a host that is leaving: other hosts are ready.
	leavingRetry = 20 * time.Millisecond
	// relayTries bounds the endpoints that may turn one request down before it is
	// refused.
	relayTries = 4
	// queuePercent is the part of a caller's patience that a request may spend in a
	// queue.
	queuePercent = 35
)

// readTokens returns the tokens that a prefill of the next attempt reads.
func (r *request) readTokens() int64 {
	if r.relayed {
		return r.PromptTokens
	}
	return r.PromptTokens + r.delivered
}

// outputTokens returns the output tokens that have been delivered.
func (s *step) outputTokens(r *request) int64 {
	if !r.relayed {
		return r.delivered
	}
	pool := s.snapshot().Pools[s.snapshot().Endpoints[r.decode].Pool]
	return r.delivered * max(pool.EventTokens, 1)
}

// waited returns how long the caller has been without what it waits for: the first
// event, or the next one of a stream that has broken.
func (s *step) waited(r *request) time.Duration {
	if r.relayed && r.delivered > 0 {
		return s.now.Sub(r.lastToken)
	}
	return s.now.Sub(r.arrived)
}

// patience returns how long the request may queue. The rest of the time in which
// the caller waits for the first event is for prefill and transfer, and for the
// answer that tells the caller when to come back.
func (r *request) patience() time.Duration {
	return r.route.Patience * queuePercent / 100
}

// earlier returns the time that the caller had already waited when the request
// came, if it was refused before and has come back.
func (r *request) earlier() time.Duration {
	if !r.relayed || r.Timeout <= 0 || r.route.Timeout <= 0 {
		return 0
	}
	return max(r.route.Timeout-r.Timeout, 0)
}

// servesLeaving tells whether a host that is leaving still takes the request. Callers
// go on using their open connections, and a call of a plain service ends long before
// the shutdown does. A generation might not.
func (s *step) servesLeaving(r *request) bool {
	if !r.relayed || s.snapshot() == nil {
		return false
	}
	route, ok := s.snapshot().Routes[r.Route]
	return ok && route.Model == ""
}

// setDeadline bounds the request by the caller's time and by its route's.
func (s *step) setDeadline(r *request) {
	bound := r.Timeout
	if t := r.route.Timeout; t > 0 && (bound <= 0 || t < bound) {
		bound = t
	}
	if bound > 0 {
		r.deadline = r.arrived.Add(bound)
	}
}

func (s *step) isUnlimited(r *request) bool {
	return r.relayed && s.snapshot().Accounts[r.account].Rate <= 0
}

func (s *step) countRequest(r *request) {
	if r.relayed {
		retry.Request(s.retries, s.now, r.service())
	}
}

// service returns the pool or model by which repeats are counted.
func (r *request) service() id.Pool {
	if r.isService() {
		return r.route.Pool
	}
	return id.Pool(r.route.Model)
}

// mayRepeat tells whether the request may be dispatched once more, and counts
// the repeat if so. ran means that the failed attempt may have run.
func (s *step) mayRepeat(r *request, ran bool) bool {
	if ran && r.runs >= max(r.route.Attempts, 1) {
		return false
	}
	if r.failures >= relayTries || r.gone {
		return false
	}
	hosts := member.Count(s.member) + 1
	return retry.Take(s.retries, s.now, r.service(), hosts)
}

// callTimeout bounds a call of a plain service by the request's deadline.
func (s *step) callTimeout(r *request) time.Duration {
	if r.deadline.IsZero() {
		return s.cfg.ServiceTimeout
	}
	return min(s.cfg.ServiceTimeout, r.deadline.Sub(s.now))
}

// cancelCall ends the running call of a caller that has gone, if the call may be
// broken off, and tells whether it did.
func (s *step) cancelCall(r *request) bool {
	if !r.relayed || !r.route.Idempotent {
		return false
	}
	s.endCall(r)
	s.cancelRun(r.Request, r.attempt, r.decode)
	return true
}

// relayCallFailed repeats a call that did not run, or that may run again.
// Otherwise it passes on the reply of the endpoint, if there is one.
func (s *step) relayCallFailed(r *request, ev RunFailed) {
	if !ev.NotRun {
		r.runs++
	}
	again := ev.NotRun || r.route.Idempotent
	if again {
		_, again = s.chooseService(r)
	}
	if again && s.mayRepeat(r, !ev.NotRun) {
		s.emit(Count{Name: MetricRetried, Account: r.account, Code: ev.Code, N: 1})
		s.callService(r)
		return
	}
	s.relayGiveUp(r, ev.Code)
}

// relayFailed handles the end of a prefill or of a stream without its end.
func (s *step) relayFailed(r *request, ev RunFailed) {
	r.note(s.now, "attempt %d failed on %s: %s (not-run %t)", r.attempt, ev.Endpoint, ev.Code, ev.NotRun)
	ran := r.stage == StageDecode && !ev.NotRun
	if r.stage == StageDecode {
		s.emit(Count{Name: MetricWastedPrefill, Account: r.account, N: r.PromptTokens})
	}
	r.running = ran
	r.down = ""
	if ev.Down {
		r.down = ev.Endpoint
	}
	s.releaseAttempt(r, ev.Endpoint)
	r.avoid = ev.Endpoint
	r.failures++
	again := !ran || !r.route.Once
	if again && s.mayRepeat(r, ran) {
		s.emit(Count{Name: MetricRetried, Account: r.account, Code: ev.Code, N: 1})
		s.askSlot(r)
		return
	}
	s.relayGiveUp(r, ev.Code)
}

// isSilent tells whether the scheduler has given no sign of life since the ask,
// although it acknowledges each ask that it queues. Membership notices a dead or cut
// scheduler only after 2 s, when most of the requests are late.
func (s *step) isSilent(r *request) bool {
	if !r.relayed || r.host == "" || r.host == s.cfg.Host || s.now.Sub(r.asked) < schedulerAnswer {
		return false
	}
	if _, ok := s.suspects[r.host]; ok {
		return false
	}
	return !member.HeardAt(s.member, r.host).After(r.asked)
}

// unusable returns the first endpoint that this host knows to be leaving or gone.
func (s *step) unusable(eps ...id.Endpoint) id.Endpoint {
	for _, name := range eps {
		if ep, ok := s.snapshot().Endpoints[name]; !ok || ep.State != table.StateActive {
			return name
		}
	}
	return ""
}

// rejectGrant gives back a grant on an endpoint that is leaving. A scheduler that
// has lost contact with the platform does not know it.
func (s *step) rejectGrant(r *request, from id.Host, m message.SlotGrant, ep id.Endpoint) {
	r.note(s.now, "attempt %d: %s granted %s, which is leaving", r.attempt, from, ep)
	s.send(from, message.SlotUpdate{
		Request: m.Request, Attempt: m.Attempt, Phase: message.PhaseCancelled, Failed: ep,
	})
	r.avoid = ep
	r.failures++
	if r.failures >= relayTries {
		s.refuse(r, CodeNoEndpoint, "the scheduler knows no usable endpoint", time.Second)
		return
	}
	s.askSlot(r)
}

// relayStalled ends a silent prefill, and a silent stream that may go on elsewhere.
// A stream that must not be repeated is waited for until the caller's deadline.
func (s *step) relayStalled(r *request, ep id.Endpoint) {
	if r.stage == StageDecode && r.route.Once {
		return
	}
	s.cancelRun(r.Request, r.attempt, ep)
	s.relayFailed(r, RunFailed{Request: r.Request, Attempt: r.attempt, Endpoint: ep, Code: codeStalled})
}

// relayGiveUp ends a request after its last failure.
func (s *step) relayGiveUp(r *request, code string) {
	if r.answered && r.delivered == 0 {
		if !r.gone {
			s.emit(Reply{Request: r.Request, Attempt: r.attempt})
		}
		s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
		s.close(r, "failed by the endpoint")
		return
	}
	if r.mayHaveRun() {
		s.refuse(r, CodeOutcomeUnknown, "the endpoint did not answer ("+code+"); the request may have run", 0)
		return
	}
	s.refuse(r, CodeEndpointFailed, "no endpoint took the request ("+code+")", time.Second)
}

// pastDeadline ends a request that its caller no longer waits for.
func (s *step) pastDeadline(r *request) bool {
	if r.deadline.IsZero() || s.now.Before(r.deadline) {
		return false
	}
	if r.stage == StageCall {
		s.endCall(r)
		s.cancelRun(r.Request, r.attempt, r.decode)
		r.ran = true
		r.running = false
	}
	s.refuse(r, CodeDeadline, "the time of the request has passed", 0)
	return true
}

// relayRevoked refuses a request whose key has been withdrawn before the request
// was dispatched. Its route may meanwhile lead elsewhere, which does not concern a
// request that has been accepted.
func (s *step) relayRevoked(r *request) (code, text string) {
	if r.route.Open || r.running || r.ran {
		return "", ""
	}
	key, ok := s.snapshot().Keys[r.Key]
	if !ok || key.State != table.StateActive || key.Account != r.account {
		return CodeKeyWithdrawn, "the key has been withdrawn"
	}
	return "", ""
}
