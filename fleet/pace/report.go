package pace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Outcome is how a call has ended.
type Outcome uint8

// The outcomes of calls.
const (
	Answered  Outcome = iota // the endpoint has answered, and the answer is no failure
	Failed                   // the endpoint has answered with a failure, has broken off or could not be reached
	Refused                  // the endpoint has not run the call
	Abandoned                // the call was given up before it had ended, or its duration is unknown
)

// calls counts the calls of this host to one endpoint since the last report.
type calls struct {
	service     id.Pool
	outstanding int
	countedAt   time.Time // end of the time that the integral covers
	counts      message.EndpointCalls
}

// Started records a call to an endpoint of a service.
func Started(s *State, now time.Time, service id.Pool, ep id.Endpoint) {
	if !s.cfg.Enabled {
		return
	}
	c, ok := s.calls[ep]
	if !ok {
		c = &calls{countedAt: now, counts: message.EndpointCalls{Endpoint: ep}}
		s.calls[ep] = c
	}
	c.service = service
	c.integrate(now)
	c.outstanding++
	if s.reportAt.IsZero() {
		s.reportAt = now.Add(s.cfg.Interval)
	}
}

// Ended records the end of a call for which Started was called. took is its duration.
func Ended(s *State, now time.Time, ep id.Endpoint, outcome Outcome, took time.Duration) {
	c, ok := s.calls[ep]
	if !ok {
		return
	}
	c.integrate(now)
	c.outstanding = max(c.outstanding-1, 0)
	switch outcome {
	case Answered:
		c.counts.Answered++
		c.counts.AnswerTime += took
	case Failed:
		c.counts.Failed++
	case Refused:
		c.counts.Refused++
	case Abandoned:
	}
}

// Discard drops the counts since the last report. They are wrong after a pause of this host,
// during which answers have waited to be read.
func Discard(s *State, now time.Time) {
	for _, c := range s.calls {
		c.reset(now)
	}
}

// Reports returns the reports that are due, one for each service with calls, sorted by service.
// A host without calls sends none.
func Reports(s *State, now time.Time) []message.PaceReport {
	if s.reportAt.IsZero() || now.Before(s.reportAt) {
		return nil
	}
	s.reportAt = now.Add(s.cfg.Interval)
	byService := make(map[id.Pool][]message.EndpointCalls)
	for ep, c := range s.calls {
		c.integrate(now)
		if c.counts != (message.EndpointCalls{Endpoint: ep}) {
			byService[c.service] = append(byService[c.service], c.counts)
		}
		c.reset(now)
		if c.outstanding == 0 {
			delete(s.calls, ep)
		}
	}
	if len(s.calls) == 0 {
		s.reportAt = time.Time{}
	}
	return newReports(byService)
}

func newReports(byService map[id.Pool][]message.EndpointCalls) []message.PaceReport {
	var out []message.PaceReport
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		eps := byService[service]
		slices.SortFunc(eps, func(a, b message.EndpointCalls) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
		out = append(out, message.PaceReport{Service: service, Endpoints: eps})
	}
	return out
}

// integrate adds the time since the last change to the integral of the outstanding calls.
func (c *calls) integrate(now time.Time) {
	c.counts.Outstanding += now.Sub(c.countedAt) * time.Duration(c.outstanding)
	c.countedAt = now
}

func (c *calls) reset(now time.Time) {
	c.counts = message.EndpointCalls{Endpoint: c.counts.Endpoint}
	c.countedAt = now
}
