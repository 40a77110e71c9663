package app

import (
	"net"
	"net/http"
	"syscall"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"ragwortshunt.example/platform/exchange"
	objectwire "ragwortshunt.example/platform/wire"
	"ragwortshunt.example/router/internal/ingress"
	"ragwortshunt.example/router/internal/settings"
)

const (
	// exchangeShare is the part of a machine's memory that clients may fill: their connections,
	// requests and responses.
	exchangeShare = 0.25
	// fileReserve is the number of descriptors that are not for connections.
	fileReserve = 200
	// connectionShare is the part of the descriptors that connections of clients may have. As many
	// are for the connections to endpoints that their requests need, and the rest for peers and
	// the store.
	connectionShare = 0.4
	// minConnections is the number of connections of clients on a machine with few descriptors.
	minConnections = 16
)

// The limits of HTTP/2, and of heads that no configuration exceeds.
const (
	// maxHeadBytes is the largest head that a server reads. HTTP/2 counts 32 bytes more for each
	// field, so that the smallest field of HTTP/1.1, of 4 bytes, is one of 33 there.
	maxHeadBytes     = 9 * ingress.DefaultHeaderBytes
	maxStreams       = 100       // concurrent requests of one connection
	streamQueueBytes = 64 << 10  // unread bytes of one body
	http2QueueBytes  = 128 << 10 // unread bytes of all bodies of one connection
)

// newBudget returns the budget of all clients of this host.
func newBudget(s *settings.Settings, clock clockwork.Clock) *exchange.Budget {
	opts := []exchange.BudgetOption{exchange.WithConnections(maxConnections(s.MaxOpenFiles)), exchange.WithNow(clock.Now)}
	if s.MachineMemory == 0 {
		opts = append(opts, exchange.WithoutConnectionMemory())
	}
	return exchange.NewBudget(exchangeMemory(s.MachineMemory), opts...)
}

func newGuard(s *settings.Settings, budget *exchange.Budget, clock clockwork.Clock, log *zap.Logger) *ingress.Guard {
	return ingress.New(budget, clock, log, ingress.WithRequests(maxConnections(s.MaxOpenFiles)))
}

// exchangeMemory returns the memory for clients in bytes, for a machine with megabytes of memory.
func exchangeMemory(megabytes int64) int64 {
	if megabytes <= 0 {
		return exchange.DefaultMemory
	}
	return int64(float64(megabytes<<20) * exchangeShare)
}

// maxConnections returns the number of connections of clients, for a number of descriptors. If that
// is 0, it is the limit of the process.
func maxConnections(descriptors int64) int {
	if descriptors <= 0 {
		descriptors = processDescriptors()
	}
	return max(int(float64(descriptors-fileReserve)*connectionShare), minConnections)
}

// maxDescriptors bounds the number that is taken from a process without a limit.
const maxDescriptors = 1 << 20

func processDescriptors() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int64(min(limit.Cur, maxDescriptors))
}

// callerLimits returns the limits of a configuration.
func callerLimits(l objectwire.Limits) ingress.Limits {
	return ingress.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// guardServer makes a server that clients can reach count what they send.
func (r *Router) guardServer(s *http.Server, conns *connections) {
	s.ReadHeaderTimeout = 0 // the guard has a timeout that can change
	s.MaxHeaderBytes = maxHeadBytes
	s.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: streamQueueBytes,
		MaxReceiveBufferPerConnection: http2QueueBytes,
	}
	s.ConnContext = r.guard.ConnContext
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		conns.stateChanged(nc, state)
		r.guard.StateChanged(nc, state)
	}
}

func (r *Router) updateIngressGauges() {
	u := r.guard.Usage()
	r.metrics.Gauge("client-bytes", float64(u.Bytes))
	r.metrics.Gauge("client-connections", float64(u.Connections))
	r.metrics.Gauge("client-evicted", float64(u.Evicted))
	r.metrics.Gauge("client-refused", float64(u.Refused))
	r.metrics.Gauge("client-rejected", float64(u.Rejected))
	r.metrics.Gauge("client-timed-out", float64(u.TimedOut))
	r.metrics.Gauge("client-heads-too-large", float64(u.TooLarge))
	r.metrics.Gauge("client-bodies-timed-out", float64(u.BodiesTimedOut))
	r.metrics.Gauge("client-bodies-too-large", float64(u.BodiesTooLarge))
}
