package core

import "ragwortshunt.example/fleet/id"

// Abort ends a request after an error in the handling of one of its events. The effects of
// that event are lost, so the request may or may not have run. Its other work is cancelled.
func Abort(st *State, in Input, req id.Request) []Effect {
	s := &step{State: st, now: in.Now, wall: in.Wall, seed: in.Seed}
	r, ok := s.requests[req]
	if !ok {
		s.emit(Refuse{Request: req, Code: CodeInternal, Text: unexpectedText})
		s.emit(Closed{Request: req})
		return s.out
	}
	r.ranEarlier = true
	s.refuse(r, CodeInternal, unexpectedText, 0)
	return s.out
}

const unexpectedText = "an unexpected error has ended the request"

// RequestOf returns the request that an event of an adapter belongs to, or an empty ID.
func RequestOf(ev Event) id.Request {
	switch ev := ev.(type) {
	case RequestArrived:
		return ev.Request
	case CallerGone:
		return ev.Request
	case PrefillDone:
		return ev.Request
	case TokensArrived:
		return ev.Request
	case RunFailed:
		return ev.Request
	case RunStopped:
		return ev.Request
	case ServiceDone:
		return ev.Request
	default:
		return ""
	}
}
