package platform

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
)

// keptVersions is the number of previous versions whose segments stay, for hosts
// that still fetch them and for the comparison of conflicting changes.
const keptVersions = 5

// maxTouches bounds the attempts to write a segment that others write too.
const maxTouches = 5

// RacedError tells that another operator changed the table.
type RacedError struct {
	Base    uint64          `json:"base-version"` // version that the change builds on
	Current uint64          `json:"version"`      // version in force
	Both    []table.RowName `json:"both"`         // rows that both sides changed
	Theirs  []table.Change  `json:"theirs"`       // all rows that the other side changed
	Known   bool            `json:"comparable"`   // false if one of the versions cannot be read: both lists are empty
}

// Error names the versions and the rows that both sides changed.
func (e *RacedError) Error() string {
	start := fmt.Sprintf("version %d is in force, the change builds on version %d: ", e.Current, e.Base)
	if !e.Known {
		return start + "one of them cannot be read, so rows cannot be compared"
	}
	if len(e.Both) == 0 {
		return start + "no row was changed by both sides"
	}
	names := make([]string, 0, len(e.Both))
	for _, r := range e.Both {
		names = append(names, fmt.Sprintf("%s %q", r.Kind, r.Name))
	}
	return start + "changed by both sides: " + strings.Join(names, ", ")
}

// ErrUnknownOutcome tells that the change may or may not be in force. It comes
// together with ErrNotReachable or ErrReply.
var ErrUnknownOutcome = errors.New("the change may or may not be in force")

// Result tells what Apply did.
type Result struct {
	Version uint64         `json:"version"` // version in force
	Changes []table.Change `json:"changes"` // empty if the table was in force already
	Written int            `json:"segments-written"`
	Removed int            `json:"segments-removed"`
	Left    int            `json:"segments-left"` // removable ones that could not be removed
}

// Request describes a change of the table.
type Request struct {
	Snapshot *table.Snapshot
	// Base is the version that the change builds on; 0 stands for the stored one.
	Base uint64
	// ReplaceBroken allows to replace a stored table that cannot be read.
	ReplaceBroken bool
}

// Apply makes the snapshot the table in force. It writes the new segments and
// then the manifest, which is the commit point. The error can be a *RacedError,
// ErrBrokenTable, ErrUnknownOutcome or an error of the client.
func Apply(ctx context.Context, c *Client, r Request) (Result, error) {
	stored, err := load(ctx, c)
	if err != nil && (!errors.Is(err, ErrBrokenTable) || !r.ReplaceBroken) {
		return Result{}, err
	}
	if r.Base != 0 && r.Base != stored.Version() {
		return Result{}, racedFromHistory(ctx, c, r, stored)
	}
	if stored.Snapshot != nil && table.Equal(stored.Snapshot, r.Snapshot) {
		return Result{Version: stored.Version(), Changes: []table.Change{}}, nil
	}
	result := Result{Changes: table.Diff(stored.Snapshot, r.Snapshot)}
	p, err := prepare(stored, r.Snapshot, max(stored.Version(), stored.object.Version)+1)
	if err != nil {
		return Result{}, err
	}
	result.Written, err = writeSegments(ctx, c, stored, p.segments)
	if err != nil {
		return Result{}, err
	}
	result.Version, err = commit(ctx, c, r, stored, p)
	if err != nil {
		return Result{}, err
	}
	result.Removed, result.Left = removeSegments(ctx, c, stored, p.manifest)
	return result, nil
}

// prepared is a table in its stored form.
type prepared struct {
	manifest table.Manifest
	segments map[string][]byte
}

func prepare(stored Stored, s *table.Snapshot, version uint64) (prepared, error) {
	raw, segments, err := table.Split(s, version)
	if err != nil {
		return prepared{}, err
	}
	m, err := table.ParseManifest(raw)
	if err != nil {
		return prepared{}, err
	}
	if stored.Version() > 0 {
		m = m.After(stored.manifest, keptVersions)
	}
	return prepared{m, segments}, nil
}

// writeSegments writes every segment that the stored manifest does not use, even
// if it exists: the write raises its version, which keeps an operator that
// committed before from removing it.
func writeSegments(ctx context.Context, c *Client, stored Stored, segments map[string][]byte) (int, error) {
	written := 0
	for _, name := range slices.Sorted(maps.Keys(segments)) {
		used := slices.Contains(stored.manifest.Segments, name) && stored.segments.values[name] != nil
		if used && table.SegmentName(stored.segments.values[name]) == name {
			continue
		}
		if err := touch(ctx, c, name, stored.segments.versions[name], segments[name]); err != nil {
			return written, err
		}
		written++
	}
	return written, nil
}

