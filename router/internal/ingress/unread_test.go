package ingress_test

import (
	"net/http"
	"testing"

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
