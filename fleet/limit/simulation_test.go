package limit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

// simulation simulates hosts, the platform and the network in virtual time.
type simulation struct {
	cfg          limit.Config
	budgets      map[id.Account]limit.Budget
	rnd          *rand.Rand
	now          time.Duration // virtual time
	queue        eventQueue
	seq          int
	hosts        []*host
	objects      map[string]stored
	era          uint64           // of the platform
	platformDown bool             // the platform responds to no host
	partitioned  map[id.Zone]bool // zones whose hosts cannot reach other zones or the platform
	faulty       bool             // network and platform lose, delay and duplicate messages
	wrongHosts   bool             // hosts receive incorrect lists of live hosts
	strong       int              // number of hosts that may hold leases; 0: all

	charges           map[id.Account][]*usage
	undecided         map[id.Request]undecidedRequest // requests without a decision
	requests          int
	refused           int // all refusals
	refusedWithinRate int // refusals of requests that were within the rate
	sent              int // messages between hosts
	writes            int
	err               error
}

type host struct {
	name          id.Host
	zone          id.Zone
	inc           id.Incarnation
	st            *limit.State
	up            bool
	pausedUntil   time.Duration // the process is paused until then
	clockOffset   time.Duration // offset of the host's clock from virtual time
	draining      bool          // the process has started to drain
	transfersSent int           // number of TokenTransfer messages with tokens sent
	era           uint64        // highest era of the platform in an answer
	restoredEra   uint64        // era after the last restore that the process has seen
}

// usage is an admitted request. tokens starts as the charge and drops to the tokens
// used when the request is settled.
type usage struct {
	at     time.Duration
	tokens int64
}

type stored struct {
	version uint64
	value   []byte
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const tickInterval = 50 * time.Millisecond

func newSimulation(cfg limit.Config, perZone int, budgets map[id.Account]limit.Budget, seed uint64) *simulation {
	sim := &simulation{
		cfg: cfg, budgets: budgets, rnd: rand.New(rand.NewPCG(seed, 1)),
		objects: map[string]stored{}, partitioned: map[id.Zone]bool{}, charges: map[id.Account][]*usage{}, undecided: map[id.Request]undecidedRequest{},
	}
	for _, zone := range cfg.Zones {
		for i := range perZone {
			h := &host{name: id.Host(fmt.Sprintf("%s-h%d", zone, i)), zone: zone}
			h.clockOffset = time.Duration(sim.rnd.Int64N(int64(time.Hour)))
			sim.hosts = append(sim.hosts, h)
		}
	}
	for _, h := range sim.hosts {
		sim.start(h)
	}
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now + d, seq: sim.seq, run: run})
}

// runOn runs f on the host now, or at the end of its pause, and then checks the
// invariants of the host's state. It does nothing if the process has ended by then.
func (sim *simulation) runOn(h *host, inc id.Incarnation, f func(now time.Time)) {
	if !h.up || h.inc != inc {
		return
	}
	if sim.now < h.pausedUntil {
		sim.after(h.pausedUntil-sim.now, func() { sim.runOn(h, inc, f) })
		return
	}
	f(time.Unix(0, 0).Add(h.clockOffset + sim.now))
	if err := limit.Check(h.st); err != nil && sim.err == nil {
		sim.err = fmt.Errorf("%s at %v: %w", h.name, sim.now, err)
	}
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until && sim.err == nil {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = until
}

func (sim *simulation) start(h *host) {
	h.inc++
	h.up, h.draining, h.pausedUntil = true, false, 0
	h.era, h.restoredEra = 0, 0
	cfg := sim.cfg
	cfg.Host, cfg.Zone, cfg.Incarnation = h.name, h.zone, h.inc
	h.st = limit.New(cfg)
	inc := h.inc
	sim.runOn(h, inc, func(now time.Time) { limit.SetBudgets(h.st, now, sim.budgets) })
	sim.tick(h, inc)
	sim.hostsChanged()
}

func (sim *simulation) kill(h *host) {
	h.up = false
	sim.hostsChanged()
}

func (sim *simulation) pause(h *host, d time.Duration) {
	h.pausedUntil = sim.now + d
	sim.hostsChanged()
	sim.after(d+time.Millisecond, sim.hostsChanged)
}

func (sim *simulation) drain(h *host) {
	h.draining = true
	sim.runOn(h, h.inc, func(now time.Time) { sim.perform(h, limit.Drain(h.st, now)) })
	sim.hostsChanged()
}

func (sim *simulation) tick(h *host, inc id.Incarnation) {
	sim.runOn(h, inc, func(now time.Time) {
		resolved, actions := limit.Tick(h.st, now)
		sim.perform(h, actions)
		for _, r := range resolved {
			sim.recordDecision(h, r.Request, r.Decision)
		}
		sim.after(tickInterval, func() { sim.tick(h, inc) })
	})
}

// hostsChanged updates the live hosts that each host sees, after a random delay.
func (sim *simulation) hostsChanged() {
	for _, h := range sim.hosts {
		inc := h.inc
		sim.after(time.Duration(sim.rnd.IntN(2000))*time.Millisecond, func() {
			sim.runOn(h, inc, func(now time.Time) { sim.setHosts(h, now) })
		})
	}
}

func (sim *simulation) setHosts(h *host, now time.Time) {
	live := sim.view(h)
	holders := live
	if sim.strong > 0 {
		holders = map[id.Zone][]id.Host{}
		for zone, hosts := range live {
			holders[zone] = slices.DeleteFunc(slices.Clone(hosts), func(name id.Host) bool { return !sim.isStrong(name) })
		}
	}
	sim.perform(h, limit.SetHosts(h.st, now, live, holders))
}

func (sim *simulation) isStrong(name id.Host) bool {
	return slices.ContainsFunc(sim.hosts[:sim.strong], func(h *host) bool { return h.name == name })
}

func (sim *simulation) view(of *host) map[id.Zone][]id.Host {
	out := map[id.Zone][]id.Host{}
	for _, h := range sim.hosts {
		alive := h.up && !h.draining && sim.now >= h.pausedUntil && sim.canReach(of, h)
		if sim.wrongHosts && sim.rnd.IntN(8) == 0 {
			alive = !alive
		}
		if alive || h == of && !of.draining {
			out[h.zone] = append(out[h.zone], h.name)
		}
	}
	return out
}

func (sim *simulation) canReach(a, b *host) bool {
	return a.zone == b.zone || !sim.partitioned[a.zone] && !sim.partitioned[b.zone]
}

func (sim *simulation) perform(h *host, actions []limit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limit.ReadLease:
			sim.read(h, a)
		case limit.WriteLease:
			sim.writes++
			sim.write(h, a)
		case limit.Send:
			sim.send(h, a)
		}
	}
}

