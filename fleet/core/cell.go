package core

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// idleCell is how long a cell that another host owns is kept after its last
// message. Its asks have moved to the owner by then.
const idleCell = 5 * time.Second

// ownedCell is a cell that this host schedules.
type ownedCell struct {
	cell    *schedule.Cell
	used    time.Time // last message
	polled  time.Time // last round of load reports
	members map[id.Endpoint]bool
}

// schedulerState is the part of the state that a scheduler host needs.
type schedulerState struct {
	cells    map[cellKey]*ownedCell
	requests map[id.Request]cellAttempt
	events   map[id.Endpoint]uint64 // last cache event seen
}

// cellAttempt is the last attempt of a request that an own cell knows of.
type cellAttempt struct {
	cell    cellKey
	attempt id.Attempt
}

// know notes in which cell an attempt is. Messages about it name only the
// request.
func (st *schedulerState) know(req id.Request, a cellAttempt) {
	if known, ok := st.requests[req]; !ok || known.attempt <= a.attempt {
		st.requests[req] = a
	}
}

// forget drops a request at the end of an attempt, unless a later attempt is
// known: the ask of the next attempt can overtake the end of the one before.
func (st *schedulerState) forget(req id.Request, attempt id.Attempt) {
	if st.requests[req].attempt <= attempt {
		delete(st.requests, req)
	}
}

func newSchedulerState() schedulerState {
	return schedulerState{
		cells:    make(map[cellKey]*ownedCell),
		requests: make(map[id.Request]cellAttempt),
		events:   make(map[id.Endpoint]uint64),
	}
}

func sortedCells(cells map[cellKey]*ownedCell) []cellKey {
	keys := make([]cellKey, 0, len(cells))
	for k := range cells {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

// ownCell returns the cell, which is created on the first message. A host that
// is asked for a cell of another owner schedules it too: the asker has failed to
// reach the owner, and engines refuse what two schedulers over-commit.
func (s *step) ownCell(k cellKey) *ownedCell {
	if c, ok := s.scheduler.cells[k]; ok {
		return c
	}
	c := &ownedCell{cell: schedule.New(s.cfg.Schedule, k.Model, s.now, true), used: s.now}
	s.scheduler.cells[k] = c
	s.configureCell(k, c)
	return c
}

// configureCell applies the table to a cell.
func (s *step) configureCell(k cellKey, c *ownedCell) {
	snap := s.snapshot()
	if snap == nil {
		return
	}
	weights := make(map[id.Account]int64, len(snap.Accounts))
	for name, a := range snap.Accounts {
		weights[name] = a.Weight
	}
	schedule.SetWeights(c.cell, weights)
	eps := cellEndpoints(snap, k, s.cfg.CellEndpoints, s.cfg.Relay)
	c.members = make(map[id.Endpoint]bool, len(eps))
	for i, ep := range eps {
		c.members[ep.Name] = true
		eps[i].Leaving = ep.Leaving || s.changesRole(ep.Name)
	}
	s.cellActions(k, schedule.SetEndpoints(c.cell, s.now, eps))
}

// cellEndpoints returns the endpoints of a cell. Prefill and decode endpoints
// are dealt out one by one, so that each part has its share of both.
func cellEndpoints(snap *table.Snapshot, k cellKey, most int, stable bool) []schedule.Endpoint {
	all := table.ModelEndpoints(snap, k.Model, k.Zone)
	parts := partCount(len(all), most)
	if stable {
		return stableEndpoints(snap, k, all, parts)
	}
	dealt := make(map[table.Role]int)
	var out []schedule.Endpoint
	for _, ep := range all {
		pool := snap.Pools[ep.Pool]
		n := dealt[pool.Role]
		dealt[pool.Role] = n + 1
		if n%parts != k.Part {
			continue
		}
		out = append(out, cellEndpoint(ep, pool))
	}
	return out
}

// stableEndpoints returns the endpoints of a cell where endpoints come and go by
// themselves. Each is dealt out by its name alone: if they were counted, each that
// comes or goes would move others to cells that do not know their runs.
func stableEndpoints(snap *table.Snapshot, k cellKey, all []table.Endpoint, parts int) []schedule.Endpoint {
	var out []schedule.Endpoint
	for _, ep := range all {
		if int(xxhash.Sum64String(string(ep.Name))%uint64(parts)) == k.Part {
			out = append(out, cellEndpoint(ep, snap.Pools[ep.Pool]))
		}
	}
	return out
}

func cellEndpoint(ep table.Endpoint, pool table.Pool) schedule.Endpoint {
	return schedule.Endpoint{
		Name: ep.Name, AZ: ep.AZ, Role: pool.Role, Slots: pool.Slots, Blocks: pool.Blocks,
		BlockTokens: pool.BlockTokens, PrefillRate: pool.PrefillRate, LinkRate: pool.LinkRate,
		Leaving: ep.State == table.StateLeaving,
	}
}

func (s *step) cellActions(k cellKey, actions []schedule.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case schedule.Send:
			s.send(a.To, s.withWait(k, a.Message))
		case schedule.Cancel:
			s.cancelRun(a.Request, a.Attempt, a.Endpoint)
		}
	}
}

