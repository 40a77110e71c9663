package core

import (
	"time"

	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/member"
)

// drainRunTime is how much longer than other requests those are kept that an endpoint works on
// when a draining host must end. Their answers then still reach their callers.
const drainRunTime = 250 * time.Millisecond

// drainCallReserve is the time that a draining host keeps for the answer to a call. It is
// much longer than most calls take, because a sound endpoint may be silent for a while.
const drainCallReserve = 2500 * time.Millisecond

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
	s.refuse(r, CodeLeaving, "this host is leaving", drainRetryAfter)
}
