package schedule

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// HandleUpdate records the progress or the end of an attempt.
func HandleUpdate(c *Cell, now time.Time, _ id.Host, m message.SlotUpdate) []Action {
	c.advance(now)
	e, ok := c.entries[m.Request]
	if m.Failed != "" && !c.ended.covers(m.Request, m.Attempt) {
		c.recordFailure(m.Failed)
		if ok && m.Unreachable {
			c.recordUnreachable(e.az, c.endpoints[m.Failed])
		}
	}
	if ok && e.attempt > m.Attempt {
		return nil
	}
	var acts []Action
	if ok && e.attempt < m.Attempt {
		if m.Phase != message.PhaseDone && m.Phase != message.PhaseCancelled {
			return nil
		}
		acts = c.abandon(acts, e) // another cell granted the later attempt
		ok = false
	}
	if !ok {
		c.recordUnknownEnd(m)
		return c.grantQueued(acts)
	}
	e.tokens = max(e.tokens, clampTokens(m.Tokens))
	switch m.Phase {
	case message.PhaseDone, message.PhaseCancelled:
		c.endAttempt(e, m.Phase)
	default:
		if !c.progress(e, m.Phase) && m.Failed == "" {
			return acts
		}
	}
	return c.grantQueued(acts)
}

// recordUnknownEnd records the end of an attempt whose slot request may still arrive.
func (c *Cell) recordUnknownEnd(m message.SlotUpdate) {
	if m.Phase != message.PhaseDone && m.Phase != message.PhaseCancelled {
		return
	}
	if !c.ended.covers(m.Request, m.Attempt) {
		c.ended.add(m.Request, endedRecord{attempt: m.Attempt, until: c.now + c.cfg.EndedRetention})
	}
}

// endAttempt ends an attempt that its host has reported as done or cancelled.
func (c *Cell) endAttempt(e *entry, phase message.Phase) {
	if e.lane != nil {
		c.dequeue(e)
		c.recordEnd(e, endedRecord{})
		return
	}
	if phase == message.PhaseDone {
		markHealthy(e.prefill, e)
		markHealthy(e.decode, e)
		c.recordReachable(e.az, e.decode)
		c.measureTokenTime(e)
	}
	c.refund(e, c.usedCost(e))
	c.release(e)
	c.recordEnd(e, endedRecord{})
}

// usedCost returns the cost of the tokens that an attempt has used.
func (c *Cell) usedCost(e *entry) time.Duration {
	if e.state == stateGranted {
		return 0
	}
	return c.cost(e.prompt, min(e.tokens, e.output))
}

// markHealthy clears the failures of ep if e is its probe. The success of another
// attempt proves nothing: the message may be older than the failure.
func markHealthy(ep *endpoint, e *entry) {
	if ep != nil && ep.probe == e {
		ep.markHealthy()
	}
}

// progress extends the reservation of e and moves it to a later phase. It reports
// whether that released the prefill endpoint.
func (c *Cell) progress(e *entry, phase message.Phase) bool {
	if e.lane != nil {
		return false // the next hold of its host names the endpoints
	}
	e.state = stateRunning
	if e.tokens > 0 {
		markHealthy(e.decode, e)
	}
	startsDecode := phase == message.PhaseDecode && e.phase != message.PhaseDecode
	if startsDecode {
		c.startDecode(e)
	}
	c.extend(e)
	return startsDecode
}

// startDecode moves e to the decode phase and releases its prefill endpoint. The
// transfer occupies the links from now on.
func (c *Cell) startDecode(e *entry) {
	e.phase = message.PhaseDecode
	e.decodeSince = c.now
	c.startClock(e)
	length := e.transferEnd - e.transferStart
	e.transferStart = c.now
	e.transferEnd = c.now + length
	p := e.prefill
	if p == nil {
		return
	}
	markHealthy(p, e)
	c.recordReachable(e.az, p)
	c.measurePrefill(e)
	if e.prefix != 0 && e.grantedHere {
		p.cache.add(e.prefix, c.cfg.MaxCachedPrefixes)
	}
	c.freePrefill(e)
}

