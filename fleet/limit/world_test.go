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

// world runs hosts against a stand-in platform and network in virtual time.
type world struct {
	cfg     limit.Config
	budgets map[id.Account]limit.Budget
	rnd     *rand.Rand
	now     time.Duration
	queue   eventQueue
	seq     int
	hosts   []*host
	objects map[string]stored
	down    bool             // the platform answers nobody
	cut     map[id.Zone]bool // no traffic leaves the zone
	faulty  bool             // network and platform lose, delay and repeat
	flap    bool             // hosts see wrong lists of live hosts

	charges  map[id.Account][]*usage
	open     map[id.Request]opening // requests without a decision
	requests int
	refused  int // all refusals
	unfair   int // refusals of requests that were within the rate
	sent     int // messages between hosts
	writes   int
	err      error
}

type host struct {
	name   id.Host
	zone   id.Zone
	inc    id.Incarnation
	st     *limit.State
	up     bool
	wakeAt time.Duration // paused until then
	offset time.Duration // of the host's clock
	stop   bool          // draining
	gave   int           // answers with tokens
}

// usage is an admitted request; tokens falls from the charge to the use.
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

func newWorld(cfg limit.Config, perZone int, budgets map[id.Account]limit.Budget, seed uint64) *world {
	w := &world{
		cfg: cfg, budgets: budgets, rnd: rand.New(rand.NewPCG(seed, 1)),
		objects: map[string]stored{}, cut: map[id.Zone]bool{}, charges: map[id.Account][]*usage{}, open: map[id.Request]opening{},
	}
	for _, zone := range cfg.Zones {
		for i := range perZone {
			h := &host{name: id.Host(fmt.Sprintf("%s-h%d", zone, i)), zone: zone}
			h.offset = time.Duration(w.rnd.Int64N(int64(time.Hour)))
			w.hosts = append(w.hosts, h)
		}
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, run: run})
}

// on runs f on the host now, or when its pause ends, unless the process has
// ended by then.
func (w *world) on(h *host, inc id.Incarnation, f func(now time.Time)) {
	if !h.up || h.inc != inc {
		return
	}
	if w.now < h.wakeAt {
		w.after(h.wakeAt-w.now, func() { w.on(h, inc, f) })
		return
	}
	f(time.Unix(0, 0).Add(h.offset + w.now))
	if err := limit.Check(h.st); err != nil && w.err == nil {
		w.err = fmt.Errorf("%s at %v: %w", h.name, w.now, err)
	}
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.err == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *world) start(h *host) {
	h.inc++
	h.up, h.stop, h.wakeAt = true, false, 0
	cfg := w.cfg
	cfg.Host, cfg.Zone, cfg.Incarnation = h.name, h.zone, h.inc
	h.st = limit.New(cfg)
	inc := h.inc
	w.on(h, inc, func(now time.Time) { limit.SetBudgets(h.st, now, w.budgets) })
	w.tick(h, inc)
	w.hostsChanged()
}

func (w *world) kill(h *host) {
	h.up = false
	w.hostsChanged()
}

func (w *world) pause(h *host, d time.Duration) {
	h.wakeAt = w.now + d
	w.hostsChanged()
	w.after(d+time.Millisecond, w.hostsChanged)
}

func (w *world) drain(h *host) {
	h.stop = true
	w.on(h, h.inc, func(now time.Time) { w.act(h, limit.Drain(h.st, now)) })
	w.hostsChanged()
}

func (w *world) tick(h *host, inc id.Incarnation) {
	w.on(h, inc, func(now time.Time) {
		resolved, actions := limit.Tick(h.st, now)
		w.act(h, actions)
		for _, r := range resolved {
			w.decided(h, r.Request, r.Decision)
		}
		w.after(tickInterval, func() { w.tick(h, inc) })
	})
}

// hostsChanged tells every host its view of the live hosts, after a delay.
func (w *world) hostsChanged() {
	for _, h := range w.hosts {
		inc := h.inc
		w.after(time.Duration(w.rnd.IntN(2000))*time.Millisecond, func() {
			w.on(h, inc, func(now time.Time) { w.act(h, limit.SetHosts(h.st, now, w.view(h))) })
		})
	}
}

