package throttle

import (
	"math"
	"time"

	"ragwortshunt.example/fleet/id"
)

// Hosts returns how many hosts use a service endpoint with the given limit. live is the number
// of live hosts.
func Hosts(s *State, perSecond float64, live int) int {
	return max(1, min(live, int(perSecond*s.cfg.Spread.Seconds())))
}

// Allows reports whether this host, one of the given number that use the endpoint, may send it
// a request now. Endpoints without a limit take any.
func Allows(s *State, now time.Time, ep id.Endpoint, hosts int) bool {
	l, ok := s.limits[ep]
	if !ok {
		return true
	}
	l.refill(now, hosts)
	return l.tokens >= 1
}

// Take records a request that this host sends to the endpoint.
func Take(s *State, ep id.Endpoint) {
	if l, ok := s.limits[ep]; ok {
		l.tokens--
	}
	if c, ok := s.cold[ep]; ok {
		c.calls.tokens--
	}
}

// NextAfter returns the time until this host may send the next request to the endpoint.
func NextAfter(s *State, now time.Time, ep id.Endpoint, hosts int) time.Duration {
	l, ok := s.limits[ep]
	if !ok {
		return 0
	}
	return s.next(now, l, hosts)
}

// next returns the time until a limit has a token for this host.
func (s *State) next(now time.Time, l *limit, hosts int) time.Duration {
	l.refill(now, hosts)
	seconds := (1 - l.tokens) / l.rate(hosts)
	if math.IsNaN(seconds) || seconds > s.cfg.TTL.Seconds() {
		return s.cfg.TTL
	}
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

// refill adds the tokens since the last refill. One token is the most, so that hosts do not
// save up bursts.
func (l *limit) refill(now time.Time, hosts int) {
	l.tokens = min(1, l.tokens+now.Sub(l.refilledAt).Seconds()*l.rate(hosts))
	l.refilledAt = now
}

// rate returns the requests per second of one of the hosts.
func (l *limit) rate(hosts int) float64 { return l.perSecond / float64(max(hosts, 1)) }
