package schedule

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// HandleUpdate notes the progress of an attempt.
func HandleUpdate(c *Cell, now time.Time, _ id.Host, m message.SlotUpdate) []Action {
	c.advance(now)
	e, ok := c.entries[m.Request]
	if m.Failed != "" && !c.ended.covers(m.Request, m.Attempt) {
		c.failed(m.Failed)
		if ok && m.Down {
			c.outOfReach(e.az, c.endpoints[m.Failed])
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
		acts = c.abandon(acts, e) // the later attempt went through another cell
		ok = false
	}
	if !ok {
		c.endUnknown(m)
		return c.grantQueued(acts)
	}
	e.tokens = max(e.tokens, clampTokens(m.Tokens))
	switch m.Phase {
	case message.PhaseDone, message.PhaseCancelled:
		c.end(e, m.Phase)
	default:
		if !c.progress(e, m.Phase) && m.Failed == "" {
			return acts
		}
	}
	return c.grantQueued(acts)
}

// endUnknown remembers that an attempt has ended whose ask may still arrive.
func (c *Cell) endUnknown(m message.SlotUpdate) {
	if m.Phase != message.PhaseDone && m.Phase != message.PhaseCancelled {
		return
	}
	if !c.ended.covers(m.Request, m.Attempt) {
		c.ended.add(m.Request, endedRecord{attempt: m.Attempt, until: c.now + c.cfg.EndedMemory})
	}
}

// end closes an attempt that its host has reported as done or cancelled.
func (c *Cell) end(e *entry, phase message.Phase) {
	if e.lane != nil {
		c.dequeue(e)
		c.forget(e, endedRecord{})
		return
	}
	if phase == message.PhaseDone {
		works(e.prefill, e)
		works(e.decode, e)
		c.reached(e.az, e.decode)
		c.measureTokenTime(e)
	}
	c.refund(e, c.used(e))
	c.release(e)
	c.forget(e, endedRecord{})
}

// used is the cost of what an attempt has consumed.
func (c *Cell) used(e *entry) time.Duration {
	if e.state == stateGranted {
		return 0
	}
	return c.cost(e.prompt, min(e.tokens, e.output))
}

// works ends the failures of ep after a success of the attempt that tries it.
// Other attempts prove nothing: their messages may be older than the failure.
func works(ep *endpoint, e *entry) {
	if ep != nil && ep.probe == e {
		ep.works()
	}
}

// progress refreshes the reservation of e and moves it to a later phase. It
// tells whether that freed the prefill endpoint.
func (c *Cell) progress(e *entry, phase message.Phase) bool {
	if e.lane != nil {
		return false // its hold will tell the endpoints
	}
	e.state = stateRunning
	e.deadline = c.now + c.cfg.HoldLapse
	if e.tokens > 0 {
		works(e.decode, e)
	}
	if phase != message.PhaseDecode || e.phase == message.PhaseDecode {
		return false
	}
	c.startDecode(e)
	return true
}

// startDecode frees the prefill endpoint; the transfer takes the links from now.
func (c *Cell) startDecode(e *entry) {
	e.phase = message.PhaseDecode
	e.decodeSince = c.now
	length := e.sendEnd - e.sendStart
	e.sendStart = c.now
	e.sendEnd = c.now + length
	p := e.prefill
	if p == nil {
		return
	}
	works(p, e)
	c.reached(e.az, p)
	c.measurePrefill(e)
	if e.prefix != 0 && e.own {
		p.cache.add(e.prefix, c.cfg.CachedPrefixes)
	}
	c.freePrefill(e)
}

// HandleHold registers a running attempt, which a predecessor may have granted.
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
				works(e.decode, e) // the host still waits for its tokens
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

// displace removes the queued entry of an attempt that runs without our grant,
// or an earlier attempt.
func (c *Cell) displace(acts []Action, e *entry, attempt id.Attempt) []Action {
	if e.attempt < attempt {
		return c.abandon(acts, e)
	}
	c.dequeue(e)
	c.remove(e)
	return acts
}

// register reserves what an attempt holds that this cell has not granted.
func (c *Cell) register(from id.Host, m message.SlotHold) {
	e := &entry{
		request:     m.Request,
		attempt:     m.Attempt,
		host:        from,
		state:       stateRunning,
		phase:       m.Phase,
		prompt:      clampTokens(m.PromptTokens),
		output:      clampTokens(m.OutputTokens),
		expected:    expectedOutput(m.OutputTokens, m.Expected),
		deadline:    c.now + c.cfg.HoldLapse,
		decodeSince: c.now,
		laneIndex:   -1,
		lateIndex:   -1,
		runIndex:    -1,
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
	if p == nil {
		return
	}
	e.prefillTime = tokenTime(e.prompt, p.rate())
	e.prefillStart = c.now + c.backlog(p)
	e.prefillEnd = e.prefillStart + e.prefillTime
	p.queue = append(p.queue, e)
}

func (c *Cell) reserve(e *entry, p, d *endpoint) {
	if p != nil {
		e.prefill = p
		e.prefillBlocks = p.blocksFor(e.prompt)
		p.take(e, e.prefillBlocks)
	}
	if d != nil {
		e.decode = d
		e.decodeBlocks = d.blocksFor(e.prompt + e.output)
		d.take(e, e.decodeBlocks)
		d.decoding = append(d.decoding, e)
	}
	e.runIndex = len(c.runs)
	c.runs = append(c.runs, e)
}

func (c *Cell) freePrefill(e *entry) {
	p := e.prefill
	if p == nil {
		return
	}
	p.give(e, e.prefillBlocks)
	e.prefill = nil
	e.prefillBlocks = 0
	if i := slices.Index(p.queue, e); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	c.replan(p)
	c.dropUnused(p)
}

// release frees everything that e holds.
func (c *Cell) release(e *entry) {
	if e.sender != nil {
		e.sender.dropLink(e)
		e.sender = nil
	}
	c.freePrefill(e)
	if d := e.decode; d != nil {
		d.dropLink(e)
		d.give(e, e.decodeBlocks)
		if i := slices.Index(d.decoding, e); i >= 0 {
			d.decoding = slices.Delete(d.decoding, i, i+1)
		}
		e.decode = nil
		e.decodeBlocks = 0
		c.releases.count++
		c.dropUnused(d)
	}
	last := len(c.runs) - 1
	c.runs[e.runIndex] = c.runs[last]
	c.runs[e.runIndex].runIndex = e.runIndex
	c.runs[last] = nil
	c.runs = c.runs[:last]
	e.runIndex = -1
}

func (c *Cell) dropUnused(ep *endpoint) {
	if !ep.member && ep.slots == 0 {
		delete(c.endpoints, ep.Name)
	}
}

// cancel frees e and cancels it on the endpoints where it may run.
func (c *Cell) cancel(acts []Action, e *entry, o outcome) []Action {
	if e.prefill != nil {
		acts = append(acts, Cancel{Endpoint: e.prefill.Name, Request: e.request, Attempt: e.attempt})
	}
	if e.decode != nil {
		acts = append(acts, Cancel{Endpoint: e.decode.Name, Request: e.request, Attempt: e.attempt})
	}
	c.refund(e, c.used(e))
	c.release(e)
	c.forget(e, endedRecord{outcome: o, reason: ReasonGrantExpired, retry: c.cfg.RetryLeast})
	return acts
}

// abandon ends an attempt in whatever state it is.
func (c *Cell) abandon(acts []Action, e *entry) []Action {
	if e.lane != nil {
		c.dequeue(e)
		c.forget(e, endedRecord{})
		return acts
	}
	return c.cancel(acts, e, outcomeClosed)
}

// forget removes an entry and remembers how it ended.
func (c *Cell) forget(e *entry, r endedRecord) {
	c.remove(e)
	r.attempt = e.attempt
	r.until = c.now + c.cfg.EndedMemory
	c.ended.add(e.request, r)
}

func (c *Cell) remove(e *entry) {
	delete(c.entries, e.request)
	if e.account != nil {
		e.account.live--
	}
}

// HostGone drops the queued requests of a dead host and cancels its runs.
func HostGone(c *Cell, now time.Time, h id.Host) []Action {
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

// sweep cancels reservations that no host has refreshed, and forgets old ends.
func (c *Cell) sweep(acts []Action) []Action {
	if c.now-c.sweptAt < c.cfg.SweepTime {
		return acts
	}
	c.releases.roll(c.now - c.sweptAt)
	c.sweptAt = c.now
	c.ended.expire(c.now)
	if c.now-c.accountsAt >= c.cfg.AccountMemory {
		c.accountsAt = c.now
		c.dropIdleAccounts()
	}
	for i := len(c.runs) - 1; i >= 0; i-- {
		e := c.runs[i]
		if e.deadline >= c.now {
			continue
		}
		o := outcomeClosed
		if e.state == stateGranted {
			o = outcomeExpired
		}
		acts = c.cancel(acts, e, o)
	}
	return acts
}
