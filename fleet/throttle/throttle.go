// Package throttle enforces the request rate limits that overloaded endpoints announce. Such
// a limit holds for the sum of the requests of all hosts.
//
// The load that it answers: an overloaded endpoint announces a limit in its responses, below
// what the hosts together would send it. A host sees only the responses to its own requests,
// so it tells the others (Observe, Merge), also those that start later (News). An engine has one scheduler, which grants it no
// more than PerSecond. Calls to a plain service have no scheduler: a few hosts use the
// endpoint and divide its limit evenly (Hosts, Allows, Take). The others do not use it, so
// that the sum stays within the limit however many hosts there are.
//
// Cold endpoints have a limit too. All hosts know it from the platform, and it is a hard bound:
// see ColdBound.
//
// The functions are not safe for concurrent use.
package throttle

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Config holds the parameters of a State. They should be equal on all hosts.
type Config struct {
	// TTL is how long a limit holds after the last news of it. While it holds, some hosts
	// still send requests to the endpoint and learn of its end.
	TTL time.Duration
	// Refresh is the interval at which the hosts tell each other of a limit.
	Refresh time.Duration
	// Spread determines how many hosts use a limited service endpoint: this many seconds of
	// its rate. Each may send one request at any time, so that together they may send that
	// many at the same moment.
	Spread time.Duration
	// Cold bounds the requests to cold endpoints.
	Cold ColdBound
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{TTL: 30 * time.Second, Refresh: 5 * time.Second, Spread: 2 * time.Second}
}

// minChange is the relative change of a rate that other hosts are told at once.
const minChange = 0.1

// State holds the limits that one host knows. New creates it.
type State struct {
	cfg    Config
	limits map[id.Endpoint]*limit
	cold   map[id.Endpoint]*coldEndpoint
}

type limit struct {
	perSecond float64
	newsAt    time.Time // last news, from an answer or from another host
	toldAt    time.Time // last time that the hosts told each other

	// The part of this host.
	tokens     float64
	refilledAt time.Time
}

// New returns a State without limits.
func New(cfg Config) *State {
	return &State{cfg: cfg, limits: make(map[id.Endpoint]*limit), cold: make(map[id.Endpoint]*coldEndpoint)}
}

// Observe records what an answer of an endpoint says: the rate that it takes, or that it is
// not limited. It returns the message for the other hosts, and false if they need none.
func Observe(s *State, now time.Time, ep id.Endpoint, limited bool, perSecond float64) (message.EndpointLimit, bool) {
	m := message.EndpointLimit{Endpoint: ep, PerSecond: perSecond, Ended: !limited}
	known, ok := s.limits[ep]
	if m.Ended {
		delete(s.limits, ep)
		return m, ok
	}
	if ok && !differs(known.perSecond, perSecond) && now.Sub(known.toldAt) < s.cfg.Refresh {
		known.newsAt = now
		return message.EndpointLimit{}, false
	}
	s.set(now, ep, perSecond)
	return m, true
}

// Merge records what another host says. Other hosts may have used the whole rate of a limit
// that is older than this host's knowledge of it, so that the part of this host starts empty.
func Merge(s *State, now time.Time, m message.EndpointLimit) {
	if m.Ended {
		delete(s.limits, m.Endpoint)
		return
	}
	newsAt := now.Add(-max(m.Age, 0))
	known, ok := s.limits[m.Endpoint]
	if m.PerSecond < 0 || ok && known.newsAt.After(newsAt) {
		return
	}
	s.set(now, m.Endpoint, m.PerSecond)
	l := s.limits[m.Endpoint]
	l.newsAt = newsAt
	if !ok && m.Age > 0 {
		l.tokens = 0
	}
}

func (s *State) set(now time.Time, ep id.Endpoint, perSecond float64) {
	l, ok := s.limits[ep]
	if !ok {
		l = &limit{tokens: 1, refilledAt: now}
		s.limits[ep] = l
	}
	l.perSecond = perSecond
	l.newsAt, l.toldAt = now, now
}

// News returns what this host knows, as messages for a host that may know none of it, sorted
// by endpoint.
func News(s *State, now time.Time) []message.EndpointLimit {
	out := make([]message.EndpointLimit, 0, len(s.limits))
	for ep, l := range s.limits {
		out = append(out, message.EndpointLimit{Endpoint: ep, PerSecond: l.perSecond, Age: now.Sub(l.newsAt)})
	}
	slices.SortFunc(out, func(a, b message.EndpointLimit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func differs(a, b float64) bool {
	return max(a, b)-min(a, b) > minChange*max(a, b)
}

// Expire removes the limits without recent news and returns their endpoints.
func Expire(s *State, now time.Time) []id.Endpoint {
	var out []id.Endpoint
	for ep, l := range s.limits {
		if now.Sub(l.newsAt) > s.cfg.TTL {
			delete(s.limits, ep)
			out = append(out, ep)
		}
	}
	return out
}

// All returns the requests per second of all endpoints with a limit.
func All(s *State) map[id.Endpoint]float64 {
	out := make(map[id.Endpoint]float64, len(s.limits))
	for ep, l := range s.limits {
		out[ep] = l.perSecond
	}
	return out
}

// PerSecond returns the limit of an endpoint in requests per second, for all hosts together,
// and false if it has none.
func PerSecond(s *State, ep id.Endpoint) (float64, bool) {
	l, ok := s.limits[ep]
	if !ok {
		return 0, false
	}
	return l.perSecond, true
}
