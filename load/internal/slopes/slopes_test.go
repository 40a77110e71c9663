package slopes

import (
	"bytes"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
)

// Guards against a fit that does not return the line through exact points.
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

// Guards against figures of requests that did not run to their end.
func TestRigRequest(t *testing.T) {
	r, err := newRig(shape{zones: 3, hosts: 20, accounts: 10, endpoints: 60, models: 2})
	assert.NilError(t, err)
	r.reset()
	for range 10 {
		r.whole(5)
	}
	assert.Equal(t, r.effects["Finish"], 10)
	assert.Equal(t, r.effects["Refuse"], 0)
	assert.Equal(t, len(r.open), 0)
	assert.Equal(t, core.StatusOf(r.state, r.now).Requests, 0)
}

// Guards against running everything because of a misspelt group.
func TestRunUnknownGroup(t *testing.T) {
	assert.ErrorContains(t, run(&bytes.Buffer{}, []string{"ticks"}), `no group "ticks"`)
}
