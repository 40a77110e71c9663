package schedule

import (
	"math"
	"time"

	"ragwortshunt.example/fleet/id"
)

const (
	// speedTTL is the time without news after which the speed of an engine is assumed to be
	// the typical one of the cell.
	speedTTL = 3 * time.Second
	// prefillWindow is the prefill time over which the speed of a prefill engine is averaged.
	prefillWindow = 400 * time.Millisecond
	// paceWindow and runWindow are the times over which reports of entry hosts and ended
	// runs are averaged. A run says what its engine did seconds ago.
	paceWindow = 500 * time.Millisecond
	runWindow  = 2 * time.Second
	// minPaceInterval bounds the weight of reports that arrive at the same time.
	minPaceInterval = 100 * time.Millisecond
	// restartFactor is the ratio to the average beyond which samples replace it. A single long
	// one may be due to a pause of its host.
	restartFactor = 2
	// minMeasuredPrefill is the shortest prefill, at the typical speed, whose delay counts as
	// evidence. In a shorter one, the time of the messages has too much weight.
	minMeasuredPrefill = 20 * time.Millisecond
	// confirmWindow is the time within which a second report confirms that an engine is slow.
	confirmWindow = 700 * time.Millisecond
	// maxRunRatio bounds the ratio to the typical time per token that ended runs show. A run
	// may have been interrupted, so it confirms that its engine is slow but does not show it.
	maxRunRatio = 1.2
	// maxTokenTime bounds the reported time per output token.
	maxTokenTime = 10 * time.Second
)

// pace is the average time per token of one engine in one role.
type pace struct {
	perToken time.Duration // 0 is unknown
	newsAt   time.Duration // last sample
	above    bool          // the last sample exceeded the average by restartFactor
}

// isFresh reports whether there has been a sample within speedTTL.
func (p *pace) isFresh(now time.Duration) bool {
	return p.perToken > 0 && now-p.newsAt <= speedTTL
}

// add averages a sample, whose weight is that of a time in a window. A much shorter one
// shows at once that an engine is no longer slow, a much longer one if it is the second in
// a row.
func (p *pace) add(now, perToken, typical time.Duration, weight float64) {
	above := perToken > restartFactor*p.perToken
	restart := above && p.above
	p.above = above
	switch {
	case !p.isFresh(now) || restart:
		p.perToken = perToken
	case perToken < p.perToken/restartFactor && p.perToken > typical:
		p.perToken = max(perToken, typical)
	default:
		p.perToken += time.Duration(weight * float64(perToken-p.perToken))
	}
	p.newsAt = now
}

// sampleWeight returns the weight of a sample of a time in an average over a window.
func sampleWeight(of, window time.Duration) float64 {
	return 1 - math.Exp(-float64(of)/float64(window))
}

// HandlePace records the time per output token that an entry host has seen on an endpoint.
func HandlePace(c *Cell, now time.Time, name id.Endpoint, perToken time.Duration) {
	c.advance(now)
	ep, ok := c.endpoints[name]
	if !ok || !c.cfg.EngineSpeeds || perToken <= 0 || perToken > maxTokenTime {
		return
	}
	if !c.isConfirmed(ep, perToken) {
		return
	}
	c.advanceClock(ep)
	elapsed := max(c.now-ep.speed.decode.newsAt, minPaceInterval)
	ep.speed.decode.add(c.now, perToken, c.typicalTokenTime(), sampleWeight(elapsed, paceWindow))
	ep.speed.reportedAt = c.now
}

// isConfirmed reports whether a report counts. One that makes an engine slow needs a second
// one within confirmWindow if the engine has several runs: a single run also pauses while
// its engine lacks memory.
func (c *Cell) isConfirmed(ep *endpoint, perToken time.Duration) bool {
	if float64(perToken) <= slowRatio*float64(c.tokenTimeOn(ep)) || len(ep.decoding) < 2 {
		return true
	}
	last := ep.speed.slowReportAt
	ep.speed.slowReportAt = c.now
	return last > 0 && c.now-last <= confirmWindow
}

// measureEnginePrefill adds a prefill that has ended to the speed of its endpoint.
func (c *Cell) measureEnginePrefill(ep *endpoint, prompt int64, busy time.Duration) {
	if !c.cfg.EngineSpeeds || busy <= 0 || durationAtRate(prompt, ep.rate()) < minMeasuredPrefill {
		return
	}
	ep.speed.prefill.add(c.now, busy/time.Duration(prompt), c.speeds.prefill, sampleWeight(busy, prefillWindow))
}

// measureEngineTokenTime adds a run that has ended to the speed of its endpoint, unless
// entry hosts have reported a later speed.
func (c *Cell) measureEngineTokenTime(e *entry, perToken time.Duration) {
	ep := e.decode
	if !c.cfg.EngineSpeeds || ep == nil || perToken <= 0 {
		return
	}
	if ep.speed.reportedAt > e.decodeSince {
		return
	}
	c.advanceClock(ep)
	elapsed := max(c.now-ep.speed.decode.newsAt, minPaceInterval)
	limit := max(c.tokenTimeOn(ep), time.Duration(maxRunRatio*float64(c.typicalTokenTime())))
	ep.speed.decode.add(c.now, min(perToken, limit), c.typicalTokenTime(), sampleWeight(elapsed, runWindow))
}
