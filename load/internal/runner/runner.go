// Package runner sends the requests of a workload at their scheduled times and collects
// the results. The load is open-loop: a slow reply does not delay later requests, up to
// a bound on the requests in flight.
package runner

import (
	"context"
	"sync"
	"time"

	"ragwortshunt.example/load/internal/caller"
	"ragwortshunt.example/load/internal/stats"
	"ragwortshunt.example/load/internal/workload"
)

// maxInFlight is the maximum number of requests in flight. When it is reached, flows
// wait before they send.
const maxInFlight = 20_000

// Options are the parameters of one run.
type Options struct {
	Workload workload.Workload
	Routers  []string      // base URLs
	Duration time.Duration // during which requests are sent
	Timeout  time.Duration // of one request
	Drain    time.Duration // maximum wait for requests in flight after sending ends
	Seed     uint64        // of arrivals, sizes and prompts
	Run      string        // ID of the run; part of the idempotency keys, which must differ between runs
	Observe  func(Outcome) // called concurrently for each finished request; may be nil
}

// Outcome is one finished request with its result.
type Outcome struct {
	Request workload.Request
	Result  caller.Result
	Sent    time.Time
	Ended   time.Time
}

// Run sends requests until the duration is over or ctx is done, and returns the
// report. It cancels the requests in flight when ctx is done, or when Options.Drain has
// passed since sending ended.
func Run(ctx context.Context, opts Options) stats.Report {
	r := &run{
		opts:    opts,
		client:  caller.New(opts.Routers, opts.Workload.Accounts),
		results: stats.New(),
		slots:   make(chan struct{}, maxInFlight),
		start:   time.Now(),
	}
	calls, stopCalls := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stopCalls(nil)
	stopAfterFunc := context.AfterFunc(ctx, func() { stopCalls(caller.ErrStopped) })
	defer stopAfterFunc()

	sending, stopSending := context.WithTimeout(ctx, opts.Duration)
	defer stopSending()
	var flows sync.WaitGroup
	for i := range opts.Workload.Flows {
		flows.Go(func() { r.runFlow(sending, calls, i) })
	}
	flows.Wait()
	elapsed := time.Since(r.start)
	drainTimer := time.AfterFunc(opts.Drain, func() { stopCalls(caller.ErrStopped) })
	defer drainTimer.Stop()
	r.calls.Wait()
	return r.results.Report(opts.Seed, elapsed)
}

// run is the state of one call of Run.
type run struct {
	opts    Options
	client  *caller.Client
	results *stats.Collector
	slots   chan struct{} // semaphore; holds one element per request in flight
	start   time.Time
	calls   sync.WaitGroup
}

// runFlow sends the requests of one flow at their scheduled times until sending is
// done. calls is the context of the requests.
func (r *run) runFlow(sending, calls context.Context, index int) {
	f := &r.opts.Workload.Flows[index]
	schedule := workload.NewSchedule(f, index, r.opts.Seed, r.opts.Run)
	for {
		request, ok := schedule.Next()
		if !ok || request.At >= r.opts.Duration || !r.waitUntil(sending, request.At) {
			return
		}
		select {
		case r.slots <- struct{}{}:
		case <-sending.Done():
			return
		}
		r.calls.Go(func() {
			defer func() { <-r.slots }()
			r.call(calls, request)
		})
	}
}

// waitUntil waits until at after the start of the run. It returns false if ctx is done
// first.
func (r *run) waitUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call sends one request and records its result.
func (r *run) call(ctx context.Context, request workload.Request) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	sent := time.Now()
	result := r.client.Do(ctx, request)
	r.results.Add(request.Flow, result)
	if r.opts.Observe != nil {
		r.opts.Observe(Outcome{Request: request, Result: result, Sent: sent, Ended: time.Now()})
	}
}
