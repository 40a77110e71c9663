package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	maxQueued   = 16384                  // messages that wait for one peer; older ones are dropped
	sendTimeout = 2 * time.Second        // of one batch
	dialTimeout = 500 * time.Millisecond // of one connection
	idleSender  = time.Minute            // a sender without messages ends

	// A connection that is silent for pingAfter is tested with a ping. Without it, a
	// connection that a partition has cut would be used until TCP gives up, which
	// takes minutes after the partition has healed.
	pingAfter   = 3 * time.Second
	pingTimeout = 2 * time.Second
)

// Sender sends messages to other routers. All messages that wait for a peer go
// out as one batch as soon as the batch before it has been answered.
type Sender struct {
	ctx    context.Context
	from   id.Host
	inc    id.Incarnation
	poster Poster
	http   *http.Client

	mu    sync.Mutex
	links map[id.Host]*link
}

// link is the queue towards one peer.
type link struct {
	host    id.Host
	address string
	mu      sync.Mutex
	queue   []message.Message
	wake    chan struct{}
}

// Option changes a Sender.
type Option func(*http.HTTP2Config)

// WithPing tests a connection with a ping when it has been silent for after, and
// closes it when the ping is not answered within timeout.
func WithPing(after, timeout time.Duration) Option {
	return func(c *http.HTTP2Config) {
		c.SendPingTimeout = after
		c.PingTimeout = timeout
	}
}

// NewSender returns a sender for this host.
func NewSender(ctx context.Context, from id.Host, inc id.Incarnation, p Poster, opts ...Option) *Sender {
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
	}
	return &Sender{
		ctx: ctx, from: from, inc: inc, poster: p,
		http:  &http.Client{Transport: transport},
		links: make(map[id.Host]*link),
	}
}

// Send queues a message.
func (s *Sender) Send(e core.SendPeer) {
	s.mu.Lock()
	l, ok := s.links[e.To]
	if !ok || l.address != e.Address {
		l = &link{host: e.To, address: e.Address, wake: make(chan struct{}, 1)}
		s.links[e.To] = l
		go s.run(l)
	}
	// The queue is filled under the lock of the sender, so that an idle link
	// cannot end between look-up and push.
	l.push(e.Message)
	s.mu.Unlock()
}

func (l *link) push(m message.Message) {
	l.mu.Lock()
	if len(l.queue) >= maxQueued {
		l.queue = l.queue[1:]
	}
	l.queue = append(l.queue, m)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) take() []message.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.queue
	l.queue = nil
	return out
}

func (s *Sender) run(l *link) {
	client := connect.NewClient[message.Envelope, Ack](
		s.http, "http://"+l.address+procedure, connect.WithCodec(codec{}),
	)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-l.wake:
			s.flush(client, l)
		case <-time.After(idleSender):
			if s.retire(l) {
				return
			}
		}
	}
}

// retire forgets a link without messages.
func (s *Sender) retire(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	if s.links[l.host] == l {
		delete(s.links, l.host)
	}
	return true
}

func (s *Sender) flush(client *connect.Client[message.Envelope, Ack], l *link) {
	messages := l.take()
	if len(messages) == 0 {
		return
	}
	env := &message.Envelope{From: s.from, Incarnation: s.inc}
	for _, m := range messages {
		env.Add(m)
	}
	ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
	defer cancel()
	_, err := client.CallUnary(ctx, connect.NewRequest(env))
	if err != nil && errors.Is(err, syscall.ECONNREFUSED) {
		s.poster.Post(core.PeerFailed{Host: l.host})
	}
}
