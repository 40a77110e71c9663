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

// In relay mode the scheduler of a cell may change the roles of engines by fenced
// orders. From the decision until an engine has its new role it gets no grants.

const (
	// roleTimeout is the time after which a change that has not been seen is given up.
	// It exceeds the wait for the order lease of a dead holder.
	roleTimeout = 30 * time.Second
	// roleInterval is the time between two looks at the balance of a cell.
	roleInterval = 200 * time.Millisecond
	// roleMargin is added to the time that an engine states for a change.
	roleMargin = 500 * time.Millisecond
)

// roleChange is a change of role under way.
type roleChange struct {
	role    table.Role
	decided time.Time
	ready   time.Time // the engine takes work in its new role from then on
}

// tickRoles ends the changes of role that are over and decides on the next ones.
func (s *step) tickRoles() {
	if !s.cfg.Relay || s.snapshot() == nil || s.now.Sub(s.rolesAt) < roleInterval {
		return
	}
	s.rolesAt = s.now
	changed := s.endRoles()
	if len(s.roles) == 0 && !s.draining {
		changed = s.balanceCells() || changed
	}
	if changed {
		s.applyRoles()
	}
}

// balanceCells decides on the changes in the cells that this host schedules, and
// tells whether there are any. The order lease comes first: a host that has lost
// contact with the platform would take engines out of work in vain.
func (s *step) balanceCells() bool {
	for _, k := range sortedCells(s.scheduler.cells) {
		if s.schedulerOf(k) != s.cfg.Host {
			continue
		}
		c := s.scheduler.cells[k].cell
		changes := schedule.Balance(c, s.now)
		if len(changes) > 0 && !order.Ready(s.orders, s.now) {
			s.orderActions(order.SetWants(s.orders, s.now, nil, true))
			continue
		}
		for _, change := range changes {
			s.roles[change.Endpoint] = roleChange{role: change.Role, decided: s.now}
			s.emit(Log{
				Level: LogInfo, Part: partOrder, Text: "Role of an engine changes.", Code: string(change.Role),
				Trace: fmt.Sprintf("endpoint %s; %s", change.Endpoint, schedule.Averages(c)),
			})
		}
	}
	return len(s.roles) > 0
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
			wants = append(wants, order.Want{Endpoint: name, Role: c.role, Fencing: s.snapshot().Endpoints[name].Fencing})
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
