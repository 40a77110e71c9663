// Package http1 guards clients of HTTP/1 servers against answers that net/http takes for whole
// or well-formed although they are not, and against heads without end.
package http1

import (
	"context"
	"net"
	"net/http"
)

// maxHeadBytes bounds the head of an answer, with those of all informational answers before it.
const maxHeadBytes = 64 << 10

// DialFunc opens a connection, like http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport with guarded connections, each of which it uses for one call.
// Fields of the transport that are not set may be changed.
func NewTransport(dial DialFunc) *http.Transport {
	return &http.Transport{DialContext: guard(dial), DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
}

// guard returns a dial function that opens guarded connections.
func guard(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}
