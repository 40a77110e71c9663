package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The headers of the platform.
const (
	headerRequest   = "X-Ragwortshunt-Attempt-Id"
	headerDeadline  = "X-Ragwortshunt-Deadline-Ms"
	headerTokens    = "X-Ragwortshunt-Token-Usage"
	headerPrefix    = "X-Ragwortshunt-Prompt-Prefix"
	headerSeal      = "X-Ragwortshunt-Response-Seal"
	headerNotRun    = "X-Ragwortshunt-Not-Executed"
	headerInstance  = "X-Ragwortshunt-Expected-Instance"
	headerTenant    = "X-Ragwortshunt-Tenant"
	headerStage     = "X-Ragwortshunt-Stage"
	headerKVSource  = "X-Ragwortshunt-Kv-Source"
	headerLastEvent = "Last-Event-Id"
	headerModel     = "X-Ragwortshunt-Model"
)

// Figures of the small deployment `vankri-tag`.
const (
	heartbeatInterval = 1200 * time.Millisecond
	engineSlots       = 24
	engineQueue       = 2
	tokensPerMS       = 33.3
	stepTime          = 4230 * time.Microsecond
	stride            = 11
	handleTTL         = 500 * time.Millisecond
	switchTime        = 6 * time.Second
	serviceSlots      = 6
	serviceQueue      = 24
	serviceWork       = 15 * time.Millisecond
)

// world is what all servers share: the store, the handles of KV caches and the record.
type world struct {
	store *store
	rec   *record

	mu      sync.Mutex
	handles map[string]handle // by "address/handle"
}

type handle struct {
	request string
	until   time.Time
}

// server is one runner of a service, with or without an engine.
type server struct {
	w       *world
	id      string
	service string
	zone    string
	role    string // prefill or decode; empty without an engine

	// crashPart is the part of a prompt that ends the runner when it begins to write an answer,
	// for downFor. Empty means none.
	crashPart string
	downFor   time.Duration

	// speed is how many times as long as others the runner works.
	speed float64
	// lostShare is the share of the streams whose answer is lost: the connection is reset after the
	// first event, and the runner works on to the end.
	lostShare atomic.Value // of float64

	reading sync.Mutex // held by the prompt that is read

	mu       sync.Mutex
	address  string
	born     int64
	http     *http.Server
	running  int
	waiting  int
	fence    int64
	sequence int
	crashes  int
	free     chan struct{}
}

// start opens the runner at its address, or at a new one, and registers it.
func (s *server) start() error {
	s.mu.Lock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	s.address = l.Addr().String()
	s.born = time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	s.running, s.waiting, s.fence, s.sequence = 0, 0, 0, 0
	s.free = make(chan struct{}, 1024)
	h := s.http
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	s.register()
	return nil
}

// register writes the entry of the runner. Nothing changes in it but its sequence, which makes
// no new revision.
func (s *server) register() {
	s.mu.Lock()
	spec := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": s.born,
	}
	if s.role != "" {
		spec["stage"] = s.role
		spec["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	} else {
		spec["slots"] = serviceSlots
	}
	s.mu.Unlock()
	s.w.store.put("servers", s.id, spec)
}

