package endpoint_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/router/internal/endpoint"
	"ragwortshunt.example/router/internal/eventtest"
	"ragwortshunt.example/router/internal/inflight"
)

// harness is an endpoint.Client whose store holds one request, r-1, with a prompt and
// a service call.
type harness struct {
	*endpoint.Client
	events eventtest.Events
	clock  *clockwork.FakeClock
	store  *inflight.Store
	cancel context.CancelFunc
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r := &harness{
		events: make(eventtest.Events, 64), clock: clockwork.NewFakeClock(), store: inflight.New(), cancel: cancel,
	}
	r.store.Add("r-1", &inflight.Item{
		Prompt: "two words",
		Call: &inflight.Call{
			Method: http.MethodPost, Path: "/issue?batch=7", Body: []byte("label"),
			Header: http.Header{"Idempotency-Key": {"k-1"}, "Content-Type": {"text/plain"}},
		},
	})
	r.Client = endpoint.New(ctx, r.clock, r.events, r.store)
	return r
}

func (r *harness) prefill(address string) core.StartPrefill {
	return core.StartPrefill{
		Request: "r-1", Attempt: 1, Endpoint: "e", Address: address, Tokens: 2,
		NotAfter: r.clock.Now().Add(time.Second), Timeout: time.Minute,
	}
}

func (r *harness) call(address string) core.CallService {
	return core.CallService{
		Request: "r-1", Attempt: 1, Endpoint: "e", Address: address,
		NotAfter: r.clock.Now().Add(time.Second), Timeout: time.Minute, Repeat: true,
	}
}

// runFailed returns the event of a failed call.
func runFailed(code string, notRun, unreachable bool) core.RunFailed {
	return core.RunFailed{Request: "r-1", Attempt: 1, Endpoint: "e", Code: code, NotRun: notRun, Unreachable: unreachable}
}

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String()
}

// closedPort returns an address that refuses connections.
func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().String()
}

// reply returns a handler that sends a fixed reply.
func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// breakConnection reads the request and closes the connection without a reply.
func breakConnection(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// TestLateStart guards against work that starts after the lease or reservation on
// which its decision was based has expired.
func TestLateStart(t *testing.T) {
	var hits atomic.Int64
	address := serve(t, func(http.ResponseWriter, *http.Request) { hits.Add(1) })
	starts := map[string]func(r *harness){
		"prefill": func(r *harness) {
			e := r.prefill(address)
			r.clock.Advance(2 * time.Second)
			r.Prefill(e)
		},
		"service": func(r *harness) {
			e := r.call(address)
			r.clock.Advance(2 * time.Second)
			r.Call(e)
		},
		"unknown request": func(r *harness) {
			r.store.Remove("r-1")
			r.Prefill(r.prefill(address))
		},
	}
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			start(r)
			assert.DeepEqual(t, r.events.Next(t), core.Event(runFailed("not-started-in-time", true, false)))
		})
	}
	r := newHarness(t)
	r.Order(core.SendOrder{Endpoint: "e", Address: address, NotAfter: r.clock.Now().Add(-time.Second)})
	assert.DeepEqual(t, r.events.Next(t), core.Event(core.OrderAnswered{Endpoint: "e"}))
	assert.Equal(t, hits.Load(), int64(0))
}

// TestPrefillFailures guards against reporting not-run without proof, and against
// text from an engine that ends up in metric labels.
func TestPrefillFailures(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    core.RunFailed
	}{
		"full":                {reply(503, `{"code":"full","not-run":true}`), runFailed("full", true, false)},
		"unknown code":        {reply(500, `{"code":"rws-k-secret 7","not-run":false}`), runFailed("other-code", false, false)},
		"error without body":  {reply(500, ""), runFailed("invalid-reply", false, false)},
		"lost reply":          {breakConnection, runFailed("stream-broken", false, false)},
		"success as error":    {reply(202, `{"code":"full","not-run":true}`), runFailed("invalid-reply", false, false)},
		"invalid JSON":        {reply(200, "[1"), runFailed("invalid-reply", false, false)},
		"reply without cache": {reply(200, `{"cached-tokens":3}`), runFailed("invalid-reply", false, false)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.Prefill(r.prefill(serve(t, c.handler)))
			assert.DeepEqual(t, r.events.Next(t), core.Event(c.want))
			r.waitIdle(t)
		})
	}
	t.Run("dial failure", func(t *testing.T) {
		r := newHarness(t)
		r.Prefill(r.prefill(closedPort(t)))
		assert.DeepEqual(t, r.events.Next(t), core.Event(runFailed("unreachable", true, true)))
	})
	t.Run("timeout", func(t *testing.T) {
		r := newHarness(t)
		e := r.prefill(serve(t, func(_ http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			<-req.Context().Done()
		}))
		e.Timeout = 500 * time.Millisecond
		r.Prefill(e)
		assert.DeepEqual(t, r.events.Next(t), core.Event(runFailed("timeout", false, false)))
	})
}

