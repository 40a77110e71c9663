// Package ingress keeps what clients can make a host hold within its limits: it counts connections,
// heads, bodies and unread answers against one budget, and ends requests that make no progress.
//
// A Guard wraps the listeners and the handlers of the addresses that clients can reach. Which
// connection is given up when memory or descriptors run short is decided by fleet/ingress.
package ingress

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"ragwortshunt.example/platform/exchange"
)

// Limits bound what one client may send. They may change while the host runs.
type Limits struct {
	HeaderBytes   int64         // of a head, with its request line
	HeaderTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout   time.Duration // without a request, without progress of a body, or with an unread answer
}

// The limits that apply until the configuration sets others. They are those of the users' platform.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultHeaderTimeout = 3 * time.Second
	DefaultIdleTimeout   = 15 * time.Second
)

// The limits that don't change.
const (
	// sweepInterval is the time between two looks at the timeouts of connections.
	sweepInterval = 250 * time.Millisecond
	// readQueue and writeQueue are the sizes of the kernel's queues of a connection, in bytes. The
	// kernel doubles them. They are filled by what clients send unasked and do not read. With a read
	// queue of 16 KB, smaller than a segment on loopback, bodies of 4 MB stalled for more than 20 s.
	readQueue  = 64 << 10
	writeQueue = 16 << 10
	// queueBytes is what the kernel may hold of a connection with a request.
	queueBytes = readQueue
	// fieldBytes is what a field of a head costs beside its text: 16 bytes for its value, which is
	// copied several times while the list of the values grows, and again for the endpoint.
	fieldBytes = 96
	// lastField is the part of a field's text that is neither name nor value: ":" and line end.
	lastField = len(":\r\n")
)

// Guard counts the clients of a host. Use New to create one. It is safe for concurrent use.
type Guard struct {
	budget *exchange.Budget
	clock  clockwork.Clock
	log    *zap.Logger
	limits atomic.Pointer[Limits]

	mu    sync.Mutex
	conns map[*Conn]struct{}

	maxRequests int64
	requests    atomic.Int64 // in progress

	timedOut atomic.Int64 // connections closed at a timeout
	tooLarge atomic.Int64 // heads over the limit
}

// Option changes a Guard in New.
type Option func(*Guard)

// WithRequests limits the requests in progress, each of which may need a connection to
// an endpoint.
func WithRequests(n int) Option {
	return func(g *Guard) { g.maxRequests = int64(n) }
}

// New returns a guard with the default limits.
func New(budget *exchange.Budget, clock clockwork.Clock, log *zap.Logger, opts ...Option) *Guard {
	g := &Guard{budget: budget, clock: clock, log: log, conns: make(map[*Conn]struct{}), maxRequests: math.MaxInt64}
	for _, o := range opts {
		o(g)
	}
	g.SetLimits(Limits{})
	return g
}

// SetLimits sets the limits, also for open connections. A value that is not positive means its
// default.
func (g *Guard) SetLimits(l Limits) {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	g.limits.Store(&l)
}

// Usage is what clients hold and how often limits were met since the start.
type Usage struct {
	exchange.Counts
	Bytes       int64 // held
	Connections int   // open
	TimedOut    int64 // connections closed at a timeout
	TooLarge    int64 // heads over the limit
}

// Usage returns what clients hold.
func (g *Guard) Usage() Usage {
	bytes, open, counts := g.budget.Usage()
	return Usage{Counts: counts, Bytes: bytes, Connections: open, TimedOut: g.timedOut.Load(), TooLarge: g.tooLarge.Load()}
}

// Listen returns a listener whose connections are counted. One for which there is no room is reset.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept waits for a connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(accepted); c != nil {
			return c, nil
		}
	}
}

// open counts a connection. It returns nil, and resets the connection, if there is no room.
func (g *Guard) open(accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, guard: g, since: g.clock.Now()}
	address, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
	client, ok := g.budget.Open(address, c.giveUp)
	if !ok {
		c.reset()
		return nil
	}
	c.client = client
	c.setQueues()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// unwrap returns the guarded connection below a connection of a server, or nil.
func unwrap(nc net.Conn) *Conn {
	for nc != nil {
		if c, ok := nc.(*Conn); ok {
			return c
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = wrapper.NetConn()
	}
	return nil
}

type connKey struct{}

// ConnContext is the http.Server.ConnContext hook of the servers that use the guard.
func (g *Guard) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c := unwrap(nc)
	if c == nil {
		return ctx
	}
	return exchange.WithClient(context.WithValue(ctx, connKey{}, c), c.client)
}

// StateChanged must be called from the http.Server.ConnState hook of the servers that use the guard.
func (g *Guard) StateChanged(nc net.Conn, state http.ConnState) {
	if c := unwrap(nc); c != nil && state == http.StateIdle {
		c.becomeIdle()
	}
}

// Run ends what makes no progress, until ctx ends. It writes a line about limits that were met, at
// most one in each interval.
func (g *Guard) Run(ctx context.Context) {
	ticker := g.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	logged := g.Usage()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		g.sweep()
		if n%logEvery == 0 {
			logged = g.report(logged)
		}
	}
}

// logEvery is the number of sweeps between two lines of the log.
const logEvery = 8

func (g *Guard) sweep() {
	g.mu.Lock()
	conns := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	now, limits := g.clock.Now(), g.limits.Load()
	for _, c := range conns {
		if c.expire(now, limits) {
			g.timedOut.Add(1)
		}
	}
}

// report logs the limits that were met since the last line, and returns the present usage.
func (g *Guard) report(last Usage) Usage {
	u := g.Usage()
	if u.Counts == last.Counts && u.TimedOut == last.TimedOut && u.TooLarge == last.TooLarge {
		return u
	}
	g.log.Warn("ingress: Limits for clients were met.",
		zap.Int64("evicted", u.Evicted-last.Evicted), zap.Int64("refused", u.Refused-last.Refused),
		zap.Int64("rejected", u.Rejected-last.Rejected), zap.Int64("timed-out", u.TimedOut-last.TimedOut),
		zap.Int64("heads-too-large", u.TooLarge-last.TooLarge),
		zap.Int64("bodies-too-large", u.BodiesTooLarge-last.BodiesTooLarge),
		zap.Int64("bodies-timed-out", u.BodiesTimedOut-last.BodiesTimedOut),
		zap.Int("connections", u.Connections), zap.Int64("bytes", u.Bytes))
	return u
}
