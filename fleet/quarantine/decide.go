package quarantine

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
)

// sameMoment is the time within which crashes count as one: what ends several endpoints at
// the same moment may be a fault of a machine or a rack.
const sameMoment = 100 * time.Millisecond

// suspect is a segment under which endpoints have broken off since it was last answered.
type suspect struct {
	segment  id.Segment
	crashed  endpointSet
	crashes  []time.Time // one for each endpoint
	moments  []time.Time // of the crashes, without those at the same moment as another
	zones    map[id.Zone]bool
	position int  // largest index in a prompt
	answered bool // before the crashes
}

// IsDue reports whether it is time to decide about new reports.
func IsDue(s *State, now time.Time) bool { return !s.decideAt.IsZero() && !now.Before(s.decideAt) }

// Decide quarantines segments as the reports suggest, and returns them. Only the arbiter
// calls it, when IsDue. A segment must explain Config.Crashes crashes. If other segments of the same
// prompts explain them as well, more crashes are awaited first, because prompts rarely have
// all their segments in common. Then the segment closest to the end of the prompt is chosen:
// the beginning of a prompt is common to more requests, most of which are sound.
//
// Requests with a crashing segment may arrive together and end many endpoints at the same
// moment, as a failed rack does. Such crashes are counted one by one if they are too far apart
// for one rack and have nothing else in common (isWidespread). Such a decision is provisional:
// a failure of several zones looks the same (StartProbe).
func Decide(s *State, now time.Time) []id.Segment {
	var out []id.Segment
	s.dropOldReports(now)
	s.decideAt = s.nextDecision(now)
	for len(s.reports) >= s.cfg.Crashes {
		segment, v := s.mostSuspect(now)
		if v == verdictNone {
			break
		}
		s.block(now, segment, v == verdictProvisional)
		out = append(out, segment)
	}
	return out
}

// nextDecision returns when the objections to the reports of the last Config.Wait should have
// arrived, or the zero time if there are no such reports.
func (s *State) nextDecision(now time.Time) time.Time {
	for _, r := range s.reports {
		if due := r.receivedAt.Add(s.cfg.Wait); due.After(now) {
			return due
		}
	}
	return time.Time{}
}

// verdict says whether a suspect should be quarantined.
type verdict int

const (
	verdictNone        verdict = iota
	verdictProvisional         // it rests on crashes at the same moment
	verdictCertain
)

// mostSuspect returns the segment that should be quarantined next, if there is one.
func (s *State) mostSuspect(now time.Time) (id.Segment, verdict) {
	suspects := s.suspects(now)
	for i := range suspects.list {
		if v := s.judge(now, i, suspects); v != verdictNone {
			return suspects.list[i].segment, v
		}
	}
	return 0, verdictNone
}

// judge returns the verdict about the i-th suspect. The suspects that explain the
// same crashes are looked for last, because prompts may have thousands of segments.
func (s *State) judge(now time.Time, i int, suspects *suspectList) verdict {
	x := &suspects.list[i]
	isPast := func(crashes []time.Time, n int) bool {
		return len(crashes) >= n && now.Sub(crashes[n-1]) >= s.cfg.Wait
	}
	if isPast(x.moments, s.cfg.CertainCrashes) {
		return verdictCertain
	}
	if x.answered {
		return verdictNone
	}
	v := verdictNone
	switch {
	case isPast(x.moments, s.cfg.Crashes):
		v = verdictCertain
	case isPast(x.crashes, s.cfg.CertainCrashes) && s.isWidespread(x, suspects):
		v = verdictProvisional
	}
	if v == verdictNone || suspects.hasRival(i) {
		return verdictNone
	}
	return v
}

// isWidespread reports whether the endpoints that crashed under x lie in several zones, and
// are more than those that crashed at these times without it. A failed rack ends the
// endpoints of one zone, and a larger failure also ends endpoints that have not got x.
func (s *State) isWidespread(x *suspect, suspects *suspectList) bool {
	if len(x.zones) < 2 {
		return false
	}
	from, to := x.crashes[0].Add(-sameMoment), x.crashes[len(x.crashes)-1].Add(sameMoment)
	others := make(map[id.Endpoint]bool)
	for _, r := range s.reports {
		if !r.receivedAt.Before(from) && !r.receivedAt.After(to) && !x.crashed.has(suspects.indexes[r.endpoint]) {
			others[r.endpoint] = true
		}
	}
	return len(x.crashes) > len(others)
}

// suspects returns all suspects with enough reports in the order in which they are considered:
// those that have not been answered first, then by the number of crashes and the position in the
// prompt.
func (s *State) suspects(now time.Time) *suspectList {
	indexes := make(map[id.Endpoint]int)
	for _, r := range s.reports {
		if _, ok := indexes[r.endpoint]; !ok {
			indexes[r.endpoint] = len(indexes)
		}
	}
	count := make(map[id.Segment]int)
	for _, r := range s.reports {
		for _, segment := range r.segments {
			count[segment]++
		}
	}
	found := make(map[id.Segment]*suspect)
	for _, r := range s.reports {
		for i, segment := range r.segments {
			if count[segment] >= s.cfg.Crashes {
				s.addCrash(now, found, r, indexes[r.endpoint], i, segment)
			}
		}
	}
	out := make([]suspect, 0, len(found))
	for _, x := range found {
		out = append(out, *x)
	}
	slices.SortFunc(out, func(a, b suspect) int {
		if a.answered != b.answered {
			if b.answered {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(len(b.moments), len(a.moments)),
			cmp.Compare(b.position, a.position),
			cmp.Compare(a.segment, b.segment),
		)
	})
	return newSuspectList(out, indexes)
}

// addCrash adds a report about the endpoint with the given index to the suspect of its i-th
// segment, unless the segment has been answered since.
func (s *State) addCrash(
	now time.Time, found map[id.Segment]*suspect, r report, endpoint, i int, segment id.Segment,
) {
	answeredAt, answered := s.answeredAt(now, segment)
	if answered && !answeredAt.Before(r.receivedAt) {
		return
	}
	x, ok := found[segment]
	if !ok {
		x = &suspect{segment: segment, zones: make(map[id.Zone]bool), answered: answered}
		found[segment] = x
	}
	x.position = max(x.position, i)
	if x.crashed.has(endpoint) {
		return
	}
	x.crashed.add(endpoint)
	x.crashes = append(x.crashes, r.receivedAt)
	if r.zone != "" {
		x.zones[r.zone] = true
	}
	if n := len(x.moments); n == 0 || r.receivedAt.Sub(x.moments[n-1]) >= sameMoment {
		x.moments = append(x.moments, r.receivedAt)
	}
}
