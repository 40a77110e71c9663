package main

import (
	"fmt"
	"sync"
	"time"
)

// splitStream plays a case in which the operator splits a streaming route between the service
// of the model runners and a service without engines, as in the example of a configuration that the
// pages print. Runners of the second one answer without a length, and some answers break off.
func splitStream(c *cluster, trouble bool) error {
	const (
		eventTime = 45 * time.Millisecond
		events    = 20
		sendFor   = 24 * time.Second
		interval  = 80 * time.Millisecond // between two requests
		breakEach = 20                    // 0.05 of the answers of a runner
	)
	all := &engines{rec: c.rec, handles: make(map[string]time.Time)}
	if err := c.addEngines(all, "huvo11a", "prefill", 4, eventTime); err != nil {
		return err
	}
	if err := c.addEngines(all, "huvo11a", "decode", 8, eventTime); err != nil {
		return err
	}
	var plain []*service
	for i := range 3 {
		s := &service{rec: c.rec, id: fmt.Sprintf("i-plain%d", i), eventTime: eventTime, events: events, broken: make(map[string]bool)}
		address, err := c.serve(s)
		if err != nil {
			return err
		}
		if trouble && i == 0 {
			s.breakEach = breakEach
		}
		c.store.put("servers", s.id, map[string]any{
			"service": "wuno96b", "address": address, "zone": zones[i], "version": "v1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		plain = append(plain, s)
	}
	cfg := config(7)
	cfg["routes"].([]any)[0].(map[string]any)["traffic_split"] = []any{
		map[string]any{"service": "huvo11a", "weight": 50}, map[string]any{"service": "wuno96b", "weight": 50},
	}
	c.store.put("config", "main", cfg)
	if err := c.startRouters(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	cl := newClients(c.rec)
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < sendFor; n++ {
		q := call{
			id: fmt.Sprintf("b%07d", n), method: "POST", path: "/lohu930/2f", deadline: 14 * time.Second, body: "prompt",
			header: map[string]string{
				headerUsage: fmt.Sprintf("1460,%d", events*stride), "X-Ragwortshunt-Model": "m",
				headerPrefix: fmt.Sprintf("%x:200,%x:1260", 0x5c1e0000+n, 0x91bd0000+n),
			},
		}
		r := c.routers[n%len(c.routers)]
		wg.Go(func() { cl.send(r, q) })
		time.Sleep(interval)
	}
	wg.Wait()
	complete, short := 0, 0
	for id, a := range cl.answers {
		switch {
		case a.status != 200 || !a.complete:
		case a.events == events && a.whole:
			complete++
		default:
			short++
			c.rec.say("%s: the client gets status 200 and a stream that ends as complete, with %d of %d events", id, a.events, events)
		}
	}
	ran, broken := 0, 0
	for _, s := range plain {
		for _, b := range s.broken {
			ran++
			if b {
				broken++
			}
		}
	}
	c.rec.say("%d requests, %d complete streams; the service without engines ran %d and broke off %d", len(cl.answers), complete, ran, broken)
	switch {
	case complete*2 < len(cl.answers), ran == 0, trouble && broken == 0:
		return fmt.Errorf("%w: too few streams were served or broke off", errSetup)
	case short > 0:
		return fmt.Errorf("%w: ORDER, %d streams", errBroken, short)
	}
	return nil
}
