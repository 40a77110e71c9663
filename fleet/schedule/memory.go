package schedule

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/message"
)

// A decode endpoint is full when its memory is, long before its slots are taken:
// each run needs memory for its prompt and for the output so far. Reserving the
// output limit of each run leaves a large part of the memory unused, because most
// answers are much shorter. With Config.Projected the cell therefore foresees the
// memory that the runs of an endpoint will need at any time from their expected
// lengths, and places a run where the highest need stays within the memory.

// overdueTokens is the output that a run is expected to have left when it has
// already produced more than was expected.
const overdueTokens = 100

// projection is the memory that one run has and will get, in tokens.
type projection struct {
	held int64 // now
	left int64 // output still to come
}

// produced estimates the output tokens of a decode run by the time that it runs.
func (c *Cell) produced(e *entry) int64 {
	if e.phase != message.PhaseDecode || c.tokenTime <= 0 {
		return 0
	}
	return max(e.tokens, int64((c.now-e.decodeSince)/c.tokenTime))
}

func (c *Cell) project(e *entry) projection {
	made := min(c.produced(e), e.output)
	left := e.expected - made
	if left < overdueTokens {
		left = min(overdueTokens, e.output-made)
	}
	return projection{held: e.prompt + made, left: max(left, 0)}
}

// peakTokens returns the highest memory that runs need together while they all
// grow at one pace and leave when they have ended.
func peakTokens(runs []projection) int64 {
	slices.SortFunc(runs, func(a, b projection) int { return cmp.Compare(a.left, b.left) })
	var held int64
	for _, r := range runs {
		held += r.held
	}
	var peak int64
	for i, r := range runs {
		growing := int64(len(runs) - i)
		peak = max(peak, held+growing*r.left)
		held -= r.held
	}
	return peak
}

// peakWith returns the highest memory, in tokens, that a decode endpoint needs
// with e added to its runs.
func (c *Cell) peakWith(ep *endpoint, e *entry) int64 {
	c.projections = append(c.projections[:0], c.project(e))
	for _, other := range ep.decoding {
		if other != e {
			c.projections = append(c.projections, c.project(other))
		}
	}
	return peakTokens(c.projections)
}

// hasRoom tells whether a decode endpoint has the memory for e. Blocks are counted
// with half a block of waste for each run.
func (c *Cell) hasRoom(ep *endpoint, e *entry) bool {
	if !c.cfg.Projected {
		return ep.freeBlocks() >= ep.blocksFor(e.prompt+e.output)
	}
	waste := int64(len(ep.decoding)+1) * ep.BlockTokens / 2
	memory := (ep.Blocks - ep.foreignBlocks) * ep.BlockTokens
	return c.peakWith(ep, e)+waste <= memory*c.cfg.MemoryPercent/100
}

// queueWait estimates how long a request would wait behind the requests that go
// before it, from the rate at which runs end.
func (c *Cell) queueWait(late bool) time.Duration {
	ahead := c.classes[interactive].queued
	if late {
		ahead = c.queued()
	}
	if ahead == 0 {
		return 0
	}
	rate := max(c.releases.perSecond, 1)
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}
