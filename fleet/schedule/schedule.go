// Package schedule is the scheduler of one cell: the prefill and decode endpoints of
// one model in one scheduling domain, which is an availability zone or spans several.
//
// Requests queue here and not at the engines. A grant reserves a prefill endpoint, a
// decode slot with its memory, and the transfer between them in one step, so that a
// free slot is ready for the KV cache of a finished prefill. No safety property
// depends on the scheduler: two cells that serve the same endpoints overcommit them,
// and the engine rejects the excess.
//
// The package is deterministic. It uses no goroutines, I/O, clock or random source. A
// Cell is not safe for concurrent use. Messages may be lost, duplicated or reordered;
// the functions are idempotent per request and attempt, and a later attempt of a
// request replaces the earlier ones.
package schedule

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Reasons of a SlotRefusal.
const (
	// ReasonQueueFull means that the queue of the cell is full.
	ReasonQueueFull = "queue-full"
	// ReasonTooLate means that the first-token target can no longer be met.
	ReasonTooLate = "too-late"
	// ReasonNoEndpoint means that the cell has no usable prefill or decode endpoint.
	ReasonNoEndpoint = "no-endpoint"
	// ReasonWaitLimit means that the request has waited longer than allowed.
	ReasonWaitLimit = "wait-limit"
	// ReasonTooLarge means that no endpoint has the memory for the request.
	ReasonTooLarge = "too-large"
	// ReasonGrantExpired means that the request was granted and the grant expired unused.
	ReasonGrantExpired = "grant-expired"
)

// Action is a Send or a Cancel, which the caller of this package must carry out.
type Action interface{ isAction() }

// Send is a SlotGrant or a SlotRefusal to be sent to a host.
type Send struct {
	To      id.Host
	Message message.Message
	Level   message.Level // of the request, as its host stated it
}

// Cancel is an attempt to be cancelled on an endpoint.
type Cancel struct {
	Endpoint id.Endpoint
	Request  id.Request
	Attempt  id.Attempt
}

func (Send) isAction()   {}
func (Cancel) isAction() {}

// Cell is the state of the scheduler of one cell. All times in it count from start.
type Cell struct {
	cfg   Config
	model id.Model

	start            time.Time
	now              time.Duration // since start; never decreases
	rebuildUntil     time.Duration
	lastSweep        time.Duration
	lastAccountSweep time.Duration // last removal of idle accounts

	endpoints map[id.Endpoint]*endpoint
	prefills  []*endpoint // usable, sorted by name
	decodes   []*endpoint // usable, sorted by name
	capacity  capacity

	accounts       map[id.Account]*account
	weights        map[id.Account]int64
	queues         [classCount][message.MaxLevels]classQueue
	levels         int           // levels of the model; 0 if it has none
	deferrableDebt time.Duration // endpoint time owed to deferrable requests
	levelDebt      time.Duration // endpoint time owed to less urgent levels; see updateLevelDebt
	levelTurns     levelTurns
	arrivals       [message.MaxLevels]eventRate // interactive requests that were queued
	hold           hold
	retries        retrySchedule
	lastShed       time.Duration
	queueDeadlines queueDeadlineHeap

	entries map[id.Request]*entry // queued or running
	runs    []*entry              // attempts with a reservation
	ended   endedLog

	pin              pin
	lastSmallRequest time.Duration // arrival of the last slot request for a small interactive prompt
	hasSmallRequest  bool          // such a request has arrived
	slotReleases     eventRate
	roundRobin       int     // position for round-robin placement
	skipped          []*lane // lanes skipped in this pass; reused by grantQueued

	projections      []projection  // buffer of peakWith
	tokenTime        time.Duration // measured time between two output tokens of a run
	tokenTimeSamples int           // runs that tokenTime was measured from
	endpointLostAt   time.Duration // when the number of usable endpoints last fell
	zoneReachability map[zonePair]*zoneReachability
	runAverages      runAverages
	speeds           cellSpeeds
}

// New returns a cell without endpoints. Set rebuild if a predecessor may have granted
// work on the endpoints: the cell then grants only a part of each endpoint until hosts
// have registered their holds again.
func New(cfg Config, model id.Model, now time.Time, rebuild bool) *Cell {
	c := &Cell{
		cfg:              cfg,
		model:            model,
		start:            now,
		endpoints:        make(map[id.Endpoint]*endpoint),
		accounts:         make(map[id.Account]*account),
		entries:          make(map[id.Request]*entry),
		ended:            newEndedLog(),
		tokenTime:        cfg.TokenTime,
		endpointLostAt:   -endpointLossDelay,
		zoneReachability: make(map[zonePair]*zoneReachability),
	}
	if rebuild {
		c.rebuildUntil = cfg.RebuildTime
	}
	return c
}

// Tick grants, refuses and demotes queued requests and cancels reservations that no
// host has refreshed. Call it every 10 to 20 ms.
func Tick(c *Cell, now time.Time) []Action {
	c.advance(now)
	acts := c.sweep(nil)
	acts = c.grantQueued(acts)
	return c.shedHopeless(acts)
}

// Load returns the load summary of a cell, with the wait of the least urgent level.
func Load(c *Cell, now time.Time) message.CellLoad {
	c.advance(now)
	return message.CellLoad{
		Model:     c.model,
		Queued:    c.queued(),
		FreeSlots: int(c.freeSlots()),
		Wait:      c.expectedWait(c.levelCount() - 1),
	}
}

// ExpectedWait returns the expected queueing time of a new request of a level, by which
// hosts choose between cells.
func ExpectedWait(c *Cell, now time.Time, level message.Level) time.Duration {
	c.advance(now)
	return c.expectedWait(c.levelIndex(level))
}

// QueuedAt returns the number of queued requests of a level.
func QueuedAt(c *Cell, level message.Level) int { return c.queuedAt(c.levelIndex(level)) }

func (c *Cell) advance(now time.Time) {
	c.now = max(c.now, now.Sub(c.start))
}

func (c *Cell) queued() int {
	n := 0
	for class := range c.queues {
		n += c.queuedInClass(class)
	}
	return n
}

func (c *Cell) rebuilding() bool { return c.now < c.rebuildUntil }
