package limit

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

// group is one lease group of this host's zone.
type group struct {
	index          int
	name           string
	preferred      id.Host
	preferredSince time.Time // time of the last change of preferred
	parts          [partCount]part

	known   bool   // version and the records of parts not owned are the latest that this host has seen
	version uint64 // of the lease object; never decreases within an era of the store
	reading bool
	write   *pendingWrite
	verify  bool // the outcome of write is unknown; read the object before the next write

	failures  int
	notBefore time.Time // no call before this time
	renewAt   time.Time
	rereadAt  time.Time // zero: no reread scheduled
	rereads   int
	outdated  bool // the store may have lost a later value than the last that was read

	handoverSince time.Time // start of a handover, after which no tokens are transferred; zero: none
	frozen        bool      // a release was sent, so no bucket may be used
}

func newGroup(zone id.Zone, index int) *group {
	return &group{index: index, name: groupName(zone, index)}
}

// setPreferred records the preferred holder. If this host holds nothing, a change
// invalidates its copy of the lease object, so that it reads the object again when it
// is next preferred.
func (g *group) setPreferred(now time.Time, h id.Host) {
	if g.preferred == h {
		return
	}
	g.preferred = h
	g.preferredSince = now
	g.rereads = 0
	if !g.holdsAny() && g.write == nil {
		g.known = false
	}
}

func (g *group) read() []Action {
	g.reading = true
	return []Action{ReadLease{Group: g.name}}
}

func (g *group) backoff(cfg Config, now time.Time) {
	d := min(retryBase<<min(g.failures, retryDoublings), max(cfg.PooledLease/4, retryBase))
	g.failures++
	spread := d / 32 * time.Duration(g.index%32)
	g.notBefore = now.Add(d + spread/2)
}

func (g *group) holdsAny() bool {
	for k := range g.parts {
		if g.parts[k].owned {
			return true
		}
	}
	return false
}

func (g *group) endHandoverIfEmpty() {
	if !g.holdsAny() {
		g.frozen = false
		g.handoverSince = time.Time{}
	}
}

func (g *group) markStartFull() {
	for k := range g.parts {
		g.parts[k].startFull = g.parts[k].hasRecord && g.parts[k].record.Released
	}
}

// dropExpired drops the parts whose lease has expired on this host's clock.
func (g *group) dropExpired(now time.Time) {
	for k := range g.parts {
		p := &g.parts[k]
		if p.owned && !now.Before(p.expiry) {
			p.disown()
		}
	}
	g.endHandoverIfEmpty()
}

// usable reports whether the buckets of the part may be debited now.
func (g *group) usable(k partKind, now time.Time) bool {
	p := &g.parts[k]
	return p.owned && !g.frozen && now.Before(p.expiry)
}

// transferable reports whether tokens of the part may be transferred to a peer that
// spends them before until. They must be spent before the lease ends.
func (g *group) transferable(k partKind, until time.Time) bool {
	return g.usable(k, until) && g.handoverSince.IsZero()
}
