package schedule

import (
	"errors"
	"fmt"
)

// usage sums up the reservations of the runs on one endpoint.
type usage struct {
	slots, blocks, grantedSlots, grantedBlocks int64
	prefills                                   int
}

// Check returns an error if the state of the cell violates an invariant. It reads the
// whole state.
func Check(c *Cell) error {
	return errors.Join(c.checkRuns(), c.checkEndpoints(), c.checkQueues(), c.checkEntries())
}

// checkRuns checks that each run is registered, live and within its deadline.
func (c *Cell) checkRuns() error {
	for i, e := range c.runs {
		if e.runIndex != i || c.entries[e.request] != e || e.lane != nil {
			return fmt.Errorf("run %s/%d is not registered", e.request, e.attempt)
		}
		if e.reservedUntil < c.lastSweep {
			return fmt.Errorf("run %s/%d was not cancelled at its deadline %v by %v", e.request, e.attempt, e.reservedUntil, c.lastSweep)
		}
		if e.reservedUntil > c.now+max(c.cfg.RunTimeout, c.cfg.GrantTimeout) {
			return fmt.Errorf("run %s/%d has deadline %v, which is too late at %v", e.request, e.attempt, e.reservedUntil, c.now)
		}
		if c.ended.covers(e.request, e.attempt) && c.ended.records[e.request].outcome != outcomeRefused {
			return fmt.Errorf("run %s/%d has ended and still holds capacity", e.request, e.attempt)
		}
	}
	return nil
}

// checkEndpoints compares the counters of the endpoints with the reservations of the
// runs and with the endpoint sizes.
func (c *Cell) checkEndpoints() error {
	use := make(map[*endpoint]*usage)
	for _, e := range c.runs {
		addUsage(use, e.prefill, e, e.prefillBlocks)
		addUsage(use, e.decode, e, e.decodeBlocks)
	}
	for _, name := range sortedKeys(c.endpoints) {
		ep := c.endpoints[name]
		u := use[ep]
		if u == nil {
			u = &usage{}
		}
		delete(use, ep)
		if err := c.checkEndpoint(ep, u); err != nil {
			return err
		}
	}
	if len(use) > 0 {
		return fmt.Errorf("%d endpoints with reservations are unknown", len(use))
	}
	return nil
}

func addUsage(use map[*endpoint]*usage, ep *endpoint, e *entry, blocks int64) {
	if ep == nil {
		return
	}
	u := use[ep]
	if u == nil {
		u = &usage{}
		use[ep] = u
	}
	u.slots++
	u.blocks += blocks
	if e.grantedHere {
		u.grantedSlots++
		u.grantedBlocks += blocks
	}
	if e.prefill == ep {
		u.prefills++
	}
}

func (c *Cell) checkEndpoint(ep *endpoint, u *usage) error {
	got := usage{slots: ep.slots, blocks: ep.blocks, grantedSlots: ep.grantedSlots, grantedBlocks: ep.grantedBlocks, prefills: len(ep.prefills)}
	if got != *u {
		return fmt.Errorf("endpoint %s counts the reservations %+v, its runs have %+v", ep.Name, got, *u)
	}
	if c.cfg.Policy.Placement != PlacementReserve {
		return nil
	}
	if ep.grantedSlots > ep.maxGrantedSlots || ep.grantedBlocks > ep.maxGrantedBlocks {
		return fmt.Errorf("endpoint %s has %d slots and %d blocks granted, more than %d and %d",
			ep.Name, ep.grantedSlots, ep.grantedBlocks, ep.maxGrantedSlots, ep.maxGrantedBlocks)
	}
	for _, e := range ep.transfers {
		if e.runIndex < 0 {
			return fmt.Errorf("endpoint %s plans a transfer of %s/%d, which has ended", ep.Name, e.request, e.attempt)
		}
	}
	return nil
}

func (c *Cell) checkQueues() error {
	total := 0
	for class := range c.queues {
		for level := range c.queues[class] {
			n, err := c.checkQueue(class, level)
			if err != nil {
				return err
			}
			total += n
		}
	}
	if total != len(c.queueDeadlines) {
		return fmt.Errorf("%d requests are queued, %d have a queue deadline", total, len(c.queueDeadlines))
	}
	if len(c.skipped) > 0 {
		return fmt.Errorf("%d lanes are still skipped after a pass over the queue", len(c.skipped))
	}
	if e := c.pin.entry; e != nil && (e.lane == nil || c.entries[e.request] != e) {
		return fmt.Errorf("endpoint %s is drained for %s, which is not queued", c.pin.endpoint.Name, e.request)
	}
	return nil
}

// checkQueue checks the queue of a class and level and returns its number of requests.
func (c *Cell) checkQueue(class, level int) (int, error) {
	q := &c.queues[class][level]
	total, lanes := 0, 0
	for _, a := range c.accounts {
		f := a.flows[class][level]
		if f == nil {
			continue
		}
		n := 0
		for j := range f.lanes {
			l := &f.lanes[j]
			n += len(l.heap)
			if len(l.heap) == 0 {
				continue
			}
			lanes++
			if l.index < 0 || l.index >= len(q.lanes) || q.lanes[l.index] != l || l.bucket != c.bucket(f) {
				return 0, fmt.Errorf("account %s has a wrong position in the queue", a.name)
			}
		}
		if n != f.queued {
			return 0, fmt.Errorf("account %s has %d requests queued, counted %d", a.name, n, f.queued)
		}
		total += n
	}
	if total != q.queued || lanes != len(q.lanes) {
		return 0, fmt.Errorf("class %d, level %d has %d requests in %d lanes, counted %d in %d", class, level, total, lanes, q.queued, len(q.lanes))
	}
	return total, nil
}

func (c *Cell) checkEntries() error {
	if len(c.entries) != len(c.runs)+len(c.queueDeadlines) {
		return fmt.Errorf("the cell has %d requests, but %d run and %d are queued", len(c.entries), len(c.runs), len(c.queueDeadlines))
	}
	for _, e := range c.queueDeadlines {
		if c.entries[e.request] != e {
			return fmt.Errorf("queued request %s/%d is not registered", e.request, e.attempt)
		}
	}
	if len(c.queueDeadlines) > max(c.cfg.MaxQueue, 1) {
		return fmt.Errorf("%d requests are queued, more than %d", len(c.queueDeadlines), c.cfg.MaxQueue)
	}
	return nil
}
