// Package evacuation tracks the availability zones that the operator has evacuated. An
// endpoint of an evacuated zone gets no new requests.
//
// The platform's store has one entry for each evacuated zone. A zone is evacuated until its
// entry is deleted or can't be read any more. After a restore of the store from an older copy,
// entries of the last seconds may be missing; see RecordRestore.
//
// The functions are not safe for concurrent use.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
)

// Config holds the parameters of a State.
type Config struct {
	// RestoreHold is how long a zone stays evacuated that a restored store does not list. The
	// operator can write the entry again in this time.
	RestoreHold time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config { return Config{RestoreHold: 5 * time.Second} }

// Change is a new or a deleted entry of a zone.
type Change struct {
	Zone    id.Zone
	Removed bool
}

// State holds the evacuated zones that one host knows. New creates it.
type State struct {
	cfg       Config
	listed    bool
	zones     map[id.Zone]bool // the value is true if the store is known to list the zone
	holdUntil time.Time        // zones that the store does not list stay evacuated until then
}

// New returns a State that knows no list of zones yet.
func New(cfg Config) *State { return &State{cfg: cfg, zones: make(map[id.Zone]bool)} }

// IsKnown reports whether a complete list has been read. Until then a host must send no
// requests, because any zone may be evacuated.
func IsKnown(s *State) bool { return s.listed }

// Zones returns the evacuated zones, sorted.
func Zones(s *State) []id.Zone { return slices.Sorted(maps.Keys(s.zones)) }

// Replace replaces the zones by a complete list, and reports whether anything changed. After a
// restore, zones that the list lacks stay evacuated for Config.RestoreHold.
func Replace(s *State, now time.Time, zones []id.Zone) bool {
	changed := !s.listed
	s.listed = true
	for zone := range s.zones {
		s.zones[zone] = false
	}
	for _, zone := range zones {
		changed = s.add(zone) || changed
	}
	return Expire(s, now) || changed
}

// Apply applies changes of the store in their order, and reports whether anything changed.
func Apply(s *State, changes []Change) bool {
	changed := false
	for _, c := range changes {
		if c.Removed {
			changed = s.remove(c.Zone) || changed
			continue
		}
		changed = s.add(c.Zone) || changed
	}
	return changed
}

// RecordRestore records that the store has come back from an older copy, which may lack
// entries.
func RecordRestore(s *State, now time.Time) { s.holdUntil = now.Add(s.cfg.RestoreHold) }

// Expire removes the zones that the store does not list, once the time after a restore has
// passed. It reports whether anything changed.
func Expire(s *State, now time.Time) bool {
	if now.Before(s.holdUntil) {
		return false
	}
	changed := false
	for zone, listed := range s.zones {
		if !listed {
			changed = s.remove(zone) || changed
		}
	}
	return changed
}

func (s *State) add(zone id.Zone) bool {
	_, known := s.zones[zone]
	s.zones[zone] = true
	return !known
}

func (s *State) remove(zone id.Zone) bool {
	_, known := s.zones[zone]
	delete(s.zones, zone)
	return known
}
