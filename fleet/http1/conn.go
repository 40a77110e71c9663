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

// resetWait is the time in which a reset arrives from a server that has closed its connection and
// still gets parts of the request.
const resetWait = 200 * time.Millisecond

// guardedConn is a connection that checks the head of the answer, and reports its end as regular
// only if no write has failed. The kernel reports a reset once: if a write gets it, the next read
// returns io.EOF, and a body that ends with its connection looks complete.
type guardedConn struct {
	net.Conn

	head headChecker // used by reads only

	requestEnded chan struct{} // closed when the request has been written or a write has failed
	endOnce      sync.Once

	mu       sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

func newGuardedConn(conn net.Conn) *guardedConn {
	return &guardedConn{Conn: conn, requestEnded: make(chan struct{})}
}

// endRequest records that the request has been written, or that a write has failed.
func (c *guardedConn) endRequest() { c.endOnce.Do(func() { close(c.requestEnded) }) }

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
		c.endRequest()
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

// endError returns io.EOF, or the error of a connection that has not ended regularly. A server that
// has ended its answer may read the rest of the request for long, so the wait for it is short, and
// the write that is in progress ends then.
func (c *guardedConn) endError() error {
	timer := time.NewTimer(resetWait)
	defer timer.Stop()
	select {
	case <-c.requestEnded:
	case <-timer.C:
	}
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
