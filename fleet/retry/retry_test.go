package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/retry"
)

const hosts = 9

func config() retry.Config {
	return retry.Config{Ratio: 0.2, Window: 10 * time.Second, ExtraRetries: 58}
}

// TestFleetBudget guards against exceeding the fleet-wide retry budget in any window
// when every host retries as often as its share allows.
func TestFleetBudget(t *testing.T) {
	const perHost, step, end = 7, 100 * time.Millisecond, 60 * time.Second
	cfg := config()
	states := make([]*retry.State, hosts)
	for i := range states {
		states[i] = retry.New(cfg)
	}
	var requests, retries []time.Duration
	start := time.Unix(5000, 0)
	for at := time.Duration(0); at < end; at += step {
		for i, s := range states {
			if (int(at/step)+i)%perHost == 0 {
				retry.CountRequest(s, start.Add(at), "s")
				requests = append(requests, at)
			}
			for retry.Allow(s, start.Add(at), "s", hosts) {
				retries = append(retries, at)
			}
		}
	}
	for from := time.Duration(0); from+cfg.Window <= end; from += step {
		allowed := cfg.Ratio*float64(count(requests, max(0, from-cfg.Window/2), from+cfg.Window)) + float64(cfg.ExtraRetries)
		assert.Assert(t, float64(count(retries, from, from+cfg.Window)) <= allowed, "window from %s", from)
	}
	assert.Assert(t, len(retries) > 0)
}

func count(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// TestSeparateServiceBudgets guards against one service using up the retry budget of
// another.
func TestSeparateServiceBudgets(t *testing.T) {
	s := retry.New(config())
	now := time.Unix(5000, 0)
	for retry.Allow(s, now, "a", 1) {
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, retry.Allow(s, now, "b", 1))
}

// TestWithoutWindow guards against limiting retries when no window is configured.
func TestWithoutWindow(t *testing.T) {
	s := retry.New(retry.Config{})
	for range 1000 {
		assert.Assert(t, retry.Allow(s, time.Unix(1, 0), "a", 1))
	}
}
