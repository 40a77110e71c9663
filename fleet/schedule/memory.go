package schedule

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/message"
)

// The memory of a decode endpoint is full long before its slots are taken:
// each run needs memory for its prompt and for the output so far. Reserving the
// output limit of each run leaves a large part of the memory unused, because most
// answers are much shorter. With Config.ProjectMemory the cell therefore projects the
// memory that the runs of an endpoint will need over time from their expected
// lengths, and places a run where the peak stays within the memory.

// overdueTokens is the remaining output that is assumed for a run that nears or
// exceeds its expected length.
const overdueTokens = 100

// projection is the current and the future memory of one run, in tokens.
type projection struct {
	heldTokens int64
	remaining  int64 // output still expected
}

// producedTokens estimates the output tokens of a decode run from its running time,
// which may be ahead of the last update.
func (c *Cell) producedTokens(e *entry) int64 {
	if e.phase != message.PhaseDecode || c.tokenTime <= 0 {
		return 0
	}
	if c.speeds.unevenDecode && e.decode != nil {
		return max(e.tokens, int64(c.outputClock(e.decode)-e.startClock))
	}
	return max(e.tokens, int64((c.now-e.decodeSince)/c.tokenTime))
}

func (c *Cell) project(e *entry) projection {
	produced := min(c.producedTokens(e), e.output)
	remaining := e.expected - produced
	if remaining < overdueTokens {
		remaining = min(overdueTokens, e.output-produced)
	}
	return projection{heldTokens: e.prompt + produced, remaining: max(remaining, 0)}
}

// peakTokens returns the peak memory of the runs, in tokens, if all of them grow at
// the same rate and free their memory when they end. It sorts runs.
func peakTokens(runs []projection) int64 {
	slices.SortFunc(runs, func(a, b projection) int { return cmp.Compare(a.remaining, b.remaining) })
	var heldTokens int64
	for _, r := range runs {
		heldTokens += r.heldTokens
	}
	var peak int64
	for i, r := range runs {
		growing := int64(len(runs) - i)
		peak = max(peak, heldTokens+growing*r.remaining)
		heldTokens -= r.heldTokens
	}
	return peak
}

// peakWith returns the peak memory, in tokens, of a decode endpoint with e added to
// its runs.
func (c *Cell) peakWith(ep *endpoint, e *entry) int64 {
	c.projections = append(c.projections[:0], c.project(e))
	for _, other := range ep.decoding {
		if other != e {
			c.projections = append(c.projections, c.project(other))
		}
	}
	return peakTokens(c.projections)
}

// hasRoom reports whether a decode endpoint has the memory for e, and returns its peak
// with e added if Config.ProjectMemory is set. Half a block per run is then added for partly
// filled blocks.
func (c *Cell) hasRoom(ep *endpoint, e *entry) (peak int64, ok bool) {
	if !c.cfg.ProjectMemory {
		return 0, ep.freeBlocks() >= ep.blocksFor(e.prompt+e.output)
	}
	waste := int64(len(ep.decoding)+1) * ep.BlockTokens / 2
	memory := (ep.Blocks - ep.unregisteredBlocks) * ep.BlockTokens
	peak = c.peakWith(ep, e)
	return peak, peak+waste <= memory*c.cfg.MemoryPercent/100
}

// queueWait estimates how long a request would wait for the queued requests ahead of
// it, from the rate at which runs end. With behindAll set, all queued requests are
// ahead, otherwise only the interactive ones.
func (c *Cell) queueWait(behindAll bool) time.Duration {
	ahead := c.classes[interactive].queued
	if behindAll {
		ahead = c.queued()
	}
	if ahead == 0 {
		return 0
	}
	rate := c.releasesPerSecond()
	return max(time.Duration(float64(ahead)/rate*float64(time.Second)), c.limitWait(ahead))
}
