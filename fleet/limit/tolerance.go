package limit

import "time"

// Tolerance is how far the platform lets the tokens of an account exceed its budget
// in any window. It is there for the hosts, which would otherwise have to agree on
// each request. The zero value allows nothing.
type Tolerance struct {
	Window  time.Duration // any span of this length is judged
	Overrun float64       // part of the budget of a window
	Slack   int64         // tokens per window
}

// usedShare is the part of a tolerance by which budgets are widened. The rest covers
// the time between an admission and its arrival at an endpoint, and the tokens with
// which the buckets of restarted hosts begin.
const usedShare = 0.7

// restartPercent is the part of a bucket with which the successor of a dead process
// begins. The predecessor may have spent a whole burst just before, so that these
// tokens come from the tolerance: less than a fifth of it for each restart of all
// hosts.
const restartPercent = 20

// restart returns the tokens with which a bucket of a reclaimed part begins.
func (t Tolerance) restart(b Budget) int64 {
	if t.Window <= 0 {
		return 0
	}
	return b.Burst * restartPercent / 100
}

// Widen returns the budget that keeps an account within its budget and the
// tolerance: in each window it admits at most
// (Rate*window + Burst)*(1 + Overrun) + Slack tokens. An account without a limit
// keeps having none.
func (t Tolerance) Widen(b Budget) Budget {
	if t.Window <= 0 || b.Rate <= 0 {
		return b
	}
	window := t.Window.Seconds()
	extra := usedShare * (t.Overrun*(float64(b.Rate)*window+float64(b.Burst)) + float64(t.Slack))
	return Budget{
		Rate:  b.Rate + int64(extra/2/window),
		Burst: b.Burst + int64(extra/2),
	}
}
