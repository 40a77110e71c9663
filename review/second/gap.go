package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["gap"] = gap }

const (
	gapDown      = 500 * time.Millisecond // from the kill to the start of the processes
	gapRemoved   = 700 * time.Millisecond // from the start to the removal of the entry
	gapServes    = 9 * time.Second        // that the runner continues serving after that
	gapAfter     = 2 * time.Second        // that requests are sent after the runner's exit
	drainTimeout = 2 * time.Second        // drain_timeout_ms
	contactTime  = 3 * time.Second        // contact_ms
	gapPause     = 300 * time.Millisecond // between two streams of a client
)

// gapCall is a request of a client.
type gapCall struct {
	id, host string
	sent     time.Time
	status   int
}

// gap kills all processes, and removes the entry of a runner shortly after they have started again.
// The rule wants no request to reach that runner later than drain_timeout_ms after the removal.
func gap(rec *Record, trouble string) bool {
	c := NewCluster(9)
	cleanup = c.Close
	models, _, runs := c.addRunners()
	c.store.Put("config", "main", configuration(1, tenants))
	c.Start()
	if trouble != troubleNone {
		for _, h := range c.hosts {
			h.Kill()
		}
		rec.Say("all %d processes are killed", len(c.hosts))
		time.Sleep(gapDown)
		for _, h := range c.hosts {
			h.Start()
		}
		rec.Say("they start again")
	}
	started := time.Now()
	for _, h := range c.hosts {
		h.awaitReady()
	}
	rec.Say("all are ready after %.2f s", time.Since(started).Seconds())
	time.Sleep(time.Until(started.Add(gapRemoved)))
	x := models[1] // a decode runner
	c.store.Delete("servers", x.id)
	removed := time.Now()
	rec.Say("the entry of %s is removed, acknowledged by the store", x.id)
	exit := time.AfterFunc(gapServes, func() {
		rec.Say("%s exits", x.id)
		x.Exit()
	})
	defer exit.Stop()
	calls := gapCalls(rec, c, removed.Add(gapServes+gapAfter))
	return checkGap(rec, x, calls, runs.All(), removed, started)
}

// gapCalls lets a client at each host ask for one stream after the other until end.
func gapCalls(rec *Record, c *Cluster, end time.Time) []gapCall {
	var mu sync.Mutex
	var out []gapCall
	var clients sync.WaitGroup
	for _, h := range c.hosts {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				g := gapCall{id: fmt.Sprintf("%s-%d", h.name, n), host: h.name, sent: time.Now()}
				text := ""
				g.status, text = callStream(h, oncePath, g.id)
				rec.Printf("%s: %d %s", g.id, g.status, text)
				mu.Lock()
				out = append(out, g)
				mu.Unlock()
				time.Sleep(gapPause)
			}
		})
	}
	clients.Wait()
	return out
}

func checkGap(rec *Record, x *Runner, calls []gapCall, runs []Run, removed, started time.Time) bool {
	from := removed.Add(drainTimeout)
	if inTouch := started.Add(contactTime); inTouch.After(from) {
		from = inTouch
	}
	reached := make(map[string]bool)
	for _, run := range runs {
		if run.Runner == x.id {
			reached[run.ID] = true
		}
	}
	late, hosts := 0, make(map[string]int)
	statuses := make(map[int]int)
	last := removed
	for _, g := range calls {
		statuses[g.status]++
		if reached[g.id] && g.sent.After(from) {
			late++
			hosts[g.host]++
			last = g.sent
		}
	}
	rec.Say("answers by status: %v", statuses)
	if late == 0 {
		return true
	}
	rec.Say("DRAIN: %d requests reached %s that were sent later than %s after the removal of its entry, the last %.1f s after it, by hosts: %v",
		late, x.id, drainTimeout, last.Sub(removed).Seconds(), hosts)
	return false
}
