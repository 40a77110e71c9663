package order

import (
	"encoding/json"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
)

// stored is the value of the order lease of a zone.
type stored struct {
	Holder      id.Host        `json:"holder"`
	Incarnation id.Incarnation `json:"incarnation"`
	Fence       uint64         `json:"fence"`
	LeaseMS     int64          `json:"lease-ms"`
	Released    bool           `json:"released,omitempty"`
}

// attempt is an outstanding write.
type attempt struct {
	value stored
	start time.Time
}

// lease is the copy of the order lease and what this host may do with it.
type lease struct {
	loaded  bool
	version uint64
	stored  stored
	seen    time.Time // first sight of version

	until    time.Time // end of the own lease, by the own clock; zero without one
	fence    uint64    // highest number that this host has held
	acquired time.Time // start of the present holding
	bump     bool      // an endpoint knows a higher number

	reading    bool
	writing    *attempt
	unresolved time.Time // start of the first write that may still take effect
	retry      time.Time
	backoff    time.Duration
}

// mine reports whether this process holds the lease by the stored value.
func (l *lease) mine(cfg Config) bool {
	return l.version != 0 && l.stored.Holder == cfg.Host && l.stored.Incarnation == cfg.Incarnation && !l.stored.Released
}

// Ready reports whether this host may send orders now.
func Ready(s *State, now time.Time) bool {
	return now.Before(s.lease.until)
}

// keepLease starts the call that the lease needs, if any.
func keepLease(s *State, now time.Time) []Action {
	l := &s.lease
	if l.reading || l.writing != nil || now.Before(l.retry) {
		return nil
	}
	switch {
	case !s.leader:
		return release(s, now)
	case !l.loaded:
		l.reading = true
		return []Action{Read{Name: string(s.cfg.Zone)}}
	case l.mine(s.cfg):
		return renew(s, now)
	default:
		return acquire(s, now)
	}
}

// release gives up the lease, so that the next holder need not wait for its end.
// No order is sent from then on.
func release(s *State, now time.Time) []Action {
	l := &s.lease
	if !Ready(s, now) {
		return nil
	}
	l.until = time.Time{}
	if s.cfg.KeepLease {
		return nil
	}
	v := l.stored
	v.Released = true
	return write(s, now, v)
}

// renew extends the own lease in its second half. The number grows only if an
// endpoint knows a higher one.
func renew(s *State, now time.Time) []Action {
	l := &s.lease
	if !l.bump && now.Before(l.until.Add(-s.cfg.Lease/2)) {
		return nil
	}
	v := l.stored
	v.LeaseMS = s.cfg.Lease.Milliseconds()
	if l.bump {
		v.Fence++
	}
	return write(s, now, v)
}

// acquire takes over the lease once that of the holder before has ended.
func acquire(s *State, now time.Time) []Action {
	l := &s.lease
	length := max(s.cfg.Lease, time.Duration(l.stored.LeaseMS)*time.Millisecond)
	free := l.stored.Fence == 0 || l.stored.Released
	if !free && now.Before(l.seen.Add(length+s.cfg.Margin)) {
		return nil
	}
	return write(s, now, stored{
		Holder:      s.cfg.Host,
		Incarnation: s.cfg.Incarnation,
		Fence:       l.stored.Fence + 1,
		LeaseMS:     s.cfg.Lease.Milliseconds(),
	})
}

// write starts an update of the lease object.
func write(s *State, now time.Time, v stored) []Action {
	l := &s.lease
	value, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	l.writing = &attempt{value: v, start: now}
	if l.unresolved.IsZero() {
		l.unresolved = now
	}
	return []Action{Write{Name: string(s.cfg.Zone), IfVersion: l.version, Value: value}}
}

// HandleRead takes over the answer to a Read. If a write of this host has taken
// effect without a reply, its lease counts from the first such write.
func HandleRead(s *State, now time.Time, r object.ReadResult) []Action {
	l := &s.lease
	if !l.reading {
		return nil
	}
	l.reading = false
	var v stored
	// A read that is older than the copy proves nothing about writes under way.
	failed := r.Failed || r.Version != 0 && r.Version < l.version
	if !failed && r.Version != 0 {
		failed = json.Unmarshal(r.Value, &v) != nil
	}
	if failed {
		delay(l, now)
		return nil
	}
	l.backoff = 0
	l.loaded = true
	if r.Version == l.version {
		return Tick(s, now)
	}
	if r.Version == 0 {
		v.Fence = l.stored.Fence // the number must grow even if the object was deleted
	}
	start := l.unresolved
	l.unresolved = time.Time{}
	install(s, now, r.Version, v, start)
	return Tick(s, now)
}

// HandleWrite takes over the answer to a Write. After a conflict or a lost reply
// the object is read back.
func HandleWrite(s *State, now time.Time, w object.WriteResult) []Action {
	l := &s.lease
	if l.writing == nil {
		return nil
	}
	a := l.writing
	l.writing = nil
	switch w.Outcome {
	case object.WriteDone:
		l.backoff = 0
		l.unresolved = time.Time{}
		install(s, now, w.Version, a.value, a.start)
	case object.WriteFailed:
		delay(l, now)
	default:
		l.loaded = false
	}
	return Tick(s, now)
}

// install takes over a new version of the lease. Start is the time from which the
// lease counts if it is the own one.
func install(s *State, now time.Time, version uint64, v stored, start time.Time) {
	l := &s.lease
	held := l.mine(s.cfg)
	l.version = version
	l.stored = v
	l.seen = now
	l.until = time.Time{}
	if !l.mine(s.cfg) {
		l.bump = false
		return
	}
	if l.fence != v.Fence {
		l.bump = false
	}
	l.fence = v.Fence
	if !held {
		l.acquired = now
		restartAll(s)
	}
	if start.IsZero() {
		return
	}
	l.until = start.Add(s.cfg.Lease - s.cfg.Margin)
}

// restartAll has all endpoints ordered again, as another holder may have changed them.
func restartAll(s *State) {
	for _, t := range s.targets {
		restart(t)
	}
}

// lost ends the use of the lease after an endpoint has refused its number. The
// lease is read again; if it is still the own one, the number grows.
func lost(s *State, now time.Time, fence uint64) {
	l := &s.lease
	if fence != l.fence || !l.mine(s.cfg) {
		return
	}
	l.bump = true
	l.loaded = false
	l.until = time.Time{}
	delay(l, now)
}

// delay sets the back-off after a failed call.
func delay(l *lease, now time.Time) {
	l.backoff = min(max(2*l.backoff, minRetry), maxReadRetry)
	l.retry = now.Add(l.backoff)
}
