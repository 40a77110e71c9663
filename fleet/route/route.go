// Package route selects the route of a request by host name and path, and the
// target of a route that splits its traffic.
//
// Among the routes of a host name, the route with the longest matching path prefix
// wins. Paths are matched as received, without decoding escapes, so that the endpoint
// receives the same path that selected the route.
package route

import (
	"cmp"
	"slices"
	"strings"

	"ragwortshunt.example/fleet/id"
)

// Rule is one route of the configuration.
type Rule struct {
	Hostname string // case-insensitive
	Prefix   string // begins and ends with a slash
	Targets  []Target
}

// Target is one destination of a rule.
type Target struct {
	Route  id.Route
	Weight int64 // relative share of the rule's requests; 0 disables the target
}

// Table holds the rules of one configuration. It is immutable.
type Table struct {
	hosts map[string][]Rule // by lower-case host name, longest prefix first
}

// New returns a table of the rules.
func New(rules []Rule) *Table {
	t := &Table{hosts: make(map[string][]Rule)}
	for _, r := range rules {
		name := strings.ToLower(r.Hostname)
		t.hosts[name] = append(t.hosts[name], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the rule for a host name, with or without a port, and a path.
func (t *Table) Match(host, path string) (Rule, bool) {
	for _, r := range t.hosts[strings.ToLower(hostname(host))] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Rule{}, false
}

// Choose picks a target of the rule by weight. random must be uniformly distributed.
// It returns false if no target has a positive weight.
func Choose(r Rule, random uint64) (id.Route, bool) {
	var total int64
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	point := int64(random % uint64(total))
	for _, t := range r.Targets {
		point -= max(t.Weight, 0)
		if point < 0 {
			return t.Route, true
		}
	}
	return "", false
}

func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
