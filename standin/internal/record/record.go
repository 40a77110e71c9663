// Package record stores the calls that the stand-ins received and the work that
// they executed, so that tests can query them.
package record

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ragwortshunt.example/fleet/id"
)

// Bounds on stored records and on the size of a call. When a store is full, the
// oldest records are dropped.
const (
	maxCallBytes  = 64 << 20 // total size of URLs, headers and bodies
	maxRuns       = 500_000
	maxExecutions = 500_000
	maxOrders     = 100_000
	maxMatches    = 100     // matches listed in one search reply
	maxBody       = 4 << 20 // bytes of the body of one call
)

// Outcomes of a run.
const (
	EndFinished  = "finished"
	EndCancelled = "cancelled" // cancelled by a call
	EndOrphaned  = "orphaned"  // cancelled because its caller, or its last reader, disconnected
	EndKVLost    = "kv-lost"   // the KV cache could not be fetched
	EndRejected  = "rejected"  // the imported KV cache does not match the request
	EndDied      = "died"      // the engine lost its state
)

// States of the KV cache of a prefill run.
const (
	KVHeld    = "held"    // the prefill engine keeps it
	KVDecoded = "decoded" // a decode engine imported it
	KVWasted  = "wasted"  // dropped without being decoded
)

// Call is one HTTP call that an endpoint received.
type Call struct {
	Endpoint string    `json:"endpoint"`
	Method   string    `json:"method"`
	URL      string    `json:"url"`
	Time     time.Time `json:"time"`

	text string // host, headers and body, for Search
}

// Run is the execution of one attempt on one engine.
type Run struct {
	Request      id.Request  `json:"request-id"`
	Attempt      id.Attempt  `json:"attempt"`
	Endpoint     id.Endpoint `json:"endpoint"`
	Role         string      `json:"role"`
	Start        time.Time   `json:"start"`
	End          time.Time   `json:"end,omitzero"`
	Outcome      string      `json:"outcome,omitempty"` // empty while it is running
	PromptTokens int64       `json:"prompt-tokens"`
	Prefilled    int64       `json:"prefilled-tokens,omitempty"` // prompt tokens that were computed, without cached ones
	Tokens       int64       `json:"tokens,omitempty"`           // output tokens generated
	KV           string      `json:"kv,omitempty"`               // state of the KV cache; only for prefill runs
}

// Execution is one execution of a call by a plain service.
type Execution struct {
	Service        id.Endpoint `json:"service"`
	Request        string      `json:"request-id"`
	Attempt        string      `json:"attempt"`
	IdempotencyKey string      `json:"idempotency-key,omitempty"`
	Method         string      `json:"method"`
	Path           string      `json:"path"`
	Serial         int64       `json:"serial"`
	Time           time.Time   `json:"time"`
}

// Order is an order that an engine received. Accepted is false if the engine
// refused it.
type Order struct {
	Endpoint id.Endpoint `json:"endpoint"`
	Fence    uint64      `json:"fence"`
	Kind     string      `json:"kind"`
	Accepted bool        `json:"accepted"`
	Time     time.Time   `json:"time"`
}

// SearchResult lists the stored calls that contain a text.
type SearchResult struct {
	Matches  []Call `json:"matches"`
	Total    int    `json:"total"`    // number of matching calls, including those that are not listed
	Searched int    `json:"searched"` // number of stored calls
	Dropped  int    `json:"dropped"`  // number of older calls that are no longer stored
}

// Store holds the records in memory. It is safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	calls      []Call
	bytes      int
	dropped    int
	runs       []*Run
	executions []Execution
	orders     []Order
}

// New returns an empty store.
func New() *Store { return &Store{} }

// Wrap returns a handler that records each call to endpoint before h handles it.
// Bodies above maxBody are refused with status 400.
func (s *Store) Wrap(endpoint string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		s.addCall(endpoint, r, body)
		if err != nil {
			http.Error(w, "read body: "+err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}

func (s *Store) addCall(endpoint string, r *http.Request, body []byte) {
	var b strings.Builder
	b.WriteString(r.Host + "\n")
	// Writing to a strings.Builder cannot fail.
	_ = r.Header.Write(&b)
	b.WriteString("\n")
	b.Write(body)
	call := Call{
		Endpoint: endpoint,
		Method:   r.Method,
		URL:      r.URL.String(),
		Time:     time.Now(),
		text:     b.String(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	s.bytes += len(call.text) + len(call.URL)
	for s.bytes > maxCallBytes && len(s.calls) > 1 {
		s.bytes -= len(s.calls[0].text) + len(s.calls[0].URL)
		s.calls[0] = Call{}
		s.calls = s.calls[1:]
		s.dropped++
	}
}

// Search returns the calls whose URL, headers or body contain text.
func (s *Store) Search(text string) SearchResult {
	s.mu.Lock()
	calls := slices.Clone(s.calls)
	dropped := s.dropped
	s.mu.Unlock()
	out := SearchResult{Matches: []Call{}, Searched: len(calls), Dropped: dropped}
	for _, c := range calls {
		if !strings.Contains(c.text, text) && !strings.Contains(c.URL, text) {
			continue
		}
		out.Total++
		if len(out.Matches) < maxMatches {
			out.Matches = append(out.Matches, c)
		}
	}
	return out
}

// Begin records the start of a run. The returned pointer identifies the record in
// calls of Update and Finish; only these may access what it points to.
func (s *Store) Begin(r Run) *Run {
	r.Start = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, &r)
	if len(s.runs) > maxRuns {
		s.runs = s.runs[1:]
	}
	return &r
}

// Update calls change with the record of a run while the store is locked.
func (s *Store) Update(r *Run, change func(r *Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(r)
}

// Finish records the end time and the outcome of a run.
func (s *Store) Finish(r *Run, outcome string) {
	s.Update(r, func(r *Run) {
		r.Outcome = outcome
		r.End = time.Now()
	})
}

// Runs returns copies of the runs of request, or of all runs if request is empty.
func (s *Store) Runs(request id.Request) []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Run{}
	for _, r := range s.runs {
		if request == "" || r.Request == request {
			out = append(out, *r)
		}
	}
	return out
}

// AddExecution records the execution of a call by a service.
func (s *Store) AddExecution(e Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, e)
	if len(s.executions) > maxExecutions {
		s.executions = s.executions[1:]
	}
}

// Executions returns the recorded executions, oldest first.
func (s *Store) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// AddOrder records an order that an engine received.
func (s *Store) AddOrder(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	if len(s.orders) > maxOrders {
		s.orders = s.orders[1:]
	}
}

// Orders returns the recorded orders, oldest first.
func (s *Store) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order{}, s.orders...)
}
