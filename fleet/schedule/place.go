package schedule

import (
	"slices"
	"time"
)

// obstacle is the reason why a queued request cannot be granted now.
type obstacle uint8

const (
	obstacleNone    obstacle = iota
	obstaclePrefill          // no prefill endpoint can take more work now
	obstacleLarge            // large prompts must leave a prefill endpoint to small ones
	obstacleSlot             // no decode slot is free
	obstacleMemory           // no decode endpoint has enough memory
	obstacleLink             // a link is busy until the KV cache would expire
	obstacleOther            // applies to this request alone
	obstacleSpeed            // a busy prefill engine is expected to serve this request earlier than the free ones
	obstacleNeeds            // only decode engines without room meet the needs of this request
)

// placement is a choice of endpoints with the planned times.
type placement struct {
	prefill, decode            *endpoint
	prefillStart, prefillEnd   time.Duration
	transferStart, transferEnd time.Duration
}

// pin drains a decode endpoint: it gets no other new work until it has enough memory
// for one request.
type pin struct {
	entry    *entry
	endpoint *endpoint
}

func (c *Cell) place(e *entry) (placement, obstacle) {
	p, why := c.choosePrefill(e)
	if p == nil {
		return placement{}, why
	}
	start := c.now + c.backlog(p)
	pl := placement{prefill: p, prefillStart: start, prefillEnd: start + durationAtRate(e.prompt, c.rateOn(p))}
	why = c.chooseDecode(e, &pl)
	return pl, why
}

// acceptsGrants reports whether the endpoint may get a grant, with regard to its
// backoff, its request limit, its slow start and the rebuilding of the cell.
func (c *Cell) acceptsGrants(ep *endpoint) bool {
	if c.now < ep.backoffUntil || (ep.failures > 0 && ep.probe != nil) {
		return false
	}
	if !c.withinRate(ep) || c.hasSlowStartPart(ep) {
		return false
	}
	return !c.rebuilding() || ep.grantedSlots < max(1, ep.Slots*c.cfg.RebuildPercent/100)
}

// canAvoid reports whether e can avoid the endpoint of its failed attempt: another one
// of that role must accept grants. Otherwise e would wait for the backoff of all
// others to end.
func (c *Cell) canAvoid(e *entry, eps []*endpoint) bool {
	return e.avoid != "" && slices.ContainsFunc(eps, func(ep *endpoint) bool {
		return ep.Name != e.avoid && c.acceptsGrants(ep) && !c.isPartitioned(e, ep)
	})
}

// choosePrefill returns the endpoint where the prefill can start earliest. A cached
// prefix counts as a bonus and another zone as a penalty, but no request waits for an
// endpoint that has its prefix.
func (c *Cell) choosePrefill(e *entry) (*endpoint, obstacle) {
	if e.large && c.largeLimited() {
		return nil, obstacleLarge
	}
	if c.speeds.unevenPrefill {
		return c.choosePrefillBySpeed(e)
	}
	avoid := c.canAvoid(e, c.prefills)
	var best *endpoint
	var bestScore time.Duration
	why := obstaclePrefill
	for _, ep := range c.prefills {
		if c.isPartitioned(e, ep) {
			why = obstacleOther
			continue
		}
		backlog := c.backlog(ep)
		if backlog > c.cfg.MaxBacklog || ep.freeSlots() < 1 || !c.acceptsGrants(ep) {
			continue
		}
		if ep.freeBlocks() < ep.blocksFor(e.prompt) || (avoid && ep.Name == e.avoid) {
			why = obstacleOther
			continue
		}
		score := backlog - c.affinity(ep, e)
		if ep.AZ != e.az {
			score += remoteZonePenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = ep, score
		}
	}
	if best == nil {
		return nil, why
	}
	return best, obstacleNone
}

func (c *Cell) affinity(ep *endpoint, e *entry) time.Duration {
	if e.prefix == 0 || c.cfg.Policy.NoAffinity || !ep.cache.has(e.prefix) {
		return 0
	}
	return c.cfg.AffinityBonus
}

// largeLimited reports whether a large prompt must wait because small ones would then
// find no prefill endpoint that is free soon. Besides the endpoint that the large
// prompt takes, another one must be free within MaxSmallPromptWait. That may be later
// than small prompts can wait; they then go to other cells, and no cell keeps a whole
// endpoint idle.
func (c *Cell) largeLimited() bool {
	if c.cfg.Policy.NoLargeLimit || !c.hasSmallRequest || c.now-c.lastSmallRequest > c.cfg.SmallPromptWindow {
		return false
	}
	soon := 0
	for _, ep := range c.prefills {
		if c.backlog(ep) <= c.cfg.MaxSmallPromptWait && c.now >= ep.backoffUntil {
			soon++
		}
	}
	return len(c.prefills) > 1 && soon < 2
}

