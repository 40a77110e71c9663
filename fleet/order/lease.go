package order

import (
	"encoding/json"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
)

// Values beyond these were not written by a host.
const (
	maxLease = 24 * time.Hour
	maxFence = 1 << 62
)

// stored is the JSON form of the order lease of a zone.
type stored struct {
	Holder      id.Host        `json:"holder"`
	Incarnation id.Incarnation `json:"incarnation"`
	Fence       uint64         `json:"fence"`
	LeaseMS     int64          `json:"lease-ms"`
	Released    bool           `json:"released,omitempty"`
	// Era is the era of the store in which the holder wrote the lease; 0 if it is unknown.
	Era uint64 `json:"era,omitempty"`
}

// writeAttempt is an outstanding write.
type writeAttempt struct {
	value stored
	start time.Time
}

// lease is the local copy of the order lease, and this host's right to use it.
type lease struct {
	loaded    bool
	version   uint64
	stored    stored
	firstSeen time.Time // time of the first read of version

	validUntil time.Time // end of this host's lease on its own clock; zero if it holds none
	fence      uint64    // highest fencing token that this host has held
	acquiredAt time.Time // time since which this host has held the lease without interruption
	raiseFence bool      // an endpoint has seen a higher token, so the next write increases it

	lost        bool      // this host holds the lease, but the store has lost it; it is written again
	absentUntil time.Time // until then, the lease may be held although the store has no object

	reading         bool
	pendingWrite    *writeAttempt
	firstUnresolved time.Time // start of the first write that may still take effect
	retryAt         time.Time
	backoff         time.Duration
}

// heldBySelf reports whether this process is the last holder. A value of an older era does
// not say so, unless this process has held the lease since.
func heldBySelf(s *State) bool {
	l := &s.lease
	if l.version == 0 || isOutdated(s) {
		return l.lost
	}
	return l.stored.Holder == s.cfg.Host && l.stored.Incarnation == s.cfg.Incarnation && !l.stored.Released
}

// HoldsLease reports whether this host holds a valid lease and so may send orders.
func HoldsLease(s *State, now time.Time) bool {
	return now.Before(s.lease.validUntil)
}

// maintainLease starts the platform call that the lease needs, if any.
func maintainLease(s *State, now time.Time) []Action {
	l := &s.lease
	if l.reading || l.pendingWrite != nil || now.Before(l.retryAt) {
		return nil
	}
	switch {
	case !s.leader:
		return release(s, now)
	case !l.loaded:
		l.reading = true
		return []Action{Read{Name: string(s.cfg.Zone)}}
	case l.lost:
		return restoreLease(s, now)
	case heldBySelf(s):
		return renew(s, now)
	default:
		return acquire(s, now)
	}
}

// release stops using the lease: no order is sent from then on. Unless
// Config.LetLeaseExpire is set, it also writes the release, so that the next holder
// does not have to wait for the lease to expire.
func release(s *State, now time.Time) []Action {
	l := &s.lease
	if !HoldsLease(s, now) {
		return nil
	}
	l.validUntil = time.Time{}
	if s.cfg.LetLeaseExpire {
		return nil
	}
	v := l.stored
	v.Released = true
	return write(s, now, v)
}

// renew extends this host's lease in its second half. The fencing token increases
// only if an endpoint has seen a higher one.
func renew(s *State, now time.Time) []Action {
	l := &s.lease
	if !l.raiseFence && now.Before(l.validUntil.Add(-s.cfg.Lease/2)) {
		return nil
	}
	v := l.stored
	v.LeaseMS = s.cfg.Lease.Milliseconds()
	if l.raiseFence {
		v.Fence = nextFence(s)
	}
	return write(s, now, v)
}

// acquire acquires the lease once that of the previous holder has expired or been
// released. A value of an older era says nothing about the present holder, so its lease may
// have started just before the value was read.
func acquire(s *State, now time.Time) []Action {
	l := &s.lease
	duration := max(s.cfg.Lease, time.Duration(l.stored.LeaseMS)*time.Millisecond)
	notBefore := l.firstSeen.Add(duration + s.cfg.Margin)
	switch {
	case l.stored.Fence == 0:
		notBefore = l.absentUntil
	case l.stored.Released && !isOutdated(s):
		notBefore = time.Time{}
	}
	if now.Before(notBefore) {
		return nil
	}
	return write(s, now, stored{
		Holder:      s.cfg.Host,
		Incarnation: s.cfg.Incarnation,
		Fence:       nextFence(s),
		LeaseMS:     s.cfg.Lease.Milliseconds(),
	})
}

