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
	// handoverGrace is the time after handoverDelay in which a live holder is
	// expected to have released a group.
	handoverGrace = time.Second
	// retryBase and the pooled lease bound the delay before a failed call is repeated.
	retryBase = 100 * time.Millisecond
	// retryDoublings limits the growth of the delay.
	retryDoublings = 10
)

// group is one lease group of the own zone.
type group struct {
	index     int
	name      string
	preferred id.Host
	since     time.Time // preferred is unchanged since
	parts     [partCount]part

	known   bool   // version and the records of foreign parts are current as far as known
	version uint64 // of the object; never falls
	reading bool
	write   *pendingWrite
	verify  bool // read back before the next write

	failures  int
	notBefore time.Time // no call before this time
	renewAt   time.Time
	rereadAt  time.Time // zero: no repeated read
	rereads   int

	handingSince time.Time // zero: not handing over; no gifts since
	frozen       bool      // a release has been sent, so no bucket may be used
}

// part is one part of a group, as its holder or as an outsider sees it.
type part struct {
	mine    bool
	term    uint64
	expiry  time.Time // own use ends
	buckets map[id.Account]*bucket

	record  partValue // foreign part
	full    bool      // the group was never held
	freeAt  time.Time // the foreign part may be taken
	foreign bool      // record and freeAt are set
}

// pendingWrite is a write that is outstanding or of unknown outcome.
type pendingWrite struct {
	sentAt  time.Time
	nonce   uint64
	value   leaseValue
	take    [partCount]bool
	release bool
}

func newGroup(zone id.Zone, index int) *group {
	return &group{index: index, name: groupName(zone, index)}
}

// Drain starts the release of all groups. No further group is taken.
func Drain(s *State, now time.Time) []Action {
	s.draining = true
	return s.stepGroups(now)
}

// Drained reports whether a draining host has released its groups or lost them.
func Drained(s *State) bool {
	for _, g := range s.groups {
		if g.holdsAny() || g.write != nil {
			return false
		}
	}
	return s.draining
}

// HandleRead takes the result of a ReadLease.
func HandleRead(s *State, now time.Time, r object.ReadResult) []Action {
	g := s.groupNamed(r.Name)
	if g == nil || !g.reading {
		return nil
	}
	g.reading = false
	if r.Failed || r.Version < g.version {
		g.backOff(s.cfg, now)
		return nil
	}
	g.failures = 0
	g.verify = false
	s.readValue(g, now, r)
	return s.step(g, now)
}

// HandleWrite takes the result of a WriteLease. After a conflict the object is
// read back too, because the layers below may have repeated the call.
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
		g.backOff(s.cfg, now)
	default:
		g.verify = true
		g.backOff(s.cfg, now)
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

// stepGroups starts the calls that are due.
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
	if g.verify {
		return g.read()
	}
	if g.holdsAny() {
		return s.stepHolder(g, now)
	}
	return s.stepCandidate(g, now)
}

// stepHolder renews the group, takes parts that have become free, or hands the
// group over.
func (s *State) stepHolder(g *group, now time.Time) []Action {
	if g.frozen {
		return s.sendWrite(g, now, true)
	}
	if s.leaving(g, now) {
		if g.handingSince.IsZero() {
			g.handingSince = now
		}
		if now.Before(g.handingSince.Add(s.cfg.giftHold())) {
			return nil
		}
		g.frozen = true
		return s.sendWrite(g, now, true)
	}
	g.handingSince = time.Time{}
	if now.Before(g.renewAt) && !s.mayTakeAny(g, now) {
		return nil
	}
	return s.sendWrite(g, now, false)
}

// stepCandidate reads the group when this host has become its preferred
// holder, and takes what is free.
func (s *State) stepCandidate(g *group, now time.Time) []Action {
	if !s.wants(g, now) {
		return nil
	}
	if !g.known {
		return g.read()
	}
	if s.mayTakeAny(g, now) {
		return s.sendWrite(g, now, false)
	}
	if !g.rereadAt.IsZero() && !now.Before(g.rereadAt) {
		return g.read()
	}
	return nil
}

func (s *State) wants(g *group, now time.Time) bool {
	return !s.draining && len(s.budgets) > 0 &&
		g.preferred == s.cfg.Host && !now.Before(g.since.Add(s.cfg.Settle))
}

func (s *State) leaving(g *group, now time.Time) bool {
	if s.draining {
		return true
	}
	return g.preferred != "" && g.preferred != s.cfg.Host && !now.Before(g.since.Add(handoverDelay))
}

