package core_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
)

// The load of a relayFleet. The rates are requests per second.
const (
	relayHosts      = 5
	relayEngines    = 8
	soundRate       = 20
	crashingRate    = 3
	crashingSegment = id.Segment(0xbad)
	sharedSegment   = id.Segment(0xa)

	callTime        = 20 * time.Millisecond
	prefillTime     = 60 * time.Millisecond
	firstEventTime  = 20 * time.Millisecond
	eventTime       = 20 * time.Millisecond
	eventsPerAnswer = 40
	engineRestart   = 3 * time.Second
	// contactTime is the time within which the platform expects hosts to know of a crash.
	contactTime = 3 * time.Second
	// maxSpared is the number of deaths after which contactTime begins, and maxAfter the
	// number of requests that may reach an engine after it.
	maxSpared = 5
	maxAfter  = 3
)

// relayAZs are the availability zones of the engines, in turn.
var relayAZs = []id.Zone{"az-a", "az-b", "az-c"}

// relayFleet is a group of hosts in relay mode with simulated engines, which end when they
// begin to answer a request with crashingSegment. Messages arrive without delay.
type relayFleet struct {
	t             *testing.T
	rng           *rand.Rand
	now           time.Time
	hosts         map[id.Host]*core.State
	incarnations  map[id.Host]id.Incarnation
	names         []id.Host
	cutOff        map[id.Host]bool // exchange no messages with other hosts and get no calls
	leaving       map[id.Host]bool // get no calls
	list          []object.Host
	version       uint64
	engines       map[id.Endpoint]string // live engines with their addresses
	azs           map[string]id.Zone     // by address
	prefills      int                    // prefill engines
	editTable     func(*table.Snapshot)
	noEvacuations bool            // the settings of hosts that start say that zones are never evacuated
	sides         map[id.Host]int // hosts of different sides exchange no messages
	truncated     bool            // the hosts don't know all segments of crashing prompts
	running       map[id.Endpoint]map[id.Request]decodeRun
	pending       []pendingCall
	sent          int
	restart       time.Duration // after which an engine that has ended is back

	deaths  []time.Time
	reached []time.Time              // calls with crashingSegment that reached an engine
	begun   map[id.Request]time.Time // start of the answers to sound requests
	refused map[string]int           // by code
	sentAt  map[id.Request]time.Time // sound requests
	served  map[id.Request]bool      // calls

	limits   map[id.Endpoint]float64   // requests per second that endpoints name in their answers
	arrivals map[id.Endpoint][]arrival // calls, prefills and decodes
	told     map[toldLimit]time.Time   // first answer with a limit that a host has received
	limited  map[toldLimit]bool        // the last answer that a host has received names a limit

	options
}

// arrival is a request that has reached an endpoint.
type arrival struct {
	at   time.Time
	told bool // the host had received an answer with a limit limitKnown before
}

type toldLimit struct {
	host     id.Host
	endpoint id.Endpoint
}

type decodeRun struct {
	host    id.Host
	attempt id.Attempt
	events  int64
}

type pendingCall struct {
	at time.Time
	do func()
}

func newRelayFleet(t *testing.T) *relayFleet { return newRelayFleetOf(t, relayHosts) }

func newRelayFleetOf(t *testing.T, hosts int) *relayFleet {
	return newRelayFleetWith(t, hosts, options{})
}

func newRelayFleetWith(t *testing.T, hosts int, opts options) *relayFleet {
	f := &relayFleet{
		options: opts,
		t:       t, rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1, 0), version: 1,
		hosts: make(map[id.Host]*core.State), incarnations: make(map[id.Host]id.Incarnation), engines: make(map[id.Endpoint]string),
		running: make(map[id.Endpoint]map[id.Request]decodeRun),
		begun:   make(map[id.Request]time.Time), refused: make(map[string]int), sentAt: make(map[id.Request]time.Time),
		served: make(map[id.Request]bool), limits: make(map[id.Endpoint]float64), arrivals: make(map[id.Endpoint][]arrival),
		told: make(map[toldLimit]time.Time), limited: make(map[toldLimit]bool),
		cutOff: make(map[id.Host]bool), leaving: make(map[id.Host]bool), restart: engineRestart, azs: make(map[string]id.Zone), prefills: 1,
		sides: make(map[id.Host]int), editTable: func(*table.Snapshot) {},
	}
	for i := range hosts {
		name := id.Host(fmt.Sprintf("h%d", i))
		f.names = append(f.names, name)
		f.list = append(f.list, object.Host{Host: name, Zone: relayDomain, Address: fmt.Sprintf("127.0.0.1:%d", i+1)})
	}
	for i := range relayEngines {
		address := fmt.Sprintf("10.0.1.%d:1", i)
		f.engines[id.Endpoint(fmt.Sprintf("d%d", i))] = address
		f.azs[address] = relayAZs[i%len(relayAZs)]
	}
	for _, name := range f.names {
		f.startHost(name, 1)
	}
	f.advance(4*time.Second, 0, nil)
	return f
}

