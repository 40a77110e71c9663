package core

import (
	"sort"
	"time"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/order"
)

// frozenAfter is the gap between two ticks from which the process counts as
// having been frozen.
const frozenAfter = time.Second

// hostsPerPeer is added to the time between two readings of the host list for each
// known host.
const hostsPerPeer = 20 * time.Millisecond

// startHostsInterval is the time between two readings while many hosts start.
const startHostsInterval = 500 * time.Millisecond

// requestInterval is the time between two passes over the running requests. The
// times that a pass checks are 500 ms and more.
const requestInterval = 50 * time.Millisecond

func (s *step) tick() {
	if !s.ticked.IsZero() && s.now.Sub(s.ticked) > frozenAfter {
		s.log(LogWarn, partPeer, "Process was frozen.")
		s.dropCells()
		s.requestHolds()
	}
	s.ticked = s.now
	s.tickHosts()
	s.tickMembers()
	s.tickTable()
	s.tickLimits()
	s.claimActions(claim.Tick(s.claims, s.now))
	s.orderActions(order.Tick(s.orders, s.now))
	s.tickCells()
	s.tickRoles()
	s.tickRequests()
	s.tickDrain()
}

func (s *step) tickHosts() {
	if !s.hostsRead.IsZero() && s.now.Sub(s.hostsRead) < s.hostsInterval() {
		return
	}
	s.hostsRead = s.now
	s.unlisted = false
	s.emit(ListHosts{Fresh: s.starting()})
}

// starting tells whether the host may be one of many that have just started and
// register at the same moment. A host that does not know the others would take all
// shares.
func (s *step) starting() bool {
	return s.cfg.Relay && s.now.Sub(s.started) < s.cfg.StartWait
}

// hostsInterval is the time between two readings of the host list. It grows with
// the number of hosts, as both the readings and the length of the list do. A host
// that has been heard but not listed has no address, so that the list is read soon.
func (s *step) hostsInterval() time.Duration {
	if s.starting() {
		return startHostsInterval
	}
	if s.unlisted {
		return s.cfg.HostsInterval
	}
	return s.cfg.HostsInterval + time.Duration(member.Count(s.member))*hostsPerPeer
}

func (s *step) tickLimits() {
	resolved, actions := limit.Tick(s.limit, s.now)
	s.limitActions(actions)
	for _, res := range resolved {
		if r, ok := s.requests[res.Request]; ok && r.stage == StageTokens {
			s.limitDecision(r, res.Decision)
		}
	}
}

func (s *step) tickRequests() {
	if s.now.Before(s.nextPass) {
		return
	}
	s.nextPass = s.now.Add(requestInterval)
	for _, r := range s.sortedRequests() {
		if s.pastDeadline(r) {
			continue
		}
		switch r.stage {
		case StageQueue:
			s.refreshQueue(r)
		case StagePrefill, StageDecode:
			s.registerHold(r)
			s.checkStalled(r)
		case StageTokens, StageClaim, StageCall:
		}
	}
}

// sortedRequests returns the requests in the order of their IDs, so that
// effects do not depend on the iteration order of maps.
func (st *State) sortedRequests() []*request {
	ids := make([]id.Request, 0, len(st.requests))
	for req := range st.requests {
		ids = append(ids, req)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	out := make([]*request, 0, len(ids))
	for _, req := range ids {
		out = append(out, st.requests[req])
	}
	return out
}

// drain starts a graceful shutdown: no new requests, running ones go on, shares
// are handed over at once.
func (s *step) drain() {
	if s.draining {
		return
	}
	s.draining = true
	member.SetLeaving(s.member)
	s.limitActions(limit.Drain(s.limit, s.now))
	s.applyHosts()
	s.broadcast(s.heartbeat())
	s.log(LogInfo, partPeer, "Host is leaving.")
}

// tickDrain ends a graceful shutdown when no request, share or cell is in use. It
// does not wait for long for the hand-over of shares, which needs the platform:
// shares that are not handed over lapse.
func (s *step) tickDrain() {
	if !s.draining || s.stopped || len(s.requests) > 0 {
		return
	}
	if s.lastEnd.IsZero() {
		s.lastEnd = s.now
	}
	handedOver := limit.Drained(s.limit) && !s.cellsInUse()
	if !handedOver && s.now.Sub(s.lastEnd) < s.cfg.HandOver {
		return
	}
	s.stopped = true
	s.emit(Stopped{})
}

// cellsInUse tells whether an own cell has had a message lately. Other hosts
// have moved to the next scheduler when it has not.
func (s *step) cellsInUse() bool {
	for _, c := range s.scheduler.cells {
		if s.now.Sub(c.used) < s.cfg.AskRepeat*2 {
			return true
		}
	}
	return false
}
