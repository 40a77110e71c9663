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

// In relay mode the scheduler of a cell may change the role of an engine, one at a
// time, by a fenced order. From the decision until the engine has its new role it
// gets no grants.

const (
	// roleTimeout is the time after which a change that has not been seen is given up.
	// It exceeds the wait for the order lease of a dead holder.
	roleTimeout = 30 * time.Second
	// roleInterval is the time between two looks at the balance of a cell.
	roleInterval = 500 * time.Millisecond
	// roleMargin is added to the time that an engine states for a change.
	roleMargin = 500 * time.Millisecond
)

// roleChange is a change of role under way.
type roleChange struct {
	role    table.Role
	decided time.Time
	ready   time.Time // the engine takes work in its new role from then on
}

// tickRoles ends the changes of role that are over and decides on the next one.
func (s *step) tickRoles() {
	if !s.cfg.Relay || s.snapshot() == nil || s.now.Sub(s.rolesAt) < roleInterval {
		return
	}
	s.rolesAt = s.now
	changed := s.endRoles()
	if len(s.roles) == 0 && !s.draining {
		for _, k := range sortedCells(s.scheduler.cells) {
			if s.schedulerOf(k) != s.cfg.Host {
				continue
			}
			ep, role, ok := schedule.Balance(s.scheduler.cells[k].cell, s.now)
			if ok {
				s.roles[ep] = roleChange{role: role, decided: s.now}
				s.emit(Log{Level: LogInfo, Part: partOrder, Text: fmt.Sprintf("Engine %s changes its role to %s.", ep, role), Trace: schedule.Averages(s.scheduler.cells[k].cell)})
				changed = true
				break
			}
		}
	}
	if changed {
		s.applyRoles()
	}
}

// endRoles forgets the changes that have taken effect or failed.
func (s *step) endRoles() bool {
	changed := false
	for name, c := range s.roles {
		ep, ok := s.snapshot().Endpoints[name]
		pool := s.snapshot().Pools[ep.Pool]
		switch {
		case !ok || s.now.Sub(c.decided) > roleTimeout:
			delete(s.roles, name)
			changed = true
		case pool.Role != c.role:
		case c.ready.IsZero():
			c.ready = s.now.Add(pool.SwitchTime + roleMargin)
			s.roles[name] = c
			changed = true
		case !s.now.Before(c.ready):
			delete(s.roles, name)
			changed = true
		}
	}
	return changed
}

// applyRoles passes the changes on to the order lease and to the cells.
func (s *step) applyRoles() {
	var wants []order.Want
	for name, c := range s.roles {
		if c.ready.IsZero() {
			wants = append(wants, order.Want{Endpoint: name, Role: c.role, Fencing: table.FencingChecked})
		}
	}
	sort.Slice(wants, func(i, j int) bool { return wants[i].Endpoint < wants[j].Endpoint })
	s.orderActions(order.SetWants(s.orders, s.now, wants, len(wants) > 0))
	for _, k := range sortedCells(s.scheduler.cells) {
		s.configureCell(k, s.scheduler.cells[k])
	}
}

// changesRole tells whether an engine is out of work because its role changes.
func (s *step) changesRole(name id.Endpoint) bool {
	_, ok := s.roles[name]
	return ok
}
