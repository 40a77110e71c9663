package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The figures of batches.
const (
	batchSize     = 24
	batchInterval = 8 * time.Second
	batchCount    = 3
	batchDownTime = 7 * time.Second
)

// lateAllowed is the number of requests with the part that may reach runners later than
// contact_ms after the fifth crash.
const lateAllowed = 3

// lateCrashes returns how many requests with the crashing part, of those that were sent later
// than contact_ms after the fifth crash, reached a runner that writes answers, and how many sound
// streams broke off from then on.
func lateCrashes(c *cluster) (late, broken int) {
	crashes := c.rec.crashTimes()
	if len(crashes) < 5 {
		return 0, 0
	}
	from := crashes[4].Add(contact)
	reached := make(map[string]bool)
	for _, a := range c.rec.arrives {
		if !a.prefill {
			reached[a.request] = true
		}
	}
	for _, r := range c.rec.allCalls() {
		switch {
		case r.sent.Before(from):
		case r.kind == "crashing" && reached[r.id]:
			late++
		case r.kind == "sound" && len(c.rec.runsOf(r.id)) > 0 && !r.complete:
			broken++
		}
	}
	return late, broken
}

// batches plays prompts of three parts. With trouble, a client sends batches of requests whose
// second part crashes each runner that begins to write an answer on it.
func batches(c *cluster, trouble bool) ([]string, bool, error) {
	for _, e := range c.engines {
		e.crashPart, e.downFor = crashingPart, batchDownTime
	}
	k := newClients(c)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	const first = "5c000000:200"
	k.every(ctx, soundRate, func() {
		k.do(k.anyMachine(), k.stream("usage-digest", "sound", []string{first, fmt.Sprintf("%08x:100", 0x71000000+rand.IntN(topics))}))
	})
	k.every(ctx, 50, func() { k.sendTag("tag-lock") })
	k.every(ctx, 20, func() { k.sendTag("tag-status") })
	time.Sleep(3 * time.Second)
	calmFrom := time.Now()
	time.Sleep(calmTime)
	calmUntil := time.Now()
	for n := range batchCount {
		if n > 0 {
			time.Sleep(batchInterval)
		}
		for range batchSize {
			if trouble {
				k.wg.Add(1)
				go func() {
					defer k.wg.Done()
					k.do(k.anyMachine(), k.stream("usage-digest", "crashing", []string{first, crashingPart + ":100"}))
				}()
			}
		}
	}
	until := time.Now() // the last of them has been sent
	stop()
	k.wg.Wait()
	out, held, err := checkCrashes(c, calmFrom, calmUntil, until)
	if err != nil {
		return out, true, err
	}
	late, broken := lateCrashes(c)
	out = append(out,
		fmt.Sprintf("BUDGET: %d requests with the part reached runners later than contact_ms after the fifth crash, broken above %d", late, lateAllowed),
		fmt.Sprintf("sound streams that broke off in these crashes: %d", broken))
	return out, held, nil
}
