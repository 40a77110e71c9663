package schedule

import (
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
)

// A cell may span several availability zones (places), which can be cut off from each
// other. Hosts of one place then reach none of the endpoints of another, while the
// endpoints still serve the hosts of their own. What one host of a place finds out, the
// cell applies to all requests from there, which would otherwise try one endpoint after
// the other until their callers have gone.

const (
	// cutEndpoints is the number of endpoints of a place that must be out of reach for
	// the place to count as cut off. A single one may have crashed.
	cutEndpoints = 2
	// cutWindow is the time within which they must have been tried.
	cutWindow = time.Second
	// cutPause is how long a place that is cut off gets no requests from the other; it
	// doubles up to cutPauseMost each time the place is still out of reach.
	cutPause     = time.Second
	cutPauseMost = 4 * time.Second
	// placeShare is the part of an engine's memory that the way to another place is
	// worth.
	placeShare = 10
	// placePenalty is the prefill work that the way to another place is worth.
	placePenalty = 10 * time.Millisecond
)

// path is the way from the hosts of one place to the endpoints of another.
type path struct{ from, to id.Zone }

// reach is what is known of a path whose endpoints have been out of reach.
type reach struct {
	failed map[id.Endpoint]time.Duration // last failures
	until  time.Duration                 // cut off until then
	pause  time.Duration
}

// outOfReach notes that a host of a place could not reach an endpoint.
func (c *Cell) outOfReach(from id.Zone, ep *endpoint) {
	if from == "" || ep == nil || ep.Place == "" || ep.Place == from {
		return
	}
	p := path{from, ep.Place}
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

// reached notes that a host of a place has had an answer of an endpoint.
func (c *Cell) reached(from id.Zone, ep *endpoint) {
	if ep != nil && len(c.reach) > 0 {
		delete(c.reach, path{from, ep.Place})
	}
}

// isCut tells whether the endpoint is cut off from the host of e.
func (c *Cell) isCut(e *entry, ep *endpoint) bool {
	if len(c.reach) == 0 {
		return false
	}
	r, ok := c.reach[path{e.place, ep.Place}]
	return ok && c.now < r.until
}

// hasReach tells whether any of the endpoints can be reached by the host of e.
func (c *Cell) hasReach(e *entry, eps []*endpoint) bool {
	return len(c.reach) == 0 || slices.ContainsFunc(eps, func(ep *endpoint) bool { return !c.isCut(e, ep) })
}
