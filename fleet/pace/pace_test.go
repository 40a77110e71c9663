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

const (
	service  = id.Pool("rack")
	interval = 500 * time.Millisecond
	slots    = 6
	typical  = 60 * time.Millisecond
)

var start = time.Unix(1, 0)

// load describes the calls to one endpoint in each interval.
type load struct {
	answered, failed, refused int64
	latency                   time.Duration // of the answered calls
	hanging                   int           // calls that do not end
}

// sound is an endpoint with 32 calls per second.
var sound = load{answered: 16, latency: typical}

func withLatency(d time.Duration) load { return load{answered: 16, latency: d} }

// collector is a State that collects reports about endpoints.
type collector struct {
	st      *pace.State
	now     time.Time
	eps     []pace.Endpoint
	owned   bool
	changes []pace.Change
	last    message.PaceSummary
	sent    int // summaries
}

func enabled() pace.Config {
	cfg := pace.DefaultConfig()
	cfg.Enabled = true
	return cfg
}

func name(n int) id.Endpoint { return id.Endpoint(fmt.Sprintf("e%d", n)) }

func newCollector(endpoints int) *collector {
	c := &collector{st: pace.New(enabled()), now: start, owned: true}
	for n := range endpoints {
		c.eps = append(c.eps, pace.Endpoint{Name: name(n), Slots: slots})
	}
	return c
}

// run reports the loads for a number of intervals.
func (c *collector) run(intervals int, loads ...load) {
	for range intervals {
		m := message.PaceReport{Service: service}
		for n, l := range loads {
			answerTime := time.Duration(l.answered) * l.latency
			m.Endpoints = append(m.Endpoints, message.EndpointCalls{
				Endpoint: name(n), Answered: l.answered, Failed: l.failed, Refused: l.refused,
				AnswerTime: answerTime, Outstanding: answerTime + time.Duration(l.hanging)*interval,
			})
		}
		pace.Collect(c.st, c.now, m)
		c.advance()
	}
}

// advance ends an interval.
func (c *collector) advance() {
	c.now = c.now.Add(interval)
	summaries, changes := pace.Summaries(c.st, c.now, func(id.Pool) ([]pace.Endpoint, bool) { return c.eps, c.owned })
	c.changes = append(c.changes, changes...)
	for _, m := range summaries {
		c.sent++
		c.last = m
		pace.Merge(c.st, c.now, m)
	}
}

// even returns six loads, of which the second is l.
func even(l load) []load { return []load{sound, l, sound, sound, sound, sound} }

// TestJudgement guards against endpoints that are not considered slow or failing in time, and
// against sound ones that are.
func TestJudgement(t *testing.T) {
	base := load{answered: 14, failed: 2, latency: typical}
	allBase := []load{base, {answered: 9, failed: 7, latency: typical}, base, base, base, base}
	full := load{answered: 50, refused: 30, latency: 2 * typical}
	for _, tt := range []struct {
		name          string
		loads         []load
		after         int // intervals until the judgement
		slow, failing bool
	}{
		{"equal", even(sound), 8, false, false},
		{"15 percent slower", even(withLatency(typical * 115 / 100)), 8, false, false},
		{"30 percent slower", even(withLatency(typical * 130 / 100)), 8, true, false},
		{"five times as slow", even(load{answered: 4, latency: 5 * typical, hanging: 10}), 2, true, false},
		{"silent", even(load{hanging: 12}), 2, true, false},
		{"queue", even(load{answered: 50, latency: 4 * typical}), 8, false, false},
		{"base failure rate", []load{base, base, base, base, base, base}, 8, false, false},
		{"failing above the base rate", allBase, 2, false, true},
		{"quick failures", even(load{answered: 9, failed: 7, latency: typical}), 2, false, true},
		{"refuses while full", even(full), 8, false, false},
		{"refuses while idle", even(load{refused: 16}), 2, false, true},
		{"two endpoints, one failing", []load{{answered: 9, failed: 7, latency: typical}, sound}, 8, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCollector(len(tt.loads))
			if len(tt.loads) > 2 {
				c.run(8, even(sound)...)
			}
			c.run(tt.after, tt.loads...)
			p := c.last.Endpoints[1]
			assert.Equal(t, p.Slow, tt.slow, "%+v", c.last)
			assert.Equal(t, p.Failing, tt.failing, "%+v", c.last)
			assert.Equal(t, c.last.Even, !tt.slow && !tt.failing && len(tt.loads) > 2)
			for n, other := range c.last.Endpoints[2:] {
				assert.Assert(t, !other.Slow && !other.Failing, "%d: %+v", n, c.last)
			}
		})
	}
}

