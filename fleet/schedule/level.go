package schedule

import (
	"math"
	"time"

	"ragwortshunt.example/fleet/message"
)

// A model may have priority levels. Its queues are ordered by level, then by class, then
// by weighted fair queueing. Less urgent levels get a minimum share of the endpoint time,
// so that a constant load of urgent requests does not starve them. A model without levels
// uses level 0 only.

// minLevelRate is the lowest rate of a level, in requests per second, that estimates use.
const minLevelRate = 1

// levelTurns divides the minimum share of the less urgent levels equally among them.
type levelTurns struct {
	served [message.MaxLevels]time.Duration // endpoint time granted in turns
}

// hold is the state in which a request that lacks memory holds back the levels below. It
// ends with a grant at its level or above, or when no request lacks memory.
type hold struct {
	active bool
	level  int
	since  time.Duration
}

// SetLevels sets the number of priority levels of the model; 0 means that it has none.
// Queued requests move to the queues of their levels.
func SetLevels(c *Cell, now time.Time, levels int) {
	c.advance(now)
	if c.cfg.Policy.NoLevels || levels < 2 {
		levels = 0
	}
	levels = min(levels, message.MaxLevels)
	if levels == c.levels {
		return
	}
	c.levels = levels
	c.levelDebt = 0
	c.levelTurns = levelTurns{}
	c.hold = hold{}
	c.arrivals = [message.MaxLevels]eventRate{}
	c.retries = retrySchedule{}
	queued := make([]*entry, len(c.queueDeadlines))
	copy(queued, c.queueDeadlines)
	sortEntries(queued)
	for _, e := range queued {
		c.dequeue(e)
		e.level = c.levelIndex(e.stated)
		c.enqueue(e)
	}
}

// levelIndex returns the position of a level among the queues. A request without a level,
// which a host of an older version has sent, counts as the middle.
func (c *Cell) levelIndex(l message.Level) int {
	if c.levels == 0 {
		return 0
	}
	rank, ok := l.Rank()
	if !ok {
		return c.levels / 2
	}
	return min(rank, c.levels-1)
}

// levelCount returns the number of levels that requests can have.
func (c *Cell) levelCount() int { return max(c.levels, 1) }

// queuedAt returns the number of queued requests of a level.
func (c *Cell) queuedAt(level int) int {
	n := 0
	for class := range c.queues {
		n += c.queues[class][level].queued
	}
	return n
}

func (c *Cell) queuedInClass(class int) int {
	n, _ := c.sumQueues(class, message.MaxLevels-1)
	return n
}

// sumQueues returns the number of queued requests of a class at a level and above, and
// their prompt tokens.
func (c *Cell) sumQueues(class, level int) (requests int, prompt int64) {
	for i := range c.queues[class][:level+1] {
		requests += c.queues[class][i].queued
		prompt += c.queues[class][i].prompt
	}
	return requests, prompt
}

// queuedAhead returns the number of queued requests that are ahead of one of a level; see
// levelWait.
func (c *Cell) queuedAhead(behindAll bool, level int) int {
	inTime, _ := c.sumQueues(interactive, level)
	if !behindAll {
		level--
	}
	late, _ := c.sumQueues(deferrable, level)
	return inTime + late
}

// drainRate returns the rate, in requests per second, at which queued requests can start:
// the measured rate at which runs end. That rate lags by about a second, and is too low
// when a burst begins. For a model with levels, the rate that follows from the current
// runs and their expected time at the measured speeds is used if it is higher.
func (c *Cell) drainRate() float64 {
	rate := c.releasesPerSecond()
	if c.levels == 0 || c.runAverages.samples < minBalanceSamples {
		return rate
	}
	runTime := c.runAverages.output * c.meanTokenTime().Seconds()
	runTime += c.runAverages.prompt / max(c.meanPrefillRate(), 1)
	if runTime <= 0 {
		return rate
	}
	return max(rate, float64(len(c.runs))/runTime)
}

// countArrival counts a new request among those that overtake less urgent ones.
func (c *Cell) countArrival(e *entry) {
	if c.levels > 0 && c.classIndex(e.class) == interactive {
		c.arrivals[e.level].count++
	}
}

// measureArrivals ends a period in which arrivals are counted.
func (c *Cell) measureArrivals(period time.Duration) {
	for level := range c.levels {
		c.arrivals[level].addPeriod(period)
	}
}

// levelWait estimates how long a request of a level would wait, in the order of the queue or
// by the turns of its level. With behindAll set it is behind all requests of its level and
// above, otherwise it is still in time and goes before the late ones of its own level. Of the
// requests ahead, skip are left out.
func (c *Cell) levelWait(behindAll bool, level, skip int) time.Duration {
	wait := c.waitBehind(c.queuedAhead(behindAll, level)-skip, c.levelRate(behindAll, level))
	return min(wait, c.turnWait(behindAll, level, skip))
}

// turnWait estimates how long a request of a level would wait if its level were granted
// only in its turns. Without turns it returns the longest duration.
func (c *Cell) turnWait(behindAll bool, level, skip int) time.Duration {
	if c.levels == 0 || level == 0 || c.cfg.LowerLevelShare <= 0 {
		return math.MaxInt64
	}
	turns := 1
	for l := 1; l < c.levels; l++ {
		if l != level && c.queuedAt(l) > 0 {
			turns++
		}
	}
	ahead := c.queues[interactive][level].queued
	if behindAll {
		ahead = c.queuedAt(level)
	}
	rate := c.drainRate() * float64(c.cfg.LowerLevelShare) / 100 / float64(turns)
	return c.waitBehind(ahead-skip+1, rate)
}

