package schedule

import (
	"errors"
	"fmt"
)

// usage is what the live attempts hold on one endpoint.
type usage struct {
	slots, blocks, ownSlots, ownBlocks int64
	queue                              int
}

// Check returns an error if the state of the cell breaks an invariant. It reads
// the whole state.
func Check(c *Cell) error {
	return errors.Join(c.checkRuns(), c.checkEndpoints(), c.checkQueues(), c.checkEntries())
}

// checkRuns finds reservations that should have ended.
func (c *Cell) checkRuns() error {
	for i, e := range c.runs {
		if e.runIndex != i || c.entries[e.request] != e || e.lane != nil {
			return fmt.Errorf("run %s/%d is not registered", e.request, e.attempt)
		}
		if e.deadline < c.sweptAt {
			return fmt.Errorf("run %s/%d outlived its deadline %v at %v", e.request, e.attempt, e.deadline, c.sweptAt)
		}
		if e.deadline > c.now+max(c.cfg.HoldLapse, c.cfg.HoldTimeout) {
			return fmt.Errorf("run %s/%d has deadline %v at %v", e.request, e.attempt, e.deadline, c.now)
		}
		if c.ended.covers(e.request, e.attempt) && c.ended.records[e.request].outcome != outcomeRefused {
			return fmt.Errorf("run %s/%d has ended and still holds capacity", e.request, e.attempt)
		}
	}
	return nil
}

// checkEndpoints compares the counters of the endpoints with the live attempts
// and with the sizes.
func (c *Cell) checkEndpoints() error {
	use := make(map[*endpoint]*usage)
	for _, e := range c.runs {
		count(use, e.prefill, e, e.prefillBlocks)
		count(use, e.decode, e, e.decodeBlocks)
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

func count(use map[*endpoint]*usage, ep *endpoint, e *entry, blocks int64) {
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
	if e.own {
		u.ownSlots++
		u.ownBlocks += blocks
	}
	if e.prefill == ep {
		u.queue++
	}
}

func (c *Cell) checkEndpoint(ep *endpoint, u *usage) error {
	got := usage{slots: ep.slots, blocks: ep.blocks, ownSlots: ep.ownSlots, ownBlocks: ep.ownBlocks, queue: len(ep.queue)}
	if got != *u {
		return fmt.Errorf("endpoint %s counts %+v, its runs hold %+v", ep.Name, got, *u)
	}
	if c.cfg.Policy.Placement != PlacementReserve {
		return nil
	}
	if ep.ownSlots > ep.mostSlots || ep.ownBlocks > ep.mostBlocks {
		return fmt.Errorf("endpoint %s has %d slots and %d blocks granted, more than %d and %d",
			ep.Name, ep.ownSlots, ep.ownBlocks, ep.mostSlots, ep.mostBlocks)
	}
	for _, e := range ep.links {
		if e.runIndex < 0 {
			return fmt.Errorf("endpoint %s plans a transfer of %s/%d, which has ended", ep.Name, e.request, e.attempt)
		}
	}
	return nil
}

func (c *Cell) checkQueues() error {
	total := 0
	for i := range c.classes {
		n, err := c.checkClass(i)
		if err != nil {
			return err
		}
		total += n
	}
	if total != len(c.late) {
		return fmt.Errorf("%d requests are queued, %d have a time limit", total, len(c.late))
	}
	if len(c.aside) > 0 {
		return fmt.Errorf("%d queues are set aside", len(c.aside))
	}
	if e := c.pin.entry; e != nil && (e.lane == nil || c.entries[e.request] != e) {
		return fmt.Errorf("endpoint %s is drained for %s, which is not queued", c.pin.endpoint.Name, e.request)
	}
	return nil
}

// checkClass returns the number of requests in a class.
func (c *Cell) checkClass(i int) (int, error) {
	q := &c.classes[i]
	total, lanes := 0, 0
	for _, a := range c.accounts {
		f := &a.flows[i]
		n := 0
		for j := range f.lanes {
			l := &f.lanes[j]
			n += len(l.heap)
			if len(l.heap) == 0 {
				continue
			}
			lanes++
			if l.index < 0 || l.index >= len(q.lanes) || q.lanes[l.index] != l || l.bucket != c.bucket(f) {
				return 0, fmt.Errorf("account %s is out of place in the queue", a.name)
			}
		}
		if n != f.queued {
			return 0, fmt.Errorf("account %s has %d requests queued, counted %d", a.name, n, f.queued)
		}
		total += n
	}
	if total != q.queued || lanes != len(q.lanes) {
		return 0, fmt.Errorf("class %d has %d requests in %d lanes, counted %d in %d", i, total, lanes, q.queued, len(q.lanes))
	}
	return total, nil
}

func (c *Cell) checkEntries() error {
	if len(c.entries) != len(c.runs)+len(c.late) {
		return fmt.Errorf("%d requests are known, %d run and %d are queued", len(c.entries), len(c.runs), len(c.late))
	}
	for _, e := range c.late {
		if c.entries[e.request] != e {
			return fmt.Errorf("queued request %s/%d is not registered", e.request, e.attempt)
		}
	}
	if len(c.late) > max(c.cfg.MaxQueue, 1) {
		return fmt.Errorf("%d requests are queued, more than %d", len(c.late), c.cfg.MaxQueue)
	}
	return nil
}