// waitIdle waits until no call is registered. It guards against calls that stay
// registered after they have ended.
func (r *harness) waitIdle(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(eventtest.Timeout)
	for r.Running() > 0 {
		assert.Assert(t, time.Now().Before(deadline), "%d calls are still registered", r.Running())
		time.Sleep(time.Millisecond)
	}
}

// TestPrefillSendsPromptAndOutput guards against a prefill request without the
// prompt or without the output that has been delivered so far.
func TestPrefillSendsPromptAndOutput(t *testing.T) {
	var body string
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		body = string(data)
		_, _ = io.WriteString(w, `{"kv-id":"kv-9","cached-tokens":1}`)
	})
	r := newHarness(t)
	item, _ := r.store.Get("r-1")
	item.AddOutput([]string{"a", " b"})
	e := r.prefill(address)
	e.Output = 2
	r.Prefill(e)
	assert.DeepEqual(t, r.events.Next(t), core.Event(core.PrefillDone{Request: "r-1", Attempt: 1, KV: "kv-9", CachedTokens: 1}))
	assert.Equal(t, body, `{"request-id":"r-1","attempt":1,"model":"","prompt":"two words","output":"a b","prompt-tokens":2,"priority":0}`)
}

// TestDecode guards against a stream that is mistaken for complete without the end
// marker, and against chunks that are posted from invalid lines.
func TestDecode(t *testing.T) {
	chunk := func(offset int64, end bool) core.TokensArrived {
		finish := ""
		if end {
			finish = "stop"
		}
		return core.TokensArrived{Request: "r-1", Attempt: 1, Offset: offset, Tokens: []string{"a"}, End: end, Finish: finish}
	}
	cases := map[string]struct {
		stream string
		want   []core.Event
	}{
		"whole": {
			`{"offset":0,"tokens":["a"]}` + "\n" + `{"offset":1,"tokens":["a"],"end":true,"finish":"stop"}` + "\n",
			[]core.Event{chunk(0, false), chunk(1, true)},
		},
		"broken": {
			`{"offset":0,"tokens":["a"]}` + "\n",
			[]core.Event{chunk(0, false), runFailed("stream-broken", false, false)},
		},
		"truncated line": {
			`{"offset":0,"tokens":["a"]}` + "\n" + `{"offset":1,"tok`,
			[]core.Event{chunk(0, false), runFailed("stream-broken", false, false)},
		},
		"negative offset": {`{"offset":-1,"tokens":["a"]}` + "\n", []core.Event{runFailed("stream-broken", false, false)}},
		"endless line":    {strings.Repeat("x", 1<<20+1), []core.Event{runFailed("stream-broken", false, false)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.Decode(core.StartDecode{Request: "r-1", Attempt: 1, Endpoint: "e", Address: serve(t, reply(200, c.stream))})
			for _, want := range c.want {
				assert.DeepEqual(t, r.events.Next(t), want)
			}
			r.waitIdle(t)
			assert.Equal(t, len(r.events), 0)
		})
	}
}

// TestEndlessStream guards against a leak of the connection and its goroutine when
// an engine does not close a stream after the end marker.
func TestEndlessStream(t *testing.T) {
	r := newHarness(t)
	address := serve(t, func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(w, `{"offset":0,"end":true,"finish":"stop"}`+"\n")
		_ = http.NewResponseController(w).Flush()
		<-req.Context().Done()
	})
	r.Decode(core.StartDecode{Request: "r-1", Attempt: 1, Endpoint: "e", Address: address})
	r.events.Next(t)
	assert.NilError(t, r.clock.BlockUntilContext(t.Context(), 1))
	r.clock.Advance(time.Second)
	r.waitIdle(t)
}

