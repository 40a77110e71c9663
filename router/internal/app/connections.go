package app

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// http.Server closes connections on which it has read a request if it has not yet parsed the
// head when it shuts down. The callers of these requests get no answer. connections closes idle
// connections in another way: it sets a read deadline, which does not apply once a part of a
// request has been read.

const (
	// idleReadTime is the time in which a request that has been sent is still read from a
	// connection before it is closed.
	idleReadTime = 50 * time.Millisecond
	// openCheckInterval is the time between two checks whether all connections are closed.
	openCheckInterval = 10 * time.Millisecond
)

// http2Preface is the beginning of each HTTP/2 connection. These are left to http.Server, which
// announces to their callers that it closes them.
var http2Preface = []byte("PRI")

// connections is a listener that knows its open connections. It is safe for concurrent use.
type connections struct {
	net.Listener

	mu      sync.Mutex
	open    map[*connection]struct{}
	closing bool // idle connections are closed
}

func newConnections(l net.Listener) *connections {
	return &connections{Listener: l, open: make(map[*connection]struct{})}
}

// Accept waits for a connection and tracks it until it is closed.
func (l *connections) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, list: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// closeIdle closes the connections that carry no request, and each other one when it carries
// none any more. It returns when no connection is open or ctx ends.
func (l *connections) closeIdle(ctx context.Context) {
	l.mu.Lock()
	l.closing = true
	var open []*connection
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.expireIfIdle()
	}
	ticker := time.NewTicker(openCheckInterval)
	defer ticker.Stop()
	for l.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *connections) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *connections) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

func (l *connections) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// stateChanged is the http.Server.ConnState hook of the server that uses the listener.
func (l *connections) stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.endRequest()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// connection is an open connection of a caller.
type connection struct {
	net.Conn
	list *connections

	mu       sync.Mutex
	busy     bool      // bytes of a request have been read, and its response is not complete
	expiring bool      // the read deadline is that of expire
	deadline time.Time // read deadline that the server has set
}

// Read reads bytes, with which a request begins if the connection was idle.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.beginRequest() && bytes.HasPrefix(b[:n], http2Preface) {
		c.list.remove(c)
	}
	return n, err
}

// NetConn returns the connection of the listener below.
func (c *connection) NetConn() net.Conn { return c.Conn }

// beginRequest marks the connection as busy and reports whether it was idle.
func (c *connection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.busy = true
	if c.expiring {
		c.expiring = false
		_ = c.Conn.SetReadDeadline(c.deadline) // fails only if the connection is closed
	}
	return true
}

func (c *connection) endRequest() {
	c.mu.Lock()
	c.busy = false
	c.mu.Unlock()
	if c.list.isClosing() {
		c.expireIfIdle()
	}
}

// expireIfIdle lets the next Read fail after idleReadTime if no request begins until then. The
// server then closes the connection.
func (c *connection) expireIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.expiring {
		return
	}
	c.expiring = true
	_ = c.Conn.SetReadDeadline(time.Now().Add(idleReadTime)) // fails only if the connection is closed
}

// SetReadDeadline sets the read deadline, which does not prolong that of expireIfIdle.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.expiring {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the read and the write deadline.
func (c *connection) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the sending direction. http.Server uses it so that a caller that still
// sends can read a response.
func (c *connection) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that has not been sent. A handler that has hijacked the
// connection resets it with 0.
func (c *connection) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// Close closes the connection.
func (c *connection) Close() error {
	c.list.remove(c)
	return c.Conn.Close()
}