// levelRate returns the rate, in requests per second, at which the requests ahead of one
// of a level start. Requests that arrive meanwhile and go before it take their part of the
// rate: those of more urgent levels and, with behindAll set, those of its own level.
func (c *Cell) levelRate(behindAll bool, level int) float64 {
	rate := c.drainRate()
	if behindAll {
		level++
	}
	for l := range min(level, c.levels) {
		rate -= c.arrivals[l].perSecond
	}
	return max(rate, minLevelRate)
}

// urgentLevel returns the most urgent level with queued requests, which goes first apart
// from turns, or levelCount if the queue is empty.
func (c *Cell) urgentLevel() int {
	for level := range c.levelCount() {
		if c.queuedAt(level) > 0 {
			return level
		}
	}
	return c.levelCount()
}

// waitsBelow reports whether a request of a less urgent level is queued.
func (c *Cell) waitsBelow(level int) bool {
	for l := level + 1; l < c.levelCount(); l++ {
		if c.queuedAt(l) > 0 {
			return true
		}
	}
	return false
}

// updateLevelDebt adds a part of the cost of a grant to the endpoint time owed to the
// levels below if any of them waits, and subtracts the cost of each grant to a level
// below the most urgent one. The debt is bounded on both sides, so that no level can save
// up a burst; the bound is at least the cost of one request. The granted request is no longer
// queued.
func (c *Cell) updateLevelDebt(level int, cost time.Duration) {
	if c.levels == 0 {
		return
	}
	limit := max(c.cfg.MaxLevelDebt, cost)
	if level > c.urgentLevel() {
		c.levelDebt = max(-limit, c.levelDebt-cost)
		c.levelTurns.served[level] += cost
		return
	}
	if !c.waitsBelow(level) {
		limit = 0
	}
	share := min(max(c.cfg.LowerLevelShare, 0), 99)
	c.levelDebt = min(limit, c.levelDebt+cost*time.Duration(share)/time.Duration(100-share))
}

// activateLevel is called before a request is queued. A level that was empty gains no
// credit for turns from having been idle.
func (c *Cell) activateLevel(level int) {
	if c.levels == 0 || c.queuedAt(level) > 0 {
		return
	}
	least := time.Duration(math.MaxInt64)
	for l := range c.levels {
		if c.queuedAt(l) > 0 {
			least = min(least, c.levelTurns.served[l])
		}
	}
	if least < math.MaxInt64 {
		c.levelTurns.served[level] = max(c.levelTurns.served[level], least)
	}
}

// nextLowerLevel returns a request of a less urgent level if endpoint time is owed to
// these levels, and nil otherwise. They take turns. Requests whose obstacle is not memory
// are passed over, so that one of them does not block its level or the other ones. At most
// half of the scan is spent here, so that the urgent requests are tried too. Once a request
// lacks memory there are no more turns in the pass, because smaller requests would take what
// it waits for.
func (c *Cell) nextLowerLevel(r *passState) *entry {
	if c.levels == 0 || c.levelDebt <= 0 || r.turnsEnded || r.held || 2*r.scanned >= c.cfg.ScanLimit {
		return nil
	}
	var tried [message.MaxLevels]bool
	for turn := c.levelInTurn(&tried); turn >= 0; turn = c.levelInTurn(&tried) {
		for class := range c.queues {
			if e := c.nextInClass(r, &c.queues[class][turn]); e != nil {
				return e
			}
		}
		tried[turn] = true
	}
	return nil
}

// levelInTurn returns the queued level below the most urgent one that got the least time
// in turns, without those tried, or -1.
func (c *Cell) levelInTurn(tried *[message.MaxLevels]bool) int {
	turn := -1
	for level := c.urgentLevel() + 1; level < c.levels; level++ {
		if tried[level] || c.queuedAt(level) == 0 {
			continue
		}
		if turn < 0 || c.levelTurns.served[level] < c.levelTurns.served[turn] {
			turn = level
		}
	}
	return turn
}

// holdLowerLevels keeps less urgent requests from taking the memory that e waits for.
// They are often smaller, and would take each part of it that becomes free. A hold costs
// little, because e needs only the first endpoint of the cell that has room. It is bounded
// for the cell, because a series of requests that never find memory would otherwise keep
// the less urgent ones from memory that is free.
func (c *Cell) holdLowerLevels(r *passState, e *entry) {
	if c.levels == 0 || r.held || c.classIndex(e.class) == deferrable || c.pin.entry == e {
		return
	}
	r.lacksMemory = true
	if !c.hold.active {
		c.hold = hold{active: true, level: e.level, since: c.now}
	}
	if c.now-c.hold.since < c.cfg.MaxHold {
		r.held, r.heldLevel = true, e.level
	}
}

// holdsBack reports whether a class and level gets no grant in this pass.
func (r *passState) holdsBack(class, level int) bool {
	return r.held && (level > r.heldLevel || level == r.heldLevel && class == deferrable)
}

// LevelCount returns the number of priority levels of the model of a cell, or 0.
func LevelCount(c *Cell) int { return c.levels }
