package pace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// historyLength is the number of intervals for which a collector keeps counts.
const historyLength = 8

// firstSummaryAfter is the number of intervals after which a new collector sends its first
// summary. By then each host with calls has reported at least once.
const firstSummaryAfter = 2

// Endpoint is an endpoint of a service, as the table has it.
type Endpoint struct {
	Name  id.Endpoint
	Slots int64 // concurrent calls; 0 is unknown
}

// Change says that a collector has begun or ceased to consider an endpoint slow or failing.
type Change struct {
	Endpoint id.Endpoint
	Kind     ChangeKind
	Began    bool
}

// ChangeKind is what a Change is about.
type ChangeKind uint8

// The kinds of changes.
const (
	Slow ChangeKind = iota
	Failing
)

// service is what a collector knows of a service.
type service struct {
	evaluatedAt time.Time
	summaryAt   time.Time     // earliest time of the next summary that changes nothing
	latency     time.Duration // mean of the endpoints in the last summary
	intervals   int           // evaluations so far, at most historyLength
	endpoints   map[id.Endpoint]*endpoint
	even        bool
}

// endpoint is what a collector knows of an endpoint.
type endpoint struct {
	slots    int64
	listed   bool                                 // the table has had it; a report may arrive before
	current  message.EndpointCalls                // since the last evaluation
	history  [historyLength]message.EndpointCalls // of the last intervals, newest first
	lastCall time.Time                            // last report that has counted a call
	judgement
}

// Collect adds a report to the counts of its service. Only the collector of the service calls it.
func Collect(s *State, now time.Time, m message.PaceReport) {
	if !s.cfg.Enabled {
		return
	}
	sv, ok := s.services[m.Service]
	if !ok {
		sv = &service{evaluatedAt: now, endpoints: make(map[id.Endpoint]*endpoint)}
		s.services[m.Service] = sv
		sv.adopt(now, s.summaries[m.Service], s.cfg.TTL)
	}
	for _, c := range m.Endpoints {
		sv.endpoint(c.Endpoint).add(now, c)
	}
}

// Summaries evaluates the counts that are due. It returns the summaries that all hosts should
// get, sorted by service, and what has changed. endpointsOf returns the active endpoints of a
// service, sorted by name, and false if another host collects for the service now.
func Summaries(
	s *State, now time.Time, endpointsOf func(id.Pool) ([]Endpoint, bool),
) (summaries []message.PaceSummary, changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		sv := s.services[name]
		if now.Sub(sv.evaluatedAt) < s.cfg.Interval {
			continue
		}
		eps, owned := endpointsOf(name)
		if !owned || now.Sub(sv.evaluatedAt) > 2*s.cfg.Interval {
			delete(s.services, name) // this host does not collect, or has paused: the counts are incomplete
			continue
		}
		sv.shift(s.cfg.Interval)
		changes = append(changes, sv.setEndpoints(eps)...)
		if sv.isIdle() {
			delete(s.services, name)
			continue
		}
		changes = append(changes, sv.judge(s.cfg.Interval)...)
		if m, ok := sv.summary(now, s.cfg); ok {
			m.Service = name
			summaries = append(summaries, m)
		}
	}
	return summaries, changes
}

// adopt takes over what the former collector has found, so that an endpoint that is slow or
// fails does not get a full share until it has been found out again.
func (sv *service) adopt(now time.Time, last received, ttl time.Duration) {
	if now.Sub(last.at) > ttl {
		return
	}
	for name, p := range last.endpoints {
		e := sv.endpoint(name)
		e.listed = true
		e.lastCall = now.Add(-p.Age)
		e.serviceTime = p.ServiceTime
		e.differs, e.slow, e.failing = p.Slow, p.Slow, p.Failing
	}
}

func (sv *service) endpoint(name id.Endpoint) *endpoint {
	e, ok := sv.endpoints[name]
	if !ok {
		e = new(endpoint)
		sv.endpoints[name] = e
	}
	return e
}

// names returns the names of the endpoints, sorted.
func (sv *service) names() []id.Endpoint { return slices.Sorted(maps.Keys(sv.endpoints)) }

