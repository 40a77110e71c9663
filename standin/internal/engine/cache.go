package engine

import (
	"slices"
	"strings"
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/standin/answer"
)

const (
	// dropEvery makes every tenth cache event lost: the events 10, 20, 30 and so on
	// are never reported.
	dropEvery = 10
	// maxEvents is the number of events that are retained; older ones are dropped.
	maxEvents = 4096
)

// cacheEvent is a cache event with its time.
type cacheEvent struct {
	time  time.Time
	event engine.CacheEvent
}

// prefixCache is an LRU cache of the prompts of recent prefills. Its key is the
// hash of the first block, so that it holds one prompt for each first block.
type prefixCache struct {
	size        int // maximum number of prompts
	blockTokens int64
	prompts     map[uint64][]string // words of the last prompt, by prefix hash
	lruOrder    []uint64            // prefix hashes, the most recently used last
	events      []cacheEvent
	seq         uint64 // number of the last event, lost ones included
}

func newPrefixCache(size int, blockTokens int64) *prefixCache {
	return &prefixCache{size: size, blockTokens: blockTokens, prompts: map[uint64][]string{}}
}

// lookup returns the length of the prefix that prompt shares with the cached prompt
// of the same first block, in tokens and rounded down to whole blocks.
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

// add stores a prompt and evicts the least recently used one if the cache is full.
// It ignores prompts that are shorter than a block.
func (c *prefixCache) add(prompt string, now time.Time) {
	prefix := answer.Prefix(prompt, c.blockTokens)
	if prefix == 0 || c.size == 0 {
		return
	}
	if i := slices.Index(c.lruOrder, prefix); i >= 0 {
		c.lruOrder = slices.Delete(c.lruOrder, i, i+1)
	} else {
		c.appendEvent(engine.CacheEvent{Prefix: prefix}, now)
	}
	c.lruOrder = append(c.lruOrder, prefix)
	c.prompts[prefix] = strings.Fields(prompt)
	if len(c.lruOrder) > c.size {
		oldest := c.lruOrder[0]
		c.lruOrder = c.lruOrder[1:]
		delete(c.prompts, oldest)
		c.appendEvent(engine.CacheEvent{Prefix: oldest, Evicted: true}, now)
	}
}

// appendEvent numbers an event and adds it to the readable ones, unless it is lost.
func (c *prefixCache) appendEvent(event engine.CacheEvent, now time.Time) {
	c.seq++
	if c.seq%dropEvery == 0 {
		return
	}
	event.Seq = c.seq
	c.events = append(c.events, cacheEvent{time: now, event: event})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events with a number above seq that are not later than
// cutoff.
func (c *prefixCache) eventsAfter(seq uint64, cutoff time.Time) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq > seq && !e.time.After(cutoff) {
			out = append(out, e.event)
		}
	}
	return out
}
