package pace

import (
	"math"
	"time"

	"ragwortshunt.example/fleet/id"
)

const (
	// probesPerSecond is the rate of calls that an endpoint gets which should get none, so that
	// its recovery is noticed within two or three seconds.
	probesPerSecond = 3
	// maxProbing is the largest factor by which this rate is raised while the probes succeed.
	maxProbing = 8
	// maxProbeCap bounds these calls, as a part of an even share.
	maxProbeCap = 0.25
	// trialCap is the first share of an endpoint that is new or has recovered, as a part of an
	// even share. It doubles in each interval with answers.
	trialCap = 0.25
	// headroom is the factor by which the calls of the next interval may exceed the present ones.
	headroom = 1.05
	// waitExponent is the exponent of the utilization in the expected latency of an endpoint,
	// serviceTime / (1 - utilization^waitExponent). Endpoints with several slots queue late.
	waitExponent = 3
	// maxUtilization is the utilization above which calls are divided by capacity.
	maxUtilization = 0.95
	// levelSteps is the number of steps of the search for the common latency.
	levelSteps = 40
)

// share is the part of the calls that an endpoint should get, and the part of its capacity that
// stays free.
type share struct {
	part, room float64
}

// isEven reports whether the endpoints do not differ noticeably, so that they need no shares.
func (sv *service) isEven() bool {
	for _, e := range sv.endpoints {
		if e.differs || e.failing || e.cap > 0 {
			return false
		}
	}
	return true
}

// adjustCap limits the share of an endpoint that has recovered, and raises the limit of a new or
// recovered one while it answers.
func (e *endpoint) adjustCap(recovered bool) {
	switch {
	case recovered && e.cap == 0:
		e.cap = trialCap
	case e.cap > 0 && e.history[0].Answered > 0 && !e.failing && (!e.slow || e.votes > 0):
		e.cap *= 2
	}
	if e.cap >= 1 || e.slow && e.votes == 0 {
		e.cap = 0 // an endpoint that is slow needs no limit beside its share
	}
}

// adjustProbes raises the rate of the probes of a failing endpoint while they succeed, so that a
// recovery is certain sooner. The first probe that fails lowers it again.
func (e *endpoint) adjustProbes() {
	last := e.history[0]
	switch {
	case !e.failing || last.Failed+last.Refused > 0:
		e.probing = 1
	case last.Answered > 0:
		e.probing = min(2*max(e.probing, 1), maxProbing)
	}
}

// shares divides the calls of the service among its endpoints.
func (sv *service) shares(interval time.Duration) map[id.Endpoint]share {
	names := sv.names()
	rate := sv.rate(interval)
	capacities, speeds := sv.capacities(names)
	loads := divide(rate*headroom, capacities, speeds)
	parts := sv.bounded(names, loads, rate)
	out := make(map[id.Endpoint]share, len(names))
	for i, name := range names {
		utilization := 1.0
		if capacities[i] > 0 {
			utilization = min(parts[i]*rate*headroom/capacities[i], 1)
		}
		out[name] = share{part: parts[i], room: 1 - utilization}
	}
	return out
}

// rate returns the calls of the service per second.
func (sv *service) rate(interval time.Duration) float64 {
	var recent, average float64
	for _, e := range sv.endpoints {
		short, long := e.over(minRecentIntervals, interval), e.over(historyLength, interval)
		recent += short.perSecond() + float64(short.Refused)/short.span.Seconds()
		average += long.perSecond() + float64(long.Refused)/long.span.Seconds()
	}
	return max(recent, average)
}

// capacities returns the calls per second that each endpoint can answer, and its service time
// in seconds. Failing endpoints have no capacity. Service times that do not differ noticeably
// are equal.
func (sv *service) capacities(names []id.Endpoint) (capacities, serviceTimes []float64) {
	typical := sv.typicalServiceTime().Seconds()
	for _, name := range names {
		e := sv.endpoints[name]
		t := typical
		if e.differs {
			t = e.serviceTime.Seconds()
		}
		capacity := 0.0
		if !e.failing && t > 0 {
			capacity = float64(e.concurrentCalls()) / t
		}
		capacities = append(capacities, capacity)
		serviceTimes = append(serviceTimes, t)
	}
	return capacities, serviceTimes
}

// divide divides a rate of calls so that the expected latencies of all used endpoints are equal
// and those of the unused ones are higher. If the endpoints can't answer all calls, it divides
// them by capacity.
func divide(rate float64, capacities, serviceTimes []float64) []float64 {
	total, longest := 0.0, 0.0
	for i, c := range capacities {
		total += c
		longest = max(longest, serviceTimes[i])
	}
	if rate >= maxUtilization*total {
		return capacities
	}
	low, high := 0.0, longest/(1-math.Pow(maxUtilization, waitExponent))
	for range levelSteps {
		level := (low + high) / 2
		if sum(loadsAt(level, capacities, serviceTimes)) < rate {
			low = level
		} else {
			high = level
		}
	}
	return loadsAt(high, capacities, serviceTimes)
}

// loadsAt returns the calls per second at which each endpoint has the given latency.
func loadsAt(latency float64, capacities, serviceTimes []float64) []float64 {
	out := make([]float64, len(capacities))
	for i, c := range capacities {
		if latency > serviceTimes[i] {
			out[i] = c * math.Pow(1-serviceTimes[i]/latency, 1.0/waitExponent)
		}
	}
	return out
}

// bounded turns loads into parts of one. Each part is at least that of a probe and at most that
// of the endpoint's cap; the others get the rest in proportion to their loads.
func (sv *service) bounded(names []id.Endpoint, loads []float64, rate float64) []float64 {
	out := make([]float64, len(names))
	fixed := make([]bool, len(names))
	for range names {
		rest, free := 1.0, 0.0
		for i := range names {
			if fixed[i] {
				rest -= out[i]
			} else {
				free += loads[i]
			}
		}
		scale := 0.0
		if free > 0 {
			scale = rest / free
		}
		if !sv.fixBounds(names, loads, out, fixed, rate, scale) {
			break
		}
	}
	return out
}

// fixBounds sets the parts that are not fixed, and fixes those that exceed a bound. It reports
// whether it has fixed any.
func (sv *service) fixBounds(
	names []id.Endpoint, loads, out []float64, fixed []bool, rate, scale float64,
) bool {
	found := false
	for i, name := range names {
		if fixed[i] {
			continue
		}
		low, high := sv.endpoints[name].bounds(rate, 1/float64(len(names)))
		part := loads[i] * scale
		out[i] = min(max(part, low), high)
		if out[i] != part {
			fixed[i], found = true, true
		}
	}
	return found
}

// bounds returns the least and the largest part of the calls that the endpoint may get. even is
// an even share.
func (e *endpoint) bounds(rate, even float64) (low, high float64) {
	low = min(probesPerSecond*max(e.probing, 1)/max(rate, 1), maxProbeCap*even)
	if e.cap > 0 {
		return low, max(e.cap*even, low)
	}
	return low, 1
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
