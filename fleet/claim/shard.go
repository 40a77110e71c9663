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
	request id.Request
	claim   message.Claim
	asker   id.Host // empty for an attempt of this host
	arrived time.Time
	wall    time.Time
}

// settlement is a settlement that waits to be recorded.
type settlement struct {
	settle  message.ClaimSettle
	arrived time.Time
}

// verdict is the answer to one pending claim.
type verdict struct {
	won      bool
	state    message.ClaimState
	mismatch bool
	full     bool // the shard takes no new claims
	outcome  []byte
}

// shard is the copy of one object and the work on it. At most one call to the
// platform is outstanding.
type shard struct {
	name      string
	loaded    bool
	version   uint64
	list      []*entry
	confirmed time.Time // start of the last call that confirmed the copy

	claims  []pending
	settles []settlement
	due     time.Time // time of the next update

	reading bool
	write   *plan
	started time.Time // start of the outstanding call
	retry   time.Time // no call before this time
	backoff time.Duration
	used    time.Time
}

// shardOf returns the shard of a claim.
func shardOf(s *State, now time.Time, c message.Claim) *shard {
	name := Shard(s.cfg, c.Account, c.Key)
	sh, ok := s.shards[name]
	if !ok {
		sh = &shard{name: name}
		s.shards[name] = sh
	}
	sh.used = now
	return sh
}

// enqueue adds a claim to its shard. A repeated message replaces the first.
func enqueue(s *State, now time.Time, p pending) []Action {
	sh := shardOf(s, now, p.claim)
	for i, old := range sh.claims {
		if old.claim.Nonce == p.claim.Nonce && old.asker == p.asker {
			sh.claims[i] = p
			return nil
		}
	}
	setDue(sh, now.Add(s.cfg.Flush))
	sh.claims = append(sh.claims, p)
	return work(s, now, sh)
}

// enqueueSettle adds a settlement to its shard.
func enqueueSettle(s *State, now time.Time, m message.ClaimSettle) []Action {
	sh := shardOf(s, now, m.Claim)
	for _, old := range sh.settles {
		if old.settle.Claim.Nonce == m.Claim.Nonce {
			return nil
		}
	}
	setDue(sh, now.Add(settleFactor*s.cfg.Flush))
	sh.settles = append(sh.settles, settlement{settle: m, arrived: now})
	return work(s, now, sh)
}

// setDue plans the next update of a shard, or moves it forward.
func setDue(sh *shard, at time.Time) {
	idle := len(sh.claims) == 0 && len(sh.settles) == 0
	if idle || at.Before(sh.due) {
		sh.due = at
	}
}

// setNextDue plans the next update after one has ended. Claims that arrived in
// the meantime are written at once, settlements wait for others.
func setNextDue(s *State, now time.Time, sh *shard) {
	sh.due = now
	if len(sh.claims) == 0 && len(sh.settles) > 0 {
		sh.due = sh.settles[0].arrived.Add(settleFactor * s.cfg.Flush)
	}
}

// dequeue removes the pending claim of an attempt of this host.
func dequeue(s *State, a *ask) {
	sh, ok := s.shards[Shard(s.cfg, a.claim.Account, a.claim.Key)]
	if !ok {
		return
	}
	sh.claims = removeClaim(sh.claims, pending{claim: a.claim})
}

// removeClaim returns the claims without that of one nonce and asker.
func removeClaim(claims []pending, p pending) []pending {
	var kept []pending
	for _, old := range claims {
		if old.claim.Nonce != p.claim.Nonce || old.asker != p.asker {
			kept = append(kept, old)
		}
	}
	return kept
}

// tickShards starts the calls that are due and drops what is too old.
func tickShards(s *State, now time.Time) []Action {
	names := make([]string, 0, len(s.shards))
	for name := range s.shards {
		names = append(names, name)
	}
	sort.Strings(names)
	var actions []Action
	for _, name := range names {
		sh := s.shards[name]
		dropOld(s, now, sh)
		actions = append(actions, work(s, now, sh)...)
		if idle(sh) && now.Sub(sh.used) >= cacheKeep {
			delete(s.shards, name)
		}
	}
	return actions
}

