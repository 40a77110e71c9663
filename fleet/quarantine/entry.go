package quarantine

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// entry is the quarantine of one segment, or its end.
type entry struct {
	version  uint64 // grows with each decision about the segment
	released bool
	since    time.Time // when this host learned of it
	until    time.Time // end of the quarantine; a released entry is kept until then

	provisional bool      // the decision may be wrong; probes may reach engines
	probes      int       // that may have reached engines, on all hosts
	probing     bool      // a probe of this host is under way
	probeAt     time.Time // earliest time of the next probe
}

// Find returns the first quarantined segment of a prompt and the time that remains of its
// quarantine. It returns false if there is none.
func Find(s *State, now time.Time, segments []id.Segment) (id.Segment, time.Duration, bool) {
	if len(s.entries) == 0 {
		return 0, 0, false
	}
	for _, segment := range segments {
		if s.isBlocked(now, segment) {
			return segment, s.entries[segment].until.Sub(now), true
		}
	}
	return 0, 0, false
}

func (s *State) isBlocked(now time.Time, segment id.Segment) bool {
	e, ok := s.entries[segment]
	return ok && !e.released && now.Before(e.until)
}

// block quarantines a segment and drops the reports that it explains.
func (s *State) block(now time.Time, segment id.Segment, provisional bool) {
	s.decide(now, segment, entry{provisional: provisional, probeAt: now.Add(probeInterval)})
	s.dropReports(segment)
}

// dropReports drops the reports of the crashes that a quarantined segment explains, also
// those of other runs that were on the same endpoints.
func (s *State) dropReports(segment id.Segment) {
	for _, r := range s.reports {
		if slices.Contains(r.segments, segment) {
			s.explain(r.endpoint, r.receivedAt)
		}
	}
	s.reports = slices.DeleteFunc(s.reports, func(r report) bool {
		return slices.Contains(r.segments, segment) || s.isExplained(r.endpoint, r.receivedAt)
	})
}

// release ends the quarantine of a segment that has been answered since its beginning, and
// reports whether it did.
func (s *State) release(now time.Time, segment id.Segment, answeredAt time.Time) bool {
	if !s.isBlocked(now, segment) || !answeredAt.After(s.entries[segment].since) {
		return false
	}
	s.decide(now, segment, entry{released: true})
	return true
}

// decide stores a new decision about a segment, and sets its version and times.
func (s *State) decide(now time.Time, segment id.Segment, e entry) {
	e.version, e.since, e.until = 1, now, now.Add(s.cfg.Duration)
	if known, ok := s.entries[segment]; ok {
		e.version = known.version + 1
	}
	s.put(now, segment, e)
}

// put stores an entry. Entries that have ended are removed, and the one that ends first if
// there are too many.
func (s *State) put(now time.Time, segment id.Segment, e entry) {
	s.entries[segment] = &e
	for k, v := range s.entries {
		if !now.Before(v.until) {
			delete(s.entries, k)
		}
	}
	if len(s.entries) > maxEntries {
		list := s.sortedSegments()
		first := slices.MinFunc(list, func(a, b id.Segment) int { return s.entries[a].until.Compare(s.entries[b].until) })
		delete(s.entries, first)
	}
}

func (s *State) sortedSegments() []id.Segment {
	out := make([]id.Segment, 0, len(s.entries))
	for segment := range s.entries {
		out = append(out, segment)
	}
	slices.SortFunc(out, func(a, b id.Segment) int { return cmp.Compare(a, b) })
	return out
}

// Entries returns all entries, which heartbeats carry to other hosts.
func Entries(s *State, now time.Time) []message.QuarantineEntry {
	var out []message.QuarantineEntry
	for _, segment := range s.sortedSegments() {
		e := s.entries[segment]
		if now.Before(e.until) {
			out = append(out, message.QuarantineEntry{
				Segment: segment, Version: e.version, Released: e.released, Remaining: e.until.Sub(now),
				Provisional: e.provisional, Probes: e.probes,
			})
		}
	}
	return out
}

// Merge adopts the entries of another host that are newer than those of this host. It
// returns the segments that are quarantined by them and were not before.
func Merge(s *State, now time.Time, entries []message.QuarantineEntry) []id.Segment {
	var blocked []id.Segment
	for _, m := range entries {
		known, ok := s.entries[m.Segment]
		if m.Remaining <= 0 || ok && known.version >= m.Version {
			continue
		}
		// The clocks of hosts may differ.
		remaining := min(m.Remaining, s.cfg.Duration)
		wasBlocked := s.isBlocked(now, m.Segment)
		s.put(now, m.Segment, entry{
			version: m.Version, released: m.Released, since: now, until: now.Add(remaining),
			provisional: m.Provisional, probes: m.Probes, probeAt: now.Add(probeInterval),
		})
		if !m.Released && !wasBlocked {
			s.dropReports(m.Segment)
			blocked = append(blocked, m.Segment)
		}
	}
	return blocked
}
