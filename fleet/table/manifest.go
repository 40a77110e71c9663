package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// manifestFormat is the version of the manifest format.
const manifestFormat = 1

// Manifest lists the segments of one version of the table. Writing its object
// commits a change.
type Manifest struct {
	Format   int       `json:"format"`
	Version  uint64    `json:"version"`
	Digest   string    `json:"digest"` // digest of the segment names
	Segments []string  `json:"segments"`
	History  []History `json:"history,omitempty"` // previous versions, newest first
}

// History describes how a previous version differs from its successor.
type History struct {
	Version uint64   `json:"version"`
	Digest  string   `json:"digest"`
	Retired []string `json:"retired"` // segments that the successor no longer has
	Added   []string `json:"added"`   // segments that only the successor has
}

// ErrManifest reports bytes that are not a manifest in a supported format.
var ErrManifest = errors.New("malformed manifest")

// ParseManifest decodes the stored form of a manifest. Its error wraps ErrManifest.
func ParseManifest(manifest []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(manifest, &m); err != nil {
		return Manifest{}, fmt.Errorf("%w: %w", ErrManifest, err)
	}
	if m.Format != manifestFormat {
		return Manifest{}, fmt.Errorf("%w: format %d, want %d", ErrManifest, m.Format, manifestFormat)
	}
	if m.Version == 0 {
		return Manifest{}, fmt.Errorf("%w: no version", ErrManifest)
	}
	if len(m.Segments) == 0 {
		return Manifest{}, fmt.Errorf("%w: no segments", ErrManifest)
	}
	for i, name := range m.Segments {
		if !validSegmentName(name) {
			return Manifest{}, fmt.Errorf("%w: segment %d has an invalid name", ErrManifest, i)
		}
		if i > 0 && name <= m.Segments[i-1] {
			return Manifest{}, fmt.Errorf("%w: segment names are not sorted", ErrManifest)
		}
	}
	if m.Digest != contentDigest(m.Segments) {
		return Manifest{}, fmt.Errorf("%w: the digest does not match the segments", ErrManifest)
	}
	return m, nil
}

// Bytes returns the stored form of m.
func (m Manifest) Bytes() ([]byte, error) {
	out, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode the manifest: %w", err)
	}
	return out, nil
}

// WithHistory returns m with previous and the history of previous as its history, limited
// to the given number of versions.
func (m Manifest) WithHistory(previous Manifest, versions int) Manifest {
	last := History{
		Version: previous.Version,
		Digest:  previous.Digest,
		Retired: difference(previous.Segments, m.Segments),
		Added:   difference(m.Segments, previous.Segments),
	}
	m.History = append([]History{last}, previous.History...)
	m.History = m.History[:min(len(m.History), versions)]
	return m
}

// Previous returns the manifest of a version in the history of m. The result has no
// history of its own. Previous reports false if the version is not in the history or
// the history is inconsistent.
func (m Manifest) Previous(version uint64) (Manifest, bool) {
	segments := m.Segments
	for _, h := range m.History {
		segments = append(difference(segments, h.Added), h.Retired...)
		slices.Sort(segments)
		if h.Version != version {
			continue
		}
		out := Manifest{Format: m.Format, Version: h.Version, Digest: h.Digest, Segments: segments}
		return out, contentDigest(segments) == h.Digest
	}
	return Manifest{}, false
}

// difference returns the names that are not in other, in their original order.
func difference(names, other []string) []string {
	drop := make(map[string]bool, len(other))
	for _, name := range other {
		drop[name] = true
	}
	var out []string
	for _, name := range names {
		if !drop[name] {
			out = append(out, name)
		}
	}
	return out
}

// ReferencedSegments returns the set of segments that m or a version in its history
// refers to.
func (m Manifest) ReferencedSegments() map[string]bool {
	out := map[string]bool{}
	for _, name := range m.Segments {
		out[name] = true
	}
	for _, h := range m.History {
		for _, name := range h.Retired {
			out[name] = true
		}
	}
	return out
}

// Contains reports whether other is the same version as m or in the history of m.
func (m Manifest) Contains(other Manifest) bool {
	if m.Version == other.Version && m.Digest == other.Digest {
		return true
	}
	return slices.ContainsFunc(m.History, func(h History) bool {
		return h.Version == other.Version && h.Digest == other.Digest
	})
}

// ManifestVersion returns the version of the table that a manifest describes.
func ManifestVersion(manifest []byte) (uint64, error) {
	m, err := ParseManifest(manifest)
	return m.Version, err
}

// Missing returns the names of the segments of a manifest that are not in have, sorted.
func Missing(manifest []byte, have map[string]bool) ([]string, error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, name := range m.Segments {
		if !have[name] {
			out = append(out, name)
		}
	}
	return out, nil
}

// contentDigest returns a digest of the content of a table. It hashes the names of the
// segments only: equal rows yield equal segments, and equal segments have equal names.
func contentDigest(names []string) string {
	h := sha256.New()
	for _, name := range names {
		h.Write([]byte(name))
		h.Write([]byte{'\n'})
	}
	return hex.EncodeToString(h.Sum(nil)[:segmentNameBytes])
}

// segmentNameBytes is the length of the SHA-256 prefix that names a segment, in bytes.
const segmentNameBytes = 16

// SegmentName returns the name of a segment with the given content.
func SegmentName(segment []byte) string {
	sum := sha256.Sum256(segment)
	return hex.EncodeToString(sum[:segmentNameBytes])
}

func validSegmentName(name string) bool {
	b, err := hex.DecodeString(name)
	return err == nil && len(b) == segmentNameBytes && bytes.Equal([]byte(name), bytes.ToLower([]byte(name)))
}