func (f *relayFleet) startHost(name id.Host, inc id.Incarnation) {
	f.incarnations[name] = inc
	cfg := core.DefaultConfig(name, inc, relayDomain, []id.Zone{relayDomain})
	cfg.Relay, cfg.SlowStart, cfg.LoadInterval = true, !f.noEvacuations, 0
	cfg.Throttle.Cold = coldBound
	if f.configure != nil {
		f.configure(name, &cfg)
	}
	f.hosts[name] = core.New(cfg, f.now)
	f.reduce(name, core.HostsListed{Hosts: f.list})
	f.reduce(name, core.TableOpened{Snapshot: f.table()})
}

// endHost ends a host. Its calls go on, and their answers are lost.
func (f *relayFleet) endHost(name id.Host) {
	delete(f.hosts, name)
	f.forgetTold(name)
}

// cut separates a host from the other hosts and from callers, but not from endpoints.
func (f *relayFleet) cut(name id.Host) {
	f.cutOff[name] = true
	f.forgetTold(name)
}

// forgetTold excuses a host from limits until it is told of them again.
func (f *relayFleet) forgetTold(name id.Host) {
	maps.DeleteFunc(f.told, func(key toldLimit, _ time.Time) bool { return key.host == name })
}

// usable returns the hosts that callers reach.
func (f *relayFleet) usable() []id.Host {
	return slices.DeleteFunc(slices.Clone(f.names), func(name id.Host) bool {
		return f.hosts[name] == nil || f.cutOff[name] || f.leaving[name]
	})
}

func (f *relayFleet) after(d time.Duration, do func()) {
	f.pending = append(f.pending, pendingCall{f.now.Add(d), do})
}

// reduce handles an event on a host, delivers its messages and starts its calls. A host that
// has ended ignores it.
func (f *relayFleet) reduce(name id.Host, ev core.Event) {
	if f.hosts[name] == nil {
		return
	}
	for _, e := range core.Reduce(f.hosts[name], core.Input{Now: f.now, Wall: f.now, Event: ev}) {
		if f.observe != nil {
			f.observe(name, e)
		}
		switch e := e.(type) {
		case core.SendPeer:
			if f.cutOff[name] || f.cutOff[e.To] || f.sides[name] != f.sides[e.To] ||
				f.separated != nil && f.separated(name, e.To) {
				continue
			}
			f.reduce(e.To, core.PeerMessage{From: name, Incarnation: f.incarnations[name], Message: e.Message})
		case core.StartPrefill:
			f.prefill(name, e)
		case core.StartDecode:
			f.decode(name, e)
		case core.CallService:
			f.call(name, e)
		case core.CancelRun:
			delete(f.running[e.Endpoint], e.Request)
		case core.PublishQuarantine:
			f.publishQuarantine(name, e)
		case core.Refuse:
			f.refused[e.Code]++
		case core.Stopped:
			f.endHost(name)
		}
	}
	if f.hosts[name] != nil {
		assert.NilError(f.t, core.Check(f.hosts[name]))
	}
}

// publishQuarantine enters what a host has published in the host list.
func (f *relayFleet) publishQuarantine(name id.Host, e core.PublishQuarantine) {
	for i := range f.list {
		if f.list[i].Host == name {
			f.list[i].Quarantine = e.Entries
		}
	}
}

// call answers a call to a service after callTime.
func (f *relayFleet) call(host id.Host, e core.CallService) {
	if f.serve != nil {
		f.serve(host, e)
		return
	}
	f.arrive(host, e.Endpoint)
	f.after(callTime, func() {
		f.served[e.Request] = true
		f.reduce(host, core.ServiceDone{Request: e.Request, Attempt: e.Attempt, Status: 200})
	})
}

// arrive records a request that reaches an endpoint. The head of the answer names the limit
// that the endpoint has by then.
func (f *relayFleet) arrive(host id.Host, ep id.Endpoint) {
	key := toldLimit{host: host, endpoint: ep}
	at, told := f.told[key]
	f.arrivals[ep] = append(f.arrivals[ep], arrival{at: f.now, told: told && f.now.Sub(at) >= limitKnown})
	inc := f.incarnations[host]
	f.after(callTime, func() {
		limit, ok := f.limits[ep]
		if f.hosts[host] == nil || f.incarnations[host] != inc || !ok && !f.limited[key] {
			return
		}
		if _, told := f.told[key]; ok && !told && !f.cutOff[host] {
			f.told[key] = f.now
		}
		f.limited[key] = ok
		f.reduce(host, core.EndpointLimited{Endpoint: ep, Limited: ok, PerSecond: limit})
	})
}