// TestServiceTime guards against queueing that is taken for a long service time, and against a
// service without registered slots that has no service time.
func TestServiceTime(t *testing.T) {
	c := newCollector(1)
	c.run(8, load{answered: 50, latency: 4 * typical})
	assert.Equal(t, c.last.Endpoints[0].ServiceTime, typical)
	assert.Equal(t, c.last.Endpoints[0].Latency, 4*typical)
	assert.Equal(t, c.last.Endpoints[0].PerSecond, 100.0)
	assert.Equal(t, c.last.Endpoints[0].Concurrency, 24.0)
	c = newCollector(1)
	c.eps[0].Slots = 0
	c.run(8, sound)
	assert.Equal(t, c.last.Endpoints[0].ServiceTime, typical)
}

func sumOfShares(m message.PaceSummary) float64 {
	total := 0.0
	for _, p := range m.Endpoints {
		total += p.Share
	}
	return total
}

// TestShares guards against shares that do not add up, that starve endpoints or that load slow
// ones beyond what they can answer.
func TestShares(t *testing.T) {
	for _, tt := range []struct {
		name      string
		loads     []load
		low, high float64 // bounds of the second share
	}{
		{"equal", even(sound), 0.166, 0.167},
		{"failing", even(load{answered: 9, failed: 7, latency: typical}), 0.01, 0.02},
		{"five times as slow", even(load{answered: 2, latency: 5 * typical}), 0.01, 0.02},
		{"all silent", []load{{hanging: 9}, {hanging: 9}, {hanging: 9}, {hanging: 9}}, 0.01, 0.25},
		{"overload", even(load{answered: 10, latency: 5 * typical}), 0.01, 0.1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCollector(len(tt.loads))
			c.run(8, tt.loads...)
			if c.last.Endpoints[0].PerSecond > 0 {
				assert.Assert(t, math.Abs(sumOfShares(c.last)-1) < 0.001, "%+v", c.last)
			}
			share := c.last.Endpoints[1].Share
			assert.Assert(t, share >= tt.low && share <= tt.high, "%+v", c.last)
		})
	}
}

// TestRecovery guards against an endpoint that is considered slow or failing for long after its
// recovery, that gets its whole share at once, or whose recovery is not reported.
func TestRecovery(t *testing.T) {
	for _, fault := range []load{
		{answered: 4, latency: 5 * typical, hanging: 10},
		{hanging: 12},
		{answered: 9, failed: 7, latency: typical},
	} {
		c := newCollector(6)
		c.run(8, even(sound)...)
		c.run(4, even(fault)...)
		assert.Assert(t, !c.last.Even)
		shares, intervals := []float64{c.last.Endpoints[1].Share}, 0
		for ; !c.last.Even && intervals < 12; intervals++ {
			probes := int64(math.Round(shares[len(shares)-1] * 190 * interval.Seconds()))
			c.run(1, even(load{answered: max(probes, 1), latency: typical})...)
			shares = append(shares, c.last.Endpoints[1].Share)
		}
		assert.Assert(t, c.last.Even, "%+v", c.last)
		assert.Assert(t, intervals <= 9, "recovered after %d intervals, shares %v", intervals, shares)
		for i := 1; i < len(shares); i++ {
			assert.Assert(t, shares[i] <= max(2.5*shares[i-1], 0.05), "%v", shares)
		}
		assert.Equal(t, len(c.changes), 2, "%+v", c.changes)
		assert.Assert(t, c.changes[0].Began && !c.changes[1].Began)
	}
}

// TestNewEndpoint guards against a new endpoint that gets a whole share at once, or never.
func TestNewEndpoint(t *testing.T) {
	c := newCollector(5)
	c.run(8, even(sound)[:5]...)
	assert.Assert(t, c.last.Even)
	assert.Assert(t, pace.Decides(c.st, c.now, service, []id.Endpoint{name(0), name(5)}), "all hosts would try it at once")
	c.eps = append(c.eps, pace.Endpoint{Name: name(5), Slots: slots})
	c.run(1, even(sound)[:5]...)
	assert.Assert(t, !c.last.Even)
	assert.Assert(t, c.last.Endpoints[5].Share < 0.05, "%+v", c.last)
	c.run(4, even(sound)...)
	assert.Assert(t, c.last.Even, "%+v", c.last)
	c.eps = c.eps[:5]
	c.run(4, even(sound)...)
	assert.Equal(t, len(c.last.Endpoints), 5)
}

