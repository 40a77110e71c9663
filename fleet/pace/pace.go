// Package pace learns the speed and the failure rate of the endpoints of plain services from
// the calls of all hosts, and chooses endpoints by them.
//
// The load that it answers: many hosts share few calls, so that a host sees an endpoint less
// than once in two seconds. Its own calls tell it too late that an endpoint has become slow,
// fails part of its calls or does not answer.
//
// Each host counts its calls (Started, Ended) and reports the counts once per interval to the
// collector of the service (Reports). The collector adds up the reports (Collect), judges the
// endpoints and decides which part of the calls each of them gets. It tells all hosts once per
// interval (Summaries, Merge). A host chooses an endpoint for a call by these parts (Score).
// While the endpoints of a service do not differ noticeably, or without a recent summary, the
// package makes no choice.
//
// The functions are not safe for concurrent use.
package pace

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Config holds the parameters of a State. They should be equal on all hosts.
type Config struct {
	// Enabled turns the package on. Without it, no message is sent and no choice is made.
	Enabled bool
	// Interval is the time between two reports of a host, and between two summaries of a
	// collector.
	Interval time.Duration
	// CalmInterval is the time between two summaries while the endpoints of a service do not
	// differ. The summaries change nothing then.
	CalmInterval time.Duration
	// TTL is how long a summary is used.
	TTL time.Duration
}

// DefaultConfig returns the default parameters. The package is off.
func DefaultConfig() Config {
	return Config{Interval: 500 * time.Millisecond, CalmInterval: 2 * time.Second, TTL: 5 * time.Second}
}

// State holds what one host knows, and what it has collected as a collector. New creates it.
type State struct {
	cfg      Config
	calls    map[id.Endpoint]*calls
	reportAt time.Time // of the next report; zero while there is nothing to report

	services  map[id.Pool]*service // that this host collects for
	summaries map[id.Pool]received
}

// received is the last summary of a service.
type received struct {
	at        time.Time
	even      bool
	endpoints map[id.Endpoint]message.EndpointPace
}

// New returns a State without calls and summaries.
func New(cfg Config) *State {
	return &State{
		cfg:       cfg,
		calls:     make(map[id.Endpoint]*calls),
		services:  make(map[id.Pool]*service),
		summaries: make(map[id.Pool]received),
	}
}
