package bench

import (
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/table"
)

// QuickVariantCount is the number of variants in a quick run.
var QuickVariantCount = len(quickVariants)

// MaxMin exports maxMin to the tests.
var MaxMin = maxMin

// Measure computes the measures of calls on one prefill engine of 1,000 tokens/s
// during 10 s, with more than enough decode capacity.
func Measure(calls []fake.Call, t *table.Snapshot) Result {
	return measure(calls, t, capacity{
		seconds: 10, prefillTokens: 10_000, slotSeconds: 1000, blockSeconds: 1e6,
		blockTokens: 1000, prefillRate: 1000, tokenTime: 20 * time.Millisecond,
	})
}

// Arrivals returns the number of requests of a trace.
func Arrivals(t Trace, deployment string, seed uint64) int {
	return len(t.arrivals(deployment, seed))
}

// Inject schedules all faults of a trace in a simulated deployment.
func Inject(t Trace, d fake.Deployment, sim *fake.Simulation) error {
	for _, f := range t.Faults {
		if err := (Case{Trace: t, Deployment: d}).inject(sim, d.Table(), f); err != nil {
			return err
		}
	}
	return nil
}