// idle reports whether a shard has neither work nor a call outstanding.
func idle(sh *shard) bool {
	return len(sh.claims) == 0 && len(sh.settles) == 0 && !sh.reading && sh.write == nil
}

// dropOld drops claims whose askers have given up and very old settlements.
func dropOld(s *State, now time.Time, sh *shard) {
	var claims []pending
	for _, p := range sh.claims {
		if p.asker == "" || now.Sub(p.arrived) < giveUpFactor*s.cfg.ReplyTimeout {
			claims = append(claims, p)
		}
	}
	sh.claims = claims
	var settles []settlement
	for _, st := range sh.settles {
		if now.Sub(st.arrived) < settleKeep {
			settles = append(settles, st)
		}
	}
	sh.settles = settles
}

// work starts the next call of a shard, or answers claims that need none.
func work(s *State, now time.Time, sh *shard) []Action {
	if sh.reading || sh.write != nil || now.Before(sh.retry) {
		return nil
	}
	if len(sh.claims) == 0 && len(sh.settles) == 0 {
		return nil
	}
	if !sh.loaded {
		return read(sh, now)
	}
	if now.Before(sh.due) {
		return nil
	}
	p := makePlan(s, now, sh)
	if p.changed {
		return write(s, now, sh, p)
	}
	if p.stale {
		return read(sh, now)
	}
	return conclude(s, now, sh, p)
}

// read starts a read of the object.
func read(sh *shard, now time.Time) []Action {
	sh.reading = true
	sh.started = now
	return []Action{Read{Name: sh.name}}
}

// write starts an update of the object.
func write(s *State, now time.Time, sh *shard, p *plan) []Action {
	sh.write = p
	sh.started = now
	for _, d := range p.claims {
		if a, ok := s.asks[d.pending.claim.Nonce]; ok && d.pending.asker == "" {
			a.written = true
		}
	}
	return []Action{Write{Name: sh.name, IfVersion: sh.version, Value: encode(p.list)}}
}

// HandleRead takes over the answer to a Read.
func HandleRead(s *State, now time.Time, r object.ReadResult) []Action {
	sh, ok := s.shards[r.Name]
	if !ok || !sh.reading {
		return nil
	}
	sh.reading = false
	list, err := decode(r.Value)
	if r.Failed || err != nil {
		// An object that cannot be decoded is never overwritten.
		sh.loaded = false
		delay(sh, now)
		return nil
	}
	sh.backoff = 0
	sh.loaded = true
	sh.version = r.Version
	sh.confirmed = sh.started
	sh.list = list
	sh.due = now
	return work(s, now, sh)
}

// HandleWrite takes over the answer to a Write. After a conflict or a lost reply
// the object is read back, and the nonces tell which claims have been recorded.
func HandleWrite(s *State, now time.Time, w object.WriteResult) []Action {
	sh, ok := s.shards[w.Name]
	if !ok || sh.write == nil {
		return nil
	}
	p := sh.write
	sh.write = nil
	switch w.Outcome {
	case object.WriteDone:
		sh.backoff = 0
		sh.version = w.Version
		sh.confirmed = sh.started
		sh.list = p.list
		actions := conclude(s, now, sh, p)
		setNextDue(s, now, sh)
		return append(actions, work(s, now, sh)...)
	case object.WriteFailed:
		delay(sh, now)
		return nil
	default:
		sh.loaded = false
		return work(s, now, sh)
	}
}

// delay sets the back-off after a failed call.
func delay(sh *shard, now time.Time) {
	sh.backoff = min(max(2*sh.backoff, minRetry), maxRetry)
	sh.retry = now.Add(sh.backoff)
}
