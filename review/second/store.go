package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it: kinds of
// objects, conditional writes, lists and watches. Its answers are linearizable, and it keeps its
// whole history.
type Store struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: 1, revision: 1, objects: make(map[string]map[string]*object), changed: make(chan struct{})}
}

const objectsPath = "/ragwortshunt/objects/"

// listen serves the store on a free loopback port and returns its address.
func (s *Store) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("the store can't listen: %v", err)
	}
	go http.Serve(l, s)
	return l.Addr().String()
}

// Put writes the spec of an object, as the operator and the runners do.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		unable("encode %s/%s: %v", kind, name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, func(o *object) { o.Spec = data })
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.record(kind, *o, true)
	}
}

func (s *Store) put(kind, name string, change func(o *object)) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o = &object{Metadata: metadata{Name: name, Created: s.revision + 1, Finalizers: []string{}}}
		s.objects[kind][name] = o
	}
	change(o)
	o.Metadata.Revision = s.revision + 1
	s.record(kind, *o, false)
	return *o
}

func (s *Store) record(kind string, o object, deleted bool) {
	s.revision++
	s.history = append(s.history, event{kind: kind, revision: s.revision, Deleted: deleted, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		s.Delete(kind, name)
		s.answer(w, http.StatusOK, struct{}{})
	default:
		s.write(w, r, kind, name, isStatus)
	}
}

func (s *Store) answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, *o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	s.answer(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "store_revision": s.revision})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		s.answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.answer(w, http.StatusOK, o)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		if len(events) > 0 || ended {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": s.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	data, err := io.ReadAll(r.Body)
	var in object
	if err != nil || json.Unmarshal(data, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = in.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		s.answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !exists:
		s.answer(w, http.StatusNotFound, struct{}{})
	case isStatus:
		s.answer(w, http.StatusOK, s.put(kind, name, func(o *object) { o.Status = in.Status }))
	default:
		s.answer(w, http.StatusOK, s.put(kind, name, func(o *object) { o.Spec = in.Spec }))
	}
}
