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
	Leaving     bool
}

// endpoint is an Endpoint with what is reserved on it.
type endpoint struct {
	Endpoint
	member        bool // in the last SetEndpoints
	reportLeaving bool

	slots, blocks         int64 // reserved, by any scheduler
	ownSlots, ownBlocks   int64 // reserved by grants of this cell
	mostSlots, mostBlocks int64 // bound of the own ones; above the size only after the size was lowered
	foreign               int64 // runs that the engine reports and nobody has registered
	foreignBlocks         int64
	waiting               int64 // prompt tokens, from the last report
	running               int64 // from the last report
	reported              bool

	fails        int
	backOffUntil time.Duration
	probe        *entry // the only grant while fails > 0

	decoding []*entry // with a reservation for their decode

	queue []*entry // granted prefills, in order
	pace  prefillPace
	links []*entry // transfers that are planned or under way
	cache prefixCache
	stray map[Run]time.Duration // reported and not registered, since when
}

// capacity sums up the usable endpoints.
type capacity struct {
	promptCost  time.Duration // endpoint time of one prompt token
	outputCost  time.Duration // endpoint time of one output token
	prefillRate int64         // of the fastest endpoint
	linkRate    int64         // of the fastest prefill endpoint
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
		ep.Endpoint = e
		ep.member = true
		ep.resize()
	}
	for name, ep := range c.endpoints {
		if !ep.member && ep.slots == 0 {
			delete(c.endpoints, name)
		}
	}
	c.listUsable()
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

func (c *Cell) listUsable() {
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
	c.sumUp()
	if len(c.prefills)+len(c.decodes) < before {
		c.lostAt = c.now
	}
	if c.pin.endpoint != nil && !c.pin.endpoint.usable() {
		c.pin = pin{}
	}
}

// sumUp derives the costs from the usable endpoints. Costs keep their last
// values while a role has no endpoint.
func (c *Cell) sumUp() {
	var rate, slots, fastest, link int64
	for _, ep := range c.prefills {
		rate += ep.rate()
		fastest = max(fastest, ep.rate())
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

// usable tells whether the endpoint may get new work, apart from a back-off.
func (ep *endpoint) usable() bool { return ep.member && !ep.Leaving && !ep.reportLeaving }

func (ep *endpoint) resize() {
	ep.mostSlots = max(ep.Slots, ep.ownSlots)
	ep.mostBlocks = max(ep.Blocks, ep.ownBlocks)
}

// blocksFor returns the memory blocks that the tokens take.
func (ep *endpoint) blocksFor(tokens int64) int64 {
	if ep.BlockTokens <= 0 {
		return 0
	}
	return (tokens + ep.BlockTokens - 1) / ep.BlockTokens
}

func (ep *endpoint) take(e *entry, blocks int64) {
	ep.slots++
	ep.blocks += blocks
	if e.own {
		ep.ownSlots++
		ep.ownBlocks += blocks
	}
}

func (ep *endpoint) give(e *entry, blocks int64) {
	ep.slots--
	ep.blocks -= blocks
	if e.own {
		ep.ownSlots--
		ep.ownBlocks -= blocks
	}
	ep.resize()
	if ep.probe == e {
		ep.probe = nil
	}
}

func (ep *endpoint) freeSlots() int64  { return ep.Slots - ep.slots - ep.foreign }
func (ep *endpoint) freeBlocks() int64 { return ep.Blocks - ep.blocks - ep.foreignBlocks }

// EndpointFailed keeps new work away from an endpoint that did not answer. The
// pause doubles with each failure until the endpoint works again; after a pause
// one request at a time tries it.
func EndpointFailed(c *Cell, now time.Time, name id.Endpoint) []Action {
	c.advance(now)
	c.failed(name)
	return c.grantQueued(nil)
}

func (c *Cell) failed(name id.Endpoint) {
	ep, ok := c.endpoints[name]
	if !ok {
		return
	}
	ep.probe = nil
	if c.now < ep.backOffUntil {
		// Several requests report one failure, which must not count as several.
		ep.backOffUntil = max(ep.backOffUntil, c.now+c.cfg.BackOff)
		return
	}
	pause := min(c.cfg.BackOff<<min(ep.fails, 16), c.cfg.BackOffMost)
	ep.fails++
	ep.backOffUntil = c.now + pause
	ep.cache.clear()
	if c.pin.endpoint == ep {
		c.pin = pin{}
	}
}

// works ends the failures of an endpoint.
func (ep *endpoint) works() {
	ep.fails = 0
	ep.backOffUntil = 0
	ep.probe = nil
}

// HandleCacheEvent notes that an endpoint holds a prefix, or no longer does.
func HandleCacheEvent(c *Cell, name id.Endpoint, prefix uint64, evicted bool) {
	ep, ok := c.endpoints[name]
	if !ok || prefix == 0 {
		return
	}
	if evicted {
		ep.cache.remove(prefix)
		return
	}
	ep.cache.add(prefix, c.cfg.CachedPrefixes)
}

// prefixCache is the set of prefixes that an endpoint is believed to hold. It
// is bounded because eviction events can be lost.
type prefixCache struct {
	at    map[uint64]int // position in ring
	ring  []uint64       // 0 is empty
	place int
}

func (p *prefixCache) has(prefix uint64) bool {
	_, ok := p.at[prefix]
	return ok
}

func (p *prefixCache) add(prefix uint64, most int) {
	if p.has(prefix) || most <= 0 {
		return
	}
	if p.at == nil {
		p.at = make(map[uint64]int)
	}
	if len(p.ring) < most {
		p.at[prefix] = len(p.ring)
		p.ring = append(p.ring, prefix)
		return
	}
	p.place %= len(p.ring)
	delete(p.at, p.ring[p.place])
	p.ring[p.place] = prefix
	p.at[prefix] = p.place
	p.place++
}

func (p *prefixCache) remove(prefix uint64) {
	i, ok := p.at[prefix]
	if !ok {
		return
	}
	p.ring[i] = 0
	delete(p.at, prefix)
}

func (p *prefixCache) clear() {
	clear(p.at)
	p.ring = p.ring[:0]
	p.place = 0
}
