package member

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Tick returns the hosts to send a heartbeat to now, sorted by name, and the
// deaths that it noticed. It is meant to be called several times per beat.
func Tick(s *State, now time.Time) (beats []id.Host, changes []Change) {
	resume(s, now)
	targets := map[id.Host]bool{}
	if !now.Before(s.nextScan) {
		s.nextScan = now.Add(scanInterval)
		changes = scan(s, now)
	}
	if !now.Before(s.nextBeat) {
		s.nextBeat = now.Add(s.cfg.Beat)
		ageReports(s)
		beatZone(s, now, targets)
		probe(s, now, targets)
	}
	if !now.Before(s.nextContact) {
		s.nextContact = now.Add(contactInterval)
		beatOthers(s, now, targets)
	}
	if s.broadcast && !now.Before(s.nextBroadcast) {
		s.broadcast = false
		s.nextBroadcast = now.Add(s.cfg.Beat / 2)
		beatAll(s, targets)
	}
	for h := range s.pongs {
		targets[h] = true
	}
	clear(s.pongs)
	return send(s, now, targets), changes
}

// resume restarts the timers of silence when this host itself was paused, as
// messages of that time may be lost or still queued. After a long pause the other
// hosts may have held this one for dead, and reports may have been missed: it
// announces itself and asks the whole zone for a sign of life.
func resume(s *State, now time.Time) {
	pause := now.Sub(s.lastTick)
	s.lastTick = now
	if pause <= 2*s.cfg.Beat {
		return
	}
	s.grace = now
	if pause < s.cfg.DeadAfter {
		return
	}
	s.broadcast = true
	for _, h := range s.order {
		p := s.peers[h]
		if h != s.cfg.Host && inRing(s, p) {
			p.asked = now
		}
	}
}

// scan marks silent hosts as dead and forgets hosts that the list lacks.
func scan(s *State, now time.Time) []Change {
	buildRing(s, now)
	var silent, gone []*peer
	for _, h := range s.order {
		p := s.peers[h]
		if h == s.cfg.Host {
			continue
		}
		if !p.dead && isSilent(s, now, p) {
			silent = append(silent, p)
		}
		if p.state() == message.HostDead && !p.missing.IsZero() && now.Sub(p.missing) >= forgetAfter {
			gone = append(gone, p)
		}
	}
	var changes []Change
	for _, p := range silent {
		changes = append(changes, die(s, now, p)...)
	}
	for _, p := range gone {
		remove(s, p)
	}
	return changes
}

// isSilent reports whether a host has been silent for too long as a monitored
// host, as one that should have answered or as one that was reported dead.
func isSilent(s *State, now time.Time, p *peer) bool {
	limit := s.cfg.DeadAfter
	if p.Zone != s.cfg.Zone {
		limit = remoteDeadAfter
	}
	if !p.asked.IsZero() && now.Sub(later(p.asked, s.grace)) >= limit {
		return true
	}
	heard := later(p.heard, s.grace)
	if !p.suspected.IsZero() && now.Sub(heard) >= 2*s.cfg.Beat {
		return true
	}
	since, watched := s.watch[p.Host]
	return watched && now.Sub(later(heard, since)) >= limit
}

// die marks a host as dead. A monitor reports the death of a host that it has
// heard before. If nothing is heard from another zone, all its hosts go.
func die(s *State, now time.Time, p *peer) []Change {
	_, watched := s.watch[p.Host]
	before := p.state()
	p.asked = time.Time{}
	p.suspected = time.Time{}
	if p.Zone != s.cfg.Zone && now.Sub(later(s.zoneHeard[p.Zone], s.grace)) >= remoteDeadAfter {
		return dieZone(s, p.Zone)
	}
	p.dead = true
	p.probeEvery = s.cfg.Beat
	p.nextProbe = now.Add(p.probeEvery)
	changes := changed(s, p, before, false)
	if watched && !p.heard.IsZero() {
		addReport(s, p)
	}
	return changes
}

