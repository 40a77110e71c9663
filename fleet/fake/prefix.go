package fake

import (
	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

const (
	maxPrefixes    = 32  // prefixes that an engine caches
	maxCacheEvents = 256 // latest cache events that an engine can report
)

// prefixCache is the prefix cache of a prefill engine. It evicts the least recently
// used prefix first.
type prefixCache struct {
	prefixes []uint64 // least recently used first
	events   []core.CacheChanged
	seq      uint64
}

func (c *prefixCache) index(prefix uint64) int {
	for i, p := range c.prefixes {
		if p == prefix {
			return i
		}
	}
	return -1
}

// use marks a prefix as the most recently used one and adds it if necessary. Prefix
// 0 stands for no prefix and is ignored.
func (c *prefixCache) use(prefix uint64) {
	if prefix == 0 {
		return
	}
	if i := c.index(prefix); i >= 0 {
		c.prefixes = append(append(c.prefixes[:i:i], c.prefixes[i+1:]...), prefix)
		return
	}
	c.prefixes = append(c.prefixes, prefix)
	c.recordEvent(prefix, false)
	if len(c.prefixes) > maxPrefixes {
		c.recordEvent(c.prefixes[0], true)
		c.prefixes = c.prefixes[1:]
	}
}

func (c *prefixCache) recordEvent(prefix uint64, evicted bool) {
	c.seq++
	c.events = append(c.events, core.CacheChanged{Seq: c.seq, Prefix: prefix, Evicted: evicted})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

func (c *prefixCache) clear() {
	for _, p := range c.prefixes {
		c.recordEvent(p, true)
	}
	c.prefixes = nil
}

// eventsAfter returns the retained events with a sequence number above seq.
func (c *prefixCache) eventsAfter(name id.Endpoint, seq uint64) []core.CacheChanged {
	var out []core.CacheChanged
	for _, ev := range c.events {
		if ev.Seq > seq {
			ev.Endpoint = name
			out = append(out, ev)
		}
	}
	return out
}

// cachedTokens returns the number of leading prompt tokens that the engine need not
// compute because they are cached. The engine always computes at least one token.
func (sim *Simulation) cachedTokens(en *fakeEngine, j *prefillJob) int64 {
	call := sim.callsByRequest[j.e.Request]
	if call.Prefix == 0 || en.cache.index(call.Prefix) < 0 {
		return 0
	}
	return max(0, min(call.SharedTokens, j.e.Tokens-1))
}

// computedTokens returns the number of prompt tokens that the engine computes.
func (j *prefillJob) computedTokens() int64 { return j.e.Tokens - j.cached }