// shift ends an interval. The next one begins at its end, also if the tick was late.
func (sv *service) shift(interval time.Duration) {
	sv.evaluatedAt = sv.evaluatedAt.Add(interval)
	sv.intervals = min(sv.intervals+1, historyLength)
	for _, e := range sv.endpoints {
		copy(e.history[1:], e.history[:])
		e.history[0] = e.current
		e.current = message.EndpointCalls{}
	}
}

// setEndpoints adds new endpoints, and removes those that are not in the table any more.
func (sv *service) setEndpoints(eps []Endpoint) []Change {
	var out []Change
	for _, name := range sv.names() {
		_, ok := slices.BinarySearchFunc(eps, name, func(e Endpoint, n id.Endpoint) int { return cmp.Compare(e.Name, n) })
		if ok {
			continue
		}
		out = append(out, sv.endpoints[name].ends(name)...)
		delete(sv.endpoints, name)
	}
	for _, ep := range eps {
		e := sv.endpoint(ep.Name)
		if !e.listed && sv.intervals >= firstSummaryAfter {
			e.cap = trialCap
		}
		e.listed, e.slots = true, ep.Slots
	}
	return out
}

// isIdle reports whether the service has got no call within the history.
func (sv *service) isIdle() bool {
	for _, e := range sv.endpoints {
		if e.sum(historyLength) != (message.EndpointCalls{}) {
			return false
		}
	}
	return true
}

// summary returns the summary to send, and false if none is due. A new collector waits until
// the reports of all hosts have arrived.
func (sv *service) summary(now time.Time, cfg Config) (message.PaceSummary, bool) {
	m := message.PaceSummary{Even: sv.isEven(), Endpoints: sv.paces(now, cfg.Interval)}
	latency := meanLatency(m.Endpoints)
	changed := max(ratio(latency, sv.latency), ratio(sv.latency, latency)) > changedRatio
	calm := sv.even && m.Even && !changed
	if sv.intervals < firstSummaryAfter || calm && now.Before(sv.summaryAt) {
		return message.PaceSummary{}, false
	}
	sv.even, sv.latency = m.Even, latency
	sv.summaryAt = now.Add(cfg.CalmInterval)
	return m, true
}

// paces describes all endpoints, sorted by name.
func (sv *service) paces(now time.Time, interval time.Duration) []message.EndpointPace {
	var out []message.EndpointPace
	shares := sv.shares(interval)
	for _, name := range sv.names() {
		e := sv.endpoints[name]
		recent := e.recent(interval)
		out = append(out, message.EndpointPace{
			Endpoint: name, PerSecond: recent.perSecond(), Concurrency: recent.concurrency(),
			ServiceTime: e.serviceTime, FailureRate: e.failureRate, Age: e.age(now),
			Share: shares[name].part, Room: shares[name].room, Slow: e.slow, Failing: e.failing,
			Latency: min(max(e.serviceTime, recent.latency()), recent.longestKnown(time.Duration(sv.intervals)*interval)),
		})
	}
	return out
}

func meanLatency(paces []message.EndpointPace) time.Duration {
	var total time.Duration
	for _, p := range paces {
		total += p.Latency
	}
	return total / time.Duration(max(len(paces), 1))
}

// add adds counts of one host.
func (e *endpoint) add(now time.Time, c message.EndpointCalls) {
	e.current = plus(e.current, c)
	if c.Answered+c.Failed+c.Refused > 0 {
		e.lastCall = now
	}
}

// age returns the time since the last call that has ended, or 0 if there was none.
func (e *endpoint) age(now time.Time) time.Duration {
	if e.lastCall.IsZero() {
		return 0
	}
	return now.Sub(e.lastCall)
}

// sum adds up the counts of the last intervals.
func (e *endpoint) sum(intervals int) message.EndpointCalls {
	var out message.EndpointCalls
	for _, c := range e.history[:intervals] {
		out = plus(out, c)
	}
	return out
}

func plus(a, b message.EndpointCalls) message.EndpointCalls {
	a.Answered += b.Answered
	a.Failed += b.Failed
	a.Refused += b.Refused
	a.AnswerTime += b.AnswerTime
	a.Outstanding += b.Outstanding
	return a
}
