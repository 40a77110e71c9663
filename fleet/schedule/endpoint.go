package schedule

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// Endpoint is one prefill or decode endpoint. The units are those of table.Pool.
type Endpoint struct {
	Name        id.Endpoint
	AZ          id.Zone // availability zone, if the cell spans several
	Role        table.Role
	Slots       int64
	Blocks      int64
	BlockTokens int64
	PrefillRate int64
	LinkRate    int64
	EventTokens int64 // output tokens per event of a stream; 0 is unknown
	Leaving     bool
	Limited     bool    // the endpoint has announced a request rate limit
	PerSecond   float64 // the limit, in requests per second, for all hosts together
	Burst       float64 // most requests that may be saved up under the limit; 0 stands for a default

	// SlowStart is the time during which the endpoint gets only a growing part of its slots,
	// at most SlowStartTime.
	SlowStart time.Duration
}

// endpoint is an Endpoint with its reservations and its health.
type endpoint struct {
	Endpoint
	member        bool // in the last SetEndpoints
	reportLeaving bool // leaving, by the last report

	slots, blocks                     int64 // reserved, by any scheduler
	grantedSlots, grantedBlocks       int64 // reserved by grants of this cell
	maxGrantedSlots, maxGrantedBlocks int64 // limits of grantedSlots and grantedBlocks: the endpoint's size, or the granted amount if the size was lowered below it
	unregisteredRuns                  int64 // runs that the engine reports and no host has registered
	unregisteredBlocks                int64 // estimated memory of those runs
	reportedWaiting                   int64 // prompt tokens, from the last report
	reportedRunning                   int64 // requests, from the last report
	hasReport                         bool

	limit          rateLimit
	speed          engineSpeed
	slowStartUntil time.Duration

	failures     int // since the last success
	backoffUntil time.Duration
	probe        *entry // the only grant while failures > 0

	decoding       []*entry // with a decode reservation
	decodingPrompt int64    // prompt tokens of decoding

	prefills          []*entry // granted prefills, in order
	prefillStats      prefillSums
	transfers         []*entry // planned or in flight
	cache             prefixCache
	unregisteredSince map[Run]time.Duration // when an unregistered run was first reported
}

// capacity holds the costs and rates that derive from the usable endpoints.
type capacity struct {
	promptCost  time.Duration // endpoint time of one prompt token
	outputCost  time.Duration // endpoint time of one output token
	prefillRate int64         // of the fastest endpoint, in tokens per second
	linkRate    int64         // of the fastest prefill endpoint, in tokens per second
}

// SetEndpoints replaces the endpoints of the cell. Reservations on endpoints
// that are no longer listed stay until their requests end.
func SetEndpoints(c *Cell, now time.Time, eps []Endpoint) []Action {
	c.advance(now)
	for _, ep := range c.endpoints {
		ep.member = false
	}
	for _, e := range eps {
		if e.Role != table.RolePrefill && e.Role != table.RoleDecode {
			continue
		}
		ep := c.endpoint(e.Name)
		if e.Limited && !ep.Limited {
			c.startRateLimit(ep)
		}
		if ep.Role != e.Role {
			ep.speed.changeRole()
		}
		ep.Endpoint = e
		ep.slowStartUntil = c.now + e.SlowStart
		ep.member = true
		ep.updateGrantLimits()
	}
	for name, ep := range c.endpoints {
		if !ep.member && ep.slots == 0 {
			delete(c.endpoints, name)
		}
	}
	c.updateUsable()
	acts := c.refuseUnplaceable(nil)
	return c.grantQueued(acts)
}

// endpoint returns the endpoint of that name. A hold can name an endpoint that
// is not a member of the cell; such an endpoint gets no grants.
func (c *Cell) endpoint(name id.Endpoint) *endpoint {
	if ep, ok := c.endpoints[name]; ok {
		return ep
	}
	ep := &endpoint{Endpoint: Endpoint{Name: name}}
	c.endpoints[name] = ep
	return ep
}

func (c *Cell) updateUsable() {
	before := len(c.prefills) + len(c.decodes)
	c.prefills = c.prefills[:0]
	c.decodes = c.decodes[:0]
	for _, ep := range c.endpoints {
		if !ep.usable() {
			continue
		}
		if ep.Role == table.RolePrefill {
			c.prefills = append(c.prefills, ep)
			continue
		}
		c.decodes = append(c.decodes, ep)
	}
	byName := func(a, b *endpoint) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(c.prefills, byName)
	slices.SortFunc(c.decodes, byName)
	c.updateCapacity()
	if len(c.prefills)+len(c.decodes) < before {
		c.endpointLostAt = c.now
	}
	if c.pin.endpoint != nil && !c.pin.endpoint.usable() {
		c.pin = pin{}
	}
}

