package process

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// headerTimeout bounds the time to read the headers of a request.
const headerTimeout = 10 * time.Second

// listener serves HTTP on one address. It can be closed and opened again. It is
// safe for concurrent use.
type listener struct {
	name    string
	address string
	handler http.Handler
	log     *zap.Logger

	mu     sync.Mutex
	server *http.Server // nil while closed
}

// addListener adds a listener to the process without opening it.
func (p *Process) addListener(name, address string, h http.Handler) *listener {
	l := &listener{name: name, address: address, handler: h, log: p.log}
	p.listeners = append(p.listeners, l)
	return l
}

// open starts to serve. It has no effect if the listener is open.
func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return nil
	}
	socket, err := net.Listen("tcp", l.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Protocols:         protocols,
		Handler:           l.handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          zap.NewStdLog(l.log),
	}
	l.server = server
	// Port 0 lets the system choose a port; keep it for the next time that the
	// listener opens.
	l.address = socket.Addr().String()
	go func() {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			l.log.Error("standin: listener failed.", zap.String("name", l.name), zap.Error(err))
		}
	}()
	return nil
}

// currentAddress returns the ip:port on which the listener serves or last served.
func (l *listener) currentAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// close closes the listener and all its connections.
func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return
	}
	if err := l.server.Close(); err != nil {
		l.log.Error("standin: cannot close listener.", zap.String("name", l.name), zap.Error(err))
	}
	l.server = nil
}
