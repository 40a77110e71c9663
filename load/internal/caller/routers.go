package caller

import (
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// skipTime is how long a router is skipped after it accepted no connection.
	skipTime = time.Second
)

// routerPool selects routers by round robin and skips those that accept no
// connections.
type routerPool struct {
	mu        sync.Mutex
	urls      []string
	skipUntil map[string]time.Time // by URL
	index     int                  // of the next router in urls
}

func newRouterPool(urls []string) *routerPool {
	return &routerPool{urls: urls, skipUntil: map[string]time.Time{}}
}

func (p *routerPool) count() int { return len(p.urls) }

// next returns the base URL of the next router that is neither skipped nor avoid. If
// all are skipped, it returns the next one nevertheless. It returns avoid only if there
// is no other router.
func (p *routerPool) next(now time.Time, avoid string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	fallback := ""
	for i := range p.urls {
		url := p.urls[(p.index+i)%len(p.urls)]
		if url == avoid && len(p.urls) > 1 {
			continue
		}
		if fallback == "" {
			fallback = url
		}
		if now.Before(p.skipUntil[url]) {
			continue
		}
		p.index = (p.index + i + 1) % len(p.urls)
		return url
	}
	p.index++
	return fallback
}

// markUnreachable makes next skip a router for skipTime.
func (p *routerPool) markUnreachable(url string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.skipUntil[url] = now.Add(skipTime)
}
