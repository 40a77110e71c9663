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

// maxPrefillQueue is the maximum number of queued prefills of an engine. It refuses
// further ones.
const maxPrefillQueue = 256

// runKey identifies a run: one attempt of a request.
type runKey struct {
	request id.Request
	attempt id.Attempt
}

// fakeEngine is a simulated prefill or decode engine.
type fakeEngine struct {
	name    id.Endpoint
	zone    id.Zone
	pool    table.Pool
	alive   bool
	leaving bool
	epoch   int // incremented when the engine dies, to invalidate scheduled events

	queue          []*prefillJob // sorted by priority, then by arrival
	running        *prefillJob
	kv             map[string]*kvCache // by ID
	runs           map[runKey]*decodeRun
	pendingImports []*decodeRun // decodes that wait for a slot and KV blocks
	linkFreeAt     time.Time    // end of the latest scheduled transfer over the link
	cache          prefixCache

	prefillTokens int64     // prompt tokens computed
	wastedTokens  int64     // of these, tokens of cancelled prefills and of KV caches that were never imported
	lastStart     time.Time // when the engine last accepted a prefill or decode
}

// prefillJob is a queued or running prefill.
type prefillJob struct {
	e      core.StartPrefill // the effect that started the prefill
	host   *host
	inc    id.Incarnation
	cancel bool  // discard the result when the prefill ends
	cached int64 // leading prompt tokens found in the prefix cache
}

// kvCache is the result of a prefill, which a decode engine can import.
type kvCache struct {
	tokens   int64 // prompt tokens computed for it
	imported bool
}

// decodeRun is a decode that waits for a slot or occupies one.
type decodeRun struct {
	key          runKey
	e            core.StartDecode // the effect that started the decode
	host         *host
	inc          id.Incarnation
	nextOffset   int64
	blocks       int64 // KV blocks for the prompt and the maximum output
	hasSlot      bool
	ended        bool
	streamBroken bool // the stream to the host has broken; ResumeDecode repairs it
	since        time.Time
}

