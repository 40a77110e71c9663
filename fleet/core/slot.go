package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

const (
	waitReportTTL          = 2 * time.Second        // how long a reported wait is used
	spillThreshold         = 100 * time.Millisecond // local wait above which cells of unknown wait are tried
	exploreOneIn           = 8                      // one of this many requests tries a cell of unknown wait
	zoneAckTimeout         = 100 * time.Millisecond // within which a scheduler in another zone acknowledges a SlotRequest
	assumedUnreachableWait = time.Minute            // assumed for a cell whose scheduler did not acknowledge a SlotRequest
	maxRefusals            = 3                      // refusals by cells after which the request is refused
	refusalBackoff         = 100 * time.Millisecond // minimum Retry-After of a refusal
)

// cellKey identifies one cell: a partition of the endpoints of one model in one zone.
type cellKey struct {
	Zone      id.Zone
	Model     id.Model
	CellIndex int
}

// String returns the key by which the cell's scheduler host is chosen with rendezvous
// hashing.
func (k cellKey) String() string {
	return fmt.Sprintf("cell/%s/%s/%d", k.Zone, k.Model, k.CellIndex)
}

// cellLevel identifies the queue of one cell at one priority level and above.
type cellLevel struct {
	cell  cellKey
	level message.Level
}

// cellWaitReport is the last expected wait that a cell's scheduler reported for a level.
type cellWaitReport struct {
	wait       time.Duration
	receivedAt time.Time
}

// requestSlot starts a new attempt: it requests slots from the scheduler of the best
// cell.
func (s *step) requestSlot(r *request) {
	if s.reauthorize(r) {
		return
	}
	r.stage = StageQueue
	r.attempt++
	r.decodeFrom = r.delivered
	r.dispatched = false
	key, ok := s.chooseCell(r)
	if !ok {
		if !s.resumeLater(r, false) {
			s.refuse(r, CodeNoEndpoint, "no endpoint serves the model", time.Second)
		}
		return
	}
	r.cell = key
	r.queuedAt = s.now
	s.sendSlotRequest(r)
}

// chooseCell returns the cell with the shortest expected wait, where cells in other
// zones have a penalty. If this host's zone is slow, one in exploreOneIn requests tries
// a cell of unknown wait, so that reported waits stay current.
func (s *step) chooseCell(r *request) (cellKey, bool) {
	keys := s.cellsOf(r.route.Model)
	if len(keys) == 0 {
		return cellKey{}, false
	}
	if s.cfg.CellSelection == CellsLocalZone {
		keys = s.localCells(keys)
	}
	best, bestWait := keys[0], time.Duration(-1)
	h := xxhash.Sum64String(string(r.Request)) + uint64(r.attempt) + uint64(r.refusals)
	localWait := s.shortestLocalWait(keys, r.level)
	for i := range keys {
		k := keys[(int(h%uint64(len(keys)))+i)%len(keys)]
		w := s.cellWait(cellLevel{k, r.level}, localWait, h)
		if slices.Contains(r.triedCells, k) {
			w += time.Hour
		}
		if bestWait < 0 || w < bestWait {
			best, bestWait = k, w
		}
	}
	return best, true
}

// cellWait returns the expected wait in a cell at a level, as seen from this host.
func (s *step) cellWait(k cellLevel, localWait time.Duration, h uint64) time.Duration {
	if s.cfg.CellSelection == CellsRoundRobin {
		return 0
	}
	v, known := s.cells[k]
	fresh := known && s.now.Sub(v.receivedAt) < waitReportTTL
	if k.cell.Zone == s.cfg.Zone {
		if fresh {
			return v.wait
		}
		return 0
	}
	if fresh {
		return v.wait + s.cfg.RemoteZonePenalty
	}
	if localWait > spillThreshold && h%exploreOneIn == 0 {
		return 0
	}
	return localWait + s.cfg.RemoteZonePenalty
}

