package core

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/quarantine"
)

// partQuarantine marks log lines about quarantined prompt segments.
const partQuarantine = "quarantine"

// provenEvents is the number of events after which an attempt has not crashed its engine by
// beginning to answer the prompt.
const provenEvents = 8

// maxTracedSegments bounds the segments, from the end of the prompt, that a trace names.
const maxTracedSegments = 16

// recordBrokenRun reports a stream that has broken off, unless it had produced enough output
// to prove the prompt sound.
func (s *step) recordBrokenRun(r *request, ev RunFailed) {
	if len(r.Segments) == 0 || ev.HasReply || ev.Alive || ev.Code == codeStalled {
		return
	}
	if r.delivered-r.decodeFrom >= provenEvents {
		s.recordAnswer(r, "")
		return
	}
	m := message.CrashReport{Endpoint: ev.Endpoint, Segments: r.Segments, Zone: s.zoneOf(ev.Endpoint)}
	if r.SegmentsTruncated {
		m.Segments, m.Truncated = nil, true
	}
	s.endProbe(r, quarantine.ProbeCrashed)
	if !quarantine.AllowReport(s.quarantine, s.now, len(m.Segments)) {
		return
	}
	s.handleCrashReport(m)
	s.broadcast("", m)
}

// zoneOf returns the availability zone of an endpoint, or an empty name if the table does not
// have the endpoint.
func (s *step) zoneOf(ep id.Endpoint) id.Zone {
	e := s.snapshot().Endpoints[ep]
	return cmp.Or(e.AZ, e.Zone)
}

// recordAnswer records an answer to the prompt of a request. ep is the endpoint if its answer
// is complete, and empty if it has broken off.
func (s *step) recordAnswer(r *request, ep id.Endpoint) {
	if m, ok := quarantine.Answered(s.quarantine, s.now, ep, r.Segments); ok {
		s.send(s.hostViews().arbiter, m)
	}
}

func (s *step) handleCrashReport(m message.CrashReport) {
	quarantine.Report(s.quarantine, s.now, m)
	if rebuttal, ok := quarantine.Objection(s.quarantine, s.now, m); ok {
		s.send(s.hostViews().arbiter, rebuttal)
	}
}

func (s *step) handleCrashRebuttal(m message.CrashRebuttal) {
	released := quarantine.Rebut(s.quarantine, s.now, m)
	for _, segment := range released {
		s.logQuarantine(LogWarn, "Quarantine of a prompt segment was ended, because it has been answered.", segment)
	}
	if len(released) > 0 {
		s.publishQuarantine()
	}
}

func (s *step) tickQuarantine() {
	if !quarantine.IsDue(s.quarantine, s.now) || s.hostViews().arbiter != s.cfg.Host {
		return
	}
	blocked := quarantine.Decide(s.quarantine, s.now)
	if len(blocked) == 0 {
		return
	}
	s.publishQuarantine()
	s.quarantined(blocked)
}

// publishQuarantine sends new decisions to all hosts and to the platform.
func (s *step) publishQuarantine() {
	s.broadcast("", s.heartbeat())
	var out []object.QuarantineEntry
	for _, e := range quarantine.Entries(s.quarantine, s.now) {
		out = append(out, object.QuarantineEntry{
			Segment: e.Segment.String(), Version: e.Version, Released: e.Released,
			UntilMS: s.wall.Add(e.Remaining).UnixMilli(), Provisional: e.Provisional, Probes: e.Probes,
		})
	}
	s.emit(PublishQuarantine{Entries: out})
}

// mergePublishedQuarantine adopts the decisions in the host list.
func (s *step) mergePublishedQuarantine(hosts []object.Host) {
	for _, h := range hosts {
		for _, e := range h.Quarantine {
			segment, err := id.ParseSegment(e.Segment)
			if err != nil {
				s.emit(Log{
					Level: LogWarn, Component: partQuarantine, Text: "Published prompt segment is invalid.", Host: h.Host, Code: e.Segment,
				})
				continue
			}
			s.mergeQuarantine([]message.QuarantineEntry{{
				Segment: segment, Version: e.Version, Released: e.Released, Remaining: time.UnixMilli(e.UntilMS).Sub(s.wall),
				Provisional: e.Provisional, Probes: e.Probes,
			}})
		}
	}
}

// mergeQuarantine adopts the decisions that another host knows.
func (s *step) mergeQuarantine(entries []message.QuarantineEntry) {
	if len(entries) == 0 {
		return
	}
	s.quarantined(quarantine.Merge(s.quarantine, s.now, entries))
}

// quarantined logs segments that are quarantined now, and refuses the requests with them that
// have not reached a decode engine.
func (s *step) quarantined(segments []id.Segment) {
	if len(segments) == 0 {
		return
	}
	for _, segment := range segments {
		s.logQuarantine(LogWarn, "Prompt segment is quarantined, because engines crash under it.", segment)
	}
	for _, r := range s.sortedRequests() {
		if r.stage == StageDecode || r.stage == StageCall {
			continue
		}
		if slices.ContainsFunc(segments, func(segment id.Segment) bool { return slices.Contains(r.Segments, segment) }) {
			s.refuseQuarantined(r)
		}
	}
}

func (s *step) logQuarantine(level LogLevel, text string, segment id.Segment) {
	s.emit(Log{Level: level, Component: partQuarantine, Text: text, Code: segment.String()})
}

// refuseQuarantined refuses a request if its prompt has a quarantined segment, and reports
// whether it did.
func (s *step) refuseQuarantined(r *request) bool {
	segment, remaining, ok := s.findQuarantined(r)
	if !ok {
		return false
	}
	r.addTrace(s.now, "segment %s is quarantined", segment)
	s.refuse(r, CodeQuarantined, "engines crash under a part of this prompt", remaining)
	return true
}

func (s *step) findQuarantined(r *request) (id.Segment, time.Duration, bool) {
	return quarantine.Find(s.quarantine, s.now, r.Segments)
}
