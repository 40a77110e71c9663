// Package rawhttp serves answers and sends requests that are cut off anywhere, for tests.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// EarlyEnd is how a connection ends after an answer that comes before the body of its request.
type EarlyEnd string

// The ends of early answers.
const (
	EarlyRead  EarlyEnd = "read"  // the answer ends regularly, and the server reads the request
	EarlyLate  EarlyEnd = "late"  // the answer ends regularly, and the server reads the request a second later
	EarlyReset EarlyEnd = "reset" // the connection is reset at once
	EarlyClose EarlyEnd = "close" // the answer ends regularly, and the server has gone
)

// EarlyEnds are all ends of early answers, with the number of calls that a test makes for each. A
// client that misses a reset does so in a few of 1,000 calls.
var EarlyEnds = map[EarlyEnd]int{EarlyRead: 20, EarlyLate: 2, EarlyReset: 1000, EarlyClose: 20}

// earlyPause is the time from the end of an early answer to that of its server.
const earlyPause = 10 * time.Millisecond

// Server answers each request with fixed bytes and closes the connection. It is safe for
// concurrent use.
type Server struct {
	listener net.Listener

	mu    sync.Mutex
	text  []byte
	reset bool
	hold  bool
	early EarlyEnd
}

// NewServer starts a server on a port of the loopback interface.
func NewServer() (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l}
	go s.serve()
	return s, nil
}

// Address returns the address of the server as ip:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetAnswer sets the answer to the requests that have not been answered yet. If reset is set,
// the connection ends with a reset after it, and otherwise regularly.
func (s *Server) SetAnswer(text string, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.reset = []byte(text), reset
}

// Hold makes the server fall silent after its answers: it leaves the closing of connections to
// its clients.
func (s *Server) Hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = true
}

// SetEarlyAnswer makes the server answer once it has the head of a request.
func (s *Server) SetEarlyAnswer(text string, end EarlyEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.early = []byte(text), end
}

// Close stops the server.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

// serveConn reads one request completely, because a connection with unread bytes is reset
// when it is closed.
func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.mu.Lock()
	text, reset, hold, early := s.text, s.reset, s.hold, s.early
	s.mu.Unlock()
	tcp := conn.(*net.TCPConn)
	if early != "" {
		serveEarly(tcp, text, early)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if _, err := conn.Write(text); err != nil {
		return
	}
	if hold {
		_, _ = io.Copy(io.Discard, conn)
	}
	if reset {
		_ = tcp.SetLinger(0)
	}
}

// serveEarly answers a request whose body has not been read.
func serveEarly(conn *net.TCPConn, text []byte, end EarlyEnd) {
	if _, err := conn.Write(text); err != nil {
		return
	}
	switch end {
	case EarlyRead, EarlyLate:
		_ = conn.CloseWrite()
		if end == EarlyLate {
			time.Sleep(time.Second)
		}
		_, _ = io.Copy(io.Discard, conn)
	case EarlyClose:
		_ = conn.CloseWrite()
		time.Sleep(earlyPause)
		_ = conn.SetLinger(0)
	case EarlyReset:
		_ = conn.SetLinger(0)
	}
}

// Send sends bytes of a request to an address and ends this direction of the connection, or
// resets it. It returns after the other side has closed the connection, at once after a reset.
func Send(address, text string, reset bool) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	tcp := conn.(*net.TCPConn)
	if reset {
		return tcp.SetLinger(0)
	}
	if err := tcp.CloseWrite(); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, conn)
	return err
}
