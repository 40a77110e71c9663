// Package registry tracks the endpoints that register with the platform and decides
// which of them may receive requests.
//
// A leaving endpoint stays listed with the state leaving. An endpoint whose entry is
// deleted is dropped at once, except after an outage of the platform: entries expire
// during an outage because no endpoint can renew them. Entries that are missing after
// an outage are kept for Config.Grace, so that live endpoints can register again. If only
// this host had lost contact, which peers can tell, missing entries are dropped at once.
//
// After a restore of the platform from an older copy, entries may be listed that were
// deleted, or that were leaving, in the time that the copy lacks; see RecordRestore.
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
	// RestoreHold is how long after a restore an endpoint that had left stays out of use
	// although the copy lists it. By then the platform has removed it again, unless it lives.
	RestoreHold time.Duration
	// GoneRetention is how long an endpoint that has left is remembered. It is longer than
	// a copy from which the platform is restored is old.
	GoneRetention time.Duration
}

// DefaultConfig returns settings for a platform whose entries are renewed about once
// a second.
func DefaultConfig() Config {
	return Config{
		Outage: time.Second, Grace: 2 * time.Second, RestoreHold: 5 * time.Second, GoneRetention: time.Minute,
	}
}

// Entry is the registration of one endpoint.
type Entry struct {
	Name    string // name of the entry in the platform
	Service string
	Role    table.Role
	Slots   int64
	Cold    bool // the endpoint takes a limited rate of requests
	table.Endpoint
}

// Change is an update or a deletion of an entry. If Removed is set, the entry was deleted.
// If Invalid is set, the entry was overwritten and names no endpoint any more. In both
// cases only Entry.Name is set.
type Change struct {
	Entry   Entry
	Removed bool
	Invalid bool
}

// State is the registry of one host.
type State struct {
	cfg       Config
	entries   map[string]*record
	contact   time.Time // time of the platform's last response
	failed    bool      // a call has failed since contact
	grace     grace
	holdUntil time.Time // entries of endpoints that had left are held back until then
	held      map[string]Entry
	gone      map[id.Endpoint]time.Time // when endpoints have left
}

type record struct {
	Entry
	missing bool // expired during an outage
}

// New returns a registry with no entries.
func New(cfg Config) *State {
	return &State{
		cfg: cfg, entries: make(map[string]*record), held: make(map[string]Entry), gone: make(map[id.Endpoint]time.Time),
	}
}

// RecordResponse records a response of the platform. A long time without responses alone
// does not count as an outage, because a watch is silent while nothing changes.
func RecordResponse(s *State, now time.Time) {
	if s.failed && now.Sub(s.contact) > s.cfg.Outage {
		s.grace.regain(s.contact, now, s.cfg)
	}
	s.failed = false
	s.contact = now
}

// RecordFailure records a failed call to the platform.
func RecordFailure(s *State) { s.failed = true }

// RecordPeerContact records that peers have been in contact with the platform since the given
// time, without an outage. The entries that went missing while only this host had lost contact
// have been removed, and are dropped by the next Expire.
func RecordPeerContact(s *State, since, now time.Time) { s.grace.recordUp(since, now, s.cfg) }

// RecordRestore records that the platform has come back from an older copy. Entries that the
// copy lacks are kept for the grace period. Entries of endpoints that had left are held back,
// as their endpoints may write them again only by leaving once more.
func RecordRestore(s *State, now time.Time) {
	s.grace.afterRestore = now.Add(s.cfg.Grace)
	s.holdUntil = now.Add(s.cfg.RestoreHold)
}

// Replace replaces the entries with a complete list and reports whether anything changed.
func Replace(s *State, now time.Time, entries []Entry) bool {
	RecordResponse(s, now)
	listed := make(map[string]bool, len(entries))
	changed := false
	for _, e := range entries {
		listed[e.Name] = true
		changed = s.put(now, e) || changed
	}
	for name := range s.held {
		if !listed[name] {
			delete(s.held, name)
		}
	}
	for name := range s.entries {
		if !listed[name] {
			changed = s.remove(now, name) || changed
		}
	}
	return changed
}

// Apply applies changes from the platform's watch and reports whether any entry
// changed. An invalid entry is dropped at once. So is a deleted one, except during the grace
// period after an outage.
func Apply(s *State, now time.Time, changes []Change) bool {
	RecordResponse(s, now)
	changed := false
	for _, c := range changes {
		switch {
		case c.Invalid:
			changed = s.drop(now, c.Entry.Name) || changed
		case c.Removed:
			changed = s.remove(now, c.Entry.Name) || changed
		default:
			changed = s.put(now, c.Entry) || changed
		}
	}
	return changed
}

// Expire drops missing entries once the grace period has ended, and installs entries that
// were held back. It reports whether anything changed. It waits until the platform has
// responded after the grace period.
func Expire(s *State, now time.Time) bool {
	changed := s.releaseHeld(now)
	for ep, at := range s.gone {
		if now.Sub(at) > s.cfg.GoneRetention {
			delete(s.gone, ep)
		}
	}
	if end := s.grace.end(); now.Before(end) || s.contact.Before(end) {
		return changed
	}
	for name, r := range s.entries {
		if r.missing {
			s.drop(now, name)
			changed = true
		}
	}
	return changed
}

// releaseHeld installs the entries that were held back and are still listed.
func (s *State) releaseHeld(now time.Time) bool {
	if now.Before(s.holdUntil) {
		return false
	}
	changed := false
	for _, e := range s.held {
		changed = s.put(now, e) || changed
	}
	clear(s.held)
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

func (s *State) put(now time.Time, e Entry) bool {
	if s.hadLeft(e) && now.Before(s.holdUntil) {
		s.held[e.Name] = e
		return false
	}
	delete(s.held, e.Name)
	delete(s.gone, e.Endpoint.Name)
	old, ok := s.entries[e.Name]
	if ok && old.Endpoint.Name != e.Endpoint.Name {
		s.gone[old.Endpoint.Name] = now
	}
	// After a restore, the entry may be older than the one that said that the endpoint is cold. The
	// endpoint renews its entry often, so that it does not stay limited for long.
	if ok && old.Cold && old.Endpoint.Name == e.Endpoint.Name && now.Before(s.holdUntil) {
		e.Cold = true
	}
	s.entries[e.Name] = &record{Entry: e}
	return !ok || old.Entry != e
}

// hadLeft reports whether an entry lists an endpoint as usable that was leaving or has left.
func (s *State) hadLeft(e Entry) bool {
	if _, ok := s.gone[e.Endpoint.Name]; ok {
		return true
	}
	old, ok := s.entries[e.Name]
	return ok && old.Endpoint.Name == e.Endpoint.Name && old.State == table.StateLeaving && e.State != table.StateLeaving
}

// drop deletes an entry, remembers that its endpoint has left, and reports whether the entry
// was there.
func (s *State) drop(now time.Time, name string) bool {
	delete(s.held, name)
	r, ok := s.entries[name]
	if !ok {
		return false
	}
	s.gone[r.Endpoint.Name] = now
	delete(s.entries, name)
	return true
}

func (s *State) remove(now time.Time, name string) bool {
	delete(s.held, name)
	r, ok := s.entries[name]
	if !ok {
		return false
	}
	if now.Before(s.grace.end()) && r.State != table.StateLeaving {
		r.missing = true
		return false
	}
	return s.drop(now, name)
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
