package endpoint_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/router/internal/endpoint"
	"ragwortshunt.example/router/internal/inflight"
)

// TestServiceCall checks that the service receives method, path, headers and body,
// and that the reply is stored and recorded with the claim.
func TestServiceCall(t *testing.T) {
	var received *http.Request
	var body string
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		received, body = r, string(data)
		w.Header().Set("Location", "/labels/7")
		w.Header().Set("Set-Cookie", "session=1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "issued")
	})
	r := newHarness(t)
	r.Call(r.call(address))
	done := r.events.Next(t).(core.ServiceDone)
	assert.Equal(t, done.Status, http.StatusCreated)
	assert.Equal(t, received.Method+" "+received.URL.String()+" "+body, "POST /issue?batch=7 label")
	for name, want := range map[string]string{
		"Idempotency-Key": "k-1", "Request-Id": "r-1", "Request-Attempt": "1", "Authorization": "",
	} {
		assert.Equal(t, received.Header.Get(name), want, name)
	}
	var recorded inflight.Reply
	assert.NilError(t, json.Unmarshal(done.Outcome, &recorded))
	assert.Equal(t, string(recorded.Body), "issued")
	item, _ := r.store.Get("r-1")
	assert.DeepEqual(t, item.Reply().Header.Get("Location"), "/labels/7")
	assert.Equal(t, item.Reply().Header.Get("Set-Cookie"), "")
	r.waitIdle(t)
}

// TestServiceFailures guards against reporting not-run for a call that may have
// run.
func TestServiceFailures(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    core.RunFailed
	}{
		"lost reply": {breakConnection, runFailed("stream-broken", false, false)},
		"not run": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, runFailed("refused", true, false)},
		"success that claims not to have run": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "true")
		}, runFailed("invalid-reply", false, false)},
		"huge reply": {reply(200, strings.Repeat("x", 8<<20+1)), runFailed("stream-broken", false, false)},
		"truncated reply": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		}, runFailed("stream-broken", false, false)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.Call(r.call(serve(t, c.handler)))
			assert.DeepEqual(t, r.events.Next(t), core.Event(c.want))
		})
	}
	t.Run("dial failure", func(t *testing.T) {
		r := newHarness(t)
		r.Call(r.call(closedPort(t)))
		assert.DeepEqual(t, r.events.Next(t), core.Event(runFailed("unreachable", true, true)))
	})
	t.Run("timeout after the write", func(t *testing.T) {
		r := newHarness(t)
		e := r.call(serve(t, func(_ http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			<-req.Context().Done()
		}))
		e.Timeout = 500 * time.Millisecond
		r.Call(e)
		assert.DeepEqual(t, r.events.Next(t), core.Event(runFailed("timeout", false, false)))
	})
}

// rawServer accepts connections. On each connection it sends the replies in order,
// one for each request, and closes the connection after reading one more request.
// It counts the requests that it has read.
func rawServer(t *testing.T, replies ...string) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, requests, replies)
		}
	}()
	return l.Addr().String(), requests
}

func serveRaw(conn net.Conn, requests *atomic.Int64, replies []string) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if i >= len(replies) {
			return
		}
		if _, err := io.WriteString(conn, replies[i]); err != nil {
			return
		}
	}
}

// TestNoSilentRetry guards against the automatic retry in net/http: it resends a
// request with an Idempotency-Key when a reused connection breaks.
func TestNoSilentRetry(t *testing.T) {
	address, requests := rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	r := newHarness(t)
	r.Call(r.call(address))
	_, ok := r.events.Next(t).(core.ServiceDone)
	assert.Assert(t, ok)
	for range 3 {
		r.Call(r.call(address))
		_, ok := r.events.Next(t).(core.ServiceDone)
		assert.Assert(t, ok)
	}
	assert.Equal(t, requests.Load(), int64(4))

	address, requests = rawServer(t)
	r.Call(r.call(address))
	assert.DeepEqual(t, r.events.Next(t), core.Event(runFailed("stream-broken", false, false)))
	assert.Equal(t, requests.Load(), int64(1))
}

// steppingClock advances by one second each time it is read.
type steppingClock struct {
	*clockwork.FakeClock
}

func (c steppingClock) Now() time.Time {
	defer c.Advance(time.Second)
	return c.FakeClock.Now()
}

// TestLateConnection guards against a call that starts late because the process
// was frozen while the connection was being established.
func TestLateConnection(t *testing.T) {
	var hits atomic.Int64
	address := serve(t, func(http.ResponseWriter, *http.Request) { hits.Add(1) })
	r := newHarness(t)
	e := r.call(address)
	e.NotAfter = r.clock.Now().Add(500 * time.Millisecond)
	client := endpoint.New(t.Context(), steppingClock{r.clock}, r.events, r.store)
	client.Call(e)
	assert.DeepEqual(t, r.events.Next(t), core.Event(runFailed("not-started-in-time", true, false)))
	assert.Equal(t, hits.Load(), int64(0))
}

// TestInvalidStatus guards against a status code that cannot be sent to a caller.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			address, _ := rawServer(t, fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n", status))
			r := newHarness(t)
			r.Call(r.call(address))
			assert.DeepEqual(t, r.events.Next(t), core.Event(runFailed("invalid-reply", false, false)))
		})
	}
}

// TestLargeOutcomeIsNotKept guards against claims that grow beyond the size of the
// object that stores them.
func TestLargeOutcomeIsNotKept(t *testing.T) {
	r := newHarness(t)
	r.Call(r.call(serve(t, reply(200, strings.Repeat("x", 4096)))))
	done := r.events.Next(t).(core.ServiceDone)
	assert.Equal(t, len(done.Outcome), 0)
	item, _ := r.store.Get("r-1")
	assert.Equal(t, len(item.Reply().Body), 4096)
}
