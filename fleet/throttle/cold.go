package throttle

import (
	"math"
	"time"

	"ragwortshunt.example/fleet/id"
)

// ColdBound bounds the requests to a cold endpoint. In any second it may get Overrun times the
// rate that it takes, and Slack requests more, from all hosts together. The zero value means
// that cold endpoints are not limited.
type ColdBound struct {
	Overrun float64
	Slack   float64 // requests
}

const (
	// grantWindow is the time in which the requests are granted that can reach an engine within
	// one second: a decode is sent after its prefill, which takes up to a second.
	grantWindow = 2 * time.Second
	// callWindow is the same for calls, which are sent when they are placed.
	callWindow = 1500 * time.Millisecond
	// callShare is the part of the bound that the hosts which call an endpoint use. The rest is
	// for hosts that still have an older list of hosts.
	callShare = 0.75
	// maxColdRate is the highest rate, in requests per second, that counts. The configuration of
	// a platform may state any number, and numbers of hosts are derived from it.
	maxColdRate = 1e9
)

// coldEndpoint is what one host knows of a cold endpoint.
type coldEndpoint struct {
	perSecond float64
	hosts     int   // most hosts that may call it
	calls     limit // of this host
}

// SetCold sets the cold endpoints with the requests per second that they take, and reports
// whether other endpoints are cold than before. The parts of this host in new ones start empty:
// this host may have used its part before a restart.
func SetCold(s *State, now time.Time, rates map[id.Endpoint]float64) bool {
	changed := false
	for ep, known := range s.cold {
		if perSecond, ok := rates[ep]; !ok || perSecond != known.perSecond {
			delete(s.cold, ep)
			changed = true
		}
	}
	if s.cfg.Cold.Overrun <= 0 {
		return changed
	}
	for ep, perSecond := range rates {
		if _, known := s.cold[ep]; !known {
			s.cold[ep] = s.cfg.Cold.newEndpoint(now, perSecond)
			changed = true
		}
	}
	return changed
}

// newEndpoint divides the bound among the hosts that call an endpoint. Each may send one
// request at any time, so that half of the bound is for these.
func (b ColdBound) newEndpoint(now time.Time, perSecond float64) *coldEndpoint {
	allowed := callShare * b.perSecond(perSecond)
	hosts := math.Floor(allowed / 2)
	if allowed < 2 {
		hosts = math.Floor(allowed)
	}
	rate := min(perSecond, (allowed-hosts)/callWindow.Seconds())
	return &coldEndpoint{
		perSecond: perSecond, hosts: int(hosts), calls: limit{perSecond: rate, refilledAt: now},
	}
}

// perSecond returns how many requests may reach a cold endpoint in any second.
func (b ColdBound) perSecond(rate float64) float64 { return min(rate, maxColdRate)*b.Overrun + b.Slack }

// ColdEndpoints returns the number of cold endpoints.
func ColdEndpoints(s *State) int { return len(s.cold) }

// ColdGrants returns the requests per second that one of a number of schedulers may grant on a
// cold engine, with a burst of one, and false if the engine is not cold. The schedulers divide
// the bound evenly.
func ColdGrants(s *State, ep id.Endpoint, schedulers int) (float64, bool) {
	c, ok := s.cold[ep]
	if !ok {
		return 0, false
	}
	allowed := s.cfg.Cold.perSecond(c.perSecond) / float64(max(schedulers, 1))
	return min(c.perSecond, max(0, allowed-1)/grantWindow.Seconds()), true
}

// ColdHosts returns how many of the known hosts may call a cold service endpoint, and false if
// the endpoint is not cold. known includes hosts that are not alive, because hosts on two sides
// of a partition would otherwise each divide the rate among their side.
func ColdHosts(s *State, ep id.Endpoint, known int) (int, bool) {
	c, ok := s.cold[ep]
	if !ok {
		return 0, false
	}
	return min(c.hosts, known), true
}

// AllowsCold reports whether this host, one of the given number that call the endpoint, may do
// so now. Endpoints that are not cold take any call.
func AllowsCold(s *State, now time.Time, ep id.Endpoint, hosts int) bool {
	c, ok := s.cold[ep]
	if !ok {
		return true
	}
	c.calls.refill(now, hosts)
	return c.calls.tokens >= 1
}

// NextCold returns the time until this host, one of the given number, may call a cold endpoint.
func NextCold(s *State, now time.Time, ep id.Endpoint, hosts int) time.Duration {
	c, ok := s.cold[ep]
	if !ok {
		return 0
	}
	return s.next(now, &c.calls, hosts)
}
