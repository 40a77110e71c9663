package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// randomLoad returns the calls of an interval at a rate per second. One call in ten takes five
// times as long as the others.
func randomLoad(rnd *rand.Rand, rate float64) load {
	var l load
	var total time.Duration
	mean := rate * interval.Seconds()
	for at := rnd.ExpFloat64(); at < mean; at += rnd.ExpFloat64() {
		d := typical
		if rnd.Float64() < 0.1 {
			d *= 5
		}
		l.answered++
		total += d
	}
	l.latency = total / time.Duration(max(l.answered, 1))
	return l
}

// TestFewEndpoints guards against sound endpoints that are named slow because the fastest of
// three has had short calls by chance. At most one endpoint summary in 20 may be wrong.
func TestFewEndpoints(t *testing.T) {
	const rate, intervals = 60.0, 80
	slow, all := 0, 0
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		c := newCollector(3)
		for range intervals {
			loads := make([]load, 3)
			for n := range loads {
				part := 1.0 / 3
				if len(c.last.Endpoints) == 3 && !c.last.Even {
					part = c.last.Endpoints[n].Share / sumOfShares(c.last)
				}
				loads[n] = randomLoad(rnd, rate*part)
			}
			c.run(1, loads...)
			for _, p := range c.last.Endpoints {
				all++
				if p.Slow {
					slow++
				}
			}
		}
	}
	assert.Assert(t, slow*20 <= all, "%d of %d are slow", slow, all)
}

// TestSlowOfFewEndpoints guards against slow endpoints that keep their share because there are
// few to compare them with.
func TestSlowOfFewEndpoints(t *testing.T) {
	slow := load{answered: 4, latency: 5 * typical, hanging: 10}
	c := newCollector(3)
	c.run(8, sound, sound, sound)
	c.run(2, sound, slow, sound)
	assert.Assert(t, c.last.Endpoints[1].Slow, "%+v", c.last)

	c = newCollector(3)
	c.run(8, sound, sound, sound)
	c.run(3, sound, slow, slow)
	assert.Assert(t, c.last.Endpoints[0].Share > 0.6, "%+v", c.last)
}
