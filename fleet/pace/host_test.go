package pace_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/pace"
)

// TestReports guards against calls that are counted twice or not at all, against calls that do
// not count before they end, and against reports without calls.
func TestReports(t *testing.T) {
	st := pace.New(enabled())
	assert.Equal(t, len(pace.Reports(st, start.Add(time.Hour))), 0)
	now := start
	for range 3 {
		pace.Started(st, now, service, "e")
	}
	pace.Started(st, now, "another", "x")
	assert.Equal(t, len(pace.Reports(st, now.Add(interval/2))), 0)
	now = now.Add(100 * time.Millisecond)
	pace.Ended(st, now, "e", pace.Answered, 100*time.Millisecond)
	pace.Ended(st, now, "e", pace.Failed, 100*time.Millisecond)
	pace.Ended(st, now, "x", pace.Refused, 100*time.Millisecond)
	now = start.Add(interval)
	assert.DeepEqual(t, pace.Reports(st, now), []message.PaceReport{
		{Service: "another", Endpoints: []message.EndpointCalls{{Endpoint: "x", Refused: 1, Outstanding: 100 * time.Millisecond}}},
		{Service: service, Endpoints: []message.EndpointCalls{
			{Endpoint: "e", Answered: 1, Failed: 1, AnswerTime: 100 * time.Millisecond, Outstanding: 700 * time.Millisecond},
		}},
	})
	now = now.Add(interval)
	assert.DeepEqual(t, pace.Reports(st, now), []message.PaceReport{
		{Service: service, Endpoints: []message.EndpointCalls{{Endpoint: "e", Outstanding: interval}}},
	})
	now = now.Add(2 * time.Second)
	pace.Discard(st, now)
	pace.Ended(st, now, "e", pace.Abandoned, 0)
	assert.Equal(t, len(pace.Reports(st, now)), 0, "the time of a pause was counted")
	assert.Equal(t, len(pace.Reports(st, now.Add(time.Hour))), 0)
}

// TestOff guards against messages and choices of hosts on which the package is off.
func TestOff(t *testing.T) {
	st := pace.New(pace.DefaultConfig())
	pace.Started(st, start, service, "e")
	pace.Ended(st, start, "e", pace.Answered, 0)
	assert.Equal(t, len(pace.Reports(st, start.Add(time.Minute))), 0)
	pace.Collect(st, start, message.PaceReport{Service: service, Endpoints: []message.EndpointCalls{{Endpoint: "e", Answered: 9}}})
	summaries, _ := pace.Summaries(st, start.Add(interval), nil)
	assert.Equal(t, len(summaries), 0)
	pace.Merge(st, start, message.PaceSummary{Service: service})
	assert.Assert(t, !pace.Decides(st, start, service, nil))
}

// chosen returns the parts of the calls that each candidate gets.
func chosen(st *pace.State, candidates ...pace.Candidate) map[id.Endpoint]float64 {
	const calls = 20_000
	out := make(map[id.Endpoint]float64)
	for n := range calls {
		req, best, lowest := id.Request(fmt.Sprintf("r%d", n)), id.Endpoint(""), math.Inf(1)
		for _, c := range candidates {
			if score := pace.Score(st, service, req, c); score < lowest {
				best, lowest = c.Endpoint, score
			}
		}
		out[best] += 1.0 / calls
	}
	return out
}

// TestScore guards against hosts that all choose the same endpoint, and against parts that do not
// follow the shares, the zone or the outstanding calls.
func TestScore(t *testing.T) {
	st := pace.New(enabled())
	pace.Merge(st, start, message.PaceSummary{Service: service, Endpoints: []message.EndpointPace{
		{Endpoint: "a", Share: 0.45, Room: 0.5}, {Endpoint: "b", Share: 0.45, Room: 0.5}, {Endpoint: "c", Share: 0.1, Room: 1, Slow: true},
	}})
	for _, tt := range []struct {
		name       string
		candidates []pace.Candidate
		want       map[id.Endpoint]float64
	}{
		{"shares", []pace.Candidate{{Endpoint: "a"}, {Endpoint: "b"}, {Endpoint: "c"}}, map[id.Endpoint]float64{"a": 0.45, "b": 0.45, "c": 0.1}},
		{"without one", []pace.Candidate{{Endpoint: "a"}, {Endpoint: "c"}}, map[id.Endpoint]float64{"a": 0.818, "c": 0.182}},
		{"near", []pace.Candidate{{Endpoint: "a", Near: true}, {Endpoint: "b"}}, map[id.Endpoint]float64{"a": 0.6, "b": 0.4}},
		{"near but slow", []pace.Candidate{{Endpoint: "a"}, {Endpoint: "c", Near: true}}, map[id.Endpoint]float64{"a": 0.818, "c": 0.182}},
		{"outstanding", []pace.Candidate{{Endpoint: "a", Outstanding: 2}, {Endpoint: "b"}}, map[id.Endpoint]float64{"a": 0.25, "b": 0.75}},
		{"new", []pace.Candidate{{Endpoint: "a"}, {Endpoint: "z"}}, map[id.Endpoint]float64{"a": 0.878, "z": 0.122}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := chosen(st, tt.candidates...)
			for ep, want := range tt.want {
				assert.Assert(t, math.Abs(got[ep]-want) < 0.02, "%v, want %v", got, tt.want)
			}
		})
	}
	for ep, want := range map[id.Endpoint]bool{"a": false, "c": false, "z": true} {
		assert.Equal(t, pace.IsOnTrial(st, service, ep), want, "%s", ep)
	}
}

// TestIsTooLate guards against calls that are sent although they will be answered too late,
// against calls that are refused on old or missing knowledge, and against hosts that refuse all
// calls and never learn that the endpoints are fast again.
func TestIsTooLate(t *testing.T) {
	st := pace.New(enabled())
	pace.Merge(st, start, message.PaceSummary{Service: service, Endpoints: []message.EndpointPace{{Endpoint: "a", Latency: time.Second}}})
	late := func(now time.Time, ep id.Endpoint, left time.Duration) (n int) {
		for i := range 1000 {
			if pace.IsTooLate(st, now, service, id.Request(fmt.Sprintf("r%d", i)), ep, left) {
				n++
			}
		}
		return n
	}
	n := late(start, "a", 900*time.Millisecond)
	assert.Assert(t, n > 850 && n < 950, "%d", n)
	assert.Equal(t, late(start, "a", time.Second), 0)
	assert.Equal(t, late(start, "z", time.Millisecond), 0)
	assert.Equal(t, late(start.Add(6*time.Second), "a", time.Millisecond), 0)
}
