package member

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Heartbeats are the heartbeats that a host must send now. All carry Reports.
type Heartbeats struct {
	To        []Recipient // sorted by host
	Broadcast bool        // all hosts of the zone must get one, directly or by way of relays
}

// Recipient is a host that must get a heartbeat.
type Recipient struct {
	Host        id.Host
	AwaitsReply bool // the heartbeat must ask for a reply
	Newcomer    bool // the heartbeat must also carry Departed
}

// Tick returns the heartbeats to send now and the deaths that it detected. Call it
// several times per Config.HeartbeatInterval.
func Tick(s *State, now time.Time) (heartbeats Heartbeats, changes []Change) {
	detectPause(s, now)
	targets := map[id.Host]bool{}
	if !now.Before(s.nextScan) {
		s.nextScan = now.Add(scanInterval)
		changes = scan(s, now)
	}
	if !now.Before(s.nextHeartbeat) {
		s.nextHeartbeat = now.Add(s.cfg.HeartbeatInterval)
		ageReports(s)
		addZoneTargets(s, now, targets)
		addProbeTargets(s, now, targets)
	}
	if !now.Before(s.nextContact) {
		s.nextContact = now.Add(contactInterval)
		addContactTargets(s, now, targets)
	}
	for h := range s.pendingReplies {
		targets[h] = true
	}
	for h := range s.newcomers {
		targets[h] = true
	}
	heartbeats.To = recordSent(s, now, targets)
	clear(s.pendingReplies)
	clear(s.newcomers)
	heartbeats.Broadcast = takeBroadcast(s, now)
	return heartbeats, changes
}

// takeBroadcast reports whether a broadcast is due. Broadcasts keep a distance of half a
// Config.HeartbeatInterval, so that changes in quick succession share one.
func takeBroadcast(s *State, now time.Time) bool {
	if !s.broadcastPending || len(s.order) == 1 || now.Before(s.nextBroadcast) {
		return false
	}
	s.broadcastPending = false
	s.nextBroadcast = now.Add(s.cfg.HeartbeatInterval / 2)
	return true
}

// detectPause restarts the silence timeouts if this host itself was paused, because
// messages of that time may be lost or still queued. After a long pause other hosts
// may consider this one dead, and it may have missed reports: it announces itself
// and awaits a reply from every host of the zone.
func detectPause(s *State, now time.Time) {
	pause := now.Sub(s.lastTick)
	s.lastTick = now
	if pause <= 2*s.cfg.HeartbeatInterval {
		return
	}
	s.resumedAt = now
	if pause < s.cfg.DeadAfter {
		return
	}
	s.broadcastPending = true
	for _, h := range s.order {
		p := s.peers[h]
		if h != s.cfg.Host && inRing(s, p) {
			p.awaitingSince = now
		}
	}
}

// scan marks silent hosts as dead and forgets dead hosts that are no longer listed.
func scan(s *State, now time.Time) []Change {
	buildRing(s, now)
	var silent, forgotten []*peer
	for _, h := range s.order {
		p := s.peers[h]
		if h == s.cfg.Host {
			continue
		}
		if !p.dead && isSilent(s, now, p) {
			silent = append(silent, p)
		}
		if p.state() == message.HostDead && !p.missingSince.IsZero() && now.Sub(p.missingSince) >= forgetAfter {
			forgotten = append(forgotten, p)
		}
	}
	var changes []Change
	for _, p := range silent {
		changes = append(changes, markDead(s, now, p)...)
	}
	for _, p := range forgotten {
		remove(s, p)
	}
	return changes
}

// isSilent reports whether a host has been silent for too long. The limits apply to
// a host that should have replied, to one that was reported dead and to one that
// this host monitors.
func isSilent(s *State, now time.Time, p *peer) bool {
	limit := s.cfg.DeadAfter
	if p.Zone != s.cfg.Zone {
		limit = remoteDeadAfter
	}
	if !p.awaitingSince.IsZero() && now.Sub(later(p.awaitingSince, s.resumedAt)) >= limit {
		return true
	}
	lastHeard := later(p.lastHeard, s.resumedAt)
	if !p.suspectedAt.IsZero() && now.Sub(lastHeard) >= 2*s.cfg.HeartbeatInterval {
		return true
	}
	since, monitored := s.monitoredSince[p.Host]
	return monitored && now.Sub(later(lastHeard, since)) >= limit
}

// markDead marks a host as dead. A monitor reports the death unless it may itself be
// cut off: it must have received a message from the host at some time, or one from any
// host within Config.DeadAfter. If nothing has been received from another zone for
// remoteDeadAfter, all hosts of that zone are marked.
func markDead(s *State, now time.Time, p *peer) []Change {
	_, monitored := s.monitoredSince[p.Host]
	before := p.state()
	p.awaitingSince = time.Time{}
	p.suspectedAt = time.Time{}
	if p.Zone != s.cfg.Zone && now.Sub(later(s.zoneLastHeard[p.Zone], s.resumedAt)) >= remoteDeadAfter {
		return markZoneDead(s, p.Zone)
	}
	p.dead = true
	p.probeInterval = s.cfg.HeartbeatInterval
	p.nextProbe = now.Add(p.probeInterval)
	changes := recordChange(s, p, before, false)
	if monitored && (!p.lastHeard.IsZero() || now.Sub(s.lastHeard) < s.cfg.DeadAfter) {
		addReport(s, p)
	}
	return changes
}

