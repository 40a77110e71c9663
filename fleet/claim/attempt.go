package claim

import (
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// attempt is one call of Claim that has no result yet.
type attempt struct {
	request  id.Request
	claim    message.Claim
	owner    id.Host
	wallTime time.Time
	started  time.Time
	fallback bool // this host writes the claim itself
	sent     bool // sent to the owner, which may record it or have recorded it
	written  bool // included in a write of this host, which may take effect or have taken effect
}

// forwarded is a settlement that this host has sent to the owner of the shard to be
// recorded.
type forwarded struct {
	settle   message.ClaimSettle
	deadline time.Time
}

// revoked is a claim that this host will not dispatch, or that is known not to have
// run.
type revoked struct {
	claim message.Claim
	since time.Time
}

// tickAttempts ends attempts that took too long and falls back to a local write for
// those that the owner has not answered.
func tickAttempts(s *State, now time.Time) []Action {
	var actions []Action
	nonces := make([]string, 0, len(s.attempts))
	for nonce := range s.attempts {
		nonces = append(nonces, nonce)
	}
	sort.Strings(nonces)
	for _, nonce := range nonces {
		a, ok := s.attempts[nonce]
		if !ok {
			continue // ended as a side effect of handling another attempt
		}
		waited := now.Sub(a.started)
		switch {
		case waited >= attemptTimeoutFactor*s.cfg.ReplyTimeout:
			delete(s.attempts, nonce)
			dequeue(s, a)
			actions = append(actions, giveUp(s, now, a)...)
		case waited >= s.cfg.ReplyTimeout && !a.fallback:
			actions = append(actions, enqueueFallback(s, now, a)...)
		}
	}
	return actions
}

// tickForwarded records settlements locally that the owner has not confirmed in
// time.
func tickForwarded(s *State, now time.Time) []Action {
	var actions []Action
	nonces := make([]string, 0, len(s.forwarded))
	for nonce, st := range s.forwarded {
		if !now.Before(st.deadline) {
			nonces = append(nonces, nonce)
		}
	}
	sort.Strings(nonces)
	for _, nonce := range nonces {
		m := s.forwarded[nonce].settle
		delete(s.forwarded, nonce)
		actions = append(actions, enqueueSettle(s, now, m)...)
	}
	return actions
}

// enqueueFallback makes this host write the claim itself.
func enqueueFallback(s *State, now time.Time, a *attempt) []Action {
	if a.fallback {
		return nil
	}
	a.fallback = true
	return enqueue(s, now, pending{request: a.request, claim: a.claim, arrived: now, wallTime: a.wallTime})
}

// giveUp ends an attempt as unavailable. If its claim may be or become recorded, it
// is settled as not run.
func giveUp(s *State, now time.Time, a *attempt) []Action {
	s.revoked[a.claim.Nonce] = revoked{claim: a.claim, since: now}
	actions := []Action{Result{Request: a.request, Unavailable: true}}
	if !a.sent && !a.written {
		return actions
	}
	m := message.ClaimSettle{Claim: a.claim, State: message.ClaimNotRun}
	if a.written {
		// This host's own write may still be in flight when the owner reads the
		// shard.
		return append(actions, enqueueSettle(s, now, m)...)
	}
	return append(actions, Settle(s, now, m, a.owner)...)
}

// finish ends an attempt with the recorded state. A nonce that has not won is
// revoked: if a delayed message claims the key for it later, this host receives the
// reply and settles the nonce as not run.
func finish(s *State, now time.Time, a *attempt, v claimResult) []Action {
	delete(s.attempts, a.claim.Nonce)
	dequeue(s, a)
	if !v.won {
		s.revoked[a.claim.Nonce] = revoked{claim: a.claim, since: now}
	}
	return []Action{Result{
		Request:  a.request,
		Won:      v.won,
		State:    v.state,
		Mismatch: v.mismatch,
		Outcome:  v.outcome,
	}}
}