func (s *State) mayTakeAny(g *group, now time.Time) bool {
	for k := range g.parts {
		if s.mayTake(g, partKind(k), now) {
			return true
		}
	}
	return false
}

func (s *State) mayTake(g *group, k partKind, now time.Time) bool {
	p := &g.parts[k]
	return s.wants(g, now) && g.known && !p.mine && p.foreign && !now.Before(p.freeAt)
}

// sendWrite renews the own parts and takes free ones, or releases the own parts.
func (s *State) sendWrite(g *group, now time.Time, release bool) []Action {
	s.lastNonce++
	w := &pendingWrite{sentAt: now, nonce: s.lastNonce, release: release}
	w.value = leaseValue{Writer: s.cfg.Host, Incarnation: s.cfg.Incarnation, Nonce: w.nonce}
	for k := range g.parts {
		kind := partKind(k)
		w.take[k] = !release && s.mayTake(g, kind, now)
		*w.value.part(kind) = s.partToWrite(g, kind, now, w)
	}
	g.write = w
	return []Action{WriteLease{Group: g.name, IfVersion: g.version, Value: encodeValue(w.value)}}
}

func (s *State) partToWrite(g *group, k partKind, now time.Time, w *pendingWrite) partValue {
	p := &g.parts[k]
	switch {
	case p.mine && w.release:
		return partValue{Released: true, Levels: p.levels(now)}
	case w.take[k]:
		s.lastTerm++
		return s.ownPart(k, s.lastTerm)
	case p.mine:
		return s.ownPart(k, p.term)
	}
	out := p.record
	if !out.Released {
		out.WaitNS = int64(max(p.freeAt.Sub(now)-s.cfg.Margin, 0))
	}
	return out
}

func (s *State) ownPart(k partKind, term uint64) partValue {
	return partValue{
		Holder:      s.cfg.Host,
		Incarnation: s.cfg.Incarnation,
		Term:        term,
		WaitNS:      int64(s.cfg.lease(k)),
	}
}

// confirm applies the outstanding write, which took effect as version.
func (s *State) confirm(g *group, now time.Time, version uint64) {
	w := g.write
	g.write = nil
	g.verify = false
	g.failures = 0
	g.known = true
	g.version = version
	g.renewAt = w.sentAt.Add(s.cfg.PooledLease / 2)
	for k := range g.parts {
		kind := partKind(k)
		p := &g.parts[k]
		switch {
		case p.mine && w.release:
			p.lose()
			p.setForeign(*w.value.part(kind), now)
		case p.mine:
			p.expiry = w.sentAt.Add(s.cfg.lease(kind) - s.cfg.Margin)
		case w.take[k]:
			p.start(s.cfg, now, kind, s.shares[g.index], w.value.part(kind).Term)
			p.expiry = w.sentAt.Add(s.cfg.lease(kind) - s.cfg.Margin)
		}
	}
	g.afterLoss()
}

// readValue takes over what a read showed. A version that is known already
// changes nothing, so that the wait for a foreign lease goes on.
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
		for k := range g.parts {
			s.adopt(&g.parts[k], *v.part(partKind(k)), now)
		}
		if r.Version == 0 {
			g.openFull()
		}
	}
	g.afterLoss()
	s.planReread(g, now)
}

// valueOf decodes a read value. A value that cannot be decoded counts as held
// by an unknown host for a full lease.
func (s *State) valueOf(g *group, r object.ReadResult) (leaseValue, error) {
	v, err := decodeValue(r.Value)
	if r.Version == 0 && g.version == 0 {
		open := partValue{Released: true}
		return leaseValue{Pooled: open, Reserve: open}, err
	}
	if err != nil {
		wait := int64(s.cfg.ReserveLease)
		return leaseValue{Pooled: partValue{WaitNS: wait}, Reserve: partValue{WaitNS: wait}}, err
	}
	return v, nil
}

// adopt takes over one part of a newer version. A part that names a tenure of
// this process that never began belongs to nobody, and starts empty.
func (s *State) adopt(p *part, v partValue, now time.Time) {
	own := !v.Released && v.Holder == s.cfg.Host && (v.Incarnation == s.cfg.Incarnation || s.cfg.Reclaim)
	if own && p.mine && p.term == v.Term && v.Incarnation == s.cfg.Incarnation {
		return
	}
	p.lose()
	freeAt := now.Add(v.wait() + s.cfg.Margin)
	if own || v.Released {
		freeAt = now
	}
	p.setForeign(v, freeAt)
}

