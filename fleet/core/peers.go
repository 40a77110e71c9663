package core

import (
	"slices"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/quarantine"
)

// partPeer marks log lines about other hosts and about this host's own state.
const partPeer = "peer"

// partOrder marks log lines about orders to endpoints.
const partOrder = "order"

func (s *step) hostsListed(ev HostsListed) {
	s.hostsKnown = s.hostsKnown || len(ev.Hosts) > 0
	member.SetList(s.member, s.now, ev.Hosts)
	s.applyHosts()
	s.mergePublishedQuarantine(ev.Hosts)
}

// applyHosts passes the live hosts to rate limiting and to the order lease.
func (s *step) applyHosts() {
	live := make(map[id.Zone][]id.Host, len(s.cfg.Zones))
	holders := make(map[id.Zone][]id.Host, len(s.cfg.Zones))
	for _, z := range s.cfg.Zones {
		live[z] = s.liveIn(z)
		holders[z] = s.strongIn(z)
	}
	s.limitActions(limit.SetHosts(s.limit, s.now, live, holders))
	s.applyOrders()
}

func (s *step) peerMessage(ev PeerMessage) {
	if member.Stale(s.member, ev.From, ev.Incarnation) {
		s.emit(Log{Level: LogWarn, Component: partPeer, Text: "Message of an old incarnation was ignored.", Host: ev.From})
		s.correctStale(ev.From)
		return
	}
	changes := member.RecordMessage(s.member, s.now, ev.From, ev.Incarnation)
	s.clearSuspicion(ev.From)
	if hb, ok := ev.Message.(message.Heartbeat); ok {
		changes = append(changes, member.HandleHeartbeat(s.member, s.now, ev.From, ev.Incarnation, hb)...)
		s.applyIncarnation()
		s.handleHeartbeatState(ev.From, hb)
	}
	s.memberChanges(changes)
	s.sendLimits(ev.From, ev.Incarnation)
	if p, known := member.PeerOf(s.member, ev.From); known && p.Address == "" {
		s.addressUnknown = true
	}
	s.dispatch(ev.From, ev.Message)
}

// correctStale tells a host whose message was stale by which incarnation this host knows it.
func (s *step) correctStale(from id.Host) {
	r, ok := member.CorrectStale(s.member, s.now, from)
	if !ok {
		return
	}
	hb := s.heartbeat()
	hb.Reports = []message.HostReport{r}
	s.send(from, hb)
}

// applyIncarnation makes this host send its messages under the incarnation that it has taken.
func (s *step) applyIncarnation() {
	inc := member.Incarnation(s.member)
	if inc == s.cfg.Incarnation {
		return
	}
	s.cfg.Incarnation = inc
	s.log(LogWarn, partPeer, "Other hosts knew a higher incarnation of this host. The clock may have been set back.")
	s.emit(SetIncarnation{Incarnation: inc})
}

// handleHeartbeatState handles what a heartbeat says about its sender apart from
// membership.
func (s *step) handleHeartbeatState(from id.Host, hb message.Heartbeat) {
	s.handlePeerVersion(from, hb.TableVersion, hb.ConfirmedAge, hb.ConfirmedAge > 0)
	s.compareSettings(from, hb.Settings)
	s.handlePeerRevisions(hb.StoreEra, hb.SeenRevisions, nil)
	s.mergeQuarantine(hb.Quarantine)
	if hb.Register {
		s.resetRegistrations(from)
	}
}

// compareSettings logs once that the shared settings of a host differ from those of
// this host. A digest of 0 means that the host did not report its settings.
func (s *step) compareSettings(from id.Host, digest uint64) {
	if digest == 0 || digest == s.settingsDigest {
		delete(s.differingHosts, from)
		return
	}
	if !s.differingHosts[from] {
		s.emit(Log{Level: LogError, Component: partPeer, Text: "Host has other shared settings.", Host: from})
	}
	s.differingHosts[from] = true
}

func (s *step) dispatch(from id.Host, m message.Message) {
	switch m := m.(type) {
	case message.SlotRequest:
		s.handleSlotRequest(from, m)
	case message.SlotGrant:
		s.slotGranted(from, m)
	case message.SlotRefusal:
		s.slotRefused(from, m)
	case message.SlotUpdate:
		s.slotUpdate(from, m)
	case message.SlotHold:
		s.slotHold(from, m)
	case message.EnginePace:
		s.enginePaced(m)
	case message.SlotQuery:
		s.handleSlotQuery(from, m)
	case message.TableRequest:
		s.sendTable(from, m)
	case message.TableReply:
		s.installPeerTable(m)
	case message.PlatformUpdate:
		s.handlePlatformUpdate(from, m)
	case message.Broadcast:
		s.handleBroadcast(m)
	case message.CrashReport:
		s.handleCrashReport(m)
	case message.CrashRebuttal:
		s.handleCrashRebuttal(m)
	case message.EndpointLimit:
		s.handleEndpointLimit(m)
	case message.PaceReport:
		s.handlePaceReport(m)
	case message.PaceSummary:
		s.handlePaceSummary(from, m)
	default:
		s.dispatchTokens(from, m)
	}
}

