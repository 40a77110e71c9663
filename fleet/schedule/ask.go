package schedule

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// HandleAsk queues a request, or grants it at once. A repeated ask gets the
// same grant or refusal again.
func HandleAsk(c *Cell, now time.Time, from id.Host, m message.SlotAsk) []Action {
	c.advance(now)
	if r, ok := c.ended.records[m.Request]; ok && r.attempt >= m.Attempt {
		return c.repeatEnd(from, m, r)
	}
	var acts []Action
	if e, ok := c.entries[m.Request]; ok {
		if e.attempt >= m.Attempt {
			return c.repeatGrant(e, m)
		}
		acts = c.abandon(acts, e)
	}
	e := c.newEntry(from, m)
	c.entries[e.request] = e
	e.account.live++
	if reason := c.unplaceable(e); reason != "" {
		return append(acts, c.refuse(e, reason))
	}
	if c.cfg.Policy.Placement != PlacementReserve {
		return append(acts, c.grantBlind(e))
	}
	if c.hopeless(e) || c.outlasts(e) {
		return append(acts, c.refuse(e, ReasonTooLate))
	}
	acts, ok := c.makeRoom(acts, e)
	if !ok {
		return acts
	}
	c.enqueue(e)
	return c.grantQueued(acts)
}

// repeatEnd answers a repeated ask of an attempt that has ended. A host ignores
// a refusal of an attempt that it has started.
func (c *Cell) repeatEnd(from id.Host, m message.SlotAsk, r endedRecord) []Action {
	if r.attempt != m.Attempt || r.outcome == outcomeClosed {
		return nil
	}
	refusal := message.SlotRefuse{Request: m.Request, Attempt: m.Attempt, Reason: r.reason, Retry: r.retry}
	return []Action{Send{To: from, Message: refusal}}
}

// repeatGrant sends a grant again that may have been lost.
func (c *Cell) repeatGrant(e *entry, m message.SlotAsk) []Action {
	if e.attempt != m.Attempt || e.state != stateGranted {
		return nil
	}
	valid := c.cfg.GrantValid - (c.now - (e.deadline - c.cfg.HoldTimeout))
	if valid <= 0 {
		return nil
	}
	return []Action{Send{To: e.host, Message: c.grantMessage(e, valid)}}
}

func (c *Cell) newEntry(from id.Host, m message.SlotAsk) *entry {
	e := &entry{
		request:   m.Request,
		attempt:   m.Attempt,
		host:      from,
		az:        m.AZ,
		account:   c.account(m.Account),
		class:     m.Class,
		prompt:    clampTokens(m.PromptTokens),
		output:    clampTokens(m.OutputTokens),
		expected:  expectedOutput(m.OutputTokens, m.Expected),
		prefix:    m.Prefix,
		avoid:     m.Avoid,
		canWait:   m.CanWait,
		asked:     c.now,
		laneIndex: -1,
		lateIndex: -1,
		runIndex:  -1,
	}
	e.prefillTime = tokenTime(e.prompt, c.capacity.prefillRate)
	e.large = e.prefillTime > c.cfg.LargePrefill
	if !e.large && c.classIndex(e.class) == interactive {
		c.smallSeen = c.now
		c.smallEver = true
	}
	c.setTimes(e, m)
	return e
}

// expectedOutput returns the expected output tokens, which are the limit if nothing
// is known.
func expectedOutput(limit, expected int64) int64 {
	if expected <= 0 {
		return clampTokens(limit)
	}
	return clampTokens(min(expected, limit))
}

// setTimes derives the latest start from the first-token target. A target that
// not even an idle cell could meet bounds the time in the queue instead, because
// a refusal would come back for every retry.
func (c *Cell) setTimes(e *entry, m message.SlotAsk) {
	target := m.FirstToken
	e.arrived = c.now - max(m.Waited, 0)
	e.patience = m.Patience
	limit := e.limit(c)
	e.latest, e.giveUp = limit, limit
	waits := c.classIndex(e.class) == deferrable
	if target <= 0 || (waits && c.cfg.Policy.NoLateLast) {
		return
	}
	work := e.prefillTime + tokenTime(e.prompt, c.capacity.linkRate) + c.cfg.FirstTokenMargin
	e.latest = e.arrived - max(m.Earlier, 0) + target - work
	if target < work {
		e.latest = e.arrived + target
	}
	if waits || !c.cfg.Policy.NoEarlyRefusal {
		e.giveUp = e.latest
	}
}

// unplaceable returns the reason why the cell can never run e, or "".
func (c *Cell) unplaceable(e *entry) string {
	if len(c.prefills) == 0 || len(c.decodes) == 0 {
		return ReasonNoEndpoint
	}
	if !c.hasReach(e, c.prefills) || !c.hasReach(e, c.decodes) {
		return ReasonNoEndpoint
	}
	if !c.fits(e) {
		return ReasonTooLarge
	}
	return ""
}

