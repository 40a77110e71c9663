package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusalBeforeBody guards against a refusal that waits for a body which the handler has not
// read: a client with "Expect: 100-continue" sends the body only after the refusal is ruled out, and
// http.Server does not read a body that is too large to be discarded.
func TestRefusalBeforeBody(t *testing.T) {
	for name, fields := range map[string]string{
		"expect":     "Expect: 100-continue\r\nContent-Length: 100\r\n",
		"large body": "Content-Length: 1000000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := newGuarded(t)
			c := g.dial("POST " + refusedPath + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n")
			assert.Equal(t, c.status(), http.StatusUnauthorized)
		})
	}
}

// TestSlowReader guards against the reset of a connection whose client reads a large answer slowly
// but steadily, for longer than the idle timeout.
func TestSlowReader(t *testing.T) {
	const part = 64 << 10
	g := newGuarded(t)
	g.setLimits(longTime, shortTime)
	conn, err := net.Dial("tcp", g.address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(part))
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, "GET "+largePath+" HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	read := int64(0)
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, part)
		read += n
		time.Sleep(shortTime / 10)
	}
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, read, int64(largeAnswer))
}
