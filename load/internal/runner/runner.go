// Package runner sends the requests of a workload at their times.
package runner

import (
	"context"
	"sync"
	"time"

	"ragwortshunt.example/load/internal/caller"
	"ragwortshunt.example/load/internal/stats"
	"ragwortshunt.example/load/internal/workload"
)

// maxInFlight bounds the requests that are under way at once. Above it, a flow
// waits.
const maxInFlight = 20_000

// Options are the parameters of one run.
type Options struct {
	Workload workload.Workload
	Routers  []string      // base URLs
	Duration time.Duration // during which requests are sent
	Timeout  time.Duration // of one request
	Drain    time.Duration // longest wait for running requests at the end
	Seed     uint64
	Run      string        // keeps the idempotency keys of different runs apart
	Observe  func(Outcome) // gets the end of each request, concurrently; may be nil
}

// Outcome is the end of one request.
type Outcome struct {
	Request workload.Request
	Result  caller.Result
	Sent    time.Time
	Ended   time.Time
}

// Run sends the requests until the duration is over or ctx ends, and returns
// what it measured. Requests that are running when ctx ends are stopped.
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
	stopOnEnd := context.AfterFunc(ctx, func() { stopCalls(caller.ErrStopped) })
	defer stopOnEnd()

	sending, stopSending := context.WithTimeout(ctx, opts.Duration)
	defer stopSending()
	var flows sync.WaitGroup
	for i := range opts.Workload.Flows {
		flows.Go(func() { r.flow(sending, calls, i) })
	}
	flows.Wait()
	elapsed := time.Since(r.start)
	drain := time.AfterFunc(opts.Drain, func() { stopCalls(caller.ErrStopped) })
	defer drain.Stop()
	r.calls.Wait()
	return r.results.Report(opts.Seed, elapsed)
}

type run struct {
	opts    Options
	client  *caller.Client
	results *stats.Collector
	slots   chan struct{}
	start   time.Time
	calls   sync.WaitGroup
}

// flow starts the requests of one flow at their times until sending ends.
func (r *run) flow(sending, calls context.Context, index int) {
	f := &r.opts.Workload.Flows[index]
	schedule := workload.NewSchedule(f, index, r.opts.Seed, r.opts.Run)
	for {
		request, ok := schedule.Next()
		if !ok || request.At >= r.opts.Duration || !r.wait(sending, request.At) {
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

// wait returns at the given time since the start, or false if ctx ends before.
func (r *run) wait(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

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
