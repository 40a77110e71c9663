package order_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/order"
	"ragwortshunt.example/fleet/table"
)

type host struct {
	cfg              order.Config
	state            *order.State
	leader           bool
	pausedUntil      time.Time // no event before this time
	unreachableUntil time.Time // the platform refuses all calls before this time
	offset           time.Duration
	rate             float64
	era              uint64 // highest era of the platform in an answer
	restoredEra      uint64 // era after the last restore that the process has seen
}

// endpoint is one simulated engine.
type endpoint struct {
	desired order.DesiredState
	applied engine.Order // last order of kind load
	fence   uint64
	count   int
}

// event is a callback that is due at a time, on a host or outside of the hosts.
type event struct {
	at  time.Time
	h   *host // nil for the platform and the network
	run func()
}

// simulation is two hosts, a platform and endpoints.
type simulation struct {
	tb        rapid.TB
	rng       *rand.Rand
	now       time.Time
	hosts     []*host
	events    []event
	era       uint64
	version   uint64
	value     []byte
	endpoints map[id.Endpoint]*endpoint
	holders   map[uint64]string      // by fencing token
	lastFence map[id.Endpoint]uint64 // fencing token of the last order
	lost      int                    // percent of replies and orders that are lost
	restarts  int                    // percent of steps in which an endpoint restarts
	pauses    int                    // per mille of steps in which a host is paused
	maxDelay  time.Duration
}

func newSimulation(tb rapid.TB, seed uint64) *simulation {
	sim := &simulation{
		tb: tb, rng: rand.New(rand.NewPCG(seed, 1)), now: start, maxDelay: step,
		endpoints: map[id.Endpoint]*endpoint{}, holders: map[uint64]string{}, lastFence: map[id.Endpoint]uint64{},
	}
	for i, f := range []table.Fencing{table.FencingChecked, table.FencingIgnored} {
		e := id.Endpoint(fmt.Sprintf("e%d", i))
		desired := order.DesiredState{Endpoint: e, Role: table.RoleDecode, Model: "m", Version: "1", Fencing: f}
		sim.endpoints[e] = &endpoint{desired: desired}
	}
	for i := range 2 {
		cfg := order.DefaultConfig()
		cfg.Host, cfg.Zone = id.Host(fmt.Sprintf("host-%d", i)), "z"
		h := &host{cfg: cfg, leader: true, offset: time.Duration(sim.rng.IntN(1000)) * time.Hour, rate: 0.98 + 0.04*sim.rng.Float64()}
		sim.hosts = append(sim.hosts, h)
		sim.restart(h)
	}
	return sim
}

func (sim *simulation) restart(h *host) {
	h.cfg.Incarnation++
	h.state = order.New(h.cfg)
	h.pausedUntil = sim.now
	h.era, h.restoredEra = 0, 0
}

// restoreFrom brings the platform back from a copy of its contents.
func (sim *simulation) restoreFrom(version uint64, value []byte) {
	sim.era++
	sim.version, sim.value = version, value
}

// answer handles an answer of the platform as the core does: the era first, and no results of
// calls that were made before a restore was seen.
func (sim *simulation) answer(h *host, sentEra, era uint64, handle func()) {
	if era > h.era {
		if h.era != 0 {
			h.restoredEra = era
		}
		h.era = era
		order.SetEra(h.state, sim.clock(h), era)
	}
	if sentEra >= h.restoredEra {
		handle()
	}
}

// clock returns the time on the clock of a host.
func (sim *simulation) clock(h *host) time.Time {
	return start.Add(h.offset + time.Duration(float64(sim.now.Sub(start))*h.rate))
}

func (sim *simulation) delay(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit) + 1))
}

func (sim *simulation) chance(percent int) bool { return sim.rng.IntN(100) < percent }

// at schedules a callback. A callback of a host is dropped if the process has
// been replaced by then, and waits while the host is paused.
func (sim *simulation) at(d time.Duration, h *host, run func()) {
	if h == nil {
		sim.events = append(sim.events, event{at: sim.now.Add(d), run: run})
		return
	}
	sim.events = append(sim.events, event{at: sim.now.Add(d), h: h, run: sim.ifCurrent(h, run)})
}

// ifCurrent returns a function that calls run, unless the present process of h has
// been replaced by then.
func (sim *simulation) ifCurrent(h *host, run func()) func() {
	state := h.state
	return func() {
		if h.state == state {
			run()
		}
	}
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(step) {
		for _, h := range sim.hosts {
			if sim.now.Before(h.pausedUntil) {
				continue
			}
			sim.perform(h, order.Tick(h.state, sim.clock(h)))
			if sim.chance(sim.restarts) {
				sim.perform(h, order.HandleRestart(h.state, sim.clock(h), "e1"))
			}
			if sim.rng.IntN(1000) < sim.pauses {
				h.pausedUntil = sim.now.Add(sim.delay(25 * time.Second))
			}
		}
		due := sim.events
		sim.events = nil
		sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
		for _, e := range due {
			if e.at.After(sim.now) || e.h != nil && sim.now.Before(e.h.pausedUntil) {
				sim.events = append(sim.events, e)
				continue
			}
			e.run()
		}
	}
}

