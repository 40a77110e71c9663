package reactor_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/router/internal/reactor"
)

// effects is a Handler that queues all effects.
type effects chan core.Effect

func (e effects) Handle(ef core.Effect) { e <- ef }

func newReactor() (*reactor.Reactor, effects, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	out := make(effects, 4096)
	r := reactor.New(core.DefaultConfig("h-1", 1, "a", []id.Zone{"a"}), clock, reactor.WithSeed(1))
	r.SetHandler(out)
	return r, out, clock
}

// TestRun guards against an event loop that doesn't process events or ticks, or that
// doesn't stop: Post and Query must return after the end of Run.
func TestRun(t *testing.T) {
	r, out, clock := newReactor()
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.Run(ctx)
	}()
	r.Post(core.RequestArrived{Request: "r-1", Route: "x"})
	refuse, ok := (<-out).(core.Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refuse.Code, core.CodeNoTable)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(core.DefaultTickInterval)
	for {
		if _, ok := (<-out).(core.ListHosts); ok {
			break
		}
	}
	var now time.Time
	assert.Assert(t, r.Query(t.Context(), func(_ *core.State, at time.Time) { now = at }))
	assert.Equal(t, now, clock.Now())
	processed, _ := r.Load()
	assert.Equal(t, processed, int64(2))
	cancel()
	<-stopped
	r.Post(core.Tick{}) // must not block
	assert.Assert(t, !r.Query(t.Context(), func(*core.State, time.Time) { t.Error("query ran after the end of Run") }))
}

// TestQueryContextEnds guards against health checks that block as long as the decision
// core is stuck.
func TestQueryContextEnds(t *testing.T) {
	r, _, _ := newReactor() // Run is not called, as if the event loop were stuck
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !r.Query(ctx, func(*core.State, time.Time) { t.Error("query ran") }))
}

// faulty is a Handler that panics on the refusals of some requests.
type faulty struct {
	effects
	panics map[id.Request]int // how often it still panics
}

func (f *faulty) Handle(e core.Effect) {
	if refuse, ok := e.(core.Refuse); ok && f.panics[refuse.Request] > 0 {
		f.panics[refuse.Request]--
		panic("unexpected")
	}
	f.effects.Handle(e)
}

// nextRefusal returns the next refusal.
func (e effects) nextRefusal() core.Refuse {
	for {
		if refuse, ok := (<-e).(core.Refuse); ok {
			return refuse
		}
	}
}

// TestPanic guards against an unexpected error with one request that ends the whole
// process, leaves that request without an answer or calls it not run.
func TestPanic(t *testing.T) {
	r, out, clock := newReactor()
	r.SetHandler(&faulty{effects: out, panics: map[id.Request]int{"r-1": 1, "r-3": 3}})
	go r.Run(t.Context())
	r.Post(core.RequestArrived{Request: "r-1", Route: "x"})
	r.Post(core.RequestArrived{Request: "r-2", Route: "x"})
	first := out.nextRefusal()
	assert.Equal(t, first.Request, id.Request("r-1"))
	assert.Equal(t, first.Code, core.CodeInternal)
	assert.Assert(t, !first.NotRun)
	assert.Equal(t, out.nextRefusal().Request, id.Request("r-2"))
	assert.Assert(t, r.Healthy())
	select {
	case <-r.Failed():
		t.Fatal("the state is valid")
	default:
	}

	for range 3 {
		r.Post(core.RequestArrived{Request: "r-3", Route: "x"})
	}
	for range 2 {
		assert.Equal(t, out.nextRefusal().Request, id.Request("r-3"))
	}
	<-r.Failed() // the abort of the first event has panicked, too
	assert.Assert(t, !r.Healthy())
	clock.Advance(time.Minute)
	assert.Assert(t, r.Healthy())
}

// awaitEvents waits until the reactor has processed n events.
func awaitEvents(t *testing.T, r *reactor.Reactor, n int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if processed, _ := r.Load(); processed == n {
			return
		}
		assert.Assert(t, time.Now().Before(end))
	}
}

// TestTickInterval guards against an idle host that wakes up as often as a busy one, and
// against one that becomes busy and still waits for the rare tick.
func TestTickInterval(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := core.DefaultConfig("h-1", 1, "a", []id.Zone{"a"})
	cfg.IdleTick = 10 * cfg.TickInterval
	r := reactor.New(cfg, clock, reactor.WithSeed(1))
	r.SetHandler(make(effects, 4096))
	go r.Run(t.Context())
	advance := func() {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(cfg.TickInterval)
	}
	for range 9 {
		advance()
	}
	assert.Assert(t, r.Query(t.Context(), func(*core.State, time.Time) {}))
	awaitEvents(t, r, 0)
	advance()
	awaitEvents(t, r, 1)
	r.Post(core.DrainRequested{})
	awaitEvents(t, r, 2)
	advance()
	awaitEvents(t, r, 3)
}
