package engine

import (
	"slices"
	"strings"
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/standin/answer"
)

const (
	// lostEvery makes every such event of the prefix cache get lost.
	lostEvery = 10
	// maxEvents bounds the events that can still be read.
	maxEvents = 4096
)

// cacheEvent is one event with the time at which it happened.
type cacheEvent struct {
	time  time.Time
	event engine.CacheEvent
}

// prefixCache holds the prompts of recent prefills by their first block.
type prefixCache struct {
	size        int
	blockTokens int64
	prompts     map[uint64][]string // words of the last prompt with the prefix
	recent      []uint64            // prefixes, the most recent last
	events      []cacheEvent
	seq         uint64
}

func newPrefixCache(size int, blockTokens int64) *prefixCache {
	return &prefixCache{size: size, blockTokens: blockTokens, prompts: map[uint64][]string{}}
}

// lookup returns the number of tokens that prompt shares with a cached prompt, in
// whole blocks.
func (c *prefixCache) lookup(prompt string) int64 {
	cached, ok := c.prompts[answer.Prefix(prompt, c.blockTokens)]
	if !ok {
		return 0
	}
	var n int64
	for i, word := range strings.Fields(prompt) {
		if i >= len(cached) || cached[i] != word {
			break
		}
		n++
	}
	return n - n%c.blockTokens
}

// add stores a prompt and evicts the least recent one if the cache is full.
func (c *prefixCache) add(prompt string, now time.Time) {
	prefix := answer.Prefix(prompt, c.blockTokens)
	if prefix == 0 || c.size == 0 {
		return
	}
	if i := slices.Index(c.recent, prefix); i >= 0 {
		c.recent = slices.Delete(c.recent, i, i+1)
	} else {
		c.note(engine.CacheEvent{Prefix: prefix}, now)
	}
	c.recent = append(c.recent, prefix)
	c.prompts[prefix] = strings.Fields(prompt)
	if len(c.recent) > c.size {
		oldest := c.recent[0]
		c.recent = c.recent[1:]
		delete(c.prompts, oldest)
		c.note(engine.CacheEvent{Prefix: oldest, Evicted: true}, now)
	}
}

func (c *prefixCache) note(event engine.CacheEvent, now time.Time) {
	c.seq++
	if c.seq%lostEvery == 0 {
		return
	}
	event.Seq = c.seq
	c.events = append(c.events, cacheEvent{time: now, event: event})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// after returns the events later than seq that happened until seen.
func (c *prefixCache) after(seq uint64, seen time.Time) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq > seq && !e.time.After(seen) {
			out = append(out, e.event)
		}
	}
	return out
}
