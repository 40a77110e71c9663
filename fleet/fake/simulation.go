// Package fake simulates a deployment: it runs the decision cores of several hosts
// against fakes of the platform, the engines, the services, the network and the
// callers, on one event queue with a virtual clock.
//
// The randomised tests and the benchmark of the scheduling policies share it. A run
// is deterministic: it depends only on its Config, which includes the seed, and on
// the calls that schedule requests and faults.
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

// Start is the virtual time at which every run begins.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Config describes a simulated deployment.
type Config struct {
	Zones        []id.Zone
	HostsPerZone int
	Table        *table.Snapshot
	ZoneDelay    time.Duration // one-way delay between two zones
	LocalDelay   time.Duration // one-way delay within a zone, and between callers and hosts
	StoreDelay   time.Duration // one-way delay between a host and the platform
	TokenTime    time.Duration // decode time of one output token
	KVSurvival   time.Duration // time that an engine keeps a KV cache after prefill, and maximum wait for a decode slot
	ReportLag    time.Duration // delay of load reports and cache events
	Seed         uint64
	CheckEvery   int                    // number of events of a host between two checks of its invariants; 0 disables the checks
	Tune         func(cfg *core.Config) // adjusts the configuration of each host; may be nil
}

// World is one simulation run. It is not safe for concurrent use.
type World struct {
	cfg                 Config
	rng                 *rand.Rand
	now                 time.Time
	queue               eventQueue
	seq                 uint64 // number of scheduled events
	steps               int
	hosts               map[id.Host]*host
	hostNames           []id.Host
	store               *store
	engines             map[id.Endpoint]*fakeEngine
	services            map[id.Endpoint]*fakeService
	callsByRequest      map[id.Request]*Call
	calls               []*Call
	partitioned         map[[2]id.Zone]bool // pairs of zones that cannot reach each other
	platformUnreachable map[id.Zone]bool    // zones that cannot reach the platform
	messageLoss         float64             // share of messages between hosts that are lost
	serial              int                 // last number used in request IDs, idempotency keys and names of KV caches

	chunkFaults float64 // share of chunks that are duplicated, delayed or lost

	ledger      []Charge
	openCharges map[id.Request]int // index in ledger of the request's latest charge, until it is refunded
	err         error
}

// scheduled is a function in the event queue. Events of equal time run in the order
// in which they were scheduled.
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

// New returns a simulation in which all hosts have just started and the platform
// stores the table.
func New(cfg Config) (*World, error) {
	w := &World{
		cfg: cfg, now: Start,
		rng:                 rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
		hosts:               make(map[id.Host]*host),
		store:               newStore(),
		engines:             make(map[id.Endpoint]*fakeEngine),
		services:            make(map[id.Endpoint]*fakeService),
		callsByRequest:      make(map[id.Request]*Call),
		partitioned:         make(map[[2]id.Zone]bool),
		platformUnreachable: make(map[id.Zone]bool),
		openCharges:         make(map[id.Request]int),
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

// Now returns the current virtual time.
func (w *World) Now() time.Time { return w.now }

// Elapsed returns the time since the start of the run.
func (w *World) Elapsed() time.Duration { return w.now.Sub(Start) }

// At schedules fn at time d since the start of the run.
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

// Run processes all events up to the time until since the start of the run. It stops
// at the first violated invariant and returns it as an error.
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

// Steps returns the number of events that the decision cores have processed.
func (w *World) Steps() int { return w.steps }

// fail records a violated invariant; Run returns the first one.
func (w *World) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// Cut starts or ends a network partition between two zones.
func (w *World) Cut(a, b id.Zone, partitioned bool) {
	w.partitioned[[2]id.Zone{a, b}] = partitioned
	w.partitioned[[2]id.Zone{b, a}] = partitioned
}

// CutPlatform starts or ends a network partition between a zone and the platform.
func (w *World) CutPlatform(z id.Zone, partitioned bool) { w.platformUnreachable[z] = partitioned }

// SetOutage starts or ends an outage of the platform.
func (w *World) SetOutage(outage bool) { w.store.outage = outage }

// SetLostReplies sets the share of platform writes that take effect but whose reply
// is lost.
func (w *World) SetLostReplies(share float64) { w.store.lostWriteReplies = share }

// SetMessageLoss sets the share of messages between hosts that are lost.
func (w *World) SetMessageLoss(share float64) { w.messageLoss = share }

// SetChunkFaults sets the share of chunks that are duplicated, delayed or lost.
func (w *World) SetChunkFaults(share float64) { w.chunkFaults = share }

// SetStaleReads makes the platform answer reads of the manifest with the previous
// version instead of the current one.
func (w *World) SetStaleReads(staleReads bool) { w.store.staleReads = staleReads }

// delay returns the one-way delay between two zones, and whether they can reach each
// other.
func (w *World) delay(a, b id.Zone) (time.Duration, bool) {
	if a == b {
		return w.cfg.LocalDelay, true
	}
	return w.cfg.ZoneDelay, !w.partitioned[[2]id.Zone{a, b}]
}

// Apply commits a table with the next table version, as an operator does.
func (w *World) Apply(t *table.Snapshot) error {
	return w.store.apply(t)
}
