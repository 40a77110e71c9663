package schedule

import (
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
)

// A cell may span several availability zones, and the network between them can fail.
// Hosts of one zone then reach no endpoint of another, while those endpoints still
// serve the hosts of their own zone. The cell applies what one host of a zone reports
// to all requests from that zone. Otherwise each of them would try one endpoint after
// the other until its caller has disconnected.

const (
	// partitionMinEndpoints is the number of endpoints of a zone that must be
	// unreachable for the zone to count as partitioned. A single one may have crashed.
	partitionMinEndpoints = 2
	// partitionWindow is the time within which these failures must occur.
	partitionWindow = time.Second
	// partitionPause is how long the endpoints of a partitioned zone get no requests
	// from the zone that cannot reach them. It doubles up to maxPartitionPause each
	// time the zone is still unreachable.
	partitionPause    = time.Second
	maxPartitionPause = 4 * time.Second
	// remoteZoneMemoryDivisor sets the penalty for decoding in another zone than that
	// of the host: the endpoint's memory divided by it.
	remoteZoneMemoryDivisor = 10
	// remoteZonePenalty is the penalty for a prefill in another zone, as prefill
	// backlog.
	remoteZonePenalty = 10 * time.Millisecond
)

// zonePair is the network path from the hosts of one zone to the endpoints of another.
type zonePair struct{ from, to id.Zone }

// zoneReachability holds the failures on the path of a zonePair.
type zoneReachability struct {
	failedAt         map[id.Endpoint]time.Duration // time of the last failure
	partitionedUntil time.Duration                 // until then, requests from zonePair.from are placed elsewhere
	pause            time.Duration
}

// recordUnreachable records that a host of a zone could not reach an endpoint.
func (c *Cell) recordUnreachable(from id.Zone, ep *endpoint) {
	if from == "" || ep == nil || ep.AZ == "" || ep.AZ == from {
		return
	}
	p := zonePair{from, ep.AZ}
	r, ok := c.zoneReachability[p]
	if !ok {
		r = &zoneReachability{failedAt: make(map[id.Endpoint]time.Duration)}
		c.zoneReachability[p] = r
	}
	r.failedAt[ep.Name] = c.now
	recent := 0
	for name, at := range r.failedAt {
		if c.now-at > partitionWindow {
			delete(r.failedAt, name)
			continue
		}
		recent++
	}
	if recent < partitionMinEndpoints || c.now < r.partitionedUntil {
		return
	}
	r.pause = min(max(2*r.pause, partitionPause), maxPartitionPause)
	r.partitionedUntil = c.now + r.pause
}

// recordReachable records that an endpoint has answered a host of a zone.
func (c *Cell) recordReachable(from id.Zone, ep *endpoint) {
	if ep != nil && len(c.zoneReachability) > 0 {
		delete(c.zoneReachability, zonePair{from, ep.AZ})
	}
}

// isPartitioned reports whether the endpoint is in a zone that the host of e cannot
// reach.
func (c *Cell) isPartitioned(e *entry, ep *endpoint) bool {
	if len(c.zoneReachability) == 0 {
		return false
	}
	r, ok := c.zoneReachability[zonePair{e.az, ep.AZ}]
	return ok && c.now < r.partitionedUntil
}

// canReachAny reports whether the host of e can reach any of the endpoints.
func (c *Cell) canReachAny(e *entry, eps []*endpoint) bool {
	return len(c.zoneReachability) == 0 || slices.ContainsFunc(eps, func(ep *endpoint) bool { return !c.isPartitioned(e, ep) })
}