// HandleHold registers or refreshes a running attempt, which a predecessor may have
// granted.
func HandleHold(c *Cell, now time.Time, from id.Host, m message.SlotHold) []Action {
	c.advance(now)
	if m.Phase == message.PhaseDone || m.Phase == message.PhaseCancelled {
		return HandleUpdate(c, now, from, message.SlotUpdate{Request: m.Request, Attempt: m.Attempt, Phase: m.Phase})
	}
	if r, ok := c.ended.records[m.Request]; ok && r.attempt >= m.Attempt {
		if r.attempt > m.Attempt || r.outcome != outcomeRefused {
			return nil // late, or already cancelled on the endpoints
		}
	}
	var acts []Action
	if e, ok := c.entries[m.Request]; ok {
		if e.attempt > m.Attempt {
			return nil
		}
		if e.attempt == m.Attempt && e.lane == nil {
			if e.phase == message.PhaseDecode {
				markHealthy(e.decode, e) // the host still waits for its tokens
			}
			if !c.progress(e, m.Phase) {
				return nil
			}
			return c.grantQueued(nil)
		}
		acts = c.displace(acts, e, m.Attempt)
	}
	c.register(from, m)
	return c.grantQueued(acts)
}

// displace removes the queued entry of an attempt that already runs under a grant of
// another scheduler, or ends an earlier attempt.
func (c *Cell) displace(acts []Action, e *entry, attempt id.Attempt) []Action {
	if e.attempt < attempt {
		return c.abandon(acts, e)
	}
	c.dequeue(e)
	c.removeEntry(e)
	return acts
}

// register reserves the endpoints of an attempt that this cell has not granted.
func (c *Cell) register(from id.Host, m message.SlotHold) {
	e := &entry{
		request:            m.Request,
		attempt:            m.Attempt,
		host:               from,
		state:              stateRunning,
		phase:              m.Phase,
		prompt:             clampTokens(m.PromptTokens),
		output:             clampTokens(m.OutputTokens),
		expected:           expectedOutput(m.OutputTokens, m.Expected),
		prefillStart:       c.now,
		decodeSince:        c.now,
		laneIndex:          -1,
		queueDeadlineIndex: -1,
		runIndex:           -1,
	}
	var p, d *endpoint
	if m.Prefill != "" && m.Phase != message.PhaseDecode {
		p = c.endpoint(m.Prefill)
	}
	if m.Decode != "" {
		d = c.endpoint(m.Decode)
	}
	if p == nil && d == nil {
		return
	}
	c.entries[e.request] = e
	c.reserve(e, p, d)
	c.startClock(e)
	if p != nil {
		e.prefillTime = durationAtRate(e.prompt, c.rateOn(p))
		e.prefillStart = c.now + c.backlog(p)
		e.prefillEnd = e.prefillStart + e.prefillTime
		p.prefills = append(p.prefills, e)
	}
	c.extend(e)
}

func (c *Cell) reserve(e *entry, p, d *endpoint) {
	if p != nil {
		e.prefill = p
		e.prefillBlocks = p.blocksFor(e.prompt)
		p.addReservation(e, e.prefillBlocks)
	}
	if d != nil {
		e.decode = d
		e.decodeBlocks = d.blocksFor(e.prompt + e.output)
		d.addReservation(e, e.decodeBlocks)
		d.decoding = append(d.decoding, e)
		d.decodingPrompt += e.prompt
	}
	e.runIndex = len(c.runs)
	c.runs = append(c.runs, e)
}

func (c *Cell) freePrefill(e *entry) {
	p := e.prefill
	if p == nil {
		return
	}
	p.removeReservation(e, e.prefillBlocks)
	e.prefill = nil
	e.prefillBlocks = 0
	if i := slices.Index(p.prefills, e); i >= 0 {
		p.prefills = slices.Delete(p.prefills, i, i+1)
	}
	c.replanPrefills(p)
	c.deleteIfUnused(p)
}

