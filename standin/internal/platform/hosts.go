package platform

import (
	"slices"
	"sync"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
)

// hostListSnapshot is the host list from the time since until the next snapshot.
type hostListSnapshot struct {
	since time.Time
	hosts []object.Host
}

// hostList holds the host list with its history, because readers see each change
// only after a lag. It is safe for concurrent use.
type hostList struct {
	lag        time.Duration
	mu         sync.Mutex
	configured []object.Host
	leaving    map[id.Host]bool
	removed    map[id.Host]bool
	history    []hostListSnapshot // never empty; since is zero in the first entry
}

func newHostList(hosts []object.Host, lag time.Duration) *hostList {
	return &hostList{
		lag:        lag,
		configured: hosts,
		leaving:    map[id.Host]bool{},
		removed:    map[id.Host]bool{},
		history:    []hostListSnapshot{{hosts: slices.Clone(hosts)}},
	}
}

// visibleAt returns the list as readers see it at the time now.
func (l *hostList) visibleAt(now time.Time) []object.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := now.Add(-l.lag)
	out := l.history[0].hosts
	for _, h := range l.history {
		if !h.since.After(cutoff) {
			out = h.hosts
		}
	}
	return append([]object.Host{}, out...)
}

func (l *hostList) setLeaving(h id.Host, on bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[h] = on
	l.appendSnapshot(now)
}

func (l *hostList) setRemoved(h id.Host, on bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removed[h] = on
	l.appendSnapshot(now)
}

// appendSnapshot adds the current list to the history. The caller holds mu.
func (l *hostList) appendSnapshot(now time.Time) {
	var hosts []object.Host
	for _, h := range l.configured {
		if l.removed[h.Host] {
			continue
		}
		h.Leaving = h.Leaving || l.leaving[h.Host]
		hosts = append(hosts, h)
	}
	l.history = append(l.history, hostListSnapshot{since: now, hosts: hosts})
}
