package core

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/throttle"
)

// coldBurst is the number of requests that a scheduler saves up for a cold engine.
const coldBurst = 1

// coldShare tells whether this host may call a cold service endpoint.
type coldShare struct {
	known  int // number of hosts that this was decided for
	member bool
}

// setCold passes the cold endpoints of the table to package throttle.
func (s *step) setCold() {
	rates := make(map[id.Endpoint]float64)
	zones := make(map[id.Zone]bool)
	for name, ep := range s.snapshot().Endpoints {
		zones[ep.AZ] = true
		if ep.ColdPerSecond > 0 {
			rates[name] = ep.ColdPerSecond
		}
	}
	s.endpointZones = len(zones)
	if throttle.SetCold(s.throttle, s.now, rates) {
		s.emit(Log{
			Level: LogInfo, Component: partTable, Text: "Cold endpoints have changed.",
			Trace: fmt.Sprintf("%d are cold", throttle.ColdEndpoints(s.throttle)),
		})
	}
}

// limitEngine sets the limit of an engine in a cell: that which the engine has named, or the
// rate at which one of a number of schedulers may use a cold engine, if that is lower.
func (s *step) limitEngine(ep *schedule.Endpoint, schedulers int) {
	ep.PerSecond, ep.Limited = throttle.PerSecond(s.throttle, ep.Name)
	cold, ok := throttle.ColdGrants(s.throttle, ep.Name, schedulers)
	if !ok {
		return
	}
	ep.Burst = coldBurst
	if !ep.Limited || cold < ep.PerSecond {
		ep.PerSecond, ep.Limited = cold, true
	}
}

// schedulersOf returns among how many schedulers of a cell a cold engine is divided, as far as
// this host's part is concerned. The sum of all parts is one.
//
// The owner of a cell takes one half. Other hosts schedule the cell if the owner can't be
// reached: one on each side of a partition, which follows the availability zones until the
// deaths of the hosts on the other sides are noticed. They divide the other half. After that,
// each side has an owner, which takes no more than the part of the known hosts on its side.
func (s *step) schedulersOf(k cellKey) int {
	if !s.hostsKnown || s.isStarting() {
		return noSchedulers
	}
	live := member.Live(s.member)
	if member.Owner(member.Strong(s.member, live[k.Zone]), k.String()) != s.cfg.Host {
		return minSchedulers * max(1, s.endpointZones-1)
	}
	reached := 0
	for _, hosts := range live {
		reached += len(hosts)
	}
	return max(minSchedulers, (member.Count(s.member)+reached-1)/max(reached, 1))
}

const (
	// minSchedulers is the least number of schedulers that a cold engine is divided among.
	minSchedulers = 2
	// noSchedulers leaves a scheduler no part of a cold engine. A host that doesn't know the
	// others can't tell how many schedulers there are.
	noSchedulers = math.MaxInt32
)

// tickCold applies a new number of schedulers to the cells.
func (s *step) tickCold() {
	if throttle.ColdEndpoints(s.throttle) == 0 {
		return
	}
	for _, k := range sortedCells(s.scheduler.cells) {
		if c := s.scheduler.cells[k]; c.schedulers != s.schedulersOf(k) {
			s.configureCell(k, c)
		}
	}
}

// allowsCold reports whether this host may call an endpoint now as far as the endpoint is cold.
// The hosts that may are chosen from all known ones, dead or alive, so that the two sides of a
// partition choose the same. A host that starts doesn't know the others yet.
func (s *step) allowsCold(ep id.Endpoint) bool {
	hosts, cold := throttle.ColdHosts(s.throttle, ep, member.Count(s.member))
	if !cold {
		return true
	}
	return s.callsCold(ep, hosts) && throttle.AllowsCold(s.throttle, s.now, ep, hosts)
}

// callsCold reports whether this host is one of those that may call a cold endpoint.
func (s *step) callsCold(ep id.Endpoint, hosts int) bool {
	if !s.hostsKnown || s.isStarting() {
		return false
	}
	v := s.hostViews()
	known := member.Count(s.member)
	if share, ok := v.coldShares[ep]; ok && share.known == known {
		return share.member
	}
	var all []id.Host
	for _, p := range member.Peers(s.member) {
		all = append(all, p.Host)
	}
	owners := member.Owners(all, "cold/"+string(ep), hosts)
	share := coldShare{known: known, member: slices.Contains(owners, s.cfg.Host)}
	v.coldShares[ep] = share
	return share.member
}

// nextColdCall returns the time until this host may call a cold endpoint, or the usual pause if
// only other hosts may. The second result is false if the endpoint is not cold.
func (s *step) nextColdCall(ep id.Endpoint) (time.Duration, bool) {
	hosts, cold := throttle.ColdHosts(s.throttle, ep, member.Count(s.member))
	if !cold || !s.callsCold(ep, hosts) {
		return limitedRetryAfter, cold
	}
	return throttle.NextCold(s.throttle, s.now, ep, hosts), true
}
