// Package registry keeps the endpoints that register themselves with the
// platform, and decides which of them may get work.
//
// An endpoint that leaves stays listed as leaving, and an endpoint whose entry is
// gone is dropped at once. The exception is an outage of the platform, in which
// entries lapse because nobody could renew them: entries that are missing after an
// outage are kept for Config.Grace, the time in which a live endpoint registers
// again.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// Config holds the times of a registry.
type Config struct {
	Outage time.Duration // failure of the platform from which lapsed entries get a grace
	Grace  time.Duration // time in which live endpoints register again after an outage
}

// DefaultConfig returns the times for a platform whose entries are renewed about
// once a second.
func DefaultConfig() Config {
	return Config{Outage: time.Second, Grace: 2 * time.Second}
}

// Entry is the registration of one endpoint.
type Entry struct {
	Name    string // name of the entry in the platform
	Service string
	Role    table.Role
	Slots   int64
	table.Endpoint
}

// Change is one change of an entry. Gone entries have only a name.
type Change struct {
	Entry Entry
	Gone  bool
}

// State is the registry of one host.
type State struct {
	cfg     Config
	entries map[string]*record
	contact time.Time // last answer of the platform
	failed  bool      // a call has failed since
	grace   time.Time // lapsed entries are kept until
}

type record struct {
	Entry
	missing bool // lapsed during an outage
}

// New returns a registry without entries.
func New(cfg Config) *State {
	return &State{cfg: cfg, entries: make(map[string]*record)}
}

// Contact notes that the platform has answered. The pause before an answer says
// nothing, because a watch is silent while nothing changes.
func Contact(s *State, now time.Time) {
	if s.failed && now.Sub(s.contact) > s.cfg.Outage {
		s.grace = now.Add(s.cfg.Grace)
	}
	s.failed = false
	s.contact = now
}

// Fail notes that a call to the platform has failed.
func Fail(s *State) { s.failed = true }

// List installs the complete list of entries, and tells whether it differs from
// the entries known before.
func List(s *State, now time.Time, entries []Entry) bool {
	Contact(s, now)
	listed := make(map[string]bool, len(entries))
	changed := false
	for _, e := range entries {
		listed[e.Name] = true
		changed = s.put(e) || changed
	}
	for name := range s.entries {
		if !listed[name] {
			changed = s.remove(now, name) || changed
		}
	}
	return changed
}

// Apply installs changes that the platform has told, and tells whether any entry
// differs. An entry that is deleted while the platform can be reached is gone,
// except during the grace after an outage.
func Apply(s *State, now time.Time, changes []Change) bool {
	Contact(s, now)
	changed := false
	for _, c := range changes {
		if c.Gone {
			changed = s.remove(now, c.Entry.Name) || changed
			continue
		}
		changed = s.put(c.Entry) || changed
	}
	return changed
}

// Expire drops the entries whose grace has passed, and tells whether there were
// any.
func Expire(s *State, now time.Time) bool {
	if now.Before(s.grace) || s.contact.Before(s.grace) {
		return false
	}
	changed := false
	for name, r := range s.entries {
		if r.missing {
			delete(s.entries, name)
			changed = true
		}
	}
	return changed
}

// Entries returns all entries, sorted by name.
func Entries(s *State) []Entry {
	out := make([]Entry, 0, len(s.entries))
	for _, name := range slices.SortedFunc(maps.Keys(s.entries), cmp.Compare[string]) {
		out = append(out, s.entries[name].Entry)
	}
	return out
}

func (s *State) put(e Entry) bool {
	old, ok := s.entries[e.Name]
	s.entries[e.Name] = &record{Entry: e}
	return !ok || old.Entry != e
}

func (s *State) remove(now time.Time, name string) bool {
	r, ok := s.entries[name]
	if !ok {
		return false
	}
	if now.Before(s.grace) && r.State != table.StateLeaving {
		r.missing = true
		return false
	}
	delete(s.entries, name)
	return true
}

// EndpointName returns the name under which the schedulers know one start of an
// endpoint. An endpoint that starts again holds nothing of before, so that each
// start is an endpoint of its own.
func EndpointName(instance, start string) id.Endpoint {
	return id.Endpoint(instance + "." + start)
}

// Instance returns the name by which an endpoint checks that it is the one meant.
func Instance(ep id.Endpoint) string {
	i := strings.LastIndexByte(string(ep), '.')
	return string(ep)[:max(i, 0)]
}
