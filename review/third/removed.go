package main

import (
	"fmt"
	"sync"
	"time"
)

// config is the operator's configuration of the cases.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts int, resumable bool, timeoutMS int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "ficu95.example", "path_prefix": prefix, "type": kind, "timeout_ms": timeoutMS,
			"target_latency_ms": 900, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
			"sticky": kind == "streaming", "resumable": resumable, "target_gap_ms": 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("catch-summary", "/lohu930/", "streaming", "huvo11a", 2, true, 14000),
			route("origin-brief", "/pufi791/", "streaming", "huvo11a", 1, false, 14000),
			route("label-issue", "/pule252/", "unsafe", "wuno96b", 1, false, 1200),
			route("label-lookup", "/puxa403/", "safe", "wuno96b", 2, false, 1200),
		},
		"services": []any{
			map[string]any{
				"name": "huvo11a", "health_check_path": "/health", "max_connections": 250, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 32, "kv_capacity_tokens": 36778, "kv_token_bytes": 163840, "link_mbps": 1400000.0, "moves": true,
					"backups": true, "stride": stride, "most": 12, "kv_ttl_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0,
					"hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "wuno96b", "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{
			"name": "huka270", "api_keys": []any{clientKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 0, "burst": 0,
		}},
	}
}

// removedRunner plays the first case: a runner leaves without reporting that it drains, as some do,
// so that its entry is removed while it continues to serve. The answer of one of its runs is lost.
func removedRunner(c *cluster, trouble bool) error {
	const (
		output    = 640 // tokens of an answer
		eventTime = 45 * time.Millisecond
		sendFor   = 24 * time.Second
		interval  = 160 * time.Millisecond  // between two requests
		overlap   = 400 * time.Millisecond  // that the rule allows
		leftWork  = 1200 * time.Millisecond // at least, of a run whose answer is lost
	)
	all := &engines{rec: c.rec, handles: make(map[string]time.Time)}
	if err := c.addEngines(all, "huvo11a", "prefill", 4, eventTime); err != nil {
		return err
	}
	if err := c.addEngines(all, "huvo11a", "decode", 8, eventTime); err != nil {
		return err
	}
	c.store.put("config", "main", config(7))
	if err := c.startRouters(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	cl := newClients(c.rec)
	var wg sync.WaitGroup
	begin := time.Now()
	wg.Go(func() {
		for n := 0; time.Since(begin) < sendFor; n++ {
			q := call{
				id: fmt.Sprintf("a%07d", n), method: "POST", path: "/lohu930/2f", deadline: 14 * time.Second, body: "prompt",
				header: map[string]string{
					headerUsage: fmt.Sprintf("1460,%d", output), "X-Ragwortshunt-Model": "m",
					headerPrefix: fmt.Sprintf("%x:200,%x:1260", 0x5c1e0000+n, 0x91bd0000+n),
				},
			}
			r := c.routers[n%len(c.routers)]
			wg.Go(func() { cl.send(r, q) })
			time.Sleep(interval)
		}
	})
	lose := func(e *engine) {
		for range 20 {
			if _, ok := all.loseAnswer(e, leftWork, output/stride); ok {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.rec.add("no run at %s whose answer could be lost", e.id)
	}
	// An answer that is lost at a runner that stays: the router has the run stopped.
	time.Sleep(6 * time.Second)
	if trouble {
		lose(all.list[4])
	}
	// Two of twelve runners leave without a report. Their entries are removed, and they go on.
	for _, e := range []*engine{all.list[6], all.list[8]} {
		time.Sleep(3 * time.Second)
		c.rec.add("%s leaves: its entry is removed, and it continues to serve", e.id)
		c.store.remove("servers", e.id)
		time.Sleep(500 * time.Millisecond)
		if trouble {
			lose(e)
		}
	}
	wg.Wait()
	complete := 0
	for _, a := range cl.answers {
		if a.status == 200 && a.complete && a.events == output/stride {
			complete++
		}
	}
	c.rec.say("%d requests, %d complete streams", len(cl.answers), complete)
	if complete*2 < len(cl.answers) {
		return fmt.Errorf("%w: too few streams were served", errSetup)
	}
	if over := all.overlaps(overlap); len(over) > 0 {
		for _, line := range over {
			c.rec.say("%s", line)
		}
		return fmt.Errorf("%w: TWICE, %d requests", errBroken, len(over))
	}
	return nil
}
