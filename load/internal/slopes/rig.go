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

// rig is the decision core of one host with stand-ins for everything around it,
// on virtual time. Peers answer at once, with tokens and grants for every ask.
type rig struct {
	shape   shape
	state   *core.State
	now     time.Time
	hosts   []object.Host
	zones   map[id.Host]id.Zone
	snap    *table.Snapshot
	stored  []byte // manifest
	queue   []core.Event
	delayed []delayedEvent
	spent   map[string]time.Duration // in Reduce, by event
	effects map[string]int           // by type
	sent    []message.Message        // if record is set
	got     []message.Message        // if record is set
	record  bool
	serial  int
	open    []id.Request // requests in decode
	offset  map[id.Request]int64
}

type delayedEvent struct {
	at time.Time
	ev core.Event
}

// shape is the size of the deployment around the host.
type shape struct {
	zones, hosts int // hosts per zone
	accounts     int
	endpoints    int // over all zones
	models       int
	records      int // finished requests kept; 0 is the default
}

// targetShape is the target size, but for the number of accounts.
func targetShape() shape {
	return shape{zones: 9, hosts: 311, accounts: 1000, endpoints: 10_000, models: 25}
}

func newRig(sh shape) (*rig, error) {
	snap := sh.table()
	manifest, segments, err := table.Split(snap, 1)
	if err != nil {
		return nil, err
	}
	r := &rig{
		shape: sh, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), zones: map[id.Host]id.Zone{},
		snap: snap, stored: manifest, spent: map[string]time.Duration{}, effects: map[string]int{},
		offset: map[id.Request]int64{},
	}
	snap.Version = 1
	r.listHosts()
	cfg := core.DefaultConfig(r.hosts[0].Host, 1, r.hosts[0].Zone, sh.zoneNames())
	if sh.records > 0 {
		cfg.FinishedRecords = sh.records
	}
	r.state = core.New(cfg, r.now)
	r.post(core.TableOpened{Snapshot: snap, Manifest: manifest, Segments: segments})
	r.run(3 * time.Second)
	return r, nil
}

func (r *rig) listHosts() {
	for z, zone := range r.shape.zoneNames() {
		for i := range r.shape.hosts {
			h := object.Host{
				Host: id.Host(fmt.Sprintf("entry-%d-%03d", z, i)), Zone: zone,
				Address: fmt.Sprintf("10.%d.%d.%d:7100", z, i/250, i%250+1),
			}
			r.hosts = append(r.hosts, h)
			r.zones[h.Host] = zone
		}
	}
}

// run passes virtual time with a tick at each tick interval.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(core.TickInterval)
		r.release()
		r.post(core.Tick{})
	}
}

// release posts the delayed events that are due.
func (r *rig) release() {
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
		r.post(ev)
	}
}

// post reduces an event and all events that its effects cause.
func (r *rig) post(ev core.Event) {
	r.queue = append(r.queue, ev)
	for len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		r.reduce(next)
	}
}

func (r *rig) reduce(ev core.Event) {
	in := core.Input{Now: r.now, Wall: r.now, Seed: 1, Event: ev}
	start := time.Now()
	out := core.Reduce(r.state, in)
	r.spent[kindOf(ev)] += time.Since(start)
	for _, e := range out {
		r.effect(e)
	}
}

// kindOf returns the type of an event, with that of the message it carries.
func kindOf(ev core.Event) string {
	if m, ok := ev.(core.PeerMessage); ok {
		return reflect.TypeOf(m.Message).Name()
	}
	return reflect.TypeOf(ev).Name()
}

func (r *rig) effect(e core.Effect) {
	r.effects[reflect.TypeOf(e).Name()]++
	switch e := e.(type) {
	case core.SendPeer:
		if r.record {
			r.sent = append(r.sent, e.Message)
		}
		r.answer(e)
	case core.StartPrefill:
		r.queue = append(r.queue, core.PrefillDone{Request: e.Request, Attempt: e.Attempt, KV: "kv"})
	case core.StartDecode:
		r.open = append(r.open, e.Request)
		r.offset[e.Request] = 0
	case core.PollLoad:
		r.queue = append(r.queue, core.LoadReported{Report: schedule.Report{Endpoint: e.Endpoint, Slots: 20, FreeBlocks: 60}})
	default:
		r.platform(e)
	}
}

// platform answers the calls to the platform and orders to endpoints.
func (r *rig) platform(e core.Effect) {
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

func (r *rig) readObject(e core.ReadObject) {
	ev := core.ObjectRead{Kind: e.Kind, Name: e.Name, Sent: r.now}
	if e.Kind != object.KindManifest {
		r.queue = append(r.queue, ev)
		return
	}
	ev.Version, ev.Value = 1, r.stored
	if e.Wait == 0 {
		r.queue = append(r.queue, ev)
		return
	}
	ev.Unchanged = true
	r.delayed = append(r.delayed, delayedEvent{at: r.now.Add(e.Wait), ev: ev})
}

// answer is what a peer does with a message.
func (r *rig) answer(e core.SendPeer) {
	var m message.Message
	switch q := e.Message.(type) {
	case message.Heartbeat:
		m = message.Heartbeat{Zone: r.zones[e.To], TableVersion: q.TableVersion, ConfirmedAge: time.Second}
	case message.TokenAsk:
		m = message.TokenGive{
			Request: q.Request, Account: q.Account, Tokens: q.Tokens, Charge: 0x8f3a5c7700000000 + uint64(r.serial),
			Valid: 150 * time.Millisecond,
		}
	case message.SlotAsk:
		m = message.SlotGrant{
			Request: q.Request, Attempt: q.Attempt, Prefill: r.endpoint(q.Model, r.zones[e.To], table.RolePrefill),
			Decode: r.endpoint(q.Model, r.zones[e.To], table.RoleDecode), Valid: 500 * time.Millisecond,
			Wait: 3 * time.Millisecond,
		}
	default:
		return
	}
	if r.record {
		r.got = append(r.got, m)
	}
	r.queue = append(r.queue, core.PeerMessage{From: e.To, Incarnation: 1, Message: m})
}

func (r *rig) endpoint(m id.Model, z id.Zone, role table.Role) id.Endpoint {
	for _, ep := range table.ModelEndpoints(r.snap, m, z) {
		if r.snap.Pools[ep.Pool].Role == role {
			return ep.Name
		}
	}
	return ""
}

// start sends a request and brings it to the decode stage.
func (r *rig) start() {
	r.serial++
	n := r.serial % r.shape.accounts
	r.post(core.RequestArrived{
		Request: id.Request(fmt.Sprintf("%s-%s-%x", r.hosts[0].Host, strconv.FormatUint(uint64(incarnation), 36), r.serial)),
		Route:   r.shape.route(n), Account: accountName(n), Key: id.KeyID(accountName(n)),
		PromptTokens: 200, MaxTokens: 300, Prefix: 0x9e3779b97f4a7c15 * uint64(r.serial),
	})
}

// token delivers one token to a request.
func (r *rig) token(req id.Request, end bool) {
	at := r.offset[req]
	r.offset[req]++
	r.post(core.TokensArrived{Request: req, Attempt: 1, Offset: at, Tokens: []string{"token"}, End: end, Finish: "stop"})
}

// tokens delivers one token to each request in decode.
func (r *rig) tokens() {
	for _, req := range r.open {
		r.token(req, false)
	}
}

// total returns the time spent in all events, or in those of the given kinds.
func (r *rig) total(kinds ...string) time.Duration {
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

func (r *rig) reset() {
	clear(r.spent)
	clear(r.effects)
	r.sent, r.got = nil, nil
}
