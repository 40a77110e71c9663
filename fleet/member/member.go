// Package member tracks group membership: one host's view of which hosts are alive,
// leaving or dead.
//
// Within a zone, every host sends heartbeats to its monitors: at most Config.Monitors
// successors on a hash ring. In a small zone all hosts monitor each other. Monitors
// report to the whole zone which hosts have died, returned or begun to leave. A
// false report of a death is corrected by the host itself, or by a monitor that has
// received a message from it since.
//
// A report for the whole zone is a broadcast: the caller of Tick chooses how it
// reaches the hosts. A host that has received it from a relay passes it to
// HandleForwarded, since it says nothing about the path between the two hosts.
//
// A monitor asks a host that has missed heartbeats for a reply before it counts it as
// dead. The host may not know yet that this monitor has replaced others.
//
// A host that is listed but has never sent a message counts as alive until a monitor
// reports its death. A host that has just started learns from its monitors which hosts
// are dead or leaving. In some heartbeat rounds one host of the zone that is not
// monitored is spot-checked: a reply is awaited for Config.DeadAfter, so that a lost
// report is noticed after one pass over the zone.
//
// Each other zone is probed through a few of its hosts, called contacts. A host of
// another zone counts as alive while it is listed, until it has been probed and
// does not reply.
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
	// contactInterval is the time between heartbeats to the contacts of another
	// zone.
	contactInterval = 2 * time.Second
	// contactsPerZone is the number of hosts that are probed in each other zone.
	contactsPerZone = 2
	// remoteDeadAfter is the silence after which a probed host of another zone
	// counts as dead. It spans three rounds of contacts, so that one lost message
	// has no effect.
	remoteDeadAfter = 6 * time.Second
	// forgetAfter is the time after which a dead host that is no longer listed is
	// forgotten.
	forgetAfter = time.Minute
	// maxProbeInterval bounds the backoff of heartbeats to dead hosts of the zone, which
	// only their monitors send.
	maxProbeInterval = 2 * time.Second
	// maxRemoteProbeInterval bounds it for other zones, whose dead hosts are probed by all.
	maxRemoteProbeInterval = 16 * time.Second
	// maxProbesPerRound bounds the heartbeats to dead hosts in one round.
	maxProbesPerRound = 8
	// reportRounds is the number of heartbeat rounds that carry one report.
	reportRounds = 4
	// maxReports bounds the reports in one heartbeat.
	maxReports = 64
	// maxDeparted bounds the reports for a host that has just started.
	maxDeparted = 512
	// spotCheckRing is the number of hosts in a zone from which on spot checks are made in
	// fewer rounds: every second one from twice this number, and so on up to
	// maxSpotCheckRounds. Each needs a connection of its own.
	spotCheckRing      = 16
	maxSpotCheckRounds = 4
	// scanInterval is the time between two passes over all peers.
	scanInterval = 50 * time.Millisecond
)

// Config holds the settings of one host.
type Config struct {
	Host              id.Host
	Zone              id.Zone
	Incarnation       id.Incarnation
	HeartbeatInterval time.Duration // time between heartbeats within the zone
	DeadAfter         time.Duration // silence after which a host of the zone counts as dead
	Monitors          int           // number of monitors of each host
	Capacity          float64       // part of a processor core that this host may use; 0 is unknown
}

// Peer is what this host knows about one host.
type Peer struct {
	Host        id.Host
	Zone        id.Zone
	Address     string         // ip:port; empty until the host is listed or has sent its address
	Incarnation id.Incarnation // 0 until the host has sent a message or has been reported
	State       message.HostState
	Capacity    float64 // part of a processor core that the host may use; 0 is unknown
}

// Change reports that the state or the incarnation of a host has changed. A host
// that is new to this one changes from HostDead. If Restarted is set, all work of
// the earlier incarnation is lost; From and To can then be equal.
type Change struct {
	Host      id.Host
	From, To  message.HostState
	Restarted bool
}

// peer is the full record of one host. Times are zero if the event has not
// happened.
type peer struct {
	Peer
	listed           bool
	missingSince     time.Time // time of the first list that lacked the host
	listLeaving      bool
	announcedLeaving bool // the host announced that it is leaving; final for one incarnation
	dead             bool
	zoneDead         bool      // dead because its whole zone is silent
	lastHeard        time.Time // time of the last message from the host itself
	lastSent         time.Time // time of the last heartbeat to the host
	correctedAt      time.Time // time of the last report to the host about itself
	awaitingSince    time.Time // a reply has been due since then
	suspectedAt      time.Time // time of a death report that contradicts a recent message
	nextProbe        time.Time
	probeInterval    time.Duration
}

