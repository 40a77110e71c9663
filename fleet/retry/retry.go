// Package retry bounds the repeated dispatches of all hosts together, so that
// retries cannot multiply the load of a service that fails.
//
// In each window the fleet may repeat Ratio times its requests plus Extra. A host
// repeats Ratio times the requests that it has taken itself, plus an equal share
// of Extra: the hosts stay within the bound without exchanging messages.
package retry

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

const (
	// partCount is the number of parts into which a window is divided.
	partCount = 10
	// keptParts is the number of parts that are kept. The newest part is not over
	// yet, so that one more than a window's parts cover any whole window.
	keptParts = partCount + 1
)

// Config is the budget of the whole fleet.
type Config struct {
	Ratio  float64       // repeats per request
	Window time.Duration // span over which requests and repeats are counted
	Extra  int64         // repeats per window on top, over all hosts
}

// State holds the counts of one host.
type State struct {
	cfg      Config
	services map[id.Pool]*counts
}

// counts are the requests and repeats of one service, by parts of a window.
type counts struct {
	part     int64 // number of the newest part since the epoch
	requests [keptParts]int64
	repeats  [keptParts]int64
}

// New returns a state without counts.
func New(cfg Config) *State {
	return &State{cfg: cfg, services: make(map[id.Pool]*counts)}
}

// Request counts a request for a service.
func Request(s *State, now time.Time, service id.Pool) {
	if s.cfg.Window <= 0 {
		return
	}
	c := s.at(now, service)
	c.requests[c.part%keptParts]++
}

// Take tells whether a request may be dispatched once more, and counts the repeat
// if so. hosts is the number of hosts that share the budget. A budget without a
// window has no bound.
func Take(s *State, now time.Time, service id.Pool, hosts int) bool {
	if s.cfg.Window <= 0 {
		return true
	}
	c := s.at(now, service)
	allowed := s.cfg.Ratio*float64(c.windowRequests()) + float64(s.cfg.Extra)/float64(max(hosts, 1))
	if float64(sum(c.repeats)+1) > allowed {
		return false
	}
	c.repeats[c.part%keptParts]++
	return true
}

// at returns the counts of a service, with the parts cleared that have left the
// window.
func (s *State) at(now time.Time, service id.Pool) *counts {
	part := now.UnixNano() / (int64(s.cfg.Window) / partCount)
	c, ok := s.services[service]
	if !ok {
		c = &counts{part: part}
		s.services[service] = c
	}
	for n := max(c.part+1, part-keptParts+1); n <= part; n++ {
		c.requests[n%keptParts] = 0
		c.repeats[n%keptParts] = 0
	}
	c.part = max(c.part, part)
	return c
}

// windowRequests returns the requests of the last window or less.
func (c *counts) windowRequests() int64 {
	oldest := (c.part + 1) % keptParts
	return sum(c.requests) - c.requests[oldest]
}

func sum(values [keptParts]int64) int64 {
	var n int64
	for _, v := range values {
		n += v
	}
	return n
}
