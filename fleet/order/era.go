package order

import "time"

// fenceEraShift is the number of low bits of a fencing token that hold a version of the
// lease object. The rest is the era.
const fenceEraShift = 32

// firstEra is the era of a store that has never come back from a copy.
const firstEra = 1

// SetEra sets the era of the store, which rises by one when the store comes back from an
// older copy. The copy may name an earlier holder, or none, and the versions of its objects
// are given out again. If an era was known before, all calls that are in flight are
// forgotten; the caller must not pass their results on.
//
// The holder keeps its lease and writes it again. Any other host waits for a full lease
// before it acquires the lease, because the store may have lost a later holder.
func SetEra(s *State, now time.Time, era uint64) {
	known := s.era
	s.era = era
	if era > firstEra {
		s.lease.absentUntil = now.Add(s.cfg.Lease + s.cfg.Margin)
	}
	if known == 0 {
		return
	}
	old := s.lease
	s.lease = lease{fence: old.fence, absentUntil: old.absentUntil}
	if !HoldsLease(&State{lease: old}, now) {
		return
	}
	s.lease.lost = true
	s.lease.stored = old.stored
	s.lease.validUntil = old.validUntil
	s.lease.acquiredAt = old.acquiredAt
	s.lease.raiseFence = old.raiseFence
}

// isOutdated reports whether the store has come back from an older copy since the lease was
// written.
func isOutdated(s *State) bool {
	return s.lease.stored.Era != s.era
}

// restoreLease writes the lease of this host again, which the store has lost, as long as it
// is valid.
func restoreLease(s *State, now time.Time) []Action {
	l := &s.lease
	if !HoldsLease(s, now) {
		forgetLost(l)
		l.loaded = false
		return nil
	}
	return write(s, now, l.stored)
}

// forgetLost forgets a lease that the store has lost, so that what the store holds is read.
func forgetLost(l *lease) {
	if !l.lost {
		return
	}
	l.lost = false
	l.version = 0
	l.stored = stored{}
	l.validUntil = time.Time{}
}

// nextFence returns the fencing token for the next write. With a known era it is higher than
// all tokens of older eras, also of those that the store has lost, and than all tokens for
// earlier versions of this era: a host that has not learned of the restore may have
// overwritten the value that holds the last of them.
func nextFence(s *State) uint64 {
	next := s.lease.stored.Fence + 1
	if s.era == 0 {
		return next
	}
	return max(next, s.era<<fenceEraShift+s.lease.version)
}
