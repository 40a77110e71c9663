package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of PROTOCOL.md that stand-ins use.
const (
	headerAttempt  = "X-Ragwortshunt-Attempt-Id"
	headerDeadline = "X-Ragwortshunt-Deadline-Ms"
	headerExpected = "X-Ragwortshunt-Expected-Instance"
	headerNotRun   = "X-Ragwortshunt-Not-Executed"
	headerSeal     = "X-Ragwortshunt-Response-Seal"
	headerSource   = "X-Ragwortshunt-Kv-Source"
	headerStage    = "X-Ragwortshunt-Stage"
	headerTenant   = "X-Ragwortshunt-Tenant"
	headerTokens   = "X-Ragwortshunt-Token-Usage"
	headerModel    = "X-Ragwortshunt-Model"
	headerPrefix   = "X-Ragwortshunt-Prompt-Prefix"
	headerLast     = "Last-Event-Id"
)

// The stages of model runners.
const (
	stagePrefill = "prefill"
	stageDecode  = "decode"
)

// Run is one run of a request at a runner.
type Run struct {
	At     time.Time
	Ended  time.Time // zero while the runner works on it
	Runner string
	ID     string // of the attempt
	Tenant string
}

// Runs records what runs at all runners of a case.
type Runs struct {
	mu   sync.Mutex
	list []*Run
}

func (r *Runs) begin(runner string, req *http.Request) *Run {
	run := &Run{At: time.Now(), Runner: runner, ID: req.Header.Get(headerAttempt), Tenant: req.Header.Get(headerTenant)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, run)
	return run
}

func (r *Runs) end(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Ended = time.Now()
}

// All returns the runs so far.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, 0, len(r.list))
	for _, run := range r.list {
		out = append(out, *run)
	}
	return out
}

// Runner is a stand-in for one runner: a model runner, or one of a plain service if stage is empty.
type Runner struct {
	id, service, zone, stage string
	slots, queue, conns      int
	work                     time.Duration // of a request of a plain service
	prefill, event           time.Duration // of a prompt, and between two events
	events                   int           // of a stream
	runs                     *Runs
	store                    *Store
	address                  string
	server                   *http.Server
	took                     chan struct{} // holds a token for each request that is worked on

	mu          sync.Mutex
	waiting     int
	open        int // connections
	silentUntil time.Time
	seq         int
	streams     map[string]*stream // by attempt, those that the runner works on
}

// stream is a stream that a runner works on.
type stream struct {
	lost chan struct{} // closed when its answer is lost; the runner works on
	stop chan struct{} // closed when the runner stops, for a move of its memory
	made int           // events
}

// Start serves the runner on a free loopback port and registers it.
func (r *Runner) Start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("a runner can't listen: %v", err)
	}
	r.address = l.Addr().String()
	r.took = make(chan struct{}, r.slots)
	r.streams = make(map[string]*stream)
	r.server = &http.Server{Handler: r, ConnState: r.connState, MaxHeaderBytes: 1 << 20}
	go r.server.Serve(l)
	r.register("ready")
}

// Exit ends the runner, with all of its connections.
func (r *Runner) Exit() { _ = r.server.Close() }

func (r *Runner) register(state string) {
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 0, "born": bornMS,
	}
	if r.stage != "" {
		entry["stage"] = r.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	r.store.Put("servers", r.id, entry)
}

const bornMS = 1790000000000

// connState resets the connections beyond max_connections.
func (r *Runner) connState(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.open++
		if r.open > r.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		r.open--
	}
}

// FallSilent lets the runner go on only after the given time.
func (r *Runner) FallSilent(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(d)
}

