package pace

import (
	"math"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	// recentCalls is the number of calls that a measurement of the present speed needs.
	recentCalls = 4
	// minRecentIntervals and maxRecentIntervals bound the time of such a measurement. Reports
	// of one interval alone do not cover all hosts.
	minRecentIntervals = 2
	maxRecentIntervals = 4
	// changedRatio is the ratio of the recent to the average service time above which the
	// recent one counts. Smaller differences are noise of few calls.
	changedRatio = 1.4
	// changedDeviations is the number of standard deviations by which it must differ besides.
	changedDeviations = 2
	// differingRatio is the ratio of service times below which endpoints count as equal.
	differingRatio = 1.2
	// durationSpread is the standard deviation of the durations of calls, as a part of their
	// mean, that is assumed. A mean of n calls deviates by durationSpread/sqrt(n).
	durationSpread = 0.7
	// differingDeviations is the number of such deviations above which endpoints differ. With 3,
	// services with few calls had several false alarms a minute.
	differingDeviations = 4
	// certainRatio is the ratio above which one evaluation is enough to tell that an endpoint
	// differs. Below it, and for the end of a difference, votesNeeded agree.
	certainRatio = 1.5
	votesNeeded  = 2
	// failingExcess is the excess failure rate above which an endpoint is failing, and
	// recoveredExcess that below which it is no longer.
	failingExcess   = 0.15
	recoveredExcess = 0.1
	// failingCalls is the number of calls from which the failure rate of an endpoint is
	// judged, and recoveredCalls the same for its recovery.
	failingCalls   = 12
	recoveredCalls = 8
	// failingDeviations is the number of standard deviations by which the failure rate must
	// exceed that of the others. At 3, chance alone exceeds it once in 740 evaluations, which
	// is about once a minute for six endpoints.
	failingDeviations = 4
	// minFailureRate is the least failure rate that is assumed for the standard deviation. With
	// half of it, a service with 8 calls per second and endpoint had false alarms.
	minFailureRate = 0.1
	// fullUtilization is the part of its slots from which an endpoint may refuse calls because
	// it is full.
	fullUtilization = 0.5
	// hangTime is the outstanding time without an end of a call from which an endpoint counts
	// as slow.
	hangTime = 500 * time.Millisecond
	// defaultSlots is assumed for endpoints whose registration does not state their slots.
	defaultSlots = 8
)

// judgement is what a collector thinks of an endpoint.
type judgement struct {
	serviceTime time.Duration // without queueing; 0 is unknown
	measured    int64         // calls that serviceTime is the mean of
	failureRate float64
	differs     bool // its service time differs from that of the others
	slow        bool // it differs and is slower
	failing     bool
	votes       int     // evaluations in a row that contradict differs
	failVotes   int     // evaluations in a row that contradict failing
	successes   int64   // answered calls since failing began, or since the last interval with a failure
	probing     float64 // factor of the rate of probes; 0 stands for 1
	cap         float64 // largest share as a multiple of an even share; 0 means none
}

// measurement holds counts with the time that they cover.
type measurement struct {
	message.EndpointCalls
	span time.Duration
	busy time.Duration // sum of the times for which slots were in use
}

// ended returns the number of calls that the endpoint has worked on.
func (m measurement) ended() int64 { return m.Answered + m.Failed }

func (m measurement) perSecond() float64 { return float64(m.ended()) / m.span.Seconds() }

func (m measurement) concurrency() float64 { return m.Outstanding.Seconds() / m.span.Seconds() }

// isEmpty reports whether the counts tell nothing about the speed.
func (m measurement) isEmpty() bool { return m.ended() == 0 && m.Outstanding < hangTime }

// latency returns the mean time that calls take. By Little's law it is the outstanding time for
// each call that has ended. The durations of the answered calls count beside it, because quick
// failures say nothing about the speed.
func (m measurement) latency() time.Duration {
	if m.isEmpty() {
		return 0
	}
	out := m.Outstanding / time.Duration(max(m.ended(), 1))
	if m.Answered > 0 {
		out = max(out, m.AnswerTime/time.Duration(m.Answered))
	}
	return out
}

