package http1

import (
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
