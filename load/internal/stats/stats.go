// Package stats aggregates the results of a load run, per account and in total.
//
// Latencies are recorded in histograms with a resolution of one microsecond and
// reported in milliseconds. Rates are per second of the time during which
// requests were sent.
package stats

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ragwortshunt.example/load/internal/caller"
	"ragwortshunt.example/load/internal/workload"
)

// The range and precision of the latency histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// maxNotRunIDs limits how many IDs of requests refused as not run a report
// lists.
const maxNotRunIDs = 10_000

// maxProblems limits how many wrong and broken requests a report lists.
const maxProblems = 50

// Quantiles summarizes a latency histogram. All values but Count are in
// milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// Summary holds the counts, rates and latencies of the requests of one account.
type Summary struct {
	Account             string           `json:"account"`
	Sent                int64            `json:"sent"`
	Whole               int64            `json:"whole"`
	Good                int64            `json:"good"` // complete and within both latency targets
	Refused             map[string]int64 `json:"refused"`
	RefusedNotRun       int64            `json:"refused-not-run"`
	Broken              int64            `json:"broken"`
	Wrong               int64            `json:"wrong"`
	Unreachable         int64            `json:"unreachable"`
	Stopped             int64            `json:"stopped"` // cancelled at the end of the run; not counted in GoodShare
	Repeats             int64            `json:"repeats"` // service calls that were sent twice
	Tokens              int64            `json:"tokens"`  // output tokens received
	GoodShare           float64          `json:"good-share"`
	GoodPerSecond       float64          `json:"good-per-s"`
	GoodTokensPerSecond float64          `json:"good-tokens-per-s"`
	FirstToken          Quantiles        `json:"first-token"`
	BetweenTokens       Quantiles        `json:"between-tokens"`
}

// Problem describes one request whose response was broken or wrong.
type Problem struct {
	Status    caller.Status `json:"status"`
	Account   string        `json:"account"`
	Flow      string        `json:"flow"`
	RequestID string        `json:"request-id"`
	Detail    string        `json:"detail"`
}

// Report is the result of a load run.
type Report struct {
	Seed     uint64    `json:"seed"`
	Seconds  float64   `json:"seconds"` // during which requests were sent
	Accounts []Summary `json:"accounts"`
	Total    Summary   `json:"total"`
	// WorstAccount is the account with the lowest share of good requests.
	WorstAccount string    `json:"worst-account"`
	Problems     []Problem `json:"problems"`
	// NotRun lists the IDs of requests that were refused as not run.
	NotRun []string `json:"not-run-requests"`
}

// tally accumulates the results of one account.
type tally struct {
	summary       Summary
	goodTokens    int64
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

func newTally(account string) *tally {
	return &tally{
		summary:       Summary{Account: account, Refused: map[string]int64{}},
		firstToken:    hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		betweenTokens: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
}

// Collector accumulates the results of requests. It is safe for concurrent use.
type Collector struct {
	mu       sync.Mutex
	accounts map[string]*tally
	total    *tally
	problems []Problem
	notRun   []string
}

// New returns an empty collector.
func New() *Collector {
	return &Collector{accounts: map[string]*tally{}, total: newTally("total")}
}

// Add records the result of one request of the flow f.
func (c *Collector) Add(f *workload.Flow, r caller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.accounts[f.Account]
	if !ok {
		t = newTally(f.Account)
		c.accounts[f.Account] = t
	}
	t.add(f, r)
	c.total.add(f, r)
	if r.Status == caller.Refused && r.NotRun && len(c.notRun) < maxNotRunIDs {
		c.notRun = append(c.notRun, r.RequestID)
	}
	if (r.Status == caller.Wrong || r.Status == caller.Broken) && len(c.problems) < maxProblems {
		c.problems = append(c.problems, Problem{
			Status:    r.Status,
			Account:   f.Account,
			Flow:      f.Name,
			RequestID: r.RequestID,
			Detail:    r.Detail,
		})
	}
}

func (t *tally) add(f *workload.Flow, r caller.Result) {
	s := &t.summary
	s.Sent++
	s.Repeats += int64(r.Repeats)
	s.Tokens += r.Tokens
	switch r.Status {
	case caller.Whole:
		s.Whole++
	case caller.Refused:
		s.Refused[r.Code]++
		if r.NotRun {
			s.RefusedNotRun++
		}
	case caller.Broken:
		s.Broken++
	case caller.Wrong:
		s.Wrong++
	case caller.Unreachable:
		s.Unreachable++
	case caller.Stopped:
		s.Stopped++
	}
	if good(f, r) {
		s.Good++
		t.goodTokens += r.Tokens
	}
	if r.Tokens > 0 {
		record(t.firstToken, r.FirstToken)
	}
	for _, gap := range r.Gaps {
		record(t.betweenTokens, gap)
	}
}

// good reports whether the response is complete and within the latency targets
// of the flow. Service calls stream no tokens, so only their completeness counts.
func good(f *workload.Flow, r caller.Result) bool {
	if r.Status != caller.Whole {
		return false
	}
	return r.FirstToken <= f.Targets.FirstToken && r.MeanGap() <= f.Targets.BetweenTokens
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue cannot fail: the value is clamped to the range of the histogram.
	_ = h.RecordValue(max(lowestMicros, min(d.Microseconds(), highestMicros)))
}

// Report summarizes the results so far. The elapsed time is the time during
// which requests were sent; rates are computed over it.
func (c *Collector) Report(seed uint64, elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Report{
		Seed:     seed,
		Seconds:  elapsed.Seconds(),
		Accounts: []Summary{},
		Total:    c.total.summarize(elapsed),
		Problems: append([]Problem{}, c.problems...),
		NotRun:   append([]string{}, c.notRun...),
	}
	for _, name := range slices.Sorted(maps.Keys(c.accounts)) {
		out.Accounts = append(out.Accounts, c.accounts[name].summarize(elapsed))
	}
	if len(out.Accounts) > 0 {
		worst := slices.MinFunc(out.Accounts, func(a, b Summary) int { return cmp.Compare(a.GoodShare, b.GoodShare) })
		out.WorstAccount = worst.Account
	}
	return out
}

func (t *tally) summarize(elapsed time.Duration) Summary {
	s := t.summary
	s.Refused = maps.Clone(s.Refused)
	if n := s.Sent - s.Stopped; n > 0 {
		s.GoodShare = float64(s.Good) / float64(n)
	}
	if elapsed > 0 {
		s.GoodPerSecond = float64(s.Good) / elapsed.Seconds()
		s.GoodTokensPerSecond = float64(t.goodTokens) / elapsed.Seconds()
	}
	s.FirstToken = quantiles(t.firstToken)
	s.BetweenTokens = quantiles(t.betweenTokens)
	return s
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P95:   millis(h.ValueAtQuantile(95)),
		P99:   millis(h.ValueAtQuantile(99)),
		Max:   millis(h.Max()),
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
