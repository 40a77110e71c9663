package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/table"
)

// modelZone names the endpoints of one model in one zone.
type modelZone struct {
	model id.Model
	zone  id.Zone
}

// views holds what follows from the membership, the suspects and the table. A
// choice among the hosts of a zone hashes each of them, and a search for the
// endpoints of a model visits the whole table, so neither is made per request or
// tick.
type views struct {
	built   bool
	version uint64    // of the membership
	until   time.Time // first end of a suspicion; zero is none

	live     map[id.Zone][]id.Host // without suspects
	owners   map[cellKey]id.Host
	claimers map[string]id.Host // by shard
	cells    map[id.Model][]cellKey
	watcher  bool // this host watches the manifest
}

// hostViews returns the views, which are built again if the membership has
// changed or a suspicion has ended.
func (s *step) hostViews() *views {
	v := &s.views
	expired := !v.until.IsZero() && !s.now.Before(v.until)
	if !v.built || expired || v.version != member.Version(s.member) {
		s.buildViews()
	}
	return v
}

// dropViews has the views built again, after a change of the suspects or the table.
func (s *step) dropViews() {
	s.views.built = false
}

func (s *step) buildViews() {
	s.views = views{
		built: true, version: member.Version(s.member), until: s.firstSuspicionEnd(),
		live:     make(map[id.Zone][]id.Host),
		owners:   make(map[cellKey]id.Host),
		claimers: make(map[string]id.Host),
		cells:    make(map[id.Model][]cellKey),
	}
	for z, hosts := range member.Live(s.member) {
		s.views.live[z] = s.unsuspected(hosts)
	}
	for _, h := range member.Owners(s.views.live[s.cfg.Zone], "table-watch", s.cfg.Watchers) {
		if h == s.cfg.Host {
			s.views.watcher = true
		}
	}
}

// firstSuspicionEnd returns the first end of a suspicion after now, or zero.
func (s *step) firstSuspicionEnd() time.Time {
	var first time.Time
	for _, until := range s.suspects {
		if s.now.Before(until) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// unsuspected returns the hosts that have not just refused a connection.
func (s *step) unsuspected(hosts []id.Host) []id.Host {
	var out []id.Host
	for _, h := range hosts {
		if until, ok := s.suspects[h]; ok && s.now.Before(until) {
			continue
		}
		out = append(out, h)
	}
	return out
}

// liveIn returns the hosts of a zone that take work, without those that have
// just refused a connection. The caller must not modify the result.
func (s *step) liveIn(z id.Zone) []id.Host {
	return s.hostViews().live[z]
}

// schedulerOf returns the host that schedules a cell, or "" if there is none.
func (s *step) schedulerOf(k cellKey) id.Host {
	v := s.hostViews()
	owner, ok := v.owners[k]
	if !ok {
		owner = member.Owner(v.live[k.Zone], k.String())
		v.owners[k] = owner
	}
	return owner
}

// claimerOf returns the live host, of any zone, that owns a shard of claims.
func (s *step) claimerOf(shard string) id.Host {
	v := s.hostViews()
	owner, ok := v.claimers[shard]
	if !ok {
		var live []id.Host
		for _, z := range s.cfg.Zones {
			live = append(live, v.live[z]...)
		}
		owner = member.Owner(live, "claim/"+shard)
		v.claimers[shard] = owner
	}
	return owner
}

// cellsOf returns the cells of a model that a live host can schedule. The caller
// must not modify the result.
func (s *step) cellsOf(model id.Model) []cellKey {
	v := s.hostViews()
	cells, ok := v.cells[model]
	if !ok {
		cells = s.findCells(model)
		v.cells[model] = cells
	}
	return cells
}

func (s *step) findCells(model id.Model) []cellKey {
	var out []cellKey
	for _, z := range s.cfg.Zones {
		if len(s.liveIn(z)) == 0 {
			continue
		}
		n := s.table.endpoints[modelZone{model: model, zone: z}]
		for p := range partCount(n, s.cfg.CellEndpoints) {
			out = append(out, cellKey{Zone: z, Model: model, Part: p})
		}
	}
	return out
}

// partCount returns the number of cells for a number of endpoints.
func partCount(endpoints, most int) int {
	return (endpoints + most - 1) / most
}

// countEndpoints returns the number of prefill and decode endpoints of each model
// in each zone.
func countEndpoints(snap *table.Snapshot) map[modelZone]int {
	out := make(map[modelZone]int)
	for _, ep := range snap.Endpoints {
		pool := snap.Pools[ep.Pool]
		if pool.Role != table.RoleService {
			out[modelZone{model: pool.Model, zone: ep.Zone}]++
		}
	}
	return out
}