func (w *world) view(of *host) map[id.Zone][]id.Host {
	out := map[id.Zone][]id.Host{}
	for _, h := range w.hosts {
		alive := h.up && !h.stop && w.now >= h.wakeAt && w.reach(of, h)
		if w.flap && w.rnd.IntN(8) == 0 {
			alive = !alive
		}
		if alive || h == of && !of.stop {
			out[h.zone] = append(out[h.zone], h.name)
		}
	}
	return out
}

func (w *world) reach(a, b *host) bool {
	return a.zone == b.zone || !w.cut[a.zone] && !w.cut[b.zone]
}

func (w *world) act(h *host, actions []limit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limit.ReadLease:
			w.read(h, a)
		case limit.WriteLease:
			w.writes++
			w.write(h, a)
		case limit.Send:
			w.send(h, a)
		}
	}
}

func (w *world) lag() time.Duration {
	d := time.Duration(1+w.rnd.IntN(6)) * time.Millisecond
	if w.faulty && w.rnd.IntN(4) == 0 {
		d += time.Duration(w.rnd.IntN(60)) * time.Millisecond
	}
	if w.faulty && w.rnd.IntN(25) == 0 {
		d += time.Duration(w.rnd.IntN(5000)) * time.Millisecond
	}
	return d
}

func (w *world) lose() bool { return w.faulty && w.rnd.IntN(20) == 0 }

func (w *world) noPlatform(h *host) bool { return w.down || w.cut[h.zone] || w.lose() }

func (w *world) read(h *host, a limit.ReadLease) {
	inc := h.inc
	w.after(w.lag(), func() {
		r := object.ReadResult{Name: a.Group, Failed: w.noPlatform(h)}
		if o := w.objects[a.Group]; !r.Failed {
			r.Version, r.Value = o.version, o.value
		}
		w.after(w.lag(), func() {
			w.on(h, inc, func(now time.Time) { w.act(h, limit.HandleRead(h.st, now, r)) })
		})
	})
}

// write carries out a write once, and reports it once. The report may come
// before the write takes effect.
func (w *world) write(h *host, a limit.WriteLease) {
	inc := h.inc
	report := func(d time.Duration, version uint64, outcome object.WriteOutcome) {
		r := object.WriteResult{Name: a.Group, Version: version, Outcome: outcome}
		w.after(d, func() {
			w.on(h, inc, func(now time.Time) { w.act(h, limit.HandleWrite(h.st, now, r)) })
		})
	}
	timeout := w.faulty && w.rnd.IntN(10) == 0
	if timeout {
		report(w.lag(), 0, object.WriteUnknown)
	}
	w.after(w.lag(), func() {
		version, outcome := uint64(0), object.WriteFailed
		if !w.noPlatform(h) {
			version, outcome = w.store(a)
		}
		if !timeout {
			report(w.lag(), version, outcome)
		}
	})
}

func (w *world) store(a limit.WriteLease) (uint64, object.WriteOutcome) {
	o := w.objects[a.Group]
	if o.version != a.IfVersion {
		return 0, object.WriteConflict
	}
	w.objects[a.Group] = stored{version: o.version + 1, value: slices.Clone(a.Value)}
	return o.version + 1, object.WriteDone
}

func (w *world) send(from *host, a limit.Send) {
	w.sent++
	if m, ok := a.Message.(message.TokenGive); ok && m.Tokens > 0 {
		from.gave++
	}
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == a.To })
	to := w.hosts[i]
	copies := 1
	if w.lose() {
		copies = 2 * w.rnd.IntN(2)
	}
	for range copies {
		w.after(w.lag(), func() {
			if w.reach(from, to) {
				w.on(to, to.inc, func(now time.Time) { w.deliver(to, now, from.name, a.Message) })
			}
		})
	}
}

func (w *world) deliver(h *host, now time.Time, from id.Host, m message.Message) {
	switch m := m.(type) {
	case message.TokenAsk:
		w.act(h, limit.HandleAsk(h.st, now, from, m))
	case message.TokenGive:
		d, actions := limit.HandleGive(h.st, now, from, m)
		w.act(h, actions)
		if d != nil {
			w.decided(h, m.Request, d)
		}
	case message.TokenReturn:
		limit.HandleReturn(h.st, now, m)
	}
}