// withWait adds the expected wait of the cell to an answer of its scheduler, so
// that entry hosts can compare cells without further messages.
func (s *step) withWait(k cellKey, m message.Message) message.Message {
	c, ok := s.scheduler.cells[k]
	if !ok {
		return m
	}
	wait := schedule.Load(c.cell, s.now).Wait
	switch m := m.(type) {
	case message.SlotGrant:
		m.Wait = wait
		return m
	case message.SlotRefuse:
		m.Wait = wait
		return m
	}
	return m
}

// cancelRun frees what an attempt holds on an endpoint that the table still has.
func (s *step) cancelRun(req id.Request, attempt id.Attempt, name id.Endpoint) {
	ep, ok := s.snapshot().Endpoints[name]
	if !ok && !s.cfg.Relay {
		return
	}
	s.emit(CancelRun{Request: req, Attempt: attempt, Endpoint: name, Address: ep.Address})
}

func (s *step) slotAsk(from id.Host, m message.SlotAsk) {
	k := cellKey{Zone: s.cfg.Zone, Model: m.Model, Part: m.Part}
	if s.snapshot() == nil {
		s.send(from, message.SlotRefuse{Request: m.Request, Attempt: m.Attempt, Reason: CodeNoTable})
		return
	}
	c := s.ownCell(k)
	c.used = s.now
	s.scheduler.know(m.Request, cellAttempt{cell: k, attempt: m.Attempt})
	s.cellActions(k, schedule.HandleAsk(c.cell, s.now, from, m))
	s.cellActions(k, schedule.Tick(c.cell, s.now))
	s.acknowledgeAsk(from)
}

// acknowledgeAsk gives a host of another zone a sign of life if its ask has been
// queued without an answer.
func (s *step) acknowledgeAsk(from id.Host) {
	p, ok := member.PeerOf(s.member, from)
	if !ok || p.Zone == s.cfg.Zone && !s.cfg.Relay {
		return
	}
	for _, e := range s.out {
		if m, ok := e.(SendPeer); ok && m.To == from {
			return
		}
	}
	s.send(from, s.heartbeat())
}

func (s *step) slotHold(from id.Host, m message.SlotHold) {
	if s.snapshot() == nil {
		return
	}
	k := cellKey{Zone: s.cfg.Zone, Model: m.Model, Part: m.Part}
	c := s.ownCell(k)
	c.used = s.now
	s.scheduler.know(m.Request, cellAttempt{cell: k, attempt: m.Attempt})
	s.cellActions(k, schedule.HandleHold(c.cell, s.now, from, m))
}

