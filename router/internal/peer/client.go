package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	// maxAnswerBytes limits the head and the body of an answer, which is empty or a short error.
	maxAnswerBytes    = 64 << 10
	maxQueuedMessages = 16384                  // per peer; the oldest message is dropped when the queue is full
	sendTimeout       = 2 * time.Second        // for one batch
	dialTimeout       = 500 * time.Millisecond // for one connection
	queueIdleTimeout  = 5 * time.Second        // a queue without messages and its stream are removed after this time
	idleConnTimeout   = 2 * time.Second        // a connection without a stream is closed after this time, before its first ping

	// A connection that has been silent for pingAfter is checked with a ping. Without
	// the ping, a connection broken by a network partition would stay in use until
	// TCP gives up, which takes minutes after the partition has healed.
	pingAfter   = 3 * time.Second
	pingTimeout = 2 * time.Second
)

// Sender sends messages to other routers. Each peer has one stream, and all messages
// queued for a peer are sent as one batch when the previous batch has been passed to the
// connection.
type Sender struct {
	ctx         context.Context
	from        id.Host
	incarnation atomic.Uint64 // an id.Incarnation
	poster      Poster
	log         *zap.Logger
	http        *http.Client

	mu     sync.Mutex
	queues map[id.Host]*peerQueue
}

// peerQueue holds the messages that wait to be sent to one peer.
type peerQueue struct {
	host     id.Host
	address  string
	mu       sync.Mutex
	messages []message.Message
	notify   chan struct{}
}

// Option changes the HTTP/2 settings of a Sender.
type Option func(*http.HTTP2Config)

// WithPing returns an Option that sends a ping on a connection that has been silent
// for the duration after, and closes the connection if no response arrives within
// timeout.
func WithPing(after, timeout time.Duration) Option {
	return func(c *http.HTTP2Config) {
		c.SendPingTimeout = after
		c.PingTimeout = timeout
	}
}

// NewSender returns a sender that identifies this host by from and incarnation. It
// stops when ctx is cancelled, and posts refused connections to p as
// core.PeerFailed.
func NewSender(
	ctx context.Context, from id.Host, incarnation id.Incarnation, p Poster, log *zap.Logger, opts ...Option,
) *Sender {
	http2 := new(http.HTTP2Config)
	WithPing(pingAfter, pingTimeout)(http2)
	for _, o := range opts {
		o(http2)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:   protocols,
		HTTP2:       http2,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,

		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerBytes,
	}
	s := &Sender{
		ctx: ctx, from: from, poster: p, log: log,
		http:   &http.Client{Transport: frameTransport{next: transport}},
		queues: make(map[id.Host]*peerQueue),
	}
	s.SetIncarnation(incarnation)
	return s
}

// SetIncarnation changes the incarnation of all messages that have not been sent yet.
func (s *Sender) SetIncarnation(inc id.Incarnation) { s.incarnation.Store(uint64(inc)) }

// Send queues a message. It does not wait for the message to be sent.
func (s *Sender) Send(e core.SendPeer) {
	s.mu.Lock()
	q, ok := s.queues[e.To]
	if !ok || q.address != e.Address {
		q = &peerQueue{host: e.To, address: e.Address, notify: make(chan struct{}, 1)}
		s.queues[e.To] = q
		go s.sendLoop(q)
	}
	// The push holds the lock of the sender, so that removeIfEmpty cannot remove an
	// idle queue between the lookup and the push.
	q.push(e.Message)
	s.mu.Unlock()
}

func (q *peerQueue) push(m message.Message) {
	q.mu.Lock()
	if len(q.messages) >= maxQueuedMessages {
		q.messages = q.messages[1:]
	}
	q.messages = append(q.messages, m)
	q.mu.Unlock()
	select {
	case q.notify <- struct{}{}:
	default:
	}
}

func (q *peerQueue) take() []message.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.messages
	q.messages = nil
	return out
}

// sendLoop sends the messages of one peer until the queue has been removed.
func (s *Sender) sendLoop(q *peerQueue) {
	l := &link{Sender: s, queue: q, client: newClient(s.http, q.address, streamProcedure)}
	defer l.close()
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-q.notify:
			l.sendQueued()
			idle.Reset(queueIdleTimeout)
		case <-idle.C:
			if s.removeIfEmpty(q) {
				return
			}
			idle.Reset(queueIdleTimeout)
		}
	}
}

// removeIfEmpty removes a queue if it is empty and reports whether it was.
func (s *Sender) removeIfEmpty(q *peerQueue) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) > 0 {
		return false
	}
	if s.queues[q.host] == q {
		delete(s.queues, q.host)
	}
	return true
}
