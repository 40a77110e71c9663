package core

import (
	"time"

	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/table"
)

const (
	// drainCallReserve is added to the time that the answer to a call is expected to take on a
	// draining host, because a sound endpoint may be silent for a while.
	drainCallReserve = 2500 * time.Millisecond
	// drainRetryAfter is the Retry-After value that a draining host sends. It is short,
	// because other hosts are ready.
	drainRetryAfter = 20 * time.Millisecond
	// drainRunTime is how much longer than other requests those are kept that an endpoint
	// works on when a draining host must end. Their answers then still reach their callers.
	drainRunTime = 250 * time.Millisecond
)

// drain starts a graceful shutdown. The host accepts no new requests (except those of
// acceptsWhileDraining), finishes the running ones and hands over its rate shares.
func (s *step) drain(ev DrainRequested) {
	if s.draining {
		return
	}
	s.draining = true
	if ev.Within > 0 {
		s.drainEnd = s.now.Add(ev.Within)
	}
	member.SetLeaving(s.member)
	s.limitActions(limit.Drain(s.limit, s.now))
	s.applyHosts()
	s.broadcast("", s.heartbeat())
	s.log(LogInfo, partPeer, "Host is leaving.")
}

// tickDrain ends a graceful shutdown when no request, rate share or cell is in use. It
// waits at most HandOverTimeout after the last request, because the hand-over of shares
// needs the platform. Shares that are not handed over expire.
func (s *step) tickDrain() {
	s.expireDrain()
	if !s.draining || s.stopped || len(s.requests) > 0 {
		return
	}
	if s.lastRequestEnd.IsZero() {
		s.lastRequestEnd = s.now
	}
	handedOver := limit.Drained(s.limit) && !s.cellsInUse()
	if !handedOver && s.now.Sub(s.lastRequestEnd) < s.cfg.HandOverTimeout {
		return
	}
	s.stopped = true
	s.emit(Stopped{})
}

// cellsInUse reports whether a cell of this host has received a message within twice
// SlotRequestRetryInterval. If not, the other hosts have moved to the next scheduler.
func (s *step) cellsInUse() bool {
	for _, c := range s.scheduler.cells {
		if s.now.Sub(c.lastMessage) < s.cfg.SlotRequestRetryInterval*2 {
			return true
		}
	}
	return false
}

// expireDrain ends the requests that are open when a draining host must end. Otherwise their
// connections would be closed without an answer. Requests that an endpoint works on end
// drainRunTime later. A stream that has begun goes on until the process ends, because no other
// answer to it is possible.
func (s *step) expireDrain() {
	if !s.draining || s.drainExpired || s.drainEnd.IsZero() || s.now.Before(s.drainEnd) {
		return
	}
	s.drainExpired = !s.now.Before(s.drainEnd.Add(drainRunTime))
	for _, r := range s.sortedRequests() {
		begun := r.delivered > 0
		switch running := r.stage == StageCall || r.stage == StageDecode; {
		case (running || begun) && !s.drainExpired:
		case begun:
			s.logTrace(r, "Request is open at the end of the shutdown.", CodeLeaving)
		default:
			s.endWithDrain(r)
		}
	}
}

// endWithDrain ends a request at the end of the shutdown. Its caller learns whether it may have
// run.
func (s *step) endWithDrain(r *request) {
	r.addTrace(s.now, "open in stage %s at the end of the shutdown", r.stage)
	if r.stage == StageCall {
		s.abandonCall(r)
	}
	if r.mayHaveRun() {
		s.refuse(r, CodeOutcomeUnknown, "this host ends before the endpoint has answered; the request may have run", 0)
		return
	}
	s.refuseLeaving(r)
}

// refuseLeaving refuses a request that has not run, so that its caller turns to another host.
func (s *step) refuseLeaving(r *request) {
	s.refuse(r, CodeLeaving, "this host is leaving", drainRetryAfter)
}

// acceptsWhileDraining reports whether a draining host still accepts the request.
// Callers continue to use their open connections, and a call to a plain service ends
// before the shutdown does, if that is not too close. A stream may take longer and is refused.
func (s *step) acceptsWhileDraining(r *request) bool {
	if !r.relayed || s.snapshot() == nil {
		return false
	}
	route, ok := s.snapshot().Routes[r.Route]
	return ok && route.Model == "" && !route.Streams && s.answersInTime(route, shortestTimeout(r.Timeout, route.Timeout))
}

// answersInTime reports whether a call that starts now is answered before this host must end,
// even if it takes as long as the longest of the last calls and its endpoint is silent
// meanwhile. A call ends at its timeout; 0 means none.
func (s *step) answersInTime(route table.Route, timeout time.Duration) bool {
	needed := min(s.longestRun(route)+drainCallReserve, s.cfg.ServiceTimeout)
	if timeout > 0 {
		needed = min(needed, timeout)
	}
	return s.drainEnd.IsZero() || s.now.Add(needed).Before(s.drainEnd)
}

// endsBeforeStop reports whether a draining host may start another attempt of a call. The
// request may have waited, or an earlier attempt may have failed, since it was accepted.
func (s *step) endsBeforeStop(r *request) bool {
	if !r.relayed || !s.draining {
		return true
	}
	var timeout time.Duration
	if !r.deadline.IsZero() {
		timeout = max(r.deadline.Sub(s.now), 1)
	}
	return s.answersInTime(r.route, timeout)
}

// outlastsStop reports whether an answer to the request usually takes longer than this host has
// left before it must end. Other hosts are ready, so the request is refused at once.
func (s *step) outlastsStop(r *request) bool {
	if !r.relayed || s.drainEnd.IsZero() || s.snapshot() == nil {
		return false
	}
	route, ok := s.snapshot().Routes[r.Route]
	if !ok {
		return false
	}
	needed := s.durations[durationKey(route)].mean
	if timeout := shortestTimeout(r.Timeout, route.Timeout); timeout > 0 {
		needed = min(needed, timeout)
	}
	return s.now.Add(needed).After(s.drainEnd)
}
