package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// streamBytes is what a request of HTTP/2 holds beside its head and body: the goroutine of its
// handler and the state of its stream.
const streamBytes = 16 << 10

// Refuse answers a request that is refused before its handler is called.
type Refuse func(w http.ResponseWriter, r *http.Request, status int)

// HandlerOption changes the handler that Guard.Handler returns.
type HandlerOption func(*handler)

// WithRefusal sets how a request is refused. The default sends the status alone.
func WithRefusal(f Refuse) HandlerOption {
	return func(h *handler) { h.refuse = f }
}

// WithBodyTime sets the function that returns how long the body of a request may take; 0 means no
// limit.
func WithBodyTime(f func(r *http.Request) time.Duration) HandlerOption {
	return func(h *handler) { h.bodyTime = f }
}

// WithoutBodies makes a handler whose requests need no body close the connection of a client that
// sends one.
func WithoutBodies() HandlerOption {
	return func(h *handler) { h.withoutBodies = true }
}

// Handler returns a handler that counts requests for the connection on which they come, and
// enforces the limits of heads and bodies.
func (g *Guard) Handler(next http.Handler, opts ...HandlerOption) http.Handler {
	h := &handler{
		guard: g, next: next, bodyTime: func(*http.Request) time.Duration { return 0 },
		refuse: func(w http.ResponseWriter, _ *http.Request, status int) { w.WriteHeader(status) },
	}
	for _, o := range opts {
		o(h)
	}
	return h
}

type handler struct {
	guard         *Guard
	next          http.Handler
	refuse        Refuse
	bodyTime      func(r *http.Request) time.Duration
	withoutBodies bool
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	body := h.newBody(w, r, c)
	c.beginRequest(body != nil)
	defer func() { c.endRequest(body == nil || body.complete) }()
	c.client.Shrink(c.takeHeadCharge())
	size, charge := headSize(r)
	if r.ProtoMajor > 1 {
		charge += streamBytes
	} else {
		charge += queueBytes
	}
	defer h.guard.requests.Add(-1)
	if h.guard.requests.Add(1) > h.guard.maxRequests || c.client.Grow(charge) != nil {
		h.reject(w, r, http.StatusServiceUnavailable)
		return
	}
	if r.ProtoMajor > 1 {
		defer c.client.Shrink(charge)
	} else {
		c.hold(charge)
	}
	if int64(size) > h.guard.limits.Load().HeaderBytes {
		h.guard.tooLarge.Add(1)
		h.reject(w, r, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if body != nil {
		// The server must keep its own body: with another it reads an unread body before it sends
		// the answer, also if the client waits for "100 Continue" or the body is large.
		r = r.WithContext(r.Context())
		r.Body = body
		if h.withoutBodies {
			w.Header().Set("Connection", "close")
		}
	}
	h.next.ServeHTTP(w, r)
}

// reject refuses a request and closes its connection.
func (h *handler) reject(w http.ResponseWriter, r *http.Request, status int) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	h.refuse(w, r, status)
}

// headSize returns the bytes of the head of a request as HTTP/1.1 writes it at least, and what it
// holds in memory.
func headSize(r *http.Request) (size, charge int) {
	size = len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n") + len("Host") + len(r.Host) + lastField
	fields := 1
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + lastField
		}
		fields += len(values)
	}
	return size, size + fields*fieldBytes
}

// newBody returns the body of a request with its limits, or nil if the request has none.
func (h *handler) newBody(w http.ResponseWriter, r *http.Request, c *Conn) *body {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	b := &body{
		ReadCloser: r.Body, conn: c, controller: http.NewResponseController(w), left: r.ContentLength, http2: r.ProtoMajor > 1,
	}
	if d := h.bodyTime(r); d > 0 {
		b.end = h.guard.clock.Now().Add(d)
	}
	b.extend()
	return b
}

// body is the body of a request. A read ends at the deadline of the request, or after the idle
// timeout without progress.
type body struct {
	io.ReadCloser
	conn       *Conn
	controller *http.ResponseController
	end        time.Time // of the time for the body; zero without one
	left       int64     // bytes that have not been read; negative if their number is unknown
	http2      bool
	complete   bool
}

// extend allows the next bytes of the body the idle timeout. Guard.Run enforces it with HTTP/1, where
// a body has the connection for itself.
func (b *body) extend() {
	deadline := b.end
	if b.http2 {
		idle := b.conn.guard.clock.Now().Add(b.conn.guard.limits.Load().IdleTimeout)
		if deadline.IsZero() || idle.Before(deadline) {
			deadline = idle
		}
	} else {
		b.conn.progressBody()
	}
	_ = b.controller.SetReadDeadline(deadline) // fails only if the connection is closed
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return b.ReadCloser.Read(p)
	}
	b.extend()
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if errors.Is(err, io.EOF) || b.left == 0 {
		b.complete = true
		b.conn.endBody()
		// Otherwise the server would take the expiry for a disconnect of the caller while the
		// answer is still pending.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
