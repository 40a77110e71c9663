// Package http1 guards clients of HTTP/1 servers against answers that net/http takes for whole
// or well-formed although they are not, and against heads without end.
package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// maxHeadBytes bounds the head of an answer, with those of all informational answers before it.
const maxHeadBytes = 64 << 10

// DialFunc opens a connection, like http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a transport in NewTransport.
type Option func(*http.Transport)

// WithoutCompression makes the transport ask for no encoding of bodies.
func WithoutCompression() Option {
	return func(t *http.Transport) { t.DisableCompression = true }
}

// WithBuffers sets the size of both buffers of a connection, in bytes.
func WithBuffers(n int) Option {
	return func(t *http.Transport) { t.ReadBufferSize, t.WriteBufferSize = n, n }
}

// transport is an http.RoundTripper with guarded connections, each of which it uses for one call.
type transport struct {
	base *http.Transport
}

// NewTransport returns a transport for calls to HTTP/1 servers over connections that dial opens.
func NewTransport(dial DialFunc, opts ...Option) http.RoundTripper {
	base := &http.Transport{DialContext: guard(dial), DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	for _, o := range opts {
		o(base)
	}
	return &transport{base: base}
}

// RoundTrip implements http.RoundTripper. It tells the connection when the request has been written.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *guardedConn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*guardedConn) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if conn != nil {
				conn.endRequest()
			}
		},
	}
	return t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// guard returns a dial function that opens guarded connections.
func guard(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newGuardedConn(conn), nil
	}
}
