package schedule

import (
	"time"

	"ragwortshunt.example/fleet/message"
)

// round is the state of one pass over the queue. Capacity only shrinks during
// a pass, so an obstacle that does not depend on one request stays.
type round struct {
	scanned  int
	noLarge  bool
	noTokens int64 // no memory for a request of this size; 0 is unknown
}

// grantQueued grants queued requests in order while endpoints can take them.
func (c *Cell) grantQueued(acts []Action) []Action {
	acts = c.giveUpLate(acts)
	if c.queued() == 0 || len(c.prefills) == 0 || len(c.decodes) == 0 {
		return acts
	}
	if e := c.pin.entry; e != nil {
		if pl, why := c.place(e); why == obstacleNone {
			acts = append(acts, c.grant(e, pl))
		}
	}
	var r round
	for r.scanned < c.cfg.ScanLimit {
		e := c.next(&r)
		if e == nil {
			break
		}
		pl, why := c.place(e)
		if why == obstacleNone {
			acts = append(acts, c.grant(e, pl))
			continue
		}
		if why == obstaclePrefill || why == obstacleSlot {
			break
		}
		r.scanned++
		c.pass(&r, e, why)
	}
	c.bringBack()
	return acts
}

// pass notes why e gets no grant in this round.
func (c *Cell) pass(r *round, e *entry, why obstacle) {
	switch {
	case why == obstacleLarge:
		r.noLarge = true
	case why == obstacleMemory:
		r.noTokens = e.prompt + e.output
		c.drainFor(e)
	default:
		c.setAside(e.lane)
	}
}

// next returns the request that is to be tried next: interactive before
// deferrable, unless deferrable requests are owed their share.
func (c *Cell) next(r *round) *entry {
	first, second := &c.classes[interactive], &c.classes[deferrable]
	if c.debt > 0 {
		first, second = second, first
	}
	if e := c.nextOf(r, first); e != nil {
		return e
	}
	return c.nextOf(r, second)
}

// nextOf returns the first request of a class that no known obstacle concerns.
// Once there is an obstacle it looks only at the front of the queue.
func (c *Cell) nextOf(r *round, q *classQueue) *entry {
	if len(q.lanes) == 0 {
		return nil
	}
	if !r.noLarge && r.noTokens == 0 {
		return q.lanes[0].heap[0]
	}
	var best *entry
	for i, l := range q.lanes[:min(len(q.lanes), c.cfg.ScanLimit)] {
		if best != nil && !q.lanes.Less(i, best.lane.index) {
			continue
		}
		if e := c.pick(r, l); e != nil {
			best = e
		}
	}
	return best
}

// pick returns the head of a lane or, if memory is short for it, one of the next
// requests that need less.
func (c *Cell) pick(r *round, l *lane) *entry {
	if r.noLarge && l.heap[0].large {
		return nil
	}
	for _, e := range l.heap[:min(len(l.heap), c.cfg.ScanLane)] {
		if r.noTokens == 0 || e.prompt+e.output < r.noTokens {
			return e
		}
	}
	c.drainFor(l.heap[0])
	return nil
}

// setAside takes a lane out of the order until the end of the round.
func (c *Cell) setAside(l *lane) {
	c.classes[l.flow.class].remove(l)
	l.aside = true
	c.aside = append(c.aside, l)
}

func (c *Cell) bringBack() {
	for i, l := range c.aside {
		l.aside = false
		c.aside[i] = nil
		c.fixFlow(l.flow)
	}
	c.aside = c.aside[:0]
}

// grant reserves a placement for a queued request.
func (c *Cell) grant(e *entry, pl placement) Action {
	c.dequeue(e)
	e.own = true
	e.state = stateGranted
	e.phase = message.PhasePrefill
	e.deadline = c.now + c.cfg.HoldTimeout
	c.charge(e)
	c.means.granted(e)
	c.reserve(e, pl.prefill, pl.decode)
	e.prefillTime = pl.prefillEnd - pl.prefillStart
	e.prefillStart = pl.prefillStart
	e.prefillEnd = pl.prefillEnd
	e.sendStart = pl.sendStart
	e.sendEnd = pl.sendEnd
	pl.prefill.queue = append(pl.prefill.queue, e)
	c.addLinks(e)
	pl.prefill.try(e)
	pl.decode.try(e)
	return Send{To: e.host, Message: c.grantMessage(e, c.cfg.GrantValid)}
}

func (ep *endpoint) try(e *entry) {
	if ep.fails > 0 {
		ep.probe = e
	}
}

func (c *Cell) grantMessage(e *entry, valid time.Duration) message.SlotGrant {
	return message.SlotGrant{
		Request: e.request,
		Attempt: e.attempt,
		Prefill: e.prefill.Name,
		Decode:  e.decode.Name,
		Valid:   valid,
	}
}

// grantBlind grants at once, as a router without a queue would.
func (c *Cell) grantBlind(e *entry) Action {
	p := c.blindChoice(e, c.prefills)
	d := c.blindChoice(e, c.decodes)
	c.turn++
	if p == nil || d == nil {
		return c.refuse(e, ReasonNoEndpoint)
	}
	c.enqueue(e)
	pl := placement{prefill: p, decode: d, prefillStart: c.now, prefillEnd: c.now + tokenTime(e.prompt, p.rate())}
	return c.grant(e, pl)
}

func (c *Cell) blindChoice(e *entry, eps []*endpoint) *endpoint {
	var best *endpoint
	avoid := c.avoids(e, eps)
	for i := range eps {
		ep := eps[(c.turn+i)%len(eps)]
		if !c.open(ep) || (avoid && ep.Name == e.avoid) {
			continue
		}
		if best == nil {
			best = ep
		}
		if c.cfg.Policy.Placement == PlacementRoundRobin {
			return best
		}
		if ep.reportedLoad() < best.reportedLoad() {
			best = ep
		}
	}
	return best
}

// reportedLoad is the load of the last report, in parts per million of the
// slots, or in microseconds of prefill.
func (ep *endpoint) reportedLoad() int64 {
	if ep.PrefillRate > 0 {
		return tokenTime(ep.waiting, ep.PrefillRate).Microseconds()
	}
	return ep.running * 1_000_000 / max(1, ep.Slots)
}
