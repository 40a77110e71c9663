package core

import (
	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
)

// partPeer is the log prefix of this part.
const partPeer = "peer"

// partOrder is the log prefix of orders to endpoints.
const partOrder = "order"

func (s *step) hostsListed(ev HostsListed) {
	member.SetList(s.member, s.now, ev.Hosts)
	s.applyHosts()
}

// applyHosts passes the live hosts to the parts that depend on them.
func (s *step) applyHosts() {
	live := make(map[id.Zone][]id.Host, len(s.cfg.Zones))
	for _, z := range s.cfg.Zones {
		live[z] = s.liveIn(z)
	}
	s.limitActions(limit.SetHosts(s.limit, s.now, live))
	s.applyOrders()
}

func (s *step) peerMessage(ev PeerMessage) {
	if member.Stale(s.member, ev.From, ev.Incarnation) {
		s.emit(Log{Level: LogWarn, Part: partPeer, Text: "Message of an old incarnation was ignored.", Host: ev.From})
		return
	}
	changes := member.Heard(s.member, s.now, ev.From, ev.Incarnation)
	s.unsuspect(ev.From)
	if hb, ok := ev.Message.(message.Heartbeat); ok {
		changes = append(changes, member.HandleHeartbeat(s.member, s.now, ev.From, ev.Incarnation, hb)...)
		s.peerVersion(ev.From, hb.TableVersion, hb.ConfirmedAge, hb.ConfirmedAge > 0)
		s.compareSettings(ev.From, hb.Settings)
		s.peerSeen(hb.Seen)
		if hb.Register {
			s.registerAgain(ev.From)
		}
	}
	s.memberChanges(changes)
	if p, known := member.PeerOf(s.member, ev.From); known && p.Address == "" {
		s.unlisted = true
	}
	s.dispatch(ev.From, ev.Message)
}

// compareSettings reports a host whose shared settings differ from the own ones.
func (s *step) compareSettings(from id.Host, digest uint64) {
	if digest == 0 || digest == s.settings {
		delete(s.differing, from)
		return
	}
	if !s.differing[from] {
		s.emit(Log{Level: LogError, Part: partPeer, Text: "Host has other shared settings.", Host: from})
	}
	s.differing[from] = true
}

func (s *step) dispatch(from id.Host, m message.Message) {
	switch m := m.(type) {
	case message.SlotAsk:
		s.slotAsk(from, m)
	case message.SlotGrant:
		s.slotGranted(from, m)
	case message.SlotRefuse:
		s.slotRefused(from, m)
	case message.SlotUpdate:
		s.slotUpdate(from, m)
	case message.SlotHold:
		s.slotHold(from, m)
	case message.TableAsk:
		s.tableAsked(from, m)
	case message.TableGive:
		s.tableGiven(m)
	case message.PlatformGive:
		s.platformGiven(from, m)
	default:
		s.dispatchTokens(from, m)
	}
}

func (s *step) dispatchTokens(from id.Host, m message.Message) {
	switch m := m.(type) {
	case message.TokenAsk:
		s.limitActions(limit.HandleAsk(s.limit, s.now, from, m))
	case message.TokenGive:
		d, actions := limit.HandleGive(s.limit, s.now, from, m)
		s.limitActions(actions)
		if r, ok := s.requests[m.Request]; ok && d != nil && r.stage == StageTokens {
			s.limitDecision(r, d)
		}
	case message.TokenReturn:
		limit.HandleReturn(s.limit, s.now, m)
	case message.ClaimAsk:
		s.claimActions(claim.HandleAsk(s.claims, s.now, from, m, s.wall))
	case message.ClaimReply:
		s.claimActions(claim.HandleReply(s.claims, s.now, m))
	case message.ClaimSettle:
		s.claimActions(claim.Settle(s.claims, s.now, m, s.cfg.Host))
	}
}

// peerFailed passes over a host that refuses connections, so that its cells get
// another scheduler before membership declares it dead.
func (s *step) peerFailed(h id.Host) {
	s.suspect(h, "Host refuses connections.")
}

// suspect passes over a host for a while, and asks others for the slots that it has
// been asked for.
func (s *step) suspect(h id.Host, text string) {
	if _, ok := s.suspects[h]; !ok {
		s.emit(Log{Level: LogWarn, Part: partPeer, Text: text, Host: h})
	}
	s.suspects[h] = s.now.Add(s.cfg.SuspectFor)
	s.dropViews()
	for _, r := range s.sortedRequests() {
		if r.stage == StageQueue && r.host == h {
			s.refreshQueue(r)
		}
	}
}

// unsuspect ends the suspicion of a host that has been heard.
func (s *step) unsuspect(h id.Host) {
	if _, ok := s.suspects[h]; !ok {
		return
	}
	delete(s.suspects, h)
	s.dropViews()
}

func (s *step) memberChanges(changes []member.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.To == message.HostDead || c.Restarted {
			s.hostGone(c.Host)
		}
		if c.Restarted || c.From == message.HostDead {
			s.unlisted = true // its address may have changed
		}
		s.emit(Log{Level: LogInfo, Part: partPeer, Text: changeText(c), Host: c.Host})
	}
	s.applyHosts()
}

func changeText(c member.Change) string {
	switch {
	case c.Restarted:
		return "Host has restarted."
	case c.To == message.HostDead:
		return "Host is dead."
	case c.To == message.HostLeaving:
		return "Host is leaving."
	default:
		return "Host is alive."
	}
}

func (s *step) tickMembers() {
	beats, changes := member.Tick(s.member, s.now)
	s.memberChanges(changes)
	if len(beats) == 0 {
		return
	}
	hb := s.heartbeat()
	hb.ConfirmedAge = s.confirmedAge()
	hb.Reports = member.Reports(s.member)
	hb.Settings = s.settings
	for _, to := range beats {
		s.send(to, hb)
	}
}

// heartbeat returns what every heartbeat of this host carries.
func (s *step) heartbeat() message.Heartbeat {
	hb := message.Heartbeat{Zone: s.cfg.Zone, TableVersion: s.version(), Address: s.cfg.Address}
	if s.draining {
		hb.State = message.HostLeaving
	}
	if s.cfg.Relay {
		hb.Seen = s.table.seen[:]
	}
	return hb
}

// broadcast sends a message to all known hosts but the own one.
func (s *step) broadcast(m message.Message) {
	for _, p := range member.Peers(s.member) {
		if p.Host != s.cfg.Host {
			s.send(p.Host, m)
		}
	}
}
