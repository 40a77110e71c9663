// Package member keeps the view that one host has of all hosts.
//
// Within a zone every host exchanges heartbeats with its neighbours on a hash
// ring: at most Config.Monitors successors, which are its monitors, and as many
// predecessors, which it monitors. A small zone is thereby a full mesh. Monitors
// report deaths, returns and leaving hosts to the whole zone. A host that is
// wrongly reported dead, or a monitor that has heard from it since, corrects the
// report.
//
// A host that has been listed but never heard counts as alive for
// Config.DeadAfter while it is asked for a sign of life. One unmonitored host of
// the zone is asked in each round, so that a lost report is noticed after one pass
// over the zone.
//
// Each other zone is asked through a few of its hosts. A host of another zone is
// alive while it is listed, until it has been asked and stays silent.
//
// The package is deterministic: it reads no clock and uses no random source.
package member

import (
	"fmt"
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	// contactInterval is the time between heartbeats to the contacts of another zone.
	contactInterval = 2 * time.Second
	// contactsPerZone is the number of hosts asked in each other zone.
	contactsPerZone = 2
	// remoteDeadAfter is the silence after which an asked host of another zone
	// counts as dead. It spans three rounds of contacts, so that one lost message
	// has no effect.
	remoteDeadAfter = 6 * time.Second
	// forgetAfter is the time after which a dead host that the list lacks is forgotten.
	forgetAfter = time.Minute
	// maxProbeInterval bounds the back-off of heartbeats to dead hosts.
	maxProbeInterval = 16 * time.Second
	// maxProbes bounds the heartbeats to dead hosts in one round.
	maxProbes = 8
	// reportRounds is the number of heartbeat rounds that carry one report.
	reportRounds = 4
	// maxReports bounds the reports in one heartbeat.
	maxReports = 64
	// scanInterval is the time between two passes over all peers.
	scanInterval = 50 * time.Millisecond
)

// Config holds the settings of one host.
type Config struct {
	Host        id.Host
	Zone        id.Zone
	Incarnation id.Incarnation
	Beat        time.Duration // time between heartbeats within the zone
	DeadAfter   time.Duration // silence after which a host of the zone is dead
	Monitors    int           // monitors of each host
}

// Peer is what is known of one host.
type Peer struct {
	Host        id.Host
	Zone        id.Zone
	Address     string         // ip:port; empty until the host has been listed or has told it
	Incarnation id.Incarnation // 0 until the host has been heard or reported
	State       message.HostState
}

// Change tells that the state or the incarnation of a host has changed. A host
// seen for the first time changes from HostDead. Restarted means that all work of
// the earlier incarnation is gone; From and To can then be equal.
type Change struct {
	Host      id.Host
	From, To  message.HostState
	Restarted bool
}

// peer is the full record of one host. Times are zero when the event has not happened.
type peer struct {
	Peer
	listed      bool
	missing     time.Time // first list that lacked the host
	listLeaving bool
	beatLeaving bool // final for one incarnation
	dead        bool
	zoneDead    bool      // dead because its whole zone is silent
	heard       time.Time // last direct message
	sent        time.Time // last heartbeat to the host
	asked       time.Time // an answer is due since then
	suspected   time.Time // reported dead, against fresh evidence
	probeEvery  time.Duration
	nextProbe   time.Time
}

// report is a report on its way to the zone.
type report struct {
	message.HostReport
	left int // heartbeat rounds
}

// State is the membership view of one host.
type State struct {
	cfg     Config
	peers   map[id.Host]*peer
	order   []id.Host // names of peers, sorted
	live    map[id.Zone][]id.Host
	version uint64                // of what Live returns
	ring    []id.Host             // hosts of the own zone that are not dead, in hash order; nil if out of date
	watch   map[id.Host]time.Time // hosts that this host monitors, with the start of its watch
	near    map[id.Host]bool      // ring neighbours on both sides

	reports   []report
	pongs     map[id.Host]bool // senders outside the ring neighbours that await an answer
	broadcast bool             // a change is to be sent to the whole zone at once

	zoneHeard map[id.Zone]time.Time
	zoneDown  map[id.Zone]bool
	rounds    uint64 // rounds of contacts
	audit     int    // position of the audit in the ring
	auditing  bool   // the audit has begun

	grace         time.Time // silence before this time does not count
	lastTick      time.Time
	nextScan      time.Time
	nextBeat      time.Time
	nextContact   time.Time
	nextBroadcast time.Time
}

// DefaultConfig returns the default intervals. Host, Zone and Incarnation are unset.
func DefaultConfig() Config {
	return Config{
		Beat:      500 * time.Millisecond,
		DeadAfter: 2 * time.Second,
		Monitors:  6,
	}
}

// New returns the view of a starting host, which knows only itself. The host
// announces itself to its whole zone with the first Tick after SetList.
func New(cfg Config, now time.Time) *State {
	s := &State{
		cfg:       cfg,
		peers:     map[id.Host]*peer{},
		watch:     map[id.Host]time.Time{},
		near:      map[id.Host]bool{},
		pongs:     map[id.Host]bool{},
		zoneHeard: map[id.Zone]time.Time{},
		zoneDown:  map[id.Zone]bool{},
		grace:     now,
		lastTick:  now,
	}
	self := add(s, cfg.Host, cfg.Zone)
	self.Incarnation = cfg.Incarnation
	return s
}

