package slopes

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// hostHarness runs the decision core of one host in virtual time and simulates its
// peers, endpoints and platform. Peers reply immediately and satisfy every request
// for tokens or slots.
type hostHarness struct {
	topology        topology
	state           *core.State
	now             time.Time
	hosts           []object.Host
	zones           map[id.Host]id.Zone
	snap            *table.Snapshot
	encodedManifest []byte                   // of snap
	queue           []core.Event             // events to process at the present virtual time
	delayed         []delayedEvent           // events to process at a later virtual time
	spent           map[string]time.Duration // wall time in core.Reduce, by type of event or message
	effects         map[string]int           // number of effects, by type
	sent            []message.Message        // if record is set
	received        []message.Message        // if record is set
	record          bool                     // whether to keep the messages in sent and received
	serial          int                      // number of requests started
	decoding        []id.Request             // requests in the decode stage
	offset          map[id.Request]int64     // offset of the next token, by request
}

type delayedEvent struct {
	at time.Time
	ev core.Event
}

// topology is the size of the simulated deployment.
type topology struct {
	zones, hosts int // hosts per zone
	accounts     int
	endpoints    int // in all zones together
	models       int
	records      int // finished requests whose records are kept; 0 selects the default
}

// targetTopology returns the target size, except for the number of accounts.
func targetTopology() topology {
	return topology{zones: 9, hosts: 311, accounts: 1000, endpoints: 10_000, models: 25}
}

func newHostHarness(topo topology) (*hostHarness, error) {
	snap := topo.table()
	manifest, segments, err := table.Split(snap, 1)
	if err != nil {
		return nil, err
	}
	r := &hostHarness{
		topology: topo, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), zones: map[id.Host]id.Zone{},
		snap: snap, encodedManifest: manifest, spent: map[string]time.Duration{}, effects: map[string]int{},
		offset: map[id.Request]int64{},
	}
	snap.Version = 1
	r.listHosts()
	cfg := core.DefaultConfig(r.hosts[0].Host, 1, r.hosts[0].Zone, topo.zoneNames())
	if topo.records > 0 {
		cfg.FinishedRecords = topo.records
	}
	r.state = core.New(cfg, r.now)
	r.process(core.TableOpened{Snapshot: snap, Manifest: manifest, Segments: segments})
	r.run(3 * time.Second)
	return r, nil
}

func (r *hostHarness) listHosts() {
	for z, zone := range r.topology.zoneNames() {
		for i := range r.topology.hosts {
			h := object.Host{
				Host: id.Host(fmt.Sprintf("entry-%d-%03d", z, i)), Zone: zone,
				Address: fmt.Sprintf("10.%d.%d.%d:7100", z, i/250, i%250+1),
			}
			r.hosts = append(r.hosts, h)
			r.zones[h.Host] = zone
		}
	}
}

// run advances virtual time by d, with a tick event at each tick interval.
func (r *hostHarness) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(core.DefaultTickInterval)
		r.runDue()
		r.process(core.Tick{})
	}
}

// runDue processes the delayed events that are due.
func (r *hostHarness) runDue() {
	var later []delayedEvent
	var due []core.Event
	for _, d := range r.delayed {
		if d.at.After(r.now) {
			later = append(later, d)
			continue
		}
		due = append(due, d.ev)
	}
	r.delayed = later
	for _, ev := range due {
		r.process(ev)
	}
}

// process passes an event to the core, and then all events that its effects cause.
func (r *hostHarness) process(ev core.Event) {
	r.queue = append(r.queue, ev)
	for len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		r.reduce(next)
	}
}

func (r *hostHarness) reduce(ev core.Event) {
	in := core.Input{Now: r.now, Wall: r.now, Seed: 1, Event: ev}
	start := time.Now()
	out := core.Reduce(r.state, in)
	r.spent[eventTypeName(ev)] += time.Since(start)
	for _, e := range out {
		r.handleEffect(e)
	}
}

// eventTypeName returns the type name of an event, or that of the message if the
// event is a message of a peer.
func eventTypeName(ev core.Event) string {
	if m, ok := ev.(core.PeerMessage); ok {
		return reflect.TypeOf(m.Message).Name()
	}
	return reflect.TypeOf(ev).Name()
}

func (r *hostHarness) handleEffect(e core.Effect) {
	r.effects[reflect.TypeOf(e).Name()]++
	switch e := e.(type) {
	case core.SendPeer:
		if r.record {
			r.sent = append(r.sent, e.Message)
		}
		r.replyAsPeer(e)
	case core.StartPrefill:
		r.queue = append(r.queue, core.PrefillDone{Request: e.Request, Attempt: e.Attempt, KV: "kv"})
	case core.StartDecode:
		r.decoding = append(r.decoding, e.Request)
		r.offset[e.Request] = 0
	case core.PollLoad:
		r.queue = append(r.queue, core.LoadReported{Report: schedule.Report{Endpoint: e.Endpoint, Slots: 20, FreeBlocks: 60}})
	default:
		r.handlePlatformEffect(e)
	}
}

