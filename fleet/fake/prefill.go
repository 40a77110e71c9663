package fake

import (
	"fmt"
	"sort"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
)

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
