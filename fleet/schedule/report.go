package schedule

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// missedReportsLimit is the number of consecutive load reports without a run after
// which the run counts as ended.
const missedReportsLimit = 2

// Run identifies one attempt that holds memory on an engine.
type Run struct {
	Request id.Request
	Attempt id.Attempt
}

// Report is the load report of one engine. It lags behind the state of the engine.
type Report struct {
	Endpoint       id.Endpoint
	Running, Slots int // requests
	FreeBlocks     int64
	Waiting        int64 // prompt tokens that are queued for prefill
	Leaving        bool
	Runs           []Run
}

// HandleReport compares a load report with the reservations. Runs that no host has
// registered take capacity, and are cancelled after OrphanTime.
func HandleReport(c *Cell, now time.Time, r Report) []Action {
	c.advance(now)
	ep, ok := c.endpoints[r.Endpoint]
	if !ok {
		return nil
	}
	ep.hasReport = true
	ep.reportedRunning = int64(r.Running)
	ep.reportedWaiting = max(r.Waiting, 0)
	c.freeAbsent(ep, r)
	c.countUnregistered(ep, r)
	acts := c.cancelOrphans(nil, ep, r)
	c.endRebuild()
	if ep.reportLeaving != r.Leaving {
		ep.reportLeaving = r.Leaving
		c.updateUsable()
		acts = c.refuseUnplaceable(acts)
	}
	return c.grantQueued(acts)
}

// freeAbsent ends the decode attempts that the engine no longer runs although no host
// has reported their end: the message may be lost, or the host unreachable. Reports
// lag, so attempts younger than ReportGrace are left out.
func (c *Cell) freeAbsent(ep *endpoint, r Report) {
	if c.cfg.Policy.NoReportedEnds || ep.Role != table.RoleDecode || len(r.Runs) != r.Running {
		return
	}
	runs := make(map[Run]bool, len(r.Runs))
	for _, run := range r.Runs {
		runs[run] = true
	}
	var gone []*entry
	for _, e := range c.runs {
		if e.decode != ep || e.phase != message.PhaseDecode || c.now-e.decodeSince < c.cfg.ReportGrace {
			continue
		}
		e.missedReports++
		if runs[Run{Request: e.request, Attempt: e.attempt}] {
			e.missedReports = 0
		}
		if e.missedReports >= missedReportsLimit {
			gone = append(gone, e)
		}
	}
	sortEntries(gone)
	for _, e := range gone {
		c.release(e)
		c.recordEnd(e, endedRecord{})
	}
}

// countUnregistered estimates the capacity that unregistered runs take. It leaves out
// runs that ended recently, because reports lag.
func (c *Cell) countUnregistered(ep *endpoint, r Report) {
	var unregisteredRuns, known int64
	for _, run := range r.Runs {
		if e := c.registeredEntry(ep, run); e != nil {
			known += e.blocksOn(ep)
			continue
		}
		if !c.ended.covers(run.Request, run.Attempt) {
			unregisteredRuns++
		}
	}
	ep.unregisteredRuns = unregisteredRuns
	ep.unregisteredBlocks = 0
	if unregisteredRuns > 0 {
		ep.unregisteredBlocks = max(0, ep.Blocks-r.FreeBlocks-known)
	}
}

// registeredEntry returns the registered attempt of a reported run, or nil. A prefill
// endpoint may still report a run that is in its decode phase.
func (c *Cell) registeredEntry(ep *endpoint, run Run) *entry {
	e, ok := c.entries[run.Request]
	if !ok || e.lane != nil || e.attempt != run.Attempt {
		return nil
	}
	if e.prefill == ep || e.decode == ep || ep.Role == table.RolePrefill {
		return e
	}
	return nil
}

func (e *entry) blocksOn(ep *endpoint) int64 {
	switch ep {
	case e.decode:
		return e.decodeBlocks
	case e.prefill:
		return e.prefillBlocks
	}
	return 0
}

// cancelOrphans cancels the runs that have been unregistered for OrphanTime, and again
// after each GrantTimeout in which they do not end.
func (c *Cell) cancelOrphans(acts []Action, ep *endpoint, r Report) []Action {
	var seen map[Run]time.Duration
	for _, run := range r.Runs {
		if c.registeredEntry(ep, run) != nil {
			continue
		}
		since, ok := ep.unregisteredSince[run]
		if !ok {
			since = c.now
		}
		if c.now-since >= c.cfg.OrphanTime {
			acts = append(acts, Cancel{Endpoint: ep.Name, Request: run.Request, Attempt: run.Attempt})
			since = c.now - c.cfg.OrphanTime + c.cfg.GrantTimeout
		}
		if seen == nil {
			seen = make(map[Run]time.Duration)
		}
		seen[run] = since
	}
	ep.unregisteredSince = seen
	return acts
}

// endRebuild ends the rebuilding once every endpoint has reported only registered
// runs, and grants of a predecessor can no longer start.
func (c *Cell) endRebuild() {
	if !c.rebuilding() || c.now < c.cfg.GrantValid {
		return
	}
	for _, list := range [][]*endpoint{c.prefills, c.decodes} {
		for _, ep := range list {
			if !ep.hasReport || ep.unregisteredRuns > 0 {
				return
			}
		}
	}
	c.rebuildUntil = c.now
}

// eventRateDecay is the weight of the earlier average in an eventRate.
const eventRateDecay = 0.9

// eventRate measures a rate of events: that at which decode slots become free, or requests of
// a level arrive.
type eventRate struct {
	count     int
	perSecond float64
}

// addPeriod adds the events of a period to the moving average.
func (r *eventRate) addPeriod(period time.Duration) {
	rate := float64(r.count) / period.Seconds()
	r.perSecond = eventRateDecay*r.perSecond + (1-eventRateDecay)*rate
	r.count = 0
}

func (c *Cell) freeSlots() int64 {
	var n int64
	for _, ep := range c.decodes {
		if c.now >= ep.backoffUntil {
			n += max(0, ep.freeSlots())
		}
	}
	return n
}

// expectedWait estimates the queueing time of a new request of a level from the prompt
// tokens that are queued at its level and above, and from the rate at which decode slots
// become free.
func (c *Cell) expectedWait(level int) time.Duration {
	if len(c.prefills) == 0 || len(c.decodes) == 0 {
		return c.cfg.MaxRetry
	}
	queued, prompt := 0, int64(0)
	for class := range c.queues {
		n, tokens := c.sumQueues(class, level)
		queued += n
		prompt += tokens
	}
	wait := time.Duration(prompt) * c.capacity.promptCost / time.Duration(len(c.prefills))
	wait = max(wait, c.limitWait(queued))
	excess := int64(queued) - c.freeSlots()
	if excess <= 0 {
		return wait
	}
	inOrder := time.Duration(float64(excess) / c.levelRate(false, level) * float64(time.Second))
	return max(wait, min(inOrder, c.turnWait(false, level, 0)))
}

func sortedKeys(m map[id.Endpoint]*endpoint) []id.Endpoint {
	names := make([]id.Endpoint, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b id.Endpoint) int { return cmp.Compare(a, b) })
	return names
}