// dieZone marks all hosts of another zone as dead.
func dieZone(s *State, zone id.Zone) []Change {
	s.zoneDown[zone] = true
	var changes []Change
	for _, h := range s.order {
		p := s.peers[h]
		if p.Zone != zone {
			continue
		}
		before := p.state()
		p.zoneDead = true
		p.asked = time.Time{}
		changes = append(changes, changed(s, p, before, false)...)
	}
	return changes
}

// ageReports drops the reports that have been repeated often enough.
func ageReports(s *State) {
	kept := s.reports[:0]
	for _, r := range s.reports {
		r.left--
		if r.left > 0 {
			kept = append(kept, r)
		}
	}
	s.reports = kept
}

// beatZone adds the ring neighbours, the hosts that should answer, and the next
// unmonitored host of the zone in turn, which is asked for a sign of life.
func beatZone(s *State, now time.Time, targets map[id.Host]bool) {
	buildRing(s, now)
	for h := range s.near {
		targets[h] = true
	}
	if len(s.ring) > len(s.watch)+1 {
		auditNext(s, now)
	}
	for _, h := range s.order {
		if p := s.peers[h]; !p.asked.IsZero() {
			targets[h] = true
		}
	}
}

// auditNext asks the next host of the zone that this host does not monitor. The
// monitors of this host are among them.
//
// Each host begins at its own place in the ring. Hosts that start together would
// otherwise all ask the same host in each round.
func auditNext(s *State, now time.Time) {
	if !s.auditing {
		s.auditing = true
		s.audit = max(slices.Index(s.ring, s.cfg.Host), 0)
	}
	for range s.ring {
		s.audit = (s.audit + 1) % len(s.ring)
		h := s.ring[s.audit]
		if _, watched := s.watch[h]; h != s.cfg.Host && !watched {
			ask(s.peers[h], now)
			return
		}
	}
}

// probe adds dead hosts whose probe is due, with a growing interval.
func probe(s *State, now time.Time, targets map[id.Host]bool) {
	n := 0
	for _, h := range s.order {
		p := s.peers[h]
		if !p.dead || p.Address == "" || now.Before(p.nextProbe) {
			continue
		}
		targets[h] = true
		p.probeEvery = min(max(2*p.probeEvery, s.cfg.Beat), maxProbeInterval)
		p.nextProbe = now.Add(p.probeEvery)
		n++
		if n == maxProbes {
			return
		}
	}
}

// beatOthers asks the contacts in each other zone. A silent zone is asked through
// other hosts in each round, as its former contacts may be gone.
func beatOthers(s *State, now time.Time, targets map[id.Host]bool) {
	s.rounds++
	zones := map[id.Zone][]id.Host{}
	for _, h := range s.order {
		p := s.peers[h]
		if p.Zone != s.cfg.Zone && !p.dead && p.Address != "" {
			zones[p.Zone] = append(zones[p.Zone], h)
		}
	}
	for zone, hosts := range zones {
		key := string(s.cfg.Host)
		if s.zoneDown[zone] {
			key += "/" + strconv.FormatUint(s.rounds, 10)
		}
		for _, h := range Owners(hosts, key, contactsPerZone) {
			targets[h] = true
			if !s.zoneDown[zone] {
				ask(s.peers[h], now)
			}
		}
	}
}

// beatAll adds all hosts of the zone that are not dead.
func beatAll(s *State, targets map[id.Host]bool) {
	for _, h := range s.order {
		if inRing(s, s.peers[h]) {
			targets[h] = true
		}
	}
}

// send notes the heartbeats and returns their targets in order. A host whose
// address is unknown cannot be sent anything.
func send(s *State, now time.Time, targets map[id.Host]bool) []id.Host {
	var beats []id.Host
	for h := range targets {
		p, ok := s.peers[h]
		if !ok || h == s.cfg.Host || p.Address == "" {
			continue
		}
		p.sent = now
		beats = append(beats, h)
	}
	sort.Slice(beats, func(i, j int) bool { return beats[i] < beats[j] })
	return beats
}
