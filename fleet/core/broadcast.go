package core

import (
	"ragwortshunt.example/fleet/fanout"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
)

// broadcast sends a heartbeat, a platform update, a crash report, an endpoint's limit or a
// summary of a service to all hosts of a zone that are not dead. An empty zone stands for all
// zones. Small groups get it directly, large ones by way of relays.
func (s *step) broadcast(zone id.Zone, m message.Message) {
	b := message.Broadcast{Origin: s.cfg.Host, Incarnation: s.cfg.Incarnation, Zone: zone}
	switch m := m.(type) {
	case message.Heartbeat:
		b.Heartbeats = []message.Heartbeat{m}
	case message.PlatformUpdate:
		b.Updates = []message.PlatformUpdate{m}
	case message.CrashReport:
		b.Crashes = []message.CrashReport{m}
	case message.EndpointLimit:
		b.Limits = []message.EndpointLimit{m}
	case message.PaceSummary:
		b.PaceSummaries = []message.PaceSummary{m}
	}
	for _, c := range s.planCopies(member.Reachable(s.member, zone)) {
		if c.Range.IsEmpty() {
			s.send(c.To, m)
			continue
		}
		b.First, b.Last = c.Range.First, c.Range.Last
		s.send(c.To, b)
	}
}

// planCopies plans the copies for hosts that have not had a message yet. The relays differ
// from one message to the next, so that an undetected dead one does not cut a group off.
func (s *step) planCopies(hosts []id.Host) []fanout.Copy {
	return fanout.Plan(hosts, s.seed, func(h id.Host) bool {
		_, suspected := s.suspectUntil[h]
		return !suspected && member.Usable(s.member, h)
	})
}

// handleBroadcast forwards a broadcast to the rest of its range, and handles the message
// that it carries.
func (s *step) handleBroadcast(b message.Broadcast) {
	if b.Origin == s.cfg.Host || member.Stale(s.member, b.Origin, b.Incarnation) {
		return
	}
	s.forwardBroadcast(b)
	for _, hb := range b.Heartbeats {
		s.memberChanges(member.HandleForwarded(s.member, s.now, b.Origin, b.Incarnation, hb))
		s.applyIncarnation()
		s.handleHeartbeatState(b.Origin, hb)
	}
	for _, u := range b.Updates {
		s.handlePlatformUpdate(b.Origin, u)
	}
	for _, c := range b.Crashes {
		s.handleCrashReport(c)
	}
	for _, l := range b.Limits {
		s.handleEndpointLimit(l)
	}
	for _, p := range b.PaceSummaries {
		s.handlePaceSummary(b.Origin, p)
	}
}

func (s *step) forwardBroadcast(b message.Broadcast) {
	r := fanout.Range{First: b.First, Last: b.Last}
	if r.IsEmpty() {
		return
	}
	relays := append([]id.Host{b.Origin, s.cfg.Host}, b.Relays...)
	b.Relays = relays[1:]
	for _, c := range s.planCopies(fanout.Remaining(member.Reachable(s.member, b.Zone), r, relays)) {
		b.First, b.Last = c.Range.First, c.Range.Last
		s.send(c.To, b)
	}
}
