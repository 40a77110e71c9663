package ingress

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"ragwortshunt.example/fleet/ingress"
	"ragwortshunt.example/platform/exchange"
)

const (
	// readAhead is what http.Server reads at once. A head may come with that much of what follows.
	readAhead = 4 << 10
	// expiryGrace is how long a connection is still read after its idle timeout, so that a request
	// that has just been sent is answered.
	expiryGrace = 50 * time.Millisecond
	// refusalTime is how long a request that is given up may take to be refused, before its
	// connection is reset.
	refusalTime = time.Second
	// lingerTime is how long a refused client may read the answer while it still sends.
	lingerTime = 100 * time.Millisecond
	// pieceBytes is what is written at once. It is the size of the write queue, which the kernel doubles:
	// smaller pieces would need more system calls.
	pieceBytes = 2 * writeQueue
	// http2Bytes is what a connection of HTTP/2 holds without a request: the fields of one head,
	// and the buffers of its streams.
	http2Bytes = 256 << 10
)

// http2Preface is the beginning of each HTTP/2 connection.
var http2Preface = []byte("PRI")

const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// phase says what a connection is doing.
type phase int

// The phases.
const (
	phaseNew      phase = iota // nothing has been read
	phaseHead                  // a part of a head has been read
	phaseHandling              // a handler has been called
	phaseIdle                  // the last answer has been written
)

// Conn is an open connection of a client.
type Conn struct {
	net.Conn
	guard  *Guard
	client *exchange.Client

	mu           sync.Mutex
	phase        phase
	since        time.Time // when the phase began
	headBytes    int       // read in phaseHead
	headCharge   int       // reserved for what was read in phaseHead
	held         int       // reserved for the request of HTTP/1 in progress
	http2        bool
	streams      int       // requests of HTTP/2 in progress
	running      int       // of these, those that are complete; of HTTP/1, until the answer is written
	bodyOpen     bool      // the body of a request of HTTP/1 is incomplete
	bodySince    time.Time // when it made progress last
	writing      time.Time // when the present write began; zero without one
	expiring     bool      // the read deadline is that of the idle timeout
	givenUp      time.Time // when the connection was given up; zero if it wasn't
	readDeadline time.Time // that the server has set
}

// setQueues bounds the kernel's queues of the connection.
func (c *Conn) setQueues() {
	if q, ok := c.Conn.(interface {
		SetReadBuffer(n int) error
		SetWriteBuffer(n int) error
	}); ok {
		_ = q.SetReadBuffer(readQueue)
		_ = q.SetWriteBuffer(writeQueue)
	}
}

// reset closes the connection at once. What has not been sent is dropped, so that it needs no
// memory and doesn't look complete.
func (c *Conn) reset() {
	_ = c.SetLinger(0)
	_ = c.Conn.Close()
}

// SetLinger sets what Close does with data that has not been sent.
func (c *Conn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives back what it holds.
func (c *Conn) Close() error {
	c.guard.remove(c)
	err := c.Conn.Close()
	c.client.Close()
	return err
}

// Read reads bytes and counts those of heads.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	charge, tooLarge := c.received(b[:n])
	if tooLarge {
		c.refuseHead()
		return 0, io.EOF
	}
	if charge > 0 && c.client.Grow(charge) != nil {
		c.reset()
		return 0, io.EOF
	}
	return n, err
}

// received notes what was read. It returns the bytes to reserve for it, and whether the head
// exceeds the limit.
func (c *Conn) received(b []byte) (charge int, tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiring {
		c.expiring = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if the connection is closed
	}
	if c.http2 || c.phase == phaseHandling {
		return 0, false
	}
	if c.phase == phaseNew && bytes.HasPrefix(b, http2Preface) {
		c.http2 = true
		return http2Bytes, false
	}
	charge = len(b) + fieldBytes*bytes.Count(b, []byte("\n"))
	if c.phase != phaseHead {
		charge += queueBytes
		c.begin(phaseHead)
		c.client.SetPhase(ingress.PhaseIncomplete)
	}
	c.headBytes += len(b)
	c.headCharge += charge
	return charge, int64(c.headBytes) > c.guard.limits.Load().HeaderBytes+readAhead
}

func (c *Conn) begin(p phase) {
	c.phase, c.since = p, c.guard.clock.Now()
}

// refuseHead answers a head that exceeds the limit before it is complete.
func (c *Conn) refuseHead() {
	c.guard.tooLarge.Add(1)
	_ = c.Conn.SetWriteDeadline(c.guard.clock.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, headRefusal)
	_ = c.CloseWrite()
	c.guard.clock.Sleep(lingerTime)
}