func touch(ctx context.Context, c *Client, name string, version uint64, value []byte) error {
	var err error
	for range maxTouches {
		_, err = c.Put(ctx, object.KindSegment, name, version, value)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		version = conflict.Current.Version
	}
	return err
}

// commit writes the manifest and returns the version in force.
func commit(ctx context.Context, c *Client, r Request, stored Stored, p prepared) (uint64, error) {
	written, err := putManifest(ctx, c, stored.object.Version, p.manifest)
	if err != nil {
		return p.manifest.Version, settle(ctx, c, r, stored, p, err)
	}
	if stored.object.Version > 0 || written <= p.manifest.Version {
		return p.manifest.Version, nil
	}
	// The manifest existed before and was deleted: object versions grow over
	// deletion, table versions are never above them. Hosts install only higher
	// table versions, so the table needs one above all that came before.
	first := p.manifest
	p.manifest.Version = written + 1
	p.manifest = p.manifest.After(first, keptVersions)
	stored.object.Version = written
	if _, err := putManifest(ctx, c, stored.object.Version, p.manifest); err != nil {
		return p.manifest.Version, settle(ctx, c, r, stored, p, err)
	}
	return p.manifest.Version, nil
}

func putManifest(ctx context.Context, c *Client, ifVersion uint64, m table.Manifest) (uint64, error) {
	raw, err := m.Bytes()
	if err != nil {
		return 0, err
	}
	if len(raw) > object.MaxValue {
		return 0, fmt.Errorf("the manifest has %d bytes, more than %d", len(raw), object.MaxValue)
	}
	return c.Put(ctx, object.KindManifest, object.ManifestName, ifVersion, raw)
}

// settle decides what a failed write of the manifest came to. The stored
// manifest tells by version and content digest whether the write took effect.
func settle(ctx context.Context, c *Client, r Request, stored Stored, p prepared, cause error) error {
	var conflict *ConflictError
	if !errors.As(cause, &conflict) && !errors.Is(cause, ErrReply) && !errors.Is(cause, ErrNotReachable) {
		return cause
	}
	now, err := load(ctx, c)
	if err != nil && !errors.Is(err, ErrBrokenTable) {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, cause)
	}
	if now.manifest.Contains(p.manifest) {
		return nil
	}
	if conflict == nil && now.object.Version == stored.object.Version {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, cause)
	}
	if err != nil {
		return &RacedError{Base: stored.Version(), Current: now.Version()}
	}
	return raced(stored.Snapshot, now, r.Snapshot, stored.Version())
}

// raced compares both sides' changes of a base.
func raced(base *table.Snapshot, now Stored, mine *table.Snapshot, version uint64) *RacedError {
	out := &RacedError{Base: version, Current: now.Version(), Both: []table.RowName{}, Known: true}
	changed := map[table.RowName]bool{}
	for _, c := range table.Diff(base, mine) {
		changed[table.RowName{Kind: c.Kind, Name: c.Name}] = true
	}
	out.Theirs = table.Diff(base, now.Snapshot)
	for _, c := range out.Theirs {
		name := table.RowName{Kind: c.Kind, Name: c.Name}
		if changed[name] {
			out.Both = append(out.Both, name)
		}
	}
	return out
}

// racedFromHistory compares both sides' changes of a base that is no longer in
// force, as long as the platform keeps its segments.
func racedFromHistory(ctx context.Context, c *Client, r Request, now Stored) error {
	unknown := &RacedError{Base: r.Base, Current: now.Version()}
	m, ok := now.manifest.Previous(r.Base)
	if !ok {
		return unknown
	}
	base, err := openManifest(ctx, c, m, now.segments)
	if errors.Is(err, ErrBrokenTable) {
		return unknown
	}
	if err != nil {
		return err
	}
	return raced(base, now, r.Snapshot, r.Base)
}

// removeSegments removes segments that neither the manifest nor its history
// uses, as far as that is possible. It knows their versions from a list that is
// older than the commit; a segment that someone needs again has been written
// since and has a higher version.
func removeSegments(ctx context.Context, c *Client, stored Stored, m table.Manifest) (removed, left int) {
	uses := m.Uses()
	for _, name := range slices.Sorted(maps.Keys(stored.segments.versions)) {
		if uses[name] {
			continue
		}
		err := c.Delete(ctx, object.KindSegment, name, stored.segments.versions[name])
		var conflict *ConflictError
		switch {
		case err == nil:
			removed++
		case !errors.As(err, &conflict):
			left++
		}
	}
	return removed, left
}
