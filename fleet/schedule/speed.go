package schedule

import (
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// With Config.EngineSpeeds the cell measures the speed of each engine: the time per prompt
// token from the prefills that it granted, and the time per output token from ended runs
// and from the reports of entry hosts (message.EnginePace). Placement uses the speeds only
// while those of the engines of a role differ by more than a quarter.

const (
	// slowRatio is the ratio to the typical time per token above which an engine is slow.
	// It stays slow until the ratio falls below soundRatio.
	slowRatio  = 1.25
	soundRatio = 1.15
	// unevenDelay is the time for which speeds count as uneven after the last difference.
	unevenDelay = 2 * time.Second
	// relativeWindow is the time over which the speed that decides about roles is averaged.
	// It exceeds the seconds for which engines slow down, because a change of role takes as long.
	relativeWindow = 10 * time.Second
	// speedReportInterval is the shortest time between two SpeedChanges of one engine.
	speedReportInterval = 2 * time.Second
	// provenAfter is the time after which a run without a report proves that the engine has
	// the speed that its grant names.
	provenAfter = time.Second
)

// engineSpeed is the measured speed of one engine.
type engineSpeed struct {
	prefill pace // time per prompt token
	decode  pace // time per output token

	reportedAt   time.Duration // last report of an entry host that counted
	slowReportAt time.Duration // last report that the engine is slower than expected
	slow         bool          // slower than the typical engine of its role
	relative     float64       // speed over relativeWindow, relative to the typical one; 0 is unknown
	clock        float64       // output tokens of a run that has lasted since the start
	clockAt      time.Duration // when clock was updated
	announced    bool          // value of slow in the last SpeedChange
	announcedAt  time.Duration
	promised     time.Duration // prefill time of queued requests that wait for the engine in this pass
	promisedIn   int           // number of the pass
}

// cellSpeeds holds the typical speeds of the engines of a cell.
type cellSpeeds struct {
	prefill, decode  time.Duration // median time per prompt and output token; 0 is unknown
	fastestDecode    time.Duration // shortest time per output token of a decode engine
	unevenPrefill    bool          // the speeds of the prefill engines differ by more than a quarter
	unevenDecode     bool
	prefillDiffersAt time.Duration // last time that an engine differed from the median
	decodeDiffersAt  time.Duration
	unevenRelative   bool    // the speeds that decide about roles differ by more than a quarter
	output           float64 // output tokens per second of one run on each decode engine
	meanOutput       float64 // the same, averaged as eventRate
	buffer           []time.Duration
	pass             int // number of passes over the queue
	changes          []SpeedChange
}

// SpeedChange reports that an engine is considered slow, or no longer.
type SpeedChange struct {
	Endpoint id.Endpoint
	Role     table.Role
	Slow     bool
	PerToken time.Duration // measured time per token
	Typical  time.Duration // median of the cell
}

// EngineSpeed is the speed of one engine as the cell knows it.
type EngineSpeed struct {
	Endpoint    id.Endpoint
	TokenTime   time.Duration // per output token; 0 for a prefill engine
	PrefillRate float64       // prompt tokens per second; 0 for a decode engine
}

// TakeSpeedChanges returns the changes since the last call.
func TakeSpeedChanges(c *Cell) []SpeedChange {
	out := c.speeds.changes
	c.speeds.changes = nil
	return out
}

// EngineSpeeds returns the speeds of the usable engines.
func EngineSpeeds(c *Cell) []EngineSpeed {
	if !c.cfg.EngineSpeeds {
		return nil
	}
	out := make([]EngineSpeed, 0, len(c.prefills)+len(c.decodes))
	for _, ep := range c.prefills {
		out = append(out, EngineSpeed{Endpoint: ep.Name, PrefillRate: float64(time.Second) / float64(max(c.prefillTimeOn(ep), 1))})
	}
	for _, ep := range c.decodes {
		out = append(out, EngineSpeed{Endpoint: ep.Name, TokenTime: c.tokenTimeOn(ep)})
	}
	return out
}

// typicalTokenTime returns the median time per output token of the decode engines.
func (c *Cell) typicalTokenTime() time.Duration {
	if c.speeds.decode > 0 {
		return c.speeds.decode
	}
	return c.tokenTime
}

// meanTokenTime returns the time per output token of a decode engine that has the mean speed
// of all. While their speeds are equal, it is the long-term average.
func (c *Cell) meanTokenTime() time.Duration {
	if !c.speeds.unevenDecode || c.speeds.output <= 0 {
		return c.tokenTime
	}
	return time.Duration(float64(len(c.decodes)) / c.speeds.output * float64(time.Second))
}

// tokenTimeOn returns the expected time per output token of a run on the endpoint.
func (c *Cell) tokenTimeOn(ep *endpoint) time.Duration {
	if ep.speed.decode.isFresh(c.now) {
		return ep.speed.decode.perToken
	}
	return c.typicalTokenTime()
}

// prefillTimeOn returns the expected time per prompt token on the endpoint. A prefill that
// takes longer than expected counts before it ends.
func (c *Cell) prefillTimeOn(ep *endpoint) time.Duration {
	perToken := time.Second / time.Duration(max(ep.rate(), 1))
	if c.speeds.prefill > 0 {
		perToken = c.speeds.prefill
	}
	if ep.speed.prefill.isFresh(c.now) {
		perToken = ep.speed.prefill.perToken
	}
	return max(perToken, c.overduePrefillTime(ep, perToken))
}

// overduePrefillTime returns the least time per token that the running prefill of the
// endpoint will have taken, if that shows that the endpoint is slow, otherwise 0.
func (c *Cell) overduePrefillTime(ep *endpoint, perToken time.Duration) time.Duration {
	if len(ep.prefills) == 0 {
		return 0
	}
	e := ep.prefills[0]
	expected := time.Duration(e.prompt) * perToken
	if e.state != stateRunning || expected < minMeasuredPrefill {
		return 0
	}
	elapsed := c.now - max(e.prefillStart, ep.prefillStats.lastEnd)
	if float64(elapsed) < slowRatio*float64(expected) {
		return 0
	}
	return elapsed / time.Duration(e.prompt)
}

// rateOn returns the prefill rate of the endpoint in prompt tokens per second. While the
// prefill engines have equal speeds, it is the long-term average.
func (c *Cell) rateOn(ep *endpoint) int64 {
	if !c.speeds.unevenPrefill {
		return ep.rate()
	}
	return int64(time.Second / max(c.prefillTimeOn(ep), 1))
}

// isUnproven reports whether an engine that was slow has shown no speed for speedTTL. It
// gets single requests until it has, and its speed counts as uneven.
func (c *Cell) isUnproven(ep *endpoint, p *pace) bool {
	return ep.speed.slow && !p.isFresh(c.now)
}

// advanceClock adds the output since the last update to the clock of the endpoint.
func (c *Cell) advanceClock(ep *endpoint) {
	ep.speed.clock = c.outputClock(ep)
	ep.speed.clockAt = c.now
}

// outputClock returns the output tokens of a run that has lasted since the start, at the
// varying speed of the endpoint.
func (c *Cell) outputClock(ep *endpoint) float64 {
	return ep.speed.clock + float64(c.now-ep.speed.clockAt)/float64(max(c.tokenTimeOn(ep), 1))
}

// updateSpeeds derives the typical speeds and finds the slow engines. It is called once per
// sweep, so that a placement only reads the results.
func (c *Cell) updateSpeeds(period time.Duration) {
	if !c.cfg.EngineSpeeds {
		return
	}
	s := &c.speeds
	for _, ep := range c.decodes {
		c.advanceClock(ep)
		c.proveDecode(ep)
	}
	s.prefill = c.medianPace(c.prefills, (*Cell).knownPrefillTime)
	s.decode = c.medianPace(c.decodes, (*Cell).knownTokenTime)
	c.updateUneven()
	s.fastestDecode = c.typicalTokenTime()
	s.output = 0
	for _, ep := range c.decodes {
		s.fastestDecode = min(s.fastestDecode, c.tokenTimeOn(ep))
		s.output += float64(time.Second) / float64(max(c.tokenTimeOn(ep), 1))
		c.updateSlow(ep, table.RoleDecode, c.knownTokenTime(ep), s.decode, period)
	}
	for _, ep := range c.prefills {
		c.updateSlow(ep, table.RolePrefill, c.knownPrefillTime(ep), s.prefill, period)
	}
	c.updateMeanOutput()
	c.updateUnevenRelative()
	if s.unevenPrefill {
		c.updateCapacity()
	}
}

// proveDecode ends the doubt about an engine of unknown speed on which a run has lasted for
// provenAfter without a report.
func (c *Cell) proveDecode(ep *endpoint) {
	if !c.isUnproven(ep, &ep.speed.decode) {
		return
	}
	for _, e := range ep.decoding {
		if e.phase == message.PhaseDecode && c.now-e.decodeSince >= provenAfter {
			ep.speed.decode = pace{perToken: c.typicalTokenTime(), newsAt: c.now}
			return
		}
	}
}

// knownPrefillTime returns the measured time per prompt token, or 0 without news.
func (c *Cell) knownPrefillTime(ep *endpoint) time.Duration {
	known := time.Duration(0)
	if ep.speed.prefill.isFresh(c.now) {
		known = ep.speed.prefill.perToken
	}
	expected := known
	if expected == 0 {
		expected = c.speeds.prefill
	}
	if expected == 0 {
		return known
	}
	return max(known, c.overduePrefillTime(ep, expected))
}

// knownTokenTime returns the measured time per output token, or 0 without news.
func (c *Cell) knownTokenTime(ep *endpoint) time.Duration {
	if ep.speed.decode.isFresh(c.now) {
		return ep.speed.decode.perToken
	}
	return 0
}

// medianPace returns the median of the known speeds of the endpoints: of two the shorter
// time, so that the other engine can be slow. Without any it returns 0.
func (c *Cell) medianPace(eps []*endpoint, known func(*Cell, *endpoint) time.Duration) time.Duration {
	list := c.speeds.buffer[:0]
	for _, ep := range eps {
		if p := known(c, ep); p > 0 {
			list = append(list, p)
		}
	}
	c.speeds.buffer = list
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// updateUneven finds out whether the speeds of a role differ. After the last difference
// they count as uneven for unevenDelay.
func (c *Cell) updateUneven() {
	s := &c.speeds
	for _, ep := range c.prefills {
		if knownDiffers(c.knownPrefillTime(ep), s.prefill) || c.isUnproven(ep, &ep.speed.prefill) {
			s.prefillDiffersAt, s.unevenPrefill = c.now, true
			break
		}
	}
	for _, ep := range c.decodes {
		if knownDiffers(c.knownTokenTime(ep), s.decode) || c.isUnproven(ep, &ep.speed.decode) {
			s.decodeDiffersAt, s.unevenDecode = c.now, true
			break
		}
	}
	s.unevenPrefill = s.unevenPrefill && c.now-s.prefillDiffersAt < unevenDelay
	s.unevenDecode = s.unevenDecode && c.now-s.decodeDiffersAt < unevenDelay
}

// knownDiffers reports whether a known time per token differs from the typical one by more
// than a quarter.
func knownDiffers(known, typical time.Duration) bool {
	return known > 0 && (float64(known) > slowRatio*float64(typical) || float64(typical) > slowRatio*float64(known))
}

// updateSlow updates whether an engine is slow, and its speed over relativeWindow.
func (c *Cell) updateSlow(ep *endpoint, role table.Role, known, typical, period time.Duration) {
	sp := &ep.speed
	if known > 0 && typical > 0 {
		ratio := float64(known) / float64(typical)
		if sp.slow {
			sp.slow = ratio >= soundRatio
		} else {
			sp.slow = ratio > slowRatio
		}
		if sp.relative == 0 {
			sp.relative = 1
		}
		sp.relative += (1/ratio - sp.relative) * min(period.Seconds()/relativeWindow.Seconds(), 1)
	}
	if sp.slow == sp.announced || c.now-sp.announcedAt < speedReportInterval && sp.announcedAt > 0 {
		return
	}
	sp.announced, sp.announcedAt = sp.slow, c.now
	c.speeds.changes = append(c.speeds.changes, SpeedChange{Endpoint: ep.Name, Role: role, Slow: sp.slow, PerToken: known, Typical: typical})
}

// updateMeanOutput averages the output rate of the cell with the decay of eventRate.
func (c *Cell) updateMeanOutput() {
	s := &c.speeds
	if s.meanOutput == 0 {
		s.meanOutput = s.output
	}
	s.meanOutput += (1 - eventRateDecay) * (s.output - s.meanOutput)
}

// releasesPerSecond returns the expected rate at which decode slots become free. The
// measured rate lags behind, so it is corrected by the change of the sum of the measured
// speeds since.
func (c *Cell) releasesPerSecond() float64 {
	rate := c.slotReleases.perSecond
	if c.speeds.unevenDecode && c.speeds.meanOutput > 0 {
		rate *= c.speeds.output / c.speeds.meanOutput
	}
	return max(rate, 1)
}
