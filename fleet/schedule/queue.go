package schedule

import (
	"cmp"
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

// account is one client account. Each class has its own virtual time, because
// an account that only waits in the lower class would otherwise hold back the
// system virtual time of the upper one.
type account struct {
	name   id.Account
	weight int64
	flows  [classCount]flow
	live   int // entries that refer to the account
}

// flow is the share of one account in one class.
type flow struct {
	account *account
	class   int
	virtual time.Duration // endpoint time served, divided by weight
	floor   time.Duration // system virtual time when the flow last became active
	queued  int
	lanes   [laneCount]lane
}

// lane holds the queued requests of a flow that are small, or large. A large
// prompt that has to wait thus never stands before a small one.
type lane struct {
	flow  *flow
	heap  entryHeap
	index int  // in the classQueue; -1 when empty or set aside
	aside bool // passed over in this round of grants

	// The place in the order of the class.
	bucket time.Duration // virtual time of the flow in units of FairQuantum
	latest time.Duration // of the head
	head   id.Request
}

// classQueue is the queue of one class.
type classQueue struct {
	lanes   laneHeap
	virtual time.Duration // system virtual time
	queued  int
	prompt  int64 // queued prompt tokens
}

func (c *Cell) account(name id.Account) *account {
	if a, ok := c.accounts[name]; ok {
		return a
	}
	a := &account{name: name, weight: max(1, c.weights[name])}
	for i := range a.flows {
		f := &a.flows[i]
		f.account = a
		f.class = i
		for j := range f.lanes {
			f.lanes[j] = lane{flow: f, index: -1}
		}
	}
	c.accounts[name] = a
	return a
}

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

// enqueue adds e to the queue of its class. A flow that was empty starts at the
// system virtual time, so that it gains nothing from having been idle.
func (c *Cell) enqueue(e *entry) {
	q := &c.classes[c.classIndex(e.class)]
	f := &e.account.flows[c.classIndex(e.class)]
	if f.queued == 0 {
		f.virtual = max(f.virtual, q.virtual)
		f.floor = q.virtual
	}
	l := &f.lanes[laneSmall]
	if e.large {
		l = &f.lanes[laneLarge]
	}
	e.lane = l
	e.state = stateQueued
	heap.Push(&l.heap, e)
	heap.Push(&c.late, e)
	f.queued++
	q.queued++
	q.prompt += e.prompt
	c.fixFlow(f)
}

// dequeue removes e from its queue.
func (c *Cell) dequeue(e *entry) {
	l := e.lane
	f := l.flow
	q := &c.classes[f.class]
	heap.Remove(&l.heap, e.laneIndex)
	heap.Remove(&c.late, e.lateIndex)
	e.lane = nil
	f.queued--
	q.queued--
	q.prompt -= e.prompt
	if c.pin.entry == e {
		c.pin = pin{}
	}
	c.fixFlow(f)
}

// fixFlow puts the lanes of f where its virtual time and their heads belong.
func (c *Cell) fixFlow(f *flow) {
	q := &c.classes[f.class]
	for i := range f.lanes {
		l := &f.lanes[i]
		if len(l.heap) > 0 {
			l.place(q, c.bucket(f))
			continue
		}
		l.aside = false
		if l.index >= 0 {
			heap.Remove(&q.lanes, l.index)
		}
	}
}

func (l *lane) place(q *classQueue, bucket time.Duration) {
	if l.aside {
		return
	}
	l.bucket = bucket
	l.latest = l.heap[0].latest
	l.head = l.heap[0].request
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
	return f.virtual / max(1, c.cfg.FairQuantum)
}

// cost is the endpoint time of a request: prefill time, and output tokens times
// the part of a decode endpoint that one slot takes.
func (c *Cell) cost(prompt, output int64) time.Duration {
	return time.Duration(prompt)*c.capacity.promptCost + time.Duration(output)*c.capacity.outputCost
}

// charge adds the cost of e, with its whole output limit, to its account.
func (c *Cell) charge(e *entry) {
	i := c.classIndex(e.class)
	f := &e.account.flows[i]
	q := &c.classes[i]
	q.virtual = max(q.virtual, c.lowestVirtual(q, f))
	e.charge = c.cost(e.prompt, e.output)
	f.virtual += e.charge / time.Duration(f.account.weight)
	c.settleDebt(i, e.charge)
	c.fixFlow(f)
}

// lowestVirtual returns the virtual time of the first waiting flow, or of f
// when that is lower. It leaves out lanes that are set aside in this round.
func (c *Cell) lowestVirtual(q *classQueue, f *flow) time.Duration {
	if len(q.lanes) == 0 {
		return f.virtual
	}
	return min(f.virtual, q.lanes[0].flow.virtual)
}

// settleDebt lets each interactive grant owe a part of its cost to deferrable
// requests, and each deferrable grant pay, whether interactive requests wait at
// that moment or not. A deferrable request goes first while the debt is positive.
// The debt is bounded on both sides, so that neither class can save up a burst.
func (c *Cell) settleDebt(class int, cost time.Duration) {
	if class == deferrable {
		c.debt = max(-c.cfg.DebtMost, c.debt-cost)
		return
	}
	most := c.cfg.DebtMost
	if c.classes[deferrable].queued == 0 {
		most = 0
	}
	share := min(max(c.cfg.DeferrableShare, 0), 99)
	c.debt = min(most, c.debt+cost*time.Duration(share)/time.Duration(100-share))
}

// refund corrects the charge of e to what was used. It does not lower the
// virtual time below the point from which the flow became active, or an account
// that came back from idleness would gain credit for charges already forgotten.
func (c *Cell) refund(e *entry, used time.Duration) {
	if e.account == nil || e.charge <= used {
		return
	}
	f := &e.account.flows[c.classIndex(e.class)]
	back := (e.charge - used) / time.Duration(f.account.weight)
	f.virtual = max(min(f.virtual, f.floor), f.virtual-back)
	e.charge = used
	c.fixFlow(f)
}

// dropIdleAccounts forgets accounts that would start at the system virtual time.
func (c *Cell) dropIdleAccounts() {
	for name, a := range c.accounts {
		if a.live > 0 || a.ahead(c) {
			continue
		}
		delete(c.accounts, name)
	}
}

func (a *account) ahead(c *Cell) bool {
	for i := range a.flows {
		if a.flows[i].virtual > c.classes[i].virtual {
			return true
		}
	}
	return false
}

// entryHeap orders the requests of a lane by latest start.
type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].latest, h[j].latest), cmp.Compare(h[i].request, h[j].request)) < 0
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].laneIndex = i
	h[j].laneIndex = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.laneIndex = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.laneIndex = -1
	return e
}

// lateHeap orders all queued requests by the time at which they are given up.
type lateHeap []*entry

func (h lateHeap) Len() int { return len(h) }

func (h lateHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].giveUp, h[j].giveUp), cmp.Compare(h[i].request, h[j].request)) < 0
}

func (h lateHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].lateIndex = i
	h[j].lateIndex = j
}

func (h *lateHeap) Push(x any) {
	e := x.(*entry)
	e.lateIndex = len(*h)
	*h = append(*h, e)
}

func (h *lateHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.lateIndex = -1
	return e
}

// laneHeap orders the lanes of a class by virtual time, then by latest start.
type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }

func (h laneHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.bucket != b.bucket {
		return a.bucket < b.bucket
	}
	if a.latest != b.latest {
		return a.latest < b.latest
	}
	return a.head < b.head
}

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(*h)
	*h = append(*h, l)
}

func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	l.index = -1
	return l
}
