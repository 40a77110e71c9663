package schedule

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// HandleSlotRequest queues a request or grants it at once. A duplicate slot request
// gets the same grant or refusal again.
func HandleSlotRequest(c *Cell, now time.Time, from id.Host, m message.SlotRequest) []Action {
	c.advance(now)
	if r, ok := c.ended.records[m.Request]; ok && r.attempt >= m.Attempt {
		return c.resendRefusal(from, m, r)
	}
	var acts []Action
	if e, ok := c.entries[m.Request]; ok {
		if e.attempt >= m.Attempt {
			return c.resendGrant(e, m)
		}
		acts = c.abandon(acts, e)
	}
	e := c.newEntry(from, m)
	c.entries[e.request] = e
	e.account.liveEntries++
	if reason := c.unplaceable(e); reason != "" {
		return append(acts, c.refuse(e, reason))
	}
	if c.cfg.Policy.Placement != PlacementReserve {
		return append(acts, c.grantUnreserved(e))
	}
	if c.missesTarget(e) || c.exceedsMaxWait(e) {
		return append(acts, c.refuse(e, ReasonTooLate))
	}
	acts, ok := c.makeRoom(acts, e)
	if !ok {
		return acts
	}
	c.countArrival(e)
	c.enqueue(e)
	return c.grantQueued(acts)
}

// resendRefusal answers a duplicate slot request of an attempt that was refused or whose
// grant expired. A host ignores a refusal of an attempt that it has started.
func (c *Cell) resendRefusal(from id.Host, m message.SlotRequest, r endedRecord) []Action {
	if r.attempt != m.Attempt || r.outcome == outcomeClosed {
		return nil
	}
	refusal := message.SlotRefusal{Request: m.Request, Attempt: m.Attempt, Reason: r.reason, Retry: r.retry}
	return []Action{Send{To: from, Message: refusal, Level: m.Level}}
}

// resendGrant sends a grant that is still valid again, because the first message may
// have been lost.
func (c *Cell) resendGrant(e *entry, m message.SlotRequest) []Action {
	if e.attempt != m.Attempt || e.state != stateGranted {
		return nil
	}
	valid := c.cfg.GrantValid - (c.now - (e.reservedUntil - c.cfg.GrantTimeout))
	if valid <= 0 {
		return nil
	}
	return []Action{Send{To: e.host, Message: c.grantMessage(e, valid), Level: e.stated}}
}

func (c *Cell) newEntry(from id.Host, m message.SlotRequest) *entry {
	e := &entry{
		request:            m.Request,
		attempt:            m.Attempt,
		host:               from,
		az:                 m.AZ,
		account:            c.account(m.Account),
		class:              m.Class,
		stated:             m.Level,
		level:              c.levelIndex(m.Level),
		prompt:             clampTokens(m.PromptTokens),
		output:             clampTokens(m.OutputTokens),
		expected:           expectedOutput(m.OutputTokens, m.Expected),
		prefix:             m.Prefix,
		avoid:              m.Avoid,
		canWait:            m.CanWait,
		requestedAt:        c.now,
		laneIndex:          -1,
		queueDeadlineIndex: -1,
		runIndex:           -1,
	}
	e.prefillTime = durationAtRate(e.prompt, c.capacity.prefillRate)
	e.large = e.prefillTime > c.cfg.LargePrefillTime
	if !e.large && c.classIndex(e.class) == interactive {
		c.lastSmallRequest = c.now
		c.hasSmallRequest = true
	}
	c.setTimes(e, m)
	c.setSpeedNeeds(e, m)
	return e
}

// expectedOutput returns the expected output tokens, or the limit if there is no
// estimate.
func expectedOutput(limit, expected int64) int64 {
	if expected <= 0 {
		return clampTokens(limit)
	}
	return clampTokens(min(expected, limit))
}

// setTimes derives the latest start from the first-token target. A target that not
// even an idle cell could meet bounds the time in the queue instead, because otherwise
// each retry would be refused again.
func (c *Cell) setTimes(e *entry, m message.SlotRequest) {
	target := m.FirstToken
	e.arrivedAt = c.now - max(m.Waited, 0)
	e.maxWait = m.MaxWait
	waitLimit := e.waitLimit(c)
	e.latestStart, e.queueDeadline = waitLimit, waitLimit
	isDeferrable := c.classIndex(e.class) == deferrable
	if target <= 0 || (isDeferrable && c.cfg.Policy.NoLateLast) {
		return
	}
	work := e.prefillTime + durationAtRate(e.prompt, c.capacity.linkRate) + c.cfg.FirstTokenMargin
	e.latestStart = e.arrivedAt - max(m.ElapsedBeforeEntry, 0) + target - work
	if target < work {
		e.latestStart = e.arrivedAt + target
	}
	if isDeferrable || !c.cfg.Policy.NoEarlyRefusal {
		e.queueDeadline = e.latestStart
	}
}

