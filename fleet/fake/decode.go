package fake

import (
	"fmt"
	"sort"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
)

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
