package core

import (
	"net/http"
	"sort"
	"time"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

const avoidFailed = 2 * time.Second // a failed service endpoint is passed over so long

// askClaim records the run of a non-idempotent request before its dispatch.
func (s *step) askClaim(r *request) {
	r.stage = StageClaim
	r.note(s.now, "claims its run")
	owner := s.claimOwner(r.account, r.IdempotencyKey)
	s.claimActions(claim.Claim(s.claims, s.now, r.Request, s.claimOf(r), owner, s.wall))
}

// claimOf returns the claim of a request. Request IDs are unique, so that the ID
// serves as the nonce.
func (s *step) claimOf(r *request) message.Claim {
	return message.Claim{
		Account: r.account,
		Key:     r.IdempotencyKey,
		Nonce:   string(r.Request),
		Digest:  r.Digest,
	}
}

// claimOwner returns the live host, of any zone, that groups the claims of a
// shard. Another host may still write: the conditional update decides.
func (s *step) claimOwner(account id.Account, key string) id.Host {
	return s.claimerOf(claim.Shard(s.cfg.Claim, account, key))
}

func (s *step) claimResult(res claim.Result) {
	r, ok := s.requests[res.Request]
	if !ok || r.stage != StageClaim {
		return
	}
	switch {
	case res.Won:
		r.note(s.now, "holds its claim")
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

// refuseUnknown refuses a call of which an earlier run is possible.
func (s *step) refuseUnknown(r *request, code, text string) {
	r.ran = true
	s.refuse(r, code, text, 0)
}

func (s *step) repeatOutcome(r *request, outcome []byte) {
	r.note(s.now, "repeats the recorded reply")
	s.emit(Reply{Request: r.Request, Recorded: true, Outcome: outcome})
	s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
	s.close(r, "repeated")
}

// callService dispatches a call to the endpoint with the fewest outstanding
// calls of this host, in the own zone if possible.
func (s *step) callService(r *request) {
	ep, ok := s.chooseService(r)
	if !ok {
		s.settleClaim(r, message.ClaimNotRun, nil)
		r.stage = StageCall
		s.refuse(r, CodeNoEndpoint, "no endpoint serves the route", time.Second)
		return
	}
	r.stage = StageCall
	r.attempt++
	r.running = true
	r.prefill = ""
	r.decode = ep.Name
	s.calls[ep.Name]++
	r.called = s.now
	r.note(s.now, "attempt %d: call on %s", r.attempt, ep.Name)
	s.emit(CallService{
		Request: r.Request, Attempt: r.attempt, Endpoint: ep.Name, Address: ep.Address,
		NotAfter: s.callNotAfter(r), Timeout: s.callTimeout(r), Repeat: !r.route.Idempotent,
	})
}

// callNotAfter bounds the start of a call: a process that was frozen after the
// decision must not start it long after.
func (s *step) callNotAfter(r *request) time.Time {
	bound := s.now.Add(time.Second)
	if r.notAfter.Before(bound) && r.notAfter.After(s.now) {
		return r.notAfter
	}
	return bound
}

func (s *step) chooseService(r *request) (table.Endpoint, bool) {
	var eps []table.Endpoint
	for _, ep := range s.snapshot().Endpoints {
		if ep.Pool == r.route.Pool && ep.State == table.StateActive && ep.Name != r.avoid {
			eps = append(eps, ep)
		}
	}
	if r.relayed {
		eps = s.reachable(eps)
	}
	sort.Slice(eps, func(i, j int) bool { return s.serviceBefore(r, eps[i], eps[j]) })
	if len(eps) == 0 {
		return table.Endpoint{}, false
	}
	return eps[0], true
}

func (s *step) serviceBefore(r *request, a, b table.Endpoint) bool {
	if fa, fb := s.isAvoided(a.Name), s.isAvoided(b.Name); fa != fb {
		return fb
	}
	if r.relayed {
		return s.expected(r, a) < s.expected(r, b)
	}
	if za, zb := a.Zone == s.cfg.Zone, b.Zone == s.cfg.Zone; za != zb {
		return za
	}
	if ca, cb := s.calls[a.Name], s.calls[b.Name]; ca != cb {
		return ca < cb
	}
	return a.Name < b.Name
}

func (s *step) isAvoided(ep id.Endpoint) bool {
	until, ok := s.avoid[ep]
	return ok && s.now.Before(until)
}

func (s *step) serviceDone(ev ServiceDone) {
	r, ok := s.current(ev.Request, ev.Attempt, StageCall)
	if !ok {
		return
	}
	s.endCall(r)
	s.notePace(r.decode, s.now.Sub(r.called), false, false)
	r.note(s.now, "reply %d", ev.Status)
	s.settleClaim(r, message.ClaimDone, ev.Outcome)
	if !r.gone {
		s.emit(Reply{Request: r.Request, Attempt: r.attempt})
	}
	s.emit(Observe{Name: MetricServiceTime, Account: r.account, Value: s.now.Sub(r.arrived)})
	s.emit(Count{Name: MetricFinished, Account: r.account, N: 1})
	s.close(r, "finished "+http.StatusText(ev.Status))
}

func (s *step) endCall(r *request) {
	s.calls[r.decode]--
	if s.calls[r.decode] <= 0 {
		delete(s.calls, r.decode)
	}
}

// serviceFailed repeats a call if the endpoint has proved that it did not run,
// or if the route allows repetition. Otherwise the outcome is unknown.
func (s *step) serviceFailed(r *request, ev RunFailed) {
	s.endCall(r)
	s.notePace(ev.Endpoint, s.now.Sub(r.called), true, ev.Down)
	r.note(s.now, "call failed on %s: %s (not-run %t)", ev.Endpoint, ev.Code, ev.NotRun)
	if !ev.Answered {
		s.avoid[ev.Endpoint] = s.now.Add(avoidFailed)
	}
	r.avoid = ev.Endpoint
	r.running = false
	if !ev.NotRun {
		r.ran = true
	}
	r.failures++
	if r.relayed {
		s.relayCallFailed(r, ev)
		return
	}
	mayRepeat := ev.NotRun || r.route.Idempotent
	if mayRepeat && r.failures <= s.cfg.MaxFailures && !r.gone {
		s.callService(r)
		return
	}
	if !r.ran {
		s.settleClaim(r, message.ClaimNotRun, nil)
		s.refuse(r, CodeEndpointFailed, "no endpoint took the call", time.Second)
		return
	}
	s.refuse(r, CodeOutcomeUnknown, "the endpoint did not answer; the call may have run", 0)
}

// settleClaim records the end of a claimed run. A run of unknown outcome keeps
// its claim, so that the key cannot run again.
func (s *step) settleClaim(r *request, state message.ClaimState, outcome []byte) {
	if r.relayed || r.route.Idempotent || !r.isService() || r.ran && state == message.ClaimNotRun {
		return
	}
	owner := s.claimOwner(r.account, r.IdempotencyKey)
	m := message.ClaimSettle{Claim: s.claimOf(r), State: state, Outcome: outcome}
	s.claimActions(claim.Settle(s.claims, s.now, m, owner))
}
