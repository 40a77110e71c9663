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

// keptVersions is the number of previous table versions whose segments are kept.
// Hosts may still be fetching them, and Apply needs them to compare conflicting
// changes.
const keptVersions = 5

// maxSegmentWrites bounds the attempts to write a segment that other operators
// write at the same time.
const maxSegmentWrites = 5

// RacedError reports that another operator changed the table concurrently, so
// that the change was not applied.
type RacedError struct {
	BaseVersion     uint64          `json:"base-version"` // version that the change is based on
	CurrentVersion  uint64          `json:"version"`      // version in force
	ConflictingRows []table.RowName `json:"both"`         // rows changed by both operators
	OtherChanges    []table.Change  `json:"theirs"`       // all changes of the other operator
	Comparable      bool            `json:"comparable"`   // false if one of the versions cannot be read; both lists are then empty
}

// Error names the versions and the rows that both operators changed.
func (e *RacedError) Error() string {
	prefix := fmt.Sprintf("version %d is in force, the change builds on version %d: ", e.CurrentVersion, e.BaseVersion)
	if !e.Comparable {
		return prefix + "one of them cannot be read, so rows cannot be compared"
	}
	if len(e.ConflictingRows) == 0 {
		return prefix + "no row was changed by both sides"
	}
	names := make([]string, 0, len(e.ConflictingRows))
	for _, r := range e.ConflictingRows {
		names = append(names, fmt.Sprintf("%s %q", r.Kind, r.Name))
	}
	return prefix + "changed by both sides: " + strings.Join(names, ", ")
}

// ErrUnknownOutcome means that the change may or may not be in force. The error
// also wraps ErrNotReachable or ErrUnexpectedReply.
var ErrUnknownOutcome = errors.New("the change may or may not be in force")

// Result describes what Apply did.
type Result struct {
	Version    uint64         `json:"version"` // version in force
	Changes    []table.Change `json:"changes"` // empty if the table was already in force
	Written    int            `json:"segments-written"`
	Removed    int            `json:"segments-removed"`
	NotRemoved int            `json:"segments-left"` // unused segments whose removal failed
}

// Request describes a change of the table.
type Request struct {
	Snapshot *table.Snapshot
	// BaseVersion is the version that the change is based on; 0 means the stored
	// version.
	BaseVersion uint64
	// ReplaceBroken permits replacing a stored table that cannot be read.
	ReplaceBroken bool
}

// Apply replaces the stored table with the snapshot. It writes the new segments and
// then the manifest; writing the manifest is the commit point. The error can be a
// *RacedError, ErrBrokenTable, ErrUnknownOutcome or an error of the client.
func Apply(ctx context.Context, c *Client, r Request) (Result, error) {
	stored, err := load(ctx, c)
	if err != nil && (!errors.Is(err, ErrBrokenTable) || !r.ReplaceBroken) {
		return Result{}, err
	}
	if r.BaseVersion != 0 && r.BaseVersion != stored.Version() {
		return Result{}, compareWithHistory(ctx, c, r, stored)
	}
	if stored.Snapshot != nil && table.Equal(stored.Snapshot, r.Snapshot) {
		return Result{Version: stored.Version(), Changes: []table.Change{}}, nil
	}
	result := Result{Changes: table.Diff(stored.Snapshot, r.Snapshot)}
	enc, err := encodeTable(stored, r.Snapshot, max(stored.Version(), stored.object.Version)+1)
	if err != nil {
		return Result{}, err
	}
	result.Written, err = writeSegments(ctx, c, stored, enc.segments)
	if err != nil {
		return Result{}, err
	}
	result.Version, err = commit(ctx, c, r, stored, enc)
	if err != nil {
		return Result{}, err
	}
	result.Removed, result.NotRemoved = removeSegments(ctx, c, stored, enc.manifest)
	return result, nil
}

// encodedTable is a table in the form in which the platform stores it.
type encodedTable struct {
	manifest table.Manifest
	segments map[string][]byte
}

func encodeTable(stored Stored, s *table.Snapshot, version uint64) (encodedTable, error) {
	raw, segments, err := table.Split(s, version)
	if err != nil {
		return encodedTable{}, err
	}
	m, err := table.ParseManifest(raw)
	if err != nil {
		return encodedTable{}, err
	}
	if stored.Version() > 0 {
		m = m.WithHistory(stored.manifest, keptVersions)
	}
	return encodedTable{m, segments}, nil
}

// writeSegments writes every segment that the stored manifest does not reference,
// even if the segment exists: the write increases its version, so that an operator
// who committed earlier does not remove it as unused. It returns the number of
// segments written.
func writeSegments(ctx context.Context, c *Client, stored Stored, segments map[string][]byte) (int, error) {
	written := 0
	for _, name := range slices.Sorted(maps.Keys(segments)) {
		used := slices.Contains(stored.manifest.Segments, name) && stored.segments.values[name] != nil
		if used && table.SegmentName(stored.segments.values[name]) == name {
			continue
		}
		if err := putSegment(ctx, c, name, stored.segments.versions[name], segments[name]); err != nil {
			return written, err
		}
		written++
	}
	return written, nil
}

