package core

import "ragwortshunt.example/fleet/quarantine"

// probeState is the progress of a request that tests a provisional quarantine.
type probeState int

const (
	probeNone probeState = iota
	probeAdmitted
	probeSent // an endpoint has been asked to work on it
)

// admitProbe reports whether a request is let through, although a segment of its prompt is
// quarantined, to find out whether engines crash under it. Only the arbiter does so, so that
// hosts need not agree on each request.
func (s *step) admitProbe(r *request) bool {
	if s.hostViews().arbiter != s.cfg.Host || r.isService() || !r.relayed || r.SegmentsTruncated {
		return false
	}
	segment, ok := quarantine.StartProbe(s.quarantine, s.now, r.Segments)
	if !ok {
		return false
	}
	r.probe, r.probed = probeAdmitted, segment
	r.addTrace(s.now, "probes the quarantine of segment %s", segment)
	return true
}

// sendProbe records that a request reaches an endpoint, and reports whether it may. A probe
// reaches one endpoint at most.
func (s *step) sendProbe(r *request) bool {
	if r.probe == probeNone {
		return true
	}
	if r.probe == probeAdmitted && quarantine.CountProbe(s.quarantine, s.now, r.probed) {
		r.probe = probeSent
		s.publishQuarantine()
		return true
	}
	return !s.refuseQuarantined(r)
}

// checkProbe ends the quarantine of a segment as soon as enough of the answer to a probe has
// arrived.
func (s *step) checkProbe(r *request) {
	if r.probe != probeNone && r.delivered-r.decodeFrom >= provenEvents {
		s.recordAnswer(r, "")
		s.endProbe(r, quarantine.ProbeInconclusive)
	}
}

// endProbe records the outcome of a request that is a probe.
func (s *step) endProbe(r *request, outcome quarantine.ProbeOutcome) {
	if r.probe == probeNone {
		return
	}
	r.probe = probeNone
	if outcome == quarantine.ProbeCrashed {
		s.logQuarantine(LogWarn, "Quarantine of a prompt segment was confirmed by a probe.", r.probed)
	}
	if quarantine.EndProbe(s.quarantine, s.now, r.probed, outcome) {
		s.publishQuarantine()
	}
}

// probeFailed ends a probe whose attempt has failed, unless recordBrokenRun has.
func (s *step) probeFailed(r *request, ev RunFailed) {
	if r.stage == StagePrefill && ev.Unreachable {
		s.endProbe(r, quarantine.ProbeUnreached)
		return
	}
	s.endProbe(r, quarantine.ProbeInconclusive)
}
