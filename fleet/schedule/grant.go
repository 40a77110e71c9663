package schedule

import (
	"time"

	"ragwortshunt.example/fleet/message"
)

// passState is the state of one pass over the queue. Capacity only shrinks during a pass,
// so an obstacle that is not specific to one request persists until the end of the pass.
type passState struct {
	scanned       int
	largeBlocked  bool  // large prompts cannot be granted
	blockedTokens int64 // requests of this many prompt and output tokens or more lack memory; 0 if none is known
	turnsEnded    bool  // a request lacks memory; see nextLowerLevel
	lacksMemory   bool  // an interactive request lacks memory, perhaps only that of engines that meet its needs
	held          bool  // such a request of heldLevel holds back the levels below
	heldLevel     int
	hasWaiting    bool // a request waits for a faster engine; see entry.waitsIn
}

// grantQueued refuses or demotes the requests whose queue deadline has passed, then
// grants queued requests in order until the endpoints can take no more.
func (c *Cell) grantQueued(acts []Action) []Action {
	acts = c.handleQueueDeadlines(acts)
	if c.queued() == 0 || len(c.prefills) == 0 || len(c.decodes) == 0 {
		c.hold.active = false
		return acts
	}
	if e := c.pin.entry; e != nil {
		if pl, why := c.place(e); why == obstacleNone {
			acts = append(acts, c.grant(e, pl))
		}
	}
	var r passState
	c.speeds.pass++
	for r.scanned < c.cfg.ScanLimit {
		e := c.nextEntry(&r)
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
		c.noteObstacle(&r, e, why)
	}
	c.restoreSkippedLanes()
	c.hold.active = c.hold.active && r.lacksMemory
	return acts
}

// noteObstacle records why e gets no grant in this pass.
func (c *Cell) noteObstacle(r *passState, e *entry, why obstacle) {
	switch why {
	case obstacleLarge:
		r.largeBlocked = true
	case obstacleSpeed:
		c.letWait(r, e)
	case obstacleNeeds:
		c.letWait(r, e)
		c.holdLowerLevels(r, e)
	case obstacleMemory:
		r.turnsEnded = true
		r.blockedTokens = e.prompt + e.output
		c.drainFor(e)
		c.holdLowerLevels(r, e)
	default:
		c.skipLane(e.lane)
	}
}

// letWait leaves e out of the rest of the pass.
func (c *Cell) letWait(r *passState, e *entry) {
	r.hasWaiting = true
	e.waitsIn = c.speeds.pass
}

// nextEntry returns the request to try next: a less urgent level whose turn it is, or else
// the most urgent level. Within a level, interactive requests come before deferrable ones,
// unless endpoint time is owed to deferrable requests.
func (c *Cell) nextEntry(r *passState) *entry {
	if e := c.nextLowerLevel(r); e != nil {
		return e
	}
	first, second := interactive, deferrable
	if c.deferrableDebt > 0 {
		first, second = second, first
	}
	for level := range c.levelCount() {
		for _, class := range [classCount]int{first, second} {
			if r.holdsBack(class, level) {
				continue
			}
			if e := c.nextInClass(r, &c.queues[class][level]); e != nil {
				return e
			}
		}
	}
	return nil
}

// nextInClass returns the first request of a class and level that is not subject to a known
// obstacle. Once there is an obstacle, it searches only the first ScanLimit lanes.
func (c *Cell) nextInClass(r *passState, q *classQueue) *entry {
	if len(q.lanes) == 0 {
		return nil
	}
	if !r.largeBlocked && r.blockedTokens == 0 && !r.hasWaiting {
		return q.lanes[0].heap[0]
	}
	var best *entry
	for i, l := range q.lanes[:min(len(q.lanes), c.cfg.ScanLimit)] {
		if best != nil && !q.lanes.Less(i, best.lane.index) {
			continue
		}
		if e := c.pickFromLane(r, l); e != nil {
			best = e
		}
	}
	return best
}

