package platform

import (
	"context"
	"errors"
	"fmt"

	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
)

var (
	// ErrNoTable means that the platform stores no table.
	ErrNoTable = errors.New("the platform stores no table")
	// ErrBrokenTable means that the stored table cannot be read.
	ErrBrokenTable = errors.New("the stored table is broken")
)

// Stored is the table as the platform stores it.
type Stored struct {
	Snapshot *table.Snapshot // nil if there is no table
	manifest table.Manifest  // zero if there is no readable manifest
	object   object.Object   // of the manifest; version 0 if it does not exist
	segments segmentSet
}

// Version returns the version of the table, or 0 if there is none.
func (s Stored) Version() uint64 { return s.manifest.Version }

// segmentSet holds the versions of all stored segments, and the values that have
// been fetched, by name.
type segmentSet struct {
	versions map[string]uint64
	values   map[string][]byte
}

// Load returns the stored table. Its error can be ErrNoTable, ErrBrokenTable or
// an error of the client.
func Load(ctx context.Context, c *Client) (Stored, error) {
	s, err := load(ctx, c)
	if err == nil && s.Snapshot == nil {
		err = ErrNoTable
	}
	return s, err
}

// load reads the manifest, then the list of segments, then the segments. With
// ErrBrokenTable the result lacks the snapshot, and the manifest if that is the
// part that cannot be read.
func load(ctx context.Context, c *Client) (Stored, error) {
	for {
		s, err := loadOnce(ctx, c)
		if !errors.Is(err, ErrBrokenTable) {
			return s, err
		}
		// Another operator may have replaced the table and removed its segments
		// between the calls. In that case the manifest has another version now.
		latest, latestErr := c.Get(ctx, object.KindManifest, object.ManifestName)
		if latestErr != nil {
			return Stored{}, latestErr
		}
		if latest.Version == s.object.Version {
			return s, err
		}
	}
}

func loadOnce(ctx context.Context, c *Client) (Stored, error) {
	var s Stored
	var err error
	s.object, err = c.Get(ctx, object.KindManifest, object.ManifestName)
	if err != nil {
		return Stored{}, err
	}
	s.segments, err = listSegments(ctx, c)
	if err != nil {
		return Stored{}, err
	}
	if s.object.Version == 0 {
		return s, nil
	}
	s.manifest, err = table.ParseManifest(s.object.Value)
	if err != nil {
		return s, fmt.Errorf("%w: %w", ErrBrokenTable, err)
	}
	s.Snapshot, err = openManifest(ctx, c, s.manifest, s.segments)
	return s, err
}

func listSegments(ctx context.Context, c *Client) (segmentSet, error) {
	list, err := c.List(ctx, object.KindSegment)
	if err != nil {
		return segmentSet{}, err
	}
	out := segmentSet{versions: map[string]uint64{}, values: map[string][]byte{}}
	for _, o := range list {
		out.versions[o.Name] = o.Version
		if len(o.Value) > 0 {
			out.values[o.Name] = o.Value
		}
	}
	return out, nil
}

// openManifest fetches the segments whose values the list did not include, adds
// them to the set and opens the table.
func openManifest(ctx context.Context, c *Client, m table.Manifest, segments segmentSet) (*table.Snapshot, error) {
	for _, name := range m.Segments {
		if segments.values[name] != nil {
			continue
		}
		o, err := c.Get(ctx, object.KindSegment, name)
		if err != nil {
			return nil, err
		}
		if o.Version > 0 {
			segments.values[name] = o.Value
		}
	}
	raw, err := m.Bytes()
	if err != nil {
		return nil, err
	}
	s, err := table.Open(raw, segments.values)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBrokenTable, err)
	}
	return s, nil
}