// markZoneDead marks all hosts of another zone as dead.
func markZoneDead(s *State, zone id.Zone) []Change {
	s.zoneSilent[zone] = true
	var changes []Change
	for _, h := range s.order {
		p := s.peers[h]
		if p.Zone != zone {
			continue
		}
		before := p.state()
		p.zoneDead = true
		p.awaitingSince = time.Time{}
		changes = append(changes, recordChange(s, p, before, false)...)
	}
	return changes
}

// ageReports drops the reports that have been repeated often enough.
func ageReports(s *State) {
	kept := s.reports[:0]
	for _, r := range s.reports {
		r.roundsLeft--
		if r.roundsLeft > 0 {
			kept = append(kept, r)
		}
	}
	s.reports = kept
}

// addZoneTargets adds the monitors of this host, the hosts whose reply is awaited, the
// monitored hosts that are overdue, and the next host of the spot check.
func addZoneTargets(s *State, now time.Time, targets map[id.Host]bool) {
	buildRing(s, now)
	for _, h := range s.monitors {
		targets[h] = true
	}
	s.spotCheckRounds++
	if len(s.ring) > len(s.monitoredSince)+1 && s.spotCheckRounds >= min(len(s.ring)/spotCheckRing, maxSpotCheckRounds) {
		s.spotCheckRounds = 0
		spotCheckNext(s, now)
	}
	for _, h := range s.order {
		if p := s.peers[h]; !p.awaitingSince.IsZero() || isOverdue(s, now, p) {
			targets[h] = true
		}
	}
}

// isOverdue reports whether a host that this host monitors has missed heartbeats.
func isOverdue(s *State, now time.Time, p *peer) bool {
	since, monitored := s.monitoredSince[p.Host]
	return monitored && !p.dead && now.Sub(later(p.lastHeard, since)) >= 2*s.cfg.HeartbeatInterval
}

// spotCheckNext awaits a reply from the next host of the zone that this host does
// not monitor. The monitors of this host are among those hosts.
//
// Each host starts at its own position in the ring. Hosts that start together would
// otherwise all check the same host in each round.
func spotCheckNext(s *State, now time.Time) {
	if !s.spotCheckStarted {
		s.spotCheckStarted = true
		s.spotCheckIndex = max(slices.Index(s.ring, s.cfg.Host), 0)
	}
	for range s.ring {
		s.spotCheckIndex = (s.spotCheckIndex + 1) % len(s.ring)
		h := s.ring[s.spotCheckIndex]
		if _, monitored := s.monitoredSince[h]; h != s.cfg.Host && !monitored {
			awaitReply(s.peers[h], now)
			return
		}
	}
}

// addProbeTargets adds dead hosts whose probe is due. A dead host of this zone is probed
// by its monitors only, which report its return. The interval between probes of a host
// grows exponentially.
func addProbeTargets(s *State, now time.Time, targets map[id.Host]bool) {
	n := 0
	for _, h := range s.order {
		p := s.peers[h]
		if !p.dead || p.Address == "" || now.Before(p.nextProbe) {
			continue
		}
		limit := maxRemoteProbeInterval
		if p.Zone == s.cfg.Zone {
			if !isMonitorOf(s, now, h) {
				continue
			}
			limit = maxProbeInterval
		}
		targets[h] = true
		p.probeInterval = min(max(2*p.probeInterval, s.cfg.HeartbeatInterval), limit)
		p.nextProbe = now.Add(p.probeInterval)
		n++
		if n == maxProbesPerRound {
			return
		}
	}
}

// addContactTargets adds the contacts in each other zone and awaits their replies.
// For a silent zone it selects other hosts in each round, as its previous contacts
// may be gone.
func addContactTargets(s *State, now time.Time, targets map[id.Host]bool) {
	s.contactRounds++
	zones := map[id.Zone][]id.Host{}
	for _, h := range s.order {
		p := s.peers[h]
		if p.Zone != s.cfg.Zone && !p.dead && p.Address != "" {
			zones[p.Zone] = append(zones[p.Zone], h)
		}
	}
	for zone, hosts := range zones {
		key := string(s.cfg.Host)
		if s.zoneSilent[zone] {
			key += "/" + strconv.FormatUint(s.contactRounds, 10)
		}
		for _, h := range Owners(hosts, key, contactsPerZone) {
			targets[h] = true
			if !s.zoneSilent[zone] {
				awaitReply(s.peers[h], now)
			}
		}
	}
}

// recordSent records the time of the heartbeats and returns their recipients, sorted by
// name. It skips hosts whose address is unknown.
func recordSent(s *State, now time.Time, targets map[id.Host]bool) []Recipient {
	var out []Recipient
	for h := range targets {
		p, ok := s.peers[h]
		if !ok || h == s.cfg.Host || p.Address == "" {
			continue
		}
		p.lastSent = now
		out = append(out, Recipient{
			Host: h, Newcomer: s.newcomers[h],
			AwaitsReply: p.dead || !p.awaitingSince.IsZero() || isOverdue(s, now, p),
		})
	}
	slices.SortFunc(out, func(a, b Recipient) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}
