package member

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
)

// Owner returns the host that rendezvous hashing selects for a key, or "" if there
// is no host. A key moves only when its owner leaves or a host with a higher score
// joins.
func Owner(live []id.Host, key string) id.Host {
	var best id.Host
	var bestScore uint64
	for _, h := range live {
		n := score(h, key)
		if best == "" || n > bestScore || n == bestScore && h < best {
			best, bestScore = h, n
		}
	}
	return best
}

// Owners returns the n hosts with the highest rendezvous scores for a key, best
// first. It returns fewer if there are fewer hosts.
func Owners(live []id.Host, key string, n int) []id.Host {
	best := make([]ranked, 0, min(n, len(live))+1)
	for _, h := range live {
		r := ranked{host: h, score: score(h, key)}
		i := sort.Search(len(best), func(i int) bool { return r.before(best[i]) })
		if i == n {
			continue
		}
		best = slices.Insert(best, i, r)
		best = best[:min(n, len(best))]
	}
	out := make([]id.Host, 0, len(best))
	for _, r := range best {
		out = append(out, r.host)
	}
	return out
}

// Strong returns the hosts that can carry work for all hosts: those with at least half of
// the largest capacity. A host of unknown capacity is none of them, because other hosts may
// know it already, unless no capacity is known. The order is kept.
func Strong(s *State, hosts []id.Host) []id.Host {
	largest := 0.0
	for _, h := range hosts {
		largest = max(largest, s.capacity(h))
	}
	out := make([]id.Host, 0, len(hosts))
	for _, h := range hosts {
		if s.capacity(h) >= largest*strongShare {
			out = append(out, h)
		}
	}
	return out
}

// strongShare is the part of the largest capacity from which on a host is strong.
const strongShare = 0.5

func (s *State) capacity(h id.Host) float64 {
	if p, ok := s.peers[h]; ok {
		return p.Capacity
	}
	return 0
}

// ranked is a host with its rendezvous score for a key.
type ranked struct {
	host  id.Host
	score uint64
}

// before reports whether r comes before other in the order of owners.
func (r ranked) before(other ranked) bool {
	if r.score != other.score {
		return r.score > other.score
	}
	return r.host < other.host
}

// score returns the rendezvous weight of a host for a key.
func score(h id.Host, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(h))
	return d.Sum64()
}

// inRing reports whether a host belongs to the ring of this host's zone.
func inRing(s *State, p *peer) bool {
	return p.Zone == s.cfg.Zone && !p.dead
}

// buildRing brings ring, monitoredSince, monitors and neighbours up to date. A host that
// stays monitored keeps its start time.
func buildRing(s *State, now time.Time) {
	if s.ring != nil {
		return
	}
	s.ring = []id.Host{}
	for _, h := range s.order {
		if inRing(s, s.peers[h]) {
			s.ring = append(s.ring, h)
		}
	}
	sort.SliceStable(s.ring, func(i, j int) bool {
		return xxhash.Sum64String(string(s.ring[i])) < xxhash.Sum64String(string(s.ring[j]))
	})
	old := s.monitoredSince
	s.monitoredSince = map[id.Host]time.Time{}
	s.neighbours = map[id.Host]bool{}
	for _, h := range ringNeighbours(s, -1) {
		s.neighbours[h] = true
		s.monitoredSince[h] = now
		if since, ok := old[h]; ok {
			s.monitoredSince[h] = since
		}
	}
	s.monitors = ringNeighbours(s, 1)
	for _, h := range s.monitors {
		s.neighbours[h] = true
	}
}

// ringNeighbours returns the neighbours of this host on one side of the ring: its
// successors for step 1, its predecessors for step -1. In a zone with at most twice
// as many other hosts as there are monitors, these are all other hosts.
func ringNeighbours(s *State, step int) []id.Host {
	n := len(s.ring)
	self := 0
	for i, h := range s.ring {
		if h == s.cfg.Host {
			self = i
		}
	}
	count := s.cfg.Monitors
	if n-1 <= 2*s.cfg.Monitors {
		count = n - 1
	}
	var out []id.Host
	for i := 1; i <= count; i++ {
		out = append(out, s.ring[((self+step*i)%n+n)%n])
	}
	return out
}

// isMonitorOf reports whether this host is among the monitors of a host of the
// zone, even if that host is dead and therefore not in the ring.
func isMonitorOf(s *State, now time.Time, h id.Host) bool {
	buildRing(s, now)
	if _, ok := s.monitoredSince[h]; ok {
		return true
	}
	p, ok := s.peers[h]
	if !ok || inRing(s, p) {
		return false
	}
	n := len(s.ring)
	hash := xxhash.Sum64String(string(h))
	first := sort.Search(n, func(i int) bool { return xxhash.Sum64String(string(s.ring[i])) > hash })
	for i := 0; i < s.cfg.Monitors && i < n; i++ {
		if s.ring[(first+i)%n] == s.cfg.Host {
			return true
		}
	}
	return false
}