// State is the membership view of one host.
type State struct {
	cfg            Config
	peers          map[id.Host]*peer
	order          []id.Host // names of peers, sorted
	live           map[id.Zone][]id.Host
	version        uint64                // increases whenever the result of Live may change
	ring           []id.Host             // hosts of this host's zone that are not dead, in hash order; nil if out of date
	monitoredSince map[id.Host]time.Time // hosts that this host monitors, with the time at which it began to
	monitors       []id.Host             // hosts that monitor this host
	neighbours     map[id.Host]bool      // ring neighbours on both sides

	reports          []report
	pendingReplies   map[id.Host]bool // senders of heartbeats outside the ring neighbours that await a reply
	newcomers        map[id.Host]bool // hosts that have started or returned and do not know who is dead
	broadcastPending bool             // a change must be sent to the whole zone at once

	lastHeard time.Time // time of the last message from any host

	zoneLastHeard    map[id.Zone]time.Time
	zoneSilent       map[id.Zone]bool
	spotCheckRounds  int    // rounds of heartbeats since the last spot check
	contactRounds    uint64 // rounds of heartbeats to the contacts of other zones
	spotCheckIndex   int    // ring index of the last host that was spot-checked
	spotCheckStarted bool   // spotCheckIndex is set

	resumedAt     time.Time // start of this host or end of its last pause; silence before it does not count
	lastTick      time.Time
	nextScan      time.Time
	nextHeartbeat time.Time
	nextContact   time.Time
	nextBroadcast time.Time
}

// DefaultConfig returns the default intervals. Host, Zone and Incarnation are
// unset.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval: 500 * time.Millisecond,
		DeadAfter:         2 * time.Second,
		Monitors:          4,
	}
}

// New returns the view of a host that has just started, which knows only itself.
// The host announces itself to its whole zone as soon as it knows another host.
func New(cfg Config, now time.Time) *State {
	s := &State{
		cfg:            cfg,
		peers:          map[id.Host]*peer{},
		monitoredSince: map[id.Host]time.Time{},
		neighbours:     map[id.Host]bool{},
		pendingReplies: map[id.Host]bool{},
		newcomers:      map[id.Host]bool{},
		zoneLastHeard:  map[id.Zone]time.Time{},
		zoneSilent:     map[id.Zone]bool{},
		resumedAt:      now,
		lastTick:       now,

		broadcastPending: true,
	}
	self := add(s, cfg.Host, cfg.Zone)
	self.Incarnation = cfg.Incarnation
	self.Capacity = cfg.Capacity
	return s
}

// SetLeaving marks this host as leaving and announces it to the zone.
func SetLeaving(s *State) {
	self := s.peers[s.cfg.Host]
	if self.announcedLeaving {
		return
	}
	self.announcedLeaving = true
	s.broadcastPending = true
	invalidate(s, s.cfg.Zone)
}

// Live returns the hosts of each zone that accept new work, sorted by name. The
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

// Version returns a number that changes whenever the result of Live may have
// changed.
func Version(s *State) uint64 { return s.version }

// Usable reports whether a host accepts new work.
func Usable(s *State, h id.Host) bool {
	p, ok := s.peers[h]
	return ok && p.state() == message.HostAlive
}

// PeerOf returns what is known about a host, which can be this one.
func PeerOf(s *State, h id.Host) (Peer, bool) {
	p, ok := s.peers[h]
	if !ok {
		return Peer{}, false
	}
	return p.public(), true
}

// Count returns the number of known hosts, including this one.
func Count(s *State) int { return len(s.order) }

// Peers returns all known hosts, including this one, sorted by name.
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

// Departed returns a report of each host of the zone that is dead or leaving, for the
// hosts in Heartbeats.Newcomers.
func Departed(s *State) []message.HostReport {
	var out []message.HostReport
	for _, h := range s.order {
		p := s.peers[h]
		if p.Zone != s.cfg.Zone || p.state() == message.HostAlive || len(out) == maxDeparted {
			continue
		}
		out = append(out, message.HostReport{Host: h, Incarnation: p.Incarnation, State: p.state()})
	}
	return out
}

// Reachable returns the hosts of a zone that are not dead and whose address is known,
// except this one, sorted by name. An empty zone stands for all zones.
func Reachable(s *State, zone id.Zone) []id.Host {
	out := make([]id.Host, 0, len(s.order))
	for _, h := range s.order {
		p := s.peers[h]
		if h == s.cfg.Host || p.Address == "" || p.state() == message.HostDead || zone != "" && p.Zone != zone {
			continue
		}
		out = append(out, h)
	}
	return out
}

// Check returns an error if the state violates an invariant of the package.
func Check(s *State) error {
	self, ok := s.peers[s.cfg.Host]
	if !ok || self.dead || self.Incarnation != s.cfg.Incarnation {
		return fmt.Errorf("member: local host %q is missing, dead or of another incarnation", s.cfg.Host)
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

// checkRing checks that the ring, if it is up to date, matches the peers.
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

// state returns the state of a host as other packages see it.
func (p *peer) state() message.HostState {
	switch {
	case p.dead || p.zoneDead:
		return message.HostDead
	case p.listLeaving || p.announcedLeaving:
		return message.HostLeaving
	default:
		return message.HostAlive
	}
}

// public returns the exported part of a record with its current state.
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
	delete(s.pendingReplies, p.Host)
	delete(s.newcomers, p.Host)
	i := sort.Search(len(s.order), func(i int) bool { return s.order[i] >= p.Host })
	s.order = append(s.order[:i], s.order[i+1:]...)
	invalidate(s, p.Zone)
}

// invalidate discards the cached results that depend on the hosts of a zone.
func invalidate(s *State, zone id.Zone) {
	s.live = nil
	s.version++
	if zone == s.cfg.Zone {
		s.ring = nil
	}
}

// recordChange returns the change of a host from an earlier state to its present one
// and invalidates the cached results. If the state is the same and the host has not
// restarted, it does nothing and returns nil.
func recordChange(s *State, p *peer, from message.HostState, restarted bool) []Change {
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