// TestSummaries guards against summaries without calls, against one in each interval while
// nothing differs, and against those of a host that does not collect or has paused.
func TestSummaries(t *testing.T) {
	c := newCollector(6)
	c.run(1, even(sound)...)
	assert.Equal(t, c.sent, 0, "not all hosts have reported yet")
	c.run(17, even(sound)...)
	assert.Assert(t, c.sent >= 4 && c.sent <= 6, "%d", c.sent)
	sent := c.sent
	c.run(4, even(load{hanging: 12})...)
	assert.Equal(t, c.sent, sent+4)
	for range 10 {
		c.advance()
	}
	sent = c.sent
	for range 10 {
		c.advance()
	}
	assert.Equal(t, c.sent, sent, "the service gets no calls")
	c.run(4, even(sound)...)
	assert.Assert(t, c.sent > sent)
	sent, c.owned = c.sent, false
	c.run(4, even(sound)...)
	assert.Equal(t, c.sent, sent, "another host collects")
	c.owned = true
	c.run(4, even(sound)...)
	sent = c.sent
	c.now = c.now.Add(3 * time.Second)
	c.run(1, even(sound)...)
	assert.Equal(t, c.sent, sent, "counts from before a pause were used")
}

// TestNewCollector guards against a collector that sends full shares to an endpoint which the
// former one has found failing, and against the use of an old summary.
func TestNewCollector(t *testing.T) {
	former := newCollector(6)
	former.run(8, even(load{answered: 9, failed: 7, latency: typical})...)
	c := newCollector(6)
	pace.Merge(c.st, c.now, former.last)
	assert.Assert(t, pace.Decides(c.st, c.now, service, nil))
	c.run(3, even(load{answered: 1, failed: 1, latency: typical})...)
	assert.Assert(t, c.last.Endpoints[1].Failing)
	assert.Equal(t, len(c.changes), 0)

	c = newCollector(6)
	pace.Merge(c.st, c.now, former.last)
	c.now = c.now.Add(6 * time.Second)
	assert.Assert(t, !pace.Decides(c.st, c.now, service, nil))
	assert.Equal(t, len(pace.All(c.st, c.now)), 0)
	c.run(3, even(sound)...)
	assert.Assert(t, !c.last.Endpoints[1].Failing)
}

// TestRecoveryAtLowRate guards against a failing endpoint that never gets enough probes within
// the history to count as sound again.
func TestRecoveryAtLowRate(t *testing.T) {
	c := newCollector(3)
	low := load{answered: 3, latency: typical}
	c.run(8, low, low, low)
	c.run(8, low, load{failed: 3}, low)
	assert.Assert(t, c.last.Endpoints[1].Failing, "%+v", c.last)
	for range 20 { // 1 call/s
		c.run(1, low, load{answered: 1, latency: typical}, low)
		c.run(1, low, load{}, low)
	}
	assert.Assert(t, !c.last.Endpoints[1].Failing, "%+v", c.last)
}

// TestNewEndpointReportedEarly guards against a new endpoint that gets a full share at once
// because a host has reported a call to it before the collector has seen it in the table.
func TestNewEndpointReportedEarly(t *testing.T) {
	c := newCollector(2)
	c.run(8, sound, sound)
	c.eps = append(c.eps, pace.Endpoint{Name: name(2), Slots: slots})
	c.run(1, sound, sound, load{answered: 1, latency: typical})
	assert.Equal(t, len(c.last.Endpoints), 3, "no summary with the new endpoint: %+v", c.last)
	share := c.last.Endpoints[2].Share
	assert.Assert(t, share > 0 && share < 0.2, "%+v", c.last)
}

// TestLatencyOfLongCalls guards against refusals after the start of a service whose calls last
// longer than the first intervals: the time of several calls that have not ended is no latency.
func TestLatencyOfLongCalls(t *testing.T) {
	for _, answered := range []int64{0, 1} {
		c := newCollector(2)
		l := load{answered: answered, latency: time.Second, hanging: 12}
		c.run(2, l, l)
		for _, p := range c.last.Endpoints {
			assert.Assert(t, p.Latency >= time.Second && p.Latency <= 2*time.Second, "%d answered: %+v", answered, p)
		}
	}
}