// chooseDecode completes the placement with the decode endpoint that has the most
// room, among those with enough memory and with a link that is free before the KV
// cache expires.
func (c *Cell) chooseDecode(e *entry, pl *placement) obstacle {
	if c.speeds.unevenDecode {
		return c.chooseDecodeBySpeed(e, pl)
	}
	avoid := c.canAvoid(e, c.decodes)
	why := obstacleSlot
	var best *endpoint
	var bestPeak int64
	for _, ep := range c.decodes {
		peak, found := c.checkDecode(ep, e, avoid, &why)
		if !found || best != nil && !c.hasMoreRoom(ep, best, peak, bestPeak) {
			continue
		}
		if !c.planTransfer(e, pl, ep) {
			why = obstacleLink
			continue
		}
		best, bestPeak = ep, peak
	}
	if best == nil {
		return why
	}
	pl.decode = best
	return obstacleNone
}

// checkDecode reports whether a decode endpoint has a slot and the memory for e, and
// returns its peak with a penalty for another zone. Otherwise it updates the obstacle.
func (c *Cell) checkDecode(ep *endpoint, e *entry, avoid bool, why *obstacle) (peak int64, ok bool) {
	if ep.freeSlots() < 1 || c.pinned(ep, e) || !c.acceptsGrants(ep) {
		return 0, false
	}
	if avoid && ep.Name == e.avoid || c.isPartitioned(e, ep) {
		*why = obstacleOther
		return 0, false
	}
	peak, ok = c.hasRoom(ep, e)
	if !ok {
		if *why == obstacleSlot {
			*why = obstacleMemory
		}
		return 0, false
	}
	return peak + zonePenalty(ep, e), true
}

// hasMoreRoom reports whether a has more room than b, given their peaks with penalties.
func (c *Cell) hasMoreRoom(a, b *endpoint, peakA, peakB int64) bool {
	if c.cfg.ProjectMemory {
		return peakA < peakB
	}
	if a.freeSlots() != b.freeSlots() {
		return a.freeSlots() > b.freeSlots()
	}
	return a.freeBlocks() > b.freeBlocks()
}

// zonePenalty returns the memory, in tokens, that is added to the peak of an endpoint in
// another availability zone than the host of e. A partition between zones breaks no run
// within one zone, and the transfer there takes half the time.
func zonePenalty(ep *endpoint, e *entry) int64 {
	if ep.AZ == e.az {
		return 0
	}
	return ep.Blocks * ep.BlockTokens / remoteZoneMemoryDivisor
}

func (c *Cell) pinned(ep *endpoint, e *entry) bool {
	return c.pin.endpoint == ep && c.pin.entry != e
}

// planTransfer plans the transfer to ep and reports whether it starts before the KV
// cache expires.
func (c *Cell) planTransfer(e *entry, pl *placement, ep *endpoint) bool {
	length := durationAtRate(e.prompt, linkRate(pl.prefill, ep))
	at := earliestTransfer(pl.prefill, ep, pl.prefillEnd, length)
	if at-pl.prefillEnd > c.cfg.KVSurvival-c.cfg.KVMargin {
		return false
	}
	pl.transferStart = at
	pl.transferEnd = at + length
	return true
}

// drainFor pins a decode endpoint for a request that has been queued for PinAfter or
// PinDeferrableAfter and lacks memory.
func (c *Cell) drainFor(e *entry) {
	after := c.cfg.PinAfter
	if c.classIndex(e.class) == deferrable {
		after = c.cfg.PinDeferrableAfter
	}
	if c.cfg.Policy.NoPin || c.pin.entry != nil || c.now-e.requestedAt < after {
		return
	}
	avoid := c.canAvoid(e, c.decodes)
	pl := placement{prefillEnd: c.now + e.prefillTime}
	onlySound := c.speeds.unevenDecode && c.hasSound(e, &pl)
	var best *endpoint
	for _, ep := range c.decodes {
		if !c.acceptsGrants(ep) || (avoid && ep.Name == e.avoid) || ep.Blocks < ep.blocksFor(e.prompt+e.output) {
			continue
		}
		if onlySound && !c.isSound(ep, e, &pl) {
			continue // e would not take it while a sound one may get room
		}
		if best == nil || ep.freeBlocks() > best.freeBlocks() {
			best = ep
		}
	}
	if best != nil {
		c.pin = pin{entry: e, endpoint: best}
	}
}

// fits reports whether some usable endpoint of each role has the total memory for e.
func (c *Cell) fits(e *entry) bool {
	return hasBlocks(c.prefills, e.prompt) && hasBlocks(c.decodes, e.prompt+e.output)
}

func hasBlocks(eps []*endpoint, tokens int64) bool {
	for _, ep := range eps {
		if ep.Slots > 0 && ep.blocksFor(tokens) <= ep.Blocks {
			return true
		}
	}
	return false
}
