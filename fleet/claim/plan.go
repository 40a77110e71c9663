package claim

import (
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// decision is a pending claim with its answer.
type decision struct {
	pending pending
	verdict verdict
}

// plan is the next state of a shard with all answers that it implies. The answers
// hold once the update has taken effect, or at once if nothing changes.
type plan struct {
	list    []*entry
	index   map[string]int
	bytes   int
	changed bool
	stale   bool // an answer needs a newer copy
	claims  []decision
	settles []settlement
	notRun  map[string]bool // nonces that settles end as not run
}

// makePlan applies all pending work to the copy of a shard. Settlements go first,
// so that an asker is told of its own settlement.
func makePlan(s *State, now time.Time, sh *shard) *plan {
	p := &plan{notRun: map[string]bool{}}
	p.list = unexpired(s, now, sh.list)
	p.changed = len(p.list) < len(sh.list)
	p.index = indexOf(p.list)
	p.bytes = size(p.list)
	for _, st := range sh.settles {
		if !p.settle(s, now, st) && sh.confirmed.Before(st.arrived) {
			p.stale = true
		}
		p.settles = append(p.settles, st)
		p.notRun[st.settle.Claim.Nonce] = st.settle.State == message.ClaimNotRun
	}
	for _, c := range sh.claims {
		v := p.claim(c)
		final := v.won || v.state == message.ClaimDone
		if !final && sh.confirmed.Before(c.arrived) {
			p.stale = true
		}
		p.claims = append(p.claims, decision{pending: c, verdict: v})
	}
	return p
}

// unexpired returns the entries within retention and margin.
func unexpired(s *State, now time.Time, list []*entry) []*entry {
	kept := make([]*entry, 0, len(list)+1)
	if s.wall.IsZero() {
		return append(kept, list...)
	}
	wall := s.wall.Add(now.Sub(s.wallAt))
	limit := s.cfg.Retention + s.cfg.Retention/expiryMargin
	for _, e := range list {
		if wall.Sub(e.at) <= limit {
			kept = append(kept, e)
		}
	}
	return kept
}

// entry returns the entry of a key, or nil.
func (p *plan) entry(key string) *entry {
	if i, ok := p.index[key]; ok {
		return p.list[i]
	}
	return nil
}

// put sets the entry of a key.
func (p *plan) put(e *entry) {
	p.changed = true
	if i, ok := p.index[e.key]; ok {
		p.bytes += len(e.raw) - len(p.list[i].raw)
		p.list[i] = e
		return
	}
	p.index[e.key] = len(p.list)
	p.list = append(p.list, e)
	p.bytes += len(e.raw) + 1
}

// claim applies a claim. A nonce that is recorded as claimed has won; any other
// nonce gets what is recorded, unless that did not run.
func (p *plan) claim(c pending) verdict {
	e := p.entry(entryKey(c.claim.Account, c.claim.Key))
	if e != nil {
		mine := e.nonce == c.claim.Nonce
		switch {
		case e.digest != c.claim.Digest:
			return verdict{state: e.state, mismatch: true}
		case mine && e.state == message.ClaimHeld:
			return verdict{won: true, state: message.ClaimHeld}
		case mine || e.state != message.ClaimNotRun:
			return verdict{state: e.state, outcome: e.outcome}
		case slices.Contains(e.ended, c.claim.Nonce):
			return verdict{state: e.state}
		}
	}
	if p.notRun[c.claim.Nonce] {
		// A settlement that found another nonce must still end this one.
		return verdict{state: message.ClaimNotRun}
	}
	held, err := newEntry(c.claim, message.ClaimHeld, c.wall, nil, endedOf(e))
	if err != nil || p.bytes+len(held.raw) > maxClaimBytes {
		return verdict{full: true}
	}
	p.put(held)
	return verdict{won: true, state: message.ClaimHeld}
}

// settle applies a settlement and reports whether it found its claim. A claim
// that did not run is also recorded if it is absent, which bars writes of it that
// are under way.
func (p *plan) settle(s *State, now time.Time, st settlement) bool {
	c := st.settle.Claim
	e := p.entry(entryKey(c.Account, c.Key))
	if e != nil && e.nonce == c.Nonce {
		if e.state == message.ClaimHeld {
			p.putSettled(st.settle, e.at, e.ended)
		}
		return true
	}
	if st.settle.State == message.ClaimDone && e == nil {
		p.putSettled(st.settle, p.wall(s, now), nil)
		return true
	}
	if e != nil && slices.Contains(e.ended, c.Nonce) {
		return true
	}
	barred := e != nil && (e.state != message.ClaimNotRun || e.digest != c.Digest)
	if st.settle.State == message.ClaimDone || barred {
		return false
	}
	p.putSettled(st.settle, p.wall(s, now), endedOf(e))
	return true
}

// putSettled records a settlement. The outcome is dropped if the shard is full.
func (p *plan) putSettled(m message.ClaimSettle, at time.Time, ended []string) {
	e, err := newEntry(m.Claim, m.State, at, m.Outcome, ended)
	if err == nil && p.bytes+len(e.raw) > maxShardBytes {
		e, err = newEntry(m.Claim, m.State, at, nil, ended)
	}
	if err != nil {
		return
	}
	p.put(e)
}

// wall returns the wall-clock time, or that of the newest entry if it is unknown.
func (p *plan) wall(s *State, now time.Time) time.Time {
	if !s.wall.IsZero() {
		return s.wall.Add(now.Sub(s.wallAt))
	}
	var newest time.Time
	for _, e := range p.list {
		if e.at.After(newest) {
			newest = e.at
		}
	}
	return newest
}

// conclude answers the claims of a plan that holds and drops its settlements. A
// claim that is no longer queued has ended since the plan was made.
func conclude(s *State, now time.Time, sh *shard, p *plan) []Action {
	type slot struct {
		nonce string
		asker id.Host
	}
	settled := map[string]bool{}
	for _, st := range p.settles {
		settled[st.settle.Claim.Nonce] = true
	}
	verdicts := map[slot]verdict{}
	for _, d := range p.claims {
		verdicts[slot{nonce: d.pending.claim.Nonce, asker: d.pending.asker}] = d.verdict
	}
	claims, settles := sh.claims, sh.settles
	sh.claims, sh.settles = nil, nil
	for _, st := range settles {
		if !settled[st.settle.Claim.Nonce] {
			sh.settles = append(sh.settles, st)
		}
	}
	var ended []decision
	for _, c := range claims {
		v, ok := verdicts[slot{nonce: c.claim.Nonce, asker: c.asker}]
		if !ok {
			sh.claims = append(sh.claims, c)
			continue
		}
		ended = append(ended, decision{pending: c, verdict: v})
	}
	var actions []Action
	for _, d := range ended {
		actions = append(actions, answer(s, now, d)...)
	}
	return actions
}

// answer ends an attempt of this host or replies to another host.
func answer(s *State, now time.Time, d decision) []Action {
	p, v := d.pending, d.verdict
	if p.asker != "" {
		return []Action{Send{To: p.asker, Message: message.ClaimReply{
			Request:  p.request,
			Nonce:    p.claim.Nonce,
			Won:      v.won,
			State:    v.state,
			Mismatch: v.mismatch,
			Outcome:  v.outcome,
		}}}
	}
	a, ok := s.asks[p.claim.Nonce]
	if !ok {
		return nil
	}
	if v.full {
		delete(s.asks, p.claim.Nonce)
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
