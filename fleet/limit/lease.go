package limit

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
)

const (
	// handoverDelay is how long another host must be preferred before the
	// holder hands a group over.
	handoverDelay = 2 * time.Second
	// handoverGrace is the time that a live holder is expected to need after
	// handoverDelay to release a group.
	handoverGrace = time.Second
	// retryBase is the initial backoff after a failed call. The backoff doubles up to a
	// quarter of the pooled lease, or stays at retryBase if that is longer.
	retryBase = 100 * time.Millisecond
	// retryDoublings is the maximum number of doublings of a backoff or reread delay.
	retryDoublings = 10
)

// pendingWrite is a write that is in flight or has an unknown outcome.
type pendingWrite struct {
	sentAt  time.Time
	nonce   uint64
	value   leaseValue
	acquire [partCount]bool
	release bool
}

// Drain starts releasing all groups. The host acquires no more groups.
func Drain(s *State, now time.Time) []Action {
	s.draining = true
	return s.stepGroups(now)
}

// Drained reports whether a draining host has no groups left, because it released
// them or their leases expired.
func Drained(s *State) bool {
	for _, g := range s.groups {
		if g.holdsAny() || g.write != nil {
			return false
		}
	}
	return s.draining
}

// HandleRead processes the result of a ReadLease.
func HandleRead(s *State, now time.Time, r object.ReadResult) []Action {
	g := s.groupNamed(r.Name)
	if g == nil || !g.reading {
		return nil
	}
	g.reading = false
	if r.Failed || r.Version < g.version {
		g.backoff(s.cfg, now)
		return nil
	}
	g.failures = 0
	g.verify = false
	s.readValue(g, now, r)
	return s.step(g, now)
}

// HandleWrite processes the result of a WriteLease. A conflict also causes a read of
// the object: the layers below may have retried the call, so the write may have
// succeeded.
func HandleWrite(s *State, now time.Time, w object.WriteResult) []Action {
	g := s.groupNamed(w.Name)
	if g == nil || g.write == nil || g.verify {
		return nil
	}
	switch w.Outcome {
	case object.WriteDone:
		s.confirm(g, now, w.Version)
	case object.WriteConflict:
		g.verify = true
	case object.WriteFailed:
		g.write = nil
		g.backoff(s.cfg, now)
	default:
		g.verify = true
		g.backoff(s.cfg, now)
	}
	return s.step(g, now)
}

func (s *State) groupNamed(name string) *group {
	for _, g := range s.groups {
		if g.name == name {
			return g
		}
	}
	return nil
}

// stepGroups returns the calls that are due in all groups.
func (s *State) stepGroups(now time.Time) []Action {
	var actions []Action
	for _, g := range s.groups {
		actions = append(actions, s.step(g, now)...)
	}
	return actions
}

func (s *State) step(g *group, now time.Time) []Action {
	if s.draining {
		g.dropExpired(now)
	}
	if g.reading || (g.write != nil && !g.verify) || now.Before(g.notBefore) {
		return nil
	}
	if g.verify || !g.known && g.holdsAny() {
		return g.read()
	}
	if g.holdsAny() {
		return s.stepHolder(g, now)
	}
	return s.stepCandidate(g, now)
}

// stepHolder renews the group, acquires parts that have become free, or hands over
// the group.
func (s *State) stepHolder(g *group, now time.Time) []Action {
	if g.frozen {
		return s.sendWrite(g, now, true)
	}
	if s.shouldHandOver(g, now) {
		if g.handoverSince.IsZero() {
			g.handoverSince = now
		}
		if now.Before(g.handoverSince.Add(s.cfg.transferHold())) {
			return nil
		}
		g.frozen = true
		return s.sendWrite(g, now, true)
	}
	g.handoverSince = time.Time{}
	if now.Before(g.renewAt) && !s.canAcquireAny(g, now) {
		return nil
	}
	return s.sendWrite(g, now, false)
}

// stepCandidate reads the group once this host is its preferred holder, and acquires
// the parts that are free.
func (s *State) stepCandidate(g *group, now time.Time) []Action {
	if !s.isCandidate(g, now) {
		return nil
	}
	if !g.known {
		return g.read()
	}
	if s.canAcquireAny(g, now) {
		return s.sendWrite(g, now, false)
	}
	if !g.rereadAt.IsZero() && !now.Before(g.rereadAt) {
		return g.read()
	}
	return nil
}

func (s *State) isCandidate(g *group, now time.Time) bool {
	return !s.draining && len(s.budgets) > 0 &&
		g.preferred == s.cfg.Host && !now.Before(g.preferredSince.Add(s.cfg.SettleDelay))
}

func (s *State) shouldHandOver(g *group, now time.Time) bool {
	if s.draining {
		return true
	}
	return g.preferred != "" && g.preferred != s.cfg.Host && !now.Before(g.preferredSince.Add(handoverDelay))
}

func (s *State) canAcquireAny(g *group, now time.Time) bool {
	for k := range g.parts {
		if s.canAcquire(g, partKind(k), now) {
			return true
		}
	}
	return false
}

func (s *State) canAcquire(g *group, k partKind, now time.Time) bool {
	p := &g.parts[k]
	return s.isCandidate(g, now) && g.known && !p.owned && p.hasRecord && !now.Before(p.freeAt)
}

// sendWrite renews the owned parts and acquires free ones, or releases the owned parts.
func (s *State) sendWrite(g *group, now time.Time, release bool) []Action {
	s.lastNonce++
	w := &pendingWrite{sentAt: now, nonce: s.lastNonce, release: release}
	w.value = leaseValue{Writer: s.cfg.Host, Incarnation: s.cfg.Incarnation, Nonce: w.nonce, Era: s.era}
	for k := range g.parts {
		kind := partKind(k)
		w.acquire[k] = !release && s.canAcquire(g, kind, now)
		*w.value.part(kind) = s.partToWrite(g, kind, now, w)
	}
	g.write = w
	return []Action{WriteLease{Group: g.name, IfVersion: g.version, Value: encodeValue(w.value)}}
}

