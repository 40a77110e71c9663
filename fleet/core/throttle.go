package core

import (
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/fleet/throttle"
)

// limitedShare is the part of this host in the rate of a limited service endpoint.
type limitedShare struct {
	hosts  int  // that use the endpoint
	member bool // this host is one of them
}

// limitedRetryAfter is the Retry-After of a call that this host may send to no endpoint,
// because other hosts use the limited or cold ones. The caller's next attempt may reach one of these.
const limitedRetryAfter = 500 * time.Millisecond

// endpointLimited records the limit that an endpoint has named, and tells the other hosts.
func (s *step) endpointLimited(ev EndpointLimited) {
	m, ok := throttle.Observe(s.throttle, s.now, ev.Endpoint, ev.Limited, ev.PerSecond)
	if !ok {
		return
	}
	s.limitChanged(ev.Endpoint)
	s.broadcast("", m)
}

func (s *step) handleEndpointLimit(m message.EndpointLimit) {
	throttle.Merge(s.throttle, s.now, m)
	s.limitChanged(m.Endpoint)
}

// sendLimits tells a host what this host knows of limits if the host has started or returned
// since. A scheduler that has started would otherwise grant limited engines any number of
// requests until the next refresh.
func (s *step) sendLimits(to id.Host, inc id.Incarnation) {
	if s.limitsSentTo[to] == inc {
		return
	}
	s.limitsSentTo[to] = inc
	for _, m := range throttle.News(s.throttle, s.now) {
		s.send(to, m)
	}
}

func (s *step) tickThrottle() {
	for _, ep := range throttle.Expire(s.throttle, s.now) {
		s.limitChanged(ep)
	}
	s.tickCold()
}

// limitChanged passes the limit of an endpoint, or its notice, to the cell that schedules it.
func (s *step) limitChanged(ep id.Endpoint) {
	for _, k := range sortedCells(s.scheduler.cells) {
		if c := s.scheduler.cells[k]; c.endpoints[ep] {
			s.configureCell(k, c)
		}
	}
}

// shareOf returns the part of this host in the rate of a service endpoint with a limit.
func (s *step) shareOf(ep id.Endpoint, perSecond float64) limitedShare {
	v := s.hostViews()
	hosts := throttle.Hosts(s.throttle, perSecond, len(v.allLive))
	if share, ok := v.limitedShares[ep]; ok && share.hosts == hosts {
		return share
	}
	owners := member.Owners(v.allLive, "limit/"+string(ep), hosts)
	share := limitedShare{hosts: hosts, member: slices.Contains(owners, s.cfg.Host)}
	v.limitedShares[ep] = share
	return share
}

// withinLimits removes the endpoints that take no further call of this host now.
func (s *step) withinLimits(eps []table.Endpoint) []table.Endpoint {
	return slices.DeleteFunc(eps, func(ep table.Endpoint) bool {
		if !s.allowsCold(ep.Name) {
			return true
		}
		perSecond, limited := throttle.PerSecond(s.throttle, ep.Name)
		if !limited {
			return false
		}
		share := s.shareOf(ep.Name, perSecond)
		return !share.member || !throttle.Allows(s.throttle, s.now, ep.Name, share.hosts)
	})
}

// nextCallAfter returns the time until one of the limited or cold endpoints takes a call of this host,
// and false if none of the endpoints is.
func (s *step) nextCallAfter(eps []table.Endpoint) (time.Duration, bool) {
	next, limited := limitedRetryAfter, false
	for _, ep := range eps {
		if after, cold := s.nextColdCall(ep.Name); cold {
			next, limited = min(next, after), true
			continue
		}
		perSecond, ok := throttle.PerSecond(s.throttle, ep.Name)
		if !ok {
			continue
		}
		limited = true
		if share := s.shareOf(ep.Name, perSecond); share.member {
			next = min(next, throttle.NextAfter(s.throttle, s.now, ep.Name, share.hosts))
		}
	}
	return next, limited
}
