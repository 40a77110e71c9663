// Package reactor runs the event loop of the decision core: one goroutine takes events
// in order, reads the clock directly before it calls core.Reduce, and passes the
// resulting effects to the handler.
//
// The handler starts effects without blocking. Their results are posted as events.
package reactor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
)

// queueLength is the maximum number of queued events. Post blocks when the queue is
// full, so that overload slows the event sources down instead of exhausting memory.
const queueLength = 65536

// Handler executes the effects of the decision core.
type Handler interface {
	// Handle must not block, since it runs on the goroutine of the event loop.
	Handle(e core.Effect)
}

// Reactor owns the state of the decision core. All methods but SetHandler and Run are
// safe for concurrent use.
type Reactor struct {
	clock     clockwork.Clock
	state     *core.State
	handler   Handler
	lastTick  time.Time
	nextTick  time.Time
	rng       *rand.Rand
	events    chan core.Event
	queries   chan func(st *core.State, now time.Time)
	done      chan struct{}
	busy      atomic.Int64 // nanoseconds spent in core.Reduce
	processed atomic.Int64 // number of events passed to core.Reduce
	log       *zap.Logger
	failed    chan struct{}
	failOnce  sync.Once

	mu     sync.Mutex
	panics []time.Time // the last maxPanics events that panicked
}

// Option changes a Reactor in New.
type Option func(*Reactor)

// WithSeed makes the random seeds of the core's inputs reproducible.
func WithSeed(seed uint64) Option {
	return func(r *Reactor) { r.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a reactor that is not yet running. SetHandler must be called
// before Run.
func New(cfg core.Config, clock clockwork.Clock, opts ...Option) *Reactor {
	r := &Reactor{
		clock:   clock,
		state:   core.New(cfg, clock.Now()),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		events:  make(chan core.Event, queueLength),
		queries: make(chan func(*core.State, time.Time)),
		done:    make(chan struct{}),
		failed:  make(chan struct{}),
		log:     zap.NewNop(),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// SetHandler sets the receiver of effects. It is not a parameter of New because the handler
// is created after the reactor, to which it posts events.
func (r *Reactor) SetHandler(h Handler) {
	r.handler = h
}

// Post queues an event. It blocks while the queue is full, and discards the event after
// Run has returned.
func (r *Reactor) Post(ev core.Event) {
	select {
	case r.events <- ev:
	case <-r.done:
	}
}

// Query runs fn with the state on the event loop, between two events, and waits for it
// to return. fn must not retain the state. Query returns false without running fn if Run
// has returned, or if ctx ends before fn has started.
func (r *Reactor) Query(ctx context.Context, fn func(st *core.State, now time.Time)) bool {
	finished := make(chan struct{})
	wrapped := func(st *core.State, now time.Time) {
		fn(st, now)
		close(finished)
	}
	select {
	case r.queries <- wrapped:
		<-finished
		return true
	case <-r.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Load returns the number of processed events and the total time spent on them in the
// decision core.
func (r *Reactor) Load() (processed int64, busy time.Duration) {
	return r.processed.Load(), time.Duration(r.busy.Load())
}

// Run processes events and ticks until ctx ends. Events that are still queued then are
// discarded.
func (r *Reactor) Run(ctx context.Context) {
	defer close(r.done)
	r.lastTick = r.clock.Now()
	timer := r.clock.NewTimer(core.TickInterval(r.state))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
			r.lastTick = r.clock.Now()
			r.nextTick = time.Time{}
			r.reduce(core.Tick{})
			r.scheduleTick(timer)
		case ev := <-r.events:
			r.reduce(ev)
			r.scheduleTick(timer)
		case fn := <-r.queries:
			fn(r.state, r.clock.Now())
		}
	}
}

// scheduleTick sets the timer of the next Tick, if its time has changed. It depends on the
// state, so that an idle host wakes up rarely.
func (r *Reactor) scheduleTick(timer clockwork.Timer) {
	next := r.lastTick.Add(core.TickInterval(r.state))
	if next.Equal(r.nextTick) {
		return
	}
	r.nextTick = next
	timer.Reset(max(next.Sub(r.clock.Now()), 0))
}

// reduce processes one event and passes the effects to the handler. Only the time in the
// decision core counts as busy.
func (r *Reactor) reduce(ev core.Event) {
	defer r.recoverStep(ev)
	now := r.clock.Now()
	effects := core.Reduce(r.state, core.Input{Now: now, Wall: now, Seed: r.rng.Uint64(), Event: ev})
	r.processed.Add(1)
	r.busy.Add(int64(r.clock.Since(now)))
	for _, e := range effects {
		r.handler.Handle(e)
	}
}
