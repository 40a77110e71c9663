package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

// Entry hosts see each event of a stream. They tell the scheduler of a run the time per
// output token of its engine if that differs by more than a quarter from the value in the
// grant, or from the value that they sent last. Losing such a message does no harm: it is
// repeated while the speed differs, and the scheduler forgets what it has heard.

const (
	// paceInterval is the shortest time between two messages about one engine.
	paceInterval = time.Second
	// paceWindow is the time over which an entry host measures the pace of an engine.
	paceWindow = 500 * time.Millisecond
	// maxPaceWindow bounds it if there are few events.
	maxPaceWindow = 2 * time.Second
	// minPaceGaps is the number of pauses between events that show the pace of an engine.
	minPaceGaps = 3
	// minFastWindow is the shortest measurement that shows that an engine is fast. A host that
	// was paused reads several events at once.
	minFastWindow = 400 * time.Millisecond
	// paceRatio is the ratio beyond which a pace differs from the expected one.
	paceRatio = 1.25
	// sentPaceTTL is the time after which a scheduler has forgotten what this host sent.
	sentPaceTTL = 5 * time.Second
	// speedGaugeInterval is the interval at which a scheduler exports the speeds of engines.
	speedGaugeInterval = time.Second
)

// partScheduler marks log lines of the scheduler of a cell.
const partScheduler = "scheduler"

// enginePace is what this host has measured on one decode engine, in times per event.
type enginePace struct {
	since   time.Time // start of the window
	gaps    int
	total   time.Duration
	longest time.Duration
	sent    time.Duration // value of the last message
	sentAt  time.Time
}

// recordEnginePace adds the time since the last event of a stream to the pace of its engine. It
// must be called before the event counts as delivered.
func (s *step) recordEnginePace(r *request, events int) {
	if !r.relayed || r.grantedTokenTime <= 0 || r.delivered <= r.decodeFrom || r.lastToken.IsZero() {
		return
	}
	p := s.enginePaces[r.decode]
	if s.paceWindowEnded(p) {
		p = enginePace{since: r.lastToken, sent: p.sent, sentAt: p.sentAt}
	}
	gap := s.now.Sub(r.lastToken) / time.Duration(events)
	p.gaps += events
	p.total += gap * time.Duration(events)
	p.longest = max(p.longest, gap)
	s.enginePaces[r.decode] = p
	s.sendPace(r, p)
}

// paceWindowEnded reports whether a measurement starts anew: after paceWindow, later if there
// were few events, and after a pause of this host.
func (s *step) paceWindowEnded(p enginePace) bool {
	age := s.now.Sub(p.since)
	return age > paceWindow && p.gaps >= minPaceGaps || age > maxPaceWindow || p.since.Before(s.resumedAt)
}

// sendPace tells the scheduler of a request the pace of its engine if it is not the
// expected one.
func (s *step) sendPace(r *request, p enginePace) {
	if p.gaps < minPaceGaps || s.now.Sub(p.sentAt) < paceInterval || r.schedulerHost == "" {
		return
	}
	perEvent := s.unexpectedPace(p, r.grantedTokenTime*time.Duration(s.eventTokens(r)))
	if perEvent <= 0 {
		return
	}
	p.sent, p.sentAt = perEvent, s.now
	s.enginePaces[r.decode] = p
	s.send(r.schedulerHost, message.EnginePace{
		Model: r.route.Model, CellIndex: r.cell.CellIndex, Endpoint: r.decode,
		TokenTime: perEvent / time.Duration(s.eventTokens(r)),
	})
}

