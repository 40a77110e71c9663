package engine

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/engine"
)

// loadSnapshot is the load from the time since until the next snapshot.
type loadSnapshot struct {
	since time.Time
	load  engine.Load
}

// recordLoad adds the current load to the history and drops the entries that
// laggedLoad no longer needs. It must be called after each change of the load. The
// caller holds mu.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.history = append(e.history, loadSnapshot{since: now, load: e.load()})
	cutoff := now.Add(-e.cfg.ReportLag)
	for len(e.history) > 1 && !e.history[1].since.After(cutoff) {
		e.history = e.history[1:]
	}
}

// laggedLoad returns the load as it was one report lag ago. The caller holds mu.
func (e *Engine) laggedLoad() engine.Load {
	cutoff := time.Now().Add(-e.cfg.ReportLag)
	out := engine.Load{Slots: int(e.cfg.Slots), FreeBlocks: e.cfg.Blocks}
	for _, h := range e.history {
		if !h.since.After(cutoff) {
			out = h.load
		}
	}
	return out
}

// load computes the load at this moment. The caller holds mu.
func (e *Engine) load() engine.Load {
	out := engine.Load{
		Running:    int(e.usedSlots),
		Slots:      int(e.cfg.Slots),
		FreeBlocks: e.cfg.Blocks - e.usedBlocks,
		Leaving:    e.leaving(),
	}
	attempts := map[runKey]bool{}
	for k, p := range e.prefills {
		attempts[k] = true
		out.Waiting += p.params.PromptTokens
	}
	for k, r := range e.runs {
		if r.outcome == "" {
			attempts[k] = true
		}
	}
	for _, k := range e.kvs {
		attempts[k.key] = true
	}
	for k := range attempts {
		out.Runs = append(out.Runs, engine.Run{Request: k.request, Attempt: k.attempt})
	}
	slices.SortFunc(out.Runs, func(a, b engine.Run) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
	})
	return out
}
