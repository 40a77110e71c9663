package engine

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/standin/internal/record"
)

// prefill is one queued or running prefill. It holds a slot and memory.
type prefill struct {
	key    runKey
	ask    engine.PrefillRequest
	blocks int64
	order  int64 // arrival, for requests of one priority
	index  int   // place in the queue; -1 while running
	log    *record.Run
	done   chan struct{} // closed at the end

	// Set before done is closed.
	outcome string
	reply   engine.PrefillReply
}

// prefillQueue is a heap by priority, then arrival.
type prefillQueue []*prefill

// Len returns the number of queued prefills.
func (q prefillQueue) Len() int { return len(q) }

// Less tells whether i goes before j.
func (q prefillQueue) Less(i, j int) bool {
	byPriority := cmp.Compare(q[i].ask.Priority, q[j].ask.Priority)
	return cmp.Or(byPriority, cmp.Compare(q[i].order, q[j].order)) < 0
}

// Swap exchanges i and j.
func (q prefillQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends x, which is a *prefill.
func (q *prefillQueue) Push(x any) {
	p := x.(*prefill)
	p.index = len(*q)
	*q = append(*q, p)
}

// Pop removes the last prefill.
func (q *prefillQueue) Pop() any {
	old := *q
	p := old[len(old)-1]
	p.index = -1
	*q = old[:len(old)-1]
	return p
}

// kv is the KV cache of a finished prefill. It holds memory.
type kv struct {
	id       string
	key      runKey
	export   Export
	blocks   int64
	log      *record.Run
	pinned   bool // a transfer is under way
	expired  bool // its time ran out during the transfer
	gone     chan struct{}
	expiring *time.Timer
}

// addPrefill queues a prefill, or returns the refusal.
func (e *Engine) addPrefill(ask engine.PrefillRequest) (*prefill, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &prefill{
		key:    runKey{ask.Request, ask.Attempt},
		ask:    ask,
		blocks: e.blocks(ask.PromptTokens),
		done:   make(chan struct{}),
	}
	if f := e.admit(p.key, table.RolePrefill, p.blocks); f != nil {
		return nil, f
	}
	e.kvSerial++
	p.order = e.kvSerial
	p.log = e.records.Begin(record.Run{
		Request:      ask.Request,
		Attempt:      ask.Attempt,
		Endpoint:     e.cfg.Name,
		Role:         string(table.RolePrefill),
		PromptTokens: ask.PromptTokens,
	})
	e.prefills[p.key] = p
	heap.Push(&e.queue, p)
	e.note()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return p, nil
}

// prefillLoop runs the queued prefills one after another.
func (e *Engine) prefillLoop() {
	for {
		p := e.nextPrefill()
		if p != nil {
			e.runPrefill(p)
			continue
		}
		select {
		case <-e.wake:
		case <-e.stop:
			return
		}
	}
}

func (e *Engine) nextPrefill() *prefill {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 {
		return nil
	}
	return heap.Pop(&e.queue).(*prefill)
}

func (e *Engine) runPrefill(p *prefill) {
	e.mu.Lock()
	cached := min(e.cache.lookup(p.ask.Prompt), p.ask.PromptTokens)
	e.mu.Unlock()
	start := time.Now()
	cost := e.slowed(perSecond(p.ask.PromptTokens-cached, e.cfg.PrefillRate))
	timer := time.NewTimer(cost)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.done:
		done := float64(time.Since(start)) / float64(max(cost, 1))
		e.records.Update(p.log, func(r *record.Run) {
			r.Prefilled = int64(min(done, 1) * float64(p.ask.PromptTokens-cached))
		})
		return
	}
	e.finishPrefill(p, cached)
}

func (e *Engine) finishPrefill(p *prefill, cached int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prefills[p.key] != p {
		return
	}
	e.kvSerial++
	k := &kv{
		id:  fmt.Sprintf("%s-%d", e.name, e.kvSerial),
		key: p.key,
		export: Export{
			Request: p.ask.Request,
			Prompt:  p.ask.Prompt,
			Output:  p.ask.Output,
			Tokens:  p.ask.PromptTokens,
		},
		blocks: p.blocks,
		log:    p.log,
		gone:   make(chan struct{}),
	}
	e.records.Update(p.log, func(r *record.Run) {
		r.Prefilled = p.ask.PromptTokens - cached
		r.KV = record.KVHeld
	})
	e.kvs[k.id] = k
	e.usedBlocks += k.blocks
	e.cache.add(p.ask.Prompt, time.Now())
	p.reply = engine.PrefillReply{KV: k.id, CachedTokens: cached}
	e.endPrefill(p, record.EndFinished)
	k.expiring = time.AfterFunc(e.cfg.KVSurvival, func() { e.expireKV(k) })
}

// endPrefill frees what a prefill holds. The caller holds mu.
func (e *Engine) endPrefill(p *prefill, outcome string) {
	if e.prefills[p.key] != p {
		return
	}
	delete(e.prefills, p.key)
	if p.index >= 0 {
		heap.Remove(&e.queue, p.index)
	}
	e.usedSlots--
	e.usedBlocks -= p.blocks
	p.outcome = outcome
	e.records.Finish(p.log, outcome)
	close(p.done)
	e.note()
}

// abandonPrefill ends a prefill whose caller has gone.
func (e *Engine) abandonPrefill(p *prefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endPrefill(p, record.EndOrphaned)
}

func (e *Engine) expireKV(k *kv) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if k.pinned {
		k.expired = true
		return
	}
	e.dropKV(k, record.KVWasted)
}

// dropKV frees a KV cache. The caller holds mu.
func (e *Engine) dropKV(k *kv, fate string) {
	if e.kvs[k.id] != k {
		return
	}
	delete(e.kvs, k.id)
	k.expiring.Stop()
	close(k.gone)
	e.usedBlocks -= k.blocks
	e.records.Update(k.log, func(r *record.Run) { r.KV = fate })
	e.note()
}

// pinKV keeps a KV cache during a transfer. It returns nil if the cache is gone
// or already in transfer.
func (e *Engine) pinKV(name string) *kv {
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.kvs[name]
	if !ok || k.pinned {
		return nil
	}
	k.pinned = true
	return k
}

// sendKV transfers a pinned KV cache and frees it, unless the transfer fails
// before the cache expires.
func (e *Engine) sendKV(ctx context.Context, k *kv) error {
	err := e.egress.transfer(ctx, k.export.Tokens, k.gone, e.stalled)
	e.mu.Lock()
	defer e.mu.Unlock()
	k.pinned = false
	if err == nil {
		e.dropKV(k, record.KVDecoded)
		return nil
	}
	if k.expired {
		e.dropKV(k, record.KVWasted)
	}
	return err
}
