package slopes

import (
	"bytes"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
)

// Guards against a fit that misses a line on which all points lie, or that has a
// slope when all points have the same size.
func TestFitLine(t *testing.T) {
	l := fitLine([]point{{0, 3}, {10, 8}, {100, 53}})
	assert.Assert(t, math.Abs(l.slope-0.5) < 1e-9)
	assert.Assert(t, math.Abs(l.intercept-3) < 1e-9)
	assert.Assert(t, l.residual < 1e-9)
	flat := fitLine([]point{{5, 1}, {5, 3}})
	assert.Equal(t, flat.slope, 0.0)
	assert.Equal(t, flat.intercept, 2.0)
	assert.Equal(t, flat.residual, 1.0)
}

// Guards against figures of requests that were refused or did not run to their
// end.
func TestHarnessRequest(t *testing.T) {
	r, err := newHostHarness(topology{zones: 3, hosts: 20, accounts: 10, endpoints: 60, models: 2})
	assert.NilError(t, err)
	r.reset()
	for range 10 {
		r.completeRequest(5)
	}
	assert.Equal(t, r.effects["Finish"], 10)
	assert.Equal(t, r.effects["Refuse"], 0)
	assert.Equal(t, len(r.decoding), 0)
	assert.Equal(t, core.StatusOf(r.state, r.now).Requests, 0)
}

// Guards against running all groups when the name of a group is misspelled.
func TestRunUnknownGroup(t *testing.T) {
	assert.ErrorContains(t, run(&bytes.Buffer{}, []string{"ticks"}), `no group "ticks"`)
}
