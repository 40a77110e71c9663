package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/route"
)

func table() *route.Table {
	one := func(name id.Route) []route.Target { return []route.Target{{Route: name, Weight: 1}} }
	return route.New([]route.Rule{
		{Hostname: "a.example", Prefix: "/x/", Targets: one("short")},
		{Hostname: "a.example", Prefix: "/x/y/", Targets: one("long")},
		{Hostname: "B.example", Prefix: "/", Targets: one("other")},
	})
}

// TestMatch guards against matching a shorter prefix than the longest one, the route
// of another host name, or a path that is equal only after decoding its escapes.
func TestMatch(t *testing.T) {
	tests := []struct {
		host, path string
		want       id.Route
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example:8080", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/yz", "short"},
		{"b.example", "/anything", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/%78/1", ""},
		{"c.example", "/x/1", ""},
		{"", "/x/1", ""},
	}
	for _, tt := range tests {
		rule, ok := table().Match(tt.host, tt.path)
		assert.Equal(t, ok, tt.want != "", "%s%s", tt.host, tt.path)
		if ok {
			assert.Equal(t, rule.Targets[0].Route, tt.want, "%s%s", tt.host, tt.path)
		}
	}
}

// TestChoose guards against a traffic split that deviates from the target weights.
func TestChoose(t *testing.T) {
	rule := route.Rule{Targets: []route.Target{{Route: "a", Weight: 90}, {Route: "off", Weight: 0}, {Route: "b", Weight: 10}}}
	counts := make(map[id.Route]int)
	for n := range uint64(1000) {
		target, ok := route.Choose(rule, n)
		assert.Assert(t, ok)
		counts[target]++
	}
	assert.DeepEqual(t, counts, map[id.Route]int{"a": 900, "b": 100})
	_, ok := route.Choose(route.Rule{}, 1)
	assert.Assert(t, !ok)
}