// localCells returns the cells of this host's zone, or all cells if it has none.
func (s *step) localCells(keys []cellKey) []cellKey {
	var local []cellKey
	for _, k := range keys {
		if k.Zone == s.cfg.Zone {
			local = append(local, k)
		}
	}
	if len(local) == 0 {
		return keys
	}
	return local
}

// shortestLocalWait returns the shortest expected wait at a level in this host's zone.
func (s *step) shortestLocalWait(keys []cellKey, level message.Level) time.Duration {
	best := time.Duration(-1)
	for _, k := range keys {
		if k.Zone != s.cfg.Zone {
			continue
		}
		w := time.Duration(0)
		if v, ok := s.cells[cellLevel{k, level}]; ok && s.now.Sub(v.receivedAt) < waitReportTTL {
			w = v.wait
		}
		if best < 0 || w < best {
			best = w
		}
	}
	return max(best, 0)
}

func (s *step) sendSlotRequest(r *request) {
	r.schedulerHost = s.schedulerOf(r.cell)
	r.lastSlotRequest = s.now
	if r.schedulerHost == "" {
		return
	}
	r.addTrace(s.now, "attempt %d asks %s for %s", r.attempt, r.schedulerHost, r.cell)
	member.ExpectReply(s.member, s.now, r.schedulerHost)
	s.send(r.schedulerHost, message.SlotRequest{
		Request:            r.Request,
		Attempt:            r.attempt,
		Account:            r.account,
		Model:              r.route.Model,
		Class:              r.route.Class,
		PromptTokens:       r.prefillTokens(),
		OutputTokens:       r.PromptTokens + r.MaxTokens - r.prefillTokens(),
		Prefix:             r.Prefix,
		Waited:             s.waitedByCaller(r),
		FirstToken:         r.route.FirstToken,
		CanWait:            r.route.CanWait || r.delivered > 0,
		Avoid:              r.avoid,
		CellIndex:          r.cell.CellIndex,
		Expected:           r.Expected,
		MaxWait:            s.maxQueueWait(r),
		ElapsedBeforeEntry: r.earlierWait(),
		AZ:                 s.cfg.AZ,
		Level:              r.level,
		TimeLeft:           s.timeLeft(r),
		EventGap:           r.eventGapTarget(),
	})
}

// refreshQueue repeats an unanswered SlotRequest after SlotRequestRetryInterval, or
// immediately if another host schedules the cell now. If the scheduler does not
// acknowledge the SlotRequest in time, it switches to another cell or suspects the host.
func (s *step) refreshQueue(r *request) {
	if !r.resumeAt.IsZero() {
		s.resumeNow(r)
		return
	}
	owner := s.schedulerOf(r.cell)
	if owner == "" {
		if key, ok := s.chooseCell(r); ok {
			r.cell = key
		}
	}
	if s.remoteRequestTimedOut(r) {
		s.switchCell(r)
		return
	}
	if s.schedulerSilent(r) {
		s.suspect(r.schedulerHost, "Scheduler does not answer.")
		return
	}
	if owner != r.schedulerHost || s.now.Sub(r.lastSlotRequest) >= s.cfg.SlotRequestRetryInterval {
		s.sendSlotRequest(r)
	}
}

// remoteRequestTimedOut reports whether no message has arrived from a scheduler in
// another zone since the SlotRequest. Schedulers acknowledge a SlotRequest that they
// queue, so that a request does not wait until membership detects that the zone is
// unreachable.
func (s *step) remoteRequestTimedOut(r *request) bool {
	if r.cell.Zone == s.cfg.Zone || r.schedulerHost == "" || s.waitedFor(r.queuedAt) < zoneAckTimeout {
		return false
	}
	return member.LastHeard(s.member, r.schedulerHost).Before(r.queuedAt)
}

// switchCell requests slots from another cell. The previous cell is avoided while its
// assumed wait is valid.
func (s *step) switchCell(r *request) {
	r.addTrace(s.now, "no answer from cell %s", r.cell)
	for level := range message.Level(message.MaxLevels + 1) {
		s.cells[cellLevel{r.cell, level}] = cellWaitReport{wait: assumedUnreachableWait, receivedAt: s.now}
	}
	r.triedCells = append(r.triedCells, r.cell)
	s.releaseAttempt(r, "")
	s.requestSlot(r)
}

