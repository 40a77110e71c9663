// Package schedule is the scheduler of one cell: the prefill and decode
// endpoints of one model in one availability zone.
//
// Requests queue here and not at the engines. A grant reserves a prefill
// endpoint, a decode slot with its memory, and the transfer between them at the
// same time, so that the KV cache of a finished prefill finds a free slot. No
// safety property depends on the scheduler: when two cells serve the same
// endpoints they over-commit, and the engine refuses.
//
// The package is deterministic. It uses no goroutines, I/O, clock or random
// source, and one Cell must not be used by two goroutines at once. Messages may
// be lost, doubled or reordered; the functions are idempotent per request and
// attempt, and a later attempt of a request replaces the earlier ones.
package schedule

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// The reasons of a SlotRefuse.
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
	// ReasonGrantExpired answers a repeated ask whose grant expired unused.
	ReasonGrantExpired = "grant-expired"
)

// Action is something that the caller of this package must do.
type Action interface{ isAction() }

// Send asks for a message to be sent to a host. Message is a SlotGrant or a
// SlotRefuse.
type Send struct {
	To      id.Host
	Message message.Message
}

// Cancel asks for an attempt to be cancelled on an endpoint.
type Cancel struct {
	Endpoint id.Endpoint
	Request  id.Request
	Attempt  id.Attempt
}

func (Send) isAction()   {}
func (Cancel) isAction() {}

// Cell is the state of one scheduler.
type Cell struct {
	cfg   Config
	model id.Model

	start        time.Time
	now          time.Duration // since start; never goes back
	rebuildUntil time.Duration
	sweptAt      time.Duration
	accountsAt   time.Duration // last search for idle accounts

	endpoints map[id.Endpoint]*endpoint
	prefills  []*endpoint // usable, by name
	decodes   []*endpoint // usable, by name
	capacity  capacity

	accounts map[id.Account]*account
	weights  map[id.Account]int64
	classes  [classCount]classQueue
	debt     time.Duration // endpoint time owed to deferrable requests
	late     lateHeap

	entries map[id.Request]*entry // queued or holding
	runs    []*entry              // holding
	ended   endedLog

	pin       pin
	smallSeen time.Duration // last ask for a small interactive prompt
	smallEver bool
	releases  releaseRate
	turn      int     // round-robin position
	aside     []*lane // scratch space of grantQueued

	projections []projection  // scratch space of peakWith
	tokenTime   time.Duration // between two output tokens of a run, as measured
	lostAt      time.Duration // an endpoint left the usable ones
	reach       map[path]*reach
	means       means
}

// New returns a cell without endpoints. With rebuild set, a predecessor may
// have granted work on the endpoints: the cell then grants only a part of each
// endpoint until the holds have been registered again.
func New(cfg Config, model id.Model, now time.Time, rebuild bool) *Cell {
	c := &Cell{
		cfg:       cfg,
		model:     model,
		start:     now,
		endpoints: make(map[id.Endpoint]*endpoint),
		accounts:  make(map[id.Account]*account),
		entries:   make(map[id.Request]*entry),
		ended:     newEndedLog(),
		tokenTime: cfg.TokenTime,
		lostAt:    -lossSettle,
		reach:     make(map[path]*reach),
	}
	if rebuild {
		c.rebuildUntil = cfg.RebuildTime
	}
	return c
}

// Tick grants, refuses and demotes queued requests and ends reservations that
// nobody uses. It is due every 10 to 20 ms.
func Tick(c *Cell, now time.Time) []Action {
	c.advance(now)
	acts := c.sweep(nil)
	return c.grantQueued(acts)
}

// Load summarises the cell for hosts that choose between cells.
func Load(c *Cell, now time.Time) message.CellLoad {
	c.advance(now)
	return message.CellLoad{
		Model:     c.model,
		Queued:    c.queued(),
		FreeSlots: int(c.freeSlots()),
		Wait:      c.expectedWait(),
	}
}

func (c *Cell) advance(now time.Time) {
	c.now = max(c.now, now.Sub(c.start))
}

func (c *Cell) queued() int {
	n := 0
	for i := range c.classes {
		n += c.classes[i].queued
	}
	return n
}

func (c *Cell) rebuilding() bool { return c.now < c.rebuildUntil }
