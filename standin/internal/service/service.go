// Package service stands in for plain services. A service accepts every method
// and path, and replies with an echo of the call.
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

// headerKey carries the idempotency key of a call.
const headerKey = "Idempotency-Key"

// Reply is the body of a reply.
type Reply struct {
	Service string      `json:"service"`
	Serial  int64       `json:"serial"` // counts the executions of this process from 1
	Method  string      `json:"method"`
	URL     string      `json:"url"`
	Headers http.Header `json:"headers"`
	Body    string      `json:"body"`
}

// Service is the stand-in of one service.
type Service struct {
	cfg     settings.Service
	faults  *fault.Switches
	records *record.Store

	mu     sync.Mutex
	serial int64
	done   map[string]Reply // by idempotency key, if the service is idempotent
}

// New returns a service that has executed nothing.
func New(cfg settings.Service, faults *fault.Switches, records *record.Store) *Service {
	faults.Allow(string(cfg.Name), fault.Delay, fault.DropReply, fault.Refuse, fault.Die)
	return &Service{cfg: cfg, faults: faults, records: records, done: map[string]Reply{}}
}

// Reset drops all state, as a restart of the process does.
func (s *Service) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial = 0
	s.done = map[string]Reply{}
}

// ServeHTTP executes one call. It also executes calls whose caller has gone.
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

func (s *Service) execute(r *http.Request, body []byte) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(headerKey)
	if reply, ok := s.done[key]; ok {
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
		s.done[key] = reply
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
	// The caller may have gone, which its own error tells it.
	_ = json.NewEncoder(w).Encode(v)
}
