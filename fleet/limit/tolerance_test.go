package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/limit"
)

// TestWiden guards against a widened budget that exceeds the platform's tolerance in a
// window, and against a configured tolerance that widens nothing.
func TestWiden(t *testing.T) {
	tolerance := limit.Tolerance{Window: 8 * time.Second, Overrun: 0.1, OverrunSlack: 190_000}
	for _, b := range []limit.Budget{{Rate: 13_000, Burst: 47_000}, {Rate: 57_431, Burst: 57_431}, {Rate: 1, Burst: 0}} {
		wide := tolerance.Widen(b)
		admitted := float64(wide.Rate)*8 + float64(wide.Burst)
		allowed := 1.1*(float64(b.Rate)*8+float64(b.Burst)) + 190_000
		assert.Assert(t, admitted <= allowed, "%+v", b)
		assert.Assert(t, wide.Rate > b.Rate && wide.Burst > b.Burst, "%+v", b)
	}
	none := limit.Budget{Burst: 5}
	assert.Equal(t, tolerance.Widen(none), none)
	strict := limit.Budget{Rate: 10, Burst: 5}
	assert.Equal(t, limit.Tolerance{}.Widen(strict), strict)
}
