package platform

import (
	"slices"
	"sync"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
)

// hostsAt is the list of hosts from one moment on.
type hostsAt struct {
	since time.Time
	hosts []object.Host
}

// hostList is the list of hosts with its past, as readers see it with a lag.
type hostList struct {
	lag     time.Duration
	mu      sync.Mutex
	all     []object.Host
	leaving map[id.Host]bool
	removed map[id.Host]bool
	history []hostsAt // never empty; the first entry has no start
}

func newHostList(hosts []object.Host, lag time.Duration) *hostList {
	return &hostList{
		lag:     lag,
		all:     hosts,
		leaving: map[id.Host]bool{},
		removed: map[id.Host]bool{},
		history: []hostsAt{{hosts: slices.Clone(hosts)}},
	}
}

// at returns the list as readers see it at now.
func (l *hostList) at(now time.Time) []object.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := now.Add(-l.lag)
	out := l.history[0].hosts
	for _, h := range l.history {
		if !h.since.After(seen) {
			out = h.hosts
		}
	}
	return append([]object.Host{}, out...)
}

func (l *hostList) setLeaving(h id.Host, on bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[h] = on
	l.note(now)
}

func (l *hostList) setRemoved(h id.Host, on bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removed[h] = on
	l.note(now)
}

// note appends the list as it is now. The caller holds mu.
func (l *hostList) note(now time.Time) {
	var hosts []object.Host
	for _, h := range l.all {
		if l.removed[h.Host] {
			continue
		}
		h.Leaving = h.Leaving || l.leaving[h.Host]
		hosts = append(hosts, h)
	}
	l.history = append(l.history, hostsAt{since: now, hosts: hosts})
}
