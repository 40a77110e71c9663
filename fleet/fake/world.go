// Package fake drives the decision cores of several hosts against small fakes
// of the platform, the engines, the plain services, the links and the callers,
// all on one event queue and one clock.
//
// It is shared by the randomised tests and by the benchmark of the scheduling
// policies. A run depends on nothing but its Config, its Plan and its seed.
package fake

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// Start is the time at which every run begins.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Config describes a deployment.
type Config struct {
	Zones        []id.Zone
	HostsPerZone int
	Table        *table.Snapshot
	ZoneDelay    time.Duration // one way between two zones
	LocalDelay   time.Duration // one way within a zone, and between callers and hosts
	StoreDelay   time.Duration // one way to the platform
	TokenTime    time.Duration // of one output token
	KVSurvival   time.Duration // of an unclaimed KV cache
	ReportLag    time.Duration // of load reports
	Seed         uint64
	CheckEvery   int // events between two checks of a host's invariants; 0 is never
	Tune         func(cfg *core.Config)
}

// World is one run.
type World struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	queue   eventQueue
	seq     uint64
	steps   int
	hosts   map[id.Host]*host
	order   []id.Host
	store   *store
	engines map[id.Endpoint]*engineFake
	service map[id.Endpoint]*serviceFake
	callers map[id.Request]*Call
	calls   []*Call
	cut     map[[2]id.Zone]bool // zones that cannot reach each other
	cutOff  map[id.Zone]bool    // zones that cannot reach the platform
	loss    float64             // share of peer messages that are lost
	serial  int

	chunkFaults float64 // share of chunks that are doubled, late or lost

	ledger []Charge
	open   map[id.Request]int // index of a request's last charge
	err    error
}

type scheduled struct {
	at  time.Time
	seq uint64
	fn  func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// New returns a world in which all hosts have just started and the platform
// holds the table.
func New(cfg Config) (*World, error) {
	w := &World{
		cfg: cfg, now: Start,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
		hosts:   make(map[id.Host]*host),
		store:   newStore(),
		engines: make(map[id.Endpoint]*engineFake),
		service: make(map[id.Endpoint]*serviceFake),
		callers: make(map[id.Request]*Call),
		cut:     make(map[[2]id.Zone]bool),
		cutOff:  make(map[id.Zone]bool),
		open:    make(map[id.Request]int),
	}
	if err := w.Apply(cfg.Table); err != nil {
		return nil, err
	}
	w.addEndpoints()
	for _, z := range cfg.Zones {
		for n := range cfg.HostsPerZone {
			w.addHost(id.Host(fmt.Sprintf("%s-%d", z, n+1)), z)
		}
	}
	return w, nil
}

// Now returns the time of the run.
func (w *World) Now() time.Time { return w.now }

// Elapsed returns the time since the start of the run.
func (w *World) Elapsed() time.Duration { return w.now.Sub(Start) }

// At schedules fn at a time since the start of the run.
func (w *World) At(d time.Duration, fn func()) {
	w.schedule(Start.Add(d), fn)
}

func (w *World) after(d time.Duration, fn func()) {
	w.schedule(w.now.Add(d), fn)
}

func (w *World) schedule(at time.Time, fn func()) {
	w.seq++
	heap.Push(&w.queue, scheduled{at: at, seq: w.seq, fn: fn})
}

// Run handles all events up to a time since the start. It stops at the first
// violated invariant.
func (w *World) Run(until time.Duration) error {
	end := Start.Add(until)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		next.fn()
		if w.err != nil {
			return fmt.Errorf("fake: seed %d, %s after the start: %w", w.cfg.Seed, w.Elapsed(), w.err)
		}
	}
	w.now = end
	return nil
}

// Steps returns the number of events that the decision cores have reduced.
func (w *World) Steps() int { return w.steps }

func (w *World) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// Cut makes two zones unreachable for each other, or reachable again.
func (w *World) Cut(a, b id.Zone, cut bool) {
	w.cut[[2]id.Zone{a, b}] = cut
	w.cut[[2]id.Zone{b, a}] = cut
}

// CutPlatform makes the platform unreachable from a zone, or reachable again.
func (w *World) CutPlatform(z id.Zone, cut bool) { w.cutOff[z] = cut }

// SetOutage stops or starts the platform.
func (w *World) SetOutage(down bool) { w.store.down = down }

// SetLostReplies sets the share of writes whose reply is lost.
func (w *World) SetLostReplies(share float64) { w.store.lost = share }

// SetLoss sets the share of messages between hosts that are lost.
func (w *World) SetLoss(share float64) { w.loss = share }

// SetChunkFaults sets the share of chunks that are doubled, late or lost.
func (w *World) SetChunkFaults(share float64) { w.chunkFaults = share }

// SetStaleReads makes the platform answer reads of the manifest with the version
// before the current one.
func (w *World) SetStaleReads(stale bool) { w.store.stale = stale }

// delay returns the one-way delay between two zones, and whether they can reach
// each other.
func (w *World) delay(a, b id.Zone) (time.Duration, bool) {
	if a == b {
		return w.cfg.LocalDelay, true
	}
	return w.cfg.ZoneDelay, !w.cut[[2]id.Zone{a, b}]
}

// Apply commits a table as an operator would, with the next version.
func (w *World) Apply(t *table.Snapshot) error {
	return w.store.apply(t)
}