func (sim *Simulation) addEndpoints() {
	names := make([]id.Endpoint, 0, len(sim.cfg.Table.Endpoints))
	for name := range sim.cfg.Table.Endpoints {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	for _, name := range names {
		ep := sim.cfg.Table.Endpoints[name]
		pool := sim.cfg.Table.Pools[ep.Pool]
		if pool.Role == table.RoleService {
			sim.services[name] = &fakeService{name: name, zone: ep.Zone, alive: true, runsByKey: make(map[string]int)}
			continue
		}
		sim.engines[name] = newFakeEngine(name, ep.Zone, pool)
	}
}

func newFakeEngine(name id.Endpoint, zone id.Zone, pool table.Pool) *fakeEngine {
	return &fakeEngine{
		name: name, zone: zone, pool: pool, alive: true,
		kv:   make(map[string]*kvCache),
		runs: make(map[runKey]*decodeRun),
	}
}

// KillEndpoint ends an engine or service at once. The memory of an engine is lost
// and its runs fail.
func (sim *Simulation) KillEndpoint(name id.Endpoint) {
	if s, ok := sim.services[name]; ok {
		s.alive = false
		return
	}
	e := sim.engines[name]
	e.alive = false
	e.epoch++
	sim.dropKV(e)
	for _, r := range sortedRuns(e.runs) {
		sim.failRun(r.host, r.inc, r.e.Request, r.e.Attempt, name, "stream-broken", false, false)
	}
	jobs := e.queue
	if e.running != nil {
		jobs = append(jobs, e.running)
	}
	for _, j := range jobs {
		sim.failRun(j.host, j.inc, j.e.Request, j.e.Attempt, name, "stream-broken", false, false)
	}
	e.queue, e.running, e.pendingImports = nil, nil, nil
	e.cache.clear()
	e.runs = make(map[runKey]*decodeRun)
}

// StartEndpoint restarts an engine or service. An engine starts with empty memory.
func (sim *Simulation) StartEndpoint(name id.Endpoint) {
	if s, ok := sim.services[name]; ok {
		s.alive = true
		return
	}
	sim.engines[name].alive = true
}

// dropKV removes all KV caches of an engine. It counts those that were never imported
// as wasted.
func (sim *Simulation) dropKV(e *fakeEngine) {
	keys := make([]string, 0, len(e.kv))
	for k := range e.kv {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if !e.kv[k].imported {
			e.wastedTokens += e.kv[k].tokens
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

// callEndpoint carries out the effects that call engines and services.
func (sim *Simulation) callEndpoint(h *host, e core.Effect) {
	inc := h.inc
	switch e := e.(type) {
	case core.StartPrefill:
		sim.callEngine(h, e.Request, e.Attempt, e.Endpoint, func(en *fakeEngine) { sim.startPrefill(en, h, inc, e) })
	case core.StartDecode:
		sim.callEngine(h, e.Request, e.Attempt, e.Endpoint, func(en *fakeEngine) { sim.startDecode(en, h, inc, e) })
	case core.ResumeDecode:
		sim.callEngine(h, e.Request, e.Attempt, e.Endpoint, func(en *fakeEngine) { sim.resumeDecode(en, h, inc, e) })
	case core.CancelRun:
		sim.callEngine(h, "", 0, e.Endpoint, func(en *fakeEngine) { sim.cancel(en, runKey{e.Request, e.Attempt}) })
	case core.CallService:
		sim.callService(h, e)
	case core.PollLoad:
		sim.callEngine(h, "", 0, e.Endpoint, func(en *fakeEngine) { sim.reportLoad(en, h, inc, e.After) })
	case core.SendOrder:
		sim.callEngine(h, "", 0, e.Endpoint, func(*fakeEngine) {
			sim.after(sim.cfg.LocalDelay, func() {
				sim.deliver(h, inc, core.OrderAnswered{Endpoint: e.Endpoint, Fence: e.Order.Fence, Done: true})
			})
		})
	}
}

// callEngine runs fn at the engine after the network delay. If the engine is
// unreachable, it fails the run of req instead, or does nothing if req is empty.
func (sim *Simulation) callEngine(h *host, req id.Request, attempt id.Attempt, name id.Endpoint, fn func(*fakeEngine)) {
	en := sim.engines[name]
	d, reachable := sim.delay(h.zone, en.zone)
	inc := h.inc
	sim.after(d, func() {
		if reachable && en.alive {
			fn(en)
			return
		}
		if req != "" {
			sim.failRun(h, inc, req, attempt, name, "unreachable", true, true)
		}
	})
}

// failRun reports the failure of a run to its host. The argument unreachable states
// that no connection to the endpoint could be established.
func (sim *Simulation) failRun(h *host, inc id.Incarnation, req id.Request, attempt id.Attempt, ep id.Endpoint, code string, notRun, unreachable bool) {
	sim.after(sim.cfg.LocalDelay, func() {
		sim.deliver(h, inc, core.RunFailed{
			Request: req, Attempt: attempt, Endpoint: ep, Code: code, NotRun: notRun, Unreachable: unreachable,
		})
	})
}

func (sim *Simulation) startPrefill(en *fakeEngine, h *host, inc id.Incarnation, e core.StartPrefill) {
	if len(en.queue) >= maxPrefillQueue {
		sim.failRun(h, inc, e.Request, e.Attempt, en.name, engine.CodeFull, true, false)
		return
	}
	en.lastStart = sim.now
	j := &prefillJob{e: e, host: h, inc: inc}
	at := sort.Search(len(en.queue), func(i int) bool { return en.queue[i].e.Priority > e.Priority })
	en.queue = append(en.queue, nil)
	copy(en.queue[at+1:], en.queue[at:])
	en.queue[at] = j
	sim.startNextPrefill(en)
}

func (sim *Simulation) startNextPrefill(en *fakeEngine) {
	if en.running != nil || len(en.queue) == 0 {
		return
	}
	j := en.queue[0]
	en.queue = en.queue[1:]
	en.running = j
	epoch := en.epoch
	j.cached = sim.cachedTokens(en, j)
	d := time.Duration(float64(j.computedTokens()) / float64(en.pool.PrefillRate) * float64(time.Second))
	sim.after(d, func() {
		if en.epoch != epoch || en.running != j {
			return
		}
		en.running = nil
		en.prefillTokens += j.computedTokens()
		sim.finishPrefill(en, j)
		sim.startNextPrefill(en)
	})
}

func (sim *Simulation) finishPrefill(en *fakeEngine, j *prefillJob) {
	if j.cancel {
		en.wastedTokens += j.computedTokens()
		return
	}
	sim.serial++
	name := fmt.Sprintf("kv-%d", sim.serial)
	en.cache.use(sim.callsByRequest[j.e.Request].Prefix)
	kv := &kvCache{tokens: j.computedTokens()}
	en.kv[name] = kv
	sim.after(sim.cfg.KVSurvival, func() { sim.expireKV(en, name, kv) })
	d, reachable := sim.delay(en.zone, j.host.zone)
	if !reachable {
		return
	}
	sim.after(d, func() {
		sim.deliver(j.host, j.inc, core.PrefillDone{Request: j.e.Request, Attempt: j.e.Attempt, KV: name, CachedTokens: j.cached})
	})
}

func (sim *Simulation) expireKV(en *fakeEngine, name string, kv *kvCache) {
	if en.kv[name] != kv {
		return
	}
	if !kv.imported {
		en.wastedTokens += kv.tokens
	}
	delete(en.kv, name)
}

// startDecode queues the import of the KV cache of a run. The run fails if it gets no
// slot within KVSurvival.
func (sim *Simulation) startDecode(en *fakeEngine, h *host, inc id.Incarnation, e core.StartDecode) {
	en.lastStart = sim.now
	r := &decodeRun{
		key: runKey{e.Request, e.Attempt}, e: e, host: h, inc: inc, nextOffset: e.From, since: sim.now,
		blocks: blocksFor(e.Tokens+e.MaxTokens-e.From, en.pool.BlockTokens),
	}
	en.pendingImports = append(en.pendingImports, r)
	epoch := en.epoch
	sim.after(sim.cfg.KVSurvival, func() {
		if en.epoch == epoch && !r.hasSlot && !r.ended {
			r.ended = true
			sim.failRun(h, inc, e.Request, e.Attempt, en.name, engine.CodeKVLost, true, false)
		}
	})
	sim.startImports(en)
}

func blocksFor(tokens, size int64) int64 {
	if size <= 0 {
		return 0
	}
	return (tokens + size - 1) / size
}

// usage returns the numbers of decode slots and KV blocks in use.
func (en *fakeEngine) usage() (slots, blocks int64) {
	for _, r := range en.runs {
		slots++
		blocks += r.blocks
	}
	return slots, blocks
}

// startImports starts the pending imports for which there are free slots and KV
// blocks. An import that does not fit does not hold up later ones.
func (sim *Simulation) startImports(en *fakeEngine) {
	slots, blocks := en.usage()
	rest := en.pendingImports[:0]
	for _, r := range en.pendingImports {
		switch {
		case r.ended:
		case slots < en.pool.Slots && (en.pool.Blocks == 0 || blocks+r.blocks <= en.pool.Blocks):
			slots++
			blocks += r.blocks
			sim.importKV(en, r)
		default:
			rest = append(rest, r)
		}
	}
	en.pendingImports = rest
}

// importKV imports the KV cache of a run over the engine's link. Transfers over the
// link run one after the other. The run occupies its slot from the start of the
// import.
func (sim *Simulation) importKV(en *fakeEngine, r *decodeRun) {
	source := sim.engineAt(r.e.Source)
	if source == nil || !source.alive || source.kv[r.e.KV] == nil {
		r.ended = true
		sim.failRun(r.host, r.inc, r.e.Request, r.e.Attempt, en.name, engine.CodeKVLost, true, false)
		return
	}
	source.kv[r.e.KV].imported = true
	r.hasSlot = true
	en.runs[r.key] = r
	begin := sim.now
	if en.linkFreeAt.After(begin) {
		begin = en.linkFreeAt
	}
	en.linkFreeAt = begin
	if en.pool.LinkRate > 0 {
		en.linkFreeAt = begin.Add(time.Duration(float64(r.e.Tokens) / float64(en.pool.LinkRate) * float64(time.Second)))
	}
	epoch := en.epoch
	sim.schedule(en.linkFreeAt, func() {
		if en.epoch == epoch {
			sim.emitToken(en, r)
		}
	})
}

func (sim *Simulation) engineAt(address string) *fakeEngine {
	for name, ep := range sim.cfg.Table.Endpoints {
		if ep.Address == address {
			return sim.engines[name]
		}
	}
	return nil
}

// AnswerLength returns the number of output tokens of a request whose answer has natural
// tokens without a limit.
func AnswerLength(natural, limit int64) int64 { return min(natural, limit) }

// emitToken sends the next output token of a run and schedules the one after it.
func (sim *Simulation) emitToken(en *fakeEngine, r *decodeRun) {
	if r.ended || en.runs[r.key] != r {
		return
	}
	call := sim.callsByRequest[r.e.Request]
	length := AnswerLength(call.NaturalOutput, r.e.MaxTokens)
	ev := core.TokensArrived{
		Request: r.e.Request, Attempt: r.e.Attempt, Offset: r.nextOffset,
		Tokens: []string{token(r.nextOffset)},
	}
	r.nextOffset++
	if r.nextOffset >= length {
		ev.End, ev.Finish = true, "stop"
		r.ended = true
	}
	sim.sendChunk(en, r, ev)
	if r.ended {
		sim.releaseRun(en, r)
		return
	}
	epoch := en.epoch
	sim.after(sim.cfg.TokenTime, func() {
		if en.epoch == epoch {
			sim.emitToken(en, r)
		}
	})
}

// sendChunk sends a chunk to the host of a run. Under chunk faults the chunk may be
// duplicated, delayed or lost; a lost chunk also breaks the stream.
func (sim *Simulation) sendChunk(en *fakeEngine, r *decodeRun, ev core.TokensArrived) {
	if sim.chunkFaults == 0 || sim.rng.Float64() >= sim.chunkFaults {
		sim.deliverChunk(en, r, ev)
		return
	}
	switch sim.rng.IntN(3) {
	case 0:
		sim.deliverChunk(en, r, ev)
		sim.deliverChunk(en, r, ev)
	case 1:
		sim.after(3*sim.cfg.TokenTime, func() { sim.deliverChunk(en, r, ev) })
	default:
		sim.failRun(r.host, r.inc, r.e.Request, r.e.Attempt, en.name, "stream-broken", false, false)
		r.streamBroken = true
	}
}

// token returns the text of the output token at an offset.
func token(i int64) string { return fmt.Sprintf(" t%d", i) }

// deliverChunk delivers a chunk to the entry host. If the host is unreachable, the
// stream breaks: chunks are dropped until the run is resumed. The run continues and is
// freed at its end, as in engines whose client has disconnected.
func (sim *Simulation) deliverChunk(en *fakeEngine, r *decodeRun, ev core.Event) {
	d, reachable := sim.delay(en.zone, r.host.zone)
	if !reachable || r.streamBroken {
		r.streamBroken = true
		return
	}
	sim.after(d, func() { sim.deliver(r.host, r.inc, ev) })
}

func (sim *Simulation) releaseRun(en *fakeEngine, r *decodeRun) {
	delete(en.runs, r.key)
	sim.startImports(en)
}

// resumeDecode continues the stream of a run to a host, from offset e.From.
func (sim *Simulation) resumeDecode(en *fakeEngine, h *host, inc id.Incarnation, e core.ResumeDecode) {
	r, ok := en.runs[runKey{e.Request, e.Attempt}]
	if !ok {
		sim.failRun(h, inc, e.Request, e.Attempt, en.name, engine.CodeNoRun, false, false)
		return
	}
	r.streamBroken = false
	r.inc = inc
	for i := e.From; i < r.nextOffset; i++ {
		sim.deliverChunk(en, r, core.TokensArrived{
			Request: e.Request, Attempt: e.Attempt, Offset: i, Tokens: []string{token(i)},
		})
	}
}

// cancel ends a decode, drops its pending import or removes a prefill from the
// queue. A running prefill is computed to its end and its result is discarded.
func (sim *Simulation) cancel(en *fakeEngine, key runKey) {
	if r, ok := en.runs[key]; ok {
		r.ended = true
		sim.failRun(r.host, r.inc, key.request, key.attempt, en.name, engine.CodeCancelled, false, false)
		sim.releaseRun(en, r)
	}
	for _, r := range en.pendingImports {
		if r.key == key {
			r.ended = true
		}
	}
	if en.running != nil && (runKey{en.running.e.Request, en.running.e.Attempt}) == key {
		en.running.cancel = true
	}
	rest := en.queue[:0]
	for _, j := range en.queue {
		if (runKey{j.e.Request, j.e.Attempt}) != key {
			rest = append(rest, j)
			continue
		}
		sim.failRun(j.host, j.inc, key.request, key.attempt, en.name, engine.CodeCancelled, true, false)
	}
	en.queue = rest
}

// reportLoad sends a host the current load of an engine, and the cache events with a
// sequence number above after. Both arrive after the reporting lag.
func (sim *Simulation) reportLoad(en *fakeEngine, h *host, inc id.Incarnation, after uint64) {
	slots, blocks := en.usage()
	r := schedule.Report{
		Endpoint: en.name, Running: int(slots), Slots: int(en.pool.Slots),
		FreeBlocks: en.pool.Blocks - blocks, Leaving: en.leaving,
	}
	if en.pool.Role == table.RolePrefill {
		r.Running = len(en.queue)
		if en.running != nil {
			r.Running++
			r.Waiting += en.running.e.Tokens
		}
		for _, j := range en.queue {
			r.Waiting += j.e.Tokens
		}
	}
	for _, run := range sortedRuns(en.runs) {
		r.Runs = append(r.Runs, schedule.Run{Request: run.key.request, Attempt: run.key.attempt})
	}
	changes := en.cache.eventsAfter(en.name, after)
	sim.after(sim.cfg.ReportLag, func() {
		sim.deliver(h, inc, core.LoadReported{Report: r})
		for _, ev := range changes {
			sim.deliver(h, inc, ev)
		}
	})
}
