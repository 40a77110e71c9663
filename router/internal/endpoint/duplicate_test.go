package endpoint_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/router/internal/inflight"
)

// TestDuplicateAnswer guards against a second copy of an engine's answer that arrives late,
// on a connection that is in use again, and gives a request the KV cache of another one.
func TestDuplicateAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveDuplicates(conn)
		}
	}()
	r := newHarness(t)
	for _, name := range []id.Request{"r-2", "r-3", "r-4"} {
		r.store.Add(name, &inflight.Item{Prompt: string(name)})
		e := r.prefill(l.Addr().String())
		e.Request = name
		r.Prefill(e)
		done, ok := r.events.Next(t).(core.PrefillDone)
		assert.Assert(t, ok)
		assert.Equal(t, done.KV, "kv-"+string(name))
	}
}

// serveDuplicates answers prefills. Before each answer but the first it sends the previous
// one again.
func serveDuplicates(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body struct {
			Request string `json:"request-id"`
		}
		if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
			return
		}
		reply := fmt.Sprintf(`{"kv-id":"kv-%s"}`, body.Request)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(reply), reply)
		if _, err := conn.Write([]byte(last + answer)); err != nil {
			return
		}
		last = answer
	}
}
