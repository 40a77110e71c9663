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

// headerTimeout bounds the time to read the headers of a call.
const headerTimeout = 10 * time.Second

// listener serves one address. It can be closed and opened again.
type listener struct {
	name    string
	address string
	handler http.Handler
	log     *zap.Logger

	mu     sync.Mutex
	server *http.Server // nil while closed
}

func (p *Process) listen(name, address string, h http.Handler) *listener {
	l := &listener{name: name, address: address, handler: h, log: p.log}
	p.listeners = append(p.listeners, l)
	return l
}

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
	// A port chosen by the system stays the same when the listener opens again.
	l.address = socket.Addr().String()
	go func() {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			l.log.Error("standin: listener failed.", zap.String("name", l.name), zap.Error(err))
		}
	}()
	return nil
}

// current returns the ip:port at which the listener listens or last listened.
func (l *listener) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// close closes the listener and cuts all its connections.
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
