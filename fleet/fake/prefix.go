package fake

import (
	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

const (
	cachedPrefixes = 32  // prefixes that an engine keeps
	cacheEvents    = 256 // last cache events that an engine can repeat
)

// prefixCache is the prefix cache of a prefill engine. The oldest prefix is
// evicted first.
type prefixCache struct {
	held   []uint64 // in the order of their last use
	events []core.CacheChanged
	seq    uint64
}

func (c *prefixCache) find(prefix uint64) int {
	for i, p := range c.held {
		if p == prefix {
			return i
		}
	}
	return -1
}

// add notes the use of a prefix.
func (c *prefixCache) add(prefix uint64) {
	if prefix == 0 {
		return
	}
	if i := c.find(prefix); i >= 0 {
		c.held = append(append(c.held[:i:i], c.held[i+1:]...), prefix)
		return
	}
	c.held = append(c.held, prefix)
	c.note(prefix, false)
	if len(c.held) > cachedPrefixes {
		c.note(c.held[0], true)
		c.held = c.held[1:]
	}
}

func (c *prefixCache) note(prefix uint64, evicted bool) {
	c.seq++
	c.events = append(c.events, core.CacheChanged{Seq: c.seq, Prefix: prefix, Evicted: evicted})
	if len(c.events) > cacheEvents {
		c.events = c.events[1:]
	}
}

func (c *prefixCache) clear() {
	for _, p := range c.held {
		c.note(p, true)
	}
	c.held = nil
}

// changesAfter returns the kept events that are newer than the sequence number.
func (c *prefixCache) changesAfter(name id.Endpoint, seq uint64) []core.CacheChanged {
	var out []core.CacheChanged
	for _, ev := range c.events {
		if ev.Seq > seq {
			ev.Endpoint = name
			out = append(out, ev)
		}
	}
	return out
}

// cachedTokens returns the leading tokens of a prefill that the engine need not
// compute. At least one token is computed.
func (w *World) cachedTokens(en *engineFake, j *prefillJob) int64 {
	call := w.callers[j.e.Request]
	if call.Prefix == 0 || en.cache.find(call.Prefix) < 0 {
		return 0
	}
	return max(0, min(call.Shared, j.e.Tokens-1))
}

func (j *prefillJob) computed() int64 { return j.e.Tokens - j.cached }
