package platform

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// outageAfter is the time from the first failed call, without a successful one in between,
// until an outage is logged. Shorter outages are not logged.
const outageAfter = 5 * time.Second

// health detects outages of the platform. It logs one line when calls have failed for
// outageAfter, and one when a call succeeds again. It is safe for concurrent use.
type health struct {
	log   *zap.Logger
	clock clockwork.Clock

	mu           sync.Mutex
	failingSince time.Time // first failure since the last success; zero if none
	reported     bool      // the current outage has been logged
}

func (h *health) recordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reported {
		h.log.Info("platform: Calls succeed again.", zap.Duration("outage", h.clock.Since(h.failingSince)))
	}
	h.failingSince = time.Time{}
	h.reported = false
}

func (h *health) recordFailure(cause string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if h.failingSince.IsZero() {
		h.failingSince = now
	}
	if h.reported || now.Sub(h.failingSince) < outageAfter {
		return
	}
	h.reported = true
	h.log.Warn("platform: Calls fail.", zap.String("cause", cause))
}
