package engine

import (
	"context"
	"errors"
	"sync"
	"time"
)

// linkStep is the time between two looks at the progress of a transfer.
const linkStep = 2 * time.Millisecond

// errKVGone tells that a KV cache was dropped during its transfer.
var errKVGone = errors.New("the KV cache was dropped")

// link is one direction of an engine's network link. Concurrent transfers share
// its rate evenly.
type link struct {
	rate   int64 // tokens per second; 0 is no limit
	mu     sync.Mutex
	active int
}

func newLink(rate int64) *link { return &link{rate: rate} }

// transfer returns when tokens have passed, with an error if ctx ends or gone is
// closed before. It makes no progress while stalled returns true.
func (l *link) transfer(ctx context.Context, tokens int64, gone <-chan struct{}, stalled func() bool) error {
	l.join(1)
	defer l.join(-1)
	ticker := time.NewTicker(linkStep)
	defer ticker.Stop()
	last := time.Now()
	left := float64(tokens)
	for {
		now := time.Now()
		if !stalled() {
			left -= l.share() * now.Sub(last).Seconds()
			if left <= 0 || l.rate == 0 {
				return nil
			}
		}
		last = now
		select {
		case <-ticker.C:
		case <-gone:
			return errKVGone
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *link) join(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += n
}

// share returns the rate of one transfer, in tokens per second.
func (l *link) share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.rate) / float64(max(l.active, 1))
}

// perSecond returns the time that n tokens take at rate.
func perSecond(n, rate int64) time.Duration {
	return time.Duration(float64(n) / float64(rate) * float64(time.Second))
}