func isCrashing(req id.Request) bool { return strings.HasPrefix(string(req), "crash") }

func (f *relayFleet) prefill(host id.Host, e core.StartPrefill) {
	if _, ok := f.engines[e.Decode]; !ok {
		f.after(time.Millisecond, func() {
			f.reduce(host, core.RunFailed{
				Request: e.Request, Attempt: e.Attempt, Endpoint: e.Decode, Code: "unreachable", NotRun: true, Unreachable: true,
			})
		})
		return
	}
	if isCrashing(e.Request) {
		f.reached = append(f.reached, f.now)
	}
	f.arrive(host, e.Endpoint)
	f.after(prefillTime, func() {
		f.reduce(host, core.PrefillDone{Request: e.Request, Attempt: e.Attempt, KV: "kv"})
	})
}

func (f *relayFleet) decode(host id.Host, e core.StartDecode) {
	if _, ok := f.engines[e.Endpoint]; !ok {
		f.after(time.Millisecond, func() {
			f.reduce(host, core.RunFailed{
				Request: e.Request, Attempt: e.Attempt, Endpoint: e.Endpoint, Code: "unreachable", NotRun: true, Unreachable: true,
			})
		})
		return
	}
	f.arrive(host, e.Endpoint)
	if f.running[e.Endpoint] == nil {
		f.running[e.Endpoint] = make(map[id.Request]decodeRun)
	}
	f.running[e.Endpoint][e.Request] = decodeRun{host: host, attempt: e.Attempt, events: e.From}
	f.after(firstEventTime, func() { f.nextEvent(e) })
}

// nextEvent sends the next event of a run, or ends its engine.
func (f *relayFleet) nextEvent(e core.StartDecode) {
	r, ok := f.running[e.Endpoint][e.Request]
	if !ok || r.attempt != e.Attempt {
		return
	}
	if isCrashing(e.Request) {
		f.endEngine(e.Endpoint)
		return
	}
	if _, ok := f.begun[e.Request]; !ok {
		f.begun[e.Request] = f.now
	}
	last := r.events+1 == eventsPerAnswer
	f.reduce(r.host, core.TokensArrived{
		Request: e.Request, Attempt: e.Attempt, Offset: r.events, Tokens: []string{"x"}, End: last,
	})
	r.events++
	if last {
		delete(f.running[e.Endpoint], e.Request)
		return
	}
	f.running[e.Endpoint][e.Request] = r
	f.after(eventTime, func() { f.nextEvent(e) })
}

// endEngine breaks off the runs of an engine. It starts again as another instance.
func (f *relayFleet) endEngine(ep id.Endpoint) {
	address, runs := f.engines[ep], f.running[ep]
	f.deaths = append(f.deaths, f.now)
	delete(f.engines, ep)
	delete(f.running, ep)
	for req, r := range runs {
		f.reduce(r.host, core.RunFailed{Request: req, Attempt: r.attempt, Endpoint: ep, Code: "connection-broken"})
	}
	f.after(f.restart, func() {
		f.engines[id.Endpoint(fmt.Sprintf("d%d-%d", len(f.deaths), f.version))] = address
		f.publishTable()
	})
}

// advance advances the clock. Sound requests arrive with soundRate and others with
// crashing, at any host.
func (f *relayFleet) advance(d time.Duration, crashing float64, segments func(crashing bool) []id.Segment) {
	const tick = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		f.runPending()
		for _, name := range f.names {
			f.reduce(name, core.Tick{})
		}
		if segments == nil {
			continue
		}
		if f.rng.Float64() < soundRate*tick.Seconds() {
			f.sendRequest("sound", segments(false))
		}
		if f.rng.Float64() < crashing*tick.Seconds() {
			f.sendRequest("crash", segments(true))
		}
	}
}

func (f *relayFleet) runPending() {
	due := f.pending
	f.pending = nil
	for _, p := range due {
		if p.at.After(f.now) {
			f.pending = append(f.pending, p)
			continue
		}
		p.do()
	}
}

func (f *relayFleet) sendRequest(kind string, segments []id.Segment) {
	f.sent++
	req := id.Request(fmt.Sprintf("%s-%d", kind, f.sent))
	if kind == "sound" {
		f.sentAt[req] = f.now
	}
	f.reduce(f.names[f.rng.IntN(len(f.names))], core.RequestArrived{
		Request: req, Route: "once", Account: "a", Key: "k", PromptTokens: 1000, MaxTokens: 500,
		Segments: segments, SegmentsTruncated: f.truncated && kind == "crash", Timeout: relayTimeout,
	})
}

// liveEngines returns the live engines in random order.
func (f *relayFleet) liveEngines() []id.Endpoint {
	out := slices.Sorted(maps.Keys(f.engines))
	f.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
