package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/quarantine"
)

const (
	first = id.Segment(0xa)
	bad   = id.Segment(0xb)
	last  = id.Segment(0xc)
)

// arbiter is a State with its own clock.
type arbiter struct {
	st  *quarantine.State
	now time.Time
	n   int
}

func newArbiter() *arbiter {
	return &arbiter{st: quarantine.New(quarantine.DefaultConfig()), now: time.Unix(1, 0)}
}

func (a *arbiter) advance(d time.Duration) { a.now = a.now.Add(d) }

// crash reports another endpoint and returns what is quarantined a second later.
func (a *arbiter) crash(segments ...id.Segment) []id.Segment {
	a.n++
	a.crashOf(id.Endpoint(fmt.Sprintf("e%d", a.n)), segments...)
	a.advance(time.Second)
	return quarantine.Decide(a.st, a.now)
}

func (a *arbiter) crashOf(ep id.Endpoint, segments ...id.Segment) {
	quarantine.Report(a.st, a.now, message.CrashReport{Endpoint: ep, Segments: segments})
}

func (a *arbiter) isBlocked(segment id.Segment) bool {
	_, _, ok := quarantine.Find(a.st, a.now, []id.Segment{segment})
	return ok
}

// TestCommonSegment guards against quarantining a segment that does not explain all crashes.
func TestCommonSegment(t *testing.T) {
	a := newArbiter()
	assert.Equal(t, len(a.crash(1, bad)), 0)
	assert.Equal(t, len(a.crash(2, bad)), 0)
	assert.DeepEqual(t, a.crash(1, bad), []id.Segment{bad})
	assert.Equal(t, len(a.crash(1, bad)), 0)
	assert.Equal(t, len(a.crash(1, bad)), 0)
	assert.Assert(t, a.isBlocked(bad) && !a.isBlocked(1))
}

// TestRivalSegments guards against choosing too early between segments that explain the
// crashes equally well, and against choosing all of them.
func TestRivalSegments(t *testing.T) {
	a := newArbiter()
	for range 4 {
		assert.Equal(t, len(a.crash(first, bad)), 0)
	}
	assert.DeepEqual(t, a.crash(first, bad), []id.Segment{bad})
	assert.Assert(t, !a.isBlocked(first))
}

// TestTwoCrashingSegments guards against overlooking one of two crashing segments.
func TestTwoCrashingSegments(t *testing.T) {
	a := newArbiter()
	quarantine.Answered(a.st, a.now, "e", []id.Segment{first})
	a.advance(time.Second)
	for range 2 {
		assert.Equal(t, len(a.crash(first, bad)), 0)
		assert.Equal(t, len(a.crash(first, last)), 0)
	}
	assert.DeepEqual(t, a.crash(first, bad), []id.Segment{bad})
	assert.DeepEqual(t, a.crash(first, last), []id.Segment{last})
}

// TestSoundEndpoint guards against counting a broken run as a crash although its endpoint
// answers later, and against taking an answer that was under way for a later one.
func TestSoundEndpoint(t *testing.T) {
	a := newArbiter()
	a.crash(bad)
	a.crash(bad)
	a.crashOf("alive", bad)
	a.advance(100 * time.Millisecond)
	_, ok := quarantine.Answered(a.st, a.now, "alive", nil)
	assert.Assert(t, !ok, "the answer may have been sent before the crash")
	a.advance(500 * time.Millisecond)
	m, ok := quarantine.Answered(a.st, a.now, "alive", nil)
	assert.Assert(t, ok)
	quarantine.Rebut(a.st, a.now, m)
	a.advance(time.Second)
	assert.Equal(t, len(quarantine.Decide(a.st, a.now)), 0)
	assert.DeepEqual(t, a.crash(bad), []id.Segment{bad})
}

// TestSameMoment guards against blaming a prompt for a fault that ends several endpoints at
// the same moment.
func TestSameMoment(t *testing.T) {
	a := newArbiter()
	for n := range 10 {
		a.crashOf(id.Endpoint(fmt.Sprintf("rack-%d", n)), bad)
		a.advance(5 * time.Millisecond)
	}
	a.advance(time.Second)
	assert.Equal(t, len(quarantine.Decide(a.st, a.now)), 0)
}

