package fake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
)

// Guards against requests that fail, wasted prefills and leaked runs when there are
// no faults and the load is below capacity.
func TestFaultFree(t *testing.T) {
	sim, err := fake.New(fake.Tallinn().Config(1))
	assert.NilError(t, err)
	const warmUp = 5 * time.Second
	for i := range 200 {
		sim.At(warmUp+time.Duration(i)*50*time.Millisecond, func() {
			sim.Send(fake.Spec{
				Account: "large-1", KeyID: fake.KeyOf("large-1"), Route: fake.RouteInteractive,
				Prompt: 200, OutputLimit: 100, NaturalOutput: 60,
			})
		})
	}
	assert.NilError(t, sim.Run(25*time.Second))
	for _, c := range sim.Calls() {
		assert.Equal(t, c.Result, fake.ResultComplete, "%s: %s", c.Request, c.Code)
	}
	_, wasted := sim.PrefillTokenCounts()
	assert.Equal(t, wasted, int64(0))
	assert.Equal(t, len(sim.OrphanedRuns()), 0)
	assert.NilError(t, sim.CheckRates())
}

// Guards against running a non-idempotent call twice. A second call with the same
// idempotency key through another host must get the recorded reply.
func TestClaims(t *testing.T) {
	sim, err := fake.New(fake.Tallinn().Config(2))
	assert.NilError(t, err)
	hosts := sim.Hosts()
	var first, second *fake.Call
	spec := fake.Spec{Account: "small-1", KeyID: fake.KeyOf("small-1"), Route: fake.RouteOnce, Prompt: 10, Key: "release-7"}
	sim.At(5*time.Second, func() { first = sendVia(sim, spec, hosts[0]) })
	sim.At(6*time.Second, func() { second = sendVia(sim, spec, hosts[5]) })
	assert.NilError(t, sim.Run(10*time.Second))
	assert.Equal(t, first.Result, fake.ResultComplete, first.Code)
	assert.Equal(t, second.Result, fake.ResultComplete, second.Code)
	assert.Assert(t, second.Recorded)
	assert.Equal(t, len(sim.RepeatedExecutions()), 0)
}

func sendVia(sim *fake.Simulation, spec fake.Spec, h id.Host) *fake.Call {
	spec.Host = h
	return sim.Send(spec)
}
