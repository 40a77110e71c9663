package platform_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/object"
)

// TestDuplicateAnswer guards against a second copy of an earlier answer, on a connection that
// is in use again, that is taken for the outcome of a write.
func TestDuplicateAnswer(t *testing.T) {
	base := serve(t, func(w http.ResponseWriter, req *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		for last := ""; err == nil; req, err = http.ReadRequest(buffered.Reader) {
			_, _ = io.Copy(io.Discard, req.Body)
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + `{"version":2}`
			if strings.Contains(req.URL.Path, "refused") {
				answer = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, last+answer)
			last = answer
		}
	})
	r := newHarness(t, base, time.Second)
	for i, want := range []object.WriteOutcome{object.WriteFailed, object.WriteDone, object.WriteFailed, object.WriteDone} {
		r.Write(core.WriteObject{Kind: "claims", Name: fmt.Sprintf("%s-%d", []string{"refused", "done"}[i%2], i), IfVersion: 1})
		assert.Equal(t, r.events.Next(t).(core.ObjectWritten).Outcome, want)
	}
}