// longestKnown returns the longest latency that the counts prove if they have been collected for
// the given time: calls that have not ended have not been seen for longer. Soon after the start of
// a service, the outstanding time for each call that has ended exceeds the latency many times.
func (m measurement) longestKnown(collected time.Duration) time.Duration {
	return max(collected, m.AnswerTime/time.Duration(max(m.Answered, 1)))
}

// serviceTime returns the latency without queueing: the time for which slots were in use for
// each call that has ended. While there are no more calls than slots, it is the whole latency.
// Otherwise all slots are in use, and it is their number over the rate of ends.
func (m measurement) serviceTime() time.Duration {
	if m.isEmpty() {
		return 0
	}
	return m.busy / time.Duration(max(m.ended(), 1))
}

// over returns the measurement of the last intervals.
func (e *endpoint) over(intervals int, interval time.Duration) measurement {
	m := measurement{span: time.Duration(intervals) * interval}
	for _, c := range e.history[:intervals] {
		m.EndpointCalls = plus(m.EndpointCalls, c)
		m.busy += min(c.Outstanding, interval*time.Duration(e.concurrentCalls()))
	}
	return m
}

// concurrentCalls returns the number of slots.
func (e *endpoint) concurrentCalls() int64 {
	if e.slots <= 0 {
		return defaultSlots
	}
	return e.slots
}

// recent returns the shortest measurement that has enough calls.
func (e *endpoint) recent(interval time.Duration) measurement {
	m := e.over(minRecentIntervals, interval)
	for n := minRecentIntervals + 1; n <= maxRecentIntervals && m.ended() < recentCalls; n++ {
		m = e.over(n, interval)
	}
	return m
}

// judge judges all endpoints by the counts of the last intervals.
func (sv *service) judge(interval time.Duration) []Change {
	names := sv.names()
	before := make(map[id.Endpoint]judgement, len(names))
	base := sv.baseFailureRate(interval)
	for _, name := range names {
		e := sv.endpoints[name]
		before[name] = e.judgement
		e.measure(interval)
		e.judgeFailures(interval, base)
	}
	typical := sv.typicalServiceTime()
	var out []Change
	for _, name := range names {
		e, was := sv.endpoints[name], before[name]
		e.judgeSpeed(typical)
		e.adjustProbes()
		e.adjustCap(was.slow && (!e.slow || e.votes > 0) || was.failing && !e.failing)
		out = appendChange(out, name, Slow, was.slow, e.slow)
		out = appendChange(out, name, Failing, was.failing, e.failing)
	}
	return out
}

func appendChange(out []Change, name id.Endpoint, kind ChangeKind, was, is bool) []Change {
	if was == is {
		return out
	}
	return append(out, Change{Endpoint: name, Kind: kind, Began: is})
}

// ends returns the changes of an endpoint that leaves.
func (e *endpoint) ends(name id.Endpoint) []Change {
	out := appendChange(nil, name, Slow, e.slow, false)
	return appendChange(out, name, Failing, e.failing, false)
}

// measure updates the service time. The average over the history has less noise; the recent one
// is used if it differs much.
func (e *endpoint) measure(interval time.Duration) {
	recent, average := e.recent(interval), e.over(historyLength, interval)
	now, before := recent.serviceTime(), average.serviceTime()
	switch {
	case recent.ended() == 0:
		e.serviceTime = max(e.serviceTime, now) // calls that have not ended tell the least time only
	case now > 0 && max(ratio(now, before), ratio(before, now)) > max(changedRatio, noise(recent.ended(), changedDeviations)):
		e.serviceTime, e.measured = now, recent.ended()
	default:
		e.serviceTime, e.measured = before, average.ended()
	}
}

