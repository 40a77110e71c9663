// Package service simulates plain services. A simulated service accepts any
// method and path and echoes the call in its reply.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/record"
	"ragwortshunt.example/standin/internal/settings"
)

// headerIdempotencyKey is the header with the idempotency key of a call.
const headerIdempotencyKey = "Idempotency-Key"

// Reply is the JSON body of a reply: the call and its serial number.
type Reply struct {
	Service string      `json:"service"`
	Serial  int64       `json:"serial"` // number of executions since the start, this one included
	Method  string      `json:"method"`
	URL     string      `json:"url"`
	Headers http.Header `json:"headers"`
	Body    string      `json:"body"`
}

// Service simulates one service. It is safe for concurrent use.
type Service struct {
	cfg     settings.Service
	faults  *fault.Injector
	records *record.Store

	mu      sync.Mutex
	serial  int64
	replies map[string]Reply // by idempotency key; empty if the service is not idempotent
}

// New returns a service without executions. It registers its faults with faults.
func New(cfg settings.Service, faults *fault.Injector, records *record.Store) *Service {
	faults.Register(string(cfg.Name), fault.Delay, fault.DropReply, fault.Refuse, fault.Die)
	return &Service{cfg: cfg, faults: faults, records: records, replies: map[string]Reply{}}
}

// Reset drops all state, as a restart of a real service would.
func (s *Service) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial = 0
	s.replies = map[string]Reply{}
}

// ServeHTTP executes a call and replies after the delay. The call is executed even
// if its caller has disconnected.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := string(s.cfg.Name)
	if s.faults.Fires(name, fault.Refuse) {
		refuse(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w)
		return
	}
	reply := s.execute(r, body)
	time.Sleep(s.delay())
	if s.faults.Fires(name, fault.DropReply) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, reply)
}

// execute records the execution of a call and returns its reply. An idempotent
// service returns the stored reply if it has already executed the key.
func (s *Service) execute(r *http.Request, body []byte) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(headerIdempotencyKey)
	if reply, ok := s.replies[key]; ok {
		return reply
	}
	s.serial++
	reply := Reply{
		Service: string(s.cfg.Name),
		Serial:  s.serial,
		Method:  r.Method,
		URL:     r.URL.String(),
		Headers: r.Header,
		Body:    string(body),
	}
	if s.cfg.Idempotent && key != "" {
		s.replies[key] = reply
	}
	s.records.AddExecution(record.Execution{
		Service:        s.cfg.Name,
		Request:        r.Header.Get(engine.HeaderRequest),
		Attempt:        r.Header.Get(engine.HeaderAttempt),
		IdempotencyKey: key,
		Method:         r.Method,
		Path:           r.URL.Path,
		Serial:         s.serial,
		Time:           time.Now(),
	})
	return reply
}

func (s *Service) delay() time.Duration {
	ms, _ := s.faults.Value(string(s.cfg.Name), fault.Delay)
	return s.cfg.Delay + time.Duration(ms*float64(time.Millisecond))
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(engine.HeaderNotRun, "true")
	writeJSON(w, http.StatusServiceUnavailable, engine.Error{
		Code:    engine.CodeFull,
		Message: "the service did not start the call",
		NotRun:  true,
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignore the error: the caller has disconnected and sees the failure itself.
	_ = json.NewEncoder(w).Encode(v)
}
