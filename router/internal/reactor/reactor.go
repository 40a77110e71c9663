// Package reactor runs the decision core: one goroutine takes events in order,
// stamps the time directly before each reduction, and hands the effects to the
// shells.
//
// Shells handle effects without blocking and post their results as events.
package reactor

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"ragwortshunt.example/fleet/core"
)

// queueLength bounds the events that wait. Posting blocks when it is full, so
// that overload slows the sources down instead of using up memory.
const queueLength = 65536

// Handler carries out effects. It must not block.
type Handler interface {
	Handle(e core.Effect)
}

// Reactor owns the state of the decision core.
type Reactor struct {
	clock   clockwork.Clock
	state   *core.State
	handler Handler
	tick    time.Duration
	rng     *rand.Rand
	events  chan core.Event
	queries chan func(st *core.State, now time.Time)
	done    chan struct{}
	busy    atomic.Int64 // nanoseconds spent in reductions
	steps   atomic.Int64
}

// Option changes a Reactor.
type Option func(*Reactor)

// WithSeed fixes the seeds that inputs carry.
func WithSeed(seed uint64) Option {
	return func(r *Reactor) { r.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a reactor that is not yet running. SetHandler must be called
// before Run.
func New(cfg core.Config, clock clockwork.Clock, opts ...Option) *Reactor {
	r := &Reactor{
		clock:   clock,
		state:   core.New(cfg, clock.Now()),
		tick:    cfg.TickEvery,
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		events:  make(chan core.Event, queueLength),
		queries: make(chan func(*core.State, time.Time)),
		done:    make(chan struct{}),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// SetHandler sets the receiver of effects. The shells need the reactor to post
// to, so that they are made after it.
func (r *Reactor) SetHandler(h Handler) {
	r.handler = h
}

// Post queues an event. It does nothing after Run has returned.
func (r *Reactor) Post(ev core.Event) {
	select {
	case r.events <- ev:
	case <-r.done:
	}
}

// Query runs fn with the state between two reductions and waits for it. fn must
// not keep the state. It returns false, without having run fn, after Run has
// returned and when ctx ends before fn has started.
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

// Load returns the number of reductions and the time spent in them.
func (r *Reactor) Load() (steps int64, busy time.Duration) {
	return r.steps.Load(), time.Duration(r.busy.Load())
}

// Run reduces events until ctx ends.
func (r *Reactor) Run(ctx context.Context) {
	defer close(r.done)
	ticker := r.clock.NewTicker(r.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			r.reduce(core.Tick{})
		case ev := <-r.events:
			r.reduce(ev)
		case fn := <-r.queries:
			fn(r.state, r.clock.Now())
		}
	}
}

func (r *Reactor) reduce(ev core.Event) {
	now := r.clock.Now()
	effects := core.Reduce(r.state, core.Input{Now: now, Wall: now, Seed: r.rng.Uint64(), Event: ev})
	r.steps.Add(1)
	r.busy.Add(int64(r.clock.Since(now)))
	for _, e := range effects {
		r.handler.Handle(e)
	}
}
