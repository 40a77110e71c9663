package schedule

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// absentReports is the number of load reports in a row without a run after which
// it has ended.
const absentReports = 2

// Run names one attempt that holds memory on an engine.
type Run struct {
	Request id.Request
	Attempt id.Attempt
}

// Report is the load report of one engine. It lags behind the truth.
type Report struct {
	Endpoint       id.Endpoint
	Running, Slots int   // requests
	FreeBlocks     int64 // blocks
	Waiting        int64 // prompt tokens that wait for prefill
	Leaving        bool
	Runs           []Run
}

// HandleReport compares a load report with the reservations. Runs that nobody
// has registered take capacity, and are cancelled after OrphanTime.
func HandleReport(c *Cell, now time.Time, r Report) []Action {
	c.advance(now)
	ep, ok := c.endpoints[r.Endpoint]
	if !ok {
		return nil
	}
	ep.reported = true
	ep.running = int64(r.Running)
	ep.waiting = max(r.Waiting, 0)
	c.freeAbsent(ep, r)
	c.countForeign(ep, r)
	acts := c.cancelStray(nil, ep, r)
	c.endRebuild()
	if ep.reportLeaving != r.Leaving {
		ep.reportLeaving = r.Leaving
		c.listUsable()
		acts = c.refuseUnplaceable(acts)
	}
	return c.grantQueued(acts)
}

// freeAbsent ends the decode attempts that the engine no longer runs, although
// no host has reported their end. The message may be lost, or the host may be cut
// off. A report is older than it looks, so that young attempts are left out.
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
		if e.decode != ep || e.phase != message.PhaseDecode || c.now-e.decodeSince < c.cfg.ReportTrust {
			continue
		}
		e.absent++
		if runs[Run{Request: e.request, Attempt: e.attempt}] {
			e.absent = 0
		}
		if e.absent >= absentReports {
			gone = append(gone, e)
		}
	}
	sortEntries(gone)
	for _, e := range gone {
		c.release(e)
		c.forget(e, endedRecord{})
	}
}

// countForeign estimates what unregistered runs occupy. A run that ended a
// moment ago is left out, because reports lag.
func (c *Cell) countForeign(ep *endpoint, r Report) {
	var foreign, known int64
	for _, run := range r.Runs {
		if e := c.holder(ep, run); e != nil {
			known += e.blocksOn(ep)
			continue
		}
		if !c.ended.covers(run.Request, run.Attempt) {
			foreign++
		}
	}
	ep.foreign = foreign
	ep.foreignBlocks = 0
	if foreign > 0 {
		ep.foreignBlocks = max(0, ep.Blocks-r.FreeBlocks-known)
	}
}

// holder returns the registered attempt that a reported run belongs to. A
// prefill endpoint may still report a run that has gone on to decode.
func (c *Cell) holder(ep *endpoint, run Run) *entry {
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

// cancelStray cancels the runs that have been unregistered for OrphanTime, and
// again later if they are still there.
func (c *Cell) cancelStray(acts []Action, ep *endpoint, r Report) []Action {
	var seen map[Run]time.Duration
	for _, run := range r.Runs {
		if c.holder(ep, run) != nil {
			continue
		}
		since, ok := ep.stray[run]
		if !ok {
			since = c.now
		}
		if c.now-since >= c.cfg.OrphanTime {
			acts = append(acts, Cancel{Endpoint: ep.Name, Request: run.Request, Attempt: run.Attempt})
			since = c.now - c.cfg.OrphanTime + c.cfg.HoldTimeout
		}
		if seen == nil {
			seen = make(map[Run]time.Duration)
		}
		seen[run] = since
	}
	ep.stray = seen
	return acts
}

// endRebuild ends the rebuilding once every endpoint has reported only
// registered runs and grants of a predecessor can no longer start.
func (c *Cell) endRebuild() {
	if !c.rebuilding() || c.now < c.cfg.GrantValid {
		return
	}
	for _, list := range [][]*endpoint{c.prefills, c.decodes} {
		for _, ep := range list {
			if !ep.reported || ep.foreign > 0 {
				return
			}
		}
	}
	c.rebuildUntil = c.now
}

// releaseRate measures how many decode slots become free.
type releaseRate struct {
	count     int
	perSecond float64
}

// roll takes the releases of a period into the mean.
func (r *releaseRate) roll(period time.Duration) {
	const keep = 0.9
	rate := float64(r.count) / period.Seconds()
	r.perSecond = keep*r.perSecond + (1-keep)*rate
	r.count = 0
}

func (c *Cell) freeSlots() int64 {
	var n int64
	for _, ep := range c.decodes {
		if c.now >= ep.backOffUntil {
			n += max(0, ep.freeSlots())
		}
	}
	return n
}

// expectedWait estimates the queueing time of a new request from the queued
// prompt tokens and from the rate at which decode slots become free.
func (c *Cell) expectedWait() time.Duration {
	if len(c.prefills) == 0 || len(c.decodes) == 0 {
		return c.cfg.RetryMost
	}
	var prompt int64
	for i := range c.classes {
		prompt += c.classes[i].prompt
	}
	wait := time.Duration(prompt) * c.capacity.promptCost / time.Duration(len(c.prefills))
	short := int64(c.queued()) - c.freeSlots()
	if short <= 0 {
		return wait
	}
	rate := max(c.releases.perSecond, 1)
	return max(wait, time.Duration(float64(short)/rate*float64(time.Second)))
}

func sortedKeys(m map[id.Endpoint]*endpoint) []id.Endpoint {
	names := make([]id.Endpoint, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b id.Endpoint) int { return cmp.Compare(a, b) })
	return names
}