func (r *Runner) awaitSilenceEnd() {
	for {
		r.mu.Lock()
		left := time.Until(r.silentUntil)
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// ServeHTTP serves requests, health checks and the calls of the system.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	r.awaitSilenceEnd()
	if err != nil || req.Context().Err() != nil {
		return
	}
	id := req.Header.Get(headerAttempt)
	if id != "" {
		w.Header().Set(headerAttempt, id)
	}
	switch {
	case req.Method == http.MethodDelete:
		return
	case req.URL.Path == "/ragwortshunt/order":
		w.WriteHeader(http.StatusAccepted)
		return
	case req.URL.Path == "/ragwortshunt/kv-move":
		r.serveMove(w, body)
		return
	case id == "":
		r.reject(w, http.StatusBadRequest)
		return
	case req.Header.Get(headerExpected) != "" && req.Header.Get(headerExpected) != r.id:
		r.reject(w, http.StatusMisdirectedRequest)
		return
	case r.stage != "" && (req.Header.Get(headerStage) == stagePrefill) != (r.stage == stagePrefill):
		r.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if !r.take(req.Context()) {
		r.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.took }()
	switch r.stage {
	case stagePrefill:
		r.servePrefill(w)
	case stageDecode:
		r.serveStream(w, req)
	default:
		r.serveService(w, req)
	}
}

// take waits for a slot. It returns false if the queue is full, or the connection has been closed.
func (r *Runner) take(ctx context.Context) bool {
	select {
	case r.took <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	full := r.waiting >= r.queue
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.waiting--
	}()
	select {
	case r.took <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) reject(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.Header().Set("X-Ragwortshunt-Instance-Id", r.id)
	w.WriteHeader(status)
}

func (r *Runner) servePrefill(w http.ResponseWriter) {
	time.Sleep(r.prefill)
	r.mu.Lock()
	r.seq++
	handle := fmt.Sprintf("%s-%d", r.id, r.seq)
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"kv_handle": handle, "tokens": 1460, "version": 1})
}

// serveStream sends the events of a stream. It drops the request when its connection closes, unless
// the answer was lost on the way: then the runner works on.
func (r *Runner) serveStream(w http.ResponseWriter, req *http.Request) {
	run := r.runs.begin(r.id, req)
	defer r.runs.end(run)
	st := &stream{lost: make(chan struct{}), stop: make(chan struct{})}
	r.mu.Lock()
	r.streams[run.ID] = st
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.streams, run.ID)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerSeal, r.seal(run.ID))
	last, _ := strconv.Atoi(req.Header.Get(headerLast))
	closed, lost := req.Context().Done(), st.lost
	for n := last + 1; n <= r.events; {
		select {
		case <-lost:
			r.reset(w)
			closed, lost = nil, nil
		case <-closed:
			return
		case <-st.stop:
			return
		case <-time.After(r.event):
			if lost != nil {
				fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, run.ID, n)
				w.(http.Flusher).Flush()
			}
			r.mu.Lock()
			st.made = n
			r.mu.Unlock()
			n++
		}
	}
}

// reset resets the connection of an answer.
func (r *Runner) reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		unable("a connection can't be reset: %v", err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// LoseAnswer loses the answer of a stream that the runner works on.
func (r *Runner) LoseAnswer(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st, ok := r.streams[id]; ok {
		close(st.lost)
	}
}

// serveMove stops a run and hands out the handle of its memory.
func (r *Runner) serveMove(w http.ResponseWriter, body []byte) {
	var call struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	st, ok := r.streams[call.ID]
	made := 0
	if ok {
		made = st.made
	}
	if ok && call.Last {
		delete(r.streams, call.ID)
		close(st.stop)
	}
	r.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"kv_handle": "moved-" + call.ID, "created": made})
}

func (r *Runner) serveService(w http.ResponseWriter, req *http.Request) {
	run := r.runs.begin(r.id, req)
	defer r.runs.end(run)
	time.Sleep(r.work)
	w.Header().Set(headerSeal, r.seal(run.ID))
	fmt.Fprintf(w, "answer to %s", run.ID)
}

func (r *Runner) seal(id string) string { return r.id + "." + id }
