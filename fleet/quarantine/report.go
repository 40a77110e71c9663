package quarantine

import (
	"maps"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// aliveAfter is the time after a report from which an answer of the endpoint proves that
// it has not crashed. Earlier answers may have been on their way when it did.
const aliveAfter = 500 * time.Millisecond

// crashSpread is the time within which the reports of one crash arrive.
const crashSpread = 2 * time.Second

// Report records that a run on an endpoint has broken off before it had produced much
// output. A prompt that has a quarantined segment explains the crash, and says nothing about
// its other segments or other runs on the endpoint. The same holds for a prompt with unknown
// segments.
func Report(s *State, now time.Time, m message.CrashReport) {
	if len(m.Segments) == 0 && !m.Truncated {
		return
	}
	if _, _, ok := Find(s, now, m.Segments); ok || m.Truncated {
		s.explain(m.Endpoint, now)
		s.reports = slices.DeleteFunc(s.reports, func(r report) bool { return s.isExplained(r.endpoint, r.receivedAt) })
		return
	}
	if s.isExplained(m.Endpoint, now) {
		return
	}
	s.dropOldReports(now)
	s.dropExcessReports(len(m.Segments))
	s.reports = append(s.reports, report{endpoint: m.Endpoint, zone: m.Zone, segments: m.Segments, receivedAt: now})
	if s.decideAt.IsZero() {
		s.decideAt = now.Add(s.cfg.Wait)
	}
}

// Answered records that this host has received an answer to a prompt. ep is the endpoint if
// its answer is complete, and empty if it has broken off. Answered returns the objection that
// the arbiter should receive, and false if there is none. A host objects to a report once.
func Answered(s *State, now time.Time, ep id.Endpoint, segments []id.Segment) (message.CrashRebuttal, bool) {
	var out message.CrashRebuttal
	suspects := s.suspectsAmong(now, segments)
	for _, segment := range segments {
		if suspects[segment] || s.isBlocked(now, segment) {
			out.Answered = append(out.Answered, message.AnsweredSegment{Segment: segment})
		}
		s.recordAnswer(now, segment, now)
	}
	if s.isAlive(now, ep) {
		out.Endpoints = append(out.Endpoints, ep)
		s.dropReportsOf(out.Endpoints)
	}
	return out, len(out.Answered) > 0 || len(out.Endpoints) > 0
}

// Objection returns what this host objects to a report of another host: the segments that
// have been answered lately. It returns false if there are none.
func Objection(s *State, now time.Time, m message.CrashReport) (message.CrashRebuttal, bool) {
	var out message.CrashRebuttal
	for _, segment := range m.Segments {
		if at, ok := s.answeredAt(now, segment); ok {
			out.Answered = append(out.Answered, message.AnsweredSegment{Segment: segment, Age: now.Sub(at)})
		}
	}
	return out, len(out.Answered) > 0
}

// Rebut records an objection. It returns the segments whose quarantine ends with it.
func Rebut(s *State, now time.Time, m message.CrashRebuttal) []id.Segment {
	s.dropReportsOf(m.Endpoints)
	if s.decideAt.IsZero() && len(s.reports) > 0 {
		s.decideAt = now // another segment may explain the crashes alone now
	}
	var released []id.Segment
	for _, a := range m.Answered {
		at := now.Add(-max(a.Age, 0))
		s.recordAnswer(now, a.Segment, at)
		if s.release(now, a.Segment, at) {
			released = append(released, a.Segment)
		}
	}
	return released
}

// AllowReport reports whether this host may send a report with the given number of segments
// to all hosts. A cut link breaks off many runs at once, and says nothing about their prompts.
func AllowReport(s *State, now time.Time, segments int) bool {
	if now.Sub(s.reportsSince) >= time.Second {
		s.reportsSince, s.reportsSent, s.segmentsSent = now, 0, 0
	}
	s.reportsSent++
	s.segmentsSent += segments
	return s.reportsSent <= maxReportsPerSecond && s.segmentsSent <= maxSegmentsPerSecond
}

// dropExcessReports drops the oldest reports until there is room for one with the given
// number of segments. A report is never kept in part: its crash could be blamed on a sound
// segment.
func (s *State) dropExcessReports(segments int) {
	for _, r := range s.reports {
		segments += len(r.segments)
	}
	n := 0
	for n < len(s.reports) && (len(s.reports)-n >= maxReports || segments > maxReportSegments) {
		segments -= len(s.reports[n].segments)
		n++
	}
	s.reports = slices.Delete(s.reports, 0, n)
}

// explain records that a quarantined segment has crashed an endpoint.
func (s *State) explain(ep id.Endpoint, at time.Time) {
	maps.DeleteFunc(s.explained, func(_ id.Endpoint, other time.Time) bool { return at.Sub(other) > s.cfg.ReportTTL })
	if _, ok := s.explained[ep]; ok || len(s.explained) < maxReports {
		s.explained[ep] = at
	}
}

// isExplained reports whether a quarantined segment explains that an endpoint broke off.
func (s *State) isExplained(ep id.Endpoint, at time.Time) bool {
	explainedAt, ok := s.explained[ep]
	return ok && at.Sub(explainedAt).Abs() <= crashSpread
}

func (s *State) dropOldReports(now time.Time) {
	s.reports = slices.DeleteFunc(s.reports, func(r report) bool {
		return now.Sub(r.receivedAt) > s.cfg.ReportTTL
	})
}

// dropReportsOf drops the reports about endpoints that have not crashed.
func (s *State) dropReportsOf(eps []id.Endpoint) {
	s.reports = slices.DeleteFunc(s.reports, func(r report) bool { return slices.Contains(eps, r.endpoint) })
}

// suspectsAmong returns those segments about which there is a report since their last answer.
func (s *State) suspectsAmong(now time.Time, segments []id.Segment) map[id.Segment]bool {
	if len(s.reports) == 0 {
		return nil
	}
	answered := make(map[id.Segment]time.Time, len(segments))
	for _, segment := range segments {
		answered[segment], _ = s.answeredAt(now, segment)
	}
	out := make(map[id.Segment]bool)
	for _, r := range s.reports {
		for _, segment := range r.segments {
			if at, ok := answered[segment]; ok && !r.receivedAt.Before(at) {
				out[segment] = true
			}
		}
	}
	return out
}

// isAlive reports whether an answer at now contradicts a report about an endpoint.
func (s *State) isAlive(now time.Time, ep id.Endpoint) bool {
	return slices.ContainsFunc(s.reports, func(r report) bool {
		return r.endpoint == ep && now.Sub(r.receivedAt) > aliveAfter
	})
}

// recordAnswer records that a segment was answered at a time that is not after now.
func (s *State) recordAnswer(now time.Time, segment id.Segment, at time.Time) {
	if now.Sub(s.answersSince) > s.cfg.AnswerTTL/2 || len(s.answered) >= maxAnswers {
		s.answeredBefore, s.answered = s.answered, make(map[id.Segment]time.Time)
		s.answersSince = now
	}
	if known, ok := s.answeredAt(now, segment); !ok || known.Before(at) {
		s.answered[segment] = at
	}
}

// answeredAt returns when a segment was last answered, and false if that is unknown or
// longer ago than Config.AnswerTTL.
func (s *State) answeredAt(now time.Time, segment id.Segment) (time.Time, bool) {
	at, ok := s.answered[segment]
	if !ok {
		at, ok = s.answeredBefore[segment]
	}
	return at, ok && now.Sub(at) <= s.cfg.AnswerTTL
}