// takeHeadCharge returns what was reserved for the head, which the request now takes over.
func (c *Conn) takeHeadCharge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	charge := c.headCharge
	c.headBytes, c.headCharge = 0, 0
	return charge
}

// hold notes what is reserved for a request of HTTP/1. The server keeps the request until its answer
// has been written and the connection carries the next one or is closed.
func (c *Conn) hold(charge int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += charge
}

// Write writes bytes. It writes large answers in pieces, so that one that is read slowly but steadily
// counts as making progress.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for len(b)-written > pieceBytes {
		n, err := c.writePiece(b[written : written+pieceBytes])
		written += n
		if err != nil {
			return written, err
		}
	}
	n, err := c.writePiece(b[written:])
	return written + n, err
}

// writePiece writes bytes. As long as it doesn't return, the answer counts as unread.
func (c *Conn) writePiece(b []byte) (int, error) {
	c.setWriting(c.guard.clock.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(b)
}

func (c *Conn) setWriting(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = t
	c.client.SetPhase(c.budgetPhase())
}

// budgetPhase returns the phase that decides whether the connection may be given up.
func (c *Conn) budgetPhase() ingress.Phase {
	switch {
	case !c.writing.IsZero():
		return ingress.PhaseUnread
	case c.running > 0:
		return ingress.PhaseRunning
	case c.phase == phaseIdle && !c.http2: // one of HTTP/2 holds much, and may hold a part of a head
		return ingress.PhaseIdle
	}
	return ingress.PhaseIncomplete
}

// beginRequest notes that a handler has been called.
func (c *Conn) beginRequest(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(phaseHandling)
	c.streams++
	c.bodyOpen, c.bodySince = hasBody && !c.http2, c.since
	if !hasBody {
		c.running++
	}
	c.client.SetPhase(c.budgetPhase())
}

// progressBody notes that the handler waits for the next part of a body.
func (c *Conn) progressBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodySince = c.guard.clock.Now()
}

// endBody notes that the body of a request is complete.
func (c *Conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running++
	c.bodyOpen = false
	c.client.SetPhase(c.budgetPhase())
}

// endRequest notes that a handler has returned.
func (c *Conn) endRequest(complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams--
	if !c.http2 {
		return // a complete request runs until its answer has been written, see becomeIdle
	}
	if complete {
		c.running--
	}
	if c.streams == 0 {
		c.begin(phaseIdle)
	}
	c.client.SetPhase(c.budgetPhase())
}

// becomeIdle notes that the last answer has been written.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 {
		return // see endRequest
	}
	c.begin(phaseIdle)
	c.running, c.bodyOpen = 0, false
	c.client.Shrink(c.held)
	c.held = 0
	c.client.SetAccount("")
	c.client.SetPhase(c.budgetPhase())
}

// SetReadDeadline sets the read deadline, which does not prolong that of a connection that expires
// or is given up.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expiring || !c.givenUp.IsZero() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the read and the write deadline.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// giveUp ends the request of the connection. A body is no longer read, so that its request is
// refused; every other connection is closed, and this one too if closeNow is set.
func (c *Conn) giveUp(closeNow bool) {
	c.mu.Lock()
	refuse := !closeNow && c.bodyOpen && c.writing.IsZero()
	c.givenUp = c.guard.clock.Now()
	if refuse {
		_ = c.Conn.SetReadDeadline(c.givenUp)
	}
	c.mu.Unlock()
	if !refuse {
		c.reset()
	}
}

// expire ends the connection if it has made no progress within the limits, and reports whether it
// did so.
func (c *Conn) expire(now time.Time, l *Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.since)
	switch {
	case !c.givenUp.IsZero():
		if now.Sub(c.givenUp) >= refusalTime {
			c.reset()
		}
		return false
	case !c.writing.IsZero() && now.Sub(c.writing) >= l.IdleTimeout,
		c.http2 && c.streams == 0 && waited >= l.IdleTimeout,
		c.phase == phaseHead && waited >= l.HeaderTimeout,
		c.phase == phaseNew && waited >= l.IdleTimeout:
		c.givenUp = now
		c.reset()
		return true
	case c.bodyOpen && now.Sub(c.bodySince) >= l.IdleTimeout:
		_ = c.Conn.SetReadDeadline(now) // ends the read; the handler refuses the request
	case c.phase == phaseIdle && !c.expiring && waited >= l.IdleTimeout:
		c.expiring = true
		_ = c.Conn.SetReadDeadline(now.Add(expiryGrace)) // fails only if the connection is closed
		return true
	}
	return false
}
