// Package inflight keeps the bodies of running requests, which the decision
// core does not see.
//
// The caller shell adds an item when a request arrives and removes it when the
// request has ended. The endpoint shell reads prompts and calls from it and
// leaves the replies of services in it.
package inflight

import (
	"net/http"
	"strings"
	"sync"

	"ragwortshunt.example/fleet/id"
)

// Call is a caller's call of a plain service, without its key.
type Call struct {
	Method string
	Path   string // path and query below the route
	Header http.Header
	Body   []byte
}

// Reply is the reply of a plain service.
type Reply struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Item is the body of one request.
type Item struct {
	Prompt string // model requests
	Call   *Call  // service calls

	mu     sync.Mutex
	output strings.Builder
	reply  *Reply
}

// AddOutput appends delivered tokens.
func (i *Item) AddOutput(tokens []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, t := range tokens {
		i.output.WriteString(t)
	}
}

// Output returns the text delivered so far.
func (i *Item) Output() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.output.String()
}

// SetReply stores the reply of a service.
func (i *Item) SetReply(r *Reply) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reply = r
}

// Reply returns the reply of a service, or nil.
func (i *Item) Reply() *Reply {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reply
}

// Store maps request IDs to items.
type Store struct {
	mu    sync.RWMutex
	items map[id.Request]*Item
}

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[id.Request]*Item)}
}

// Add stores the item of a request.
func (s *Store) Add(req id.Request, item *Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items[req] = item
}

// Get returns the item of a request.
func (s *Store) Get(req id.Request) (*Item, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	item, ok := s.items[req]
	return item, ok
}

// Remove forgets a request.
func (s *Store) Remove(req id.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, req)
}

// Len returns the number of running requests.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.items)
}
