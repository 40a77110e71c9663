// Package app wires the I/O adapters of a router to its decision core and runs them
// as one process, from the opening of the listeners to the graceful shutdown.
package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/router/internal/ingress"
	"ragwortshunt.example/router/internal/operator"
	"ragwortshunt.example/router/internal/peer"
	"ragwortshunt.example/router/internal/reactor"
	"ragwortshunt.example/router/internal/settings"
)

// ErrApp is wrapped by all errors of this package.
var ErrApp = errors.New("router")

const (
	readHeaderTimeout = 10 * time.Second
	bodyTimeout       = 30 * time.Second // maximum time to read the body of a request
	gaugeInterval     = time.Second
)

// Router is one router process. New creates it; Run must be called once.
type Router struct {
	settings   *settings.Settings
	log        *zap.Logger
	clock      clockwork.Clock
	reactor    *reactor.Reactor
	dispatcher *Dispatcher
	adapters   Adapters
	operator   *operator.Server
	metrics    *operator.Metrics
	guard      *ingress.Guard
}

// Lifetime is the context of all outgoing calls of the adapters. It is cancelled after
// the graceful shutdown, so that calls in flight can finish while the router drains.
type Lifetime struct{ context.Context }

func newCoreConfig(s *settings.Settings, inc id.Incarnation) core.Config {
	domain, domains := s.Zone, s.Zones
	if s.Protocol == settings.ProtocolObjects {
		domain, domains = s.SchedulingDomain(), s.SchedulingDomains()
	}
	cfg := core.DefaultConfig(s.Host, inc, domain, domains)
	cfg.Address = s.PeerAddress
	cfg.AZ = s.Zone
	cfg.Member.Capacity = s.Capacity
	cfg.Limit.Groups = s.LeaseGroups
	cfg.Limit.SlotRate = s.SlotRate
	cfg.Limit.ReserveShare = s.ReserveShare
	cfg.Limit.PooledLease = s.PooledLease
	cfg.Limit.ReserveLease = s.ReserveLease
	cfg.Limit.Tolerance = limit.Tolerance{Window: s.OverrunWindow, Overrun: s.Overrun, OverrunSlack: s.OverrunSlack}
	cfg.CellEndpoints = s.CellEndpoints
	cfg.Claim.Shards = s.ClaimShards
	cfg.Claim.Retention = s.Retention
	if s.Protocol == settings.ProtocolObjects {
		applyRelayConfig(&cfg, s)
	}
	return cfg
}

// newIncarnation derives the incarnation from the wall clock (Unix time in
// milliseconds), because hosts persist nothing across a restart.
func newIncarnation(clock clockwork.Clock) id.Incarnation {
	return id.Incarnation(clock.Now().UnixMilli())
}

func newReactor(cfg core.Config, clock clockwork.Clock, log *zap.Logger) *reactor.Reactor {
	return reactor.New(cfg, clock, reactor.WithLog(log))
}

func newSender(
	lifetime Lifetime, s *settings.Settings, inc id.Incarnation, log *zap.Logger, r *reactor.Reactor,
) *peer.Sender {
	return peer.NewSender(lifetime, s.Host, inc, r, log)
}

func newMetrics(s *settings.Settings) *operator.Metrics {
	return operator.NewMetrics(s.Host, s.Zone)
}

func newOperator(r *reactor.Reactor, m *operator.Metrics) *operator.Server {
	return operator.New(r, m)
}

// Run serves until ctx ends, then shuts down gracefully: requests in progress are
// interrupted only if the shutdown takes longer than the drain timeout.
func (r *Router) Run(ctx context.Context) error {
	r.reactor.SetHandler(r.dispatcher)
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	servers, err := r.listen()
	if err != nil {
		return err
	}
	go r.reactor.Run(loopCtx)
	if r.adapters.Feed != nil {
		go r.adapters.Register(loopCtx)
		go r.adapters.Feed.Run(loopCtx)
	}
	go r.updateGauges(loopCtx)
	go r.guard.Run(loopCtx)
	r.log.Info("router: Started.", zap.String("host", string(r.settings.Host)))
	serveErrs := serve(servers)
	var until time.Time
	select {
	case err = <-serveErrs:
	case <-r.reactor.Failed():
		err = fmt.Errorf("%w: the decision core is invalid", ErrApp)
	case <-ctx.Done():
		until = r.drain(servers[callerIndex].connections)
	}
	if until.IsZero() {
		until = r.clock.Now().Add(closeTimeout)
	}
	r.close(servers, stopLoop, until)
	return err
}

// server pairs an HTTP server with the listener that it serves.
type server struct {
	http        *http.Server
	connections *connections
	streams     bool // its calls end only when one of the two sides closes them
}

// listenSpec is an address (ip:port) and the handler that is served on it.
type listenSpec struct {
	address string
	handler http.Handler
	streams bool // see server
	peers   bool // only other hosts use the address
}

