package slopes

import (
	"slices"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	rounds      = 5
	roundLength = 4 * time.Second // virtual; twice the interval of the host list
)

// median returns the median of a non-empty list.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// share is processor time per second of virtual time, in percent of a core.
func share(spent, virtual time.Duration) float64 {
	return 100 * spent.Seconds() / virtual.Seconds()
}

// idleShares runs the rig for some rounds and returns the medians of the shares
// of ticks and of all other events. Open requests get a token each second.
func idleShares(r *rig) (ticks, rest float64) {
	var t, o []float64
	for range rounds {
		r.reset()
		for range int(roundLength / time.Second) {
			r.run(time.Second)
			tokens := r.total("TokensArrived")
			r.tokens()
			r.spent["TokensArrived"] = tokens
		}
		tick := r.total("Tick")
		t = append(t, share(tick, roundLength))
		o = append(o, share(r.total()-tick, roundLength))
	}
	return median(t), median(o)
}

// tickSeries measures what a host does without new requests: ticks, heartbeats,
// the host list, registration of running requests.
func tickSeries() ([]series, error) {
	requests, err := sweep("of running requests", "running requests", []int{0, 100, 300, 1000}, func(*shape, int) {},
		func(r *rig, n int) {
			for range n {
				r.start()
			}
		})
	if err != nil {
		return nil, err
	}
	peers, err := sweep("of peers", "hosts per zone (of 9)", []int{10, 100, 311}, func(sh *shape, n int) { sh.hosts = n }, nil)
	if err != nil {
		return nil, err
	}
	accounts, err := sweep("of accounts", "accounts", []int{1000, 5000, 20_000}, func(sh *shape, n int) { sh.accounts = n }, nil)
	if err != nil {
		return nil, err
	}
	endpoints, err := sweep("of endpoints", "endpoints", []int{1000, 3000, 10_000}, func(sh *shape, n int) { sh.endpoints = n }, nil)
	if err != nil {
		return nil, err
	}
	return slices.Concat(requests, peers, accounts, endpoints), nil
}

// sweep measures the idle shares over the sizes of one quantity.
func sweep(of, unit string, sizes []int, set func(*shape, int), load func(*rig, int)) ([]series, error) {
	ticks := series{name: "ticks, share " + of, mechanism: "core.tick", x: unit, y: "% of a core"}
	rest := series{name: "other events, share " + of, mechanism: "core.hostsListed, core.peerMessage", x: unit, y: "% of a core"}
	for _, n := range sizes {
		sh := targetShape()
		set(&sh, n)
		r, err := newRig(sh)
		if err != nil {
			return nil, err
		}
		if load != nil {
			load(r, n)
		}
		t, o := idleShares(r)
		ticks.points = append(ticks.points, point{float64(n), t})
		rest.points = append(rest.points, point{float64(n), o})
	}
	return []series{ticks, rest}, nil
}

// requestSeries measures the time of requests by the number of their tokens. The
// slope is the time of a token, the intercept that of a request.
func requestSeries() ([]series, error) {
	const n = 2000
	r, err := newRig(targetShape())
	if err != nil {
		return nil, err
	}
	out := series{
		name: "time of a request at its entry host, by output tokens", mechanism: "core.requestArrived to core.finish, core.tokensArrived",
		x: "tokens", y: "us",
	}
	for _, tokens := range []int{1, 20, 100, 267} {
		var each []float64
		for range rounds {
			r.reset()
			for range n / rounds {
				r.whole(tokens)
			}
			each = append(each, float64(r.total().Nanoseconds())/1000/(n/rounds))
			r.run(100 * time.Millisecond)
		}
		out.points = append(out.points, point{float64(tokens), median(each)})
	}
	asks, err := askSeries()
	return []series{out, asks}, err
}

// askSeries measures the answer to a host that asks a share holder for tokens.
func askSeries() (series, error) {
	const n = 5000
	out := series{name: "time of a TokenAsk at the share holder", mechanism: "limit.HandleAsk", x: "accounts", y: "us"}
	for _, accounts := range []int{1000, 5000, 20_000} {
		sh := targetShape()
		sh.hosts, sh.accounts = 1, accounts
		r, err := newRig(sh)
		if err != nil {
			return out, err
		}
		var each []float64
		for range rounds {
			r.reset()
			for i := range n {
				r.ask(i)
			}
			each = append(each, float64(r.total("TokenAsk").Nanoseconds())/1000/n)
			r.run(time.Second)
		}
		out.points = append(out.points, point{float64(accounts), median(each)})
	}
	return out, nil
}

// whole runs one request to its end.
func (r *rig) whole(tokens int) {
	r.start()
	for _, req := range r.open {
		for i := range tokens {
			r.token(req, i == tokens-1)
		}
		delete(r.offset, req)
	}
	r.open = r.open[:0]
}

// ask lets a host of another zone ask this host for tokens.
func (r *rig) ask(n int) {
	r.post(core.PeerMessage{From: r.hosts[1+n%(r.shape.zones-1)].Host, Incarnation: 1, Message: message.TokenAsk{
		Request: id.Request("entry-1-000-" + strconv.Itoa(n)), Account: accountName(n % r.shape.accounts), Tokens: 5,
	}})
}
