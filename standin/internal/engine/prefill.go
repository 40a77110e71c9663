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

// prefill is one queued or running prefill. It occupies a slot and KV blocks.
type prefill struct {
	key     runKey
	params  engine.PrefillRequest
	blocks  int64
	arrival int64         // serial number in order of arrival, for requests of equal priority
	index   int           // index in the heap; -1 once it runs
	entry   *record.Run   // record of the run
	done    chan struct{} // closed when the prefill ends

	// Set before done is closed.
	outcome string
	reply   engine.PrefillReply
}

// prefillQueue is a priority queue for container/heap, ordered by priority (0 is
// the highest) and then by arrival.
type prefillQueue []*prefill

// Len returns the number of queued prefills.
func (q prefillQueue) Len() int { return len(q) }

// Less reports whether prefill i runs before prefill j.
func (q prefillQueue) Less(i, j int) bool {
	byPriority := cmp.Compare(q[i].params.Priority, q[j].params.Priority)
	return cmp.Or(byPriority, cmp.Compare(q[i].arrival, q[j].arrival)) < 0
}

// Swap exchanges the prefills i and j and updates their indexes.
func (q prefillQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends x, which must be a *prefill. Use heap.Push instead.
func (q *prefillQueue) Push(x any) {
	p := x.(*prefill)
	p.index = len(*q)
	*q = append(*q, p)
}

// Pop removes and returns the last prefill. Use heap.Pop instead.
func (q *prefillQueue) Pop() any {
	old := *q
	p := old[len(old)-1]
	p.index = -1
	*q = old[:len(old)-1]
	return p
}

// kvCache is the KV cache of a finished prefill. It occupies KV blocks until it is
// decoded, expires or is cancelled.
type kvCache struct {
	id          string
	key         runKey
	export      Export
	blocks      int64
	entry       *record.Run // record of the prefill run
	pinned      bool        // a transfer is in progress
	expired     bool        // the expiry timer fired during the transfer
	dropped     chan struct{}
	expiryTimer *time.Timer
}

// addPrefill queues a prefill, or returns an error reply if the engine refuses it.
func (e *Engine) addPrefill(params engine.PrefillRequest) (*prefill, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &prefill{
		key:    runKey{params.Request, params.Attempt},
		params: params,
		blocks: e.blocks(params.PromptTokens),
		done:   make(chan struct{}),
	}
	if f := e.admit(p.key, table.RolePrefill, p.blocks); f != nil {
		return nil, f
	}
	e.serial++
	p.arrival = e.serial
	p.entry = e.records.Begin(record.Run{
		Request:      params.Request,
		Attempt:      params.Attempt,
		Endpoint:     e.cfg.Name,
		Role:         string(table.RolePrefill),
		PromptTokens: params.PromptTokens,
	})
	e.prefills[p.key] = p
	heap.Push(&e.queue, p)
	e.recordLoad()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return p, nil
}

// prefillLoop runs the queued prefills one at a time until the engine is closed.
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

// runPrefill simulates the computation of a prefill and finishes it. If the prefill
// ends early, it records the share of the prompt that was computed.
func (e *Engine) runPrefill(p *prefill) {
	e.mu.Lock()
	cached := min(e.cache.lookup(p.params.Prompt), p.params.PromptTokens)
	e.mu.Unlock()
	start := time.Now()
	cost := e.slowed(timeAtRate(p.params.PromptTokens-cached, e.cfg.PrefillRate))
	timer := time.NewTimer(cost)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.done:
		done := float64(time.Since(start)) / float64(max(cost, 1))
		e.records.Update(p.entry, func(r *record.Run) {
			r.Prefilled = int64(min(done, 1) * float64(p.params.PromptTokens-cached))
		})
		return
	}
	e.finishPrefill(p, cached)
}

// finishPrefill ends a computed prefill and keeps its KV cache until the cache is
// fetched or expires.
func (e *Engine) finishPrefill(p *prefill, cached int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prefills[p.key] != p {
		return
	}
	e.serial++
	k := &kvCache{
		id:  fmt.Sprintf("%s-%d", e.name, e.serial),
		key: p.key,
		export: Export{
			Request: p.params.Request,
			Prompt:  p.params.Prompt,
			Output:  p.params.Output,
			Tokens:  p.params.PromptTokens,
		},
		blocks:  p.blocks,
		entry:   p.entry,
		dropped: make(chan struct{}),
	}
	e.records.Update(p.entry, func(r *record.Run) {
		r.Prefilled = p.params.PromptTokens - cached
		r.KV = record.KVHeld
	})
	e.kvs[k.id] = k
	e.usedBlocks += k.blocks
	e.cache.add(p.params.Prompt, time.Now())
	p.reply = engine.PrefillReply{KV: k.id, CachedTokens: cached}
	e.endPrefill(p, record.EndFinished)
	k.expiryTimer = time.AfterFunc(e.cfg.KVSurvival, func() { e.expireKV(k) })
}

// endPrefill frees the slot and the KV blocks of a prefill and wakes its handler.
// It has no effect if the prefill has ended. The caller holds mu.
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
	e.records.Finish(p.entry, outcome)
	close(p.done)
	e.recordLoad()
}

// abandonPrefill cancels a prefill whose caller has disconnected.
func (e *Engine) abandonPrefill(p *prefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endPrefill(p, record.EndOrphaned)
}

// expireKV drops a KV cache, or marks it as expired if a transfer is in progress.
func (e *Engine) expireKV(k *kvCache) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if k.pinned {
		k.expired = true
		return
	}
	e.dropKV(k, record.KVWasted)
}

// dropKV frees the KV blocks of a KV cache and aborts its transfer. The caller
// holds mu.
func (e *Engine) dropKV(k *kvCache, kvOutcome string) {
	if e.kvs[k.id] != k {
		return
	}
	delete(e.kvs, k.id)
	k.expiryTimer.Stop()
	close(k.dropped)
	e.usedBlocks -= k.blocks
	e.records.Update(k.entry, func(r *record.Run) { r.KV = kvOutcome })
	e.recordLoad()
}

// pinKV protects a KV cache from expiry during a transfer. It returns nil if the
// cache does not exist or is already in transfer.
func (e *Engine) pinKV(name string) *kvCache {
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.kvs[name]
	if !ok || k.pinned {
		return nil
	}
	k.pinned = true
	return k
}

// sendKV transfers a pinned KV cache and drops it. If the transfer fails before
// the cache has expired, it keeps the cache and removes the pin.
func (e *Engine) sendKV(ctx context.Context, k *kvCache) error {
	err := e.egress.transfer(ctx, k.export.Tokens, k.dropped, e.stalled)
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
