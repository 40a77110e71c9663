package claim_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

type faults struct {
	drop, duplicate, lostReply, falseConflict, refuse int
	maxDelay                                          time.Duration
}

// event is a callback that is due at a time.
type event struct {
	at  time.Time
	run func()
}

// stored is one object of the simulated platform.
type stored struct {
	version uint64
	value   []byte
}

// run is one dispatch of a request.
type run struct {
	nonce, digest string
	done, notRun  bool
}

// host is one simulated router process.
type host struct {
	name    id.Host
	state   *claim.State
	results map[id.Request]claim.Result
	claims  map[id.Request]message.Claim
}

// simulation is a set of hosts with a simulated platform and network.
type simulation struct {
	tb      rapid.TB
	rng     *rand.Rand
	now     time.Time
	cfg     claim.Config
	faults  faults
	hosts   []*host
	events  []event
	objects map[string]stored
	runs    map[string][]*run // by idempotency key
	nextID  int
	writes  int
}

func newSimulation(tb rapid.TB, hosts int, seed uint64) *simulation {
	sim := &simulation{
		tb: tb, rng: rand.New(rand.NewPCG(seed, 1)), now: start, cfg: claim.DefaultConfig(),
		objects: map[string]stored{}, runs: map[string][]*run{},
	}
	sim.faults.maxDelay = step
	for i := range hosts {
		sim.hosts = append(sim.hosts, &host{name: id.Host(fmt.Sprintf("host-%d", i))})
		sim.restart(sim.hosts[i])
	}
	return sim
}

// restart replaces the process of a host; the state of the old process is lost.
func (sim *simulation) restart(h *host) {
	cfg := sim.cfg
	cfg.Host = h.name
	*h = host{name: h.name, state: claim.New(cfg), results: map[id.Request]claim.Result{}, claims: map[id.Request]message.Claim{}}
}

func (sim *simulation) chance(percent int) bool { return sim.rng.IntN(100) < percent }

func (sim *simulation) delay() time.Duration {
	return time.Duration(sim.rng.Int64N(int64(sim.faults.maxDelay) + 1))
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.events = append(sim.events, event{at: sim.now.Add(d), run: run})
}

// run advances the clock step by step.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(step) {
		for _, h := range sim.hosts {
			sim.perform(h, claim.Tick(h.state, sim.now))
		}
		due := sim.events
		sim.events = nil
		sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
		for _, e := range due {
			if e.at.After(sim.now) {
				sim.events = append(sim.events, e)
				continue
			}
			e.run()
		}
	}
}

// schedule runs handle on the current process of h after a delay, unless the
// process has been restarted by then.
func (sim *simulation) schedule(h *host, d time.Duration, handle func() []claim.Action) {
	sim.after(d, sim.ifCurrent(h, handle))
}

// ifCurrent returns a function that runs handle on the current process of h, unless
// the process has been restarted by then.
func (sim *simulation) ifCurrent(h *host, handle func() []claim.Action) func() {
	state := h.state
	return func() {
		if h.state == state {
			sim.perform(h, handle())
		}
	}
}

func (sim *simulation) perform(h *host, actions []claim.Action) {
	assert.NilError(sim.tb, claim.Check(h.state))
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Read:
			sim.read(h, a)
		case claim.Write:
			sim.write(h, a)
		case claim.Send:
			sim.send(h, a)
		case claim.Result:
			sim.result(h, a)
		}
	}
}

func (sim *simulation) read(h *host, a claim.Read) {
	reply := object.ReadResult{Name: a.Name, Failed: sim.chance(sim.faults.refuse)}
	handle := sim.ifCurrent(h, func() []claim.Action { return claim.HandleRead(h.state, sim.now, reply) })
	sim.after(sim.delay(), func() {
		reply.Version, reply.Value = sim.objects[a.Name].version, sim.objects[a.Name].value
		sim.after(sim.delay(), handle)
	})
}

