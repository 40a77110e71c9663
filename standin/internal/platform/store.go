package platform

import (
	"cmp"
	"slices"
	"sync"

	"ragwortshunt.example/fleet/object"
)

type objectKey struct{ kind, name string }

// entry holds one object. A deleted object keeps its entry, so that its version
// continues to grow if it is created again.
type entry struct {
	version uint64
	value   []byte
	deleted bool
}

// store holds the objects in memory. It is safe for concurrent use.
type store struct {
	mu      sync.Mutex
	entries map[objectKey]entry
	changed chan struct{}
}

func newStore() *store {
	return &store{entries: map[objectKey]entry{}, changed: make(chan struct{})}
}

// changes returns a channel that is closed when an object is next written or
// deleted.
func (s *store) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// current returns the object with key k. Its version is 0 if it does not exist.
// The caller holds mu.
func (s *store) current(k objectKey) object.Object {
	o := object.Object{Kind: k.kind, Name: k.name}
	if e, ok := s.entries[k]; ok && !e.deleted {
		o.Version, o.Value = e.version, e.value
	}
	return o
}

func (s *store) get(k objectKey) (object.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.current(k)
	return o, o.Version != 0
}

func (s *store) list(kind string) []object.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []object.Object{}
	for k, e := range s.entries {
		if k.kind == kind && !e.deleted {
			out = append(out, s.current(k))
		}
	}
	slices.SortFunc(out, func(a, b object.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// put stores value if the object has the given version; 0 means that it must not
// exist. Otherwise it returns the current object and false.
func (s *store) put(k objectKey, value []byte, version uint64) (object.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.current(k); o.Version != version {
		return o, false
	}
	s.entries[k] = entry{version: s.entries[k].version + 1, value: value}
	s.notify()
	return s.current(k), true
}

// remove deletes the object if it has the given version. Otherwise it returns
// the current object and false.
func (s *store) remove(k objectKey, version uint64) (object.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.current(k)
	if o.Version != version {
		return o, false
	}
	if version != 0 {
		s.entries[k] = entry{version: version + 1, deleted: true}
		s.notify()
	}
	return o, true
}

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