func (s *step) slotGranted(from id.Host, m message.SlotGrant) {
	r, ok := s.requests[m.Request]
	if !ok {
		s.send(from, message.SlotUpdate{Request: m.Request, Attempt: m.Attempt, Phase: message.PhaseCancelled})
		return
	}
	s.recordWait(r, from, m.Wait)
	if r.attempt != m.Attempt || r.stage != StageQueue || !r.resumeAt.IsZero() {
		s.declineGrant(r, from, m)
		return
	}
	if ep := s.firstUnusable(m.Prefill, m.Decode); r.relayed && ep != "" {
		s.rejectGrant(r, from, m, ep)
		return
	}
	r.schedulerHost = from
	r.prefill, r.decode = m.Prefill, m.Decode
	r.grantedTokenTime = m.TokenTime
	r.triedCells = nil
	s.startPrefill(r, m.Valid)
}

// declineGrant returns a grant that the request no longer needs. A duplicate grant of
// the current attempt belongs to the same reservation and is kept, unless the attempt has
// ended and the request waits to search again.
func (s *step) declineGrant(r *request, from id.Host, m message.SlotGrant) {
	if r.attempt == m.Attempt && r.schedulerHost == from && r.resumeAt.IsZero() {
		return
	}
	s.send(from, message.SlotUpdate{Request: m.Request, Attempt: m.Attempt, Phase: message.PhaseCancelled})
}

func (s *step) recordWait(r *request, from id.Host, wait time.Duration) {
	if r.schedulerHost == from && r.cell.Model != "" {
		s.cells[cellLevel{r.cell, r.level}] = cellWaitReport{wait: wait, receivedAt: s.now}
	}
}

// slotRefused tries another cell if the first-token target can still be met there, and
// refuses the request otherwise.
func (s *step) slotRefused(from id.Host, m message.SlotRefusal) {
	r, ok := s.requests[m.Request]
	if !ok || r.attempt != m.Attempt || r.stage != StageQueue {
		return
	}
	s.recordWait(r, from, m.Wait)
	r.refusals++
	r.triedCells = append(r.triedCells, r.cell)
	r.addTrace(s.now, "cell %s refused: %s", r.cell, m.Reason)
	if m.Reason != schedule.ReasonTooLarge && s.resumeLater(r, false) {
		return
	}
	late := m.Reason == schedule.ReasonTooLate && s.now.Sub(r.arrived) >= r.route.FirstToken
	if late || r.refusals >= maxRefusals || len(s.cellsOf(r.route.Model)) < 2 {
		retry := max(m.Retry, refusalBackoff)
		if m.Reason == schedule.ReasonTooLarge {
			retry = 0 // a retry would be refused again
		}
		s.refuse(r, m.Reason, "no capacity within the route's target", retry)
		return
	}
	s.requestSlot(r)
}

// releaseAttempt frees everything that the current attempt holds: its queue entry,
// engine memory and the reservation. failed is the endpoint that failed the attempt,
// or empty.
func (s *step) releaseAttempt(r *request, failed id.Endpoint) {
	if r.isService() {
		return
	}
	if r.dispatched {
		s.cancelRun(r.Request, r.attempt, r.prefill)
		s.cancelRun(r.Request, r.attempt, r.decode)
	}
	if r.schedulerHost != "" && r.attempt > 0 {
		s.send(r.schedulerHost, message.SlotUpdate{
			Request: r.Request, Attempt: r.attempt, Phase: message.PhaseCancelled,
			Tokens: s.outputTokens(r), Failed: failed, Unreachable: failed != "" && failed == r.unreachableEndpoint,
		})
	}
	if r.dispatched {
		r.ranEarlier = r.ranEarlier || !r.onlyPrefilled()
		r.dispatched = false
	}
	r.prefill, r.decode = "", ""
	clear(r.outOfOrder)
	r.outOfOrderBytes = 0
}
