// Package app connects the shells of a router with its decision core and runs
// them as one process.
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
	"ragwortshunt.example/router/internal/operator"
	"ragwortshunt.example/router/internal/peer"
	"ragwortshunt.example/router/internal/reactor"
	"ragwortshunt.example/router/internal/settings"
)

// ErrApp is the base of the errors of this package.
var ErrApp = errors.New("router")

const (
	readHeaderTimeout = 10 * time.Second
	bodyTimeout       = 30 * time.Second // of a caller
	closeTimeout      = 2 * time.Second
	lingerTime        = time.Second // callers may use the connection of the last answer again
	gaugeInterval     = time.Second
	balancerNotice    = 2200 * time.Millisecond // the balancer asks for readiness once a second and needs two misses
)

// Router is one router process.
type Router struct {
	settings *settings.Settings
	log      *zap.Logger
	clock    clockwork.Clock
	reactor  *reactor.Reactor
	dispatch *Dispatcher
	shells   Shells
	operator *operator.Server
	metrics  *operator.Metrics
}

// Lifetime is the context of the calls that the shells make. It ends after the
// graceful shutdown.
type Lifetime struct{ context.Context }

func newCoreConfig(s *settings.Settings, inc id.Incarnation) core.Config {
	domain, domains := s.Zone, s.Zones
	if s.Protocol == settings.ProtocolObjects {
		domain, domains = s.SchedulingDomain(), s.SchedulingDomains()
	}
	cfg := core.DefaultConfig(s.Host, inc, domain, domains)
	cfg.Address = s.PeerAddress
	cfg.AZ = s.Zone
	cfg.Limit.Groups = s.LeaseGroups
	cfg.Limit.SlotRate = s.SlotRate
	cfg.Limit.ReserveShare = s.ReserveShare
	cfg.Limit.PooledLease = s.PooledLease
	cfg.Limit.ReserveLease = s.ReserveLease
	cfg.Limit.Tolerance = limit.Tolerance{Window: s.OverrunWindow, Overrun: s.Overrun, Slack: s.Slack}
	cfg.CellEndpoints = s.CellEndpoints
	cfg.Claim.Shards = s.ClaimShards
	cfg.Claim.Retention = s.Retention
	if s.Protocol == settings.ProtocolObjects {
		relayConfig(&cfg, s)
	}
	return cfg
}

// newIncarnation derives the incarnation from the wall clock: hosts keep nothing
// over a restart.
func newIncarnation(clock clockwork.Clock) id.Incarnation {
	return id.Incarnation(clock.Now().UnixMilli())
}

func newReactor(cfg core.Config, clock clockwork.Clock) *reactor.Reactor {
	return reactor.New(cfg, clock)
}

func newSender(life Lifetime, s *settings.Settings, inc id.Incarnation, r *reactor.Reactor) *peer.Sender {
	return peer.NewSender(life, s.Host, inc, r)
}

func newMetrics(s *settings.Settings) *operator.Metrics {
	return operator.NewMetrics(s.Host, s.Zone)
}

func newOperator(r *reactor.Reactor, m *operator.Metrics) *operator.Server {
	return operator.New(r, m)
}

// Run serves until ctx ends, then shuts down gracefully: no request is cut
// unless the shutdown takes longer than the drain timeout.
func (r *Router) Run(ctx context.Context) error {
	r.reactor.SetHandler(r.dispatch)
	loop, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	servers, err := r.listen()
	if err != nil {
		return err
	}
	go r.reactor.Run(loop)
	if r.shells.Feed != nil {
		go r.shells.Register(loop)
		go r.shells.Feed.Run(loop)
	}
	go r.updateGauges(loop)
	r.log.Info("router: Started.", zap.String("host", string(r.settings.Host)))
	failed := serve(servers)
	select {
	case err = <-failed:
	case <-ctx.Done():
		r.drain(servers[callerIndex].listener)
	}
	r.close(servers, stopLoop)
	return err
}

// server is one listener with its HTTP server.
type server struct {
	http     *http.Server
	listener net.Listener
}

// listenSpec is an address with what it serves.
type listenSpec struct {
	address string
	handler http.Handler
}

// callerIndex is the index of the server for callers in the result of listen.
const callerIndex = 0

// listen opens the addresses, that of the callers first.
func (r *Router) listen() ([]server, error) {
	h2c := new(http.Protocols)
	h2c.SetHTTP1(true)
	h2c.SetUnencryptedHTTP2(true)
	specs := []listenSpec{
		{r.settings.CallerAddress, r.shells.Caller.Handler()},
		{r.settings.OperatorAddress, r.operator.Handler()},
		{r.settings.PeerAddress, peer.NewHandler(r.reactor)},
	}
	if r.shells.Ready != nil {
		specs = append(specs, listenSpec{r.settings.ReadyAddress, r.shells.Ready})
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
		out = append(out, server{
			http: &http.Server{
				Handler: sp.handler, Protocols: h2c, ReadHeaderTimeout: readHeaderTimeout,
				ErrorLog: errorLog,
			},
			listener: l,
		})
	}
	return out, nil
}

func closeListeners(servers []server) {
	for _, s := range servers {
		_ = s.listener.Close()
	}
}

func serve(servers []server) <-chan error {
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() {
			if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("%w: serve: %w", ErrApp, err)
			}
		}()
	}
	return failed
}

// drain waits until the decision core has finished its requests and handed over
// its shares. Then it takes no more connections of callers, and lets those that
// have a connection give it up.
func (r *Router) drain(callers net.Listener) {
	r.log.Info("router: Shutdown has begun.")
	r.shells.Caller.Drain()
	if r.shells.Ready != nil {
		r.clock.Sleep(balancerNotice)
	}
	r.reactor.Post(core.DrainRequested{})
	deadline := r.clock.NewTimer(r.settings.DrainTimeout)
	defer deadline.Stop()
	select {
	case <-r.dispatch.Stopped():
		if err := callers.Close(); err != nil {
			r.log.Warn("router: Listener for callers was not closed.", zap.Error(err))
		}
		r.clock.Sleep(lingerTime)
		r.waitCallers()
	case <-deadline.Chan():
		r.log.Warn("router: Drain timeout has passed.", zap.Int("requests", r.shells.Caller.Busy()))
	}
}

// waitCallers waits until the last answers have been written.
func (r *Router) waitCallers() {
	for range 100 {
		if r.shells.Caller.Busy() == 0 {
			return
		}
		r.clock.Sleep(closeTimeout / 100)
	}
}

// close ends the servers. Callers come first, while the decision core can still
// refuse their requests. Then the decision core stops, so that this host sends
// no heartbeat while its peer address refuses connections.
func (r *Router) close(servers []server, stopLoop func()) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for i, s := range servers {
		if err := s.http.Shutdown(ctx); err != nil {
			_ = s.http.Close()
		}
		if i == callerIndex {
			stopLoop()
		}
	}
	if err := r.metrics.Close(); err != nil {
		r.log.Warn("router: Metrics were not closed.", zap.Error(err))
	}
	r.log.Info("router: Stopped.")
}

func (r *Router) updateGauges(ctx context.Context) {
	ticker := r.clock.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			steps, busy := r.reactor.Load()
			r.metrics.Gauge("decision-events", float64(steps))
			r.metrics.Gauge("decision-seconds", busy.Seconds())
			r.metrics.Gauge("open-requests", float64(r.shells.Caller.Busy()))
		}
	}
}
