package core

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// In relay mode calls of plain services go to the endpoint that is expected to answer
// first. A host sees only its own calls: when all hosts of a zone prefer the same
// endpoint, because it is near or first by name, it is overloaded while others are
// idle. What a host sees of that are longer times and failures.

const (
	paceKeep     = 0.8                  // weight of the past in the times of an endpoint
	failureKeep  = 0.9                  // weight of the past in its share of failures
	paceLeast    = time.Millisecond     // added to each time, so that an endpoint without calls is tried by few at once
	farPenalty   = 4 * time.Millisecond // for the way to another zone and back
	failureCost  = 3                    // calls that one failure costs
	spreadShare  = 4                    // expected times that differ by less than one part of so many are alike
	paceForget   = 5 * time.Second      // without a call an endpoint is tried as if it were new
	spreadPieces = 1024
	// downTime is how long an endpoint that could not be reached is taken for
	// unreachable. Callers of plain services wait little longer.
	downTime = time.Second
)

// pace is what this host has seen of an endpoint's calls.
type pace struct {
	down     time.Time // a call has not reached the endpoint; zero once one has been answered
	mean     time.Duration
	failures float64 // share
	last     time.Time
}

// notePace takes the end of a call into the pace of its endpoint. down means that the
// call has failed because it did not reach the endpoint.
func (s *step) notePace(ep id.Endpoint, took time.Duration, failed, down bool) {
	p, ok := s.paces[ep]
	if !ok || s.now.Sub(p.last) > paceForget {
		p = pace{mean: took}
	}
	p.mean = time.Duration(paceKeep*float64(p.mean) + (1-paceKeep)*float64(took))
	share := 0.0
	if failed {
		share = 1
	}
	p.failures = failureKeep*p.failures + (1-failureKeep)*share
	p.last = s.now
	p.down = time.Time{}
	if down {
		p.down = s.now
	}
	s.paces[ep] = p
}

// expected returns the time in which a call is expected to be answered by an
// endpoint, spread at random so that hosts do not all choose the same one.
func (s *step) expected(r *request, ep table.Endpoint) time.Duration {
	mean, failures := paceLeast, 0.0
	if p, ok := s.paces[ep.Name]; ok && s.now.Sub(p.last) <= paceForget {
		mean, failures = paceLeast+p.mean, p.failures
	}
	if ep.AZ != s.cfg.AZ {
		mean += farPenalty
	}
	expected := float64(mean) * float64(1+s.calls[ep.Name]) * (1 + failureCost*failures)
	piece := xxhash.Sum64String(string(r.Request)+string(ep.Name)) % spreadPieces
	return time.Duration(expected * (1 + float64(piece)/spreadPieces/spreadShare))
}

// reachable leaves out the endpoints that could not be reached a moment ago. A request
// that none is left for is refused at once: it would wait for the same failure.
func (s *step) reachable(eps []table.Endpoint) []table.Endpoint {
	return slices.DeleteFunc(eps, func(ep table.Endpoint) bool {
		down := s.paces[ep.Name].down
		return !down.IsZero() && s.now.Sub(down) < downTime
	})
}
