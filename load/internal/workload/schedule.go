package workload

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a flow.
type Request struct {
	Flow           *Flow
	At             time.Duration // since the start of the run
	Prompt         string
	MaxTokens      int64
	IdempotencyKey string  // service calls
	Draw           float64 // decides on repeats; in [0, 1)
}

// Schedule derives the requests of one flow, one after another. The same seed
// gives the same requests.
type Schedule struct {
	flow   *Flow
	index  int
	run    string
	random *rand.Rand
	shared string
	at     time.Duration
	serial int
}

// NewSchedule returns the schedule of the flow with the given index in its
// workload. The text run keeps the idempotency keys of different runs apart.
func NewSchedule(f *Flow, index int, seed uint64, run string) *Schedule {
	s := &Schedule{
		flow:   f,
		index:  index,
		run:    run,
		random: rand.New(rand.NewPCG(seed, uint64(index))),
		at:     f.Start,
	}
	s.shared = s.words(f.SharedTokens)
	return s
}

// Next returns the next request. It returns false at the end of the flow.
func (s *Schedule) Next() (Request, bool) {
	s.at += time.Duration(s.random.ExpFloat64() / s.flow.Rate * float64(time.Second))
	if s.flow.End != 0 && s.at >= s.flow.End {
		return Request{}, false
	}
	s.serial++
	return Request{
		Flow:           s.flow,
		At:             s.at,
		Prompt:         s.prompt(s.draw(s.flow.PromptTokens)),
		MaxTokens:      s.draw(s.flow.MaxTokens),
		IdempotencyKey: fmt.Sprintf("%s-%d-%d", s.run, s.index, s.serial),
		Draw:           s.random.Float64(),
	}, true
}

func (s *Schedule) draw(r Range) int64 {
	return r.Low + s.random.Int64N(r.High-r.Low+1)
}

// prompt returns n words. The first words are shared by the flow.
func (s *Schedule) prompt(n int64) string {
	if n <= s.flow.SharedTokens || s.shared == "" {
		return s.words(n)
	}
	return s.shared + " " + s.words(n-s.flow.SharedTokens)
}

// words returns n random words, separated by single spaces.
func (s *Schedule) words(n int64) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(uint64(s.random.Uint32()), 36))
	}
	return b.String()
}
