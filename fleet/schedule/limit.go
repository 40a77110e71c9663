package schedule

import "time"

// A limited endpoint may save up the requests of maxLimitTime, but at most maxLimitBurst, so
// that requests that arrive unevenly do not leave its rate unused.
const (
	maxLimitTime  = 2 * time.Second
	maxLimitBurst = 3
)

// rateLimit bounds the grants of an endpoint that takes a limited rate of requests.
type rateLimit struct {
	tokens     float64 // requests that may be granted now
	refilledAt time.Duration
}

// startRateLimit is called when the cell learns that an endpoint is limited. The bucket starts
// empty, because this cell or an earlier scheduler may have just used the whole rate.
func (c *Cell) startRateLimit(ep *endpoint) {
	ep.limit = rateLimit{refilledAt: c.now}
}

// SlowStartTime is the time after which an endpoint that is in use again gets all of its slots.
// Engines need some seconds to fill with runs of usual length.
const SlowStartTime = 5 * time.Second

// hasSlowStartPart reports whether the endpoint is in slow start and already has the part of its
// slots that it gets by now.
func (c *Cell) hasSlowStartPart(ep *endpoint) bool {
	left := ep.slowStartUntil - c.now
	if left <= 0 {
		return false
	}
	part := 1 - left.Seconds()/SlowStartTime.Seconds()
	return float64(ep.grantedSlots) >= max(1, float64(ep.Slots)*part)
}

// withinRate reports whether the endpoint's request limit admits another request now.
func (c *Cell) withinRate(ep *endpoint) bool {
	if !ep.Limited {
		return true
	}
	most := ep.Burst
	if most == 0 {
		most = min(max(1, ep.PerSecond*maxLimitTime.Seconds()), maxLimitBurst)
	}
	ep.limit.tokens = min(most, ep.limit.tokens+(c.now-ep.limit.refilledAt).Seconds()*ep.PerSecond)
	ep.limit.refilledAt = c.now
	return ep.limit.tokens >= 1
}

// takeFromRate records a granted request.
func (ep *endpoint) takeFromRate() {
	if ep.Limited {
		ep.limit.tokens--
	}
}

// limitWait returns the time that a number of requests needs because the endpoints of a role
// are limited. It is 0 if one of them is not.
func (c *Cell) limitWait(requests int) time.Duration {
	return max(waitAtLimits(c.prefills, requests), waitAtLimits(c.decodes, requests))
}

func waitAtLimits(eps []*endpoint, requests int) time.Duration {
	var perSecond float64
	for _, ep := range eps {
		if !ep.Limited {
			return 0
		}
		perSecond += ep.PerSecond
	}
	if requests == 0 || len(eps) == 0 {
		return 0
	}
	seconds := float64(requests) / max(perSecond, minLimitRate)
	return time.Duration(seconds * float64(time.Second))
}

// minLimitRate is the assumed rate, in requests per second, of endpoints that take none.
const minLimitRate = 0.01