// TestCrashesTogether guards against counting the crashes of a batch of requests as one, and
// against blaming a segment for a failure that one rack or something else explains.
func TestCrashesTogether(t *testing.T) {
	batch := []id.Segment{bad}
	for name, c := range map[string]struct {
		zones    []id.Zone
		segments []id.Segment
		answered bool
		others   int // endpoints that crash at the same moment without the segment
		want     bool
	}{
		"several zones":              {zones: []id.Zone{"a", "b"}, segments: batch, want: true},
		"a few others":               {zones: []id.Zone{"a", "b"}, segments: batch, others: 4, want: true},
		"as many others":             {zones: []id.Zone{"a", "b"}, segments: batch, others: 5},
		"one zone":                   {zones: []id.Zone{"a"}, segments: batch},
		"unknown zones":              {zones: []id.Zone{"a", ""}, segments: batch},
		"answered before":            {zones: []id.Zone{"a", "b"}, segments: batch, answered: true},
		"another segment in common":  {zones: []id.Zone{"a", "b"}, segments: []id.Segment{first, bad}},
		"answered segment in common": {zones: []id.Zone{"a", "b"}, segments: []id.Segment{last, bad}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			a := newArbiter()
			quarantine.Answered(a.st, a.now, "e", []id.Segment{last})
			if c.answered {
				quarantine.Answered(a.st, a.now, "e", []id.Segment{bad})
			}
			a.advance(time.Second)
			for n := range 5 + c.others {
				m := message.CrashReport{
					Endpoint: id.Endpoint(fmt.Sprintf("e%d", n)), Segments: c.segments, Zone: c.zones[n%len(c.zones)],
				}
				if n >= 5 {
					m.Segments = []id.Segment{id.Segment(1000 + n)}
				}
				quarantine.Report(a.st, a.now, m)
			}
			a.advance(100 * time.Millisecond)
			assert.Equal(t, len(quarantine.Decide(a.st, a.now)), 0, "decided before the hosts could object")
			a.advance(time.Second)
			quarantine.Decide(a.st, a.now)
			assert.Equal(t, a.isBlocked(bad), c.want)
			for _, e := range quarantine.Entries(a.st, a.now) {
				assert.Assert(t, e.Provisional, "a failure of several zones looks the same")
			}
		})
	}
}

// TestRunsBesideCrash guards against blaming a sound segment, while no engine is left to answer
// it, for crashes that a quarantined segment explains: runs on the same endpoints break off
// with them, and may be reported before or after.
func TestRunsBesideCrash(t *testing.T) {
	a := newArbiter()
	quarantine.Answered(a.st, a.now, "e", []id.Segment{first})
	for n := range 12 {
		a.advance(time.Second)
		ep := id.Endpoint(fmt.Sprintf("e%d", n))
		reports := [][]id.Segment{{first, bad}, {first, id.Segment(1000 + n)}}
		a.crashOf(ep, reports[n%2]...)
		a.advance(5 * time.Millisecond)
		a.crashOf(ep, reports[1-n%2]...)
		a.advance(time.Second)
		quarantine.Decide(a.st, a.now)
	}
	assert.Assert(t, a.isBlocked(bad))
	assert.Assert(t, !a.isBlocked(first))
}

// TestObjection guards against quarantining a segment before the other hosts could object,
// and against an objection that clears a segment for good.
func TestObjection(t *testing.T) {
	a, other := newArbiter(), newArbiter()
	quarantine.Answered(other.st, other.now, "e", []id.Segment{bad})
	report := message.CrashReport{Endpoint: "e1", Segments: []id.Segment{bad}}
	quarantine.Report(a.st, a.now, report)
	m, ok := quarantine.Objection(other.st, other.now.Add(time.Second), report)
	assert.Assert(t, ok)
	assert.DeepEqual(t, m.Answered, []message.AnsweredSegment{{Segment: bad, Age: time.Second}})
	quarantine.Rebut(a.st, a.now, m)
	a.advance(time.Second)
	a.n = 1
	for range 3 {
		assert.Equal(t, len(a.crash(bad)), 0)
	}
	assert.DeepEqual(t, a.crash(bad), []id.Segment{bad})
}

// TestReleasedSegment guards against a quarantine that goes on although the segment is
// answered, and against ending it because of an earlier answer.
func TestReleasedSegment(t *testing.T) {
	a, other := newArbiter(), newArbiter()
	for range 3 {
		a.crash(bad)
	}
	blocked := quarantine.Merge(other.st, a.now, quarantine.Entries(a.st, a.now))
	assert.DeepEqual(t, blocked, []id.Segment{bad})
	early := message.CrashRebuttal{Answered: []message.AnsweredSegment{{Segment: bad, Age: 2 * time.Second}}}
	assert.Equal(t, len(quarantine.Rebut(a.st, a.now, early)), 0)
	a.advance(time.Second)
	m, ok := quarantine.Answered(other.st, a.now, "e", []id.Segment{bad})
	assert.Assert(t, ok)
	assert.DeepEqual(t, quarantine.Rebut(a.st, a.now, m), []id.Segment{bad})
	old := quarantine.Entries(other.st, a.now)
	assert.Equal(t, len(quarantine.Merge(a.st, a.now, old)), 0, "an older decision was adopted")
	quarantine.Merge(other.st, a.now, quarantine.Entries(a.st, a.now))
	_, _, ok = quarantine.Find(other.st, a.now, []id.Segment{bad})
	assert.Assert(t, !ok && !a.isBlocked(bad))
}

