package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The figures of lostAnswers: share and x of the disruption, its length and how often it comes.
const (
	lostServers = 0.6
	lostStreams = 0.4
	lostFor     = 6 * time.Second
	lostPause   = 4 * time.Second
	lostRounds  = 5
	resumeRate  = 8.0
	digestRate  = 5.0
	// overlap is how long after a request has gone on at another runner the one before may still
	// work on it.
	overlap = 400 * time.Millisecond
)

// lostAnswers plays runners that run a request and whose answer is lost on the way.
func lostAnswers(c *cluster, trouble bool) ([]string, bool, error) {
	k := newClients(c)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	shared := func() []string { return []string{fmt.Sprintf("%08x:200", 0x5c000000+rand.IntN(2000))} }
	k.every(ctx, resumeRate, func() { k.do(k.anyMachine(), k.stream("dispute-summary", "resumable", shared())) })
	k.every(ctx, digestRate, func() { k.do(k.anyMachine(), k.stream("usage-digest", "once", shared())) })
	k.every(ctx, 50, func() { k.sendTag("tag-lock") })
	k.every(ctx, 20, func() { k.sendTag("tag-status") })
	time.Sleep(5 * time.Second)
	for range lostRounds {
		if trouble {
			for _, i := range rand.Perm(len(c.engines))[:int(lostServers*float64(len(c.engines)))] {
				c.engines[i].lostShare.Store(lostStreams)
			}
		}
		time.Sleep(lostFor)
		for _, e := range c.engines {
			e.lostShare.Store(0.0)
		}
		time.Sleep(lostPause)
	}
	stop()
	k.wg.Wait()
	time.Sleep(2 * time.Second)

	moved, twice, complete := 0, 0, 0
	example := ""
	for _, r := range c.rec.allCalls() {
		if r.kind == "resumable" && r.status == 200 && r.complete {
			complete++
		}
		runs := c.rec.runsOf(r.id)
		for i := 1; i < len(runs); i++ {
			moved++
			before := runs[i-1]
			if late := before.end.Sub(runs[i].at); before.server != runs[i].server && late > overlap {
				twice++
				example = fmt.Sprintf("%s ran on %s until %.3f s, and went on at %s at %.3f s",
					r.id, before.server, c.rec.since(before.end), runs[i].server, c.rec.since(runs[i].at))
			}
		}
	}
	out := []string{
		fmt.Sprintf("%d resumable streams complete, %d went on at another runner", complete, moved),
		fmt.Sprintf("TWICE: %d of these while the runner before worked on for more than 400 ms; %s", twice, example),
	}
	if complete < minRequests || trouble && moved == 0 {
		return out, true, fmt.Errorf("too few requests: %v", out)
	}
	return out, twice == 0, nil
}
