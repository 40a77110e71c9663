package core

import (
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// noticeRetention is how long the notice of an endpoint that has left the table is kept. The
// platform may list the endpoint again for a while.
const noticeRetention = time.Minute

// notice is what an endpoint has said in its answers about further requests of this host.
type notice struct {
	leaving    bool
	pauseUntil time.Time
	receivedAt time.Time
}

// endpointNoticed records the notice of an endpoint. An endpoint that is leaving says so
// before the platform does, and also if the platform can't be reached.
func (s *step) endpointNoticed(ev EndpointNotice) {
	n := s.notices[ev.Endpoint]
	took := s.takesRequests(ev.Endpoint)
	first := ev.Leaving && !n.leaving
	n.leaving = n.leaving || ev.Leaving
	n.receivedAt = s.now
	if until := s.now.Add(ev.Pause); ev.Pause > 0 && until.After(n.pauseUntil) {
		n.pauseUntil = until
	}
	s.notices[ev.Endpoint] = n
	if first {
		s.log(LogInfo, partTable, "Endpoint says that it is leaving: "+string(ev.Endpoint)+".")
	}
	if took && !s.takesRequests(ev.Endpoint) {
		s.limitChanged(ev.Endpoint)
	}
}

// tickNotices ends the pauses of endpoints.
func (s *step) tickNotices() {
	var ended []id.Endpoint
	for ep, n := range s.notices {
		if !n.pauseUntil.IsZero() && !s.now.Before(n.pauseUntil) {
			n.pauseUntil = time.Time{}
			s.notices[ep] = n
			ended = append(ended, ep)
		}
	}
	slices.Sort(ended)
	for _, ep := range ended {
		s.limitChanged(ep)
	}
}

// takesRequests reports whether an endpoint takes requests of this host now, as far as it has
// said.
func (s *step) takesRequests(ep id.Endpoint) bool {
	n := s.notices[ep]
	return !n.leaving && !s.now.Before(n.pauseUntil)
}

// shortestPause returns the time until the first endpoint of a call takes requests of this
// host again, and false if none has asked for a pause.
func (s *step) shortestPause(r *request) (time.Duration, bool) {
	shortest := time.Duration(0)
	for _, ep := range s.snapshot().Endpoints {
		n := s.notices[ep.Name]
		if ep.Pool != r.route.Pool || ep.State != table.StateActive || n.leaving {
			continue
		}
		if pause := n.pauseUntil.Sub(s.now); pause > 0 && (shortest == 0 || pause < shortest) {
			shortest = pause
		}
	}
	return shortest, shortest > 0
}

// forgetNotices forgets the notices of endpoints that have left, but for running pauses: an
// endpoint that was cut off from the platform is listed again.
func (s *step) forgetNotices() {
	for name, n := range s.notices {
		if _, ok := s.snapshot().Endpoints[name]; ok || s.now.Before(n.pauseUntil) {
			continue
		}
		if s.now.Sub(n.receivedAt) > noticeRetention {
			delete(s.notices, name)
		}
	}
}
