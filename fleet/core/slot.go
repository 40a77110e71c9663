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
	viewLife        = 2 * time.Second // a reported wait is believed so long
	spillWait       = 100 * time.Millisecond
	exploreShare    = 8                      // one of so many requests tries a cell of unknown wait
	zoneAnswer      = 100 * time.Millisecond // a scheduler in another zone acknowledges an ask within
	unreachableWait = time.Minute            // assumed of a cell that did not acknowledge
	maxRefusals     = 3                      // cells that are tried after refusals
	refusalBackoff  = 100 * time.Millisecond
)

// cellKey names one cell: a part of the endpoints of one model in one zone.
type cellKey struct {
	Zone  id.Zone
	Model id.Model
	Part  int
}

// String returns the name under which the cell's scheduler host is chosen.
func (k cellKey) String() string {
	return fmt.Sprintf("cell/%s/%s/%d", k.Zone, k.Model, k.Part)
}

// cellView is what an entry host knows of a cell.
type cellView struct {
	wait time.Duration
	at   time.Time
}

// askSlot asks the scheduler of the most promising cell for capacity.
func (s *step) askSlot(r *request) {
	r.stage = StageQueue
	r.attempt++
	r.running = false
	key, ok := s.chooseCell(r)
	if !ok {
		s.refuse(r, CodeNoEndpoint, "no endpoint serves the model", time.Second)
		return
	}
	r.cell = key
	r.entered = s.now
	s.sendAsk(r)
}

// chooseCell prefers the own zone until its expected wait is long, then the
// cell with the shortest reported wait. A small share of the requests tries a
// cell of unknown wait, so that reports stay fresh.
func (s *step) chooseCell(r *request) (cellKey, bool) {
	keys := s.cellsOf(r.route.Model)
	if len(keys) == 0 {
		return cellKey{}, false
	}
	if s.cfg.Cells == CellsOwnZone {
		keys = s.ownZone(keys)
	}
	best, bestWait := keys[0], time.Duration(-1)
	h := xxhash.Sum64String(string(r.Request)) + uint64(r.attempt) + uint64(r.refusals)
	own := s.ownWait(keys)
	for i := range keys {
		k := keys[(int(h%uint64(len(keys)))+i)%len(keys)]
		w := s.cellWait(k, own, h)
		if slices.Contains(r.tried, k) {
			w += time.Hour
		}
		if bestWait < 0 || w < bestWait {
			best, bestWait = k, w
		}
	}
	return best, true
}

// cellWait returns the expected wait in a cell as seen from this host.
func (s *step) cellWait(k cellKey, own time.Duration, h uint64) time.Duration {
	if s.cfg.Cells == CellsInTurn {
		return 0
	}
	v, known := s.cells[k]
	fresh := known && s.now.Sub(v.at) < viewLife
	if k.Zone == s.cfg.Zone {
		if fresh {
			return v.wait
		}
		return 0
	}
	if fresh {
		return v.wait + s.cfg.ZoneCrossing
	}
	if own > spillWait && h%exploreShare == 0 {
		return 0
	}
	return own + s.cfg.ZoneCrossing
}

// ownZone returns the cells of the own zone, or all if it has none.
func (s *step) ownZone(keys []cellKey) []cellKey {
	var own []cellKey
	for _, k := range keys {
		if k.Zone == s.cfg.Zone {
			own = append(own, k)
		}
	}
	if len(own) == 0 {
		return keys
	}
	return own
}

// ownWait returns the shortest known wait in the own zone.
func (s *step) ownWait(keys []cellKey) time.Duration {
	best := time.Duration(-1)
	for _, k := range keys {
		if k.Zone != s.cfg.Zone {
			continue
		}
		w := time.Duration(0)
		if v, ok := s.cells[k]; ok && s.now.Sub(v.at) < viewLife {
			w = v.wait
		}
		if best < 0 || w < best {
			best = w
		}
	}
	return max(best, 0)
}

func (s *step) sendAsk(r *request) {
	r.host = s.schedulerOf(r.cell)
	r.asked = s.now
	if r.host == "" {
		return
	}
	r.note(s.now, "attempt %d asks %s for %s", r.attempt, r.host, r.cell)
	member.Contacted(s.member, s.now, r.host)
	s.send(r.host, message.SlotAsk{
		Request:      r.Request,
		Attempt:      r.attempt,
		Account:      r.account,
		Model:        r.route.Model,
		Class:        r.route.Class,
		PromptTokens: r.readTokens(),
		OutputTokens: r.PromptTokens + r.MaxTokens - r.readTokens(),
		Prefix:       r.Prefix,
		Waited:       s.waited(r),
		FirstToken:   r.route.FirstToken,
		CanWait:      r.route.CanWait || r.delivered > 0,
		Avoid:        r.avoid,
		Part:         r.cell.Part,
		Expected:     r.Expected,
		Patience:     r.patience(),
		Earlier:      r.earlier(),
		AZ:           s.cfg.AZ,
	})
}