// unplaceable returns the reason why e must not wait in this cell: no endpoint of one
// role is usable, reachable from its host or large enough. Otherwise it returns "".
func (c *Cell) unplaceable(e *entry) string {
	if len(c.prefills) == 0 || len(c.decodes) == 0 {
		return ReasonNoEndpoint
	}
	if !c.canReachAny(e, c.prefills) || !c.canReachAny(e, c.decodes) {
		return ReasonNoEndpoint
	}
	if !c.fits(e) {
		return ReasonTooLarge
	}
	return ""
}

// missesTarget reports whether e cannot meet its first-token target in this cell:
// until the latest start, each prefill endpoint is busy or needed by interactive
// requests that are queued already. A refusal now lets its host try another cell in
// time.
func (c *Cell) missesTarget(e *entry) bool {
	if c.cfg.Policy.NoRedirect || c.cfg.Policy.NoEarlyRefusal || e.canWait || c.classIndex(e.class) == deferrable {
		return false
	}
	if e.queueDeadline >= e.waitLimit(c) {
		return false
	}
	free := c.backlog(c.prefills[0])
	for _, ep := range c.prefills {
		free = min(free, c.backlog(ep))
	}
	_, prompt := c.sumQueues(interactive, e.level)
	ahead := time.Duration(prompt) * c.capacity.promptCost / time.Duration(len(c.prefills))
	return c.now+free+ahead > e.latestStart
}

// exceedsMaxWait reports whether the requests ahead of e will keep it queued for
// longer than its caller waits. In a burst, a request that cannot be served is refused
// at once, so that its caller can retry when there is capacity.
func (c *Cell) exceedsMaxWait(e *entry) bool {
	if e.maxWait <= 0 {
		return false
	}
	afterTarget := e.latestStart < c.now || c.classIndex(e.class) == deferrable
	if !afterTarget && c.now+c.levelWait(false, e.level, 0) <= e.latestStart {
		return false
	}
	return c.now+c.levelWait(true, e.level, 0) > e.waitLimit(c)
}

// refuseUnplaceable refuses the queued requests that have become unplaceable after
// a change of the endpoints.
func (c *Cell) refuseUnplaceable(acts []Action) []Action {
	var lost []*entry
	for _, e := range c.queueDeadlines {
		if c.unplaceable(e) != "" {
			lost = append(lost, e)
		}
	}
	sortEntries(lost)
	for _, e := range lost {
		acts = append(acts, c.refuse(e, c.unplaceable(e)))
	}
	return acts
}

// refuse ends an attempt that has no reservation.
func (c *Cell) refuse(e *entry, reason string) Action {
	retry := c.retryAfter(e, reason)
	if e.lane != nil {
		c.dequeue(e)
	}
	c.recordEnd(e, endedRecord{outcome: outcomeRefused, reason: reason, retry: retry})
	refusal := message.SlotRefusal{Request: e.request, Attempt: e.attempt, Reason: reason, Retry: retry}
	return Send{To: e.host, Message: refusal, Level: e.stated}
}

// handleQueueDeadlines refuses or demotes the queued requests whose queue deadline has
// passed.
func (c *Cell) handleQueueDeadlines(acts []Action) []Action {
	for len(c.queueDeadlines) > 0 && c.queueDeadlines[0].queueDeadline < c.now {
		e := c.queueDeadlines[0]
		if e.queueDeadline >= e.waitLimit(c) {
			acts = append(acts, c.refuse(e, ReasonWaitLimit))
			continue
		}
		if !e.canWait && c.classIndex(e.class) != deferrable {
			acts = append(acts, c.refuse(e, ReasonTooLate))
			continue
		}
		c.demote(e)
	}
	return acts
}

// waitLimit returns the end of the longest queueing time of e.
func (e *entry) waitLimit(c *Cell) time.Duration {
	if e.maxWait > 0 {
		return e.arrivedAt + min(e.maxWait, c.cfg.MaxDeferrableWait)
	}
	return e.arrivedAt + c.cfg.MaxDeferrableWait
}

// demote queues a request behind all deferrable requests of its account that can still
// meet their target.
func (c *Cell) demote(e *entry) {
	c.dequeue(e)
	e.class = message.ClassDeferrable
	e.latestStart = e.waitLimit(c)
	e.queueDeadline = e.latestStart
	c.enqueue(e)
}
