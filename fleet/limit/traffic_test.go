package limit_test

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
)

// traffic is a stream of requests of one account.
type traffic struct {
	account          id.Account
	meanInterval     time.Duration // mean time between requests
	maxRequestTokens int64         // maximum tokens of a request
	maxDuration      time.Duration // maximum duration of a request
	partialUseIn     int           // one in this many requests uses only a random part of its tokens; 0: none
	hosts            []*host
}

// undecidedRequest is a request without a final decision.
type undecidedRequest struct {
	t      traffic
	tokens int64
}

func (sim *simulation) generate(t traffic) {
	sim.after(time.Duration(sim.rnd.ExpFloat64()*float64(t.meanInterval)), func() {
		sim.arrive(t, t.hosts[sim.rnd.IntN(len(t.hosts))])
		sim.generate(t)
	})
}

func (sim *simulation) arrive(t traffic, h *host) {
	sim.runOn(h, h.inc, func(now time.Time) {
		sim.requests++
		req := id.Request(fmt.Sprintf("r%d", sim.requests))
		tokens := 1 + sim.rnd.Int64N(t.maxRequestTokens)
		sim.undecided[req] = undecidedRequest{t: t, tokens: tokens}
		d, actions := limit.Admit(h.st, now, req, t.account, tokens)
		sim.perform(h, actions)
		sim.recordDecision(h, req, d)
		if _, waiting := d.(limit.Pending); waiting && sim.faulty && sim.rnd.IntN(20) == 0 {
			delete(sim.undecided, req)
			sim.perform(h, limit.Abandon(h.st, now, req))
		}
	})
}

func (sim *simulation) recordDecision(h *host, req id.Request, d limit.Decision) {
	if _, waiting := d.(limit.Pending); waiting {
		return
	}
	o, ok := sim.undecided[req]
	if !ok {
		sim.err = fmt.Errorf("second decision %+v for %s", d, req)
		return
	}
	delete(sim.undecided, req)
	if _, refused := d.(limit.Refused); refused {
		sim.refused++
		if sim.withinRate(o) {
			sim.refusedWithinRate++
		}
		return
	}
	u := &usage{at: sim.now, tokens: o.tokens}
	sim.charges[o.t.account] = append(sim.charges[o.t.account], u)
	inc := h.inc
	sim.after(time.Duration(sim.rnd.Int64N(int64(o.t.maxDuration)+1)), func() {
		sim.runOn(h, inc, func(now time.Time) {
			if o.t.partialUseIn > 0 && sim.rnd.IntN(o.t.partialUseIn) == 0 {
				u.tokens = sim.rnd.Int64N(o.tokens + 1)
			}
			sim.perform(h, limit.Settle(h.st, now, req, u.tokens))
		})
	})
}

// bucketFill returns the fill of a leaky bucket for the account over all hosts, in tokens:
// the maximum over all windows ending now of the tokens used minus those the rate
// allows. It returns an error for the first time at which the burst was exceeded.
func (sim *simulation) bucketFill(account id.Account) (float64, error) {
	b := sim.budgets[account]
	const nanotokensPerToken = int64(time.Second)
	var x int64
	var at time.Duration
	for _, u := range sim.charges[account] {
		x = max(x-b.Rate*int64(u.at-at), 0) + u.tokens*nanotokensPerToken
		at = u.at
		if x > b.Burst*nanotokensPerToken {
			return 0, fmt.Errorf("account %s: %d nanotokens over rate and burst at %v", account, x-b.Burst*nanotokensPerToken, at)
		}
	}
	return float64(max(x-b.Rate*int64(sim.now-at), 0)) / float64(nanotokensPerToken), nil
}

// checkWindows returns an error if any account exceeded its rate and burst in a window.
func (sim *simulation) checkWindows() error {
	for account := range sim.budgets {
		if _, err := sim.bucketFill(account); err != nil {
			return err
		}
	}
	return nil
}

func (sim *simulation) withinRate(o undecidedRequest) bool {
	x, err := sim.bucketFill(o.t.account)
	return err == nil && x+float64(o.tokens) <= float64(sim.budgets[o.t.account].Burst)
}
