package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

const (
	firstTokenTarget = 570 * ms
	interactive      = message.ClassInteractive
	deferrable       = message.ClassDeferrable
)

// manySmallRequests has two accounts within their share, one that sends several times
// as much, and deferrable summaries. It needs about 1.2 times the decode slots of
// endpoints(4, 8).
func manySmallRequests() []traffic {
	small := traffic{class: interactive, promptMin: 30, promptMax: 800, outputMin: 20, outputMax: 180, limitFactor: 2, target: firstTokenTarget}
	summary := traffic{account: "c", class: deferrable, perSecond: 4, promptMin: 1000, promptMax: 4000, outputMin: 100, outputMax: 300, limitFactor: 2}
	mix := []traffic{small, small, small, summary}
	mix[0].account, mix[0].perSecond = "a", 6
	mix[1].account, mix[1].perSecond = "b", 6
	mix[2].account, mix[2].perSecond = "flood", 28
	return mix
}

// fewLargeRequests has large prompts with short answers, and some small requests. It
// needs about 1.2 times the memory of endpoints(8, 4).
func fewLargeRequests() []traffic {
	large := traffic{class: interactive, promptMin: 4000, promptMax: 26_000, outputMin: 50, outputMax: 250, limitFactor: 2, target: 4 * time.Second}
	small := traffic{account: "small", class: interactive, perSecond: 4, promptMin: 30, promptMax: 300, outputMin: 10, outputMax: 50, limitFactor: 2, target: firstTokenTarget}
	mix := []traffic{large, large, small}
	mix[0].account, mix[0].perSecond = "a", 3
	mix[1].account, mix[1].perSecond = "b", 3
	return mix
}

// result summarizes a simulation.
type result struct {
	arrived, good int
	wasted        float64 // percent of the prefilled prompt tokens
	worst         float64 // lowest share of good requests of an account within its share, percent
	p95           time.Duration
}

func summarize(s *sim) result {
	var r result
	var waits []time.Duration
	r.worst = 100
	for name, t := range s.tallies {
		r.arrived += t.arrived
		r.good += t.good
		if name[len(name)-1] == '1' {
			waits = append(waits, t.first...)
		}
		if name != "flood/1" && t.arrived > 0 {
			r.worst = min(r.worst, 100*float64(t.good)/float64(t.arrived))
		}
	}
	slices.Sort(waits)
	r.p95 = waits[len(waits)*95/100]
	r.wasted = 100 * float64(s.wasted) / float64(max(s.prefilled, 1))
	return r
}

func (r result) String() string {
	return fmt.Sprintf("%5d requests  %5d good (%4.1f%%)  wasted %4.1f%%  worst account %5.1f%%  p95 first token %v",
		r.arrived, r.good, 100*float64(r.good)/float64(r.arrived), r.wasted, r.worst, r.p95.Round(ms))
}

func simulate(change func(*schedule.Config), mix []traffic, eps, declared []schedule.Endpoint) (*sim, result) {
	cfg := schedule.DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	s := newSim(cfg, nil, eps, declared)
	s.run(2*time.Minute, mix)
	return s, summarize(s)
}

var policies = []struct {
	name   string
	policy schedule.Policy
}{
	{"default", schedule.Policy{}},
	{"no classes", schedule.Policy{NoClasses: true}},
	{"no fair queue", schedule.Policy{NoFairQueue: true}},
	{"no early refusal", schedule.Policy{NoEarlyRefusal: true}},
	{"no large limit", schedule.Policy{NoLargeLimit: true}},
	{"no pin", schedule.Policy{NoPin: true}},
	{"round robin", schedule.Policy{Placement: schedule.PlacementRoundRobin}},
	{"least loaded", schedule.Policy{Placement: schedule.PlacementLeastLoaded}},
}

// TestWastedPrefill guards against a grant whose decode slot is missing when its
// prefill ends. The baselines show that the simulation can waste prefills.
func TestWastedPrefill(t *testing.T) {
	for _, load := range []struct {
		name string
		mix  []traffic
		eps  []schedule.Endpoint
	}{
		{"many small", manySmallRequests(), endpoints(4, 8)},
		{"few large", fewLargeRequests(), endpoints(8, 4)},
	} {
		for _, p := range policies {
			s, r := simulate(func(cfg *schedule.Config) { cfg.Policy = p.policy }, load.mix, load.eps, load.eps)
			t.Logf("%s %-17s %v", load.name, p.name, r)
			assert.NilError(t, schedule.Check(s.cell))
			if p.policy.Placement != schedule.PlacementReserve {
				assert.Assert(t, s.wasted > 0)
				continue
			}
			assert.Equal(t, s.wasted, int64(0))
			assert.Equal(t, s.capacityWait, 0)
		}
	}
}

// TestServedInProportionToWeight guards against accounts with a backlog that are not
// served in proportion to their weights. The bound is 5% of the share over 2 minutes,
// with requests of different sizes.
func TestServedInProportionToWeight(t *testing.T) {
	weights := map[id.Account]int64{"a": 1, "b": 2, "c": 5}
	tr := traffic{class: interactive, backlog: 200, promptMin: 30, promptMax: 2000, outputMin: 10, outputMax: 100, limitFactor: 1}
	highLimit := tr
	highLimit.limitFactor = 4 // an account must not be penalized for output limits far above its output
	mix := []traffic{tr, tr, highLimit}
	mix[0].account, mix[1].account, mix[2].account = "a", "b", "c"
	s := newSim(schedule.DefaultConfig(), weights, endpoints(4, 4), endpoints(4, 4))
	s.run(2*time.Minute, mix)
	var sum int64
	for _, name := range []string{"a/1", "b/1", "c/1"} {
		sum += s.tallies[name].served
	}
	for name, weight := range weights {
		got := float64(s.tallies[string(name)+"/1"].served) / float64(sum)
		want := float64(weight) / 8
		t.Logf("account %s: %.1f%% of the tokens, weight %.1f%%", name, 100*got, 100*want)
		assert.Assert(t, got > 0.95*want && got < 1.05*want, "account %s got %v of the tokens, not %v", name, got, want)
	}
}

// TestDeferrableProgress guards against deferrable requests that make no progress, or
// get more than their share, under an overload of interactive ones.
func TestDeferrableProgress(t *testing.T) {
	tr := traffic{class: interactive, backlog: 400, promptMin: 30, promptMax: 800, outputMin: 20, outputMax: 180, limitFactor: 1}
	low := tr
	low.class = deferrable
	mix := []traffic{tr, low}
	mix[0].account, mix[1].account = "a", "b"
	s := newSim(schedule.DefaultConfig(), nil, endpoints(4, 8), endpoints(4, 8))
	s.run(2*time.Minute, mix)
	share := float64(s.tallies["b/2"].served) / float64(s.tallies["a/1"].served+s.tallies["b/2"].served)
	t.Logf("deferrable share %.1f%%", 100*share)
	assert.Assert(t, share > 0.18 && share < 0.22, "share %v", share)
}

// TestDeterministic guards against different actions for the same input, which would
// make runs impossible to replay.
func TestDeterministic(t *testing.T) {
	var digests []uint64
	for range 3 {
		s := newSim(schedule.DefaultConfig(), nil, endpoints(8, 4), endpoints(8, 4))
		s.digest = xxhash.New()
		s.run(30*time.Second, fewLargeRequests())
		digests = append(digests, s.digest.Sum64())
	}
	assert.Equal(t, digests[0], digests[1])
	assert.Equal(t, digests[0], digests[2])
}
