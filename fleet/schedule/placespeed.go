package schedule

import (
	"time"

	"ragwortshunt.example/fleet/message"
)

// The functions in this file place requests while the speeds of the engines of a role
// differ by more than a quarter; see cellSpeeds.

const (
	// maxGapPercent is the percentage of the target for the pause between events that the
	// mean pause on an engine may reach. Single pauses are longer than the mean.
	maxGapPercent = 75
	// lengthPercent is the percentage of its expected output with which a run must end in time.
	// Estimates of the output are often too low.
	lengthPercent = 125
	// speedWeight is the part of an engine's memory that counts as taken for each time that
	// the engine takes longer for a token than the fastest one. An engine that needs twice as
	// long is chosen once the fast ones are fuller by this part.
	speedWeight = 1.0
	// lastChance is the time before the latest start of a request from which on it gets an
	// engine that does not meet its targets, if no other one has room. It exceeds the interval
	// between two calls of Tick.
	lastChance = 50 * time.Millisecond
	// maxHalvings bounds the halvings of unprovenTokenTime.
	maxHalvings = 30
	// probeInterval is the time without work after which a slow engine gets a single request.
	probeInterval = 500 * time.Millisecond
)

// setSpeedNeeds sets what e needs of the speed of its decode engine.
func (c *Cell) setSpeedNeeds(e *entry, m message.SlotRequest) {
	if m.TimeLeft > 0 {
		e.callerUntil = c.now + m.TimeLeft
	}
	e.maxEventGap = max(m.EventGap, 0)
}

// startClock records the output clock of the decode endpoint at the start of a run.
func (c *Cell) startClock(e *entry) {
	if e.decode != nil {
		e.startClock = c.outputClock(e.decode)
	}
}

// grantedTokenTime returns the time per output token that a grant names.
func (c *Cell) grantedTokenTime(ep *endpoint) time.Duration {
	if !c.cfg.EngineSpeeds {
		return 0
	}
	return c.tokenTimeOn(ep)
}

// changeRole forgets the speed in the former role. The relative speed stays, because it is
// that of the engine.
func (s *engineSpeed) changeRole() {
	*s = engineSpeed{relative: s.relative, announced: s.announced, announcedAt: s.announcedAt, clock: s.clock, clockAt: s.clockAt}
}

// choosePrefillBySpeed returns the endpoint where the prefill is expected to end first. If
// that endpoint is busy, the request waits for it, and counts as its work for the rest of
// the pass.
func (c *Cell) choosePrefillBySpeed(e *entry) (*endpoint, obstacle) {
	avoid := c.canAvoid(e, c.prefills)
	var best *endpoint
	var bestScore time.Duration
	why := obstaclePrefill
	for _, ep := range c.prefills {
		if !c.acceptsGrants(ep) || c.isUnproven(ep, &ep.speed.prefill) && len(ep.prefills) > 0 {
			continue
		}
		if c.isPartitioned(e, ep) || avoid && ep.Name == e.avoid || !ep.hasRoomAfterPrefills(e) {
			why = obstacleOther
			continue
		}
		if score := c.prefillScore(ep, e); best == nil || score < bestScore {
			best, bestScore = ep, score
		}
	}
	if best == nil {
		return nil, why
	}
	if !c.takesPrefill(best, e) {
		c.promise(best, e)
		return nil, obstacleSpeed
	}
	return best, obstacleNone
}

// hasRoomAfterPrefills reports whether the endpoint has a slot and the memory for the prefill
// of e once its granted prefills have ended. Decodes that remain after a change of role, and
// unregistered runs, may take longer than a request can wait.
func (ep *endpoint) hasRoomAfterPrefills(e *entry) bool {
	blocks := ep.freeBlocks()
	for _, other := range ep.prefills {
		blocks += other.prefillBlocks
	}
	return ep.freeSlots()+int64(len(ep.prefills)) >= 1 && blocks >= ep.blocksFor(e.prompt)
}

// takesPrefill reports whether an endpoint takes the prefill of e now.
func (c *Cell) takesPrefill(ep *endpoint, e *entry) bool {
	if c.backlog(ep)+c.promised(ep) > c.cfg.MaxBacklog {
		return false
	}
	return ep.freeSlots() >= 1 && ep.freeBlocks() >= ep.blocksFor(e.prompt)
}

// prefillScore returns the time until the expected end of the prefill of e, with the bonus
// and the penalty of choosePrefill. A slow endpoint that is due for a probe goes first, if e
// has the time for its measured speed.
func (c *Cell) prefillScore(ep *endpoint, e *entry) time.Duration {
	perToken := c.prefillTimeOn(ep)
	length := time.Duration(e.prompt) * perToken
	if c.isProbeDue(ep, &ep.speed.prefill, len(ep.prefills)) && c.now+length-e.prefillTime <= e.latestStart {
		length = 0
	}
	score := c.backlog(ep) + c.promised(ep) + length - c.affinity(ep, e)
	if ep.AZ != e.az {
		score += remoteZonePenalty
	}
	return score
}

// isProbeDue reports whether an engine is slow and has had no work and no news for
// probeInterval.
func (c *Cell) isProbeDue(ep *endpoint, p *pace, work int) bool {
	return ep.speed.slow && work == 0 && c.now-p.newsAt >= probeInterval
}

// promised returns the prefill time of the requests that wait for the endpoint, as far as
// this pass has found them.
func (c *Cell) promised(ep *endpoint) time.Duration {
	if ep.speed.promisedIn != c.speeds.pass {
		return 0
	}
	return ep.speed.promised
}

