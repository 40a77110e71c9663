package member

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

// SetList takes over the platform's list of hosts, which lags behind the truth.
// New hosts are alive on trial. An empty list is ignored. A host that the list
// lacks stays as long as it is heard and is forgotten some time after its death.
func SetList(s *State, now time.Time, hosts []object.Host) {
	if len(hosts) == 0 {
		return
	}
	listed := map[id.Host]bool{}
	for _, h := range hosts {
		listed[h.Host] = true
		setListed(s, now, h)
	}
	for _, h := range append([]id.Host(nil), s.order...) {
		if !listed[h] && h != s.cfg.Host {
			setUnlisted(s, now, s.peers[h])
		}
	}
}

// setListed takes over one entry of the list.
func setListed(s *State, now time.Time, h object.Host) {
	p, known := s.peers[h.Host]
	if !known {
		p = add(s, h.Host, h.Zone)
		p.zoneDead = s.zoneDown[h.Zone]
		if h.Zone == s.cfg.Zone {
			ask(p, now)
		}
	}
	p.Address = h.Address
	p.listed = true
	p.missing = time.Time{}
	if p.listLeaving != h.Leaving {
		p.listLeaving = h.Leaving
		invalidate(s, p.Zone)
	}
	if p.Zone != h.Zone && h.Host != s.cfg.Host {
		invalidate(s, p.Zone)
		p.Zone = h.Zone
		invalidate(s, p.Zone)
	}
}

// setUnlisted notes that the list lacks a known host. A host of another zone is
// asked for a sign of life, as nothing else would notice its end.
func setUnlisted(s *State, now time.Time, p *peer) {
	p.listed = false
	if p.missing.IsZero() {
		p.missing = now
	}
	if p.Zone != s.cfg.Zone {
		ask(p, now)
	}
	if p.state() == message.HostDead && now.Sub(p.missing) >= forgetAfter {
		remove(s, p)
	}
}

// Stale reports whether a message comes from an earlier incarnation of its
// sender. Such a message must be dropped.
func Stale(s *State, from id.Host, inc id.Incarnation) bool {
	p, ok := s.peers[from]
	return ok && inc < p.Incarnation
}

// Contacted notes that a host has been sent a message that it should answer. If
// it stays silent it is asked with heartbeats and then counts as dead.
func Contacted(s *State, now time.Time, h id.Host) {
	p, ok := s.peers[h]
	if !ok || h == s.cfg.Host || p.state() == message.HostDead {
		return
	}
	ask(p, now)
}

// ask starts to wait for a sign of life, unless the wait has begun already.
func ask(p *peer, now time.Time) {
	if p.asked.IsZero() {
		p.asked = now
	}
}

// HeardAt returns when a host was last heard, or the zero time.
func HeardAt(s *State, h id.Host) time.Time {
	if p, ok := s.peers[h]; ok {
		return p.heard
	}
	return time.Time{}
}

// Heard takes any message from a host as a proof of life. Stale messages and
// those of hosts whose zone is unknown have no effect.
func Heard(s *State, now time.Time, from id.Host, inc id.Incarnation) []Change {
	p, ok := s.peers[from]
	if !ok || from == s.cfg.Host || Stale(s, from, inc) {
		return nil
	}
	before := p.state()
	silent := p.dead
	restarted := adopt(p, inc)
	p.heard = now
	p.asked = time.Time{}
	p.suspected = time.Time{}
	p.dead = false
	p.probeEvery = 0
	changes := heardZone(s, now, p)
	if !silent && !restarted {
		return append(changes, changed(s, p, before, false)...)
	}
	changes = append(changes, changed(s, p, before, restarted)...)
	announce(s, now, p)
	return changes
}

// heardZone notes a sign of life of another zone. If the zone was silent, all
// its hosts that were given up with it return.
func heardZone(s *State, now time.Time, from *peer) []Change {
	if from.Zone == s.cfg.Zone {
		return nil
	}
	s.zoneHeard[from.Zone] = now
	if !s.zoneDown[from.Zone] {
		return nil
	}
	delete(s.zoneDown, from.Zone)
	var changes []Change
	for _, h := range s.order {
		p := s.peers[h]
		if p.Zone != from.Zone {
			continue
		}
		before := p.state()
		p.zoneDead = false
		if p != from {
			changes = append(changes, changed(s, p, before, false)...)
		}
	}
	return changes
}

// adopt takes over a higher incarnation and reports whether the host has restarted.
func adopt(p *peer, inc id.Incarnation) bool {
	if inc <= p.Incarnation {
		return false
	}
	restarted := p.Incarnation != 0
	p.Incarnation = inc
	p.beatLeaving = false
	p.suspected = time.Time{}
	return restarted
}