// noise returns the ratio by which a mean of n calls exceeds that of many by chance, at the given
// number of standard deviations.
func noise(n int64, deviations int) float64 {
	return 1 + float64(deviations)*durationSpread/math.Sqrt(float64(max(n, 1)))
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// typicalServiceTime returns the lower quartile of the known service times, or 0. Of three or four
// endpoints it is the second: the least of them is a mean of few calls, by chance often so low
// that the others seem slow. Failing endpoints do not count, because failures may be quick.
func (sv *service) typicalServiceTime() time.Duration {
	var known []time.Duration
	for _, e := range sv.endpoints {
		if e.serviceTime > 0 && !e.failing {
			known = append(known, e.serviceTime)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	n := len(known)
	return known[max((n-1)/4, min(1, (n-1)/2))]
}

// baseFailureRate returns the lower quartile of the failure rates of endpoints with enough
// calls, or 0. Calls fail at this rate on sound endpoints too.
func (sv *service) baseFailureRate(interval time.Duration) float64 {
	var known []float64
	for _, e := range sv.endpoints {
		if rate, n := e.failures(historyLength, interval); n >= failingCalls {
			known = append(known, rate)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/4]
}

// failures returns the part of the calls of the last intervals that have failed, and their
// number. Calls that a full endpoint refuses do not count: the others would get them, and be
// full and refuse calls in turn.
func (e *endpoint) failures(intervals int, interval time.Duration) (rate float64, n int64) {
	m := e.over(intervals, interval)
	failed := m.Failed
	n = m.ended()
	if m.concurrency() < fullUtilization*float64(e.concurrentCalls()) {
		failed += m.Refused
		n += m.Refused
	}
	return float64(failed) / float64(max(n, 1)), n
}

// judgeSpeed decides whether the service time differs from the typical one by more than chance
// explains.
func (e *endpoint) judgeSpeed(typical time.Duration) {
	if e.serviceTime == 0 || typical == 0 {
		return
	}
	slower := ratio(e.serviceTime, typical)
	factor := max(slower, 1/slower)
	deviations := differingDeviations
	if e.differs {
		deviations = 1
	}
	switch differs := factor > max(differingRatio, noise(e.measured, deviations)); {
	case differs == e.differs:
		e.votes = 0
	case differs && factor > certainRatio:
		e.votes = votesNeeded
	default:
		e.votes++
	}
	if e.votes >= votesNeeded {
		e.differs, e.votes = !e.differs, 0
	}
	e.slow = e.differs && slower > 1
}

// judgeFailures decides whether the failure rate exceeds the base rate noticeably, either
// lately or on average.
func (e *endpoint) judgeFailures(interval time.Duration, base float64) {
	e.failureRate, _ = e.failures(historyLength, interval)
	if !e.failing {
		e.failing = e.exceeds(minRecentIntervals, interval, base) || e.exceeds(historyLength, interval, base)
		e.failVotes, e.successes = 0, 0
		return
	}
	e.countSuccesses()
	intervals, sound := e.isSound(interval, base)
	if !sound {
		e.failVotes = 0
		return
	}
	e.failVotes++
	if e.failVotes >= votesNeeded {
		e.failing, e.failVotes = false, 0
		clear(e.history[intervals:]) // its failures would make it failing again
	}
}

// countSuccesses counts the answered calls of the last interval.
func (e *endpoint) countSuccesses() {
	last := e.history[0]
	if last.Failed+last.Refused > 0 {
		e.successes = 0
		return
	}
	e.successes += last.Answered
}

// exceeds reports whether the failure rate exceeds the base rate by more than chance explains.
func (e *endpoint) exceeds(intervals int, interval time.Duration, base float64) bool {
	rate, n := e.failures(intervals, interval)
	p := max(base, minFailureRate)
	noise := failingDeviations * math.Sqrt(p*(1-p)/float64(max(n, 1)))
	return n >= failingCalls && rate-base > max(failingExcess, noise)
}

// isSound reports whether the last calls to an endpoint do not fail noticeably more than others,
// and the number of the intervals in which there are enough of them. At low rates the history
// never has enough: probes are bounded by a part of an even share. Then the answered calls
// since the last failure count.
func (e *endpoint) isSound(interval time.Duration, base float64) (intervals int, sound bool) {
	for intervals = 1; intervals <= historyLength; intervals++ {
		rate, n := e.failures(intervals, interval)
		if n >= recoveredCalls {
			return intervals, rate-base < recoveredExcess
		}
	}
	return historyLength, e.successes >= recoveredCalls
}
