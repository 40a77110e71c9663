package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/quarantine"
)

const probeInterval = 2 * time.Second

// newProvisional returns an arbiter that has quarantined a segment because endpoints of two zones
// broke off under it at the same moment.
func newProvisional(t *testing.T) *arbiter {
	a := newArbiter()
	for n := range 5 {
		quarantine.Report(a.st, a.now, message.CrashReport{
			Endpoint: id.Endpoint(fmt.Sprint("e", n)), Zone: []id.Zone{"a", "b"}[n%2], Segments: []id.Segment{bad},
		})
	}
	a.advance(time.Second)
	assert.DeepEqual(t, quarantine.Decide(a.st, a.now), []id.Segment{bad})
	return a
}

func (a *arbiter) startProbe(segments ...id.Segment) bool {
	segment, ok := quarantine.StartProbe(a.st, a.now, segments)
	return ok && segment == bad
}

// countProbe says that the probe of bad reaches an engine.
func (a *arbiter) countProbe() bool { return quarantine.CountProbe(a.st, a.now, bad) }

// next returns another arbiter that has learned what this one knows.
func (a *arbiter) next() *arbiter {
	other := &arbiter{st: quarantine.New(quarantine.DefaultConfig()), now: a.now}
	quarantine.Merge(other.st, other.now, quarantine.Entries(a.st, a.now))
	return other
}

// TestProbes guards against a provisional quarantine that no answer can end, and against more
// probes than the platform allows further requests, also if the arbiter changes.
func TestProbes(t *testing.T) {
	for name, c := range map[string]struct {
		outcome quarantine.ProbeOutcome
		change  bool // another arbiter goes on after each probe
		want    int  // probes in a minute
	}{
		"inconclusive":                     {outcome: quarantine.ProbeInconclusive, want: 3},
		"inconclusive, arbiter changes":    {outcome: quarantine.ProbeInconclusive, change: true, want: 3},
		"crashed":                          {outcome: quarantine.ProbeCrashed, want: 1},
		"crashed, arbiter changes":         {outcome: quarantine.ProbeCrashed, change: true, want: 1},
		"has not reached an engine":        {outcome: quarantine.ProbeUnreached, want: 30},
		"not reached one, arbiter changes": {outcome: quarantine.ProbeUnreached, change: true, want: 30},
	} {
		t.Run(name, func(t *testing.T) {
			a := newProvisional(t)
			assert.Assert(t, !a.startProbe(bad), "probed at once")
			got := 0
			for range 30 {
				a.advance(probeInterval)
				if a.startProbe(first, bad) {
					got++
					assert.Equal(t, a.countProbe(), true)
					assert.Assert(t, !a.startProbe(bad), "two probes at a time")
					a.advance(time.Millisecond)
					quarantine.EndProbe(a.st, a.now, bad, c.outcome)
					assert.Assert(t, !a.startProbe(bad), "probed again at once")
				}
				if c.change {
					a = a.next()
				}
				assert.Assert(t, a.isBlocked(bad))
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// TestProbeOfEndedArbiter guards against forgetting a probe whose arbiter has ended before its
// outcome was known.
func TestProbeOfEndedArbiter(t *testing.T) {
	a := newProvisional(t)
	for range 3 {
		a.advance(probeInterval)
		assert.Assert(t, a.startProbe(bad) && a.countProbe())
		a = a.next()
	}
	a.advance(probeInterval)
	assert.Assert(t, !a.startProbe(bad))
}

// TestAnsweredProbe guards against a quarantine that goes on although a probe is answered.
func TestAnsweredProbe(t *testing.T) {
	a := newProvisional(t)
	a.advance(probeInterval)
	assert.Assert(t, a.startProbe(bad) && a.countProbe())
	other := a.next()
	a.advance(time.Second)
	m, ok := quarantine.Answered(a.st, a.now, "", []id.Segment{bad})
	assert.Assert(t, ok)
	assert.DeepEqual(t, quarantine.Rebut(a.st, a.now, m), []id.Segment{bad})
	assert.Assert(t, !quarantine.EndProbe(a.st, a.now, bad, quarantine.ProbeInconclusive))
	quarantine.Merge(other.st, a.now, quarantine.Entries(a.st, a.now))
	assert.Assert(t, !a.isBlocked(bad) && !other.isBlocked(bad))
}

// TestNoProbe guards against probes of decisions that are certain, and of prompts whose probe
// could be ended by another segment.
func TestNoProbe(t *testing.T) {
	certain := newArbiter()
	for range 3 {
		certain.crash(bad)
	}
	certain.advance(probeInterval)
	assert.Assert(t, !certain.startProbe(bad), "certain")

	earlier := newArbiter()
	quarantine.Merge(earlier.st, earlier.now, []message.QuarantineEntry{{Segment: bad, Version: 1, Remaining: time.Hour}})
	earlier.advance(probeInterval)
	assert.Assert(t, !earlier.startProbe(bad), "an entry of an earlier version")

	two := newProvisional(t)
	two.n = 100 // other endpoints than those that bad explains
	for range 3 {
		two.crash(last)
	}
	two.advance(probeInterval)
	assert.Assert(t, !two.startProbe(last, bad), "two quarantined segments")
	assert.Assert(t, !two.startProbe(last))
	assert.Assert(t, two.startProbe(bad))
}

// TestProbeAfterChange guards against a probe that reaches an engine although another arbiter has
// gone on with the probes while it was queued.
func TestProbeAfterChange(t *testing.T) {
	a := newProvisional(t)
	other := a.next()
	a.advance(probeInterval)
	other.advance(probeInterval)
	assert.Assert(t, a.startProbe(bad))
	assert.Assert(t, other.startProbe(bad) && other.countProbe())
	quarantine.Merge(a.st, a.now, quarantine.Entries(other.st, other.now))
	assert.Assert(t, !a.countProbe())
}
