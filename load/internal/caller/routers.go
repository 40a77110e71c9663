package caller

import (
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// deadTime is how long a router that refused a connection is skipped.
	deadTime = time.Second
)

// routers chooses routers in turn.
type routers struct {
	mu    sync.Mutex
	urls  []string
	dead  map[string]time.Time // url -> end of the skip
	index int
}

func newRouters(urls []string) *routers {
	return &routers{urls: urls, dead: map[string]time.Time{}}
}

func (s *routers) count() int { return len(s.urls) }

// next returns the next router that is not marked dead and not avoid. If all are
// marked dead, it returns the next one all the same, and avoid only if there is
// no other.
func (s *routers) next(now time.Time, avoid string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	fallback := ""
	for i := range s.urls {
		url := s.urls[(s.index+i)%len(s.urls)]
		if url == avoid && len(s.urls) > 1 {
			continue
		}
		if fallback == "" {
			fallback = url
		}
		if now.Before(s.dead[url]) {
			continue
		}
		s.index = (s.index + i + 1) % len(s.urls)
		return url
	}
	s.index++
	return fallback
}

func (s *routers) markDead(url string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[url] = now.Add(deadTime)
}
