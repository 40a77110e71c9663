package member

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Incarnation returns the incarnation of this host. It starts as Config.Incarnation, and rises
// if other hosts know this host by a higher one: the clock from which a process derives its
// incarnation may have been set back since the start of its predecessor.
func Incarnation(s *State) id.Incarnation { return s.cfg.Incarnation }

// CorrectStale returns a report for a host whose message was stale, and whether it is to be
// sent now. The report names the incarnation by which this host knows the sender, so that a
// restarted sender takes a higher one. A message that its former process sent before its end
// causes a report without effect.
func CorrectStale(s *State, now time.Time, from id.Host) (message.HostReport, bool) {
	p, ok := s.peers[from]
	if !ok || from == s.cfg.Host || now.Sub(p.correctedAt) < s.cfg.HeartbeatInterval/2 {
		return message.HostReport{}, false
	}
	p.correctedAt = now
	return message.HostReport{Host: p.Host, Incarnation: p.Incarnation, State: p.state()}, true
}

// raiseIncarnation takes the incarnation above that of a former process of this host, and
// announces it.
func raiseIncarnation(s *State, former id.Incarnation) {
	s.cfg.Incarnation = former + 1
	s.peers[s.cfg.Host].Incarnation = s.cfg.Incarnation
	s.broadcastPending = true
}
