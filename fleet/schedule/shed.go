package schedule

import "cmp"

// makeRoom keeps the queue within MaxQueue and reports whether e may be queued. When the
// queue is full, the least urgent level loses a request: that of the account which has
// the most queued requests there for its weight. An account that floods the queue
// displaces only its own requests.
func (c *Cell) makeRoom(acts []Action, e *entry) ([]Action, bool) {
	if c.queued() < c.cfg.MaxQueue {
		return acts, true
	}
	victim := c.flowToEvict(e)
	if victim == nil {
		return append(acts, c.refuse(e, ReasonQueueFull)), false
	}
	return append(acts, c.refuse(victim.last(), ReasonQueueFull)), true
}

// flowToEvict returns the flow that loses a request to e, or nil if e itself is
// refused. Within an account, deferrable requests are evicted first.
func (c *Cell) flowToEvict(e *entry) *flow {
	level := c.leastUrgentLevel()
	if level < e.level {
		return nil
	}
	var requester *account
	if level == e.level {
		requester = e.account
	}
	longest := c.longestQueue(requester, level)
	if longest == nil {
		return nil
	}
	deferrableFlow, interactiveFlow := longest.flow(deferrable, level), longest.flow(interactive, level)
	if longest == requester && (c.classIndex(e.class) == deferrable || deferrableFlow.queued == 0) {
		return nil
	}
	if deferrableFlow.queued > 0 {
		return deferrableFlow
	}
	return interactiveFlow
}

// leastUrgentLevel returns the least urgent level with queued requests, or -1.
func (c *Cell) leastUrgentLevel() int {
	for level := c.levelCount() - 1; level >= 0; level-- {
		if c.queuedAt(level) > 0 {
			return level
		}
	}
	return -1
}

// longestQueue returns the account with the most queued requests of a level for its
// weight. The requester may be nil.
func (c *Cell) longestQueue(requester *account, level int) *account {
	longest := requester
	for _, a := range c.accounts {
		if a.queued(level) == 0 {
			continue
		}
		if longest == nil || a.hasLongerQueue(longest, requester, level) {
			longest = a
		}
	}
	return longest
}

// hasLongerQueue reports whether a has more queued requests of a level for its weight
// than b, counting the new request of the requester. Names break ties between other
// accounts.
func (a *account) hasLongerQueue(b, requester *account, level int) bool {
	x := a.queuedWith(requester, level) * b.weight
	y := b.queuedWith(requester, level) * a.weight
	if x != y {
		return x > y
	}
	return a != requester && b != requester && a.name < b.name
}

func (a *account) queuedWith(requester *account, level int) int64 {
	n := a.queued(level)
	if a == requester {
		n++
	}
	return int64(n)
}

// last returns a request from the end of a heap of the flow, one with a large prompt if
// there is any.
func (f *flow) last() *entry {
	l := &f.lanes[laneLarge]
	if len(l.heap) == 0 {
		l = &f.lanes[laneSmall]
	}
	return l.heap[len(l.heap)-1]
}

// shedHopeless refuses the queued requests that more urgent ones have pushed back so far
// that they can no longer start in time, so that their callers can retry. It searches
// each level from its end once per Config.ShedInterval, and stops at the first request
// that still has a chance.
func (c *Cell) shedHopeless(acts []Action) []Action {
	if c.levels == 0 || c.now-c.lastShed < c.cfg.ShedInterval || c.rebuilding() {
		return acts
	}
	c.lastShed = c.now
	if len(c.prefills) == 0 || len(c.decodes) == 0 {
		return acts
	}
	for class := deferrable; class >= interactive; class-- {
		for level := c.levels - 1; level >= 0; level-- {
			acts = c.shedQueue(acts, class, level)
		}
	}
	return acts
}

// shedQueue sheds the requests at the end of one queue.
func (c *Cell) shedQueue(acts []Action, class, level int) []Action {
	q := &c.queues[class][level]
	for range c.cfg.ShedLimit {
		f := c.flowToShed(q)
		if f == nil {
			return acts
		}
		e := f.last()
		if !c.isHopeless(e) {
			return acts
		}
		acts = append(acts, c.refuse(e, ReasonTooLate))
	}
	return acts
}

// flowToShed returns the flow with the most queued requests for its weight among the last
// ScanLimit lanes of a queue, or nil if the queue is empty.
func (c *Cell) flowToShed(q *classQueue) *flow {
	var longest *flow
	for _, l := range q.lanes[max(0, len(q.lanes)-c.cfg.ScanLimit):] {
		if longest == nil || l.flow.isLonger(longest) {
			longest = l.flow
		}
	}
	return longest
}

func (f *flow) isLonger(other *flow) bool {
	x := int64(f.queued) * other.account.weight
	y := int64(other.queued) * f.account.weight
	return cmp.Or(cmp.Compare(y, x), cmp.Compare(f.account.name, other.account.name)) < 0
}

// isHopeless reports whether a request at the end of its queue can neither meet its
// target nor start before its queueing time ends.
func (c *Cell) isHopeless(e *entry) bool {
	inTime := e.latestStart >= c.now && c.classIndex(e.class) == interactive
	if inTime && c.now+c.levelWait(false, e.level, 1) <= e.latestStart {
		return false
	}
	if inTime && !e.canWait && e.queueDeadline < e.waitLimit(c) {
		return true
	}
	return c.now+c.levelWait(true, e.level, 1) > e.waitLimit(c)
}
