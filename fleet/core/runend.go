package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// A broken connection does not show that the run behind it has ended: the engine may have lost
// only the answer. A stream goes on elsewhere once its earlier run has ended or been stopped. If
// the engine doesn't say so, the stream waits for as long as the run may take.

const (
	// maxRunOverlap is how long an earlier run may work on after a stream has gone on elsewhere.
	maxRunOverlap = 400 * time.Millisecond
	// minRunTime is the shortest time that a run of unknown state is assumed to work on. Runs may
	// exceed their declared output, and callers accept a pause of 2 s.
	minRunTime = time.Second
	// eventGapDecay is the weight of the earlier average in the average time between two events.
	eventGapDecay = 0.9
)

// StopRun ends the run of a stream whose connection broke. The result is RunStopped.
type StopRun struct {
	Request  id.Request
	Attempt  id.Attempt
	Endpoint id.Endpoint
	Address  string
	// Target is the address of another engine, to which the endpoint moves the run's KV cache.
	// It is empty if the endpoint can't move it; then the run can't be stopped.
	Target string
}

// RunStopped reports whether a run has ended. Its state is not known if no field is set.
type RunStopped struct {
	Request     id.Request
	Attempt     id.Attempt
	Ended       bool
	Unreachable bool // no connection to the endpoint could be opened
}

func (StopRun) isEffect()   {}
func (RunStopped) isEvent() {}

// recordEventGap adds the time since the last event of a stream to the average of its engine.
func (s *step) recordEventGap(r *request) {
	if r.delivered <= r.decodeFrom || r.lastToken.IsZero() {
		return
	}
	gap := s.now.Sub(r.lastToken)
	if mean, ok := s.engineGaps[r.decode]; ok {
		gap = time.Duration(eventGapDecay*float64(mean) + (1-eventGapDecay)*float64(gap))
	}
	s.engineGaps[r.decode] = gap
}

// awaitRunEnd stops the run of a failed attempt and sets until when the request waits for its
// end. It must be called before the attempt is released.
func (s *step) awaitRunEnd(r *request, name id.Endpoint) {
	ep, ok := s.snapshot().Endpoints[name]
	if !ok {
		return // it has left, and its address may belong to another endpoint
	}
	r.endingAttempt = r.attempt
	r.holdUntil = s.now.Add(s.remainingRunTime(r, ep) - maxRunOverlap)
	s.emit(StopRun{Request: r.Request, Attempt: r.attempt, Endpoint: name, Address: ep.Address, Target: s.moveTarget(ep)})
}

// remainingRunTime returns how long an engine may work on a stream, at its average pace.
func (s *step) remainingRunTime(r *request, ep table.Endpoint) time.Duration {
	perEvent := max(s.snapshot().Pools[ep.Pool].EventTokens, 1)
	events := (r.MaxTokens+perEvent-1)/perEvent - r.delivered
	return max(time.Duration(events)*s.engineGaps[ep.Name], minRunTime)
}

// moveTarget returns the address of another engine of the pool, or nothing if there is none or
// the engines can't move KV caches.
func (s *step) moveTarget(from table.Endpoint) string {
	snap := s.snapshot()
	if !snap.Pools[from.Pool].MovesKV {
		return ""
	}
	var target table.Endpoint
	for name, ep := range snap.Endpoints {
		if name == from.Name || ep.Pool != from.Pool || s.firstUnusable(name) != "" {
			continue
		}
		// Transfers within a zone are faster. The name makes the choice independent of map order.
		near, best := ep.AZ == from.AZ, target.AZ == from.AZ
		if target.Name == "" || near && !best || near == best && name < target.Name {
			target = ep
		}
	}
	return target.Address
}

// requestSlotAfterRun requests a slot once the earlier run of the request has ended.
func (s *step) requestSlotAfterRun(r *request) {
	if !s.now.Before(r.holdUntil) {
		s.requestSlot(r)
		return
	}
	r.stage = StageQueue
	r.resumeAt = r.holdUntil
}

// runStopped continues a stream whose earlier run has ended. It doesn't wait for an engine that
// can't be reached, because that engine may be gone and will not say so.
func (s *step) runStopped(ev RunStopped) {
	r, ok := s.requests[ev.Request]
	if !ok || r.endingAttempt != ev.Attempt || !ev.Ended && !ev.Unreachable {
		return
	}
	r.addTrace(s.now, "run of attempt %d is over (ended %t, unreachable %t)", ev.Attempt, ev.Ended, ev.Unreachable)
	r.endingAttempt, r.holdUntil = 0, time.Time{}
	if r.stage == StageQueue && !r.resumeAt.IsZero() {
		r.resumeAt = s.now
		s.resumeNow(r)
	}
}
