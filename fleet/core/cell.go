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

// idleCellTimeout is how long this host keeps a cell that another host owns after the
// cell's last message. By then its slot requests have moved to the owner.
const idleCellTimeout = 5 * time.Second

// scheduledCell is a cell that this host schedules.
type scheduledCell struct {
	schedulers  int // among which cold engines are divided; see schedulersOf
	cell        *schedule.Cell
	lastMessage time.Time
	lastPoll    time.Time // last time that load reports were requested
	lastSpeeds  time.Time // last time that the speeds of engines were exported
	endpoints   map[id.Endpoint]bool
}

// schedulerState is the state of a host in its role as the scheduler of cells.
type schedulerState struct {
	cells          map[cellKey]*scheduledCell
	requests       map[id.Request]cellAttempt
	lastCacheEvent map[id.Endpoint]uint64 // sequence number of the last cache event seen
}

// cellAttempt is the latest attempt of a request that a cell of this host knows.
type cellAttempt struct {
	cell    cellKey
	attempt id.Attempt
}

// track records the cell of an attempt, because later messages about the attempt
// contain only the request ID.
func (st *schedulerState) track(req id.Request, a cellAttempt) {
	if known, ok := st.requests[req]; !ok || known.attempt <= a.attempt {
		st.requests[req] = a
	}
}

// untrack removes a request at the end of an attempt, unless a later attempt is known:
// the SlotRequest of the next attempt can overtake the end of the previous one.
func (st *schedulerState) untrack(req id.Request, attempt id.Attempt) {
	if st.requests[req].attempt <= attempt {
		delete(st.requests, req)
	}
}

func newSchedulerState() schedulerState {
	return schedulerState{
		cells:          make(map[cellKey]*scheduledCell),
		requests:       make(map[id.Request]cellAttempt),
		lastCacheEvent: make(map[id.Endpoint]uint64),
	}
}

func sortedCells(cells map[cellKey]*scheduledCell) []cellKey {
	keys := make([]cellKey, 0, len(cells))
	for k := range cells {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

// getOrCreateCell returns the cell, which is created on its first message. A host also
// schedules a cell that another host owns if it receives a SlotRequest for it: the
// requester could not reach the owner. If the two schedulers together grant more than an
// engine has, the engine refuses the excess.
func (s *step) getOrCreateCell(k cellKey) *scheduledCell {
	if c, ok := s.scheduler.cells[k]; ok {
		return c
	}
	c := &scheduledCell{cell: schedule.New(s.cfg.Schedule, k.Model, s.now, true), lastMessage: s.now}
	s.scheduler.cells[k] = c
	s.configureCell(k, c)
	return c
}

// configureCell applies the weights, levels and endpoints of the table to a cell.
func (s *step) configureCell(k cellKey, c *scheduledCell) {
	snap := s.snapshot()
	if snap == nil {
		return
	}
	weights := make(map[id.Account]int64, len(snap.Accounts))
	for name, a := range snap.Accounts {
		weights[name] = a.Weight
	}
	schedule.SetWeights(c.cell, weights)
	s.configureLevels(k, c)
	eps := cellEndpoints(snap, k, s.cfg.CellEndpoints, s.cfg.Relay)
	before := c.endpoints
	c.endpoints = make(map[id.Endpoint]bool, len(eps))
	c.schedulers = s.schedulersOf(k)
	for i, ep := range eps {
		c.endpoints[ep.Name] = true
		eps[i].Leaving = ep.Leaving || s.changesRole(ep.Name) || !s.takesRequests(ep.Name)
		eps[i].SlowStart = s.slowStartLeft(ep.Name)
		s.limitEngine(&eps[i], c.schedulers)
	}
	s.cellActions(k, schedule.SetEndpoints(c.cell, s.now, eps))
	s.clearSpeedGauges(before, c.endpoints)
}

// cellEndpoints returns the endpoints of a cell. Prefill and decode endpoints are
// assigned to the cells of a model round-robin, so that each cell has its share of
// both. With byName they are assigned by the hash of their names; see hashedEndpoints.
func cellEndpoints(snap *table.Snapshot, k cellKey, maxEndpoints int, byName bool) []schedule.Endpoint {
	all := table.ModelEndpoints(snap, k.Model, k.Zone)
	numCells := cellCount(len(all), maxEndpoints)
	if byName {
		return hashedEndpoints(snap, k, all, numCells)
	}
	assigned := make(map[table.Role]int)
	var out []schedule.Endpoint
	for _, ep := range all {
		pool := snap.Pools[ep.Pool]
		n := assigned[pool.Role]
		assigned[pool.Role] = n + 1
		if n%numCells != k.CellIndex {
			continue
		}
		out = append(out, cellEndpoint(ep, pool))
	}
	return out
}

// hashedEndpoints returns the endpoints of a cell if endpoints are added and removed
// dynamically. Each endpoint is assigned by the hash of its name. With round-robin
// assignment, each change would move other endpoints to cells that do not know their
// runs.
func hashedEndpoints(snap *table.Snapshot, k cellKey, all []table.Endpoint, numCells int) []schedule.Endpoint {
	var out []schedule.Endpoint
	for _, ep := range all {
		if int(xxhash.Sum64String(string(ep.Name))%uint64(numCells)) == k.CellIndex {
			out = append(out, cellEndpoint(ep, snap.Pools[ep.Pool]))
		}
	}
	return out
}

func cellEndpoint(ep table.Endpoint, pool table.Pool) schedule.Endpoint {
	return schedule.Endpoint{
		Name: ep.Name, AZ: ep.AZ, Role: pool.Role, Slots: pool.Slots, Blocks: pool.Blocks,
		BlockTokens: pool.BlockTokens, PrefillRate: pool.PrefillRate, LinkRate: pool.LinkRate,
		EventTokens: pool.EventTokens, Leaving: ep.State == table.StateLeaving,
	}
}

func (s *step) cellActions(k cellKey, actions []schedule.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case schedule.Send:
			s.send(a.To, s.withCellFields(k, a))
		case schedule.Cancel:
			s.cancelRun(a.Request, a.Attempt, a.Endpoint)
		}
	}
}

