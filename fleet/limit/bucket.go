package limit

import (
	"time"
)

// nano is the number of nanotokens in a token. A rate in tokens/s times a
// duration in nanoseconds gives nanotokens, so refills are exact.
const nano = int64(time.Second)

// chargeLife is the time after which a charge can no longer be refunded.
const chargeLife = 10 * time.Minute

// bucket is the token bucket of one part of a slot. Amounts are in nanotokens.
//
// The height of a bucket is its level plus the gifts that peers may still be
// about to spend. It never exceeds the burst, so that a gift that is spent late
// cannot add to a bucket that has filled up again.
type bucket struct {
	rate    int64 // tokens/s
	burst   int64
	level   int64
	held    int64 // gifts that peers may still spend
	at      time.Time
	charges []charge // in order of time
	holds   []hold   // in order of end
}

// charge is a debit that may be refunded.
type charge struct {
	id   uint64
	peak int64 // greatest height between this charge and the next
	at   time.Time
}

// hold is a gift that a peer may still spend until end.
type hold struct {
	id     uint64
	amount int64
	end    time.Time
}

func newBucket(now time.Time, b Budget, tokens int64) *bucket {
	return &bucket{
		rate:  b.Rate,
		burst: b.Burst * nano,
		level: min(max(tokens, 0), b.Burst) * nano,
		at:    now,
	}
}

// set changes rate and burst without adding tokens.
func (b *bucket) set(now time.Time, to Budget) {
	b.advance(now)
	b.rate = to.Rate
	b.burst = to.Burst * nano
	b.level = min(b.level, max(b.burst-b.held, 0))
}

// tokens returns the whole tokens of the bucket.
func (b *bucket) tokens(now time.Time) int64 {
	b.advance(now)
	return b.level / nano
}

// advance refills the bucket up to now and ends the holds that are due.
func (b *bucket) advance(now time.Time) {
	for len(b.holds) > 0 && !b.holds[0].end.After(now) {
		h := b.holds[0]
		b.holds = b.holds[1:]
		b.refill(h.end)
		b.held -= h.amount
		b.addCharge(h.id, h.end)
	}
	b.refill(now)
	for len(b.charges) > 0 && now.Sub(b.charges[0].at) > chargeLife {
		b.charges = b.charges[1:]
	}
}

func (b *bucket) refill(to time.Time) {
	d := int64(to.Sub(b.at))
	if d <= 0 {
		return
	}
	b.at = to
	missing := b.burst - b.held - b.level
	switch {
	case missing <= 0 || b.rate == 0:
	case d > missing/b.rate:
		b.level += missing
	default:
		b.level += b.rate * d
	}
	b.notePeak()
}

// notePeak records the height for the latest charge. A bucket that has filled
// up can take no refund of any earlier charge.
func (b *bucket) notePeak() {
	height := b.level + b.held
	if height >= b.burst {
		b.charges = b.charges[:0]
		return
	}
	if n := len(b.charges); n > 0 {
		b.charges[n-1].peak = max(b.charges[n-1].peak, height)
	}
}

// take debits tokens that are spent now.
func (b *bucket) take(now time.Time, id uint64, tokens int64) {
	b.advance(now)
	b.level -= tokens * nano
	b.addCharge(id, now)
}

// give debits tokens that a peer may spend until end. Calls come in order of end.
func (b *bucket) give(now time.Time, id uint64, tokens int64, end time.Time) {
	b.advance(now)
	b.level -= tokens * nano
	b.held += tokens * nano
	b.holds = append(b.holds, hold{id: id, amount: tokens * nano, end: end})
}

// refund settles a charge or gift and puts back up to tokens of it. It returns
// the tokens that were put back, rounded up.
//
// The bucket then stands as if the charge had been smaller from the start. That
// is a course that the bucket could have taken only if it never overflowed, so
// the refund is at most the burst less the greatest height since the charge.
// The heights since the charge rise by the refund, which limits the refunds of
// other charges.
func (b *bucket) refund(now time.Time, id uint64, tokens int64) int64 {
	b.advance(now)
	if b.refundHold(id, tokens) {
		return tokens
	}
	i := b.find(id)
	if i < 0 {
		return 0
	}
	var peak int64
	for _, c := range b.charges[i:] {
		peak = max(peak, c.peak)
	}
	amount := max(min(tokens*nano, b.burst-peak), 0)
	for j := i; j < len(b.charges); j++ {
		b.charges[j].peak += amount
	}
	b.level += amount
	b.removeCharge(i)
	return (amount + nano - 1) / nano
}

// refundHold settles a gift that still counts against the burst. The height
// does not rise, so the refund needs no limit.
func (b *bucket) refundHold(id uint64, tokens int64) bool {
	for i, h := range b.holds {
		if h.id != id {
			continue
		}
		b.holds = append(b.holds[:i], b.holds[i+1:]...)
		b.held -= h.amount
		b.level = min(b.level+min(tokens*nano, h.amount), max(b.burst-b.held, 0))
		return true
	}
	return false
}

func (b *bucket) addCharge(id uint64, at time.Time) {
	b.charges = append(b.charges, charge{id: id, peak: b.level + b.held, at: at})
}

// removeCharge removes charge i and keeps its peak for the charges before it.
func (b *bucket) removeCharge(i int) {
	if i > 0 {
		b.charges[i-1].peak = max(b.charges[i-1].peak, b.charges[i].peak)
	}
	b.charges = append(b.charges[:i], b.charges[i+1:]...)
}

func (b *bucket) find(id uint64) int {
	for i, c := range b.charges {
		if c.id == id {
			return i
		}
	}
	return -1
}
