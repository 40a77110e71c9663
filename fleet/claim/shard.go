package claim

import (
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

// pending is a claim that waits to be recorded.
type pending struct {
	request   id.Request
	claim     message.Claim
	requester id.Host // empty for an attempt of this host
	arrived   time.Time
	wallTime  time.Time
}

// settlement is a ClaimSettle message that waits to be recorded.
type settlement struct {
	settle  message.ClaimSettle
	arrived time.Time
}

// claimResult is the answer to one pending claim.
type claimResult struct {
	won      bool
	state    message.ClaimState
	mismatch bool
	full     bool // the shard accepts no new claims
	outcome  []byte
}

// shard is the local copy of one claim object and the claims and settlements that
// wait for it. At most one platform call is outstanding.
type shard struct {
	name        string
	loaded      bool
	version     uint64
	entries     []*entry
	confirmedAt time.Time // start of the last call that confirmed the copy

	claims      []pending
	settlements []settlement
	due         time.Time // earliest time of the next update

	reading  bool
	write    *update
	started  time.Time // start of the outstanding call
	retryAt  time.Time // no call before this time
	backoff  time.Duration
	lastUsed time.Time
}

// shardOf returns the shard of a claim and creates it if it is not in memory.
func shardOf(s *State, now time.Time, c message.Claim) *shard {
	name := Shard(s.cfg, c.Account, c.Key)
	sh, ok := s.shards[name]
	if !ok {
		sh = &shard{name: name}
		s.shards[name] = sh
	}
	sh.lastUsed = now
	return sh
}

// enqueue adds a claim to its shard. A duplicate of a queued claim replaces it.
func enqueue(s *State, now time.Time, p pending) []Action {
	sh := shardOf(s, now, p.claim)
	for i, old := range sh.claims {
		if old.claim.Nonce == p.claim.Nonce && old.requester == p.requester {
			sh.claims[i] = p
			return nil
		}
	}
	setDue(sh, now.Add(s.cfg.Flush))
	sh.claims = append(sh.claims, p)
	return startNextCall(s, now, sh)
}

// enqueueSettle adds a settlement to its shard.
func enqueueSettle(s *State, now time.Time, m message.ClaimSettle) []Action {
	sh := shardOf(s, now, m.Claim)
	for _, old := range sh.settlements {
		if old.settle.Claim.Nonce == m.Claim.Nonce {
			return nil
		}
	}
	setDue(sh, now.Add(settleFlushFactor*s.cfg.Flush))
	sh.settlements = append(sh.settlements, settlement{settle: m, arrived: now})
	return startNextCall(s, now, sh)
}

// setDue schedules the next update of a shard, or moves it to an earlier time.
func setDue(sh *shard, at time.Time) {
	idle := len(sh.claims) == 0 && len(sh.settlements) == 0
	if idle || at.Before(sh.due) {
		sh.due = at
	}
}

// setNextDue schedules the next update after one has ended. Claims that arrived in
// the meantime are written at once; settlements alone wait for other updates.
func setNextDue(s *State, now time.Time, sh *shard) {
	sh.due = now
	if len(sh.claims) == 0 && len(sh.settlements) > 0 {
		sh.due = sh.settlements[0].arrived.Add(settleFlushFactor * s.cfg.Flush)
	}
}

// dequeue removes the pending claim of an attempt of this host.
func dequeue(s *State, a *attempt) {
	sh, ok := s.shards[Shard(s.cfg, a.claim.Account, a.claim.Key)]
	if !ok {
		return
	}
	sh.claims = removeClaim(sh.claims, pending{claim: a.claim})
}

// removeClaim returns claims without the one that has the nonce and requester of p.
func removeClaim(claims []pending, p pending) []pending {
	var kept []pending
	for _, old := range claims {
		if old.claim.Nonce != p.claim.Nonce || old.requester != p.requester {
			kept = append(kept, old)
		}
	}
	return kept
}

// tickShards starts the platform calls that are due and drops expired work and
// unused shards.
func tickShards(s *State, now time.Time) []Action {
	names := make([]string, 0, len(s.shards))
	for name := range s.shards {
		names = append(names, name)
	}
	sort.Strings(names)
	var actions []Action
	for _, name := range names {
		sh := s.shards[name]
		dropExpired(s, now, sh)
		actions = append(actions, startNextCall(s, now, sh)...)
		if idle(sh) && now.Sub(sh.lastUsed) >= shardCacheTTL {
			delete(s.shards, name)
		}
	}
	return actions
}

// idle reports whether a shard has neither queued work nor an outstanding call.
func idle(sh *shard) bool {
	return len(sh.claims) == 0 && len(sh.settlements) == 0 && !sh.reading && sh.write == nil
}

// dropExpired drops claims whose requesters have given up, and settlements older
// than maxSettlementAge.
func dropExpired(s *State, now time.Time, sh *shard) {
	var claims []pending
	for _, p := range sh.claims {
		if p.requester == "" || now.Sub(p.arrived) < attemptTimeoutFactor*s.cfg.ReplyTimeout {
			claims = append(claims, p)
		}
	}
	sh.claims = claims
	var settlements []settlement
	for _, st := range sh.settlements {
		if now.Sub(st.arrived) < maxSettlementAge {
			settlements = append(settlements, st)
		}
	}
	sh.settlements = settlements
}

// startNextCall starts the next platform call of a shard, or answers claims that
// need none.
func startNextCall(s *State, now time.Time, sh *shard) []Action {
	if sh.reading || sh.write != nil || now.Before(sh.retryAt) {
		return nil
	}
	if len(sh.claims) == 0 && len(sh.settlements) == 0 {
		return nil
	}
	if !sh.loaded {
		return read(sh, now)
	}
	if now.Before(sh.due) {
		return nil
	}
	u := buildUpdate(s, now, sh)
	if u.changed {
		return write(s, now, sh, u)
	}
	if u.stale {
		return read(sh, now)
	}
	return completeUpdate(s, now, sh, u)
}

// read starts a read of the object.
func read(sh *shard, now time.Time) []Action {
	sh.reading = true
	sh.started = now
	return []Action{Read{Name: sh.name}}
}

// write starts a conditional update of the object.
func write(s *State, now time.Time, sh *shard, u *update) []Action {
	sh.write = u
	sh.started = now
	for _, d := range u.claims {
		if a, ok := s.attempts[d.pending.claim.Nonce]; ok && d.pending.requester == "" {
			a.written = true
		}
	}
	return []Action{Write{Name: sh.name, IfVersion: sh.version, Value: encode(u.entries)}}
}

// HandleRead processes the answer to a Read.
func HandleRead(s *State, now time.Time, r object.ReadResult) []Action {
	sh, ok := s.shards[r.Name]
	if !ok || !sh.reading {
		return nil
	}
	sh.reading = false
	entries, err := decode(r.Value)
	if r.Failed || err != nil {
		// An object that cannot be decoded is never overwritten.
		sh.loaded = false
		setBackoff(sh, now)
		return nil
	}
	sh.backoff = 0
	sh.loaded = true
	sh.version = r.Version
	sh.confirmedAt = sh.started
	sh.entries = entries
	sh.due = now
	return startNextCall(s, now, sh)
}

// HandleWrite processes the answer to a Write. After a conflict or a lost reply the
// object is read again, and its nonces show which claims have been recorded.
func HandleWrite(s *State, now time.Time, w object.WriteResult) []Action {
	sh, ok := s.shards[w.Name]
	if !ok || sh.write == nil {
		return nil
	}
	u := sh.write
	sh.write = nil
	switch w.Outcome {
	case object.WriteDone:
		sh.backoff = 0
		sh.version = w.Version
		sh.confirmedAt = sh.started
		sh.entries = u.entries
		actions := completeUpdate(s, now, sh, u)
		setNextDue(s, now, sh)
		return append(actions, startNextCall(s, now, sh)...)
	case object.WriteFailed:
		setBackoff(sh, now)
		return nil
	default:
		sh.loaded = false
		return startNextCall(s, now, sh)
	}
}

// setBackoff sets the exponential backoff after a failed call.
func setBackoff(sh *shard, now time.Time) {
	sh.backoff = min(max(2*sh.backoff, minBackoff), maxBackoff)
	sh.retryAt = now.Add(sh.backoff)
}
