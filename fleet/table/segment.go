package table

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSegmentBytes is the size above which a segment is split, in bytes.
const maxSegmentBytes = 8 << 10

// hashBits is the number of bits in the hash of a row.
const hashBits = 64

// Errors of Open and OpenIncremental for the segments of a manifest.
var (
	ErrMissingSegment = errors.New("missing segment")
	ErrCorruptSegment = errors.New("corrupt segment")
)

// Split returns the stored form of s under the given version.
//
// Rows are assigned to segments by the leading bits of a hash of kind and name.
// A segment above 8 KiB is split at the next bit, so that a change of one row
// affects one segment, or three if a segment is split or two are merged. Segments
// are canonical CSV and are named by a hash of their content. Split returns an error
// if the table is invalid.
func Split(s *Snapshot, version uint64) (manifest []byte, segments map[string][]byte, err error) {
	if err := checkUnits(s); err != nil {
		return nil, nil, err
	}
	segments = map[string][]byte{}
	if err := splitRows(hashRows(Rows(s)), 0, segments); err != nil {
		return nil, nil, err
	}
	m := Manifest{Format: manifestFormat, Version: version}
	m.Segments = slices.Sorted(maps.Keys(segments))
	m.Digest = contentDigest(m.Segments)
	manifest, err = m.Bytes()
	if err != nil {
		return nil, nil, err
	}
	stored, err := Open(manifest, segments)
	if err != nil {
		return nil, nil, fmt.Errorf("split: %w", err)
	}
	if !Equal(stored, s) {
		return nil, nil, errors.New("split: the snapshot has values that the table cannot hold")
	}
	return manifest, segments, nil
}

// hashedRow is a row together with the hash of its kind and name.
type hashedRow struct {
	hash uint64
	row  Row
}

func hashRows(rows []Row) []hashedRow {
	out := make([]hashedRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, hashedRow{xxhash.Sum64String(string(r.Kind) + "\x00" + r.Name), r})
	}
	return out
}

// splitRows writes rows whose hashes have the same first depth bits to out. It splits
// them only if they exceed the size of a segment.
func splitRows(rows []hashedRow, depth int, out map[string][]byte) error {
	if len(rows) == 0 {
		return nil
	}
	segment, err := encodeSegment(rows)
	if err != nil {
		return err
	}
	if len(segment) <= maxSegmentBytes || len(rows) == 1 || depth == hashBits {
		out[SegmentName(segment)] = segment
		return nil
	}
	var low, high []hashedRow
	for _, r := range rows {
		if r.hash>>(hashBits-1-depth)&1 == 0 {
			low = append(low, r)
		} else {
			high = append(high, r)
		}
	}
	if err := splitRows(low, depth+1, out); err != nil {
		return err
	}
	return splitRows(high, depth+1, out)
}

func encodeSegment(rows []hashedRow) ([]byte, error) {
	plain := make([]Row, 0, len(rows))
	for _, r := range rows {
		plain = append(plain, r.row)
	}
	var b bytes.Buffer
	if err := writeRows(&b, plain); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Open returns the snapshot of a manifest. It ignores segments that the manifest
// does not list. The error wraps ErrManifest, ErrMissingSegment or ErrCorruptSegment
// or, for an invalid table, is of type Errors with segment names as file names.
func Open(manifest []byte, segments map[string][]byte) (*Snapshot, error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	p := newParser()
	for _, name := range m.Segments {
		if err := checkSegment(m, name, segments); err != nil {
			return nil, err
		}
		if err := p.read(bytes.NewReader(segments[name]), name); err != nil {
			return nil, err
		}
	}
	s, err := p.result("manifest")
	if err != nil {
		return nil, err
	}
	s.Version = m.Version
	return s, nil
}
