package limit

import (
	"slices"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/id"
)

// SetHosts replaces the live hosts of all zones, and those of them that may be preferred
// holders. A host that is missing from the holders of its zone hands over its groups.
func SetHosts(s *State, now time.Time, live, holders map[id.Zone][]id.Host) []Action {
	for _, zone := range s.cfg.Zones {
		s.live[zone] = sorted(live[zone])
		hosts := sorted(holders[zone])
		if slices.Equal(hosts, s.holders[zone]) {
			continue
		}
		s.holders[zone] = hosts
		delete(s.preferredHolders, zone)
	}
	for i, g := range s.groups {
		g.setPreferred(now, s.preferredHolder(s.cfg.Zone, i))
		if g.known && g.rereadAt.IsZero() {
			// The current holder may just have become live.
			g.rereads = 0
			s.scheduleReread(g, now)
		}
	}
	return s.stepGroups(now)
}

// sorted returns the hosts in order and without duplicates.
func sorted(hosts []id.Host) []id.Host {
	out := slices.Clone(hosts)
	slices.Sort(out)
	return slices.Compact(out)
}

// preferredHolder returns the preferred holder of a group, selected by rendezvous
// hashing over the holders of the zone. It is empty if the zone has none.
func (s *State) preferredHolder(zone id.Zone, group int) id.Host {
	cached, ok := s.preferredHolders[zone]
	if !ok {
		cached = make([]id.Host, s.cfg.Groups)
		s.preferredHolders[zone] = cached
	}
	if cached[group] == "" {
		cached[group] = rendezvous(groupName(zone, group), s.holders[zone])
	}
	return cached[group]
}

func rendezvous(name string, hosts []id.Host) id.Host {
	var best id.Host
	var bestHash uint64
	for _, h := range hosts {
		hash := hashOf(name, string(h))
		if best == "" || hash > bestHash {
			best, bestHash = h, hash
		}
	}
	return best
}

func groupName(zone id.Zone, group int) string {
	return string(zone) + "." + strconv.Itoa(group)
}
