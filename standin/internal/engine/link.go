package engine

import (
	"context"
	"errors"
	"sync"
	"time"
)

// progressInterval is the interval at which the progress of a transfer is computed.
const progressInterval = 2 * time.Millisecond

// errKVDropped reports that a KV cache was dropped during its transfer.
var errKVDropped = errors.New("the KV cache was dropped")

// link simulates one direction of an engine's network link. Concurrent transfers
// share its rate evenly.
type link struct {
	rate   int64 // KV cache tokens per second; 0 means no limit
	mu     sync.Mutex
	active int // transfers in progress
}

func newLink(rate int64) *link { return &link{rate: rate} }

// transfer blocks for the time that the transfer of tokens takes. It returns an
// error if ctx is done or dropped is closed first. The transfer makes no progress
// while stalled returns true.
func (l *link) transfer(ctx context.Context, tokens int64, dropped <-chan struct{}, stalled func() bool) error {
	l.addActive(1)
	defer l.addActive(-1)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	last := time.Now()
	remaining := float64(tokens)
	for {
		now := time.Now()
		if !stalled() {
			remaining -= l.ratePerTransfer() * now.Sub(last).Seconds()
			if remaining <= 0 || l.rate == 0 {
				return nil
			}
		}
		last = now
		select {
		case <-ticker.C:
		case <-dropped:
			return errKVDropped
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addActive adds n, which may be negative, to the number of transfers in progress.
func (l *link) addActive(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += n
}

// ratePerTransfer returns the current rate of each transfer, in tokens per second.
func (l *link) ratePerTransfer() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.rate) / float64(max(l.active, 1))
}

// timeAtRate returns the time that n tokens take at rate tokens per second.
func timeAtRate(n, rate int64) time.Duration {
	return time.Duration(float64(n) / float64(rate) * float64(time.Second))
}
