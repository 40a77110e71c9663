package schedule

import (
	"container/heap"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	interactive = iota
	deferrable
	classCount
)

const (
	laneSmall = iota
	laneLarge
	laneCount
)

// account is one client account. Each class and level has its own virtual time, because
// an account that is queued only in the deferrable class would otherwise hold back the
// system virtual time of the interactive one.
type account struct {
	name        id.Account
	weight      int64
	flows       [classCount][message.MaxLevels]*flow // nil until the first request
	liveEntries int                                  // entries of the account
}

// flow is the queue of one account in one class and level, as in weighted fair queueing.
type flow struct {
	account     *account
	class       int
	level       int
	virtualTime time.Duration // endpoint time served, divided by weight
	activeSince time.Duration // system virtual time when the flow last became active
	queued      int
	lanes       [laneCount]lane
}

// lane holds either the small or the large queued requests of a flow, so that a large
// prompt that has to wait never blocks a small one behind it.
type lane struct {
	flow    *flow
	heap    entryHeap
	index   int  // in classQueue.lanes; -1 when empty or skipped
	skipped bool // in this pass over the queue

	// Sort keys of laneHeap.
	bucket      time.Duration // virtual time of the flow in units of FairQuantum
	latestStart time.Duration // of the first request
	headRequest id.Request
}

// classQueue orders the lanes of one class and level by weighted fair queueing.
type classQueue struct {
	lanes       laneHeap
	virtualTime time.Duration // system virtual time
	queued      int
	prompt      int64 // queued prompt tokens
}

func (c *Cell) account(name id.Account) *account {
	if a, ok := c.accounts[name]; ok {
		return a
	}
	a := &account{name: name, weight: max(1, c.weights[name])}
	c.accounts[name] = a
	return a
}

// flow returns the flow of an account in one class and level, which it creates on first
// use.
func (a *account) flow(class, level int) *flow {
	if f := a.flows[class][level]; f != nil {
		return f
	}
	f := &flow{account: a, class: class, level: level}
	for i := range f.lanes {
		f.lanes[i] = lane{flow: f, index: -1}
	}
	a.flows[class][level] = f
	return f
}

// queued returns the number of queued requests of an account at one level.
func (a *account) queued(level int) int {
	n := 0
	for class := range a.flows {
		if f := a.flows[class][level]; f != nil {
			n += f.queued
		}
	}
	return n
}

// flowOf returns the flow of a request.
func (c *Cell) flowOf(e *entry) *flow {
	return e.account.flow(c.classIndex(e.class), e.level)
}

// queueOf returns the queue that a flow belongs to.
func (c *Cell) queueOf(f *flow) *classQueue { return &c.queues[f.class][f.level] }

// SetWeights sets the weights of the accounts; the default is 1. The map must
// not be changed afterwards.
func SetWeights(c *Cell, weights map[id.Account]int64) {
	c.weights = weights
	for name, a := range c.accounts {
		a.weight = max(1, weights[name])
	}
}

func (c *Cell) classIndex(class message.Class) int {
	if class == message.ClassInteractive || c.cfg.Policy.NoClasses {
		return interactive
	}
	return deferrable
}

// enqueue adds e to the queue of its class. A flow that was empty starts at the system
// virtual time, so that it gains no credit from having been idle.
func (c *Cell) enqueue(e *entry) {
	f := c.flowOf(e)
	q := c.queueOf(f)
	c.activateLevel(e.level)
	if f.queued == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualTime)
		f.activeSince = q.virtualTime
	}
	l := &f.lanes[laneSmall]
	if e.large {
		l = &f.lanes[laneLarge]
	}
	e.lane = l
	e.state = stateQueued
	heap.Push(&l.heap, e)
	heap.Push(&c.queueDeadlines, e)
	f.queued++
	q.queued++
	q.prompt += e.prompt
	c.updateFlowOrder(f)
}

// dequeue removes e from its lane and ends a drain for it.
func (c *Cell) dequeue(e *entry) {
	l := e.lane
	f := l.flow
	q := c.queueOf(f)
	heap.Remove(&l.heap, e.laneIndex)
	heap.Remove(&c.queueDeadlines, e.queueDeadlineIndex)
	e.lane = nil
	f.queued--
	q.queued--
	q.prompt -= e.prompt
	if c.pin.entry == e {
		c.pin = pin{}
	}
	c.updateFlowOrder(f)
}

