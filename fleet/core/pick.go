package core

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/pace"
	"ragwortshunt.example/fleet/table"
)

// In relay mode a call to a plain service goes to the endpoint with the shortest expected
// latency. A host knows only its own calls. If all hosts of a zone preferred the same
// endpoint, because it is near or first by name, it would be overloaded while others
// are idle. A host notices that only as longer latencies and failures.

const (
	latencyDecay    = 0.8                  // weight of the previous mean in the moving average of latency
	failureDecay    = 0.9                  // weight of the previous rate in the moving average of failures
	baseLatency     = time.Millisecond     // added to each latency; limits concurrent calls to an endpoint without statistics
	remoteAZPenalty = 4 * time.Millisecond // round trip to another availability zone
	failureCost     = 3                    // one failure counts as this many calls
	jitterDivisor   = 4                    // the jitter is less than the expected latency divided by this
	callStatsTTL    = 5 * time.Second      // statistics of an endpoint expire after this time without a call
	jitterSteps     = 1024
	// unreachableTTL is how long an endpoint is considered unreachable after a failed
	// connection. Callers of plain services do not wait much longer.
	unreachableTTL = time.Second
)

// callStats holds statistics of this host's calls to one service endpoint.
type callStats struct {
	unreachable time.Time // last call that did not reach the endpoint; zero if a later call did
	meanLatency time.Duration
	failureRate float64 // moving average, 0 to 1
	lastCall    time.Time
}

// recordCall adds a finished call to the statistics of its endpoint. unreachable means
// that the call failed because it did not reach the endpoint.
func (s *step) recordCall(ep id.Endpoint, took time.Duration, failed, unreachable bool) {
	p, ok := s.serviceStats[ep]
	if !ok || s.now.Sub(p.lastCall) > callStatsTTL {
		p = callStats{meanLatency: took}
	}
	p.meanLatency = time.Duration(latencyDecay*float64(p.meanLatency) + (1-latencyDecay)*float64(took))
	failure := 0.0
	if failed {
		failure = 1
	}
	p.failureRate = failureDecay*p.failureRate + (1-failureDecay)*failure
	p.lastCall = s.now
	p.unreachable = time.Time{}
	if unreachable {
		p.unreachable = s.now
	}
	s.serviceStats[ep] = p
}

// expectedLatency returns the expected latency of a call to an endpoint, with jitter by
// request and endpoint so that hosts do not all choose the same endpoint. An endpoint without
// statistics is tried first, unless the calls of other hosts tell its latency.
func (s *step) expectedLatency(r *request, ep table.Endpoint) time.Duration {
	meanLatency, failureRate := baseLatency, 0.0
	p, ok := s.serviceStats[ep.Name]
	ok = ok && s.now.Sub(p.lastCall) <= callStatsTTL
	if ok {
		meanLatency, failureRate = baseLatency+p.meanLatency, p.failureRate
	}
	if shared := pace.Latency(s.pace, s.now, ep.Pool, ep.Name); !ok && shared > 0 {
		meanLatency = baseLatency + shared
	}
	if ep.AZ != s.cfg.AZ {
		meanLatency += remoteAZPenalty
	}
	expectedLatency := float64(meanLatency) * float64(1+s.outstandingCalls[ep.Name]) * (1 + failureCost*failureRate)
	jitter := xxhash.Sum64String(string(r.Request)+string(ep.Name)) % jitterSteps
	return time.Duration(expectedLatency * (1 + float64(jitter)/jitterSteps/jitterDivisor))
}

// reachable removes the endpoints that could not be reached within the last
// unreachableTTL. If none is left, the request is refused immediately instead of
// waiting for the same failure.
func (s *step) reachable(eps []table.Endpoint) []table.Endpoint {
	return slices.DeleteFunc(eps, func(ep table.Endpoint) bool {
		unreachable := s.serviceStats[ep.Name].unreachable
		return !unreachable.IsZero() && s.now.Sub(unreachable) < unreachableTTL
	})
}
