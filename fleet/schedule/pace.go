package schedule

import (
	"time"

	"ragwortshunt.example/fleet/message"
)

// With Config.Projected the cell measures how fast prompts are read and answers are
// written. Platforms state neither, and engines of one service differ.

const (
	// paceKeep is the weight of the past in the measured rate of an endpoint.
	paceKeep = 0.97
	// paceTrust is the time of prefills for which the stated rate counts against the
	// measured one.
	paceTrust = 300 * time.Millisecond
	// measuredTokens is the output of a run from which its pace is measured; the start
	// of a shorter one counts too much.
	measuredTokens = 100
	// tokenTimeKeep is the weight of the past in the measured token time.
	tokenTimeKeep = 0.95
)

// prefillPace is what has been measured of the prefills of one endpoint.
type prefillPace struct {
	end    time.Duration // of the last prefill
	tokens float64
	busy   float64 // seconds
}

// rate returns the prompt tokens per second that the endpoint reads.
func (ep *endpoint) rate() int64 {
	if ep.pace.busy == 0 {
		return ep.PrefillRate
	}
	stated := float64(ep.PrefillRate) * paceTrust.Seconds()
	return int64((stated + ep.pace.tokens) / (paceTrust.Seconds() + ep.pace.busy))
}

// meanPrefillRate returns the prompt tokens per second that one prefill endpoint reads.
// Endpoints that have been measured speak for the others.
func (c *Cell) meanPrefillRate() float64 {
	var all, measured float64
	n := 0
	for _, ep := range c.prefills {
		all += float64(ep.rate())
		if ep.pace.busy > 0 {
			measured += float64(ep.rate())
			n++
		}
	}
	if n > 0 {
		return measured / float64(n)
	}
	return all / float64(max(len(c.prefills), 1))
}

// measurePrefill takes a finished prefill into the rate of its endpoint. Prefills that
// overlap end at nearly the same time, so that tokens and times are summed up apart.
func (c *Cell) measurePrefill(e *entry) {
	p := e.prefill
	if !c.cfg.Projected || !e.own {
		return
	}
	busy := c.now - max(e.prefillStart, p.pace.end)
	p.pace.end = c.now
	if busy < 0 {
		return
	}
	p.pace.tokens = paceKeep*p.pace.tokens + float64(e.prompt)
	p.pace.busy = paceKeep*p.pace.busy + busy.Seconds()
	c.sumUp()
}

// measureTokenTime takes the pace of a run that has ended into the token time.
func (c *Cell) measureTokenTime(e *entry) {
	if !c.cfg.Projected || e.phase != message.PhaseDecode || e.tokens < measuredTokens {
		return
	}
	pace := (c.now - e.decodeSince) / time.Duration(e.tokens)
	pace = min(pace, c.tokenTime*3/2) // a run that was interrupted says little
	c.tokenTime = time.Duration(tokenTimeKeep*float64(c.tokenTime) + (1-tokenTimeKeep)*float64(pace))
}
