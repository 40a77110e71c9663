package member

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Tick returns the hosts to send a heartbeat to now, sorted by name, and the deaths
// that it detected. Call it several times per Config.HeartbeatInterval.
func Tick(s *State, now time.Time) (recipients []id.Host, changes []Change) {
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
	if s.broadcastPending && !now.Before(s.nextBroadcast) {
		s.broadcastPending = false
		s.nextBroadcast = now.Add(s.cfg.HeartbeatInterval / 2)
		addAllInZone(s, targets)
	}
	for h := range s.pendingReplies {
		targets[h] = true
	}
	clear(s.pendingReplies)
	return recordSent(s, now, targets), changes
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

// markDead marks a host as dead. A monitor reports the death if it has ever
// received a message from the host. If nothing has been received from another zone
// for remoteDeadAfter, all hosts of that zone are marked.
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
	if monitored && !p.lastHeard.IsZero() {
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

// addZoneTargets adds the ring neighbours, the hosts whose reply is awaited, and
// the next host of the spot check.
func addZoneTargets(s *State, now time.Time, targets map[id.Host]bool) {
	buildRing(s, now)
	for h := range s.neighbours {
		targets[h] = true
	}
	if len(s.ring) > len(s.monitoredSince)+1 {
		spotCheckNext(s, now)
	}
	for _, h := range s.order {
		if p := s.peers[h]; !p.awaitingSince.IsZero() {
			targets[h] = true
		}
	}
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

// addProbeTargets adds dead hosts whose probe is due. The interval between probes
// of a host grows exponentially.
func addProbeTargets(s *State, now time.Time, targets map[id.Host]bool) {
	n := 0
	for _, h := range s.order {
		p := s.peers[h]
		if !p.dead || p.Address == "" || now.Before(p.nextProbe) {
			continue
		}
		targets[h] = true
		p.probeInterval = min(max(2*p.probeInterval, s.cfg.HeartbeatInterval), maxProbeInterval)
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

// addAllInZone adds all hosts of the zone that are not dead.
func addAllInZone(s *State, targets map[id.Host]bool) {
	for _, h := range s.order {
		if inRing(s, s.peers[h]) {
			targets[h] = true
		}
	}
}

// recordSent records the time of the heartbeats and returns their recipients,
// sorted by name. It skips hosts whose address is unknown.
func recordSent(s *State, now time.Time, targets map[id.Host]bool) []id.Host {
	var recipients []id.Host
	for h := range targets {
		p, ok := s.peers[h]
		if !ok || h == s.cfg.Host || p.Address == "" {
			continue
		}
		p.lastSent = now
		recipients = append(recipients, h)
	}
	sort.Slice(recipients, func(i, j int) bool { return recipients[i] < recipients[j] })
	return recipients
}
