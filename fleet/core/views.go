package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/table"
)

// modelZone identifies the endpoints of one model in one zone.
type modelZone struct {
	model id.Model
	zone  id.Zone
}

// views caches data derived from the membership, the suspects and the table. A
// rendezvous choice hashes each host of a zone, and a search for the endpoints of a
// model visits the whole table, so neither is done per request or tick.
type views struct {
	built   bool
	version uint64    // version of the membership
	until   time.Time // earliest end of a suspicion; zero means none

	liveHosts   map[id.Zone][]id.Host // live hosts without suspects
	strongHosts map[id.Zone][]id.Host // those of them that can carry work for all hosts
	cellOwners  map[cellKey]id.Host
	claimOwners map[string]id.Host // owner of each shard of claims
	cells       map[id.Model][]cellKey
	watcher     bool // this host watches the manifest

	allStrong     []id.Host                    // strong hosts of all zones
	collectors    map[id.Pool]id.Host          // collect the reports about plain services
	arbiter       id.Host                      // decides about quarantines; empty if there is no live host
	allLive       []id.Host                    // live hosts of all zones without suspects
	limitedShares map[id.Endpoint]limitedShare // of limited service endpoints
	coldShares    map[id.Endpoint]coldShare    // of cold service endpoints

	levels *table.Levels // priority levels of the table in force; nil until they are needed
}

// hostViews returns the views. It rebuilds them if they are invalid, if the membership
// has changed or if a suspicion has ended.
func (s *step) hostViews() *views {
	v := &s.views
	expired := !v.until.IsZero() && !s.now.Before(v.until)
	if !v.built || expired || v.version != member.Version(s.member) {
		s.buildViews()
	}
	return v
}

// invalidateViews makes hostViews rebuild the views. It must be called after each change
// of the suspects or the table.
func (s *step) invalidateViews() {
	s.views.built = false
}

func (s *step) buildViews() {
	s.views = views{
		built: true, version: member.Version(s.member), until: s.firstSuspicionEnd(),
		liveHosts:   make(map[id.Zone][]id.Host),
		strongHosts: make(map[id.Zone][]id.Host),
		cellOwners:  make(map[cellKey]id.Host),
		claimOwners: make(map[string]id.Host),
		cells:       make(map[id.Model][]cellKey),

		collectors:    make(map[id.Pool]id.Host),
		limitedShares: make(map[id.Endpoint]limitedShare),
		coldShares:    make(map[id.Endpoint]coldShare),
	}
	for z, hosts := range member.Live(s.member) {
		s.views.liveHosts[z] = s.withoutSuspects(hosts)
		s.views.strongHosts[z] = member.Strong(s.member, s.views.liveHosts[z])
	}
	for _, z := range s.cfg.Zones {
		s.views.allLive = append(s.views.allLive, s.views.liveHosts[z]...)
		s.views.allStrong = append(s.views.allStrong, s.views.strongHosts[z]...)
	}
	s.views.arbiter = member.Owner(s.views.allStrong, "quarantine")
	for _, h := range member.Owners(s.views.strongHosts[s.cfg.Zone], "table-watch", s.cfg.Watchers) {
		if h == s.cfg.Host {
			s.views.watcher = true
		}
	}
}

// firstSuspicionEnd returns the earliest end of a suspicion after now, or the zero time.
func (s *step) firstSuspicionEnd() time.Time {
	var first time.Time
	for _, until := range s.suspectUntil {
		if s.now.Before(until) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// withoutSuspects returns the hosts that are not suspects.
func (s *step) withoutSuspects(hosts []id.Host) []id.Host {
	var out []id.Host
	for _, h := range hosts {
		if until, ok := s.suspectUntil[h]; ok && s.now.Before(until) {
			continue
		}
		out = append(out, h)
	}
	return out
}

// liveIn returns the live hosts of a zone without suspects. The caller must not modify
// the result.
func (s *step) liveIn(z id.Zone) []id.Host {
	return s.hostViews().liveHosts[z]
}

// strongIn returns the hosts of liveIn that can carry work for all hosts. The caller must
// not modify the result.
func (s *step) strongIn(z id.Zone) []id.Host {
	return s.hostViews().strongHosts[z]
}

// schedulerOf returns the host that schedules a cell, or "" if there is none.
func (s *step) schedulerOf(k cellKey) id.Host {
	v := s.hostViews()
	owner, ok := v.cellOwners[k]
	if !ok {
		owner = member.Owner(v.strongHosts[k.Zone], k.String())
		v.cellOwners[k] = owner
	}
	return owner
}

// claimShardOwner returns the live host, of any zone, that owns a shard of claims.
func (s *step) claimShardOwner(shard string) id.Host {
	v := s.hostViews()
	owner, ok := v.claimOwners[shard]
	if !ok {
		owner = member.Owner(v.allLive, "claim/"+shard)
		v.claimOwners[shard] = owner
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
		n := s.table.endpointCounts[modelZone{model: model, zone: z}]
		for p := range cellCount(n, s.cfg.CellEndpoints) {
			out = append(out, cellKey{Zone: z, Model: model, CellIndex: p})
		}
	}
	return out
}

// cellCount returns the number of cells into which a number of endpoints is partitioned.
func cellCount(endpoints, maxEndpoints int) int {
	return (endpoints + maxEndpoints - 1) / maxEndpoints
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
