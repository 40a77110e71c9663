// Package rawhttp serves answers and sends requests that are cut off anywhere, for tests.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// EarlyTries returns the number of calls that a test makes to a server that answers early. A client
// that misses a reset during its request does so in a few of 1,000 calls.
func EarlyTries(reset bool) int {
	if reset {
		return 1000
	}
	return 20
}

// Server answers each request with fixed bytes and closes the connection. It is safe for
// concurrent use.
type Server struct {
	listener net.Listener

	mu    sync.Mutex
	text  []byte
	reset bool
	hold  bool
	early bool
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

// AnswerEarly makes the server answer once it has the head of a request. It reads the body after a
// regular end of the answer, and leaves it unread if it resets the connection.
func (s *Server) AnswerEarly() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.early = true
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
	if !early {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
	if _, err := conn.Write(text); err != nil {
		return
	}
	tcp := conn.(*net.TCPConn)
	if early && !reset {
		_ = tcp.CloseWrite()
		hold = true
	}
	if hold {
		_, _ = io.Copy(io.Discard, conn)
	}
	if reset {
		_ = tcp.SetLinger(0)
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
