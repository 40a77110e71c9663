package limit

import (
	"time"
)

// nanotokensPerToken converts tokens to nanotokens. Multiplying a rate in tokens/s by
// a duration in nanoseconds yields nanotokens, so refills need no rounding.
const nanotokensPerToken = int64(time.Second)

// chargeRetention is the time after which a charge can no longer be refunded.
const chargeRetention = 10 * time.Minute

// bucket is the token bucket of one part of a slot. Amounts are in nanotokens.
//
// The occupancy of a bucket is its level plus the transfers that peers may still
// spend. It never exceeds the burst. Otherwise a peer could spend a transfer after
// the bucket has refilled, which would exceed the burst.
type bucket struct {
	rate    int64 // tokens/s
	burst   int64
	level   int64
	held    int64 // transfers that peers may still spend
	at      time.Time
	charges []charge // ordered by at
	holds   []hold   // ordered by end
}

// charge is a debit that may be refunded.
type charge struct {
	id   uint64
	peak int64 // highest occupancy between this charge and the next, in nanotokens
	at   time.Time
}

// hold is a transfer that a peer may still spend until end.
type hold struct {
	id     uint64
	amount int64
	end    time.Time
}

func newBucket(now time.Time, b Budget, tokens int64) *bucket {
	return &bucket{
		rate:  b.Rate,
		burst: b.Burst * nanotokensPerToken,
		level: min(max(tokens, 0), b.Burst) * nanotokensPerToken,
		at:    now,
	}
}

// setBudget changes rate and burst without adding tokens.
func (b *bucket) setBudget(now time.Time, to Budget) {
	b.advance(now)
	b.rate = to.Rate
	b.burst = to.Burst * nanotokensPerToken
	b.level = min(b.level, max(b.burst-b.held, 0))
}

// tokens returns the whole tokens of the bucket.
func (b *bucket) tokens(now time.Time) int64 {
	b.advance(now)
	return b.level / nanotokensPerToken
}

// advance refills the bucket up to now, turns expired holds into charges and drops
// old charges.
func (b *bucket) advance(now time.Time) {
	for len(b.holds) > 0 && !b.holds[0].end.After(now) {
		h := b.holds[0]
		b.holds = b.holds[1:]
		b.refill(h.end)
		b.held -= h.amount
		b.addCharge(h.id, h.end)
	}
	b.refill(now)
	for len(b.charges) > 0 && now.Sub(b.charges[0].at) > chargeRetention {
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
	b.updatePeak()
}

// updatePeak updates the peak of the latest charge. A full bucket drops all charges:
// a refund of an earlier charge would have overflowed it.
func (b *bucket) updatePeak() {
	occupancy := b.level + b.held
	if occupancy >= b.burst {
		b.charges = b.charges[:0]
		return
	}
	if n := len(b.charges); n > 0 {
		b.charges[n-1].peak = max(b.charges[n-1].peak, occupancy)
	}
}

// debit debits tokens that are spent now.
func (b *bucket) debit(now time.Time, id uint64, tokens int64) {
	b.advance(now)
	b.level -= tokens * nanotokensPerToken
	b.addCharge(id, now)
}

// debitTransfer debits tokens that a peer may spend until end. Successive calls must
// not decrease end.
func (b *bucket) debitTransfer(now time.Time, id uint64, tokens int64, end time.Time) {
	b.advance(now)
	b.level -= tokens * nanotokensPerToken
	b.held += tokens * nanotokensPerToken
	b.holds = append(b.holds, hold{id: id, amount: tokens * nanotokensPerToken, end: end})
}

// refund settles a charge or transfer and returns up to tokens of it to the bucket.
// It returns the number of tokens refunded, rounded up.
//
// Afterwards the bucket is in the state that a smaller charge would have produced.
// That is only valid if the bucket would not have overflowed in the meantime, so the
// refund is at most the burst less the highest occupancy since the charge. The peaks
// since the charge rise by the refund, which limits the refunds of other charges.
func (b *bucket) refund(now time.Time, id uint64, tokens int64) int64 {
	b.advance(now)
	if b.refundHold(id, tokens) {
		return tokens
	}
	i := b.chargeIndex(id)
	if i < 0 {
		return 0
	}
	var peak int64
	for _, c := range b.charges[i:] {
		peak = max(peak, c.peak)
	}
	amount := max(min(tokens*nanotokensPerToken, b.burst-peak), 0)
	for j := i; j < len(b.charges); j++ {
		b.charges[j].peak += amount
	}
	b.level += amount
	b.removeCharge(i)
	return (amount + nanotokensPerToken - 1) / nanotokensPerToken
}

// refundHold settles a transfer that still counts against the burst. The occupancy
// does not rise, so the overflow limit of refund does not apply. It reports whether
// the hold exists.
func (b *bucket) refundHold(id uint64, tokens int64) bool {
	for i, h := range b.holds {
		if h.id != id {
			continue
		}
		b.holds = append(b.holds[:i], b.holds[i+1:]...)
		b.held -= h.amount
		b.level = min(b.level+min(tokens*nanotokensPerToken, h.amount), max(b.burst-b.held, 0))
		return true
	}
	return false
}

func (b *bucket) addCharge(id uint64, at time.Time) {
	b.charges = append(b.charges, charge{id: id, peak: b.level + b.held, at: at})
}

// removeCharge removes charge i and merges its peak into the preceding charge.
func (b *bucket) removeCharge(i int) {
	if i > 0 {
		b.charges[i-1].peak = max(b.charges[i-1].peak, b.charges[i].peak)
	}
	b.charges = append(b.charges[:i], b.charges[i+1:]...)
}

func (b *bucket) chargeIndex(id uint64) int {
	for i, c := range b.charges {
		if c.id == id {
			return i
		}
	}
	return -1
}