func (s *step) dispatchTokens(from id.Host, m message.Message) {
	switch m := m.(type) {
	case message.TokenRequest:
		s.limitActions(limit.HandleRequest(s.limit, s.now, from, m))
	case message.TokenTransfer:
		d, actions := limit.HandleTransfer(s.limit, s.now, from, m)
		s.limitActions(actions)
		if r, ok := s.requests[m.Request]; ok && d != nil && r.stage == StageTokens {
			s.handleLimitDecision(r, d)
		}
	case message.TokenReturn:
		limit.HandleReturn(s.limit, s.now, m)
	case message.ClaimRequest:
		s.claimActions(claim.HandleRequest(s.claims, s.now, from, m, s.wall))
	case message.ClaimReply:
		s.claimActions(claim.HandleReply(s.claims, s.now, m))
	case message.ClaimSettle:
		s.claimActions(claim.Settle(s.claims, s.now, m, s.cfg.Host))
	}
}

// peerFailed excludes a host that refuses connections, so that its cells get another
// scheduler before membership declares it dead.
func (s *step) peerFailed(h id.Host) {
	s.suspect(h, "Host refuses connections.")
}

// suspect excludes a host from placement for SuspectDuration, and sends the
// SlotRequests that it has not answered to other schedulers.
func (s *step) suspect(h id.Host, text string) {
	if _, ok := s.suspectUntil[h]; !ok {
		s.emit(Log{Level: LogWarn, Component: partPeer, Text: text, Host: h})
	}
	s.suspectUntil[h] = s.now.Add(s.cfg.SuspectDuration)
	delete(s.limitsSentTo, h)
	s.invalidateViews()
	for _, r := range s.sortedRequests() {
		if r.stage == StageQueue && r.schedulerHost == h {
			s.refreshQueue(r)
		}
	}
}

// clearSuspicion ends the suspicion of a host after a message from it.
func (s *step) clearSuspicion(h id.Host) {
	if _, ok := s.suspectUntil[h]; !ok {
		return
	}
	delete(s.suspectUntil, h)
	s.invalidateViews()
}

func (s *step) memberChanges(changes []member.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.To == message.HostDead || c.Restarted {
			s.releaseHostWork(c.Host)
			delete(s.limitsSentTo, c.Host)
		}
		if c.Restarted || c.From == message.HostDead {
			s.addressUnknown = true // its address may have changed
		}
		s.emit(Log{Level: LogInfo, Component: partPeer, Text: changeText(c), Host: c.Host})
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
	heartbeats, changes := member.Tick(s.member, s.now)
	s.memberChanges(changes)
	if len(heartbeats.To) == 0 && !heartbeats.Broadcast {
		return
	}
	hb := s.heartbeat()
	hb.ConfirmedAge = s.confirmedAge()
	hb.Reports = member.Reports(s.member)
	hb.Settings = s.settingsDigest
	for _, to := range heartbeats.To {
		s.send(to.Host, s.heartbeatFor(to, hb))
	}
	if heartbeats.Broadcast {
		s.broadcast(s.cfg.Zone, hb)
	}
}

// heartbeatFor returns the variant of a heartbeat for one recipient.
func (s *step) heartbeatFor(to member.Recipient, hb message.Heartbeat) message.Heartbeat {
	hb.AwaitsReply = to.AwaitsReply
	if to.Newcomer {
		hb.Reports = slices.Concat(hb.Reports, member.Departed(s.member))
	}
	return hb
}

// heartbeat returns a heartbeat with the fields that every heartbeat of this host
// carries.
func (s *step) heartbeat() message.Heartbeat {
	hb := message.Heartbeat{
		Zone: s.cfg.Zone, TableVersion: s.version(), Address: s.cfg.Address, Capacity: s.cfg.Member.Capacity,
		Quarantine: quarantine.Entries(s.quarantine, s.now),
	}
	if s.draining {
		hb.State = message.HostLeaving
	}
	if s.cfg.Relay {
		hb.SeenRevisions = s.namedRevisions()
		hb.StoreEra = s.storeEra
	}
	return hb
}
