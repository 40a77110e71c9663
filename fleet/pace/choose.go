package pace

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	// nearPreference is how much more calls a host sends to an endpoint of its own zone that is
	// idle than to an idle one of another zone. The preference shrinks with the room that the
	// endpoint has left.
	nearPreference = 1.0
	// sampledCalls is the number of calls of which one is sent although no endpoint is expected
	// to answer it in time, so that the hosts notice when the endpoints are fast again.
	sampledCalls = 10
	// hashUnit maps the upper 53 bits of a hash to a number from 0 to 1.
	hashUnit  = 1.0 / (1 << 53)
	hashShift = 11
)

// Candidate is an endpoint that a call may be sent to.
type Candidate struct {
	Endpoint    id.Endpoint
	Near        bool // in the zone of this host
	Outstanding int  // outstanding calls of this host
}

// Merge records a summary of the collector.
func Merge(s *State, now time.Time, m message.PaceSummary) {
	if !s.cfg.Enabled {
		return
	}
	r := received{at: now, even: m.Even, endpoints: make(map[id.Endpoint]message.EndpointPace, len(m.Endpoints))}
	for _, p := range m.Endpoints {
		r.endpoints[p.Endpoint] = p
	}
	s.summaries[m.Service] = r
}

// Decides reports whether Score decides between endpoints of a service. It does not while they
// do not differ, or without a recent summary. An endpoint that the summary does not have is new:
// without Score, all hosts would try it at once.
func Decides(s *State, now time.Time, service id.Pool, candidates []id.Endpoint) bool {
	r, ok := s.recent(now, service)
	if !ok || !r.even {
		return ok
	}
	return slices.ContainsFunc(candidates, func(ep id.Endpoint) bool {
		_, known := r.endpoints[ep]
		return !known
	})
}

// Score returns a number for an endpoint. A call is sent to the endpoint with the lowest one.
// Over many calls, the endpoints are chosen in proportion to their shares. The scores of a call
// are the same on each call of Score, so that a repeated call goes to the next best endpoint.
func Score(s *State, service id.Pool, req id.Request, c Candidate) float64 {
	r := s.summaries[service]
	p, ok := r.endpoints[c.Endpoint]
	weight := p.Share
	if !ok {
		weight = trialCap / float64(len(r.endpoints)+1)
	}
	if c.Near && !p.Slow && !p.Failing {
		weight *= 1 + nearPreference*p.Room
	}
	weight /= float64(1 + c.Outstanding)
	return -math.Log(unitHash(string(req)+string(c.Endpoint))) / max(weight, math.SmallestNonzeroFloat64)
}

// IsOnTrial reports whether an endpoint gets only a few calls, so that the hosts learn whether it
// is sound.
func IsOnTrial(s *State, service id.Pool, ep id.Endpoint) bool {
	r := s.summaries[service]
	p, ok := r.endpoints[ep]
	return !ok || p.Failing || p.Share*float64(len(r.endpoints)) <= trialCap
}

// IsTooLate reports whether a call with the given time left is known to be answered too late
// by an endpoint. One of sampledCalls counts as in time.
func IsTooLate(s *State, now time.Time, service id.Pool, req id.Request, ep id.Endpoint, left time.Duration) bool {
	r, ok := s.recent(now, service)
	if !ok || r.endpoints[ep].Latency <= left {
		return false
	}
	return xxhash.Sum64String(string(req))%sampledCalls != 0
}

// Latency returns the expected latency of a call to an endpoint, or 0 if it is unknown.
func Latency(s *State, now time.Time, service id.Pool, ep id.Endpoint) time.Duration {
	r, _ := s.recent(now, service)
	return r.endpoints[ep].Latency
}

// All returns the recent summaries of all endpoints.
func All(s *State, now time.Time) map[id.Endpoint]message.EndpointPace {
	out := make(map[id.Endpoint]message.EndpointPace)
	for service := range s.summaries {
		r, _ := s.recent(now, service)
		for ep, p := range r.endpoints {
			out[ep] = p
		}
	}
	return out
}

// recent returns the last summary of a service, and false if it is too old.
func (s *State) recent(now time.Time, service id.Pool) (received, bool) {
	r, ok := s.summaries[service]
	if !ok || now.Sub(r.at) > s.cfg.TTL {
		return received{}, false
	}
	return r, true
}

// unitHash returns a number above 0 and below 1.
func unitHash(text string) float64 {
	return (float64(xxhash.Sum64String(text)>>hashShift) + 0.5) * hashUnit
}
