package core

import (
	"time"

	"ragwortshunt.example/fleet/table"
)

// decodeGrace is how long a decode may still be sent to an engine that has announced to leave
// or asked for a pause during the prefill. A prefill of usual length then needs no repetition.
// An engine takes requests for 2 s after its announcement, of which this host may learn late,
// and for 0.5 s after it has asked for a pause.
const decodeGrace = 400 * time.Millisecond

// checkDecodeEngine records since when the decode engine of a running prefill takes no requests
// of this host.
func (s *step) checkDecodeEngine(r *request) {
	switch {
	case r.stage != StagePrefill:
	case s.firstUnusable(r.decode) == "":
		r.decodeUnusableSince = time.Time{}
	case r.decodeUnusableSince.IsZero():
		r.decodeUnusableSince = s.now
	}
}

// decodeIsLate reports whether the decode engine of a finished prefill has taken no requests
// for longer than decodeGrace.
func (s *step) decodeIsLate(r *request) bool {
	s.checkDecodeEngine(r)
	since := r.decodeUnusableSince
	return !since.IsZero() && s.now.Sub(since) > decodeGrace
}

// leaveDecode ends an attempt whose decode engine takes no requests any more, and requests
// another one. The KV cache of its prefill is freed: it does not live long enough for the wait
// for another decode slot.
func (s *step) leaveDecode(r *request, prefill table.Endpoint, kv string) {
	if !r.relayed {
		s.attemptFailed(r, r.decode, CodeNoEndpoint, false)
		return
	}
	s.emit(CancelRun{Request: r.Request, Attempt: r.attempt, Endpoint: r.prefill, Address: prefill.Address, KV: kv})
	s.relayFailed(r, RunFailed{
		Request: r.Request, Attempt: r.attempt, Endpoint: r.decode, Code: CodeNoEndpoint, NotRun: true,
	})
}
