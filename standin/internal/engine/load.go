package engine

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/engine"
)

// loadAt is the load from one moment on.
type loadAt struct {
	since time.Time
	load  engine.Load
}

// note records the load after a change. The caller holds mu.
func (e *Engine) note() {
	now := time.Now()
	e.history = append(e.history, loadAt{since: now, load: e.load()})
	seen := now.Add(-e.cfg.ReportLag)
	for len(e.history) > 1 && !e.history[1].since.After(seen) {
		e.history = e.history[1:]
	}
}

// report returns the load as it was before the report lag. The caller holds mu.
func (e *Engine) report() engine.Load {
	seen := time.Now().Add(-e.cfg.ReportLag)
	out := engine.Load{Slots: int(e.cfg.Slots), FreeBlocks: e.cfg.Blocks}
	for _, h := range e.history {
		if !h.since.After(seen) {
			out = h.load
		}
	}
	return out
}

// load returns the load as it is. The caller holds mu.
func (e *Engine) load() engine.Load {
	out := engine.Load{
		Running:    int(e.usedSlots),
		Slots:      int(e.cfg.Slots),
		FreeBlocks: e.cfg.Blocks - e.usedBlocks,
		Leaving:    e.leaving(),
	}
	held := map[runKey]bool{}
	for k, p := range e.prefills {
		held[k] = true
		out.Waiting += p.ask.PromptTokens
	}
	for k, r := range e.runs {
		if r.outcome == "" {
			held[k] = true
		}
	}
	for _, k := range e.kvs {
		held[k.key] = true
	}
	for k := range held {
		out.Runs = append(out.Runs, engine.Run{Request: k.request, Attempt: k.attempt})
	}
	slices.SortFunc(out.Runs, func(a, b engine.Run) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
	})
	return out
}
