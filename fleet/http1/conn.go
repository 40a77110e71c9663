// Package http1 guards clients of HTTP/1 servers against answers that net/http takes for whole
// or well-formed although they are not. The guarded connections must be used for one call each.
package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// ErrBroken is wrapped by the error of a read from a connection that a server has reset.
var ErrBroken = errors.New("http1: connection was reset")

// DialFunc opens a connection, like http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Guard returns a dial function that opens guarded connections.
func Guard(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// guardedConn is a connection that checks the head of the answer, and reports its end as regular
// only if no write has failed. The kernel reports a reset once: if a write gets it, the next read
// returns io.EOF, and a body that ends with its connection looks complete.
type guardedConn struct {
	net.Conn

	head headChecker // used by reads only

	mu       sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.head.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF, or the error of a connection that has not ended regularly. It ends the
// write that is in progress, because only its result tells whether there was a reset.
func (c *guardedConn) endError() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrBroken, c.writeErr)
}
