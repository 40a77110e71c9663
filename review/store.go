package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's object store: objects by kind and name, conditional writes, lists
// and watches. It keeps the whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	log      []change
	changed  chan struct{} // closed and replaced at each change
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

const (
	objectsPath = "/ragwortshunt/objects/"
	storeDelay  = 4 * time.Millisecond // of each answer
)

func newStore() *store {
	return &store{revision: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object unconditionally.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if string(o.Spec) == string(data) {
		return
	}
	o.Spec = data
	s.replace(kind, name, o)
}

// remove deletes an object if it exists.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.record(change{kind: kind, Object: o, Deleted: true})
}

// replace stores an object under the next revision. The caller holds the lock.
func (s *store) replace(kind, name string, o object) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o.Metadata.Name = name
	o.Metadata.Revision = s.revision + 1
	if o.Metadata.Created == 0 {
		o.Metadata.Created = o.Metadata.Revision
	}
	s.kinds[kind][name] = o
	s.record(change{kind: kind, Object: o})
	return o
}

func (s *store) record(c change) {
	s.revision++
	c.revision = s.revision
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r.Method, kind, name, isStatus, body)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		items := []object{}
		for _, o := range s.kinds[kind] {
			items = append(items, o)
		}
		slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
		reply(w, map[string]any{"items": items, "truncated": false, "store_revision": s.revision})
		return
	}
	o, ok := s.kinds[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, o)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []change{}
		s.mu.Lock()
		for _, c := range s.log {
			if c.kind == kind && c.revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := len(events) > 0
		if !ended {
			select {
			case <-changed:
			case <-timeout:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if ended {
			reply(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, method, kind, name string, isStatus bool, body []byte) {
	var in object
	if json.Unmarshal(body, &in) != nil && method != http.MethodDelete {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && exists, exists && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		reply(w, old)
		return
	case method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.record(change{kind: kind, Object: old, Deleted: true})
		return
	}
	next := old
	if isStatus {
		next.Status = in.Status
	} else {
		next.Spec = in.Spec
		next.Metadata.Finalizers = in.Metadata.Finalizers
	}
	reply(w, s.replace(kind, name, next))
}

func reply(w io.Writer, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(data)
}
