package platform

import (
	"cmp"
	"slices"
	"sync"

	"ragwortshunt.example/fleet/object"
)

type reference struct{ kind, name string }

// entry is one object. A deleted object keeps its entry, so that versions grow
// over deletion.
type entry struct {
	version uint64
	value   []byte
	deleted bool
}

// store holds the objects.
type store struct {
	mu      sync.Mutex
	entries map[reference]entry
	changed chan struct{}
}

func newStore() *store {
	return &store{entries: map[reference]entry{}, changed: make(chan struct{})}
}

// changes returns a channel that is closed at the next write.
func (s *store) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// current returns the object at k, with version 0 if there is none. The caller
// holds mu.
func (s *store) current(k reference) object.Object {
	o := object.Object{Kind: k.kind, Name: k.name}
	if e, ok := s.entries[k]; ok && !e.deleted {
		o.Version, o.Value = e.version, e.value
	}
	return o
}

func (s *store) get(k reference) (object.Object, bool) {
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

// put stores value if the object has the given version. Otherwise it returns the
// current object and false.
func (s *store) put(k reference, value []byte, version uint64) (object.Object, bool) {
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
func (s *store) remove(k reference, version uint64) (object.Object, bool) {
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
