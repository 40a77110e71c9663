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
	crashed  map[id.Endpoint]bool
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
// for one rack and have nothing else in common (isWidespread).
func Decide(s *State, now time.Time) []id.Segment {
	var out []id.Segment
	s.dropOldReports(now)
	s.decideAt = s.nextDecision(now)
	for len(s.reports) >= s.cfg.Crashes {
		segment, ok := s.mostSuspect(now)
		if !ok {
			break
		}
		s.block(now, segment)
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

// mostSuspect returns the segment that should be quarantined next, if there is one.
func (s *State) mostSuspect(now time.Time) (id.Segment, bool) {
	suspects := s.suspects(now)
	for _, x := range suspects {
		if s.isProven(now, x, suspects) {
			return x.segment, true
		}
	}
	return 0, false
}

// isProven reports whether x, one of the suspects, should be quarantined.
func (s *State) isProven(now time.Time, x suspect, suspects []suspect) bool {
	rival := func(y suspect) bool {
		return y.segment != x.segment && !y.answered && containsAll(y.crashed, x.crashed)
	}
	if len(x.crashes) < s.cfg.Crashes {
		return false
	}
	isPast := func(crashes []time.Time, n int) bool {
		return len(crashes) >= n && now.Sub(crashes[n-1]) >= s.cfg.Wait
	}
	if x.answered || slices.ContainsFunc(suspects, rival) {
		return isPast(x.moments, s.cfg.CertainCrashes)
	}
	return isPast(x.moments, s.cfg.Crashes) || isPast(x.crashes, s.cfg.CertainCrashes) && s.isWidespread(x)
}

// isWidespread reports whether the endpoints that crashed under x lie in several zones, and
// are more than those that crashed at these times without it. A failed rack ends the
// endpoints of one zone, and a larger failure also ends endpoints that have not got x.
func (s *State) isWidespread(x suspect) bool {
	if len(x.zones) < 2 {
		return false
	}
	from, to := x.crashes[0].Add(-sameMoment), x.crashes[len(x.crashes)-1].Add(sameMoment)
	others := make(map[id.Endpoint]bool)
	for _, r := range s.reports {
		if !r.receivedAt.Before(from) && !r.receivedAt.After(to) && !x.crashed[r.endpoint] {
			others[r.endpoint] = true
		}
	}
	return len(x.crashed) > len(others)
}

// suspects returns all suspects with enough reports in the order in which they are considered: those that have
// not been answered first, then by the number of crashes and the position in the prompt.
func (s *State) suspects(now time.Time) []suspect {
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
				s.addCrash(now, found, r, i, segment)
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
	return out
}

// addCrash adds a report to the suspect of its i-th segment, unless the segment has been
// answered since.
func (s *State) addCrash(now time.Time, found map[id.Segment]*suspect, r report, i int, segment id.Segment) {
	answeredAt, answered := s.answeredAt(now, segment)
	if answered && !answeredAt.Before(r.receivedAt) {
		return
	}
	x, ok := found[segment]
	if !ok {
		x = &suspect{segment: segment, crashed: make(map[id.Endpoint]bool), zones: make(map[id.Zone]bool), answered: answered}
		found[segment] = x
	}
	x.position = max(x.position, i)
	if x.crashed[r.endpoint] {
		return
	}
	x.crashed[r.endpoint] = true
	x.crashes = append(x.crashes, r.receivedAt)
	if r.zone != "" {
		x.zones[r.zone] = true
	}
	if n := len(x.moments); n == 0 || r.receivedAt.Sub(x.moments[n-1]) >= sameMoment {
		x.moments = append(x.moments, r.receivedAt)
	}
}

func containsAll(set, subset map[id.Endpoint]bool) bool {
	for ep := range subset {
		if !set[ep] {
			return false
		}
	}
	return true
}
