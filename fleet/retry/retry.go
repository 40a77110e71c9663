// Package retry implements a fleet-wide retry budget, so that retries cannot multiply
// the load on a failing service.
//
// In each window the fleet may send at most Ratio retries per request, plus
// ExtraRetries. Each host applies Ratio to the requests it has received itself and adds
// an equal share of ExtraRetries, so the hosts need no coordination.
package retry

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

const (
	// intervalsPerWindow is the number of intervals into which a window is divided.
	intervalsPerWindow = 10
	// keptIntervals is the number of intervals that are kept. The newest interval is
	// still open, so covering a whole window takes one more than intervalsPerWindow.
	keptIntervals = intervalsPerWindow + 1
)

// Config is the retry budget of the whole fleet.
type Config struct {
	Ratio        float64       // retries per request
	Window       time.Duration // sliding window over which requests and retries are counted
	ExtraRetries int64         // additional retries per window, summed over all hosts
}

// State holds the request and retry counts of one host.
type State struct {
	cfg      Config
	services map[id.Pool]*counts
}

// counts holds the requests and retries of one service per interval of the window.
type counts struct {
	interval int64 // index of the newest interval, counted from the Unix epoch
	requests [keptIntervals]int64
	retries  [keptIntervals]int64
}

// New returns a State with no recorded requests or retries.
func New(cfg Config) *State {
	return &State{cfg: cfg, services: make(map[id.Pool]*counts)}
}

// CountRequest records a first dispatch to a service. Its retries are counted by Allow.
func CountRequest(s *State, now time.Time, service id.Pool) {
	if s.cfg.Window <= 0 {
		return
	}
	c := s.countsAt(now, service)
	c.requests[c.interval%keptIntervals]++
}

// Allow reports whether a request may be retried, and records the retry if so.
// hosts is the number of hosts that share the budget. A zero or negative Window
// disables the limit.
func Allow(s *State, now time.Time, service id.Pool, hosts int) bool {
	if s.cfg.Window <= 0 {
		return true
	}
	if !Available(s, now, service, hosts) {
		return false
	}
	c := s.countsAt(now, service)
	c.retries[c.interval%keptIntervals]++
	return true
}

// Available reports whether Allow would allow a retry.
func Available(s *State, now time.Time, service id.Pool, hosts int) bool {
	if s.cfg.Window <= 0 {
		return true
	}
	c := s.countsAt(now, service)
	allowed := s.cfg.Ratio*float64(c.windowRequests()) + float64(s.cfg.ExtraRetries)/float64(max(hosts, 1))
	return float64(sum(c.retries)+1) <= allowed
}

// countsAt returns the counts of a service after clearing expired intervals.
func (s *State) countsAt(now time.Time, service id.Pool) *counts {
	interval := now.UnixNano() / (int64(s.cfg.Window) / intervalsPerWindow)
	c, ok := s.services[service]
	if !ok {
		c = &counts{interval: interval}
		s.services[service] = c
	}
	for n := max(c.interval+1, interval-keptIntervals+1); n <= interval; n++ {
		c.requests[n%keptIntervals] = 0
		c.retries[n%keptIntervals] = 0
	}
	c.interval = max(c.interval, interval)
	return c
}

// windowRequests returns the requests of the newest intervalsPerWindow intervals. They
// span at most one window, because the newest interval is still open.
func (c *counts) windowRequests() int64 {
	oldest := (c.interval + 1) % keptIntervals
	return sum(c.requests) - c.requests[oldest]
}

func sum(values [keptIntervals]int64) int64 {
	var n int64
	for _, v := range values {
		n += v
	}
	return n
}
