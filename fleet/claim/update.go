package claim

import (
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// answeredClaim is a pending claim with its answer.
type answeredClaim struct {
	pending     pending
	claimResult claimResult
}

// update is the next state of a shard together with the answers that follow from
// it. The answers are valid once the update has been written, or at once if it
// changes nothing.
type update struct {
	entries     []*entry
	index       map[string]int
	bytes       int
	changed     bool
	stale       bool // an answer depends on a newer copy of the object
	claims      []answeredClaim
	settlements []settlement
	notRun      map[string]bool // nonces that settlements of this update end as not run
}

// buildUpdate applies all pending claims and settlements to the copy of a shard.
// Settlements are applied first, so that the reply to a requester reflects its own
// settlement.
func buildUpdate(s *State, now time.Time, sh *shard) *update {
	u := &update{notRun: map[string]bool{}}
	u.entries = unexpired(s, now, sh.entries)
	u.changed = len(u.entries) < len(sh.entries)
	u.index = indexOf(u.entries)
	u.bytes = size(u.entries)
	for _, st := range sh.settlements {
		if !u.settle(s, now, st) && sh.confirmedAt.Before(st.arrived) {
			u.stale = true
		}
		u.settlements = append(u.settlements, st)
		u.notRun[st.settle.Claim.Nonce] = st.settle.State == message.ClaimNotRun
	}
	for _, c := range sh.claims {
		v := u.claim(c)
		final := v.won || v.state == message.ClaimDone
		if !final && sh.confirmedAt.Before(c.arrived) {
			u.stale = true
		}
		u.claims = append(u.claims, answeredClaim{pending: c, claimResult: v})
	}
	return u
}

// unexpired returns the entries that are younger than the retention plus its
// margin.
func unexpired(s *State, now time.Time, entries []*entry) []*entry {
	kept := make([]*entry, 0, len(entries)+1)
	if s.wallTime.IsZero() {
		return append(kept, entries...)
	}
	wallTime := s.wallTime.Add(now.Sub(s.wallTimeAt))
	limit := s.cfg.Retention + s.cfg.Retention/expiryMarginDivisor
	for _, e := range entries {
		if wallTime.Sub(e.at) <= limit {
			kept = append(kept, e)
		}
	}
	return kept
}

// entry returns the entry of a key, or nil.
func (u *update) entry(key string) *entry {
	if i, ok := u.index[key]; ok {
		return u.entries[i]
	}
	return nil
}

// put inserts or replaces the entry of a key.
func (u *update) put(e *entry) {
	u.changed = true
	if i, ok := u.index[e.key]; ok {
		u.bytes += len(e.raw) - len(u.entries[i].raw)
		u.entries[i] = e
		return
	}
	u.index[e.key] = len(u.entries)
	u.entries = append(u.entries, e)
	u.bytes += len(e.raw) + 1
}

// claim applies a claim. A nonce that is recorded as claimed has won. Any other
// nonce gets the recorded state, unless that state is not-run.
func (u *update) claim(c pending) claimResult {
	e := u.entry(entryKey(c.claim.Account, c.claim.Key))
	if e != nil {
		sameNonce := e.nonce == c.claim.Nonce
		switch {
		case e.digest != c.claim.Digest:
			return claimResult{state: e.state, mismatch: true}
		case sameNonce && e.state == message.ClaimHeld:
			return claimResult{won: true, state: message.ClaimHeld}
		case sameNonce || e.state != message.ClaimNotRun:
			return claimResult{state: e.state, outcome: e.outcome}
		case slices.Contains(e.pastNonces, c.claim.Nonce):
			return claimResult{state: e.state}
		}
	}
	if u.notRun[c.claim.Nonce] {
		// The settlement found the entry of another nonce, but it must still end
		// this one.
		return claimResult{state: message.ClaimNotRun}
	}
	held, err := newEntry(c.claim, message.ClaimHeld, c.wallTime, nil, pastNoncesAfter(e))
	if err != nil || u.bytes+len(held.raw) > maxClaimBytes {
		return claimResult{full: true}
	}
	u.put(held)
	return claimResult{won: true, state: message.ClaimHeld}
}

// settle applies a settlement and reports whether it found its claim. A claim that
// did not run is recorded even if it is absent, so that a write of it that is still
// in flight fails.
func (u *update) settle(s *State, now time.Time, st settlement) bool {
	c := st.settle.Claim
	e := u.entry(entryKey(c.Account, c.Key))
	if e != nil && e.nonce == c.Nonce {
		if e.state == message.ClaimHeld {
			u.putSettled(st.settle, e.at, e.pastNonces)
		}
		return true
	}
	if st.settle.State == message.ClaimDone && e == nil {
		u.putSettled(st.settle, u.wallTime(s, now), nil)
		return true
	}
	if e != nil && slices.Contains(e.pastNonces, c.Nonce) {
		return true
	}
	conflicts := e != nil && (e.state != message.ClaimNotRun || e.digest != c.Digest)
	if st.settle.State == message.ClaimDone || conflicts {
		return false
	}
	u.putSettled(st.settle, u.wallTime(s, now), pastNoncesAfter(e))
	return true
}

// putSettled records a settlement. It drops the outcome if the shard would become
// too large.
func (u *update) putSettled(m message.ClaimSettle, at time.Time, pastNonces []string) {
	e, err := newEntry(m.Claim, m.State, at, m.Outcome, pastNonces)
	if err == nil && u.bytes+len(e.raw) > maxShardBytes {
		e, err = newEntry(m.Claim, m.State, at, nil, pastNonces)
	}
	if err != nil {
		return
	}
	u.put(e)
}

// wallTime returns the wall-clock time. If that is unknown, it returns the time of
// the newest entry.
func (u *update) wallTime(s *State, now time.Time) time.Time {
	if !s.wallTime.IsZero() {
		return s.wallTime.Add(now.Sub(s.wallTimeAt))
	}
	var newest time.Time
	for _, e := range u.entries {
		if e.at.After(newest) {
			newest = e.at
		}
	}
	return newest
}

// completeUpdate answers the claims of an update that is now valid and removes its
// settlements. A claim that is no longer queued has ended since the update was
// built.
func completeUpdate(s *State, now time.Time, sh *shard, u *update) []Action {
	type claimID struct {
		nonce     string
		requester id.Host
	}
	settled := map[string]bool{}
	for _, st := range u.settlements {
		settled[st.settle.Claim.Nonce] = true
	}
	claimResults := map[claimID]claimResult{}
	for _, d := range u.claims {
		claimResults[claimID{nonce: d.pending.claim.Nonce, requester: d.pending.requester}] = d.claimResult
	}
	claims, settlements := sh.claims, sh.settlements
	sh.claims, sh.settlements = nil, nil
	for _, st := range settlements {
		if !settled[st.settle.Claim.Nonce] {
			sh.settlements = append(sh.settlements, st)
		}
	}
	var answered []answeredClaim
	for _, c := range claims {
		v, ok := claimResults[claimID{nonce: c.claim.Nonce, requester: c.requester}]
		if !ok {
			sh.claims = append(sh.claims, c)
			continue
		}
		answered = append(answered, answeredClaim{pending: c, claimResult: v})
	}
	var actions []Action
	for _, d := range answered {
		actions = append(actions, answer(s, now, d)...)
	}
	return actions
}

// answer ends an attempt of this host, or replies to the host that requested the
// claim.
func answer(s *State, now time.Time, d answeredClaim) []Action {
	p, v := d.pending, d.claimResult
	if p.requester != "" {
		return []Action{Send{To: p.requester, Message: message.ClaimReply{
			Request:  p.request,
			Nonce:    p.claim.Nonce,
			Won:      v.won,
			State:    v.state,
			Mismatch: v.mismatch,
			Outcome:  v.outcome,
		}}}
	}
	a, ok := s.attempts[p.claim.Nonce]
	if !ok {
		return nil
	}
	if v.full {
		delete(s.attempts, p.claim.Nonce)
		return giveUp(s, now, a)
	}
	actions := finish(s, now, a, v)
	if v.won || !a.sent {
		return actions
	}
	// The owner may still record the claim.
	lost := message.ClaimSettle{Claim: a.claim, State: message.ClaimNotRun}
	return append(actions, Settle(s, now, lost, a.owner)...)
}
