package table

import (
	"cmp"
	"maps"
	"slices"

	"ragwortshunt.example/fleet/id"
)

// Zones returns the zones that have endpoints, sorted.
func Zones(s *Snapshot) []id.Zone {
	zones := map[id.Zone]bool{}
	for _, e := range s.Endpoints {
		zones[e.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// ModelEndpoints returns the prefill and decode endpoints of a model in a zone,
// sorted by name, including those that are leaving. It iterates over all endpoints
// of the table, so callers should cache the result per snapshot instead of calling
// it for each request.
func ModelEndpoints(s *Snapshot, model id.Model, zone id.Zone) []Endpoint {
	var out []Endpoint
	for _, e := range s.Endpoints {
		pool := s.Pools[e.Pool]
		if e.Zone == zone && pool.Model == model && pool.Role != RoleService {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