// withCellFields sets the fields of a scheduler's message that describe its cell. Replies
// carry the expected wait at the level of the request, so that entry hosts can compare
// cells without additional messages.
func (s *step) withCellFields(k cellKey, a schedule.Send) message.Message {
	m := a.Message
	if q, ok := m.(message.SlotQuery); ok {
		q.Model, q.CellIndex = k.Model, k.CellIndex
		return q
	}
	c, ok := s.scheduler.cells[k]
	if !ok {
		return m
	}
	wait := schedule.ExpectedWait(c.cell, s.now, a.Level)
	switch m := m.(type) {
	case message.SlotGrant:
		m.Wait = wait
		return m
	case message.SlotRefusal:
		m.Wait = wait
		return m
	}
	return m
}

// cancelRun frees what an attempt holds on an endpoint. Endpoints that are not in the
// table are skipped, except in relay mode.
func (s *step) cancelRun(req id.Request, attempt id.Attempt, name id.Endpoint) {
	ep, ok := s.snapshot().Endpoints[name]
	if !ok && !s.cfg.Relay {
		return
	}
	s.emit(CancelRun{Request: req, Attempt: attempt, Endpoint: name, Address: ep.Address})
}

func (s *step) handleSlotRequest(from id.Host, m message.SlotRequest) {
	k := cellKey{Zone: s.cfg.Zone, Model: m.Model, CellIndex: m.CellIndex}
	if s.snapshot() == nil {
		s.send(from, message.SlotRefusal{Request: m.Request, Attempt: m.Attempt, Reason: CodeNoTable})
		return
	}
	c := s.getOrCreateCell(k)
	c.lastMessage = s.now
	s.scheduler.track(m.Request, cellAttempt{cell: k, attempt: m.Attempt})
	s.cellActions(k, schedule.HandleSlotRequest(c.cell, s.now, from, m))
	s.cellActions(k, schedule.Tick(c.cell, s.now))
	s.acknowledgeSlotRequest(from)
}