// callerIndex is the index of the server for callers in the slice that listen returns.
const callerIndex = 0

// listen opens all addresses of this host. The server for callers is at callerIndex.
// On error, no listener stays open.
func (r *Router) listen() ([]server, error) {
	h2c := new(http.Protocols)
	h2c.SetHTTP1(true)
	h2c.SetUnencryptedHTTP2(true)
	specs := []listenSpec{
		{address: r.settings.CallerAddress, handler: r.guard.Handler(r.adapters.Caller.Handler(),
			ingress.WithRefusal(r.adapters.Caller.Refuse), ingress.WithBodyTime(r.adapters.BodyTime))},
		{address: r.settings.OperatorAddress, handler: r.guard.Handler(r.operator.Handler(), ingress.WithoutBodies())},
		{address: r.settings.PeerAddress, handler: peer.NewHandler(r.reactor), streams: true, peers: true},
	}
	if r.adapters.Ready != nil {
		ready := r.guard.Handler(whileHealthy(r.reactor, r.adapters.Ready), ingress.WithoutBodies())
		specs = append(specs, listenSpec{address: r.settings.ReadyAddress, handler: ready})
	}
	errorLog, err := zap.NewStdLogAt(r.log, zap.WarnLevel)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrApp, err)
	}
	var out []server
	for _, sp := range specs {
		l, err := net.Listen("tcp", sp.address)
		if err != nil {
			closeListeners(out)
			return nil, fmt.Errorf("%w: %w", ErrApp, err)
		}
		if !sp.peers {
			l = r.guard.Listen(l)
		}
		conns := newConnections(l)
		s := &http.Server{
			Handler: sp.handler, Protocols: h2c, ReadHeaderTimeout: readHeaderTimeout,
			ErrorLog: errorLog, ConnState: conns.stateChanged, DisableGeneralOptionsHandler: true,
		}
		if !sp.peers {
			r.guardServer(s, conns)
		}
		out = append(out, server{http: s, connections: conns, streams: sp.streams})
	}
	return out, nil
}

// whileHealthy returns a readiness check that fails while the decision core is not healthy.
func whileHealthy(c *reactor.Reactor, ready http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !c.Healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ready.ServeHTTP(w, req)
	})
}

func closeListeners(servers []server) {
	for _, s := range servers {
		_ = s.connections.Close()
	}
}

// serve starts all servers. The returned channel receives an error for each server that
// fails; it receives nothing for a server that is shut down.
func serve(servers []server) <-chan error {
	serveErrs := make(chan error, len(servers))
	for _, s := range servers {
		go func() {
			if err := s.http.Serve(s.connections); !errors.Is(err, http.ErrServerClosed) {
				serveErrs <- fmt.Errorf("%w: serve: %w", ErrApp, err)
			}
		}()
	}
	return serveErrs
}

func (r *Router) updateGauges(ctx context.Context) {
	ticker := r.clock.NewTicker(gaugeInterval)
	defer ticker.Stop()
	levels := levelGauges{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			processed, busy := r.reactor.Load()
			r.metrics.Gauge("decision-events", float64(processed))
			r.metrics.Gauge("decision-seconds", busy.Seconds())
			r.metrics.Gauge("open-requests", float64(r.adapters.Caller.ActiveRequests()))
			levels.update(ctx, r)
			r.updateFeedGauges()
			r.updateEndpointGauges(ctx)
			r.updateIngressGauges()
		}
	}
}

// updateFeedGauges updates the gauges of deployments whose zones may be evacuated or whose
// endpoints are limited while they are cold.
func (r *Router) updateFeedGauges() {
	if r.adapters.Feed == nil {
		return
	}
	if r.settings.Evacuation > 0 {
		r.metrics.Gauge("evacuated-zones", float64(r.adapters.Feed.EvacuatedZones()))
	}
	if r.settings.ColdOverrun > 0 {
		r.metrics.Gauge("cold-endpoints", float64(r.adapters.Feed.ColdEndpoints()))
	}
}

// updateEndpointGauges sets the gauges of the endpoints of plain services.
func (r *Router) updateEndpointGauges(ctx context.Context) {
	if !r.settings.Pace {
		return
	}
	var paces map[id.Endpoint]message.EndpointPace
	r.reactor.Query(ctx, func(st *core.State, now time.Time) { paces = core.ServicePaces(st, now) })
	var times, failures []operator.EndpointValue
	for ep, p := range paces {
		times = append(times, operator.EndpointValue{Endpoint: ep, Value: p.ServiceTime.Seconds()})
		failures = append(failures, operator.EndpointValue{Endpoint: ep, Value: p.FailureRate})
	}
	r.metrics.EndpointGauges("endpoint-service-time", times)
	r.metrics.EndpointGauges("endpoint-failure-rate", failures)
}