// hopeless tells whether e must miss its first-token target in this cell: each
// prefill endpoint is busy, or taken by interactive requests that wait already,
// until it is too late. Its host can then try another cell while there is time.
func (c *Cell) hopeless(e *entry) bool {
	if c.cfg.Policy.NoRedirect || c.cfg.Policy.NoEarlyRefusal || e.canWait || c.classIndex(e.class) == deferrable {
		return false
	}
	if e.giveUp >= e.limit(c) {
		return false
	}
	free := c.backlog(c.prefills[0])
	for _, ep := range c.prefills {
		free = min(free, c.backlog(ep))
	}
	ahead := time.Duration(c.classes[interactive].prompt) * c.capacity.promptCost / time.Duration(len(c.prefills))
	return c.now+free+ahead > e.latest
}

// outlasts tells whether the requests before e will keep it waiting for longer than
// its caller has patience. It answers bursts: a request that cannot be served is
// better refused at once, so that its caller can come back when there is room.
func (c *Cell) outlasts(e *entry) bool {
	if e.patience <= 0 {
		return false
	}
	late := e.latest < c.now || c.classIndex(e.class) == deferrable
	if !late && c.now+c.queueWait(false) <= e.latest {
		return false
	}
	return c.now+c.queueWait(true) > e.limit(c)
}

// refuseUnplaceable refuses queued requests after a loss of endpoints.
func (c *Cell) refuseUnplaceable(acts []Action) []Action {
	var lost []*entry
	for _, e := range c.late {
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
	retry := c.retryAfter(reason)
	if retry > 0 && c.cfg.RetrySpread > 0 {
		retry += time.Duration(xxhash.Sum64String(string(e.request)) % uint64(c.cfg.RetrySpread))
	}
	if e.lane != nil {
		c.dequeue(e)
	}
	c.forget(e, endedRecord{outcome: outcomeRefused, reason: reason, retry: retry})
	refusal := message.SlotRefuse{Request: e.request, Attempt: e.attempt, Reason: reason, Retry: retry}
	return Send{To: e.host, Message: refusal}
}

func (c *Cell) retryAfter(reason string) time.Duration {
	if reason == ReasonTooLarge {
		return 0 // a retry would get the same answer
	}
	return min(max(c.expectedWait(), c.cfg.RetryLeast), c.cfg.RetryMost)
}

// giveUpLate refuses or demotes queued requests whose time has passed.
func (c *Cell) giveUpLate(acts []Action) []Action {
	for len(c.late) > 0 && c.late[0].giveUp < c.now {
		e := c.late[0]
		if e.giveUp >= e.limit(c) {
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

// limit is the end of the longest queueing time.
func (e *entry) limit(c *Cell) time.Duration {
	if e.patience > 0 {
		return e.arrived + min(e.patience, c.cfg.MaxDeferrableWait)
	}
	return e.arrived + c.cfg.MaxDeferrableWait
}

// demote lets a request wait behind all deferrable requests of its account that
// can still meet their target.
func (c *Cell) demote(e *entry) {
	c.dequeue(e)
	e.class = message.ClassDeferrable
	e.latest = e.limit(c)
	e.giveUp = e.latest
	c.enqueue(e)
}

// makeRoom keeps the queue within its bound and tells whether e may be queued. The account with the most queued
// requests for its weight loses one, so that a flood displaces only itself.
func (c *Cell) makeRoom(acts []Action, e *entry) ([]Action, bool) {
	if c.queued() < c.cfg.MaxQueue {
		return acts, true
	}
	victim := c.longestFlow(e)
	if victim == nil {
		return append(acts, c.refuse(e, ReasonQueueFull)), false
	}
	return append(acts, c.refuse(victim.last(), ReasonQueueFull)), true
}

// longestFlow returns the flow that loses a request to e, or nil if e itself is
// refused. Deferrable requests go first within an account.
func (c *Cell) longestFlow(e *entry) *flow {
	own := e.account
	most := own
	for _, a := range c.accounts {
		if a.longer(most, own) {
			most = a
		}
	}
	low, high := &most.flows[deferrable], &most.flows[interactive]
	if most == own && (c.classIndex(e.class) == deferrable || low.queued == 0) {
		return nil
	}
	if low.queued > 0 {
		return low
	}
	return high
}

// longer tells whether a has more requests for its weight than b, with names
// breaking ties and the asker counted with its new request.
func (a *account) longer(b, asker *account) bool {
	x := a.queuedWith(asker) * b.weight
	y := b.queuedWith(asker) * a.weight
	if x != y {
		return x > y
	}
	return a != asker && b != asker && a.name < b.name
}

func (a *account) queuedWith(asker *account) int64 {
	n := a.flows[interactive].queued + a.flows[deferrable].queued
	if a == asker {
		n++
	}
	return int64(n)
}

// last returns a request from the end of the flow.
func (f *flow) last() *entry {
	l := &f.lanes[laneLarge]
	if len(l.heap) == 0 {
		l = &f.lanes[laneSmall]
	}
	return l.heap[len(l.heap)-1]
}

func (q *classQueue) remove(l *lane) { heap.Remove(&q.lanes, l.index) }
