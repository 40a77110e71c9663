package schedule

import (
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
// which may be ahead of the last update, or while speeds differ from the output clock of its
// endpoint.
func (c *Cell) producedTokens(e *entry, clock float64) int64 {
	if e.phase != message.PhaseDecode || c.tokenTime <= 0 {
		return 0
	}
	if c.speeds.unevenDecode && e.decode != nil {
		return max(e.tokens, int64(clock-e.startClock))
	}
	return max(e.tokens, int64((c.now-e.decodeSince)/c.tokenTime))
}

func (c *Cell) project(e *entry, clock float64) projection {
	produced := min(c.producedTokens(e, clock), e.output)
	remaining := e.expected - produced
	if remaining < overdueTokens {
		remaining = min(overdueTokens, e.output-produced)
	}
	return projection{heldTokens: e.prompt + produced, remaining: max(remaining, 0)}
}

// insertProjection adds r to runs, which are sorted by the remaining output. An engine has
// few runs, for which this costs less than a sort.
func insertProjection(runs []projection, r projection) []projection {
	runs = append(runs, r)
	i := len(runs) - 1
	for ; i > 0 && runs[i-1].remaining > r.remaining; i-- {
		runs[i] = runs[i-1]
	}
	runs[i] = r
	return runs
}

// peakTokens returns the peak memory of the runs, in tokens, if all of them grow at
// the same rate and free their memory when they end. The runs are sorted by the remaining
// output.
func peakTokens(runs []projection) int64 {
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
	clock := c.outputClock(ep)
	runs := append(c.projections[:0], c.project(e, clock))
	for _, other := range ep.decoding {
		if other != e {
			runs = insertProjection(runs, c.project(other, clock))
		}
	}
	c.projections = runs
	return peakTokens(runs)
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
	limit := memory * c.cfg.MemoryPercent / 100
	if ep.decodingPrompt+e.prompt+waste > limit {
		return 0, false // without the output, which takes longer to project
	}
	peak = c.peakWith(ep, e)
	return peak, peak+waste <= limit
}

// waitBehind estimates the time until a number of queued requests has started at a rate
// in requests per second.
func (c *Cell) waitBehind(requests int, rate float64) time.Duration {
	if requests <= 0 {
		return 0
	}
	return max(time.Duration(float64(requests)/rate*float64(time.Second)), c.limitWait(requests))
}
