package fake

import (
	"fmt"
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
)

// Held is an attempt that holds engine memory.
type Held struct {
	Endpoint id.Endpoint
	Request  id.Request
	Since    time.Time
}

// HeldByEnded returns the runs whose caller's call has ended.
func (w *World) HeldByEnded() []Held {
	names := make([]id.Endpoint, 0, len(w.engines))
	for name := range w.engines {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	var out []Held
	for _, name := range names {
		for _, r := range sortedRuns(w.engines[name].runs) {
			if w.callers[r.key.request].Result != ResultOpen {
				out = append(out, Held{Endpoint: name, Request: r.key.request, Since: r.since})
			}
		}
	}
	return out
}

// CheckRates compares, for every window, the net tokens admitted on all hosts
// with rate x window + burst.
func (w *World) CheckRates() error {
	level := make(map[id.Account]float64) // fill of a bucket that leaks at the rate
	last := make(map[id.Account]time.Time)
	for _, c := range w.ledger {
		a := w.cfg.Table.Accounts[c.Account]
		if t, ok := last[c.Account]; ok {
			level[c.Account] = max(0, level[c.Account]-float64(a.Rate)*c.At.Sub(t).Seconds())
		}
		last[c.Account] = c.At
		level[c.Account] += float64(c.Tokens)
		if level[c.Account] > float64(a.Burst)+1 {
			return fmt.Errorf("fake: client account %s: %.0f tokens above its rate and burst at %s",
				c.Account, level[c.Account]-float64(a.Burst), c.At.Sub(Start))
		}
	}
	return nil
}

// Prefills returns the prompt tokens that engines computed, and those of them
// whose result was never decoded.
func (w *World) Prefills() (computed, wasted int64) {
	for _, e := range w.engines {
		computed += e.PrefillTokens
		wasted += e.Wasted
	}
	return computed, wasted
}