// updateCapacity derives the costs and rates from the usable endpoints. They keep
// their last values while a role has no endpoint.
func (c *Cell) updateCapacity() {
	var rate, slots, fastest, link int64
	for _, ep := range c.prefills {
		rate += c.rateOn(ep)
		fastest = max(fastest, c.rateOn(ep))
		link = max(link, ep.LinkRate)
	}
	for _, ep := range c.decodes {
		slots += ep.Slots
	}
	if rate > 0 {
		c.capacity.promptCost = time.Second * time.Duration(len(c.prefills)) / time.Duration(rate)
		c.capacity.prefillRate = fastest
		c.capacity.linkRate = link
	}
	if slots > 0 {
		c.capacity.outputCost = c.tokenTime * time.Duration(len(c.decodes)) / time.Duration(slots)
	}
}

// usable reports whether the endpoint may get new work, regardless of its backoff.
func (ep *endpoint) usable() bool { return ep.member && !ep.Leaving && !ep.reportLeaving }

func (ep *endpoint) updateGrantLimits() {
	ep.maxGrantedSlots = max(ep.Slots, ep.grantedSlots)
	ep.maxGrantedBlocks = max(ep.Blocks, ep.grantedBlocks)
}

// blocksFor returns the number of memory blocks for the tokens.
func (ep *endpoint) blocksFor(tokens int64) int64 {
	if ep.BlockTokens <= 0 {
		return 0
	}
	return (tokens + ep.BlockTokens - 1) / ep.BlockTokens
}

func (ep *endpoint) addReservation(e *entry, blocks int64) {
	ep.slots++
	ep.blocks += blocks
	if e.grantedHere {
		ep.grantedSlots++
		ep.grantedBlocks += blocks
	}
}

func (ep *endpoint) removeReservation(e *entry, blocks int64) {
	ep.slots--
	ep.blocks -= blocks
	if e.grantedHere {
		ep.grantedSlots--
		ep.grantedBlocks -= blocks
	}
	ep.updateGrantLimits()
	if ep.probe == e {
		ep.probe = nil
	}
}

func (ep *endpoint) freeSlots() int64  { return ep.Slots - ep.slots - ep.unregisteredRuns }
func (ep *endpoint) freeBlocks() int64 { return ep.Blocks - ep.blocks - ep.unregisteredBlocks }

// HandleEndpointFailure records that an endpoint did not answer and starts its backoff.
// The pause doubles with each failure until the endpoint works again. After a pause the
// endpoint gets one request at a time as a probe.
func HandleEndpointFailure(c *Cell, now time.Time, name id.Endpoint) []Action {
	c.advance(now)
	c.recordFailure(name)
	return c.grantQueued(nil)
}

func (c *Cell) recordFailure(name id.Endpoint) {
	ep, ok := c.endpoints[name]
	if !ok {
		return
	}
	ep.probe = nil
	if c.now < ep.backoffUntil {
		// Several requests report the same failure, which must count once.
		ep.backoffUntil = max(ep.backoffUntil, c.now+c.cfg.Backoff)
		return
	}
	pause := min(c.cfg.Backoff<<min(ep.failures, 16), c.cfg.MaxBackoff)
	ep.failures++
	ep.backoffUntil = c.now + pause
	ep.cache.clear()
	if c.pin.endpoint == ep {
		c.pin = pin{}
	}
}

// markHealthy ends the backoff of an endpoint and resets its failures.
func (ep *endpoint) markHealthy() {
	ep.failures = 0
	ep.backoffUntil = 0
	ep.probe = nil
}

// HandleCacheEvent records that an endpoint holds a prefix, or that it has evicted it.
func HandleCacheEvent(c *Cell, name id.Endpoint, prefix uint64, evicted bool) {
	ep, ok := c.endpoints[name]
	if !ok || prefix == 0 {
		return
	}
	if evicted {
		ep.cache.remove(prefix)
		return
	}
	ep.cache.add(prefix, c.cfg.MaxCachedPrefixes)
}

// prefixCache is the set of prefixes that an endpoint is believed to hold. Its size is
// bounded because eviction events can be lost: the oldest prefix is replaced first.
type prefixCache struct {
	positions map[uint64]int // position in ring
	ring      []uint64       // 0 is empty
	next      int            // position in ring that is replaced next
}

func (p *prefixCache) has(prefix uint64) bool {
	_, ok := p.positions[prefix]
	return ok
}

func (p *prefixCache) add(prefix uint64, limit int) {
	if p.has(prefix) || limit <= 0 {
		return
	}
	if p.positions == nil {
		p.positions = make(map[uint64]int)
	}
	if len(p.ring) < limit {
		p.positions[prefix] = len(p.ring)
		p.ring = append(p.ring, prefix)
		return
	}
	p.next %= len(p.ring)
	delete(p.positions, p.ring[p.next])
	p.ring[p.next] = prefix
	p.positions[prefix] = p.next
	p.next++
}

func (p *prefixCache) remove(prefix uint64) {
	i, ok := p.positions[prefix]
	if !ok {
		return
	}
	p.ring[i] = 0
	delete(p.positions, prefix)
}

func (p *prefixCache) clear() {
	clear(p.positions)
	p.ring = p.ring[:0]
	p.next = 0
}
