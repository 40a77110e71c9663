package fake

import (
	"fmt"
	"sort"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// maxPrefillQueue is the number of prefills that an engine takes on.
const maxPrefillQueue = 256

type runKey struct {
	request id.Request
	attempt id.Attempt
}

// engineFake is one model engine.
type engineFake struct {
	name    id.Endpoint
	zone    id.Zone
	pool    table.Pool
	alive   bool
	leaving bool
	epoch   int // grows when the engine dies

	queue   []*prefillJob // sorted by priority, then arrival
	busy    *prefillJob
	kv      map[string]*kvCache
	runs    map[runKey]*decodeRun
	imports []*decodeRun // wait for a slot
	linkEnd time.Time    // the link is busy until
	cache   prefixCache

	PrefillTokens int64     // computed
	Wasted        int64     // computed, but never decoded
	lastStart     time.Time // of a prefill or decode that was taken on
}

type prefillJob struct {
	e      core.StartPrefill
	host   *host
	inc    id.Incarnation
	cancel bool
	cached int64 // leading tokens found in the prefix cache
}

type kvCache struct {
	tokens   int64
	imported bool
}

// decodeRun is one request that holds a decode slot.
type decodeRun struct {
	key    runKey
	e      core.StartDecode
	host   *host
	inc    id.Incarnation
	next   int64
	blocks int64
	held   bool
	ended  bool
	broken bool // the stream to the host is broken
	since  time.Time
}

func (w *World) addEndpoints() {
	names := make([]id.Endpoint, 0, len(w.cfg.Table.Endpoints))
	for name := range w.cfg.Table.Endpoints {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	for _, name := range names {
		ep := w.cfg.Table.Endpoints[name]
		pool := w.cfg.Table.Pools[ep.Pool]
		if pool.Role == table.RoleService {
			w.service[name] = &serviceFake{name: name, zone: ep.Zone, alive: true, ran: make(map[string]int)}
			continue
		}
		w.engines[name] = newEngineFake(name, ep.Zone, pool)
	}
}

func newEngineFake(name id.Endpoint, zone id.Zone, pool table.Pool) *engineFake {
	return &engineFake{
		name: name, zone: zone, pool: pool, alive: true,
		kv:   make(map[string]*kvCache),
		runs: make(map[runKey]*decodeRun),
	}
}

// KillEndpoint ends an engine or service at once; its memory is lost.
func (w *World) KillEndpoint(name id.Endpoint) {
	if s, ok := w.service[name]; ok {
		s.alive = false
		return
	}
	e := w.engines[name]
	e.alive = false
	e.epoch++
	w.wasteKV(e)
	for _, r := range sortedRuns(e.runs) {
		w.failRun(r.host, r.inc, r.e.Request, r.e.Attempt, name, "stream-broken", false, false)
	}
	jobs := e.queue
	if e.busy != nil {
		jobs = append(jobs, e.busy)
	}
	for _, j := range jobs {
		w.failRun(j.host, j.inc, j.e.Request, j.e.Attempt, name, "stream-broken", false, false)
	}
	e.queue, e.busy, e.imports = nil, nil, nil
	e.cache.clear()
	e.runs = make(map[runKey]*decodeRun)
}

// StartEndpoint brings an engine or service back with empty memory.
func (w *World) StartEndpoint(name id.Endpoint) {
	if s, ok := w.service[name]; ok {
		s.alive = true
		return
	}
	w.engines[name].alive = true
}

func (w *World) wasteKV(e *engineFake) {
	keys := make([]string, 0, len(e.kv))
	for k := range e.kv {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if !e.kv[k].imported {
			e.Wasted += e.kv[k].tokens
		}
	}
	e.kv = make(map[string]*kvCache)
}

func sortedRuns(runs map[runKey]*decodeRun) []*decodeRun {
	out := make([]*decodeRun, 0, len(runs))
	for _, r := range runs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].key.request != out[j].key.request {
			return out[i].key.request < out[j].key.request
		}
		return out[i].key.attempt < out[j].key.attempt
	})
	return out
}

