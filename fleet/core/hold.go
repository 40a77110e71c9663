package core

import (
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

// registerHold registers a running attempt with the cell's scheduler: every
// HoldRefreshInterval, and immediately if another host schedules the cell now.
func (s *step) registerHold(r *request) {
	owner := s.schedulerOf(r.cell)
	if owner == "" {
		return
	}
	if owner == r.schedulerHost && s.now.Sub(r.lastRegistered) < s.cfg.HoldRefreshInterval {
		return
	}
	r.schedulerHost = owner
	r.lastRegistered = s.now
	s.send(owner, r.hold())
}

// hold describes a running attempt to a scheduler.
func (r *request) hold() message.SlotHold {
	phase := message.PhasePrefill
	if r.stage == StageDecode {
		phase = message.PhaseDecode
	}
	return message.SlotHold{
		Request: r.Request, Attempt: r.attempt, Account: r.account, Model: r.route.Model,
		Prefill: r.prefill, Decode: r.decode, Phase: phase,
		PromptTokens: r.PromptTokens, OutputTokens: r.MaxTokens, CellIndex: r.cell.CellIndex, Expected: r.Expected,
	}
}

// handleSlotQuery tells a scheduler whether an attempt still runs. The scheduler may be an
// earlier one of the attempt, which does not learn of its end otherwise.
func (s *step) handleSlotQuery(from id.Host, m message.SlotQuery) {
	r, ok := s.requests[m.Request]
	if !ok || r.hasEnded(m.Attempt) {
		s.send(from, message.SlotHold{
			Request: m.Request, Attempt: m.Attempt, Model: m.Model, CellIndex: m.CellIndex, Phase: message.PhaseCancelled,
		})
		return
	}
	if r.attempt == m.Attempt && (r.stage == StagePrefill || r.stage == StageDecode) {
		s.send(from, r.hold())
	}
}

// hasEnded reports whether an attempt of the request is over.
func (r *request) hasEnded(attempt id.Attempt) bool {
	return r.attempt > attempt || r.attempt == attempt && !r.resumeAt.IsZero()
}

func (s *step) slotHold(from id.Host, m message.SlotHold) {
	if s.snapshot() == nil {
		return
	}
	k := cellKey{Zone: s.cfg.Zone, Model: m.Model, CellIndex: m.CellIndex}
	if m.Phase == message.PhaseCancelled {
		s.slotNotHeld(from, k, m)
		return
	}
	c := s.getOrCreateCell(k)
	c.lastMessage = s.now
	s.scheduler.track(m.Request, cellAttempt{cell: k, attempt: m.Attempt})
	s.cellActions(k, schedule.HandleHold(c.cell, s.now, from, m))
}

// slotNotHeld releases an attempt whose end this scheduler has missed.
func (s *step) slotNotHeld(from id.Host, k cellKey, m message.SlotHold) {
	c, ok := s.scheduler.cells[k]
	if !ok {
		return
	}
	s.scheduler.untrack(m.Request, m.Attempt)
	s.cellActions(k, schedule.HandleHold(c.cell, s.now, from, m))
}