// TestQuarantineEnds guards against a quarantine without an end.
func TestQuarantineEnds(t *testing.T) {
	a := newArbiter()
	for range 3 {
		a.crash(bad)
	}
	a.advance(59 * time.Minute)
	assert.Assert(t, a.isBlocked(bad))
	a.advance(time.Minute)
	assert.Assert(t, !a.isBlocked(bad))
	assert.Equal(t, len(quarantine.Entries(a.st, a.now)), 0)
}

// TestBounds guards against memory that grows with the number of crashes and segments.
func TestBounds(t *testing.T) {
	a := newArbiter()
	for n := range 2000 {
		for range 3 {
			a.crash(id.Segment(1000 + n))
		}
	}
	assert.Equal(t, len(quarantine.Entries(a.st, a.now)), 64)
	allowed := 0
	for range 100 {
		if quarantine.AllowReport(a.st, a.now, 1) {
			allowed++
		}
	}
	assert.Equal(t, allowed, 10)
	a.advance(time.Second)
	assert.Assert(t, quarantine.AllowReport(a.st, a.now, 10_000))
	assert.Assert(t, !quarantine.AllowReport(a.st, a.now, 10_000), "20,000 segments in a second")
}

// TestLongPrompts guards against memory bounds that drop the reports about long prompts before
// they suffice for a decision, and against forgetting the answers to a long prompt at once.
func TestLongPrompts(t *testing.T) {
	const segments = 4096
	a := newArbiter()
	var prompt []id.Segment
	for n := range segments {
		prompt = append(prompt, 0x10000+id.Segment(n))
	}
	quarantine.Answered(a.st, a.now, "e", prompt)
	for n := range 2 {
		assert.Equal(t, len(a.crash(append(slices.Clone(prompt), bad)...)), 0, "crash %d", n)
	}
	assert.DeepEqual(t, a.crash(append(slices.Clone(prompt), bad)...), []id.Segment{bad})
	for range 20 {
		a.crash(append(slices.Clone(prompt), id.Segment(1000+a.n))...)
		quarantine.Answered(a.st, a.now, "e", prompt)
	}
	assert.Equal(t, len(quarantine.Entries(a.st, a.now)), 1, "a sound segment is quarantined")
}

// TestRepeatedObjection guards against an objection with each answer for as long as a report
// counts.
func TestRepeatedObjection(t *testing.T) {
	a := newArbiter()
	a.crashOf("e1", bad)
	a.advance(time.Second)
	_, ok := quarantine.Answered(a.st, a.now, "e1", []id.Segment{bad})
	assert.Assert(t, ok)
	_, ok = quarantine.Answered(a.st, a.now, "e1", []id.Segment{bad})
	assert.Assert(t, !ok)
	a.advance(time.Second)
	a.crashOf("e2", bad)
	a.advance(time.Millisecond)
	m, ok := quarantine.Answered(a.st, a.now, "", []id.Segment{bad})
	assert.Assert(t, ok && len(m.Endpoints) == 0)
}

// TestDecisionIsDue guards against deciding before the hosts could object, and against looking
// at the same reports again and again.
func TestDecisionIsDue(t *testing.T) {
	a := newArbiter()
	a.crashOf("e1", bad)
	a.advance(150 * time.Millisecond)
	a.crashOf("e2", bad)
	assert.Assert(t, !quarantine.IsDue(a.st, a.now))
	a.advance(100 * time.Millisecond)
	assert.Assert(t, quarantine.IsDue(a.st, a.now))
	quarantine.Decide(a.st, a.now)
	assert.Assert(t, !quarantine.IsDue(a.st, a.now), "e2 may still get objections")
	a.advance(100 * time.Millisecond)
	assert.Assert(t, quarantine.IsDue(a.st, a.now))
	quarantine.Decide(a.st, a.now)
	a.advance(time.Hour)
	assert.Assert(t, !quarantine.IsDue(a.st, a.now))
}

// TestDecisionTime guards against decisions that stop a host for seconds, because prompts with
// thousands of segments have many of them in common.
func TestDecisionTime(t *testing.T) {
	const (
		maxTime = 2 * time.Second // a decision that compared all segments took a minute
		prompts = 30
		shared  = 4 // prompts with the same segment
	)
	for _, interval := range []time.Duration{5 * time.Millisecond, time.Second} {
		a := newArbiter()
		rng := rand.New(rand.NewPCG(1, 0))
		var segments [prompts][]id.Segment
		for n := range 60_000 / shared {
			for _, p := range rng.Perm(prompts)[:shared] {
				segments[p] = append(segments[p], id.Segment(1000+n))
			}
		}
		for n := range segments {
			quarantine.Report(a.st, a.now, message.CrashReport{Endpoint: id.Endpoint(fmt.Sprint("e", n)), Segments: segments[n]})
			a.advance(interval)
		}
		a.advance(time.Second)
		begun := time.Now()
		quarantine.Decide(a.st, a.now)
		took := time.Since(begun)
		t.Logf("decision after crashes %s apart: %s", interval, took)
		assert.Assert(t, took < maxTime)
	}
}