func (s *State) partToWrite(g *group, k partKind, now time.Time, w *pendingWrite) partValue {
	p := &g.parts[k]
	switch {
	case p.owned && w.release:
		return partValue{Released: true, Levels: p.levels(now)}
	case w.acquire[k]:
		s.lastTerm++
		return s.ownedPart(k, s.lastTerm)
	case p.owned:
		return s.ownedPart(k, p.term)
	}
	out := p.record
	if !out.Released {
		out.WaitNS = int64(max(p.freeAt.Sub(now)-s.cfg.Margin, 0))
	}
	return out
}

func (s *State) ownedPart(k partKind, term uint64) partValue {
	return partValue{
		Holder:      s.cfg.Host,
		Incarnation: s.cfg.Incarnation,
		Term:        term,
		WaitNS:      int64(s.cfg.lease(k)),
	}
}

// confirm applies the pending write, which succeeded and created version.
func (s *State) confirm(g *group, now time.Time, version uint64) {
	w := g.write
	g.write = nil
	g.verify = false
	g.failures = 0
	g.known = true
	g.version = version
	g.outdated = false
	g.renewAt = w.sentAt.Add(s.cfg.PooledLease / 2)
	for k := range g.parts {
		kind := partKind(k)
		p := &g.parts[k]
		switch {
		case p.owned && w.release:
			p.disown()
			p.setRecord(*w.value.part(kind), now)
		case p.owned:
			p.expiry = w.sentAt.Add(s.cfg.lease(kind) - s.cfg.Margin)
		case w.acquire[k]:
			p.start(s.cfg, now, kind, s.shares[g.index], w.value.part(kind).Term)
			p.expiry = w.sentAt.Add(s.cfg.lease(kind) - s.cfg.Margin)
		}
	}
	g.endHandoverIfEmpty()
}

// readValue applies the result of a read. A known version changes nothing, so that the
// wait for another host's lease is not restarted.
func (s *State) readValue(g *group, now time.Time, r object.ReadResult) {
	v, err := s.valueOf(g, r)
	if w := g.write; w != nil {
		if err == nil && v.Writer == s.cfg.Host && v.Incarnation == s.cfg.Incarnation && v.Nonce == w.nonce {
			s.confirm(g, now, r.Version)
			return
		}
		g.write = nil
	}
	if !g.known || r.Version != g.version {
		g.known = true
		g.version = r.Version
		g.outdated = s.isOutdated(v)
		for k := range g.parts {
			kind := partKind(k)
			if g.outdated {
				s.applyOutdated(g, kind, *v.part(kind), now)
				continue
			}
			s.applyPart(&g.parts[k], *v.part(kind), now)
		}
		if r.Version == 0 && !g.outdated {
			g.markStartFull()
		}
	}
	g.endHandoverIfEmpty()
	s.scheduleReread(g, now)
}

// valueOf decodes the value of a read. An undecodable value is treated as held by an
// unknown host for a full reserve lease.
func (s *State) valueOf(g *group, r object.ReadResult) (leaseValue, error) {
	v, err := decodeValue(r.Value)
	if r.Version == 0 && g.version == 0 {
		unheld := partValue{Released: true}
		return leaseValue{Pooled: unheld, Reserve: unheld}, err
	}
	if err != nil {
		wait := int64(s.cfg.ReserveLease)
		return leaseValue{Pooled: partValue{WaitNS: wait}, Reserve: partValue{WaitNS: wait}}, err
	}
	return v, nil
}

// applyPart applies one part of a newer version. No host uses a part that names this
// process as its holder for a term that never started here, or, with Config.Reclaim, an
// earlier process of this host. This host may acquire such a part at once. Its buckets
// start empty, or with Tolerance.restartTokens if the holder was an earlier process.
func (s *State) applyPart(p *part, v partValue, now time.Time) {
	thisHost := !v.Released && v.Holder == s.cfg.Host && (v.Incarnation == s.cfg.Incarnation || s.cfg.Reclaim)
	if thisHost && p.owned && p.term == v.Term && v.Incarnation == s.cfg.Incarnation {
		return
	}
	p.disown()
	freeAt := now.Add(v.wait() + s.cfg.Margin)
	if thisHost || v.Released {
		freeAt = now
	}
	p.setRecord(v, freeAt)
}

// scheduleReread schedules another read while a live host holds a part, to notice its
// release before the lease would expire, and while the store may have lost the last holder,
// which writes its lease again.
func (s *State) scheduleReread(g *group, now time.Time) {
	g.rereadAt = time.Time{}
	for k := range g.parts {
		p := &g.parts[k]
		if p.hasRecord && now.Before(p.freeAt) && (g.outdated || s.isLive(p.record.Holder)) {
			g.rereadAt = now.Add((handoverDelay + handoverGrace) << min(g.rereads, retryDoublings))
		}
	}
	g.rereads++
}

func (s *State) isLive(h id.Host) bool {
	for _, l := range s.live[s.cfg.Zone] {
		if l == h {
			return true
		}
	}
	return false
}

func (c Config) lease(k partKind) time.Duration {
	if k == pooled {
		return c.PooledLease
	}
	return c.ReserveLease
}

// transferHold is how long the sender of a transfer counts it against its burst. It is
// longer than any requester waits, so the transfer has been spent or returned by then.
func (c Config) transferHold() time.Duration {
	return c.TokenRequestTimeout + c.TokenRequestTimeout/8
}
