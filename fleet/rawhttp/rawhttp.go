// Package rawhttp serves answers and sends requests that are cut off anywhere, for tests.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Server answers each request with fixed bytes and closes the connection. It is safe for
// concurrent use.
type Server struct {
	listener net.Listener

	mu    sync.Mutex
	text  string
	reset bool
	hold  bool
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
	s.text, s.reset = text, reset
}

// Hold makes the server fall silent after its answers: it leaves the closing of connections to
// its clients.
func (s *Server) Hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = true
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
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	s.mu.Lock()
	text, reset, hold := s.text, s.reset, s.hold
	s.mu.Unlock()
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	if hold {
		_, _ = io.Copy(io.Discard, conn)
	}
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
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