// pickFromLane returns the first request of a lane or, if it lacks memory or waits for a
// faster engine, one of the first LaneScanLimit requests that needs less or does not wait. It
// returns nil if there is none.
func (c *Cell) pickFromLane(r *passState, l *lane) *entry {
	if r.largeBlocked && l.heap[0].large {
		return nil
	}
	for _, e := range l.heap[:min(len(l.heap), c.cfg.LaneScanLimit)] {
		if r.hasWaiting && e.waitsIn == c.speeds.pass {
			continue
		}
		if r.blockedTokens == 0 || e.prompt+e.output < r.blockedTokens {
			return e
		}
	}
	if r.blockedTokens > 0 {
		c.drainFor(l.heap[0])
	}
	return nil
}

// skipLane removes a lane from the order until the end of the pass.
func (c *Cell) skipLane(l *lane) {
	c.queueOf(l.flow).remove(l)
	l.skipped = true
	c.skipped = append(c.skipped, l)
}

func (c *Cell) restoreSkippedLanes() {
	for i, l := range c.skipped {
		l.skipped = false
		c.skipped[i] = nil
		c.updateFlowOrder(l.flow)
	}
	c.skipped = c.skipped[:0]
}

// grant reserves a placement for a queued request.
func (c *Cell) grant(e *entry, pl placement) Action {
	c.dequeue(e)
	c.hold.active = c.hold.active && e.level > c.hold.level
	e.grantedHere = true
	e.state = stateGranted
	e.phase = message.PhasePrefill
	e.reservedUntil = c.now + c.cfg.GrantTimeout
	c.charge(e)
	c.runAverages.add(e, len(c.prefills)+len(c.decodes))
	c.reserve(e, pl.prefill, pl.decode)
	e.prefillTime = pl.prefillEnd - pl.prefillStart
	e.prefillStart = pl.prefillStart
	e.prefillEnd = pl.prefillEnd
	e.transferStart = pl.transferStart
	e.transferEnd = pl.transferEnd
	pl.prefill.prefills = append(pl.prefill.prefills, e)
	c.addTransfer(e)
	pl.prefill.takeFromRate()
	pl.decode.takeFromRate()
	pl.prefill.startProbe(e)
	pl.decode.startProbe(e)
	return Send{To: e.host, Message: c.grantMessage(e, c.cfg.GrantValid), Level: e.stated}
}

func (ep *endpoint) startProbe(e *entry) {
	if ep.failures > 0 {
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

		TokenTime: c.grantedTokenTime(e.decode),
	}
}

// grantUnreserved grants at once, as a router without a queue would.
func (c *Cell) grantUnreserved(e *entry) Action {
	p := c.chooseUnreserved(e, c.prefills)
	d := c.chooseUnreserved(e, c.decodes)
	c.roundRobin++
	if p == nil || d == nil {
		return c.refuse(e, ReasonNoEndpoint)
	}
	c.enqueue(e)
	pl := placement{prefill: p, decode: d, prefillStart: c.now, prefillEnd: c.now + durationAtRate(e.prompt, p.rate())}
	return c.grant(e, pl)
}

func (c *Cell) chooseUnreserved(e *entry, eps []*endpoint) *endpoint {
	var best *endpoint
	avoid := c.canAvoid(e, eps)
	for i := range eps {
		ep := eps[(c.roundRobin+i)%len(eps)]
		if !c.acceptsGrants(ep) || (avoid && ep.Name == e.avoid) {
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

// reportedLoad returns the load in the last report: for a decode endpoint the occupied
// slots in parts per million, for a prefill endpoint the waiting work in microseconds.
func (ep *endpoint) reportedLoad() int64 {
	if ep.PrefillRate > 0 {
		return durationAtRate(ep.reportedWaiting, ep.PrefillRate).Microseconds()
	}
	return ep.reportedRunning * 1_000_000 / max(1, ep.Slots)
}
