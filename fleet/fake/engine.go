package fake

import (
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

func (sim *Simulation) engineAt(address string) *fakeEngine {
	for name, ep := range sim.cfg.Table.Endpoints {
		if ep.Address == address {
			return sim.engines[name]
		}
	}
	return nil
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
