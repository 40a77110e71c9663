package reactor

import (
	"fmt"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// A host that panics maxPanics times within panicWindow is not healthy: it does not get out
// of the error by itself, and other hosts should get its callers.
const (
	maxPanics   = 3
	panicWindow = 10 * time.Second
)

// WithLog sets the log for panics. Without it they are not logged.
func WithLog(l *zap.Logger) Option {
	return func(r *Reactor) { r.log = l }
}

// Healthy reports whether few events of the last panicWindow have panicked.
func (r *Reactor) Healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.panics) < maxPanics || r.clock.Since(r.panics[len(r.panics)-maxPanics]) > panicWindow
}

// Failed returns a channel that is closed when a panic has left the state of the decision
// core invalid. The process must then be started anew.
func (r *Reactor) Failed() <-chan struct{} { return r.failed }

// recoverStep handles a panic while an event was handled. The event is dropped with all of
// its effects that have not been executed, and its request is aborted; the other requests
// go on. It must be deferred.
func (r *Reactor) recoverStep(ev core.Event) {
	v := recover()
	if v == nil {
		return
	}
	req := core.RequestOf(ev)
	r.log.Error("reactor: Event panicked.", zap.String("event", fmt.Sprintf("%T", ev)),
		zap.String("request-id", string(req)), zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
	r.recordPanic()
	if req != "" {
		r.abort(req)
	}
	if err := core.Check(r.state); err != nil {
		r.fail(err)
	}
}

// recordPanic remembers the time of the last panics.
func (r *Reactor) recordPanic() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.panics = append(r.panics, r.clock.Now())
	r.panics = r.panics[max(len(r.panics)-maxPanics, 0):]
}

// fail reports that the state of the decision core is invalid.
func (r *Reactor) fail(err error) {
	r.log.Error("reactor: State is invalid after a panic.", zap.Error(err))
	r.failOnce.Do(func() { close(r.failed) })
}

// abort ends a request whose event has panicked.
func (r *Reactor) abort(req id.Request) {
	defer func() {
		if v := recover(); v != nil {
			r.fail(fmt.Errorf("abort of request %s: %v", req, v))
		}
	}()
	now := r.clock.Now()
	for _, e := range core.Abort(r.state, core.Input{Now: now, Wall: now, Seed: r.rng.Uint64()}, req) {
		r.handler.Handle(e)
	}
}