// write starts a conditional update of the lease object.
func write(s *State, now time.Time, v stored) []Action {
	l := &s.lease
	v.Era = s.era
	value, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	l.pendingWrite = &writeAttempt{value: v, start: now}
	if l.firstUnresolved.IsZero() {
		l.firstUnresolved = now
	}
	return []Action{Write{Name: string(s.cfg.Zone), IfVersion: l.version, Value: value}}
}

// HandleRead processes the answer to a Read. If a write of this host took effect
// without a reply, its lease counts from the start of the first such write.
func HandleRead(s *State, now time.Time, r object.ReadResult) []Action {
	l := &s.lease
	if !l.reading {
		return nil
	}
	l.reading = false
	var v stored
	// A read that is older than the copy says nothing about writes in flight.
	if r.Failed || r.Version != 0 && r.Version < l.version {
		setBackoff(l, now)
		return nil
	}
	if r.Version != 0 {
		v = s.decode(r.Value)
	}
	l.backoff = 0
	l.loaded = true
	if l.lost && HoldsLease(s, now) && v.Era != s.era {
		l.version = r.Version
		return Tick(s, now)
	}
	forgetLost(l)
	if r.Version == l.version {
		return Tick(s, now)
	}
	if r.Version == 0 {
		v.Fence = l.stored.Fence // the token must increase even if the object was deleted
	}
	start := l.firstUnresolved
	l.firstUnresolved = time.Time{}
	install(s, now, r.Version, v, start)
	return Tick(s, now)
}

// decode decodes a stored lease. A value that no host has written counts as held by an
// unknown host from now on.
func (s *State) decode(value []byte) stored {
	var v stored
	err := json.Unmarshal(value, &v)
	if err == nil && v.Fence > 0 && v.Fence < maxFence && v.LeaseMS >= 0 && v.LeaseMS <= maxLease.Milliseconds() {
		return v
	}
	return stored{Fence: max(s.lease.stored.Fence, s.lease.fence, 1), LeaseMS: s.cfg.Lease.Milliseconds()}
}

// HandleWrite processes the answer to a Write. After a conflict or a lost reply the
// object is read again.
func HandleWrite(s *State, now time.Time, w object.WriteResult) []Action {
	l := &s.lease
	if l.pendingWrite == nil {
		return nil
	}
	a := l.pendingWrite
	l.pendingWrite = nil
	switch w.Outcome {
	case object.WriteDone:
		l.backoff = 0
		l.firstUnresolved = time.Time{}
		install(s, now, w.Version, a.value, a.start)
	case object.WriteFailed:
		setBackoff(l, now)
	default:
		l.loaded = false
	}
	return Tick(s, now)
}

// install stores a new version of the lease. If this host holds it, the lease
// counts from start.
func install(s *State, now time.Time, version uint64, v stored, start time.Time) {
	l := &s.lease
	held := heldBySelf(s)
	l.lost = false
	l.version = version
	l.stored = v
	l.firstSeen = now
	l.validUntil = time.Time{}
	if !heldBySelf(s) {
		l.raiseFence = false
		return
	}
	if l.fence != v.Fence {
		l.raiseFence = false
	}
	l.fence = v.Fence
	if !held {
		l.acquiredAt = now
		resetAllProgress(s)
	}
	if start.IsZero() {
		return
	}
	l.validUntil = start.Add(s.cfg.Lease - s.cfg.Margin)
}

// resetAllProgress sends the orders of all endpoints again, because another holder
// may have changed the endpoints.
func resetAllProgress(s *State) {
	for _, t := range s.targets {
		resetProgress(t)
	}
}

// handleStaleFence stops using the lease after an endpoint has refused its fencing
// token. The lease is read again; if this host still holds it, the token is
// increased.
func handleStaleFence(s *State, now time.Time, fence uint64) {
	l := &s.lease
	if fence != l.fence || !heldBySelf(s) {
		return
	}
	l.raiseFence = true
	l.loaded = false
	l.validUntil = time.Time{}
	setBackoff(l, now)
}

// setBackoff sets the exponential backoff after a failed platform call.
func setBackoff(l *lease, now time.Time) {
	l.backoff = min(max(2*l.backoff, minBackoff), maxPlatformBackoff)
	l.retryAt = now.Add(l.backoff)
}
