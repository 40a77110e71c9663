package limit

import "time"

// restoredReclaimDelay is how long a part that a copy of the store shows as held by an
// earlier process of this host is not reclaimed. Another host may have taken it over in the
// time that the store has lost; it writes its lease again within about a second of the
// store's return.
const restoredReclaimDelay = 2 * time.Second

// SetEra sets the era of the store, which rises by one when the store comes back from an
// older copy. The copy may name earlier holders, and the versions of its objects are given
// out again. If an era was known before, all calls that are in flight are forgotten; the
// caller must not pass their results on.
//
// A holder keeps its parts until their leases end, and writes them again. Any other host
// waits for a full lease before it acquires a part, because the store may have lost a later
// holder.
func SetEra(s *State, now time.Time, era uint64) {
	known := s.era
	s.era = era
	if known == 0 {
		return
	}
	s.restored = true
	for _, g := range s.groups {
		g.forget(now)
	}
}

// forget forgets what the store holds, and the calls that are in flight. A release that may
// have taken effect ends the use of its parts.
func (g *group) forget(now time.Time) {
	released := g.write != nil && g.write.release
	for k := range g.parts {
		p := &g.parts[k]
		if p.owned && (released || !now.Before(p.expiry)) {
			p.disown()
		}
		p.hasRecord = false
	}
	g.endHandoverIfEmpty()
	g.known, g.version = false, 0
	g.reading, g.verify, g.write = false, false, nil
	g.failures, g.notBefore = 0, time.Time{}
	g.rereads, g.rereadAt = 0, time.Time{}
}

// isOutdated reports whether the store may have lost later values than v. Hosts without
// knowledge of eras write era 0; their values are outdated if this process has seen a
// restore.
func (s *State) isOutdated(v leaseValue) bool {
	if v.Era == 0 {
		return s.restored
	}
	return v.Era < s.era
}

// applyOutdated applies one part of a value after which the store may have lost others. A
// part that this host uses stays in use, and is written again. Any other part may be in use
// by an unknown host, for a full lease.
func (s *State) applyOutdated(g *group, k partKind, v partValue, now time.Time) {
	p := &g.parts[k]
	if p.owned && now.Before(p.expiry) {
		g.renewAt = now
		return
	}
	p.disown()
	thisHost := !v.Released && v.Holder == s.cfg.Host
	if thisHost && s.cfg.Reclaim && v.Incarnation != s.cfg.Incarnation {
		p.setRecord(v, now.Add(restoredReclaimDelay))
		return
	}
	held := partValue{WaitNS: int64(s.cfg.lease(k))}
	if !thisHost && !v.Released {
		held.Holder, held.Incarnation, held.Term = v.Holder, v.Incarnation, v.Term
	}
	p.setRecord(held, now.Add(held.wait()+s.cfg.Margin))
}
