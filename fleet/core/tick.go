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

// freezeThreshold is the gap between two ticks above which the process is considered to
// have been frozen.
const freezeThreshold = time.Second

// hostListIntervalPerPeer is added to Config.HostListInterval for each known host.
const hostListIntervalPerPeer = 20 * time.Millisecond

// startHostListInterval is the interval between two reads of the host list while the host
// starts in relay mode.
const startHostListInterval = 800 * time.Millisecond

// requestScanInterval is the interval between two scans of the open requests. Most
// timeouts that a scan checks are 500 ms or longer, so the delay until the next scan
// matters little.
const requestScanInterval = 50 * time.Millisecond

func (s *step) tick() {
	if !s.lastTick.IsZero() && s.now.Sub(s.lastTick) > freezeThreshold {
		s.log(LogWarn, partPeer, "Process was frozen.")
		s.dropCells()
		s.requestHolds()
	}
	s.excludePause()
	s.lastTick = s.now
	s.tickHosts()
	s.tickMembers()
	s.tickTable()
	s.tickLimits()
	s.claimActions(claim.Tick(s.claims, s.now))
	s.orderActions(order.Tick(s.orders, s.now))
	s.tickCells()
	s.tickRoles()
	s.tickQuarantine()
	s.tickThrottle()
	s.tickPace()
	s.tickNotices()
	s.tickRequests()
	s.tickDrain()
}

func (s *step) tickHosts() {
	if !s.hostsReadAt.IsZero() && s.now.Sub(s.hostsReadAt) < s.hostListInterval() {
		return
	}
	s.hostsReadAt = s.now
	s.addressUnknown = false
	s.emit(ListHosts{Fresh: s.isStarting()})
}

// isStarting reports whether a host in relay mode has started within the last StartWait.
// Many hosts may start and register at the same time, and a host that does not know the
// others yet would acquire all rate shares.
func (s *step) isStarting() bool {
	return s.cfg.Relay && s.now.Sub(s.started) < s.cfg.StartWait
}

// hostListInterval returns the interval between two reads of the host list. It grows with
// the number of hosts, because both the number of reads and the length of the list do.
// It is short if a message has arrived from a host that is not in the list, because the
// address of that host is unknown.
func (s *step) hostListInterval() time.Duration {
	if s.isStarting() {
		return startHostListInterval
	}
	if s.addressUnknown {
		return s.cfg.HostListInterval
	}
	return s.cfg.HostListInterval + time.Duration(member.Count(s.member))*hostListIntervalPerPeer
}

func (s *step) tickLimits() {
	resolved, actions := limit.Tick(s.limit, s.now)
	s.limitActions(actions)
	for _, res := range resolved {
		if r, ok := s.requests[res.Request]; ok && r.stage == StageTokens {
			s.handleLimitDecision(r, res.Decision)
		}
	}
}

func (s *step) tickRequests() {
	if s.now.Before(s.nextRequestScan) {
		return
	}
	s.nextRequestScan = s.now.Add(requestScanInterval)
	for _, r := range s.sortedRequests() {
		if s.expireRequest(r) {
			continue
		}
		switch r.stage {
		case StageQueue:
			s.refreshQueue(r)
		case StagePrefill, StageDecode:
			s.registerHold(r)
			s.checkDecodeEngine(r)
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
