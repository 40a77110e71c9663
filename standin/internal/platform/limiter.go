package platform

import "time"

// burstTime bounds the calls that can be made at once, as a time at the full rate.
const burstTime = 250 * time.Millisecond

// limiter is a token bucket. It starts full.
type limiter struct {
	rate  float64 // calls per second; 0 is no limit
	burst float64
	level float64
	last  time.Time
}

func newLimiter(rate float64) *limiter {
	burst := max(1, rate*burstTime.Seconds())
	return &limiter{rate: rate, burst: burst, level: burst}
}

// take tells whether a call may be made at now.
func (l *limiter) take(now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	if !l.last.IsZero() {
		l.level = min(l.burst, l.level+now.Sub(l.last).Seconds()*l.rate)
	}
	l.last = now
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}
