package schedule

import (
	"slices"
	"time"
)

// obstacle is the reason why a queued request gets no grant now.
type obstacle uint8

const (
	obstacleNone    obstacle = iota
	obstaclePrefill          // every prefill endpoint has enough work
	obstacleLarge            // the endpoints for large prompts have enough work
	obstacleSlot             // no decode slot
	obstacleMemory           // no decode endpoint with enough memory
	obstacleLink             // a link is busy for too long
	obstacleOther            // concerns this request alone
)

// placement is a choice of endpoints with the planned times.
type placement struct {
	prefill, decode          *endpoint
	prefillStart, prefillEnd time.Duration
	sendStart, sendEnd       time.Duration
}

// pin keeps a decode endpoint from new work, so that enough memory becomes free
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
	pl := placement{prefill: p, prefillStart: start, prefillEnd: start + tokenTime(e.prompt, p.rate())}
	why = c.chooseDecode(e, &pl)
	return pl, why
}

// open tells whether the endpoint may get a grant, as far as its failures and
// the rebuilding go.
func (c *Cell) open(ep *endpoint) bool {
	if c.now < ep.backOffUntil || (ep.fails > 0 && ep.probe != nil) {
		return false
	}
	return !c.rebuilding() || ep.ownSlots < max(1, ep.Slots*c.cfg.RebuildPercent/100)
}

// avoids tells whether e can avoid the endpoint of its failed attempt: there
// must be another one of its role that takes work. Otherwise e would wait for the
// back-off of all others to end.
func (c *Cell) avoids(e *entry, eps []*endpoint) bool {
	return e.avoid != "" && slices.ContainsFunc(eps, func(ep *endpoint) bool {
		return ep.Name != e.avoid && c.open(ep) && !c.isCut(e, ep)
	})
}

// choosePrefill returns the endpoint where the prefill starts first. A cached
// prefix counts as a bonus, but is never waited for.
func (c *Cell) choosePrefill(e *entry) (*endpoint, obstacle) {
	if e.large && c.largeLimited() {
		return nil, obstacleLarge
	}
	avoid := c.avoids(e, c.prefills)
	var best *endpoint
	var least time.Duration
	why := obstaclePrefill
	for _, ep := range c.prefills {
		if c.isCut(e, ep) {
			why = obstacleOther
			continue
		}
		backlog := c.backlog(ep)
		if backlog > c.cfg.MaxBacklog || ep.freeSlots() < 1 || !c.open(ep) {
			continue
		}
		if ep.freeBlocks() < ep.blocksFor(e.prompt) || (avoid && ep.Name == e.avoid) {
			why = obstacleOther
			continue
		}
		score := backlog - c.affinity(ep, e)
		if ep.AZ != e.az {
			score += zonePenalty
		}
		if best == nil || score < least {
			best, least = ep, score
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

// largeLimited tells whether a large prompt must wait, because small ones would
// then find no prefill endpoint that is free soon. Besides the endpoint that the
// large prompt takes, another one must be free within LargeWait. That may be later
// than small prompts can wait; they then go to other cells, and a whole endpoint
// is not kept idle in each cell.
func (c *Cell) largeLimited() bool {
	if c.cfg.Policy.NoLargeLimit || !c.smallEver || c.now-c.smallSeen > c.cfg.SmallMemory {
		return false
	}
	soon := 0
	for _, ep := range c.prefills {
		if c.backlog(ep) <= c.cfg.LargeWait && c.now >= ep.backOffUntil {
			soon++
		}
	}
	return len(c.prefills) > 1 && soon < 2
}

// chooseDecode completes the placement with the decode endpoint that has the
// most room, among those with enough memory and with a link that is free
// while the KV cache lives.
func (c *Cell) chooseDecode(e *entry, pl *placement) obstacle {
	avoid := c.avoids(e, c.decodes)
	why := obstacleSlot
	var best *endpoint
	for _, ep := range c.decodes {
		free := ep.freeSlots()
		if free < 1 || c.pinned(ep, e) || !c.open(ep) {
			continue
		}
		if avoid && ep.Name == e.avoid || c.isCut(e, ep) {
			why = obstacleOther
			continue
		}
		if !c.hasRoom(ep, e) {
			if why == obstacleSlot {
				why = obstacleMemory
			}
			continue
		}
		if best != nil && !c.roomier(ep, best, e) {
			continue
		}
		if !c.planSend(e, pl, ep) {
			why = obstacleLink
			continue
		}
		best = ep
	}
	if best == nil {
		return why
	}
	pl.decode = best
	return obstacleNone
}

func (c *Cell) roomier(a, b *endpoint, e *entry) bool {
	if c.cfg.Projected {
		return c.peakFrom(a, e) < c.peakFrom(b, e)
	}
	if a.freeSlots() != b.freeSlots() {
		return a.freeSlots() > b.freeSlots()
	}
	return a.freeBlocks() > b.freeBlocks()
}

// peakFrom is peakWith, with an addition for an endpoint in another availability zone than the host
// of e. Within one zone a cut breaks nothing off, and the transfer takes half the time.
func (c *Cell) peakFrom(ep *endpoint, e *entry) int64 {
	peak := c.peakWith(ep, e)
	if ep.AZ != e.az {
		peak += ep.Blocks * ep.BlockTokens / zoneShare
	}
	return peak
}

func (c *Cell) pinned(ep *endpoint, e *entry) bool {
	return c.pin.endpoint == ep && c.pin.entry != e
}

// planSend plans the transfer to ep and tells whether it starts in time.
func (c *Cell) planSend(e *entry, pl *placement, ep *endpoint) bool {
	length := tokenTime(e.prompt, linkRate(pl.prefill, ep))
	at := sendAt(pl.prefill, ep, pl.prefillEnd, length)
	if at-pl.prefillEnd > c.cfg.KVSurvival-c.cfg.KVMargin {
		return false
	}
	pl.sendStart = at
	pl.sendEnd = at + length
	return true
}

// drainFor pins a decode endpoint for a request that has lacked memory for long.
func (c *Cell) drainFor(e *entry) {
	after := c.cfg.PinAfter
	if c.classIndex(e.class) == deferrable {
		after = c.cfg.PinDeferrableAfter
	}
	if c.cfg.Policy.NoPin || c.pin.entry != nil || c.now-e.asked < after {
		return
	}
	avoid := c.avoids(e, c.decodes)
	var best *endpoint
	for _, ep := range c.decodes {
		if !c.open(ep) || (avoid && ep.Name == e.avoid) || ep.Blocks < ep.blocksFor(e.prompt+e.output) {
			continue
		}
		if best == nil || ep.freeBlocks() > best.freeBlocks() {
			best = ep
		}
	}
	if best != nil {
		c.pin = pin{entry: e, endpoint: best}
	}
}

// fits tells whether some usable endpoint of each role has the memory for e.
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
