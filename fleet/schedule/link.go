package schedule

import (
	"slices"
	"time"
)

// tokenTime returns the time that tokens take at a rate per second. A rate of 0
// means that the time does not matter.
func tokenTime(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens) * time.Second / time.Duration(rate)
}

// linkRate is the rate of a transfer between two endpoints.
func linkRate(p, d *endpoint) int64 {
	if p.LinkRate <= 0 || d.LinkRate <= 0 {
		return max(p.LinkRate, d.LinkRate)
	}
	return min(p.LinkRate, d.LinkRate)
}

// sendAt returns the earliest time from which both links are free for as long
// as the transfer takes.
func sendAt(p, d *endpoint, from, length time.Duration) time.Duration {
	if length == 0 {
		return from
	}
	for {
		t := clearOf(p.links, from, length)
		t = clearOf(d.links, t, length)
		if t == from {
			return t
		}
		from = t
	}
}

// clearOf moves from behind every transfer that overlaps it.
func clearOf(links []*entry, from, length time.Duration) time.Duration {
	for moved := true; moved; {
		moved = false
		for _, e := range links {
			if e.sendStart < from+length && from < e.sendEnd {
				from = e.sendEnd
				moved = true
			}
		}
	}
	return from
}

func (c *Cell) addLinks(e *entry) {
	c.pruneLinks(e.prefill)
	c.pruneLinks(e.decode)
	e.sender = e.prefill
	e.prefill.links = append(e.prefill.links, e)
	e.decode.links = append(e.decode.links, e)
}

// pruneLinks drops the transfers that are over.
func (c *Cell) pruneLinks(ep *endpoint) {
	ep.links = slices.DeleteFunc(ep.links, func(e *entry) bool {
		return e.prefill == nil && e.sendEnd <= c.now
	})
}

func (ep *endpoint) dropLink(e *entry) {
	if i := slices.Index(ep.links, e); i >= 0 {
		ep.links = slices.Delete(ep.links, i, i+1)
	}
}

// replan puts the granted prefills of an endpoint one after the other, and
// moves their transfers behind them.
func (c *Cell) replan(ep *endpoint) {
	at := c.now
	for i, e := range ep.queue {
		if i > 0 || e.prefillStart > c.now {
			e.prefillStart = at
		}
		e.prefillEnd = e.prefillStart + e.prefillTime
		at = max(c.now, e.prefillEnd)
		e.moveSend(e.prefillEnd)
	}
}

func (e *entry) moveSend(from time.Duration) {
	length := e.sendEnd - e.sendStart
	e.sendStart = max(e.sendStart, from)
	e.sendEnd = e.sendStart + length
}

// backlog is the time until a further prefill would start. A prefill that has
// not ended in its time is expected to take as long again as it is late, so a
// stalled endpoint soon gets no more work.
func (c *Cell) backlog(ep *endpoint) time.Duration {
	if len(ep.queue) == 0 {
		return 0
	}
	last := ep.queue[len(ep.queue)-1]
	return max(last.prefillEnd-c.now, 0) + c.lateness(ep.queue[0])
}

// lateness is the time since the planned end of a prefill. A grant that no host
// has used in its time does not count: the message may have been lost.
func (c *Cell) lateness(e *entry) time.Duration {
	late := max(c.now-e.prefillEnd, 0)
	if e.state == stateGranted && late > c.cfg.GrantValid {
		return 0
	}
	return late
}