// acknowledgeSlotRequest sends a heartbeat to a host whose SlotRequest has been
// queued, if no other message to it is pending. Hosts of the same zone need it in relay
// mode only.
func (s *step) acknowledgeSlotRequest(from id.Host) {
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
	c.lastMessage = s.now
	s.cellActions(k, schedule.HandleUpdate(c.cell, s.now, from, m))
	if m.Phase == message.PhaseDone || m.Phase == message.PhaseCancelled {
		s.scheduler.untrack(m.Request, m.Attempt)
		s.cellActions(k, schedule.Tick(c.cell, s.now))
	}
}

func (s *step) tickCells() {
	for _, k := range sortedCells(s.scheduler.cells) {
		c := s.scheduler.cells[k]
		s.cellActions(k, schedule.Tick(c.cell, s.now))
		s.pollCell(c)
		s.tickSpeeds(c)
		if s.schedulerOf(k) != s.cfg.Host && s.now.Sub(c.lastMessage) > idleCellTimeout {
			s.dropCell(k)
		}
	}
}

// dropCells removes all cells after a pause of the process. Another host may have
// scheduled them in the meantime, so that reservations which seem to have expired here
// may be in use. Entry hosts repeat their slot requests and register their running
// attempts.
func (s *step) dropCells() {
	for _, k := range sortedCells(s.scheduler.cells) {
		s.dropCell(k)
	}
}

// requestHolds makes all hosts register their running attempts and queued slot requests
// again. Otherwise the attempts in load reports would be considered abandoned.
func (s *step) requestHolds() {
	hb := s.heartbeat()
	hb.Register = true
	s.broadcast("", hb)
	s.resetRegistrations(s.cfg.Host)
}

// resetRegistrations makes the next scan of the open requests repeat all SlotRequests and
// registrations that were sent to a scheduler.
func (s *step) resetRegistrations(scheduler id.Host) {
	for _, r := range s.requests {
		if r.schedulerHost == scheduler {
			r.lastRegistered = time.Time{}
			r.lastSlotRequest = time.Time{}
		}
	}
}

func (s *step) dropCell(k cellKey) {
	s.clearSpeedGauges(s.scheduler.cells[k].endpoints, nil)
	delete(s.scheduler.cells, k)
	for req, known := range s.scheduler.requests {
		if known.cell == k {
			delete(s.scheduler.requests, req)
		}
	}
}

func (s *step) pollCell(c *scheduledCell) {
	if s.cfg.LoadInterval <= 0 || s.now.Sub(c.lastPoll) < s.cfg.LoadInterval {
		return
	}
	c.lastPoll = s.now
	names := make([]id.Endpoint, 0, len(c.endpoints))
	for name := range c.endpoints {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	for _, name := range names {
		ep, ok := s.snapshot().Endpoints[name]
		if !ok {
			continue
		}
		s.emit(PollLoad{Endpoint: name, Address: ep.Address, After: s.scheduler.lastCacheEvent[name]})
	}
}

// releaseHostWork removes the work of a dead or restarted host from all cells that this
// host schedules.
func (s *step) releaseHostWork(h id.Host) {
	for _, k := range sortedCells(s.scheduler.cells) {
		c := s.scheduler.cells[k]
		s.cellActions(k, schedule.HandleHostDeath(c.cell, s.now, h))
	}
}

func (s *step) loadReported(ev LoadReported) {
	s.endpointUp(ev.Report.Endpoint)
	for _, k := range sortedCells(s.scheduler.cells) {
		c := s.scheduler.cells[k]
		if !c.endpoints[ev.Report.Endpoint] {
			continue
		}
		report := ev.Report
		if s.schedulerOf(k) != s.cfg.Host {
			// The runs are registered with the owner of the cell, so this host
			// would consider them abandoned.
			report.Runs = nil
		}
		s.cellActions(k, schedule.HandleReport(c.cell, s.now, report))
	}
}

func (s *step) cacheChanged(ev CacheChanged) {
	s.scheduler.lastCacheEvent[ev.Endpoint] = max(ev.Seq, s.scheduler.lastCacheEvent[ev.Endpoint])
	for _, c := range s.scheduler.cells {
		if c.endpoints[ev.Endpoint] {
			schedule.HandleCacheEvent(c.cell, ev.Endpoint, ev.Prefix, ev.Evicted)
		}
	}
}
