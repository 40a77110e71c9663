package core

import (
	"fmt"
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/order"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// In relay mode the scheduler of a cell may change the roles of engines with orders that
// carry a fencing token. From the decision until the engine has its new role, it gets no
// grants.

const (
	// roleChangeTimeout is the time after which a change that has not completed is
	// abandoned. It exceeds the time until the order lease of a dead holder expires.
	roleChangeTimeout = 30 * time.Second
	// balanceInterval is the interval at which the balance of roles is checked.
	balanceInterval = 200 * time.Millisecond
	// switchMargin is added to the switch time of an engine's pool.
	switchMargin = 500 * time.Millisecond
)

// roleChange is a role change in progress.
type roleChange struct {
	role      table.Role
	decidedAt time.Time
	readyAt   time.Time // when the engine accepts work in its new role; zero until the table has the role
}

// tickRoles removes the role changes that have ended and decides on new ones. There are
// no new ones while changes are in progress.
func (s *step) tickRoles() {
	if !s.cfg.Relay || s.snapshot() == nil || s.now.Sub(s.rolesBalancedAt) < balanceInterval {
		return
	}
	s.rolesBalancedAt = s.now
	changed := s.removeEndedRoleChanges()
	if len(s.roleChanges) == 0 && !s.draining {
		changed = s.balanceCells() || changed
	}
	if changed {
		s.applyRoleChanges()
	}
}

// balanceCells decides on role changes in the cells that this host schedules, and
// reports whether there are any. It acquires the order lease first: a host that has
// lost contact with the platform cannot send orders and would exclude engines from
// placement without effect.
func (s *step) balanceCells() bool {
	for _, k := range sortedCells(s.scheduler.cells) {
		if s.schedulerOf(k) != s.cfg.Host {
			continue
		}
		c := s.scheduler.cells[k].cell
		changes := schedule.Balance(c, s.now)
		if len(changes) > 0 && !order.HoldsLease(s.orders, s.now) {
			s.orderActions(order.SetDesiredStates(s.orders, s.now, nil, true))
			continue
		}
		for _, change := range changes {
			s.roleChanges[change.Endpoint] = roleChange{role: change.Role, decidedAt: s.now}
			s.emit(Log{
				Level: LogInfo, Component: partOrder, Text: "Role of an engine changes.", Code: string(change.Role),
				Trace: fmt.Sprintf("endpoint %s; %s", change.Endpoint, schedule.BalanceSummary(c)),
			})
		}
	}
	return len(s.roleChanges) > 0
}

// removeEndedRoleChanges removes the changes that have taken effect or timed out, and
// reports whether any change has progressed.
func (s *step) removeEndedRoleChanges() bool {
	changed := false
	for name, c := range s.roleChanges {
		ep, ok := s.snapshot().Endpoints[name]
		pool := s.snapshot().Pools[ep.Pool]
		switch {
		case !ok || s.now.Sub(c.decidedAt) > roleChangeTimeout:
			delete(s.roleChanges, name)
			changed = true
		case pool.Role != c.role:
		case c.readyAt.IsZero():
			c.readyAt = s.now.Add(pool.SwitchTime + switchMargin)
			s.roleChanges[name] = c
			changed = true
		case !s.now.Before(c.readyAt):
			delete(s.roleChanges, name)
			changed = true
		}
	}
	return changed
}

// applyRoleChanges passes the role changes to package order and to the cells.
func (s *step) applyRoleChanges() {
	var desired []order.DesiredState
	for name, c := range s.roleChanges {
		if c.readyAt.IsZero() {
			desired = append(desired, order.DesiredState{Endpoint: name, Role: c.role, Fencing: s.snapshot().Endpoints[name].Fencing})
		}
	}
	sort.Slice(desired, func(i, j int) bool { return desired[i].Endpoint < desired[j].Endpoint })
	s.orderActions(order.SetDesiredStates(s.orders, s.now, desired, len(desired) > 0))
	for _, k := range sortedCells(s.scheduler.cells) {
		s.configureCell(k, s.scheduler.cells[k])
	}
}

// changesRole reports whether an engine gets no grants because its role is changing.
func (s *step) changesRole(name id.Endpoint) bool {
	_, ok := s.roleChanges[name]
	return ok
}