func (c *Cell) promise(ep *endpoint, e *entry) {
	ep.speed.promised = c.promised(ep) + time.Duration(e.prompt)*c.prefillTimeOn(ep)
	ep.speed.promisedIn = c.speeds.pass
}

// decodeChoice is a decode endpoint with what decides about it.
type decodeChoice struct {
	endpoint *endpoint
	sound    bool  // the run ends in time and its pauses meet the target
	score    int64 // peak memory in tokens, with penalties
}

// isBetterThan reports whether a choice goes before another one.
func (d decodeChoice) isBetterThan(other decodeChoice) bool {
	if other.endpoint == nil || d.sound != other.sound {
		return other.endpoint == nil || d.sound
	}
	return d.score < other.score
}

// chooseDecodeBySpeed completes the placement with a decode endpoint that is fast and has
// room. An endpoint on which the run would not end in time, or whose pauses would be too
// long, is chosen at the last chance only.
func (c *Cell) chooseDecodeBySpeed(e *entry, pl *placement) obstacle {
	avoid := c.canAvoid(e, c.decodes)
	why := obstacleSlot
	var best decodeChoice
	for _, ep := range c.decodes {
		choice := decodeChoice{endpoint: ep, sound: c.isSound(ep, e, pl), score: c.speedPenalty(ep, e, pl)}
		if c.isUnproven(ep, &ep.speed.decode) && len(ep.decoding) > 0 {
			continue
		}
		if best.endpoint != nil && !choice.isBetterThan(best) {
			continue // its memory can only make it worse
		}
		peak, ok := c.checkDecode(ep, e, avoid, &why)
		choice.score += peak
		if !ok || !choice.isBetterThan(best) {
			continue
		}
		if !c.planTransfer(e, pl, ep) {
			why = obstacleLink
			continue
		}
		best = choice
	}
	return c.decide(e, pl, best, why)
}

// decide completes the placement with the best choice, or makes e wait for a better one.
func (c *Cell) decide(e *entry, pl *placement, best decodeChoice, why obstacle) obstacle {
	switch {
	case best.endpoint == nil:
		return why
	case !best.sound && c.now+lastChance < e.latestStart && c.hasSound(e, pl):
		return obstacleNeeds
	}
	pl.decode = best.endpoint
	return obstacleNone
}

// hasSound reports whether a decode endpoint without room would meet the needs of e.
func (c *Cell) hasSound(e *entry, pl *placement) bool {
	for _, ep := range c.decodes {
		if c.acceptsGrants(ep) && c.isSound(ep, e, pl) {
			return true
		}
	}
	return false
}

// isSound reports whether a run of e on the endpoint is expected to end within the time of
// its caller, with pauses between its events that meet the target. An engine that was slow
// may still be. A probe needs no margin, because engines of which nothing is known would
// otherwise get none.
func (c *Cell) isSound(ep *endpoint, e *entry, pl *placement) bool {
	if c.isUnproven(ep, &ep.speed.decode) {
		return meetsTargets(ep, e, pl, c.unprovenTokenTime(ep), noMargin)
	}
	if c.isProbeDue(ep, &ep.speed.decode, len(ep.decoding)) {
		return meetsTargets(ep, e, pl, c.tokenTimeOn(ep), noMargin)
	}
	return meetsTargets(ep, e, pl, c.tokenTimeOn(ep), margin{gapPercent: maxGapPercent, lengthPercent: lengthPercent})
}

// margin is what isSound allows for errors of its estimates.
type margin struct {
	gapPercent    int64 // of the target for the pause, which the mean pause may reach
	lengthPercent int64 // of the expected output, with which the run must end in time
}

// noMargin takes the estimates as they are.
var noMargin = margin{gapPercent: 100, lengthPercent: 100}

// meetsTargets reports whether a run of e meets its targets at a time per output token.
func meetsTargets(ep *endpoint, e *entry, pl *placement, perToken time.Duration, m margin) bool {
	gap := perToken * time.Duration(max(ep.EventTokens, 1))
	if e.maxEventGap > 0 && gap > e.maxEventGap*time.Duration(m.gapPercent)/100 {
		return false
	}
	tokens := min(e.expected*m.lengthPercent/100, e.output)
	end := pl.prefillEnd + time.Duration(tokens)*perToken
	return e.callerUntil == 0 || end <= e.callerUntil
}

// unprovenTokenTime returns the time per output token at which a run must meet its targets on
// an engine that was slow. The difference to the typical time halves with each speedTTL without
// news, so that short runs go there first.
func (c *Cell) unprovenTokenTime(ep *endpoint) time.Duration {
	typical := c.typicalTokenTime()
	halvings := min((c.now-ep.speed.decode.newsAt)/speedTTL, maxHalvings)
	return typical + max(ep.speed.decode.perToken-typical, 0)>>halvings
}

// speedPenalty returns the memory, in tokens, that counts as taken because the endpoint is
// slower than the fastest one. A slow endpoint that is due for a probe has none.
func (c *Cell) speedPenalty(ep *endpoint, e *entry, pl *placement) int64 {
	if c.isProbeDue(ep, &ep.speed.decode, len(ep.decoding)) && c.isSound(ep, e, pl) {
		return 0
	}
	ratio := float64(c.tokenTimeOn(ep)) / float64(max(c.speeds.fastestDecode, 1))
	return int64(speedWeight * max(ratio-1, 0) * float64(ep.Blocks*ep.BlockTokens))
}