// updateFlowOrder moves the lanes of f to the positions given by its virtual time and
// their first requests.
func (c *Cell) updateFlowOrder(f *flow) {
	q := c.queueOf(f)
	for i := range f.lanes {
		l := &f.lanes[i]
		if len(l.heap) > 0 {
			l.updateOrder(q, c.bucket(f))
			continue
		}
		l.skipped = false
		if l.index >= 0 {
			heap.Remove(&q.lanes, l.index)
		}
	}
}

func (l *lane) updateOrder(q *classQueue, bucket time.Duration) {
	if l.skipped {
		return
	}
	l.bucket = bucket
	l.latestStart = l.heap[0].latestStart
	l.headRequest = l.heap[0].request
	if l.index < 0 {
		heap.Push(&q.lanes, l)
		return
	}
	heap.Fix(&q.lanes, l.index)
}

func (c *Cell) bucket(f *flow) time.Duration {
	if c.cfg.Policy.NoFairQueue {
		return 0
	}
	return f.virtualTime / max(1, c.cfg.FairQuantum)
}

// cost returns the endpoint time of a request: its prefill time, plus its decode time
// divided by the slots of a decode endpoint.
func (c *Cell) cost(prompt, output int64) time.Duration {
	return time.Duration(prompt)*c.capacity.promptCost + time.Duration(output)*c.capacity.outputCost
}

// charge adds the cost of e to the virtual time of its account. It assumes that the
// output reaches its limit; refund corrects this.
func (c *Cell) charge(e *entry) {
	f := c.flowOf(e)
	q := c.queueOf(f)
	q.virtualTime = max(q.virtualTime, c.minVirtualTime(q, f))
	e.charge = c.cost(e.prompt, e.output)
	f.virtualTime += e.charge / time.Duration(f.account.weight)
	c.updateDeferrableDebt(f.class, e.charge)
	c.updateLevelDebt(f.level, e.charge)
	c.updateFlowOrder(f)
}

// minVirtualTime returns the virtual time of the first queued flow, or of f if that is
// lower. Lanes that are skipped in this pass do not count.
func (c *Cell) minVirtualTime(q *classQueue, f *flow) time.Duration {
	if len(q.lanes) == 0 {
		return f.virtualTime
	}
	return min(f.virtualTime, q.lanes[0].flow.virtualTime)
}

// updateDeferrableDebt adds a part of the cost of each interactive grant to the
// endpoint time owed to deferrable requests, and subtracts the cost of each deferrable
// grant, whether interactive requests are queued then or not. Deferrable requests go
// first while the debt is positive. The debt is bounded on both sides, so that neither
// class can save up a burst.
func (c *Cell) updateDeferrableDebt(class int, cost time.Duration) {
	if class == deferrable {
		c.deferrableDebt = max(-c.cfg.MaxDeferrableDebt, c.deferrableDebt-cost)
		return
	}
	limit := c.cfg.MaxDeferrableDebt
	if c.queuedInClass(deferrable) == 0 {
		limit = 0
	}
	share := min(max(c.cfg.DeferrableShare, 0), 99)
	c.deferrableDebt = min(limit, c.deferrableDebt+cost*time.Duration(share)/time.Duration(100-share))
}

// refund reduces the charge of e to what was used. It does not lower the virtual time
// below that at which the flow last became active. Otherwise an account that was idle
// in between would gain credit for charges that no longer count.
func (c *Cell) refund(e *entry, used time.Duration) {
	if e.account == nil || e.charge <= used {
		return
	}
	f := c.flowOf(e)
	excess := (e.charge - used) / time.Duration(f.account.weight)
	f.virtualTime = max(min(f.virtualTime, f.activeSince), f.virtualTime-excess)
	e.charge = used
	c.updateFlowOrder(f)
}

func (q *classQueue) remove(l *lane) { heap.Remove(&q.lanes, l.index) }

// dropIdleAccounts removes the accounts without entries whose flows would start at the
// system virtual time anyway.
func (c *Cell) dropIdleAccounts() {
	for name, a := range c.accounts {
		if a.liveEntries > 0 || a.aheadOfSystem(c) {
			continue
		}
		delete(c.accounts, name)
	}
}

func (a *account) aheadOfSystem(c *Cell) bool {
	for class := range a.flows {
		for _, f := range a.flows[class] {
			if f != nil && f.virtualTime > c.queueOf(f).virtualTime {
				return true
			}
		}
	}
	return false
}
