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
	w, err := fake.New(fake.Tallinn().Config(1))
	assert.NilError(t, err)
	const warmUp = 5 * time.Second
	for i := range 200 {
		w.At(warmUp+time.Duration(i)*50*time.Millisecond, func() {
			w.Send(fake.Spec{
				Account: "large-1", KeyID: fake.KeyOf("large-1"), Route: fake.RouteInteractive,
				Prompt: 200, Limit: 100, Want: 60,
			})
		})
	}
	assert.NilError(t, w.Run(25*time.Second))
	for _, c := range w.Calls() {
		assert.Equal(t, c.Result, fake.ResultWhole, "%s: %s", c.Request, c.Code)
	}
	_, wasted := w.Prefills()
	assert.Equal(t, wasted, int64(0))
	assert.Equal(t, len(w.HeldByEnded()), 0)
	assert.NilError(t, w.CheckRates())
}

// Guards against running a non-idempotent call twice. A second call with the same
// idempotency key through another host must get the recorded reply.
func TestClaims(t *testing.T) {
	w, err := fake.New(fake.Tallinn().Config(2))
	assert.NilError(t, err)
	hosts := w.Hosts()
	var first, second *fake.Call
	spec := fake.Spec{Account: "small-1", KeyID: fake.KeyOf("small-1"), Route: fake.RouteOnce, Prompt: 10, Key: "release-7"}
	w.At(5*time.Second, func() { first = sendVia(w, spec, hosts[0]) })
	w.At(6*time.Second, func() { second = sendVia(w, spec, hosts[5]) })
	assert.NilError(t, w.Run(10*time.Second))
	assert.Equal(t, first.Result, fake.ResultWhole, first.Code)
	assert.Equal(t, second.Result, fake.ResultWhole, second.Code)
	assert.Assert(t, second.Recorded)
	assert.Equal(t, len(w.Repeated()), 0)
}

func sendVia(w *fake.World, spec fake.Spec, h id.Host) *fake.Call {
	spec.Host = h
	return w.Send(spec)
}
