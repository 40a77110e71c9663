package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/message"
)

// retryShare is the part of the rate at which runs end that is planned for refused
// requests that return. New requests need the rest.
const retryShare = 0.5

// retrySchedule holds, for each level, the time after the last Retry-After that was given
// to a refused request of that level or above. Times count from Cell.start.
type retrySchedule struct {
	next [message.MaxLevels]time.Duration
}

// retryAfter returns the Retry of a refusal of e, or 0 if a retry would get the same
// answer.
func (c *Cell) retryAfter(e *entry, reason string) time.Duration {
	if reason == ReasonTooLarge {
		return 0
	}
	if c.levels > 0 {
		return c.planRetry(e)
	}
	retry := min(max(c.expectedWait(e.level), c.cfg.MinRetry), c.cfg.MaxRetry)
	if retry > 0 && c.cfg.RetrySpread > 0 {
		retry += c.retryJitter(e, c.cfg.RetrySpread)
	}
	return retry
}

// retryJitter returns a time below spread that depends on the request only.
func (c *Cell) retryJitter(e *entry, spread time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(string(e.request)) % uint64(spread))
}

// planRetry returns the time after which the queue at the level of e and above will have
// drained, and the refused requests of these levels that return earlier have started.
// Each refusal delays the later ones of its level and below, so that retries do not
// arrive together. Times beyond MaxRetry are spread over the second half of the range.
func (c *Cell) planRetry(e *entry) time.Duration {
	shortest, longest := c.cfg.MinRetry, max(c.cfg.MinRetry, c.cfg.MaxRetry)
	step := time.Duration(float64(time.Second) / (c.drainRate() * retryShare))
	retry := max(c.retries.next[e.level]-c.now, c.expectedWait(e.level), shortest)
	for level := e.level; level < c.levels; level++ {
		next := max(c.retries.next[level], c.now+max(c.expectedWait(level), shortest))
		c.retries.next[level] = min(next+step, c.now+longest)
	}
	if retry < longest {
		return retry
	}
	return c.spreadRetry(e, shortest, longest)
}

// spreadRetry returns a time in the second half of the range of Retry-After. Each level
// has its own part of it, the more urgent ones the earlier parts.
func (c *Cell) spreadRetry(e *entry, shortest, longest time.Duration) time.Duration {
	part := (longest - shortest) / 2 / time.Duration(c.levels)
	if part <= 0 {
		return longest
	}
	from := longest - time.Duration(c.levels-e.level)*part
	return from + c.retryJitter(e, part)
}
