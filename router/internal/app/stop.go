package app

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
)

const (
	// closeTimeout is how long open calls may go on when a server is closed. Those of callers have
	// it after the drain timeout, if the process is not killed then.
	closeTimeout = 2 * time.Second
	// keepAliveGrace is how long callers may use their open connections after the listener has
	// been closed.
	keepAliveGrace = time.Second
	// balancerDelay is the time that the platform's load balancer needs to take this
	// host out of rotation: it checks readiness once a second and acts on the second
	// failed check.
	balancerDelay = 2200 * time.Millisecond
	// maxBalancerPercent is the percentage of a short drain timeout that balancerDelay may take.
	maxBalancerPercent = 60
	// The last parts of the drain timeout, each up to its end. From endTime on the decision
	// core ends the requests that are open, the last ones 250 ms later. From connectionsTime on
	// callers can send no more requests.
	endTime         = 500 * time.Millisecond
	connectionsTime = 200 * time.Millisecond
)

// drain waits until the decision core has finished its requests and has handed over
// its rate shares. Then it closes the listener for callers and gives callers with an
// open connection time to close it. It returns the time until which the last requests may go on;
// the process may be killed before.
func (r *Router) drain(callers *connections) time.Time {
	r.log.Info("router: Shutdown has begun.")
	limit := r.clock.Now().Add(r.settings.DrainTimeout)
	requestsEnd := limit.Add(-endTime)
	r.reactor.Post(core.StopAnnounced{Within: requestsEnd.Sub(r.clock.Now())})
	r.adapters.Caller.Drain()
	if r.adapters.Ready != nil {
		r.clock.Sleep(min(balancerDelay, (r.settings.DrainTimeout-endTime)*maxBalancerPercent/100))
	}
	r.reactor.Post(core.DrainRequested{Within: requestsEnd.Sub(r.clock.Now())})
	connectionsEnd := limit.Add(-connectionsTime)
	deadline := r.clock.NewTimer(connectionsEnd.Sub(r.clock.Now()))
	defer deadline.Stop()
	select {
	case <-r.dispatcher.Stopped():
	case <-deadline.Chan():
		r.log.Warn("router: Drain timeout has passed.", zap.Int("requests", r.adapters.Caller.ActiveRequests()))
	}
	if err := callers.Close(); err != nil {
		r.log.Warn("router: Listener for callers was not closed.", zap.Error(err))
	}
	r.clock.Sleep(min(keepAliveGrace, connectionsEnd.Sub(r.clock.Now())))
	return limit.Add(closeTimeout)
}

// close shuts the servers down until the given time. The server for callers is shut down
// first, while the decision core can still answer their requests. Then the decision core
// stops, so that this host sends no heartbeat while its peer address refuses connections.
func (r *Router) close(servers []server, stopLoop func(), until time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), max(until.Sub(r.clock.Now()), 0))
	defer cancel()
	callers := servers[callerIndex]
	_ = callers.connections.Close() // after an error it is still open
	callers.connections.closeIdle(ctx)
	callers.close(ctx)
	stopLoop()
	others, cancelOthers := context.WithTimeout(ctx, closeTimeout)
	defer cancelOthers()
	for _, s := range servers[callerIndex+1:] {
		s.close(others)
	}
	if err := r.metrics.Close(); err != nil {
		r.log.Warn("router: Metrics were not closed.", zap.Error(err))
	}
	r.log.Info("router: Stopped.")
}

// close stops a server. Its calls may finish until ctx ends, unless they are streams.
func (s server) close(ctx context.Context) {
	if !s.streams && s.http.Shutdown(ctx) == nil {
		return
	}
	_ = s.http.Close()
}
