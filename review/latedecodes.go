package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The figures of lateDecodes.
const (
	heavyTokens  = "18000,80"
	heavyRate    = 5.0
	silence      = 1700 * time.Millisecond
	drainRounds  = 8
	drainCount   = 2 // of 12 engines
	drainEvery   = 9 * time.Second
	drainTimeout = 2 * time.Second         // drain_timeout_ms
	servesOn     = 2300 * time.Millisecond // after the store has accepted that the runner leaves
	comesAfter   = 2 * time.Second
)

// lateDecodes plays long prompts while runners that read them are silent for a moment and, with
// trouble, two runners that write answers are emptied and taken away.
func lateDecodes(c *cluster, trouble bool) ([]string, bool, error) {
	k := newClients(c)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	k.every(ctx, heavyRate, func() {
		r := k.stream("usage-digest", "heavy", []string{fmt.Sprintf("%08x:200", 0x5c000000+rand.IntN(2000))})
		r.tokens = heavyTokens
		k.do(k.anyMachine(), r)
	})
	k.every(ctx, 50, func() { k.sendTag("tag-lock") })
	k.every(ctx, 20, func() { k.sendTag("tag-status") })
	time.Sleep(6 * time.Second)
	for range drainRounds {
		var decodes []*server
		for _, e := range c.engines {
			if e.role == "prefill" {
				e.fallSilent(silence)
			} else {
				decodes = append(decodes, e)
			}
		}
		time.Sleep(20 * time.Millisecond)
		if trouble {
			for _, i := range rand.Perm(len(decodes))[:drainCount] {
				go decodes[i].drain(servesOn, comesAfter)
			}
		}
		time.Sleep(drainEvery)
	}
	stop()
	k.wg.Wait()

	model := make(map[string]bool)
	for _, r := range c.rec.allCalls() {
		model[r.id] = r.kind == "heavy"
	}
	arrived, late, cut := 0, 0, 0
	example := ""
	lateRequests := make(map[string]bool)
	for _, a := range c.rec.arrives {
		if a.prefill || !model[a.request] {
			continue
		}
		arrived++
		if a.leavingFor > drainTimeout {
			late++
			lateRequests[a.request] = true
			example = fmt.Sprintf("%s reached %s %.3f s after the acknowledgement", a.request, a.server, a.leavingFor.Seconds())
		}
	}
	for _, r := range c.rec.allCalls() {
		if lateRequests[r.id] && (r.status != 200 || !r.complete) {
			cut++
		}
	}
	out := []string{
		fmt.Sprintf("%d requests reached runners that write answers", arrived),
		fmt.Sprintf("DRAIN: %d of them later than drain_timeout_ms after the store accepted that the runner leaves; %s", late, example),
		fmt.Sprintf("%d of these got no whole answer, as the runner ended", cut),
	}
	if arrived < minRequests {
		return out, true, fmt.Errorf("too few requests: %v", out)
	}
	return out, late == 0, nil
}