// crash ends the runner with all its connections. It sends nothing; its entry goes after three
// intervals of silence. It is back after downFor, under its ID and at its address.
func (s *server) crash(request string) {
	s.mu.Lock()
	h := s.http
	if h == nil {
		s.mu.Unlock()
		return
	}
	s.http = nil
	s.crashes++
	n := s.crashes
	s.mu.Unlock()
	s.w.rec.add("crash", "%s by %s", s.id, request)
	s.w.rec.crashed()
	go h.Close()
	time.AfterFunc(3*heartbeatInterval, func() {
		s.mu.Lock()
		down := s.crashes == n && s.http == nil
		s.mu.Unlock()
		if down {
			s.w.store.remove("servers", s.id)
		}
	})
	time.AfterFunc(s.downFor, func() {
		for range 50 {
			if s.start() == nil {
				s.w.rec.add("back", "%s", s.id)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/ragwortshunt/kv-handle/"):
		s.w.mu.Lock()
		delete(s.w.handles, s.address+"/"+strings.TrimPrefix(r.URL.Path, "/ragwortshunt/kv-handle/"))
		s.w.mu.Unlock()
		return
	case r.URL.Path == "/ragwortshunt/order":
		s.order(w, r, body)
		return
	case r.URL.Path == "/health":
		w.Header().Set("X-Ragwortshunt-Instance-Id", s.id)
		return
	}
	request := r.Header.Get(headerRequest)
	w.Header().Set(headerRequest, request)
	s.mu.Lock()
	role := s.role
	s.mu.Unlock()
	prefill := r.Header.Get(headerStage) == "prefill"
	s.w.rec.arrived(request, s.id, prefill, r.Header.Get(headerPrefix))
	if instance := r.Header.Get(headerInstance); instance != "" && instance != s.id || role != "" && prefill != (role == "prefill") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(headerSeal, "seal."+s.id+"."+request)
	switch {
	case role == "":
		s.serve(w, r, request, body)
	case prefill:
		s.prefill(w, r, request)
	default:
		s.decode(w, r, request)
	}
}

func (s *server) shed(w http.ResponseWriter) {
	w.Header().Del(headerSeal)
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// admit waits for a slot and reports whether it got one.
func (s *server) admit(ctx context.Context, slots, queue int) bool {
	s.mu.Lock()
	if s.running < slots {
		s.running++
		s.mu.Unlock()
		return true
	}
	if s.waiting >= queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	free := s.free
	s.mu.Unlock()
	select {
	case <-free:
		return true
	case <-ctx.Done():
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		return false
	}
}

// leave gives a slot back.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting > 0 {
		s.waiting--
		s.free <- struct{}{}
		return
	}
	s.running--
}

// serve runs a request of the plain service.
func (s *server) serve(w http.ResponseWriter, r *http.Request, request string, body []byte) {
	if !s.admit(r.Context(), serviceSlots, serviceQueue) {
		s.shed(w)
		return
	}
	defer s.leave()
	defer s.w.rec.ran(request, s.id)()
	s.w.rec.ranAs(request, r.URL.RequestURI())
	time.Sleep(time.Duration(float64(serviceWork) * (0.5 + rand.Float64())))
	fmt.Fprintf(w, "%s %s %s %d", request, r.Method, r.RequestURI, len(body))
}

// prefill reads a prompt and keeps its KV cache for handleTTL.
func (s *server) prefill(w http.ResponseWriter, r *http.Request, request string) {
	prompt, _, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, _ := strconv.Atoi(prompt)
	if !s.read(r.Context(), time.Duration(float64(tokens)/tokensPerMS*float64(time.Millisecond))) {
		return
	}
	name := fmt.Sprintf("%012x", rand.Uint64()&(1<<48-1))
	s.w.mu.Lock()
	s.w.handles[s.address+"/"+name] = handle{request: request, until: time.Now().Add(handleTTL)}
	s.w.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"kv_handle":%q,"tokens":%d,"version":1}`, name, tokens)
}

// read reads one prompt after the other, for the given time each, and reports whether it has read
// this one.
func (s *server) read(ctx context.Context, work time.Duration) bool {
	s.reading.Lock()
	defer s.reading.Unlock()
	select {
	case <-time.After(work):
		return true
	case <-ctx.Done():
		return false
	}
}

// takeHandle takes the KV cache that a header names, and reports whether it is there.
func (w *world) takeHandle(source string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.handles[source]
	delete(w.handles, source)
	return h.request, ok && time.Now().Before(h.until)
}

// decode streams the events after the last one that the caller has.
func (s *server) decode(w http.ResponseWriter, r *http.Request, request string) {
	if !s.admit(r.Context(), engineSlots, engineQueue) {
		s.shed(w)
		return
	}
	defer s.leave()
	if source := r.Header.Get(headerKVSource); source != "" {
		owner, ok := s.w.takeHandle(source)
		if !ok {
			s.shed(w)
			return
		}
		if owner != request {
			s.w.rec.add("violation", "%s goes on from the handle of %s", request, owner)
		}
	}
	time.Sleep(5 * time.Millisecond)
	if s.crashPart != "" && strings.Contains(r.Header.Get(headerPrefix), s.crashPart+":") {
		s.crash(request)
		panic(http.ErrAbortHandler)
	}
	end := s.w.rec.ran(request, s.id)
	defer end()
	last, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	pause := time.Duration(stride * float64(stepTime) * max(s.speed, 1))
	if share, ok := s.lostShare.Load().(float64); ok && rand.Float64() < share && last < eventsOf(request) {
		s.loseAnswer(w, request, last+1)
		time.Sleep(time.Duration(eventsOf(request)-last) * pause)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= eventsOf(request); n++ {
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprint(w, event(request, n))
		w.(http.Flusher).Flush()
		time.Sleep(pause)
	}
}

// loseAnswer sends the head and one event of a stream, and resets the connection.
func (s *server) loseAnswer(w http.ResponseWriter, request string, n int) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	e := event(request, n)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
		headerRequest, request, headerSeal, w.Header().Get(headerSeal), len(e), e)
	time.Sleep(5 * time.Millisecond)
	s.w.rec.add("lost", "answer of %s on %s", request, s.id)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// eventsOf returns the number of events of the stream of a request: a mean of 71 tokens, at most
// 170, in events of stride tokens.
func eventsOf(request string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(request))
	rng := rand.New(rand.NewPCG(h.Sum64(), 1))
	tokens := 55.6 * math.Exp(0.7*rng.NormFloat64())
	return int(math.Ceil(min(max(tokens, 1), 170) / stride))
}

func event(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, request, n)
}

// wholeStream returns the stream of a request after the given event.
func wholeStream(request string) string {
	var b strings.Builder
	for n := 1; n <= eventsOf(request); n++ {
		b.WriteString(event(request, n))
	}
	return b.String()
}

// order changes the stage of an engine.
func (s *server) order(w http.ResponseWriter, r *http.Request, body []byte) {
	var o struct {
		Operation string `json:"operation"`
		Stage     string `json:"stage"`
		Holder    string `json:"holder"`
		Fence     int64  `json:"fencing_token"`
	}
	if json.Unmarshal(body, &o) != nil || o.Operation != "stage" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(headerInstance) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.w.rec.add("order", "%s gets %s from %s with %d", s.id, o.Stage, o.Holder, o.Fence)
	s.mu.Lock()
	switch {
	case o.Fence < s.fence:
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case s.role == o.Stage:
		s.fence = o.Fence
		s.mu.Unlock()
		w.WriteHeader(http.StatusOK)
		return
	}
	s.fence = o.Fence
	s.role = o.Stage
	s.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(switchTime, s.register)
}
