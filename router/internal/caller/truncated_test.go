package caller_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/rawhttp"
)

// TestTruncatedRequests guards against passing on a request whose head or body was cut off.
func TestTruncatedRequests(t *testing.T) {
	const body = `{"model":"free","prompt":"two words"}`
	for name, text := range map[string]string{
		"model":   fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"service": "POST /services/board/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, core.Refuse{NotRun: true})
			for n := range len(text) {
				for _, reset := range []bool{false, true} {
					_ = rawhttp.Send(strings.TrimPrefix(r.url, "http://"), text[:n], reset)
					assert.Equal(t, len(r.events), 0, "%q", text[:n])
				}
			}
			assert.NilError(t, rawhttp.Send(strings.TrimPrefix(r.url, "http://"), text, false))
			arrived := r.nextEvent(t).(core.RequestArrived)
			assert.Assert(t, strings.HasSuffix(string(arrived.Request), "-1"), "%s is not the first request", arrived.Request)
		})
	}
}

// TestUnknownLength guards against passing on a request of HTTP/1.0 without its body: net/http
// does not read chunks there.
func TestUnknownLength(t *testing.T) {
	for lines, passed := range map[string]bool{
		"Content-Length: 4\r\n\r\nbody": true,
		"\r\nbody":                      false,
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n":     false,
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n": false,
	} {
		r := newHarness(t, core.Refuse{NotRun: true})
		assert.NilError(t, rawhttp.Send(strings.TrimPrefix(r.url, "http://"), "POST /services/board/x HTTP/1.0\r\nHost: a\r\n"+lines, false))
		assert.Equal(t, len(r.events) > 0, passed, "%q", lines)
	}
}
