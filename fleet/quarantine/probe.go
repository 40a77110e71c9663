package quarantine

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

// maxProbes bounds the probes of one quarantine on all hosts together: the platform allows three
// further requests with a crashing segment.
const maxProbes = 3

// probeInterval is the time from a provisional decision, or from the end of a probe, to the next
// probe.
const probeInterval = 2 * time.Second

// ProbeOutcome is what a probe that was not answered has shown.
type ProbeOutcome int

// The outcomes of probes.
const (
	ProbeInconclusive ProbeOutcome = iota
	ProbeUnreached                 // it was counted, but has not reached an engine
	ProbeCrashed                   // its engine has broken off
)

// StartProbe reports whether a request may reach an engine although its prompt has a quarantined
// segment, which it returns. Only the arbiter calls it. A decision that rests on crashes at the
// same moment may be wrong, and without a probe no answer could release the segment.
func StartProbe(s *State, now time.Time, segments []id.Segment) (id.Segment, bool) {
	if len(s.entries) == 0 {
		return 0, false
	}
	var probed id.Segment
	n := 0
	for _, segment := range segments {
		if s.isBlocked(now, segment) && (n == 0 || segment != probed) {
			probed = segment
			n++
		}
	}
	if n != 1 || !s.entries[probed].takesProbe(now) {
		return 0, false
	}
	s.entries[probed].probing = true
	return probed, true
}

// CountProbe counts a probe that is about to reach an engine, and reports whether it may. Other
// hosts must learn of it.
func CountProbe(s *State, now time.Time, segment id.Segment) bool {
	if !s.isBlocked(now, segment) {
		return false
	}
	e := s.entries[segment]
	if !e.provisional || !e.probing || e.probes >= maxProbes {
		return false
	}
	e.probes++
	e.version++
	return true
}

func (e *entry) takesProbe(now time.Time) bool {
	return e.provisional && !e.probing && e.probes < maxProbes && !now.Before(e.probeAt)
}

// EndProbe records the outcome of a probe, and reports whether other hosts must learn of it.
func EndProbe(s *State, now time.Time, segment id.Segment, outcome ProbeOutcome) bool {
	if !s.isBlocked(now, segment) || !s.entries[segment].provisional {
		return false
	}
	e := s.entries[segment]
	wasProbing := e.probing
	e.probing = false
	e.probeAt = now.Add(probeInterval)
	switch {
	case outcome == ProbeCrashed:
		e.provisional = false
	case outcome == ProbeUnreached && wasProbing:
		e.probes--
	default:
		return false
	}
	e.version++
	return true
}