// refreshQueue repeats an unanswered ask, at once if another host schedules the
// cell now.
func (s *step) refreshQueue(r *request) {
	owner := s.schedulerOf(r.cell)
	if owner == "" {
		if key, ok := s.chooseCell(r); ok {
			r.cell = key
		}
	}
	if s.isUnanswered(r) {
		s.leaveCell(r)
		return
	}
	if s.isSilent(r) {
		s.suspect(r.host, "Scheduler does not answer.")
		return
	}
	if owner != r.host || s.now.Sub(r.asked) >= s.cfg.AskRepeat {
		s.sendAsk(r)
	}
}

// isUnanswered tells whether a scheduler in another zone has given no sign of
// life since the ask. It acknowledges an ask that it queues, so that a request
// need not wait until membership notices that the zone is cut off.
func (s *step) isUnanswered(r *request) bool {
	if r.cell.Zone == s.cfg.Zone || r.host == "" || s.now.Sub(r.entered) < zoneAnswer {
		return false
	}
	return member.HeardAt(s.member, r.host).Before(r.entered)
}

// leaveCell asks another cell. The one that was left is avoided for a while.
func (s *step) leaveCell(r *request) {
	r.note(s.now, "no answer from cell %s", r.cell)
	s.cells[r.cell] = cellView{wait: unreachableWait, at: s.now}
	r.tried = append(r.tried, r.cell)
	s.releaseAttempt(r, "")
	s.askSlot(r)
}

func (s *step) slotGranted(from id.Host, m message.SlotGrant) {
	r, ok := s.requests[m.Request]
	if !ok {
		s.send(from, message.SlotUpdate{Request: m.Request, Attempt: m.Attempt, Phase: message.PhaseCancelled})
		return
	}
	s.noteWait(r, from, m.Wait)
	if r.attempt != m.Attempt || r.stage != StageQueue {
		s.declineGrant(r, from, m)
		return
	}
	if ep := s.unusable(m.Prefill, m.Decode); r.relayed && ep != "" {
		s.rejectGrant(r, from, m, ep)
		return
	}
	r.host = from
	r.prefill, r.decode = m.Prefill, m.Decode
	r.tried = nil
	s.startPrefill(r, m.Valid)
}

// declineGrant gives back a grant that the request no longer needs. A repeated
// grant of the running attempt is the same reservation and stays.
func (s *step) declineGrant(r *request, from id.Host, m message.SlotGrant) {
	if r.attempt == m.Attempt && r.host == from {
		return
	}
	s.send(from, message.SlotUpdate{Request: m.Request, Attempt: m.Attempt, Phase: message.PhaseCancelled})
}

func (s *step) noteWait(r *request, from id.Host, wait time.Duration) {
	if r.host == from && r.cell.Model != "" {
		s.cells[r.cell] = cellView{wait: wait, at: s.now}
	}
}

// slotRefused tries another cell while the first-token target can still be met
// there, and refuses the request otherwise.
func (s *step) slotRefused(from id.Host, m message.SlotRefuse) {
	r, ok := s.requests[m.Request]
	if !ok || r.attempt != m.Attempt || r.stage != StageQueue {
		return
	}
	s.noteWait(r, from, m.Wait)
	r.refusals++
	r.tried = append(r.tried, r.cell)
	r.note(s.now, "cell %s refused: %s", r.cell, m.Reason)
	late := m.Reason == schedule.ReasonTooLate && s.now.Sub(r.arrived) >= r.route.FirstToken
	if late || r.refusals >= maxRefusals || len(s.cellsOf(r.route.Model)) < 2 {
		retry := max(m.Retry, refusalBackoff)
		if m.Reason == schedule.ReasonTooLarge {
			retry = 0 // a retry would get the same answer
		}
		s.refuse(r, m.Reason, "no capacity within the route's target", retry)
		return
	}
	s.askSlot(r)
}

// releaseAttempt frees everything that the current attempt holds: its place in
// the queue, engine memory, the reservation. failed names an endpoint that did
// not answer.
func (s *step) releaseAttempt(r *request, failed id.Endpoint) {
	if r.isService() {
		return
	}
	if r.running {
		s.cancelRun(r.Request, r.attempt, r.prefill)
		s.cancelRun(r.Request, r.attempt, r.decode)
	}
	if r.host != "" && r.attempt > 0 {
		s.send(r.host, message.SlotUpdate{
			Request: r.Request, Attempt: r.attempt, Phase: message.PhaseCancelled,
			Tokens: s.outputTokens(r), Failed: failed, Down: failed != "" && failed == r.down,
		})
	}
	if r.running {
		r.ran = r.ran || !r.onlyRead()
		r.running = false
	}
	r.prefill, r.decode = "", ""
	clear(r.waiting)
}

// registerHold tells the cell's scheduler of a running attempt.
func (s *step) registerHold(r *request) {
	owner := s.schedulerOf(r.cell)
	if owner == "" {
		return
	}
	if owner == r.host && s.now.Sub(r.held) < s.cfg.HoldRefresh {
		return
	}
	r.host = owner
	r.held = s.now
	phase := message.PhasePrefill
	if r.stage == StageDecode {
		phase = message.PhaseDecode
	}
	s.send(owner, message.SlotHold{
		Request: r.Request, Attempt: r.attempt, Account: r.account, Model: r.route.Model,
		Prefill: r.prefill, Decode: r.decode, Phase: phase,
		PromptTokens: r.PromptTokens, OutputTokens: r.MaxTokens, Part: r.cell.Part, Expected: r.Expected,
	})
}
