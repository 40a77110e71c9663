// Package fake simulates a deployment: it runs the decision cores of several hosts
// against fakes of the platform, the engines, the services, the network and the
// callers, on one event queue with a virtual clock.
//
// The randomized tests and the benchmark of the scheduling policies share it. A run
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

// Simulation is one simulation run. It is not safe for concurrent use.
type Simulation struct {
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
func New(cfg Config) (*Simulation, error) {
	sim := &Simulation{
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
	if err := sim.Apply(cfg.Table); err != nil {
		return nil, err
	}
	sim.addEndpoints()
	for _, z := range cfg.Zones {
		for n := range cfg.HostsPerZone {
			sim.addHost(id.Host(fmt.Sprintf("%s-%d", z, n+1)), z)
		}
	}
	return sim, nil
}

// Now returns the current virtual time.
func (sim *Simulation) Now() time.Time { return sim.now }

// Elapsed returns the time since the start of the run.
func (sim *Simulation) Elapsed() time.Duration { return sim.now.Sub(Start) }

// At schedules fn at time d since the start of the run.
func (sim *Simulation) At(d time.Duration, fn func()) {
	sim.schedule(Start.Add(d), fn)
}

func (sim *Simulation) after(d time.Duration, fn func()) {
	sim.schedule(sim.now.Add(d), fn)
}

func (sim *Simulation) schedule(at time.Time, fn func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduled{at: at, seq: sim.seq, fn: fn})
}

// Run processes all events up to the time until since the start of the run. It stops
// at the first violated invariant and returns it as an error.
func (sim *Simulation) Run(until time.Duration) error {
	end := Start.Add(until)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(scheduled)
		sim.now = next.at
		next.fn()
		if sim.err != nil {
			return fmt.Errorf("fake: seed %d, %s after the start: %w", sim.cfg.Seed, sim.Elapsed(), sim.err)
		}
	}
	sim.now = end
	return nil
}

// Steps returns the number of events that the decision cores have processed.
func (sim *Simulation) Steps() int { return sim.steps }

// fail records a violated invariant; Run returns the first one.
func (sim *Simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

// SetZonePartition starts or ends a network partition between two zones.
func (sim *Simulation) SetZonePartition(a, b id.Zone, partitioned bool) {
	sim.partitioned[[2]id.Zone{a, b}] = partitioned
	sim.partitioned[[2]id.Zone{b, a}] = partitioned
}

// SetPlatformPartition starts or ends a network partition between a zone and the
// platform.
func (sim *Simulation) SetPlatformPartition(z id.Zone, partitioned bool) {
	sim.platformUnreachable[z] = partitioned
}

// SetPlatformOutage starts or ends an outage of the platform.
func (sim *Simulation) SetPlatformOutage(outage bool) { sim.store.outage = outage }

// SetLostWriteReplies sets the share of platform writes that take effect but whose reply
// is lost.
func (sim *Simulation) SetLostWriteReplies(share float64) { sim.store.lostWriteReplies = share }

// SetMessageLoss sets the share of messages between hosts that are lost.
func (sim *Simulation) SetMessageLoss(share float64) { sim.messageLoss = share }

// SetChunkFaults sets the share of chunks that are duplicated, delayed or lost.
func (sim *Simulation) SetChunkFaults(share float64) { sim.chunkFaults = share }

// SetStaleReads makes the platform answer reads of the manifest with the previous
// version instead of the current one.
func (sim *Simulation) SetStaleReads(staleReads bool) { sim.store.staleReads = staleReads }

// delay returns the one-way delay between two zones, and whether they can reach each
// other.
func (sim *Simulation) delay(a, b id.Zone) (time.Duration, bool) {
	if a == b {
		return sim.cfg.LocalDelay, true
	}
	return sim.cfg.ZoneDelay, !sim.partitioned[[2]id.Zone{a, b}]
}

// Apply commits a table with the next table version, as an operator does.
func (sim *Simulation) Apply(t *table.Snapshot) error {
	return sim.store.apply(t)
}
