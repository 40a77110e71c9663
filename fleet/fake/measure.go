package fake

import (
	"fmt"
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
)

// OrphanedRun is a decode run that occupies a slot and KV blocks of an engine.
type OrphanedRun struct {
	Endpoint id.Endpoint
	Request  id.Request
	Since    time.Time
}

// OrphanedRuns returns the decode runs that still occupy an engine although their
// call has ended.
func (sim *Simulation) OrphanedRuns() []OrphanedRun {
	names := make([]id.Endpoint, 0, len(sim.engines))
	for name := range sim.engines {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	var out []OrphanedRun
	for _, name := range names {
		for _, r := range sortedRuns(sim.engines[name].runs) {
			if sim.callsByRequest[r.key.request].Result != ResultOpen {
				out = append(out, OrphanedRun{Endpoint: name, Request: r.key.request, Since: r.since})
			}
		}
	}
	return out
}

// CheckRates returns an error if a client account exceeded its rate limit: in no time
// window may all hosts together admit more net tokens than rate × window + burst.
func (sim *Simulation) CheckRates() error {
	level := make(map[id.Account]float64) // fill of a leaky bucket that drains at the rate of the account
	last := make(map[id.Account]time.Time)
	for _, c := range sim.ledger {
		a := sim.cfg.Table.Accounts[c.Account]
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

// PrefillTokenCounts returns the number of prompt tokens that engines have computed,
// and how many of these were wasted: their prefill was cancelled, or its KV cache was
// lost without having been imported for decoding.
func (sim *Simulation) PrefillTokenCounts() (computed, wasted int64) {
	for _, e := range sim.engines {
		computed += e.prefillTokens
		wasted += e.wastedTokens
	}
	return computed, wasted
}
