package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	slashRequests = 40
	applyTime     = 2 * time.Second // config_apply_ms
)

// doubleSlashes plays a configuration that adds a route for the whole host name, as its prefix
// is a single slash. Clients send paths that begin with two slashes, before and after.
func doubleSlashes(c *cluster, trouble bool) ([]string, bool, error) {
	k := newClients(c)
	send := func(n int) {
		for range n {
			k.do(k.anyMachine(), &call{
				id: k.id(), route: "/tag-status", kind: "slashes", method: "GET", query: "?n=1", deadline: 1500 * time.Millisecond,
			})
		}
	}
	time.Sleep(3 * time.Second)
	send(slashRequests)
	if trouble {
		cfg := config(12)
		cfg["routes"] = append(cfg["routes"].([]any), map[string]any{
			"name": "r-all", "hostname": hostname, "path_prefix": "/", "type": "safe", "timeout_ms": 800, "target_latency_ms": 100,
			"priority": 2, "service": rack, "max_attempts": 2, "public": false,
		})
		c.store.put("config", "main", cfg)
		c.rec.add("config", "version 12 adds a route with the prefix /")
	}
	time.Sleep(applyTime + time.Second)
	send(slashRequests)

	statuses := make(map[int]int)
	ran, changed := 0, 0
	example := ""
	for _, r := range c.rec.allCalls() {
		statuses[r.status]++
		for _, target := range c.rec.targetsOf(r.id) {
			ran++
			if target != r.target() {
				changed++
				example = fmt.Sprintf("%s was sent %s and ran as %s", r.id, r.target(), target)
			}
		}
	}
	out := []string{
		fmt.Sprintf("%d requests for %s, answers by status: %v", 2*slashRequests, "//tag-status/2f?n=1", statuses),
		fmt.Sprintf("UNASKED: %d of %d runs had another path; %s", changed, ran, strings.TrimSpace(example)),
	}
	if trouble && ran == 0 {
		return out, true, fmt.Errorf("no request ran: %v", out)
	}
	return out, changed == 0, nil
}