func (s *step) slotUpdate(from id.Host, m message.SlotUpdate) {
	known, ok := s.scheduler.requests[m.Request]
	if !ok {
		return
	}
	k := known.cell
	c, ok := s.scheduler.cells[k]
	if !ok {
		delete(s.scheduler.requests, m.Request)
		return
	}
	c.used = s.now
	s.cellActions(k, schedule.HandleUpdate(c.cell, s.now, from, m))
	if m.Phase == message.PhaseDone || m.Phase == message.PhaseCancelled {
		s.scheduler.forget(m.Request, m.Attempt)
		s.cellActions(k, schedule.Tick(c.cell, s.now))
	}
}

func (s *step) tickCells() {
	for _, k := range sortedCells(s.scheduler.cells) {
		c := s.scheduler.cells[k]
		s.cellActions(k, schedule.Tick(c.cell, s.now))
		s.pollCell(c)
		if s.schedulerOf(k) != s.cfg.Host && s.now.Sub(c.used) > idleCell {
			s.dropCell(k)
		}
	}
}

// dropCells forgets all cells after a pause of the process. Another host may have
// scheduled them meanwhile, so that reservations which seem to have lapsed here
// may be in use. The hosts ask again and register what runs.
func (s *step) dropCells() {
	for _, k := range sortedCells(s.scheduler.cells) {
		s.dropCell(k)
	}
}

// requestHolds asks all hosts to register their running attempts and queued asks
// again. Load reports would show the attempts as abandoned otherwise.
func (s *step) requestHolds() {
	hb := s.heartbeat()
	hb.Register = true
	s.broadcast(hb)
	s.registerAgain(s.cfg.Host)
}

// registerAgain makes the next pass over the requests repeat what a scheduler has
// been told.
func (s *step) registerAgain(scheduler id.Host) {
	for _, r := range s.requests {
		if r.host == scheduler {
			r.held = time.Time{}
			r.asked = time.Time{}
		}
	}
}

func (s *step) dropCell(k cellKey) {
	delete(s.scheduler.cells, k)
	for req, known := range s.scheduler.requests {
		if known.cell == k {
			delete(s.scheduler.requests, req)
		}
	}
}

func (s *step) pollCell(c *ownedCell) {
	if s.cfg.LoadInterval <= 0 || s.now.Sub(c.polled) < s.cfg.LoadInterval {
		return
	}
	c.polled = s.now
	names := make([]id.Endpoint, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	for _, name := range names {
		ep, ok := s.snapshot().Endpoints[name]
		if !ok {
			continue
		}
		s.emit(PollLoad{Endpoint: name, Address: ep.Address, After: s.scheduler.events[name]})
	}
}

// hostGone drops the work of a dead or restarted host from all own cells.
func (s *step) hostGone(h id.Host) {
	for _, k := range sortedCells(s.scheduler.cells) {
		c := s.scheduler.cells[k]
		s.cellActions(k, schedule.HostGone(c.cell, s.now, h))
	}
}

func (s *step) loadReported(ev LoadReported) {
	s.endpointUp(ev.Report.Endpoint)
	for _, k := range sortedCells(s.scheduler.cells) {
		c := s.scheduler.cells[k]
		if !c.members[ev.Report.Endpoint] {
			continue
		}
		report := ev.Report
		if s.schedulerOf(k) != s.cfg.Host {
			// The runs are registered with the owner of the cell. To this host
			// they would look abandoned.
			report.Runs = nil
		}
		s.cellActions(k, schedule.HandleReport(c.cell, s.now, report))
	}
}

func (s *step) cacheChanged(ev CacheChanged) {
	s.scheduler.events[ev.Endpoint] = max(ev.Seq, s.scheduler.events[ev.Endpoint])
	for _, c := range s.scheduler.cells {
		if c.members[ev.Endpoint] {
			schedule.HandleCacheEvent(c.cell, ev.Endpoint, ev.Prefix, ev.Evicted)
		}
	}
}
