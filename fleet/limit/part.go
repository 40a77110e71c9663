package limit

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

// part is one part of a group: its buckets if this host owns it, or else the last
// record of it in the lease object.
type part struct {
	owned   bool
	term    uint64
	expiry  time.Time // end of use by this host, on its own clock
	buckets map[id.Account]*bucket

	record    partValue // from the lease object, while not owned
	startFull bool      // the group was never held, so buckets start full
	freeAt    time.Time // when this host may acquire the part
	hasRecord bool      // record and freeAt are set
}

// start makes this host the owner of a part that was free.
func (p *part) start(cfg Config, now time.Time, k partKind, shares []share, term uint64) {
	p.owned = true
	p.hasRecord = false
	p.term = term
	p.buckets = make(map[id.Account]*bucket, len(shares))
	for _, sh := range shares {
		var tokens int64
		switch {
		case p.startFull:
			tokens = sh.parts[k].Burst
		case p.record.Released:
			tokens = p.record.Levels[sh.account]
		case cfg.Reclaim && p.record.Holder == cfg.Host && p.record.Incarnation != cfg.Incarnation:
			tokens = cfg.Tolerance.restartTokens(sh.parts[k])
		}
		p.buckets[sh.account] = newBucket(now, sh.parts[k], tokens)
	}
	p.record = partValue{}
	p.startFull = false
}

func (p *part) disown() {
	p.owned = false
	p.buckets = nil
}

func (p *part) setRecord(v partValue, freeAt time.Time) {
	p.record = v
	p.freeAt = freeAt
	p.hasRecord = true
	p.startFull = false
}

// setShares updates the buckets of the part to new budgets. New slots start empty.
func (p *part) setShares(now time.Time, k partKind, shares []share) {
	if !p.owned {
		return
	}
	buckets := make(map[id.Account]*bucket, len(shares))
	for _, sh := range shares {
		b := p.buckets[sh.account]
		if b == nil {
			b = newBucket(now, sh.parts[k], 0)
		}
		b.setBudget(now, sh.parts[k])
		buckets[sh.account] = b
	}
	p.buckets = buckets
}

// levels returns the level of each bucket in whole tokens, without empty buckets.
func (p *part) levels(now time.Time) map[id.Account]int64 {
	out := make(map[id.Account]int64, len(p.buckets))
	for account, b := range p.buckets {
		if n := b.tokens(now); n > 0 {
			out[account] = n
		}
	}
	return out
}
