package app_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// closeStarted is a time after the start of a shutdown at which a router without requests has
// begun to close the open connections of callers.
const closeStarted = 1600 * time.Millisecond

// callerConn is a connection on which a test sends parts of requests.
type callerConn struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dialCaller(t *testing.T, address string) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(startTimeout)))
	return &callerConn{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

func (c *callerConn) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// readStatus returns the status of the next response, or 0 if the connection ends before it is
// complete.
func (c *callerConn) readStatus() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestStopAnswersRequests guards against connections that a router closes when it stops,
// although it has begun to read a request on them.
func TestStopAnswersRequests(t *testing.T) {
	for _, tt := range []struct {
		name        string
		kept        bool // the connection has carried a request before
		early, late string
	}{
		{name: "head in two parts on a kept connection", kept: true, early: "GET /services/x/ HTTP/1.1\r\nHost:", late: " a.example\r\n\r\n"},
		{name: "head in two parts on a new connection", early: "GET /services/x/ HTTP/1.1\r\nHost:", late: " a.example\r\n\r\n"},
		{
			name: "head and body apart", kept: true,
			early: "POST /services/x/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n", late: "body",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := startRouter(t)
			c := dialCaller(t, r.callerAddress)
			if tt.kept {
				c.write("GET /services/x/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
				assert.Equal(t, c.readStatus(), http.StatusServiceUnavailable)
			}
			r.stop()
			c.write(tt.early)
			time.Sleep(closeStarted)
			c.write(tt.late)
			assert.Equal(t, c.readStatus(), http.StatusServiceUnavailable)
			r.awaitStopped(t)
		})
	}
}

// TestStopClosesIdleConnections guards against idle connections of callers that keep a stopping
// router alive until its drain timeout has passed.
func TestStopClosesIdleConnections(t *testing.T) {
	for _, tt := range []struct {
		name string
		open func(t *testing.T, address string)
	}{
		{"without a request", func(t *testing.T, address string) { dialCaller(t, address) }},
		{"kept", func(t *testing.T, address string) {
			c := dialCaller(t, address)
			c.write("GET /services/x/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
			assert.Equal(t, c.readStatus(), http.StatusServiceUnavailable)
		}},
		{"HTTP/2", func(t *testing.T, address string) {
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			transport := &http.Transport{Protocols: protocols}
			t.Cleanup(transport.CloseIdleConnections)
			req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/services/x/", http.NoBody)
			assert.NilError(t, err)
			resp, err := transport.RoundTrip(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.ProtoMajor, 2)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := startRouter(t)
			tt.open(t, r.callerAddress)
			r.stop()
			begun := time.Now()
			r.awaitStopped(t)
			assert.Assert(t, time.Since(begun) < closeStarted+time.Second, "stopped after %s", time.Since(begun))
		})
	}
}