// TestResume guards against a resumed stream that starts at the wrong offset, and
// against events from the call that it replaced.
func TestResume(t *testing.T) {
	var from string
	release := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, req.Body)
			select {
			case <-req.Context().Done():
			case <-release:
			}
			return
		}
		from = req.URL.String()
		_, _ = io.WriteString(w, `{"offset":4,"end":true,"finish":"stop"}`+"\n")
	})
	defer close(release)
	r := newHarness(t)
	r.Decode(core.StartDecode{Request: "r-1", Attempt: 1, Endpoint: "e", Address: address})
	r.Resume(core.ResumeDecode{Request: "r-1", Attempt: 1, Endpoint: "e", Address: address, From: 4})
	assert.DeepEqual(t, r.events.Next(t), core.Event(core.TokensArrived{Request: "r-1", Attempt: 1, Offset: 4, End: true, Finish: "stop"}))
	assert.Equal(t, from, "/v1/runs/r-1/1?from=4")
	r.waitIdle(t)
	assert.Equal(t, len(r.events), 0)
}

// TestCancelIsRetried guards against engine memory that is never freed because one
// cancellation was lost.
func TestCancelIsRetried(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	done := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, req.Method+" "+req.URL.Path)
		switch len(seen) {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
			conn.Close()
		default:
			w.WriteHeader(http.StatusNoContent)
			close(done)
		}
	})
	r := newHarness(t)
	r.Cancel(core.CancelRun{Request: "r-1", Attempt: 3, Endpoint: "e", Address: address})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range 3 {
		assert.NilError(t, r.clock.BlockUntilContext(ctx, 1))
		r.clock.Advance(time.Second)
	}
	<-done
	mu.Lock()
	defer mu.Unlock()
	want := "DELETE /v1/runs/r-1/3"
	assert.DeepEqual(t, seen, []string{want, want, want, want})
}

// TestCancelEndsTheCall guards against events from a call that was cancelled.
func TestCancelEndsTheCall(t *testing.T) {
	started := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodDelete {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		close(started)
		<-req.Context().Done()
	})
	r := newHarness(t)
	r.Decode(core.StartDecode{Request: "r-1", Attempt: 1, Endpoint: "e", Address: address})
	<-started
	r.Cancel(core.CancelRun{Request: "r-1", Attempt: 1, Endpoint: "e", Address: address})
	r.waitIdle(t)
	assert.Equal(t, len(r.events), 0)
}

// TestPoll checks the events that come from a load report and from cache events.
func TestPoll(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/v1/load" {
			_, _ = io.WriteString(w, `{"running":1,"slots":20,"free-blocks":5,"runs":[{"request-id":"r-1","attempt":2}]}`)
			return
		}
		assert.Check(t, req.URL.RawQuery == "after=6")
		_, _ = io.WriteString(w, `{"events":[{"seq":7,"prefix":99,"evicted":true}]}`)
	})
	r := newHarness(t)
	r.Poll(core.PollLoad{Endpoint: "e", Address: address, After: 6})
	report := r.events.Next(t).(core.LoadReported).Report
	assert.Equal(t, report.FreeBlocks, int64(5))
	assert.Equal(t, len(report.Runs), 1)
	assert.DeepEqual(t, r.events.Next(t), core.Event(core.CacheChanged{Endpoint: "e", Seq: 7, Prefix: 99, Evicted: true}))
}

// TestOrder checks that a stale fencing token and a lost reply are reported
// differently.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		done    bool
		stale   bool
	}{
		"done":  {reply(204, ""), true, false},
		"stale": {reply(409, `{"code":"stale-fence","not-run":true}`), false, true},
		"lost":  {breakConnection, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.Order(core.SendOrder{Endpoint: "e", Address: serve(t, c.handler), NotAfter: r.clock.Now().Add(time.Second)})
			assert.DeepEqual(t, r.events.Next(t), core.Event(core.OrderAnswered{Endpoint: "e", Done: c.done, Stale: c.stale}))
		})
	}
}
