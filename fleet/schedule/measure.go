package schedule

import (
	"time"

	"ragwortshunt.example/fleet/message"
)

// With Config.ProjectMemory the cell measures the prefill rate of its endpoints and the
// time per output token. Platforms state neither, and engines of one service differ.

const (
	// prefillRateDecay is the weight of earlier prefills in the measured rate of an
	// endpoint.
	prefillRateDecay = 0.97
	// statedRateTime is the weight of the stated rate in the estimate: that of a
	// measurement with this much prefill time.
	statedRateTime = 300 * time.Millisecond
	// minMeasuredTokens is the minimum output, in tokens, of a run whose token time is
	// measured. In a shorter run, the time to start has too much weight.
	minMeasuredTokens = 100
	// tokenTimeWindow is the number of runs over which the token time is averaged.
	tokenTimeWindow = 20
)

// prefillSums holds the decayed sums over the prefills of one endpoint.
type prefillSums struct {
	lastEnd time.Duration // end of the last prefill
	tokens  float64       // prompt tokens
	busy    float64       // seconds
}

// rate returns the prefill rate in prompt tokens per second, estimated from
// measurements and the stated rate.
func (ep *endpoint) rate() int64 {
	if ep.prefillStats.busy == 0 {
		return ep.PrefillRate
	}
	stated := float64(ep.PrefillRate) * statedRateTime.Seconds()
	return int64((stated + ep.prefillStats.tokens) / (statedRateTime.Seconds() + ep.prefillStats.busy))
}

// meanPrefillRate returns the mean prefill rate of one prefill endpoint in prompt
// tokens per second. Once some endpoints have been measured, it leaves out the others.
func (c *Cell) meanPrefillRate() float64 {
	var all, measured float64
	n := 0
	for _, ep := range c.prefills {
		all += float64(ep.rate())
		if ep.prefillStats.busy > 0 {
			measured += float64(ep.rate())
			n++
		}
	}
	if n > 0 {
		return measured / float64(n)
	}
	return all / float64(max(len(c.prefills), 1))
}

// measurePrefill adds a finished prefill to the measured rate of its endpoint.
// Prefills that overlap end at nearly the same time, so tokens and times are summed
// separately.
func (c *Cell) measurePrefill(e *entry) {
	p := e.prefill
	if !c.cfg.ProjectMemory || !e.grantedHere {
		return
	}
	busy := c.now - max(e.prefillStart, p.prefillStats.lastEnd)
	p.prefillStats.lastEnd = c.now
	if busy < 0 {
		return
	}
	c.measureEnginePrefill(p, e.prompt, busy)
	p.prefillStats.tokens = prefillRateDecay*p.prefillStats.tokens + float64(e.prompt)
	p.prefillStats.busy = prefillRateDecay*p.prefillStats.busy + busy.Seconds()
	c.updateCapacity()
}

// measureTokenTime adds a run that has ended to the measured token time. The first one
// replaces the time of the configuration, which is a guess.
func (c *Cell) measureTokenTime(e *entry) {
	if !c.cfg.ProjectMemory || e.phase != message.PhaseDecode || e.tokens < minMeasuredTokens {
		return
	}
	perToken := (c.now - e.decodeSince) / time.Duration(e.tokens)
	c.measureEngineTokenTime(e, perToken)
	perToken = min(perToken, c.tokenTime*3/2) // bounds the effect of an interrupted run
	c.tokenTimeSamples++
	c.tokenTime += (perToken - c.tokenTime) / time.Duration(min(c.tokenTimeSamples, tokenTimeWindow))
}