// HandleHeartbeat takes over a heartbeat with its reports. A sender that is no
// ring neighbour is answered, unless it was sent a heartbeat within most of the
// last beat: that one may have caused this heartbeat.
func HandleHeartbeat(s *State, now time.Time, from id.Host, inc id.Incarnation, m message.Heartbeat) []Change {
	if from == s.cfg.Host || Stale(s, from, inc) {
		return nil
	}
	if _, ok := s.peers[from]; !ok {
		p := add(s, from, m.Zone)
		p.dead = true
	}
	changes := Heard(s, now, from, inc)
	changes = append(changes, takeState(s, now, s.peers[from], m.State)...)
	p := s.peers[from]
	if p.Address == "" {
		// The list may be out of reach since this host started. Its entry replaces
		// the address later.
		p.Address = m.Address
	}
	buildRing(s, now)
	if !s.near[from] && now.Sub(p.sent) >= s.cfg.Beat*3/4 {
		s.pongs[from] = true
	}
	if m.Zone != s.cfg.Zone {
		return changes
	}
	for _, r := range m.Reports {
		changes = append(changes, takeReport(s, now, r)...)
	}
	return changes
}

// takeState takes over what a host says of itself. HostDead is its last message.
func takeState(s *State, now time.Time, p *peer, state message.HostState) []Change {
	if state == message.HostAlive {
		return nil
	}
	before := p.state()
	p.beatLeaving = true
	if state == message.HostDead {
		p.dead = true
	}
	changes := changed(s, p, before, false)
	if changes != nil {
		announce(s, now, p)
	}
	return changes
}

// takeReport takes over the report of a monitor on a host of the own zone.
func takeReport(s *State, now time.Time, r message.HostReport) []Change {
	if r.Host == s.cfg.Host {
		takeOwnReport(s, r)
		return nil
	}
	p, ok := s.peers[r.Host]
	if !ok {
		if r.State == message.HostDead {
			return nil
		}
		p = add(s, r.Host, s.cfg.Zone)
		p.dead = true
	}
	if p.Zone != s.cfg.Zone || r.Incarnation < p.Incarnation {
		return nil
	}
	if r.State == message.HostDead {
		return takeDeath(s, now, p, r)
	}
	return takeLife(s, now, p, r)
}

// takeOwnReport contradicts a report of the own death with a heartbeat to all.
func takeOwnReport(s *State, r message.HostReport) {
	if r.State == message.HostDead && r.Incarnation >= s.cfg.Incarnation {
		s.broadcast = true
	}
}

// takeDeath takes over a report of a death. Fresh evidence of life outweighs it:
// the death then counts only if the host stays silent, and a monitor contradicts.
func takeDeath(s *State, now time.Time, p *peer, r message.HostReport) []Change {
	before := p.state()
	if r.Incarnation > p.Incarnation {
		restarted := adopt(p, r.Incarnation)
		p.dead = true
		return changed(s, p, before, restarted)
	}
	if p.dead {
		return nil
	}
	if now.Sub(p.heard) < 2*s.cfg.Beat {
		p.suspected = now
		announce(s, now, p)
		return nil
	}
	p.dead = true
	return changed(s, p, before, false)
}

// takeLife takes over a report of a living or leaving host. A monitor that holds
// the host for dead trusts its own evidence and asks the host again.
func takeLife(s *State, now time.Time, p *peer, r message.HostReport) []Change {
	before := p.state()
	newer := r.Incarnation > p.Incarnation
	if p.dead && !newer && !p.heard.IsZero() && monitors(s, now, p.Host) {
		p.nextProbe = now
		return nil
	}
	restarted := adopt(p, r.Incarnation)
	p.dead = false
	p.suspected = time.Time{}
	p.probeEvery = 0
	if r.State == message.HostLeaving {
		p.beatLeaving = true
	}
	return changed(s, p, before, restarted)
}

// announce reports a host of the own zone to the zone if this host is its monitor.
func announce(s *State, now time.Time, p *peer) {
	if p.Zone != s.cfg.Zone || !monitors(s, now, p.Host) {
		return
	}
	addReport(s, p)
}

// addReport queues a report and has it sent to the whole zone at once.
func addReport(s *State, p *peer) {
	r := report{left: reportRounds + 1}
	r.HostReport = message.HostReport{Host: p.Host, Incarnation: p.Incarnation, State: p.state()}
	kept := s.reports[:0]
	for _, old := range s.reports {
		if old.Host != p.Host {
			kept = append(kept, old)
		}
	}
	s.reports = append(kept, r)
	if len(s.reports) > maxReports {
		s.reports = s.reports[len(s.reports)-maxReports:]
	}
	s.broadcast = true
}