func (sim *simulation) latency() time.Duration {
	d := time.Duration(1+sim.rnd.IntN(6)) * time.Millisecond
	if sim.faulty && sim.rnd.IntN(4) == 0 {
		d += time.Duration(sim.rnd.IntN(60)) * time.Millisecond
	}
	if sim.faulty && sim.rnd.IntN(25) == 0 {
		d += time.Duration(sim.rnd.IntN(5000)) * time.Millisecond
	}
	return d
}

func (sim *simulation) isLost() bool { return sim.faulty && sim.rnd.IntN(20) == 0 }

func (sim *simulation) platformUnreachable(h *host) bool {
	return sim.platformDown || sim.partitioned[h.zone] || sim.isLost()
}

func (sim *simulation) read(h *host, a limit.ReadLease) {
	inc, sentEra := h.inc, h.era
	sim.after(sim.latency(), func() {
		r := object.ReadResult{Name: a.Group, Failed: sim.platformUnreachable(h)}
		era := uint64(0)
		if o := sim.objects[a.Group]; !r.Failed {
			r.Version, r.Value, era = o.version, o.value, sim.era
		}
		sim.after(sim.latency(), func() {
			sim.answer(h, inc, sentEra, era, func(now time.Time) { sim.perform(h, limit.HandleRead(h.st, now, r)) })
		})
	})
}

// answer handles an answer of the platform as the core does: the era first, and no results of
// calls that were made before a restore was seen.
func (sim *simulation) answer(h *host, inc id.Incarnation, sentEra, era uint64, handle func(now time.Time)) {
	sim.runOn(h, inc, func(now time.Time) {
		if era > h.era {
			if h.era != 0 {
				h.restoredEra = era
			}
			h.era = era
			limit.SetEra(h.st, now, era)
		}
		if sentEra >= h.restoredEra {
			handle(now)
		}
	})
}

// write executes a write once and reports its outcome once. A simulated timeout
// reports WriteUnknown, possibly before the write takes effect.
func (sim *simulation) write(h *host, a limit.WriteLease) {
	inc, sentEra, era := h.inc, h.era, uint64(0)
	report := func(d time.Duration, version uint64, outcome object.WriteOutcome) {
		r := object.WriteResult{Name: a.Group, Version: version, Outcome: outcome}
		sim.after(d, func() {
			sim.answer(h, inc, sentEra, era, func(now time.Time) { sim.perform(h, limit.HandleWrite(h.st, now, r)) })
		})
	}
	timeout := sim.faulty && sim.rnd.IntN(10) == 0
	if timeout {
		report(sim.latency(), 0, object.WriteUnknown)
	}
	sim.after(sim.latency(), func() {
		version, outcome := uint64(0), object.WriteFailed
		if !sim.platformUnreachable(h) {
			version, outcome = sim.store(a)
		}
		if !timeout {
			era = sim.era
			report(sim.latency(), version, outcome)
		}
	})
}

func (sim *simulation) store(a limit.WriteLease) (uint64, object.WriteOutcome) {
	o := sim.objects[a.Group]
	if o.version != a.IfVersion {
		return 0, object.WriteConflict
	}
	sim.objects[a.Group] = stored{version: o.version + 1, value: slices.Clone(a.Value)}
	return o.version + 1, object.WriteDone
}

func (sim *simulation) send(from *host, a limit.Send) {
	sim.sent++
	if m, ok := a.Message.(message.TokenTransfer); ok && m.Tokens > 0 {
		from.transfersSent++
	}
	i := slices.IndexFunc(sim.hosts, func(h *host) bool { return h.name == a.To })
	to := sim.hosts[i]
	copies := 1
	if sim.isLost() {
		copies = 2 * sim.rnd.IntN(2)
	}
	for range copies {
		sim.after(sim.latency(), func() {
			if sim.canReach(from, to) {
				sim.runOn(to, to.inc, func(now time.Time) { sim.deliver(to, now, from.name, a.Message) })
			}
		})
	}
}

func (sim *simulation) deliver(h *host, now time.Time, from id.Host, m message.Message) {
	switch m := m.(type) {
	case message.TokenRequest:
		sim.perform(h, limit.HandleRequest(h.st, now, from, m))
	case message.TokenTransfer:
		d, actions := limit.HandleTransfer(h.st, now, from, m)
		sim.perform(h, actions)
		if d != nil {
			sim.recordDecision(h, m.Request, d)
		}
	case message.TokenReturn:
		limit.HandleReturn(h.st, now, m)
	}
}
