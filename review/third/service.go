package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// service is a stand-in of one runner of a service without engines. It answers requests of streaming
// routes with events. Its answers have neither a length nor chunks and end with their connection.
type service struct {
	rec       *record
	id        string
	eventTime time.Duration
	events    int // of a complete stream
	breakEach int // each so manieth answer breaks off inside an event; 0 means none

	mu     sync.Mutex
	count  int
	broken map[string]bool // requests whose answers broke off
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get(headerID)
	if r.Header.Get(headerExpected) != s.id {
		w.Header().Set(headerID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.count++
	breaks := s.breakEach > 0 && s.count%s.breakEach == 0
	s.broken[id] = breaks
	s.mu.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	// All of the request has been read, so that Close ends the connection in the regular way.
	defer conn.Close()
	s.rec.add("%s begins to run %s", s.id, id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		headerID, id, headerSeal, s.id, id)
	for n := 1; n <= s.events; n++ {
		time.Sleep(s.eventTime)
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
		if breaks && n == s.events/2 {
			_, _ = io.WriteString(conn, strings.TrimSuffix(event, fmt.Sprintf(" %d\n\n", n)))
			s.rec.add("%s breaks off its answer to %s inside event %d of %d", s.id, id, n, s.events)
			return
		}
		_, _ = io.WriteString(conn, event)
	}
	s.rec.add("%s ends its answer to %s after event %d", s.id, id, s.events)
}
