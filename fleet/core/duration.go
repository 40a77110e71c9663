package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// durationWindow is the time for which the longest run of a pool or model is remembered. It is
// remembered for up to twice this time, so that a stop that follows a calm minute knows it.
const durationWindow = 30 * time.Second

// streamSuffix follows the name of a pool in the key of the durations of its streams.
const streamSuffix = "/streams"

// runDurations holds statistics of how long the answers of one pool or model have taken.
type runDurations struct {
	mean     time.Duration // moving average
	current  time.Duration // longest run since the start of the current window
	previous time.Duration // longest run of the window before
	since    time.Time     // start of the current window
}

func (d runDurations) longest() time.Duration { return max(d.current, d.previous) }

// durationKey returns the key of the durations of a route's answers: its model or its pool. Streams
// of a plain service are kept apart from its other calls, because they last longer.
func durationKey(route table.Route) id.Pool {
	switch {
	case route.Model != "":
		return id.Pool(route.Model)
	case route.Streams:
		return route.Pool + streamSuffix
	default:
		return route.Pool
	}
}

// recordDuration adds an answer to the statistics of its route's pool or model.
func (s *step) recordDuration(route table.Route, took time.Duration) {
	key := durationKey(route)
	d, ok := s.durations[key]
	switch age := s.now.Sub(d.since); {
	case !ok:
		d = runDurations{mean: took, since: s.now}
	case age >= 2*durationWindow:
		d.current, d.previous, d.since = 0, 0, s.now
	case age >= durationWindow:
		d.current, d.previous, d.since = 0, d.current, s.now
	}
	d.mean = time.Duration(latencyDecay*float64(d.mean) + (1-latencyDecay)*float64(took))
	d.current = max(d.current, took)
	s.durations[key] = d
}

// longestRun returns the longest time that an answer of a route's pool or model has taken lately,
// or that a run which has no complete answer yet has taken until now.
func (s *step) longestRun(route table.Route) time.Duration {
	key := durationKey(route)
	longest := s.durations[key].longest()
	for _, r := range s.requests {
		if r.stage == StageCall && r.dispatched && durationKey(r.route) == key {
			longest = max(longest, s.now.Sub(r.callStarted))
		}
	}
	return longest
}
