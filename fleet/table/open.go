package table

import (
	"bytes"
	"fmt"
	"maps"

	"ragwortshunt.example/fleet/id"
)

// OpenFrom returns what Open returns for a manifest, at the cost of the segments
// in which it differs from an earlier one. The snapshot prev must be that of the
// manifest prevManifest; nil stands for none. The segments of both manifests are
// expected; without those that were retired the whole table is decoded.
//
// The presence and the content of every segment are checked as by Open. Changes
// that other rows depend on (pools, routes, removed accounts) and all faults are
// left to Open, so that both give the same errors.
func OpenFrom(prev *Snapshot, prevManifest, manifest []byte, segments map[string][]byte) (*Snapshot, error) {
	if prev == nil {
		return Open(manifest, segments)
	}
	old, err := ParseManifest(prevManifest)
	if err != nil {
		return Open(manifest, segments)
	}
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	for _, name := range m.Segments {
		if err := checkSegment(m, name, segments); err != nil {
			return nil, err
		}
	}
	retired, okRetired := readSegments(without(old.Segments, m.Segments), segments)
	added, okAdded := readSegments(without(m.Segments, old.Segments), segments)
	if !okRetired || !okAdded {
		return Open(manifest, segments)
	}
	u := update{prev: prev, retired: retired, added: added}
	if !u.independent() {
		return Open(manifest, segments)
	}
	out := u.apply()
	out.Version = m.Version
	return out, nil
}

// checkSegment reports a segment that is missing or has another content.
func checkSegment(m Manifest, name string, segments map[string][]byte) error {
	segment, ok := segments[name]
	if !ok {
		return fmt.Errorf("%w %s of version %d", ErrMissingSegment, name, m.Version)
	}
	if SegmentName(segment) != name {
		return fmt.Errorf("%w %s of version %d", ErrCorruptSegment, name, m.Version)
	}
	return nil
}

// readSegments decodes the rows of some segments. It reports false if one is
// missing or has a fault within its rows.
func readSegments(names []string, segments map[string][]byte) (*parser, bool) {
	p := newParser()
	for _, name := range names {
		segment, ok := segments[name]
		if !ok || SegmentName(segment) != name {
			return nil, false
		}
		if err := p.read(bytes.NewReader(segment), name); err != nil {
			return nil, false
		}
	}
	return p, len(p.errs) == 0
}

// update leads from one snapshot to the next.
type update struct {
	prev           *Snapshot
	retired, added *parser
}

// independent reports whether the update is valid and no check across rows other
// than its own can turn out differently after it.
func (u update) independent() bool {
	return u.keepsTargets() && u.addsFreeNames() && u.refersToRows() && u.addsFreeAddresses()
}

// keepsTargets reports whether pools and routes are unchanged, and no account is
// removed.
func (u update) keepsTargets() bool {
	if !maps.Equal(u.retired.snap.Pools, u.added.snap.Pools) || !maps.Equal(u.retired.snap.Routes, u.added.snap.Routes) {
		return false
	}
	for name := range u.retired.snap.Accounts {
		if _, ok := u.added.snap.Accounts[name]; !ok {
			return false
		}
	}
	return true
}

// addsFreeNames reports whether no added row has the name of a row that stays.
func (u update) addsFreeNames() bool {
	for name := range u.added.rows {
		if _, retired := u.retired.rows[name]; !retired && u.prev.has(name) {
			return false
		}
	}
	return true
}

// refersToRows reports whether all rows that added rows mention exist.
func (u update) refersToRows() bool {
	for _, ref := range u.added.refs {
		if _, ok := u.added.rows[ref.to]; !ok && !u.prev.has(ref.to) {
			return false
		}
	}
	return true
}

// addsFreeAddresses reports whether no added endpoint has the address of an
// endpoint that stays.
func (u update) addsFreeAddresses() bool {
	if maps.Equal(u.retired.snap.Endpoints, u.added.snap.Endpoints) {
		return true
	}
	for name, e := range u.prev.Endpoints {
		if _, retired := u.retired.snap.Endpoints[name]; retired {
			continue
		}
		if _, ok := u.added.addresses[e.Address]; ok {
			return false
		}
	}
	return true
}

// apply returns the next snapshot. Maps without a change are shared.
func (u update) apply() *Snapshot {
	out := *u.prev
	if !maps.Equal(u.retired.snap.Accounts, u.added.snap.Accounts) {
		out.Accounts = maps.Clone(u.prev.Accounts)
		maps.Copy(out.Accounts, u.added.snap.Accounts)
	}
	if !maps.Equal(u.retired.snap.Endpoints, u.added.snap.Endpoints) {
		out.Endpoints = maps.Clone(u.prev.Endpoints)
		maps.DeleteFunc(out.Endpoints, func(name id.Endpoint, _ Endpoint) bool {
			_, ok := u.retired.snap.Endpoints[name]
			return ok
		})
		maps.Copy(out.Endpoints, u.added.snap.Endpoints)
	}
	if !maps.Equal(u.retired.snap.Keys, u.added.snap.Keys) {
		out.Keys = maps.Clone(u.prev.Keys)
		maps.DeleteFunc(out.Keys, func(name id.KeyID, _ Key) bool {
			_, ok := u.retired.snap.Keys[name]
			return ok
		})
		maps.Copy(out.Keys, u.added.snap.Keys)
	}
	return &out
}

// has reports whether a snapshot has a row.
func (s *Snapshot) has(name RowName) bool {
	var ok bool
	switch name.Kind {
	case KindAccount:
		_, ok = s.Accounts[id.Account(name.Name)]
	case KindPool:
		_, ok = s.Pools[id.Pool(name.Name)]
	case KindEndpoint:
		_, ok = s.Endpoints[id.Endpoint(name.Name)]
	case KindRoute:
		_, ok = s.Routes[id.Route(name.Name)]
	case KindKey:
		_, ok = s.Keys[id.KeyID(name.Name)]
	}
	return ok
}
