package schedule

import (
	"slices"
	"time"
)

// durationAtRate returns the time that tokens take at a rate per second. It is 0 for a
// rate of 0, which means that the time is negligible.
func durationAtRate(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens) * time.Second / time.Duration(rate)
}

// linkRate returns the rate of a transfer between two endpoints in tokens per second.
func linkRate(p, d *endpoint) int64 {
	if p.LinkRate <= 0 || d.LinkRate <= 0 {
		return max(p.LinkRate, d.LinkRate)
	}
	return min(p.LinkRate, d.LinkRate)
}

// earliestTransfer returns the earliest time from which both links are free for the
// whole transfer.
func earliestTransfer(p, d *endpoint, from, length time.Duration) time.Duration {
	if length == 0 {
		return from
	}
	for {
		t := firstFreeTime(p.transfers, from, length)
		t = firstFreeTime(d.transfers, t, length)
		if t == from {
			return t
		}
		from = t
	}
}

// firstFreeTime returns the earliest time, not before from, at which a transfer of
// this length overlaps no planned one.
func firstFreeTime(transfers []*entry, from, length time.Duration) time.Duration {
	for moved := true; moved; {
		moved = false
		for _, e := range transfers {
			if e.transferStart < from+length && from < e.transferEnd {
				from = e.transferEnd
				moved = true
			}
		}
	}
	return from
}

func (c *Cell) addTransfer(e *entry) {
	c.pruneTransfers(e.prefill)
	c.pruneTransfers(e.decode)
	e.transferSource = e.prefill
	e.prefill.transfers = append(e.prefill.transfers, e)
	e.decode.transfers = append(e.decode.transfers, e)
}

// pruneTransfers removes the transfers that have ended.
func (c *Cell) pruneTransfers(ep *endpoint) {
	ep.transfers = slices.DeleteFunc(ep.transfers, func(e *entry) bool {
		return e.prefill == nil && e.transferEnd <= c.now
	})
}

func (ep *endpoint) removeTransfer(e *entry) {
	if i := slices.Index(ep.transfers, e); i >= 0 {
		ep.transfers = slices.Delete(ep.transfers, i, i+1)
	}
}

// replanPrefills schedules the granted prefills of an endpoint one after the other,
// and delays their transfers accordingly.
func (c *Cell) replanPrefills(ep *endpoint) {
	at := c.now
	for i, e := range ep.prefills {
		if i > 0 || e.prefillStart > c.now {
			e.prefillStart = at
		}
		e.prefillEnd = e.prefillStart + e.prefillTime
		at = max(c.now, e.prefillEnd)
		e.moveTransfer(e.prefillEnd)
	}
}

func (e *entry) moveTransfer(from time.Duration) {
	length := e.transferEnd - e.transferStart
	e.transferStart = max(e.transferStart, from)
	e.transferEnd = e.transferStart + length
}

// backlog returns the time until a further prefill would start. A prefill that is late is
// expected to take as long again as it is late, so a stalled endpoint soon gets no
// more work.
func (c *Cell) backlog(ep *endpoint) time.Duration {
	if len(ep.prefills) == 0 {
		return 0
	}
	last := ep.prefills[len(ep.prefills)-1]
	return max(last.prefillEnd-c.now, 0) + c.lateness(ep.prefills[0])
}

// lateness returns the time since the planned end of a prefill. It returns 0 for a grant that
// its host has not used within GrantValid: the message may have been lost.
func (c *Cell) lateness(e *entry) time.Duration {
	late := max(c.now-e.prefillEnd, 0)
	if e.state == stateGranted && late > c.cfg.GrantValid {
		return 0
	}
	return late
}