// SetLeaving marks the own host as leaving and announces it to the zone.
func SetLeaving(s *State) {
	self := s.peers[s.cfg.Host]
	if self.beatLeaving {
		return
	}
	self.beatLeaving = true
	s.broadcast = true
	invalidate(s, s.cfg.Zone)
}

// Live returns the hosts of each zone that take new work, sorted by name. The
// caller must not modify the result.
func Live(s *State) map[id.Zone][]id.Host {
	if s.live != nil {
		return s.live
	}
	s.live = map[id.Zone][]id.Host{}
	for _, h := range s.order {
		p := s.peers[h]
		if p.state() == message.HostAlive {
			s.live[p.Zone] = append(s.live[p.Zone], h)
		}
	}
	return s.live
}

// Version changes whenever the result of Live may have changed.
func Version(s *State) uint64 { return s.version }

// Usable reports whether a host takes new work.
func Usable(s *State, h id.Host) bool {
	p, ok := s.peers[h]
	return ok && p.state() == message.HostAlive
}

// PeerOf returns what is known of a host, which can be the own one.
func PeerOf(s *State, h id.Host) (Peer, bool) {
	p, ok := s.peers[h]
	if !ok {
		return Peer{}, false
	}
	return p.public(), true
}

// Count returns the number of known hosts including the own one.
func Count(s *State) int { return len(s.order) }

// Peers returns all known hosts including the own one, sorted by name.
func Peers(s *State) []Peer {
	out := make([]Peer, 0, len(s.order))
	for _, h := range s.order {
		out = append(out, s.peers[h].public())
	}
	return out
}

// Reports returns the reports that each heartbeat carries now, oldest first.
func Reports(s *State) []message.HostReport {
	var out []message.HostReport
	for _, r := range s.reports {
		out = append(out, r.HostReport)
	}
	return out
}

// Check returns an error if the state breaks an invariant of the package.
func Check(s *State) error {
	self, ok := s.peers[s.cfg.Host]
	if !ok || self.dead || self.Incarnation != s.cfg.Incarnation {
		return fmt.Errorf("member: own host %q is missing, dead or of another incarnation", s.cfg.Host)
	}
	if len(s.order) != len(s.peers) {
		return fmt.Errorf("member: %d names for %d peers", len(s.order), len(s.peers))
	}
	if !sort.SliceIsSorted(s.order, func(i, j int) bool { return s.order[i] < s.order[j] }) {
		return fmt.Errorf("member: names are not sorted")
	}
	if len(s.reports) > maxReports {
		return fmt.Errorf("member: %d reports, at most %d allowed", len(s.reports), maxReports)
	}
	return checkRing(s)
}

// checkRing compares the ring, if it is up to date, with the peers.
func checkRing(s *State) error {
	if s.ring == nil {
		return nil
	}
	inZone := 0
	for _, h := range s.order {
		if inRing(s, s.peers[h]) {
			inZone++
		}
	}
	if inZone != len(s.ring) {
		return fmt.Errorf("member: ring has %d hosts, the zone %d", len(s.ring), inZone)
	}
	for _, h := range s.ring {
		p, ok := s.peers[h]
		if !ok || !inRing(s, p) {
			return fmt.Errorf("member: ring holds %q, which is dead or of another zone", h)
		}
	}
	return nil
}

// state returns the state of a host for others.
func (p *peer) state() message.HostState {
	switch {
	case p.dead || p.zoneDead:
		return message.HostDead
	case p.listLeaving || p.beatLeaving:
		return message.HostLeaving
	default:
		return message.HostAlive
	}
}

// public returns the exported part of a record.
func (p *peer) public() Peer {
	out := p.Peer
	out.State = p.state()
	return out
}

// add creates the record of a host.
func add(s *State, h id.Host, zone id.Zone) *peer {
	p := &peer{Peer: Peer{Host: h, Zone: zone}}
	s.peers[h] = p
	i := sort.Search(len(s.order), func(i int) bool { return s.order[i] >= h })
	s.order = append(s.order, "")
	copy(s.order[i+1:], s.order[i:])
	s.order[i] = h
	invalidate(s, zone)
	return p
}

// remove deletes the record of a host.
func remove(s *State, p *peer) {
	delete(s.peers, p.Host)
	delete(s.pongs, p.Host)
	i := sort.Search(len(s.order), func(i int) bool { return s.order[i] >= p.Host })
	s.order = append(s.order[:i], s.order[i+1:]...)
	invalidate(s, p.Zone)
}

// invalidate drops the results that are derived from the hosts of a zone.
func invalidate(s *State, zone id.Zone) {
	s.live = nil
	s.version++
	if zone == s.cfg.Zone {
		s.ring = nil
	}
}

// changed returns the change of a host since its state was from.
func changed(s *State, p *peer, from message.HostState, restarted bool) []Change {
	to := p.state()
	if from == to && !restarted {
		return nil
	}
	invalidate(s, p.Zone)
	return []Change{{Host: p.Host, From: from, To: to, Restarted: restarted}}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