// callEndpoint carries out the effects that reach engines and services.
func (w *World) callEndpoint(h *host, e core.Effect) {
	inc := h.inc
	switch e := e.(type) {
	case core.StartPrefill:
		w.toEngine(h, e.Request, e.Attempt, e.Endpoint, func(en *engineFake) { w.startPrefill(en, h, inc, e) })
	case core.StartDecode:
		w.toEngine(h, e.Request, e.Attempt, e.Endpoint, func(en *engineFake) { w.startDecode(en, h, inc, e) })
	case core.ResumeDecode:
		w.toEngine(h, e.Request, e.Attempt, e.Endpoint, func(en *engineFake) { w.resume(en, h, inc, e) })
	case core.CancelRun:
		w.toEngine(h, "", 0, e.Endpoint, func(en *engineFake) { w.cancel(en, runKey{e.Request, e.Attempt}) })
	case core.CallService:
		w.callService(h, e)
	case core.PollLoad:
		w.toEngine(h, "", 0, e.Endpoint, func(en *engineFake) { w.report(en, h, inc, e.After) })
	case core.SendOrder:
		w.toEngine(h, "", 0, e.Endpoint, func(*engineFake) {
			w.after(w.cfg.LocalDelay, func() {
				w.deliver(h, inc, core.OrderAnswered{Endpoint: e.Endpoint, Fence: e.Order.Fence, Done: true})
			})
		})
	}
}

// toEngine runs fn at the engine after the delay of the link, or reports that
// the engine cannot be reached.
func (w *World) toEngine(h *host, req id.Request, attempt id.Attempt, name id.Endpoint, fn func(*engineFake)) {
	en := w.engines[name]
	d, reachable := w.delay(h.zone, en.zone)
	inc := h.inc
	w.after(d, func() {
		if reachable && en.alive {
			fn(en)
			return
		}
		if req != "" {
			w.failRun(h, inc, req, attempt, name, "unreachable", true, true)
		}
	})
}

func (w *World) failRun(h *host, inc id.Incarnation, req id.Request, attempt id.Attempt, ep id.Endpoint, code string, notRun, down bool) {
	w.after(w.cfg.LocalDelay, func() {
		w.deliver(h, inc, core.RunFailed{
			Request: req, Attempt: attempt, Endpoint: ep, Code: code, NotRun: notRun, Down: down,
		})
	})
}

func (w *World) startPrefill(en *engineFake, h *host, inc id.Incarnation, e core.StartPrefill) {
	if len(en.queue) >= maxPrefillQueue {
		w.failRun(h, inc, e.Request, e.Attempt, en.name, engine.CodeFull, true, false)
		return
	}
	en.lastStart = w.now
	j := &prefillJob{e: e, host: h, inc: inc}
	at := sort.Search(len(en.queue), func(i int) bool { return en.queue[i].e.Priority > e.Priority })
	en.queue = append(en.queue, nil)
	copy(en.queue[at+1:], en.queue[at:])
	en.queue[at] = j
	w.nextPrefill(en)
}

func (w *World) nextPrefill(en *engineFake) {
	if en.busy != nil || len(en.queue) == 0 {
		return
	}
	j := en.queue[0]
	en.queue = en.queue[1:]
	en.busy = j
	epoch := en.epoch
	j.cached = w.cachedTokens(en, j)
	d := time.Duration(float64(j.computed()) / float64(en.pool.PrefillRate) * float64(time.Second))
	w.after(d, func() {
		if en.epoch != epoch || en.busy != j {
			return
		}
		en.busy = nil
		en.PrefillTokens += j.computed()
		w.endPrefill(en, j)
		w.nextPrefill(en)
	})
}

func (w *World) endPrefill(en *engineFake, j *prefillJob) {
	if j.cancel {
		en.Wasted += j.computed()
		return
	}
	w.serial++
	name := fmt.Sprintf("kv-%d", w.serial)
	en.cache.add(w.callers[j.e.Request].Prefix)
	kv := &kvCache{tokens: j.computed()}
	en.kv[name] = kv
	w.after(w.cfg.KVSurvival, func() { w.expireKV(en, name, kv) })
	d, reachable := w.delay(en.zone, j.host.zone)
	if !reachable {
		return
	}
	w.after(d, func() {
		w.deliver(j.host, j.inc, core.PrefillDone{Request: j.e.Request, Attempt: j.e.Attempt, KV: name, CachedTokens: j.cached})
	})
}