func (sim *simulation) perform(h *host, actions []order.Action) {
	assert.NilError(sim.tb, order.Check(h.state))
	for _, a := range actions {
		switch a := a.(type) {
		case order.Read:
			sim.read(h)
		case order.Write:
			sim.write(h, a)
		case order.SendOrder:
			sim.lastFence[a.Endpoint] = a.Order.Fence
			left := a.NotAfter.Sub(sim.clock(h))
			assert.Assert(sim.tb, left > 0 && left <= h.cfg.Lease-h.cfg.Margin, "%s left of the lease", left)
			// The process can be paused between deciding to send and sending.
			sim.at(sim.delay(step), h, func() { sim.dispatch(h, a) })
		}
	}
}

func (sim *simulation) read(h *host) {
	r := object.ReadResult{Name: "z", Failed: sim.chance(sim.lost) || sim.now.Before(h.unreachableUntil)}
	sentEra, era := h.era, uint64(0)
	handle := sim.ifCurrent(h, func() {
		sim.answer(h, sentEra, era, func() { sim.perform(h, order.HandleRead(h.state, sim.clock(h), r)) })
	})
	sim.at(sim.delay(sim.maxDelay), nil, func() {
		r.Version, r.Value = sim.version, sim.value
		if !r.Failed {
			era = sim.era
		}
		sim.at(sim.delay(sim.maxDelay), h, handle)
	})
}

func (sim *simulation) write(h *host, a order.Write) {
	r := object.WriteResult{Name: "z"}
	sentEra, era := h.era, uint64(0)
	handle := sim.ifCurrent(h, func() {
		sim.answer(h, sentEra, era, func() { sim.perform(h, order.HandleWrite(h.state, sim.clock(h), r)) })
	})
	reply := func(out object.WriteOutcome, version uint64) {
		r.Outcome, r.Version = out, version
		sim.at(sim.delay(sim.maxDelay), h, handle)
	}
	if sim.now.Before(h.unreachableUntil) {
		reply(object.WriteFailed, 0)
		return
	}
	lost, falseConflict := sim.chance(sim.lost), sim.chance(sim.lost)
	if lost {
		reply(object.WriteUnknown, 0)
	}
	sim.at(sim.delay(sim.maxDelay), nil, func() {
		done := a.IfVersion == sim.version
		if done {
			sim.version, sim.value = sim.version+1, a.Value
		}
		if !lost {
			era = sim.era
		}
		switch {
		case lost:
		case done && !falseConflict:
			reply(object.WriteDone, sim.version)
		default:
			reply(object.WriteConflict, 0)
		}
	})
}

// dispatch sends an order as the caller of the package does: never after its
// NotAfter.
func (sim *simulation) dispatch(h *host, a order.SendOrder) {
	r := order.Result{Endpoint: a.Endpoint, Fence: a.Order.Fence}
	if sim.clock(h).After(a.NotAfter) || sim.chance(sim.lost) {
		sim.at(h.cfg.MaxDeliveryDelay, h, func() { sim.perform(h, order.HandleResult(h.state, sim.clock(h), r)) })
		return
	}
	name := fmt.Sprintf("%s/%d", h.cfg.Host, h.cfg.Incarnation)
	old, known := sim.holders[a.Order.Fence]
	assert.Assert(sim.tb, !known || old == name, "fence %d of %s and %s", a.Order.Fence, old, name)
	sim.holders[a.Order.Fence] = name
	// The clocks' rates differ by up to 2%, which the new holder's wait must cover.
	flight := sim.delay(h.cfg.MaxDeliveryDelay * 9 / 10)
	sim.at(flight, nil, func() { sim.apply(a, &r) })
	sim.at(flight+sim.delay(step), h, func() { sim.perform(h, order.HandleResult(h.state, sim.clock(h), r)) })
}

// apply makes an endpoint carry out an order. No endpoint may apply an order with a
// lower fencing token after one with a higher token.
func (sim *simulation) apply(a order.SendOrder, r *order.Result) {
	e := sim.endpoints[a.Endpoint]
	if e.desired.Fencing == table.FencingChecked && a.Order.Fence < e.fence {
		r.Stale = true
		return
	}
	assert.Assert(sim.tb, a.Order.Fence >= e.fence, "%s applies fence %d after %d", a.Endpoint, a.Order.Fence, e.fence)
	e.fence = a.Order.Fence
	r.Done = true
	e.count++
	if a.Order.Kind == "load" {
		e.applied = a.Order
	}
}

func (sim *simulation) setDesiredStates(h *host) {
	var desiredStates []order.DesiredState
	for _, name := range []id.Endpoint{"e0", "e1"} {
		desiredStates = append(desiredStates, sim.endpoints[name].desired)
	}
	sim.perform(h, order.SetDesiredStates(h.state, sim.clock(h), desiredStates, h.leader))
}