func putSegment(ctx context.Context, c *Client, name string, version uint64, value []byte) error {
	var err error
	for range maxSegmentWrites {
		_, err = c.Put(ctx, object.KindSegment, name, version, value)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		version = conflict.Current.Version
	}
	return err
}

// commit writes the manifest and returns the table version in force.
func commit(ctx context.Context, c *Client, r Request, stored Stored, enc encodedTable) (uint64, error) {
	objectVersion, err := putManifest(ctx, c, stored.object.Version, enc.manifest)
	if err != nil {
		return enc.manifest.Version, resolveCommit(ctx, c, r, stored, enc, err)
	}
	if stored.object.Version > 0 || objectVersion <= enc.manifest.Version {
		return enc.manifest.Version, nil
	}
	// A manifest existed earlier and was deleted. Object versions keep increasing
	// across deletions, and a table version never exceeds the object version. Hosts
	// install only higher table versions, so the new table needs a version above
	// all earlier ones.
	earlier := enc.manifest
	enc.manifest.Version = objectVersion + 1
	enc.manifest = enc.manifest.WithHistory(earlier, keptVersions)
	stored.object.Version = objectVersion
	if _, err := putManifest(ctx, c, stored.object.Version, enc.manifest); err != nil {
		return enc.manifest.Version, resolveCommit(ctx, c, r, stored, enc, err)
	}
	return enc.manifest.Version, nil
}

func putManifest(ctx context.Context, c *Client, ifVersion uint64, m table.Manifest) (uint64, error) {
	raw, err := m.Bytes()
	if err != nil {
		return 0, err
	}
	if len(raw) > object.MaxValueBytes {
		return 0, fmt.Errorf("the manifest has %d bytes, more than %d", len(raw), object.MaxValueBytes)
	}
	return c.Put(ctx, object.KindManifest, object.ManifestName, ifVersion, raw)
}

// resolveCommit determines whether a failed write of the manifest took effect, by
// comparing the version and the content digest of the stored manifest. It returns
// nil if the write took effect.
func resolveCommit(ctx context.Context, c *Client, r Request, stored Stored, enc encodedTable, cause error) error {
	var conflict *ConflictError
	if !errors.As(cause, &conflict) && !errors.Is(cause, ErrUnexpectedReply) && !errors.Is(cause, ErrNotReachable) {
		return cause
	}
	current, err := load(ctx, c)
	if err != nil && !errors.Is(err, ErrBrokenTable) {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, cause)
	}
	if current.manifest.Contains(enc.manifest) {
		return nil
	}
	if conflict == nil && current.object.Version == stored.object.Version {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, cause)
	}
	if err != nil {
		return &RacedError{BaseVersion: stored.Version(), CurrentVersion: current.Version()}
	}
	return newRacedError(stored.Snapshot, current, r.Snapshot, stored.Version())
}

// newRacedError compares the changes that both operators made to the base.
func newRacedError(base *table.Snapshot, current Stored, proposed *table.Snapshot, version uint64) *RacedError {
	out := &RacedError{BaseVersion: version, CurrentVersion: current.Version(), ConflictingRows: []table.RowName{}, Comparable: true}
	changed := map[table.RowName]bool{}
	for _, c := range table.Diff(base, proposed) {
		changed[table.RowName{Kind: c.Kind, Name: c.Name}] = true
	}
	out.OtherChanges = table.Diff(base, current.Snapshot)
	for _, c := range out.OtherChanges {
		name := table.RowName{Kind: c.Kind, Name: c.Name}
		if changed[name] {
			out.ConflictingRows = append(out.ConflictingRows, name)
		}
	}
	return out
}

// compareWithHistory compares the changes that both operators made to a base
// version that is no longer in force. The rows are comparable only while the
// platform still keeps the segments of the base.
func compareWithHistory(ctx context.Context, c *Client, r Request, current Stored) error {
	incomparable := &RacedError{BaseVersion: r.BaseVersion, CurrentVersion: current.Version()}
	m, ok := current.manifest.Previous(r.BaseVersion)
	if !ok {
		return incomparable
	}
	base, err := openManifest(ctx, c, m, current.segments)
	if errors.Is(err, ErrBrokenTable) {
		return incomparable
	}
	if err != nil {
		return err
	}
	return newRacedError(base, current, r.Snapshot, r.BaseVersion)
}

// removeSegments removes segments that neither the manifest nor its history
// references, and counts the failed removals. It removes them at the versions
// listed before the commit: a segment that is in use again has been rewritten
// since then, so its version is higher and the removal has no effect.
func removeSegments(ctx context.Context, c *Client, stored Stored, m table.Manifest) (removed, notRemoved int) {
	uses := m.ReferencedSegments()
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
			notRemoved++
		}
	}
	return removed, notRemoved
}
