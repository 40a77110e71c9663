package workload

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Request is one generated request of a flow.
type Request struct {
	Flow           *Flow
	At             time.Duration // since the start of the run
	Prompt         string
	MaxTokens      int64
	IdempotencyKey string  // used by service calls only
	RepeatDraw     float64 // random number in [0, 1) that decides whether a service call is sent again
}

// Schedule generates the requests of one flow in the order of their times. The
// same seed gives the same requests. It is not safe for concurrent use.
type Schedule struct {
	flow         *Flow
	index        int
	runID        string
	rng          *rand.Rand
	sharedPrefix string
	at           time.Duration
	sent         int
}

// NewSchedule returns the schedule of the flow with the given index in its
// workload. The index selects the random sequence, so that flows of one seed
// differ. The runID is part of the idempotency keys, so that they differ between
// runs.
func NewSchedule(f *Flow, index int, seed uint64, runID string) *Schedule {
	s := &Schedule{
		flow:  f,
		index: index,
		runID: runID,
		rng:   rand.New(rand.NewPCG(seed, uint64(index))),
		at:    f.Start,
	}
	s.sharedPrefix = s.words(f.SharedTokens)
	return s
}

// Next returns the next request, or false at the end of the flow. A flow without
// an end never returns false.
func (s *Schedule) Next() (Request, bool) {
	s.at += time.Duration(s.rng.ExpFloat64() / s.flow.Rate * float64(time.Second))
	if s.flow.End != 0 && s.at >= s.flow.End {
		return Request{}, false
	}
	s.sent++
	return Request{
		Flow:           s.flow,
		At:             s.at,
		Prompt:         s.prompt(s.uniform(s.flow.PromptTokens)),
		MaxTokens:      s.uniform(s.flow.MaxTokens),
		IdempotencyKey: fmt.Sprintf("%s-%d-%d", s.runID, s.index, s.sent),
		RepeatDraw:     s.rng.Float64(),
	}, true
}

func (s *Schedule) uniform(r Range) int64 {
	return r.Low + s.rng.Int64N(r.High-r.Low+1)
}

// prompt returns n words, of which the leading ones are the prefix that all
// requests of the flow share. A prompt that is not longer than the shared prefix
// is entirely random.
func (s *Schedule) prompt(n int64) string {
	if n <= s.flow.SharedTokens || s.sharedPrefix == "" {
		return s.words(n)
	}
	return s.sharedPrefix + " " + s.words(n-s.flow.SharedTokens)
}

// words returns n random words separated by single spaces.
func (s *Schedule) words(n int64) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(uint64(s.rng.Uint32()), 36))
	}
	return b.String()
}
