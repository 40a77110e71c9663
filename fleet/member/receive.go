package member

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

// SetList applies the platform's list of hosts, which lags behind the actual state.
// New hosts count as alive until a monitor reports their death. An empty list is
// ignored. A host that is not listed stays while it sends messages, and is
// forgotten some time after its death.
func SetList(s *State, now time.Time, hosts []object.Host) {
	if len(hosts) == 0 {
		return
	}
	listed := map[id.Host]bool{}
	for _, h := range hosts {
		listed[h.Host] = true
		setListed(s, h)
	}
	for _, h := range append([]id.Host(nil), s.order...) {
		if !listed[h] && h != s.cfg.Host {
			setUnlisted(s, now, s.peers[h])
		}
	}
}

// setListed applies one entry of the list.
func setListed(s *State, h object.Host) {
	p, known := s.peers[h.Host]
	if !known {
		p = add(s, h.Host, h.Zone)
		p.zoneDead = s.zoneSilent[h.Zone]
	}
	p.Address = h.Address
	setCapacity(s, p, h.Capacity)
	p.listed = true
	p.missingSince = time.Time{}
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

// setCapacity records the capacity that a host or the list has stated. 0 is unknown and
// changes nothing.
func setCapacity(s *State, p *peer, capacity float64) {
	isSet := p.Host == s.cfg.Host && s.cfg.Capacity > 0
	if capacity <= 0 || isSet || p.Capacity == capacity {
		return
	}
	p.Capacity = capacity
	invalidate(s, p.Zone)
}

// setUnlisted records that a known host is not listed. A reply from a host of
// another zone is then awaited, because nothing else would detect its death.
func setUnlisted(s *State, now time.Time, p *peer) {
	p.listed = false
	if p.missingSince.IsZero() {
		p.missingSince = now
	}
	if p.Zone != s.cfg.Zone {
		awaitReply(p, now)
	}
	if p.state() == message.HostDead && now.Sub(p.missingSince) >= forgetAfter {
		remove(s, p)
	}
}

// Stale reports whether a message comes from an earlier incarnation of its sender.
// Such a message must be dropped.
func Stale(s *State, from id.Host, inc id.Incarnation) bool {
	p, ok := s.peers[from]
	return ok && inc < p.Incarnation
}

// ExpectReply records that a host has been sent a message that it should answer. If
// the host stays silent, it is sent heartbeats and then counts as dead.
func ExpectReply(s *State, now time.Time, h id.Host) {
	p, ok := s.peers[h]
	if !ok || h == s.cfg.Host || p.state() == message.HostDead {
		return
	}
	awaitReply(p, now)
}

// awaitReply records that a message from a host is due from now on, unless one is
// already awaited.
func awaitReply(p *peer, now time.Time) {
	if p.awaitingSince.IsZero() {
		p.awaitingSince = now
	}
}

// LastHeard returns the time of the last message from a host, or the zero time.
func LastHeard(s *State, h id.Host) time.Time {
	if p, ok := s.peers[h]; ok {
		return p.lastHeard
	}
	return time.Time{}
}

// RecordMessage records any message from a host as evidence that it is alive. Stale
// messages and messages of unknown hosts, whose zone is not known, have no effect.
func RecordMessage(s *State, now time.Time, from id.Host, inc id.Incarnation) []Change {
	p, ok := s.peers[from]
	if !ok || from == s.cfg.Host || Stale(s, from, inc) {
		return nil
	}
	before := p.state()
	wasDead := p.dead
	restarted := adoptIncarnation(p, inc)
	p.lastHeard = now
	s.lastHeard = now
	p.awaitingSince = time.Time{}
	p.suspectedAt = time.Time{}
	p.dead = false
	p.probeInterval = 0
	changes := recordZoneHeard(s, now, p)
	if !wasDead && !restarted {
		return append(changes, recordChange(s, p, before, false)...)
	}
	changes = append(changes, recordChange(s, p, before, restarted)...)
	if announce(s, now, p) {
		s.newcomers[p.Host] = true
	}
	return changes
}

// recordZoneHeard records a message from another zone. If the zone was silent, all
// its hosts that were marked dead with it return.
func recordZoneHeard(s *State, now time.Time, from *peer) []Change {
	if from.Zone == s.cfg.Zone {
		return nil
	}
	s.zoneLastHeard[from.Zone] = now
	if !s.zoneSilent[from.Zone] {
		return nil
	}
	delete(s.zoneSilent, from.Zone)
	var changes []Change
	for _, h := range s.order {
		p := s.peers[h]
		if p.Zone != from.Zone {
			continue
		}
		before := p.state()
		p.zoneDead = false
		if p != from {
			changes = append(changes, recordChange(s, p, before, false)...)
		}
	}
	return changes
}

// adoptIncarnation sets a higher incarnation and reports whether the host has
// restarted.
func adoptIncarnation(p *peer, inc id.Incarnation) bool {
	if inc <= p.Incarnation {
		return false
	}
	restarted := p.Incarnation != 0
	p.Incarnation = inc
	p.announcedLeaving = false
	p.suspectedAt = time.Time{}
	return restarted
}

// HandleHeartbeat processes a heartbeat and its reports. A sender that awaits a reply or
// is not a ring neighbour gets a heartbeat, unless it was sent one within the last three
// quarters of Config.HeartbeatInterval: that one may have caused this heartbeat.
func HandleHeartbeat(s *State, now time.Time, from id.Host, inc id.Incarnation, m message.Heartbeat) []Change {
	if from == s.cfg.Host || Stale(s, from, inc) {
		return nil
	}
	if _, ok := s.peers[from]; !ok {
		p := add(s, from, m.Zone)
		p.dead = true
	}
	changes := RecordMessage(s, now, from, inc)
	changes = append(changes, handleSelfState(s, now, s.peers[from], m.State)...)
	p := s.peers[from]
	setCapacity(s, p, m.Capacity)
	if p.Address == "" {
		// The list may have been unavailable since this host started. Its entry
		// replaces the address later.
		p.Address = m.Address
	}
	buildRing(s, now)
	if (m.AwaitsReply || !s.neighbours[from]) && now.Sub(p.lastSent) >= s.cfg.HeartbeatInterval*3/4 {
		s.pendingReplies[from] = true
	}
	for _, r := range m.Reports {
		if m.Zone == s.cfg.Zone || r.Host == s.cfg.Host {
			changes = append(changes, handleReport(s, now, r)...)
		}
	}
	return changes
}

// HandleForwarded processes a heartbeat that has reached this host by way of a relay.
// It proves that the sender was alive, but not that a direct message would arrive.
func HandleForwarded(s *State, now time.Time, from id.Host, inc id.Incarnation, m message.Heartbeat) []Change {
	if from == s.cfg.Host || m.Zone != s.cfg.Zone || Stale(s, from, inc) {
		return nil
	}
	changes := handleReport(s, now, message.HostReport{Host: from, Incarnation: inc, State: m.State})
	if p, ok := s.peers[from]; ok {
		setCapacity(s, p, m.Capacity)
		if p.Address == "" {
			p.Address = m.Address
		}
	}
	for _, r := range m.Reports {
		changes = append(changes, handleReport(s, now, r)...)
	}
	return changes
}

// handleSelfState applies the state that a host reports about itself. A host reports
// HostDead in its last message.
func handleSelfState(s *State, now time.Time, p *peer, state message.HostState) []Change {
	if state == message.HostAlive {
		return nil
	}
	before := p.state()
	p.announcedLeaving = true
	if state == message.HostDead {
		p.dead = true
	}
	changes := recordChange(s, p, before, false)
	if changes != nil {
		announce(s, now, p)
	}
	return changes
}

// handleReport applies a monitor's report about a host of this host's zone.
func handleReport(s *State, now time.Time, r message.HostReport) []Change {
	if r.Host == s.cfg.Host {
		handleSelfReport(s, r)
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
		return handleDeathReport(s, now, p, r)
	}
	return handleAliveReport(s, now, p, r)
}

// handleSelfReport contradicts a report of this host's own death with a heartbeat
// to all hosts of the zone. A report of a higher incarnation is about a former process.
func handleSelfReport(s *State, r message.HostReport) {
	if r.Incarnation > s.cfg.Incarnation {
		raiseIncarnation(s, r.Incarnation)
		return
	}
	if r.State == message.HostDead && r.Incarnation >= s.cfg.Incarnation {
		s.broadcastPending = true
	}
}

// handleDeathReport applies a report of a death. A recent message from the host
// outweighs the report: the host then counts as dead only if it stays silent, and a
// monitor contradicts the report.
func handleDeathReport(s *State, now time.Time, p *peer, r message.HostReport) []Change {
	before := p.state()
	if r.Incarnation > p.Incarnation {
		restarted := adoptIncarnation(p, r.Incarnation)
		p.dead = true
		return recordChange(s, p, before, restarted)
	}
	if p.dead {
		return nil
	}
	if now.Sub(p.lastHeard) < 2*s.cfg.HeartbeatInterval {
		p.suspectedAt = now
		announce(s, now, p)
		return nil
	}
	p.dead = true
	return recordChange(s, p, before, false)
}

// handleAliveReport applies a report of a host that is alive or leaving. A monitor
// that considers the host dead trusts its own observation and probes the host
// again.
func handleAliveReport(s *State, now time.Time, p *peer, r message.HostReport) []Change {
	before := p.state()
	newer := r.Incarnation > p.Incarnation
	if p.dead && !newer && !p.lastHeard.IsZero() && isMonitorOf(s, now, p.Host) {
		p.nextProbe = now
		return nil
	}
	restarted := adoptIncarnation(p, r.Incarnation)
	p.dead = false
	p.suspectedAt = time.Time{}
	p.probeInterval = 0
	if r.State == message.HostLeaving {
		p.announcedLeaving = true
	}
	return recordChange(s, p, before, restarted)
}

// announce reports a host of this host's zone to the zone if this host monitors it, and
// returns whether it does.
func announce(s *State, now time.Time, p *peer) bool {
	if p.Zone != s.cfg.Zone || !isMonitorOf(s, now, p.Host) {
		return false
	}
	addReport(s, p)
	return true
}

// report is a host report that heartbeats currently carry.
type report struct {
	message.HostReport
	roundsLeft int // heartbeat rounds that still carry the report
}

// addReport queues a report and requests that it be sent to the whole zone at once.
func addReport(s *State, p *peer) {
	r := report{roundsLeft: reportRounds + 1}
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
	s.broadcastPending = true
}
