// Package registry tracks the endpoints that register with the platform and decides
// which of them may receive requests.
//
// A leaving endpoint stays listed with the state leaving. An endpoint whose entry is
// deleted is dropped at once, except after an outage of the platform: entries expire
// during an outage because no endpoint can renew them. Entries that are missing after
// an outage are kept for Config.Grace, so that live endpoints can register again.
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

// Config sets how a registry treats entries that expire during a platform outage.
type Config struct {
	Outage time.Duration // minimum length of a platform failure after which the grace period applies
	Grace  time.Duration // how long expired entries are kept after an outage
}

// DefaultConfig returns settings for a platform whose entries are renewed about once
// a second.
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

// Change is an update or a deletion of an entry. If Removed is set, the entry was deleted
// and only Entry.Name is set.
type Change struct {
	Entry   Entry
	Removed bool
}

// State is the registry of one host.
type State struct {
	cfg        Config
	entries    map[string]*record
	contact    time.Time // time of the platform's last response
	failed     bool      // a call has failed since contact
	graceUntil time.Time // expired entries are kept until then
}

type record struct {
	Entry
	missing bool // expired during an outage
}

// New returns a registry with no entries.
func New(cfg Config) *State {
	return &State{cfg: cfg, entries: make(map[string]*record)}
}

// RecordResponse records a response of the platform. A long time without responses alone
// does not count as an outage, because a watch is silent while nothing changes.
func RecordResponse(s *State, now time.Time) {
	if s.failed && now.Sub(s.contact) > s.cfg.Outage {
		s.graceUntil = now.Add(s.cfg.Grace)
	}
	s.failed = false
	s.contact = now
}

// RecordFailure records a failed call to the platform.
func RecordFailure(s *State) { s.failed = true }

// Replace replaces the entries with a complete list and reports whether anything changed.
func Replace(s *State, now time.Time, entries []Entry) bool {
	RecordResponse(s, now)
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

// Apply applies changes from the platform's watch and reports whether any entry
// changed. A deleted entry is dropped at once, except during the grace period after
// an outage.
func Apply(s *State, now time.Time, changes []Change) bool {
	RecordResponse(s, now)
	changed := false
	for _, c := range changes {
		if c.Removed {
			changed = s.remove(now, c.Entry.Name) || changed
			continue
		}
		changed = s.put(c.Entry) || changed
	}
	return changed
}

// Expire drops missing entries once the grace period has ended, and reports whether
// it dropped any. It waits until the platform has responded after the grace period.
func Expire(s *State, now time.Time) bool {
	if now.Before(s.graceUntil) || s.contact.Before(s.graceUntil) {
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
	if now.Before(s.graceUntil) && r.State != table.StateLeaving {
		r.missing = true
		return false
	}
	delete(s.entries, name)
	return true
}

// EndpointName returns the name that the schedulers use for one incarnation of an
// endpoint instance. A restarted instance keeps no state, so each incarnation counts as
// a separate endpoint.
func EndpointName(instance, incarnation string) id.Endpoint {
	return id.Endpoint(instance + "." + incarnation)
}

// Instance returns the instance ID in an endpoint name. Endpoints compare it with their
// own to detect misdirected requests. It is empty for a name without an incarnation.
func Instance(ep id.Endpoint) string {
	i := strings.LastIndexByte(string(ep), '.')
	return string(ep)[:max(i, 0)]
}