// planReread schedules another read while a live host still holds a part, so
// that its release is noticed before the lease would lapse.
func (s *State) planReread(g *group, now time.Time) {
	g.rereadAt = time.Time{}
	for k := range g.parts {
		p := &g.parts[k]
		if p.foreign && now.Before(p.freeAt) && s.isLive(p.record.Holder) {
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

// prefer notes the preferred holder. A host that is no longer preferred forgets
// the object, and reads it again when it is next preferred.
func (g *group) prefer(now time.Time, h id.Host) {
	if g.preferred == h {
		return
	}
	g.preferred = h
	g.since = now
	g.rereads = 0
	if !g.holdsAny() && g.write == nil {
		g.known = false
	}
}

func (g *group) read() []Action {
	g.reading = true
	return []Action{ReadLease{Group: g.name}}
}

func (g *group) backOff(cfg Config, now time.Time) {
	d := min(retryBase<<min(g.failures, retryDoublings), max(cfg.PooledLease/4, retryBase))
	g.failures++
	spread := d / 32 * time.Duration(g.index%32)
	g.notBefore = now.Add(d + spread/2)
}

func (g *group) holdsAny() bool {
	for k := range g.parts {
		if g.parts[k].mine {
			return true
		}
	}
	return false
}

func (g *group) afterLoss() {
	if !g.holdsAny() {
		g.frozen = false
		g.handingSince = time.Time{}
	}
}

func (g *group) openFull() {
	for k := range g.parts {
		g.parts[k].full = g.parts[k].foreign && g.parts[k].record.Released
	}
}

// dropExpired gives up parts whose lease has ended on the own clock.
func (g *group) dropExpired(now time.Time) {
	for k := range g.parts {
		p := &g.parts[k]
		if p.mine && !now.Before(p.expiry) {
			p.lose()
		}
	}
	g.afterLoss()
}

// usable reports whether buckets of the part may be drawn from now.
func (g *group) usable(k partKind, now time.Time) bool {
	p := &g.parts[k]
	return p.mine && !g.frozen && now.Before(p.expiry)
}

// giveable reports whether the part may give tokens that a peer spends before
// until. They must be spent before the lease ends.
func (g *group) giveable(k partKind, until time.Time) bool {
	return g.usable(k, until) && g.handingSince.IsZero()
}

// start begins the own use of a part that was free.
func (p *part) start(cfg Config, now time.Time, k partKind, shares []share, term uint64) {
	p.mine = true
	p.foreign = false
	p.term = term
	p.buckets = make(map[id.Account]*bucket, len(shares))
	for _, sh := range shares {
		var tokens int64
		switch {
		case p.full:
			tokens = sh.parts[k].Burst
		case p.record.Released:
			tokens = p.record.Levels[sh.account]
		case cfg.Reclaim && p.record.Holder == cfg.Host && p.record.Incarnation != cfg.Incarnation:
			tokens = cfg.Tolerance.restart(sh.parts[k])
		}
		p.buckets[sh.account] = newBucket(now, sh.parts[k], tokens)
	}
	p.record = partValue{}
	p.full = false
}

func (p *part) lose() {
	p.mine = false
	p.buckets = nil
}

func (p *part) setForeign(v partValue, freeAt time.Time) {
	p.record = v
	p.freeAt = freeAt
	p.foreign = true
	p.full = false
}

// setShares installs the budgets of the part. New slots start empty.
func (p *part) setShares(now time.Time, k partKind, shares []share) {
	if !p.mine {
		return
	}
	buckets := make(map[id.Account]*bucket, len(shares))
	for _, sh := range shares {
		b := p.buckets[sh.account]
		if b == nil {
			b = newBucket(now, sh.parts[k], 0)
		}
		b.set(now, sh.parts[k])
		buckets[sh.account] = b
	}
	p.buckets = buckets
}

// levels returns the whole tokens of each bucket.
func (p *part) levels(now time.Time) map[id.Account]int64 {
	out := make(map[id.Account]int64, len(p.buckets))
	for account, b := range p.buckets {
		if n := b.tokens(now); n > 0 {
			out[account] = n
		}
	}
	return out
}

func (c Config) lease(k partKind) time.Duration {
	if k == pooled {
		return c.PooledLease
	}
	return c.ReserveLease
}

// giftHold is the time for which a giver counts a gift against the burst. It
// is longer than any asker waits, so the gift has been spent or returned by then.
func (c Config) giftHold() time.Duration {
	return c.AskTimeout + c.AskTimeout/8
}
