package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/fake"
)

// arrival is one generated request of a trace.
type arrival struct {
	at       time.Duration // since the start of the trace
	hostDraw uint64        // random number that selects one of the hosts available at that time
	spec     fake.Spec
}

// arrivals returns the requests of a trace in the order of their times. Each
// flow has its own random sequence, so that a change to one flow does not alter
// the requests of the others.
func (t Trace) arrivals(deployment string, seed uint64) []arrival {
	var out []arrival
	for _, f := range t.Flows {
		if f.Deployment == "" || f.Deployment == deployment {
			out = append(out, t.flowArrivals(f, seed)...)
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// flowArrivals draws a Poisson process with the time-dependent rate of the flow
// by thinning: it draws at the peak rate and keeps each arrival with the
// probability rateFactor.
func (t Trace) flowArrivals(f Flow, seed uint64) []arrival {
	if f.Rate <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(f.Name)))
	var out []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / f.Rate * float64(time.Second))
		if at >= t.Duration {
			return out
		}
		a := f.drawArrival(rng, at)
		if rng.Float64() < t.rateFactor(at) {
			out = append(out, a)
		}
	}
}

func (f Flow) drawArrival(rng *rand.Rand, at time.Duration) arrival {
	ratio := float64(f.PromptHigh) / float64(f.PromptLow)
	spec := fake.Spec{
		Account: f.Account, KeyID: fake.KeyOf(f.Account), Route: f.Route, OutputLimit: f.OutputLimit,
		Prompt:        int64(math.Round(float64(f.PromptLow) * math.Pow(ratio, rng.Float64()))),
		NaturalOutput: f.OutputLow + rng.Int64N(f.OutputHigh-f.OutputLow+1),
	}
	if f.Prefixes > 0 && spec.Prompt > f.SharedTokens {
		spec.Prefix = 1 + xxhash.Sum64String(f.Name)>>8 + rng.Uint64N(uint64(f.Prefixes))
		spec.SharedTokens = f.SharedTokens
	}
	return arrival{at: at, hostDraw: rng.Uint64(), spec: spec}
}
