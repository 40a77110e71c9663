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
	roundLength = 4 * time.Second // virtual time; twice the interval between two reads of the host list
)

// median returns the median of the values, of which there must be at least one.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// cpuPercent returns the CPU time per virtual time, in percent of a core.
func cpuPercent(spent, virtual time.Duration) float64 {
	return 100 * spent.Seconds() / virtual.Seconds()
}

// idleCPU runs the harness for some rounds and returns the median CPU use of ticks
// and that of all other events, in percent of a core. Each running request gets a
// token per second of virtual time; the TokensArrived events are not counted.
func idleCPU(r *hostHarness) (ticks, rest float64) {
	var t, o []float64
	for range rounds {
		r.reset()
		for range int(roundLength / time.Second) {
			r.run(time.Second)
			decodeTokens := r.total("TokensArrived")
			r.decodeTokens()
			r.spent["TokensArrived"] = decodeTokens
		}
		tick := r.total("Tick")
		t = append(t, cpuPercent(tick, roundLength))
		o = append(o, cpuPercent(r.total()-tick, roundLength))
	}
	return median(t), median(o)
}

// tickSeries measures the CPU use of a host without new requests: ticks,
// heartbeats, reads of the host list, renewed registrations of running requests.
func tickSeries() ([]series, error) {
	requests, err := sweep("of running requests", "running requests", []int{0, 100, 300, 1000}, func(*topology, int) {},
		func(r *hostHarness, n int) {
			for range n {
				r.startRequest()
			}
		})
	if err != nil {
		return nil, err
	}
	peers, err := sweep("of peers", "hosts per zone (of 9)", []int{10, 100, 311}, func(topo *topology, n int) { topo.hosts = n }, nil)
	if err != nil {
		return nil, err
	}
	accounts, err := sweep("of accounts", "accounts", []int{1000, 5000, 20_000}, func(topo *topology, n int) { topo.accounts = n }, nil)
	if err != nil {
		return nil, err
	}
	endpoints, err := sweep("of endpoints", "endpoints", []int{1000, 3000, 10_000}, func(topo *topology, n int) { topo.endpoints = n }, nil)
	if err != nil {
		return nil, err
	}
	return slices.Concat(requests, peers, accounts, endpoints), nil
}

// sweep measures the CPU use without new requests over the sizes of one quantity.
func sweep(quantity, unit string, sizes []int, set func(*topology, int), load func(*hostHarness, int)) ([]series, error) {
	ticks := series{name: "ticks, share " + quantity, mechanism: "core.tick", x: unit, y: "% of a core"}
	rest := series{name: "other events, share " + quantity, mechanism: "core.hostsListed, core.peerMessage", x: unit, y: "% of a core"}
	for _, n := range sizes {
		topo := targetTopology()
		set(&topo, n)
		r, err := newHostHarness(topo)
		if err != nil {
			return nil, err
		}
		if load != nil {
			load(r, n)
		}
		t, o := idleCPU(r)
		ticks.points = append(ticks.points, point{float64(n), t})
		rest.points = append(rest.points, point{float64(n), o})
	}
	return []series{ticks, rest}, nil
}

// requestSeries measures the wall time of requests by the number of their output
// tokens. The slope is the time per token, the intercept the time per request.
func requestSeries() ([]series, error) {
	const n = 2000
	r, err := newHostHarness(targetTopology())
	if err != nil {
		return nil, err
	}
	out := series{
		name: "time of a request at its entry host, by output tokens", mechanism: "core.requestArrived to core.finish, core.tokensArrived",
		x: "tokens", y: "us",
	}
	for _, tokens := range []int{1, 20, 100, 267} {
		var samples []float64
		for range rounds {
			r.reset()
			for range n / rounds {
				r.completeRequest(tokens)
			}
			samples = append(samples, float64(r.total().Nanoseconds())/1000/(n/rounds))
			r.run(100 * time.Millisecond)
		}
		out.points = append(out.points, point{float64(tokens), median(samples)})
	}
	tokenRequests, err := tokenRequestSeries()
	return []series{out, tokenRequests}, err
}

// tokenRequestSeries measures the wall time in which a share holder processes a
// TokenRequest of another host.
func tokenRequestSeries() (series, error) {
	const n = 5000
	out := series{name: "time of a TokenRequest at the share holder", mechanism: "limit.HandleRequest", x: "accounts", y: "us"}
	for _, accounts := range []int{1000, 5000, 20_000} {
		topo := targetTopology()
		topo.hosts, topo.accounts = 1, accounts
		r, err := newHostHarness(topo)
		if err != nil {
			return out, err
		}
		var samples []float64
		for range rounds {
			r.reset()
			for i := range n {
				r.receiveTokenRequest(i)
			}
			samples = append(samples, float64(r.total("TokenRequest").Nanoseconds())/1000/n)
			r.run(time.Second)
		}
		out.points = append(out.points, point{float64(accounts), median(samples)})
	}
	return out, nil
}

// completeRequest runs one request to its end with the given number of tokens.
func (r *hostHarness) completeRequest(tokens int) {
	r.startRequest()
	for _, req := range r.decoding {
		for i := range tokens {
			r.decodeToken(req, i == tokens-1)
		}
		delete(r.offset, req)
	}
	r.decoding = r.decoding[:0]
}

// receiveTokenRequest delivers a TokenRequest from a host of another zone.
func (r *hostHarness) receiveTokenRequest(n int) {
	r.process(core.PeerMessage{From: r.hosts[1+n%(r.topology.zones-1)].Host, Incarnation: 1, Message: message.TokenRequest{
		Request: id.Request("entry-1-000-" + strconv.Itoa(n)), Account: accountName(n % r.topology.accounts), Tokens: 5,
	}})
}