// unexpectedPace returns the time per event if it differs from the expected one or from the
// one that was sent, otherwise 0. The longest pause does not count as evidence that an
// engine is slow, because a single stream pauses while its engine lacks memory.
func (s *step) unexpectedPace(p enginePace, expected time.Duration) time.Duration {
	mean := p.total / time.Duration(p.gaps)
	trimmed := (p.total - p.longest) / time.Duration(p.gaps-1)
	canBeFast := p.total >= minFastWindow
	isSent := p.sent > 0 && s.now.Sub(p.sentAt) < sentPaceTTL
	switch {
	case exceeds(trimmed, expected) || isSent && exceeds(trimmed, p.sent):
		return trimmed
	case canBeFast && (exceeds(expected, mean) || isSent && exceeds(p.sent, mean)):
		return mean
	}
	return 0
}

// exceeds reports whether a exceeds b by more than a quarter.
func exceeds(a, b time.Duration) bool { return float64(a) > paceRatio*float64(b) }

// eventTokens returns the output tokens per event of the engine of a request.
func (s *step) eventTokens(r *request) int64 {
	return max(s.snapshot().Pools[s.snapshot().Endpoints[r.decode].Pool].EventTokens, 1)
}

// timeLeft returns how long the caller will wait for the end of the response, or 0 if it
// names no time.
func (s *step) timeLeft(r *request) time.Duration {
	if !r.relayed || r.deadline.IsZero() {
		return 0
	}
	return max(r.deadline.Sub(s.now), 1)
}

// eventGapTarget returns the target for the pause between two events in relay mode.
func (r *request) eventGapTarget() time.Duration {
	if !r.relayed {
		return 0
	}
	return r.route.BetweenTokens
}

// enginePaced passes the report of an entry host to its cell. A report does not create a
// cell.
func (s *step) enginePaced(m message.EnginePace) {
	k := cellKey{Zone: s.cfg.Zone, Model: m.Model, CellIndex: m.CellIndex}
	if c, ok := s.scheduler.cells[k]; ok {
		schedule.HandlePace(c.cell, s.now, m.Endpoint, m.TokenTime)
	}
}

// tickSpeeds logs the engines that have become slow, or have not been for a while, and
// exports the speeds of all engines.
func (s *step) tickSpeeds(c *scheduledCell) {
	if !s.cfg.Schedule.EngineSpeeds {
		return
	}
	for _, change := range schedule.TakeSpeedChanges(c.cell) {
		s.logSpeedChange(change)
	}
	if s.now.Sub(c.lastSpeeds) < speedGaugeInterval {
		return
	}
	c.lastSpeeds = s.now
	for _, speed := range schedule.EngineSpeeds(c.cell) {
		s.emit(EndpointGauge{Name: MetricTokenTime, Endpoint: speed.Endpoint, Value: speed.TokenTime.Seconds()})
		s.emit(EndpointGauge{Name: MetricPrefillRate, Endpoint: speed.Endpoint, Value: speed.PrefillRate})
	}
}

func (s *step) logSpeedChange(change schedule.SpeedChange) {
	s.emit(Log{
		Level: LogInfo, Component: partScheduler, Text: speedText(change.Slow), Code: string(change.Role),
		Trace: fmt.Sprintf("endpoint %s; %s per token, %s in the cell", change.Endpoint, change.PerToken, change.Typical),
	})
}

func speedText(slow bool) string {
	if slow {
		return "Engine is slow."
	}
	return "Engine is no longer slow."
}

// clearSpeedGauges sets the speeds of the engines to 0 that a cell of this host had before
// and has no longer.
func (s *step) clearSpeedGauges(before, now map[id.Endpoint]bool) {
	if !s.cfg.Schedule.EngineSpeeds {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if !now[name] {
			s.emit(EndpointGauge{Name: MetricTokenTime, Endpoint: name})
			s.emit(EndpointGauge{Name: MetricPrefillRate, Endpoint: name})
		}
	}
}

// forgetPaces forgets the paces of engines that are not in the table any more.
func (s *step) forgetPaces() {
	for name := range s.enginePaces {
		if _, ok := s.snapshot().Endpoints[name]; !ok {
			delete(s.enginePaces, name)
		}
	}
}

// enginePaces holds the measured paces by decode engine.
type enginePaces map[id.Endpoint]enginePace
