package bench

import (
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/table"
)

// QuickVariants is the number of rows of a quick run.
var QuickVariants = len(quickVariants)

// MaxMin exports maxMin.
var MaxMin = maxMin

// Measure measures calls on one prefill engine of 1,000 tokens/s during 10 s,
// with more than enough decode capacity.
func Measure(calls []fake.Call, t *table.Snapshot) Result {
	return measure(calls, t, supply{
		seconds: 10, prefillTokens: 10_000, slotSeconds: 1000, blockSeconds: 1e6,
		blockTokens: 1000, prefillRate: 1000, tokenTime: 20 * time.Millisecond,
	})
}

// Arrivals returns the number of requests of a trace.
func Arrivals(t Trace, deployment string, seed uint64) int {
	return len(t.arrivals(deployment, seed))
}

// Inject schedules the faults of a trace.
func Inject(t Trace, d fake.Deployment, w *fake.World) error {
	for _, f := range t.Faults {
		if err := (Case{Trace: t, Deployment: d}).inject(w, d.Table(), f); err != nil {
			return err
		}
	}
	return nil
}
