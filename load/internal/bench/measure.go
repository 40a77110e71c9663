package bench

import (
	"maps"
	"slices"
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// Result holds the measures of one run.
type Result struct {
	Trace      string `json:"trace"`
	Deployment string `json:"deployment"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`

	Sent          int     `json:"sent"`
	Good          int     `json:"good"`
	GoodShare     float64 `json:"good-share"` // of the requests sent
	GoodPerSecond float64 `json:"good-per-s"`
	GoodTokens    float64 `json:"good-tokens-per-s"` // prompt and output

	PrefillTokens int64   `json:"prefill-tokens"` // computed
	WastedTokens  int64   `json:"wasted-tokens"`  // computed and never decoded
	WastedPrefill float64 `json:"wasted-prefill"` // share

	WorstAccount id.Account `json:"worst-account"`
	WorstShare   float64    `json:"worst-share"` // good work over fair share

	InRate        int            `json:"in-rate"`         // requests within the rate of their account
	RefusedInRate int            `json:"refused-in-rate"` // of these
	RefusedShare  float64        `json:"refused-in-rate-share"`
	Refusals      map[string]int `json:"refusals-in-rate"` // by code
	Missed        map[string]int `json:"missed"`           // requests in rate that are not good, by cause
	Accounts      []Account      `json:"accounts"`
	Bottleneck    string         `json:"bottleneck"`
	Examples      []string       `json:"-"`
}

// Account holds the measures of one client account. Work is in units of the
// bottleneck resource.
type Account struct {
	Account id.Account `json:"account"`
	Sent    int        `json:"sent"`
	InRate  int        `json:"in-rate"`
	Good    int        `json:"good"`
	Refused int        `json:"refused-in-rate"`
	Offered float64    `json:"offered-work"` // within the rate
	Done    float64    `json:"good-work"`
	Fair    float64    `json:"fair-share"`
	Share   float64    `json:"share"` // good work over fair share
}

// good tells whether a call was answered whole and within the targets of its
// route. The time between tokens is the mean of the answer.
func good(c fake.Call, r table.Route) bool {
	return c.Result == fake.ResultWhole && inTime(c, r) && meanGap(c) <= r.BetweenTokens
}

func inTime(c fake.Call, r table.Route) bool {
	return c.First.Sub(c.Sent) <= r.FirstToken
}

func meanGap(c fake.Call) time.Duration {
	if c.Received < 2 {
		return 0
	}
	return c.Last.Sub(c.First) / time.Duration(c.Received-1)
}

// measure computes everything but the prefill measures.
func measure(calls []fake.Call, t *table.Snapshot, s supply) Result {
	within := referenceRates(calls, t, s)
	resource := s.bottleneck(calls, within)
	r := Result{
		Sent: len(calls), Bottleneck: resources[resource],
		Refusals: map[string]int{}, Missed: map[string]int{},
	}
	accounts := map[id.Account]*Account{}
	for i, c := range calls {
		a, ok := accounts[c.Account]
		if !ok {
			a = &Account{Account: c.Account}
			accounts[c.Account] = a
		}
		a.add(&r, c, t.Routes[c.Route], within[i], s.work(c)[resource])
	}
	r.GoodShare = share(float64(r.Good), float64(r.Sent))
	r.GoodPerSecond = float64(r.Good) / s.seconds
	r.GoodTokens /= s.seconds
	r.RefusedShare = share(float64(r.RefusedInRate), float64(r.InRate))
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		r.Accounts = append(r.Accounts, *accounts[name])
	}
	r.fairness(t, s.total(resource))
	return r
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func (a *Account) add(r *Result, c fake.Call, route table.Route, within bool, work float64) {
	a.Sent++
	ok := good(c, route)
	if ok {
		a.Good++
		a.Done += work
		r.Good++
		r.GoodTokens += float64(c.Prompt + c.Received)
	}
	if !within {
		return
	}
	a.InRate++
	a.Offered += work
	r.InRate++
	if !ok {
		r.Missed[cause(c, route)]++
	}
	if c.Result == fake.ResultRefused {
		a.Refused++
		r.RefusedInRate++
		r.Refusals[c.Code]++
	}
}

// cause names why a call is not good.
func cause(c fake.Call, route table.Route) string {
	switch {
	case c.Result == fake.ResultOpen:
		return "open"
	case c.Result != fake.ResultWhole:
		return string(c.Result) + ":" + c.Code
	case !inTime(c, route):
		return "first-token:" + string(c.Route)
	}
	return "between-tokens"
}

// fairness sets the fair shares and finds the worst-served account.
func (r *Result) fairness(t *table.Snapshot, total float64) {
	demand := make([]float64, len(r.Accounts))
	weight := make([]float64, len(r.Accounts))
	for i, a := range r.Accounts {
		demand[i] = a.Offered
		weight[i] = float64(t.Accounts[a.Account].Weight)
	}
	r.WorstShare = -1
	for i, fair := range maxMin(demand, weight, total) {
		a := &r.Accounts[i]
		a.Fair = fair
		if fair <= 0 {
			continue
		}
		a.Share = a.Done / fair
		if r.WorstShare < 0 || a.Share < r.WorstShare {
			r.WorstAccount, r.WorstShare = a.Account, a.Share
		}
	}
}
