package bench

import (
	"maps"
	"slices"
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// Result holds the measures of one run. Shares are between 0 and 1.
type Result struct {
	Trace      string `json:"trace"`
	Deployment string `json:"deployment"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`

	Sent                int     `json:"sent"`
	Good                int     `json:"good"`
	GoodShare           float64 `json:"good-share"` // of the requests sent
	GoodPerSecond       float64 `json:"good-per-s"`
	GoodTokensPerSecond float64 `json:"good-tokens-per-s"` // prompt and output tokens of good requests

	PrefillTokens int64   `json:"prefill-tokens"` // prompt tokens that the engines computed
	WastedTokens  int64   `json:"wasted-tokens"`  // of these, tokens whose result was never decoded
	WastedPrefill float64 `json:"wasted-prefill"` // share of the computed tokens

	WorstAccount id.Account `json:"worst-account"`
	WorstShare   float64    `json:"worst-share"` // lowest ratio of good work to fair share; -1 if no account has a fair share

	InRate             int            `json:"in-rate"`         // requests within the rate of their account
	RefusedInRate      int            `json:"refused-in-rate"` // of these, refused
	RefusedInRateShare float64        `json:"refused-in-rate-share"`
	RefusalsByCode     map[string]int `json:"refusals-in-rate"` // refused requests within the rate, by error code
	MissedByCause      map[string]int `json:"missed"`           // requests within the rate that are not good, by cause
	Accounts           []Account      `json:"accounts"`
	Bottleneck         string         `json:"bottleneck"`
	Explanations       []string       `json:"-"`
}

// Account holds the measures of one client account. OfferedWork, GoodWork and
// FairShare are in units of the bottleneck resource.
type Account struct {
	Account     id.Account `json:"account"`
	Sent        int        `json:"sent"`
	InRate      int        `json:"in-rate"`
	Good        int        `json:"good"`
	Refused     int        `json:"refused-in-rate"` // of the requests within the rate
	OfferedWork float64    `json:"offered-work"`    // of requests within the rate
	GoodWork    float64    `json:"good-work"`
	FairShare   float64    `json:"fair-share"`
	Share       float64    `json:"share"` // GoodWork / FairShare
}

// good reports whether the response to a call is complete and within the latency
// targets of its route. The time between tokens is the mean over the response.
func good(c fake.Call, r table.Route) bool {
	return c.Result == fake.ResultComplete && firstTokenInTime(c, r) && meanGap(c) <= r.BetweenTokens
}

func firstTokenInTime(c fake.Call, r table.Route) bool {
	return c.First.Sub(c.Sent) <= r.FirstToken
}

// meanGap returns the mean time between tokens, or 0 below two tokens.
func meanGap(c fake.Call) time.Duration {
	if c.Received < 2 {
		return 0
	}
	return c.Last.Sub(c.First) / time.Duration(c.Received-1)
}

// measure computes the measures of a run from its calls. It sets neither the prefill
// measures nor the trace, deployment, variant and seed.
func measure(calls []fake.Call, t *table.Snapshot, s capacity) Result {
	inRate := markInRate(calls, t, s)
	resource := s.bottleneck(calls, inRate)
	r := Result{
		Sent: len(calls), Bottleneck: resources[resource],
		RefusalsByCode: map[string]int{}, MissedByCause: map[string]int{},
	}
	accounts := map[id.Account]*Account{}
	for i, c := range calls {
		a, ok := accounts[c.Account]
		if !ok {
			a = &Account{Account: c.Account}
			accounts[c.Account] = a
		}
		a.add(&r, c, t.Routes[c.Route], inRate[i], s.resourceDemand(c)[resource])
	}
	r.GoodShare = share(float64(r.Good), float64(r.Sent))
	r.GoodPerSecond = float64(r.Good) / s.seconds
	r.GoodTokensPerSecond /= s.seconds
	r.RefusedInRateShare = share(float64(r.RefusedInRate), float64(r.InRate))
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		r.Accounts = append(r.Accounts, *accounts[name])
	}
	r.fairness(t, s.total(resource))
	return r
}

// share returns part/whole, or 0 if whole is 0.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// add counts a call in the account and in the totals of r. The work is the
// demand of the call for the bottleneck resource.
func (a *Account) add(r *Result, c fake.Call, route table.Route, inRate bool, work float64) {
	a.Sent++
	ok := good(c, route)
	if ok {
		a.Good++
		a.GoodWork += work
		r.Good++
		r.GoodTokensPerSecond += float64(c.Prompt + c.Received)
	}
	if !inRate {
		return
	}
	a.InRate++
	a.OfferedWork += work
	r.InRate++
	if !ok {
		r.MissedByCause[missCause(c, route)]++
	}
	if c.Result == fake.ResultRefused {
		a.Refused++
		r.RefusedInRate++
		r.RefusalsByCode[c.Code]++
	}
}

// missCause returns the reason why a call is not good.
func missCause(c fake.Call, route table.Route) string {
	switch {
	case c.Result == fake.ResultOpen:
		return "open"
	case c.Result != fake.ResultComplete:
		return string(c.Result) + ":" + c.Code
	case !firstTokenInTime(c, route):
		return "first-token:" + string(c.Route)
	}
	return "between-tokens"
}

// fairness sets the fair shares of the accounts and finds the worst-served
// account, which has the lowest ratio of good work to fair share.
func (r *Result) fairness(t *table.Snapshot, total float64) {
	demand := make([]float64, len(r.Accounts))
	weight := make([]float64, len(r.Accounts))
	for i, a := range r.Accounts {
		demand[i] = a.OfferedWork
		weight[i] = float64(t.Accounts[a.Account].Weight)
	}
	r.WorstShare = -1
	for i, fair := range maxMin(demand, weight, total) {
		a := &r.Accounts[i]
		a.FairShare = fair
		if fair <= 0 {
			continue
		}
		a.Share = a.GoodWork / fair
		if r.WorstShare < 0 || a.Share < r.WorstShare {
			r.WorstAccount, r.WorstShare = a.Account, a.Share
		}
	}
}
