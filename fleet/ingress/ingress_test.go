package ingress_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/ingress"
)

// TestChoose guards against giving up the connection of an ordinary client before those of the
// clients that hold most, and against one that carries a complete request or none.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	const kilobyte = 1 << 10
	for name, tt := range map[string]struct {
		connections  []ingress.Connection
		victim, idle int
	}{
		"none": {nil, -1, -1},
		"complete and idle": {[]ingress.Connection{
			{Address: "a", Bytes: 90 * kilobyte, Phase: ingress.PhaseRunning, Since: ago(time.Minute)},
			{Address: "a", Bytes: 32 * kilobyte, Phase: ingress.PhaseIdle, Since: ago(time.Second)},
			{Address: "a", Bytes: 32 * kilobyte, Phase: ingress.PhaseIdle, Since: ago(2 * time.Second)},
		}, -1, 2},
		"largest connection": {[]ingress.Connection{
			{Address: "a", Bytes: 40 * kilobyte, Since: ago(time.Minute)},
			{Address: "a", Bytes: 900 * kilobyte, Since: ago(time.Second)},
			{Address: "a", Bytes: 1900 * kilobyte, Phase: ingress.PhaseRunning},
		}, 1, -1},
		"largest address": {[]ingress.Connection{
			{Address: "a", Bytes: 300 * kilobyte, Since: ago(time.Minute)},
			{Address: "b", Bytes: 200 * kilobyte, Since: ago(time.Second)},
			{Address: "b", Bytes: 200 * kilobyte, Since: ago(2 * time.Second)},
		}, 2, -1},
		"largest account": {[]ingress.Connection{
			{Address: "a", Bytes: 300 * kilobyte},
			{Address: "a", Account: "x", Bytes: 200 * kilobyte, Since: now},
			{Address: "b", Account: "x", Bytes: 210 * kilobyte, Since: ago(time.Second)},
			{Address: "b", Account: "y", Bytes: 300 * kilobyte},
		}, 2, -1},
		"oldest of one size": {[]ingress.Connection{
			{Address: "a", Bytes: 33 * kilobyte, Since: ago(time.Millisecond)},
			{Address: "a", Bytes: 32 * kilobyte, Since: ago(time.Second)},
		}, 1, -1},
		"answer that is just being written": {[]ingress.Connection{
			{Address: "a", Bytes: 900 * kilobyte, Phase: ingress.PhaseUnread, Since: ago(time.Millisecond)},
			{Address: "a", Bytes: 90 * kilobyte, Phase: ingress.PhaseUnread, Since: ago(time.Second)},
		}, 1, -1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, ingress.Choose(now, tt.connections), tt.victim)
			assert.Equal(t, ingress.ChooseIdle(tt.connections), tt.idle)
		})
	}
}
