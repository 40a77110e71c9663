package schedule

import (
	"time"

	"ragwortshunt.example/fleet/message"
)

// extend extends the reservation of a run that its host has confirmed, and sets when its
// host is asked for it next.
func (c *Cell) extend(e *entry) {
	e.reservedUntil = c.now + c.cfg.RunTimeout
	e.queryAt = c.now + c.cfg.QueryInterval + c.expectedRunTime(e)
}

// expectedRunTime returns the time within which the end of the current phase is expected.
// A phase that takes longer than estimated is assumed to take as long again, so that the
// queries of one run get rarer.
func (c *Cell) expectedRunTime(e *entry) time.Duration {
	since, end := e.prefillStart, e.prefillEnd
	if e.phase == message.PhaseDecode {
		since, end = e.decodeSince, e.decodeSince+time.Duration(e.expected)*c.tokenTime
	}
	return max(0, end-c.now, c.now-since)
}

// queryOverdue asks the hosts of runs whose end is overdue whether they still run, because
// the message of the end may be lost. Only the host's answer ends a run: a query or an
// answer can be lost too.
func (c *Cell) queryOverdue(acts []Action) []Action {
	for _, e := range c.runs {
		if e.state != stateRunning || c.now < e.queryAt || hasReportedEnd(e) {
			continue
		}
		e.queryAt = c.now + c.cfg.QueryInterval
		acts = append(acts, Send{To: e.host, Message: message.SlotQuery{Request: e.request, Attempt: e.attempt}})
	}
	return acts
}

// hasReportedEnd reports whether load reports show the end of the run; see freeAbsent.
func hasReportedEnd(e *entry) bool {
	return e.phase == message.PhaseDecode && e.decode != nil && e.decode.hasReport
}