// release frees all reservations of e.
func (c *Cell) release(e *entry) {
	if e.transferSource != nil {
		e.transferSource.removeTransfer(e)
		e.transferSource = nil
	}
	c.freePrefill(e)
	if d := e.decode; d != nil {
		d.removeTransfer(e)
		d.removeReservation(e, e.decodeBlocks)
		if i := slices.Index(d.decoding, e); i >= 0 {
			d.decoding = slices.Delete(d.decoding, i, i+1)
			d.decodingPrompt -= e.prompt
		}
		e.decode = nil
		e.decodeBlocks = 0
		c.slotReleases.count++
		c.deleteIfUnused(d)
	}
	last := len(c.runs) - 1
	c.runs[e.runIndex] = c.runs[last]
	c.runs[e.runIndex].runIndex = e.runIndex
	c.runs[last] = nil
	c.runs = c.runs[:last]
	e.runIndex = -1
}

func (c *Cell) deleteIfUnused(ep *endpoint) {
	if !ep.member && ep.slots == 0 {
		delete(c.endpoints, ep.Name)
	}
}

// cancel releases e and cancels it on the endpoints where it may run.
func (c *Cell) cancel(acts []Action, e *entry, o outcome) []Action {
	if e.prefill != nil {
		acts = append(acts, Cancel{Endpoint: e.prefill.Name, Request: e.request, Attempt: e.attempt})
	}
	if e.decode != nil {
		acts = append(acts, Cancel{Endpoint: e.decode.Name, Request: e.request, Attempt: e.attempt})
	}
	c.refund(e, c.usedCost(e))
	c.release(e)
	c.recordEnd(e, endedRecord{outcome: o, reason: ReasonGrantExpired, retry: c.cfg.MinRetry})
	return acts
}

// abandon ends an attempt in any state.
func (c *Cell) abandon(acts []Action, e *entry) []Action {
	if e.lane != nil {
		c.dequeue(e)
		c.recordEnd(e, endedRecord{})
		return acts
	}
	return c.cancel(acts, e, outcomeClosed)
}

// recordEnd removes an entry and records how it ended.
func (c *Cell) recordEnd(e *entry, r endedRecord) {
	c.removeEntry(e)
	r.attempt = e.attempt
	r.until = c.now + c.cfg.EndedRetention
	c.ended.add(e.request, r)
}

func (c *Cell) removeEntry(e *entry) {
	delete(c.entries, e.request)
	if e.account != nil {
		e.account.liveEntries--
	}
}

// HandleHostDeath drops the queued requests of a dead host and cancels its runs.
func HandleHostDeath(c *Cell, now time.Time, h id.Host) []Action {
	c.advance(now)
	var lost []*entry
	for _, e := range c.entries {
		if e.host == h {
			lost = append(lost, e)
		}
	}
	sortEntries(lost)
	var acts []Action
	for _, e := range lost {
		acts = c.abandon(acts, e)
	}
	return c.grantQueued(acts)
}

func sortEntries(list []*entry) {
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.request, b.request) })
}

// sweep cancels expired reservations, asks for overdue ones, and removes old records of
// ended attempts and idle accounts.
func (c *Cell) sweep(acts []Action) []Action {
	if c.now-c.lastSweep < c.cfg.SweepInterval {
		return acts
	}
	c.slotReleases.addPeriod(c.now - c.lastSweep)
	c.measureArrivals(c.now - c.lastSweep)
	c.updateSpeeds(c.now - c.lastSweep)
	c.lastSweep = c.now
	c.ended.expire(c.now)
	if c.now-c.lastAccountSweep >= c.cfg.AccountSweepInterval {
		c.lastAccountSweep = c.now
		c.dropIdleAccounts()
	}
	for i := len(c.runs) - 1; i >= 0; i-- {
		e := c.runs[i]
		if e.reservedUntil >= c.now {
			continue
		}
		o := outcomeClosed
		if e.state == stateGranted {
			o = outcomeExpired
		}
		acts = c.cancel(acts, e, o)
	}
	return c.queryOverdue(acts)
}