func (w *World) expireKV(en *engineFake, name string, kv *kvCache) {
	if en.kv[name] != kv {
		return
	}
	if !kv.imported {
		en.Wasted += kv.tokens
	}
	delete(en.kv, name)
}

func (w *World) startDecode(en *engineFake, h *host, inc id.Incarnation, e core.StartDecode) {
	en.lastStart = w.now
	r := &decodeRun{
		key: runKey{e.Request, e.Attempt}, e: e, host: h, inc: inc, next: e.From, since: w.now,
		blocks: blocksFor(e.Tokens+e.MaxTokens-e.From, en.pool.BlockTokens),
	}
	en.imports = append(en.imports, r)
	epoch := en.epoch
	w.after(w.cfg.KVSurvival, func() {
		if en.epoch == epoch && !r.held && !r.ended {
			r.ended = true
			w.failRun(h, inc, e.Request, e.Attempt, en.name, engine.CodeKVLost, true, false)
		}
	})
	w.nextImport(en)
}

func blocksFor(tokens, size int64) int64 {
	if size <= 0 {
		return 0
	}
	return (tokens + size - 1) / size
}

// usage returns the slots and blocks in use.
func (en *engineFake) usage() (slots, blocks int64) {
	for _, r := range en.runs {
		slots++
		blocks += r.blocks
	}
	return slots, blocks
}

// nextImport starts the transfers for which there are slots and memory.
func (w *World) nextImport(en *engineFake) {
	slots, blocks := en.usage()
	rest := en.imports[:0]
	for _, r := range en.imports {
		switch {
		case r.ended:
		case slots < en.pool.Slots && (en.pool.Blocks == 0 || blocks+r.blocks <= en.pool.Blocks):
			slots++
			blocks += r.blocks
			w.transfer(en, r)
		default:
			rest = append(rest, r)
		}
	}
	en.imports = rest
}

// transfer imports the KV cache over the engine's link, which transfers share.
func (w *World) transfer(en *engineFake, r *decodeRun) {
	source := w.engineAt(r.e.Source)
	if source == nil || !source.alive || source.kv[r.e.KV] == nil {
		r.ended = true
		w.failRun(r.host, r.inc, r.e.Request, r.e.Attempt, en.name, engine.CodeKVLost, true, false)
		return
	}
	source.kv[r.e.KV].imported = true
	r.held = true
	en.runs[r.key] = r
	begin := w.now
	if en.linkEnd.After(begin) {
		begin = en.linkEnd
	}
	en.linkEnd = begin
	if en.pool.LinkRate > 0 {
		en.linkEnd = begin.Add(time.Duration(float64(r.e.Tokens) / float64(en.pool.LinkRate) * float64(time.Second)))
	}
	epoch := en.epoch
	w.schedule(en.linkEnd, func() {
		if en.epoch == epoch {
			w.nextToken(en, r)
		}
	})
}

func (w *World) engineAt(address string) *engineFake {
	for name, ep := range w.cfg.Table.Endpoints {
		if ep.Address == address {
			return w.engines[name]
		}
	}
	return nil
}

// AnswerLength returns the number of tokens of the answer to a request.
func AnswerLength(want, limit int64) int64 { return min(want, limit) }

func (w *World) nextToken(en *engineFake, r *decodeRun) {
	if r.ended || en.runs[r.key] != r {
		return
	}
	call := w.callers[r.e.Request]
	last := AnswerLength(call.Want, r.e.MaxTokens)
	ev := core.TokensArrived{
		Request: r.e.Request, Attempt: r.e.Attempt, Offset: r.next,
		Tokens: []string{token(r.next)},
	}
	r.next++
	if r.next >= last {
		ev.End, ev.Finish = true, "stop"
		r.ended = true
	}
	w.sendChunk(en, r, ev)
	if r.ended {
		w.release(en, r)
		return
	}
	epoch := en.epoch
	w.after(w.cfg.TokenTime, func() {
		if en.epoch == epoch {
			w.nextToken(en, r)
		}
	})
}

