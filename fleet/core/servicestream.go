package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

// A route of streams may lead to a plain service. Such a stream is a service call whose answer
// arrives event by event. Once its endpoint may have run it, it is not resumed elsewhere: a
// service can't be asked to stop a run, so that two runs could be at work. Its connection is
// closed, and the caller may resume it.
//
// The speed of an endpoint shows in the time to the first event. How long a stream lasts depends on
// its length, so that package pace learns nothing from streams.

// isStreaming reports whether events of the current attempt may arrive.
func (r *request) isStreaming() bool {
	return r.stage == StageDecode || r.stage == StageCall && r.route.Streams
}

// currentStream returns the request if attempt is its current attempt and may deliver events.
func (s *step) currentStream(req id.Request, attempt id.Attempt) (*request, bool) {
	r, ok := s.requests[req]
	if !ok || r.attempt != attempt || !r.isStreaming() {
		return nil, false
	}
	return r, true
}

// callLatency returns how long the endpoint of the current call has taken to answer, or to send the
// first event of a stream.
func (s *step) callLatency(r *request) time.Duration {
	if r.route.Streams && r.delivered > 0 {
		return r.firstToken.Sub(r.callStarted)
	}
	return s.now.Sub(r.callStarted)
}
