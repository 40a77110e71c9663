package core

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/pace"
	"ragwortshunt.example/fleet/table"
)

// partPace marks log lines about the speed of service endpoints.
const partPace = "pace"

const (
	// minSlowRetry and maxSlowRetry bound the Retry-After of a call that is refused because all
	// endpoints are too slow. Callers honour it up to a third of the time that they have left.
	minSlowRetry = 250 * time.Millisecond
	maxSlowRetry = time.Second
)

// tickPace reports this host's calls to the collectors, and sends the summaries of the services
// that this host collects for.
func (s *step) tickPace() {
	for _, m := range pace.Reports(s.pace, s.now) {
		s.send(s.collectorOf(m.Service), m)
	}
	summaries, changes := pace.Summaries(s.pace, s.now, s.collectedEndpoints)
	for _, c := range changes {
		s.logPaceChange(c)
	}
	for _, m := range summaries {
		pace.Merge(s.pace, s.now, m)
		s.broadcast("", m)
	}
}

func (s *step) logPaceChange(c pace.Change) {
	e := Log{Level: LogInfo, Component: partPace, Code: string(c.Endpoint)}
	switch {
	case c.Kind == pace.Slow && c.Began:
		e.Text = "Endpoint is slow compared with the others of its service."
	case c.Kind == pace.Slow:
		e.Text = "Endpoint is no longer slow."
	case c.Began:
		e.Text = "Endpoint fails more calls than the others of its service."
	default:
		e.Text = "Endpoint no longer fails more calls than the others."
	}
	s.emit(e)
}

// collectorOf returns the host that collects the reports about a service, or "" if there is
// none. It is a strong host, because it gets the reports of all hosts.
func (s *step) collectorOf(service id.Pool) id.Host {
	v := s.hostViews()
	owner, ok := v.collectors[service]
	if !ok {
		owner = member.Owner(v.allStrong, "pace/"+string(service))
		v.collectors[service] = owner
	}
	return owner
}

// collectedEndpoints returns the active endpoints of a service, sorted by name, and whether this
// host collects the reports about it.
func (s *step) collectedEndpoints(service id.Pool) ([]pace.Endpoint, bool) {
	if s.snapshot() == nil || s.collectorOf(service) != s.cfg.Host {
		return nil, false
	}
	var out []pace.Endpoint
	for name, ep := range s.snapshot().Endpoints {
		if ep.Pool == service && ep.State == table.StateActive {
			out = append(out, pace.Endpoint{Name: name, Slots: ep.Slots})
		}
	}
	slices.SortFunc(out, func(a, b pace.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return out, true
}

// handlePaceReport collects a report. Reports to a former collector are dropped: a summary of a
// part of the hosts would be wrong.
func (s *step) handlePaceReport(m message.PaceReport) {
	if s.collectorOf(m.Service) == s.cfg.Host {
		pace.Collect(s.pace, s.now, m)
	}
}

// handlePaceSummary records a summary of the host that this host reports to. A former collector
// that has been frozen may send one that covers its own calls only.
func (s *step) handlePaceSummary(from id.Host, m message.PaceSummary) {
	if s.collectorOf(m.Service) == from {
		pace.Merge(s.pace, s.now, m)
	}
}

// recordPace records the end of a call, unless its answer is a stream. The duration of a call that began before a pause of this
// host says nothing about its endpoint.
func (s *step) recordPace(r *request, outcome pace.Outcome) {
	if r.route.Streams {
		return
	}
	if r.callStarted.Before(s.resumedAt) && outcome == pace.Answered {
		outcome = pace.Abandoned
	}
	pace.Ended(s.pace, s.now, r.decode, outcome, s.now.Sub(r.callStarted))
}

// paceOutcome returns the outcome of a failed call. An endpoint that can't be reached has failed,
// although it has not run the call. A call that has not ended by its deadline is abandoned: the
// endpoint counts as slow by the time that it was outstanding.
func (s *step) paceOutcome(r *request, ev RunFailed) pace.Outcome {
	switch {
	case ev.Unreachable:
		return pace.Failed
	case ev.NotRun:
		return pace.Refused
	case !r.deadline.IsZero() && !s.now.Before(r.deadline):
		return pace.Abandoned
	default:
		return pace.Failed
	}
}

// isPaced reports whether package pace decides between the endpoints.
func (s *step) isPaced(r *request, eps []table.Endpoint) bool {
	if !r.relayed || !s.cfg.Pace.Enabled {
		return false
	}
	names := make([]id.Endpoint, 0, len(eps))
	for _, ep := range eps {
		names = append(names, ep.Name)
	}
	return pace.Decides(s.pace, s.now, r.route.Pool, names)
}

func (s *step) paceScore(r *request, ep table.Endpoint) float64 {
	return pace.Score(s.pace, r.route.Pool, r.Request, pace.Candidate{
		Endpoint: ep.Name, Near: ep.AZ == s.cfg.AZ, Outstanding: s.outstandingCalls[ep.Name],
	})
}

// isFaster reports whether a call should go to b instead of a, the first choice by the shares of
// the endpoints, because b has the shorter queue. Endpoints that get only a few calls on trial
// are not compared: they would get none.
func (s *step) isFaster(r *request, b, a table.Endpoint) bool {
	if s.isAvoided(b.Name) || pace.IsOnTrial(s.pace, r.route.Pool, a.Name) || pace.IsOnTrial(s.pace, r.route.Pool, b.Name) {
		return false
	}
	return s.expectedLatency(r, b) < s.expectedLatency(r, a)
}

// refuseSlowService refuses a call that no endpoint is expected to answer in the time that the
// caller has left, and reports whether it did. A call that may have run is not refused, because
// a refusal could not state that it has not.
func (s *step) refuseSlowService(r *request) bool {
	if !r.relayed || !s.cfg.Pace.Enabled || r.deadline.IsZero() || r.mayHaveRun() {
		return false
	}
	left := r.deadline.Sub(s.now)
	shortest := time.Duration(0)
	eps := s.callableEndpoints(r)
	for _, ep := range eps {
		if !pace.IsTooLate(s.pace, s.now, r.route.Pool, r.Request, ep.Name, left) {
			return false
		}
		latency := pace.Latency(s.pace, s.now, r.route.Pool, ep.Name)
		if shortest == 0 || latency < shortest {
			shortest = latency
		}
	}
	if len(eps) == 0 {
		return false
	}
	r.stage = StageCall
	r.addTrace(s.now, "the endpoints answer in %s, the caller waits %s", shortest, left)
	retry := min(max(shortest-left, minSlowRetry), maxSlowRetry)
	s.refuse(r, CodeServiceSlow, fmt.Sprintf("the endpoints need %s for an answer now", shortest.Round(time.Millisecond)), retry)
	return true
}

// ServicePaces returns what this host knows of the speed of service endpoints.
func ServicePaces(st *State, now time.Time) map[id.Endpoint]message.EndpointPace {
	return pace.All(st.pace, now)
}
