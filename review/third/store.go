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

// store is a stand-in of the platform's metadata store: kinds of objects, conditional updates
// and watches, as the pages tell them.
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
	// answerTime is the store's time for an answer in a small deployment.
	answerTime = 4 * time.Millisecond
	pageItems  = 500
)

func newStore() *store {
	return &store{revision: 500, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object as an operator or a runner does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(kind, name, func(o *object) { o.Spec = data })
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.note(change{kind: kind, Object: o, Deleted: true})
}

func (s *store) replace(kind, name string, edit func(*object)) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o, ok := s.kinds[kind][name]
	before := string(o.Spec) + "|" + string(o.Status)
	edit(&o)
	if ok && string(o.Spec)+"|"+string(o.Status) == before {
		return o // nothing has changed
	}
	if !ok {
		o.Metadata = metadata{Name: name, Created: s.revision + 1, Finalizers: []string{}}
	}
	o.Metadata.Revision = s.revision + 1
	s.kinds[kind][name] = o
	s.note(change{kind: kind, Object: o})
	return o
}

func (s *store) note(c change) {
	s.revision++
	c.revision = s.revision
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	w.Header().Set("Store-Era", "1")
	rest, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(rest, "/")
	name := ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name != "":
		s.serveObject(w, parts[0], name)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.serveWatch(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.serveList(w, r, parts[0])
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, parts[0], name, len(parts) > 2 && parts[2] == "status")
	case r.Method == http.MethodDelete:
		s.remove(parts[0], name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) serveObject(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := make([]object, 0, len(names))
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.kinds[kind][name])
	}
	body := map[string]any{"items": items, "truncated": len(names) > pageItems, "store_revision": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, revision, changed := s.since(kind, since), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []change{}, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(kind string, revision uint64) []change {
	events := []change{}
	for i := len(s.log) - 1; i >= 0 && s.log[i].revision > revision; i-- {
		if s.log[i].kind == kind {
			events = append(events, s.log[i])
		}
	}
	slices.Reverse(events)
	return events
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	data, err := io.ReadAll(r.Body)
	var o object
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists,
		exists && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, s.replace(kind, name, func(to *object) {
		if isStatus {
			to.Status = o.Status
			return
		}
		to.Spec, to.Metadata.Finalizers = o.Spec, o.Metadata.Finalizers
	}))
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
