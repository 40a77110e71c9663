package table

import (
	"bytes"
	"fmt"
	"maps"

	"ragwortshunt.example/fleet/id"
)

// OpenIncremental returns the same result as Open, but decodes only the segments in which
// the manifest differs from an earlier one. The snapshot prev must be that of
// prevManifest; nil means that there is no earlier snapshot. The argument segments
// should hold the segments of both manifests. If a retired segment is missing,
// OpenIncremental decodes the whole table.
//
// OpenIncremental checks the presence and the content of every segment as Open does. It
// falls back to Open for changes that other rows depend on (pools, routes, removed
// accounts) and for invalid tables, so that both functions return the same errors.
func OpenIncremental(prev *Snapshot, prevManifest, manifest []byte, segments map[string][]byte) (*Snapshot, error) {
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
	retired, retiredOK := readSegments(difference(old.Segments, m.Segments), segments)
	added, addedOK := readSegments(difference(m.Segments, old.Segments), segments)
	if !retiredOK || !addedOK {
		return Open(manifest, segments)
	}
	u := update{prev: prev, retired: retired, added: added}
	if !u.appliesIncrementally() {
		return Open(manifest, segments)
	}
	out := u.apply()
	out.Version = m.Version
	return out, nil
}

// checkSegment returns an error if a segment is missing or its content does not match
// its name.
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

// readSegments decodes the rows of the named segments. It reports false if a segment
// is missing or corrupt or has an invalid row.
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

// update holds the rows of the segments that differ between a snapshot and its
// successor. A row that does not change may occur in both retired and added.
type update struct {
	prev           *Snapshot
	retired, added *parser
}

// appliesIncrementally reports whether the update is valid and cannot invalidate rows
// outside of it.
func (u update) appliesIncrementally() bool {
	return u.keepsReferencedRows() && u.addedNamesAreFree() && u.referencesExist() && u.addedAddressesAreFree()
}

// keepsReferencedRows reports whether the update changes no pools or routes and removes
// no account.
func (u update) keepsReferencedRows() bool {
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

// addedNamesAreFree reports whether no added row has the name of a remaining row.
func (u update) addedNamesAreFree() bool {
	for name := range u.added.rows {
		if _, retired := u.retired.rows[name]; !retired && u.prev.has(name) {
			return false
		}
	}
	return true
}

// referencesExist reports whether all rows that added rows refer to exist.
func (u update) referencesExist() bool {
	for _, ref := range u.added.refs {
		if _, ok := u.added.rows[ref.to]; !ok && !u.prev.has(ref.to) {
			return false
		}
	}
	return true
}

// addedAddressesAreFree reports whether no added endpoint has the address of a
// remaining endpoint.
func (u update) addedAddressesAreFree() bool {
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

// apply returns the new snapshot. It shares unchanged maps with the previous one.
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

// has reports whether the snapshot contains the named row.
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