// handlePlatformEffect simulates the replies of the platform, and those of
// endpoints to orders.
func (r *hostHarness) handlePlatformEffect(e core.Effect) {
	switch e := e.(type) {
	case core.ListHosts:
		r.queue = append(r.queue, core.HostsListed{Hosts: r.hosts})
	case core.ReadObject:
		r.readObject(e)
	case core.WriteObject:
		r.queue = append(r.queue, core.ObjectWritten{
			Kind: e.Kind, Name: e.Name, Version: e.IfVersion + 1, Outcome: object.WriteDone,
		})
	case core.SendOrder:
		r.queue = append(r.queue, core.OrderAnswered{Endpoint: e.Endpoint, Fence: e.Order.Fence, Done: true})
	}
}

// readObject simulates the read of an object. Objects other than the manifest do
// not exist. A watch of the manifest ends without a change after its wait time.
func (r *hostHarness) readObject(e core.ReadObject) {
	ev := core.ObjectRead{Kind: e.Kind, Name: e.Name, Sent: r.now}
	if e.Kind != object.KindManifest {
		r.queue = append(r.queue, ev)
		return
	}
	ev.Version, ev.Value = 1, r.encodedManifest
	if e.Wait == 0 {
		r.queue = append(r.queue, ev)
		return
	}
	ev.Unchanged = true
	r.delayed = append(r.delayed, delayedEvent{at: r.now.Add(e.Wait), ev: ev})
}

// replyAsPeer processes a message as its receiver would and queues the reply.
func (r *hostHarness) replyAsPeer(e core.SendPeer) {
	var m message.Message
	switch q := e.Message.(type) {
	case message.Heartbeat:
		m = message.Heartbeat{Zone: r.zones[e.To], TableVersion: q.TableVersion, ConfirmedAge: time.Second}
	case message.TokenRequest:
		m = message.TokenTransfer{
			Request: q.Request, Account: q.Account, Tokens: q.Tokens, Charge: 0x8f3a5c7700000000 + uint64(r.serial),
			Valid: 150 * time.Millisecond,
		}
	case message.SlotRequest:
		m = message.SlotGrant{
			Request: q.Request, Attempt: q.Attempt, Prefill: r.findEndpoint(q.Model, r.zones[e.To], table.RolePrefill),
			Decode: r.findEndpoint(q.Model, r.zones[e.To], table.RoleDecode), Valid: 500 * time.Millisecond,
			Wait: 3 * time.Millisecond,
		}
	default:
		return
	}
	if r.record {
		r.received = append(r.received, m)
	}
	r.queue = append(r.queue, core.PeerMessage{From: e.To, Incarnation: 1, Message: m})
}

// findEndpoint returns an endpoint of the model and role in the zone, or "".
func (r *hostHarness) findEndpoint(m id.Model, z id.Zone, role table.Role) id.Endpoint {
	for _, ep := range table.ModelEndpoints(r.snap, m, z) {
		if r.snap.Pools[ep.Pool].Role == role {
			return ep.Name
		}
	}
	return ""
}

// startRequest sends a request to the host. The simulated endpoints bring it to
// the decode stage.
func (r *hostHarness) startRequest() {
	r.serial++
	n := r.serial % r.topology.accounts
	r.process(core.RequestArrived{
		Request: id.Request(fmt.Sprintf("%s-%s-%x", r.hosts[0].Host, strconv.FormatUint(uint64(incarnation), 36), r.serial)),
		Route:   r.topology.route(n), Account: accountName(n), Key: id.KeyID(accountName(n)),
		PromptTokens: 200, MaxTokens: 300, Prefix: 0x9e3779b97f4a7c15 * uint64(r.serial),
	})
}

// decodeToken simulates the decoding of one token of a request. If end is set, the
// request ends with this token.
func (r *hostHarness) decodeToken(req id.Request, end bool) {
	at := r.offset[req]
	r.offset[req]++
	r.process(core.TokensArrived{Request: req, Attempt: 1, Offset: at, Tokens: []string{"token"}, End: end, Finish: "stop"})
}

// decodeTokens simulates the decoding of one token of each request in the decode
// stage.
func (r *hostHarness) decodeTokens() {
	for _, req := range r.decoding {
		r.decodeToken(req, false)
	}
}

// total returns the wall time spent on all events, or on those with the given type
// names.
func (r *hostHarness) total(kinds ...string) time.Duration {
	var sum time.Duration
	if len(kinds) == 0 {
		for _, d := range r.spent {
			sum += d
		}
	}
	for _, k := range kinds {
		sum += r.spent[k]
	}
	return sum
}

// reset clears the recorded times, effects and messages.
func (r *hostHarness) reset() {
	clear(r.spent)
	clear(r.effects)
	r.sent, r.received = nil, nil
}
