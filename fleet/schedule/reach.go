package schedule

import (
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
)

// A cell may span several availability zones, which can be cut off from each
// other. Hosts of one zone then reach none of the endpoints of another, while the
// endpoints still serve the hosts of their own. What one host of a zone finds out, the
// cell applies to all requests from there, which would otherwise try one endpoint after
// the other until their callers have gone.

const (
	// cutEndpoints is the number of endpoints of a zone that must be out of reach for
	// the zone to count as cut off. A single one may have crashed.
	cutEndpoints = 2
	// cutWindow is the time within which they must have been tried.
	cutWindow = time.Second
	// cutPause is how long a zone that is cut off gets no requests from the other; it
	// doubles up to cutPauseMost each time the zone is still out of reach.
	cutPause     = time.Second
	cutPauseMost = 4 * time.Second
	// zoneShare is the part of an engine's memory that the way to another zone is
	// worth.
	zoneShare = 10
	// zonePenalty is the prefill work that the way to another zone is worth.
	zonePenalty = 10 * time.Millisecond
)

// path is the way from the hosts of one zone to the endpoints of another.
type path struct{ from, to id.Zone }

// reach is what is known of a path whose endpoints have been out of reach.
type reach struct {
	failed map[id.Endpoint]time.Duration // last failures
	until  time.Duration                 // cut off until then
	pause  time.Duration
}

// outOfReach notes that a host of a zone could not reach an endpoint.
func (c *Cell) outOfReach(from id.Zone, ep *endpoint) {
	if from == "" || ep == nil || ep.AZ == "" || ep.AZ == from {
		return
	}
	p := path{from, ep.AZ}
	r, ok := c.reach[p]
	if !ok {
		r = &reach{failed: make(map[id.Endpoint]time.Duration)}
		c.reach[p] = r
	}
	r.failed[ep.Name] = c.now
	recent := 0
	for name, at := range r.failed {
		if c.now-at > cutWindow {
			delete(r.failed, name)
			continue
		}
		recent++
	}
	if recent < cutEndpoints || c.now < r.until {
		return
	}
	r.pause = min(max(2*r.pause, cutPause), cutPauseMost)
	r.until = c.now + r.pause
}

// reached notes that a host of a zone has had an answer of an endpoint.
func (c *Cell) reached(from id.Zone, ep *endpoint) {
	if ep != nil && len(c.reach) > 0 {
		delete(c.reach, path{from, ep.AZ})
	}
}

// isCut tells whether the endpoint is cut off from the host of e.
func (c *Cell) isCut(e *entry, ep *endpoint) bool {
	if len(c.reach) == 0 {
		return false
	}
	r, ok := c.reach[path{e.az, ep.AZ}]
	return ok && c.now < r.until
}

// hasReach tells whether any of the endpoints can be reached by the host of e.
func (c *Cell) hasReach(e *entry, eps []*endpoint) bool {
	return len(c.reach) == 0 || slices.ContainsFunc(eps, func(ep *endpoint) bool { return !c.isCut(e, ep) })
}
