package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// The figures of longPrompts.
const (
	longParts    = 66 // parts that all prompts of the route share
	topics       = 20 // parts after these, of which one belongs to a sound prompt
	soundRate    = 12.0
	crashRate    = 4.0
	calmTime     = 12 * time.Second
	troubleTime  = 45 * time.Second
	downTime     = 6 * time.Second
	minRequests  = 20
	crashingPart = "bad0beef"
)

// longPrompts plays prompts of 68 parts. With trouble, requests come whose 67th part crashes
// each runner that begins to write an answer on it.
func longPrompts(c *cluster, trouble bool) ([]string, bool, error) {
	for _, e := range c.engines {
		e.crashPart, e.downFor = crashingPart, downTime
	}
	parts := longParts
	if n := envInt("PARTS"); n > 0 {
		parts = n
	}
	var shared []string
	for i := range parts {
		shared = append(shared, fmt.Sprintf("%08x:40", 0x5c000000+i))
	}
	k := newClients(c)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	k.every(ctx, soundRate, func() {
		topic := fmt.Sprintf("%08x:100", 0x71000000+rand.IntN(topics))
		k.do(k.anyMachine(), k.stream("usage-digest", "sound", append(append([]string(nil), shared...), topic)))
	})
	k.every(ctx, 40, func() { k.sendTag("tag-lock") })
	time.Sleep(3 * time.Second) // a new scheduler grants little at first
	calmFrom := time.Now()
	time.Sleep(calmTime)
	calmUntil := time.Now()
	bad, stopBad := context.WithCancel(ctx)
	defer stopBad()
	if trouble {
		k.every(bad, crashRate, func() {
			k.do(k.anyMachine(), k.stream("usage-digest", "crashing", append(append([]string(nil), shared...), crashingPart+":100")))
		})
	}
	time.Sleep(troubleTime)
	until := time.Now()
	stopBad()
	stop()
	k.wg.Wait()
	return checkCrashes(c, calmFrom, calmUntil, until)
}

// checkCrashes compares how many sound requests began before the trouble and from 2 x contact_ms
// after the fifth crash until the crashing requests ended.
func checkCrashes(c *cluster, calmFrom, calmUntil, until time.Time) ([]string, bool, error) {
	begun := func(from, until time.Time) (n, all int) {
		for _, r := range c.rec.allCalls() {
			if r.kind != "sound" || r.sent.Before(from) || r.sent.After(until) {
				continue
			}
			all++
			if len(c.rec.runsOf(r.id)) > 0 {
				n++
			}
		}
		return n, all
	}
	fifth := calmUntil
	crashes := c.rec.crashTimes()
	if len(crashes) > 0 {
		fifth = crashes[min(len(crashes), 5)-1]
	}
	late := 0
	for _, a := range c.rec.arrives {
		if strings.Contains(a.prefix, crashingPart) && a.at.After(fifth.Add(contact)) {
			late++
		}
	}
	n0, all0 := begun(calmFrom, calmUntil)
	n1, all1 := begun(fifth.Add(2*contact), until)
	before, after := float64(n0)/float64(max(all0, 1)), float64(n1)/float64(max(all1, 1))
	out := []string{
		fmt.Sprintf("runners crashed %d times; the fifth time at %.1f s", len(crashes), c.rec.since(fifth)),
		fmt.Sprintf("sound requests that began before the trouble: %d of %d", n0, all0),
		fmt.Sprintf("sound requests that began from 2 x contact_ms after the fifth crash: %d of %d", n1, all1),
		fmt.Sprintf("LOST: %.2f against %.2f, broken below half", after, before),
		fmt.Sprintf("arrivals with the part later than contact_ms after the fifth crash, prefills too: %d", late),
	}
	if all0 < minRequests || all1 < minRequests || before < 0.5 {
		return out, true, fmt.Errorf("too few requests: %v", out)
	}
	return out, after >= before/2, nil
}
