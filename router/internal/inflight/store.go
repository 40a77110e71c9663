// Package inflight stores the content of requests in progress, which is not passed
// to the decision core.
//
// Package caller adds an item when a request arrives and removes it when the
// decision core has closed the request. Package endpoint reads prompts and service
// calls from the store and adds the replies of services.
package inflight

import (
	"net/http"
	"strings"
	"sync"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/platform/exchange"
)

// Call is a caller's call to a plain service. It does not contain the caller's key.
type Call struct {
	Method string
	Path   string // path and query below the route
	Header http.Header
	Body   []byte
}

// Reply is the reply of a plain service. Its JSON form is recorded with a claim.
type Reply struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Item holds the content of one request and its results so far. The exported fields
// must not change after Store.Add; the methods are safe for concurrent use.
type Item struct {
	Prompt string           // set for model requests
	Call   *Call            // set for service calls
	Memory *exchange.Memory // counts what endpoints send; nil means no limit

	mu     sync.Mutex
	output strings.Builder
	reply  *Reply
}

// AddOutput appends tokens that have been delivered to the caller.
func (i *Item) AddOutput(tokens []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, t := range tokens {
		i.output.WriteString(t)
	}
}

// Output returns the text that has been delivered so far.
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

// Reply returns the reply of a service, or nil if there is none yet.
func (i *Item) Reply() *Reply {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reply
}

// Store maps request IDs to items. It is safe for concurrent use.
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

// Get returns the item of a request and whether it exists.
func (s *Store) Get(req id.Request) (*Item, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	item, ok := s.items[req]
	return item, ok
}

// Remove removes the item of a request. Removing an absent item has no effect.
func (s *Store) Remove(req id.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, req)
}

// Len returns the number of stored items.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.items)
}
