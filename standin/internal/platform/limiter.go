package platform

import "time"

// burstDuration determines the burst: the bucket holds the calls of this time at
// the full rate, and at least one call.
const burstDuration = 250 * time.Millisecond

// limiter is a token bucket in which each call costs one token. It starts full. It
// is not safe for concurrent use.
type limiter struct {
	rate   float64 // calls per second; 0 means no limit
	burst  float64
	tokens float64
	last   time.Time
}

func newLimiter(rate float64) *limiter {
	burst := max(1, rate*burstDuration.Seconds())
	return &limiter{rate: rate, burst: burst, tokens: burst}
}

// allow takes a token at the time now. It returns false if there is none left.
func (l *limiter) allow(now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	if !l.last.IsZero() {
		l.tokens = min(l.burst, l.tokens+now.Sub(l.last).Seconds()*l.rate)
	}
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