// sendChunk passes a chunk on, under chunk faults also doubled, late or not at
// all. A lost chunk comes with a broken stream.
func (w *World) sendChunk(en *engineFake, r *decodeRun, ev core.TokensArrived) {
	if w.chunkFaults == 0 || w.rng.Float64() >= w.chunkFaults {
		w.toHost(en, r, ev)
		return
	}
	switch w.rng.IntN(3) {
	case 0:
		w.toHost(en, r, ev)
		w.toHost(en, r, ev)
	case 1:
		w.after(3*w.cfg.TokenTime, func() { w.toHost(en, r, ev) })
	default:
		w.failRun(r.host, r.inc, r.e.Request, r.e.Attempt, en.name, "stream-broken", false, false)
		r.broken = true
	}
}

func token(i int64) string { return fmt.Sprintf(" t%d", i) }

// toHost passes a chunk to the entry host. When the host is gone, the engine
// frees the run after a while, as engines do when their reader has gone.
func (w *World) toHost(en *engineFake, r *decodeRun, ev core.Event) {
	d, reachable := w.delay(en.zone, r.host.zone)
	if !reachable || r.broken {
		r.broken = true
		return
	}
	w.after(d, func() { w.deliver(r.host, r.inc, ev) })
}

func (w *World) release(en *engineFake, r *decodeRun) {
	delete(en.runs, r.key)
	w.nextImport(en)
}

func (w *World) resume(en *engineFake, h *host, inc id.Incarnation, e core.ResumeDecode) {
	r, ok := en.runs[runKey{e.Request, e.Attempt}]
	if !ok {
		w.failRun(h, inc, e.Request, e.Attempt, en.name, engine.CodeNoRun, false, false)
		return
	}
	r.broken = false
	r.inc = inc
	for i := e.From; i < r.next; i++ {
		w.toHost(en, r, core.TokensArrived{
			Request: e.Request, Attempt: e.Attempt, Offset: i, Tokens: []string{token(i)},
		})
	}
}

func (w *World) cancel(en *engineFake, key runKey) {
	if r, ok := en.runs[key]; ok {
		r.ended = true
		w.failRun(r.host, r.inc, key.request, key.attempt, en.name, engine.CodeCancelled, false, false)
		w.release(en, r)
	}
	for _, r := range en.imports {
		if r.key == key {
			r.ended = true
		}
	}
	if en.busy != nil && (runKey{en.busy.e.Request, en.busy.e.Attempt}) == key {
		en.busy.cancel = true
	}
	rest := en.queue[:0]
	for _, j := range en.queue {
		if (runKey{j.e.Request, j.e.Attempt}) != key {
			rest = append(rest, j)
			continue
		}
		w.failRun(j.host, j.inc, key.request, key.attempt, en.name, engine.CodeCancelled, true, false)
	}
	en.queue = rest
}

// report sends the load of an engine as it is now, and the cache events after
// one, with the reporting lag.
func (w *World) report(en *engineFake, h *host, inc id.Incarnation, after uint64) {
	slots, blocks := en.usage()
	r := schedule.Report{
		Endpoint: en.name, Running: int(slots), Slots: int(en.pool.Slots),
		FreeBlocks: en.pool.Blocks - blocks, Leaving: en.leaving,
	}
	if en.pool.Role == table.RolePrefill {
		r.Running = len(en.queue)
		if en.busy != nil {
			r.Running++
			r.Waiting += en.busy.e.Tokens
		}
		for _, j := range en.queue {
			r.Waiting += j.e.Tokens
		}
	}
	for _, run := range sortedRuns(en.runs) {
		r.Runs = append(r.Runs, schedule.Run{Request: run.key.request, Attempt: run.key.attempt})
	}
	changes := en.cache.changesAfter(en.name, after)
	w.after(w.cfg.ReportLag, func() {
		w.deliver(h, inc, core.LoadReported{Report: r})
		for _, ev := range changes {
			w.deliver(h, inc, ev)
		}
	})
}
