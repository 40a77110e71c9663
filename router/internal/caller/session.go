package caller

import (
	"sync"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/platform/exchange"
)

// maxQueuedBytes bounds the tokens of one answer that its caller has not read. A sound caller reads
// as fast as an engine writes.
const maxQueuedBytes = 1 << 20

// keptCopies is the number of times that a token is held until its request ends: in the output, from
// which another attempt goes on, and in an answer that is sent as a whole.
const keptCopies = 2

// session carries effects from the decision core to the HTTP handler that waits for them.
type session struct {
	notify chan struct{}
	memory *exchange.Memory // nil means no limit

	mu      sync.Mutex
	queue   []core.Effect
	queued  int  // bytes of the tokens in queue
	aborted bool // the answer is aborted, and further effects are ignored
}

// push queues an effect. It aborts the answer if the caller reads too slowly.
func (c *session) push(e core.Effect) {
	c.enqueue(e)
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

func (c *session) enqueue(e core.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return
	}
	n := tokenBytes(e)
	if c.queued+n > maxQueuedBytes || c.memory.Grow((1+keptCopies)*n) != nil {
		c.aborted = true
		return
	}
	c.queued += n
	c.queue = append(c.queue, e)
}

// take removes and returns all queued effects, and gives back the memory of the queue. It returns
// false if the answer has been aborted.
func (c *session) take() (effects []core.Effect, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	effects = c.queue
	c.memory.Shrink(c.queued)
	c.queue, c.queued = nil, 0
	return effects, !c.aborted
}

// tokenBytes returns the bytes of the tokens that an effect delivers.
func tokenBytes(e core.Effect) int {
	n := 0
	if d, ok := e.(core.Deliver); ok {
		for _, token := range d.Tokens {
			n += len(token)
		}
	}
	return n
}