// write can take effect after its reply has been reported as lost.
func (sim *simulation) write(h *host, a claim.Write) {
	sim.writes++
	assert.Assert(sim.tb, len(a.Value) <= 1<<20)
	r := object.WriteResult{Name: a.Name}
	handle := sim.ifCurrent(h, func() []claim.Action { return claim.HandleWrite(h.state, sim.now, r) })
	reply := func(out object.WriteOutcome, version uint64) {
		r.Outcome, r.Version = out, version
		sim.after(sim.delay(), handle)
	}
	if sim.chance(sim.faults.refuse) {
		reply(object.WriteFailed, 0)
		return
	}
	lost, falseConflict := sim.chance(sim.faults.lostReply), sim.chance(sim.faults.falseConflict)
	if lost {
		reply(object.WriteUnknown, 0)
	}
	sim.after(sim.delay(), func() {
		o := sim.objects[a.Name]
		ok := o.version == a.IfVersion
		if ok {
			sim.objects[a.Name] = stored{version: o.version + 1, value: a.Value}
		}
		switch {
		case lost:
		case ok && !falseConflict:
			reply(object.WriteDone, o.version+1)
		default:
			reply(object.WriteConflict, 0)
		}
	})
}

func (sim *simulation) send(from *host, a claim.Send) {
	copies := 1
	if sim.chance(sim.faults.drop) {
		copies = 0
	} else if sim.chance(sim.faults.duplicate) {
		copies = 2
	}
	for _, h := range sim.hosts {
		for i := 0; h.name == a.To && i < copies; i++ {
			sim.schedule(h, sim.delay(), func() []claim.Action { return sim.receive(h, from.name, a.Message) })
		}
	}
}

func (sim *simulation) receive(h *host, from id.Host, m message.Message) []claim.Action {
	switch m := m.(type) {
	case message.ClaimRequest:
		return claim.HandleRequest(h.state, sim.now, from, m, sim.now)
	case message.ClaimReply:
		return claim.HandleReply(h.state, sim.now, m)
	case message.ClaimSettle:
		return claim.Settle(h.state, sim.now, m, h.name)
	}
	return nil
}

// result checks the invariants of each dispatch, then dispatches the request.
func (sim *simulation) result(h *host, r claim.Result) {
	c, known := h.claims[r.Request]
	_, repeated := h.results[r.Request]
	assert.Assert(sim.tb, known && !repeated, "%s: result %v for unknown or ended request", h.name, r)
	h.results[r.Request] = r
	if !r.Won {
		return
	}
	assert.Assert(sim.tb, !r.Mismatch && !r.Unavailable && !r.Expired)
	for _, old := range sim.runs[c.Key] {
		assert.Assert(sim.tb, old.notRun, "key %s runs twice: %s and %s", c.Key, old.nonce, c.Nonce)
		assert.Equal(sim.tb, old.digest, c.Digest)
	}
	dispatched := &run{nonce: c.Nonce, digest: c.Digest}
	sim.runs[c.Key] = append(sim.runs[c.Key], dispatched)
	kind := sim.rng.IntN(3)
	if kind == 0 {
		return
	}
	sim.schedule(h, 4*sim.delay(), func() []claim.Action {
		m := message.ClaimSettle{Claim: c, State: message.ClaimDone, Outcome: []byte(c.Nonce)}
		if kind == 1 {
			m.State, m.Outcome = message.ClaimNotRun, nil
		}
		dispatched.done, dispatched.notRun = kind == 2, kind == 1
		return claim.Settle(h.state, sim.now, m, sim.owner())
	})
}

// owner returns the owner of a shard as seen by some host. With message loss, the
// hosts' views differ.
func (sim *simulation) owner() id.Host {
	if i := sim.rng.IntN(len(sim.hosts) + 1); i > 0 && sim.faults.drop > 0 {
		return sim.hosts[i-1].name
	}
	return sim.hosts[0].name
}

func (sim *simulation) claim(h *host, key, digest string) id.Request {
	sim.nextID++
	req := id.Request(fmt.Sprintf("r%d", sim.nextID))
	h.claims[req] = message.Claim{Account: "acct", Key: key, Nonce: fmt.Sprintf("n%d", sim.nextID), Digest: digest}
	sim.perform(h, claim.Claim(h.state, sim.now, req, h.claims[req], sim.owner(), sim.now))
	return req
}
