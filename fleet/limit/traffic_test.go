package limit_test

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
)

// traffic is a stream of requests of one account.
type traffic struct {
	account id.Account
	every   time.Duration // mean time between requests
	most    int64         // tokens of the largest request
	hold    time.Duration // longest time to the end of a request
	wasteIn int           // one request in wasteIn uses only a random part; 0: none
	hosts   []*host
}

// opening is a request that waits for its decision.
type opening struct {
	t      traffic
	tokens int64
}

func (w *world) drive(t traffic) {
	w.after(time.Duration(w.rnd.ExpFloat64()*float64(t.every)), func() {
		w.arrive(t, t.hosts[w.rnd.IntN(len(t.hosts))])
		w.drive(t)
	})
}

func (w *world) arrive(t traffic, h *host) {
	w.on(h, h.inc, func(now time.Time) {
		w.requests++
		req := id.Request(fmt.Sprintf("r%d", w.requests))
		tokens := 1 + w.rnd.Int64N(t.most)
		w.open[req] = opening{t: t, tokens: tokens}
		d, actions := limit.Admit(h.st, now, req, t.account, tokens)
		w.act(h, actions)
		w.decided(h, req, d)
		if _, waits := d.(limit.Pending); waits && w.faulty && w.rnd.IntN(20) == 0 {
			delete(w.open, req)
			w.act(h, limit.Abandon(h.st, now, req))
		}
	})
}

func (w *world) decided(h *host, req id.Request, d limit.Decision) {
	if _, waits := d.(limit.Pending); waits {
		return
	}
	o, ok := w.open[req]
	if !ok {
		w.err = fmt.Errorf("second decision %+v on %s", d, req)
		return
	}
	delete(w.open, req)
	if _, refused := d.(limit.Refused); refused {
		w.refused++
		if w.withinRate(o) {
			w.unfair++
		}
		return
	}
	u := &usage{at: w.now, tokens: o.tokens}
	w.charges[o.t.account] = append(w.charges[o.t.account], u)
	inc := h.inc
	w.after(time.Duration(w.rnd.Int64N(int64(o.t.hold)+1)), func() {
		w.on(h, inc, func(now time.Time) {
			if o.t.wasteIn > 0 && w.rnd.IntN(o.t.wasteIn) == 0 {
				u.tokens = w.rnd.Int64N(o.tokens + 1)
			}
			w.act(h, limit.Settle(h.st, now, req, u.tokens))
		})
	})
}

// excess returns how full an overall bucket of the account would be, in
// tokens: the greatest usage over rate in any window up to now. It reports the
// first time at which the burst was exceeded.
func (w *world) excess(account id.Account) (float64, error) {
	b := w.budgets[account]
	const nano = int64(time.Second)
	var x int64
	var at time.Duration
	for _, u := range w.charges[account] {
		x = max(x-b.Rate*int64(u.at-at), 0) + u.tokens*nano
		at = u.at
		if x > b.Burst*nano {
			return 0, fmt.Errorf("account %s: %d nanotokens over rate and burst at %v", account, x-b.Burst*nano, at)
		}
	}
	return float64(max(x-b.Rate*int64(w.now-at), 0)) / float64(nano), nil
}

// checkWindows returns an error if an account exceeded rate and burst in any window.
func (w *world) checkWindows() error {
	for account := range w.budgets {
		if _, err := w.excess(account); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) withinRate(o opening) bool {
	x, err := w.excess(o.t.account)
	return err == nil && x+float64(o.tokens) <= float64(w.budgets[o.t.account].Burst)
}
