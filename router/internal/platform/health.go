package platform

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// outageAfter is the time without a successful call after which calls count as
// failing. Shorter gaps are not worth a log line.
const outageAfter = 5 * time.Second

// health logs one line when calls have failed for outageAfter, and one when a
// call succeeds again.
type health struct {
	log   *zap.Logger
	clock clockwork.Clock

	mu       sync.Mutex
	failing  time.Time // first failure since the last success; zero if none
	reported bool
}

func (h *health) succeeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reported {
		h.log.Info("platform: Calls succeed again.", zap.Duration("outage", h.clock.Since(h.failing)))
	}
	h.failing = time.Time{}
	h.reported = false
}

func (h *health) failed(cause string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if h.failing.IsZero() {
		h.failing = now
	}
	if h.reported || now.Sub(h.failing) < outageAfter {
		return
	}
	h.reported = true
	h.log.Warn("platform: Calls fail.", zap.String("cause", cause))
}
