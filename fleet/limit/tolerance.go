package limit

import "time"

// Tolerance is how far the platform allows an account to exceed its budget in any
// window. Without it, the hosts would have to coordinate every request. The zero
// value allows no excess.
type Tolerance struct {
	Window       time.Duration // length of the sliding window
	Overrun      float64       // allowed excess as a fraction of a window's budget
	OverrunSlack int64         // additional tokens per window
}

// widenShare is the fraction of a tolerance that Widen adds to budgets. The rest covers
// the delay between an admission and its arrival at an endpoint, and the initial
// bucket levels of restarted hosts.
const widenShare = 0.7

// restartPercent is the initial bucket level, in percent of the burst, after a process
// reclaims the lease of its dead predecessor. The predecessor may have spent a whole
// burst just before, so these tokens come out of the tolerance: less than a fifth of
// it per restart of all hosts.
const restartPercent = 20

// restartTokens returns the initial tokens of a bucket in a reclaimed part.
func (t Tolerance) restartTokens(b Budget) int64 {
	if t.Window <= 0 {
		return 0
	}
	return b.Burst * restartPercent / 100
}

// Widen returns a larger budget that stays within b plus the tolerance: it admits at
// most (Rate*window + Burst)*(1 + Overrun) + OverrunSlack tokens in each window. If the
// window or the rate is not positive, Widen returns b unchanged.
func (t Tolerance) Widen(b Budget) Budget {
	if t.Window <= 0 || b.Rate <= 0 {
		return b
	}
	window := t.Window.Seconds()
	extra := widenShare * (t.Overrun*(float64(b.Rate)*window+float64(b.Burst)) + float64(t.OverrunSlack))
	return Budget{
		Rate:  b.Rate + int64(extra/2/window),
		Burst: b.Burst + int64(extra/2),
	}
}
