package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/router/internal/eventtest"
	"ragwortshunt.example/router/internal/platform"
)

// harness is a client with a fake clock, its posted events and its log lines. cancel ends
// the client's context.
type harness struct {
	*platform.Client
	events eventtest.Events
	clock  *clockwork.FakeClock
	logs   *observer.ObservedLogs
	cancel context.CancelFunc
}

func newHarness(t *testing.T, baseURL string, timeout time.Duration) *harness {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	zapCore, logs := observer.New(zap.DebugLevel)
	r := &harness{events: make(eventtest.Events, 64), clock: clockwork.NewFakeClock(), logs: logs, cancel: cancel}
	r.Client = platform.New(ctx, baseURL, "ragwortshunt/h-1", timeout, r.clock, zap.New(zapCore), r.events)
	return r
}

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

// closedPortURL returns a URL on which nothing listens.
func closedPortURL(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return "http://" + l.Addr().String()
}

// reply returns a handler that reads the request and then responds.
func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// neverRespond reads the request and does not respond until the client disconnects.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// breakConnection closes the connection without a response.
func breakConnection(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// TestWrite guards against a write that is reported as failed or as done without proof.
// Only a conflict, a refusal by the rate limit and a failure to connect prove that
// nothing was written.
func TestWrite(t *testing.T) {
	done := `{"kind":"lease","name":"a b.1","version":5}`
	cases := map[string]struct {
		handler http.HandlerFunc
		outcome object.WriteOutcome
		version uint64
	}{
		"done":             {reply(200, done), object.WriteDone, 5},
		"created":          {reply(201, done), object.WriteDone, 5},
		"conflict":         {reply(409, done), object.WriteConflict, 0},
		"rate limit":       {reply(429, ""), object.WriteFailed, 0},
		"outage":           {reply(503, ""), object.WriteUnknown, 0},
		"error":            {reply(500, ""), object.WriteUnknown, 0},
		"lost reply":       {breakConnection, object.WriteUnknown, 0},
		"timeout":          {neverRespond, object.WriteUnknown, 0},
		"invalid JSON":     {reply(200, "{"), object.WriteUnknown, 0},
		"without version":  {reply(200, "{}"), object.WriteUnknown, 0},
		"negative version": {reply(200, `{"version":-1}`), object.WriteUnknown, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 1)
			timeout := time.Minute
			if name == "timeout" {
				timeout = 500 * time.Millisecond
			}
			r := newHarness(t, serve(t, func(w http.ResponseWriter, req *http.Request) {
				data, _ := io.ReadAll(req.Body)
				calls <- req.Method + " " + req.URL.String() + " " + string(data) + " " + req.UserAgent()
				c.handler(w, req)
			}), timeout)
			r.Write(core.WriteObject{Kind: object.KindLease, Name: "a b.1", IfVersion: 4, Value: []byte("v")})
			assert.DeepEqual(t, r.events.Next(t), core.Event(core.ObjectWritten{
				Kind: object.KindLease, Name: "a b.1", Version: c.version, Outcome: c.outcome,
			}))
			assert.Equal(t, <-calls, "PUT /objects/lease/a%20b.1?if-version=4 v ragwortshunt/h-1")
		})
	}
	t.Run("no connection", func(t *testing.T) {
		r := newHarness(t, closedPortURL(t), time.Minute)
		r.Write(core.WriteObject{Kind: object.KindLease, Name: "n"})
		assert.Equal(t, r.events.Next(t).(core.ObjectWritten).Outcome, object.WriteFailed)
	})
}

// TestRead guards against failed reads that are mistaken for an object that does not
// exist.
func TestRead(t *testing.T) {
	encoded, err := json.Marshal(object.Object{Kind: object.KindClaim, Name: "n", Version: 3, Value: []byte("value")})
	assert.NilError(t, err)
	oversized := fmt.Sprintf(`{"name":"n","version":3,"value":%q}`, strings.Repeat("A", 2*object.MaxValueBytes))
	cases := map[string]struct {
		handler http.HandlerFunc
		want    core.ObjectRead
	}{
		"found":           {reply(200, string(encoded)), core.ObjectRead{Version: 3, Value: []byte("value")}},
		"missing":         {reply(404, ""), core.ObjectRead{}},
		"rate limit":      {reply(429, ""), core.ObjectRead{Failed: true}},
		"outage":          {reply(503, ""), core.ObjectRead{Failed: true}},
		"invalid JSON":    {reply(200, "[]"), core.ObjectRead{Failed: true}},
		"empty":           {reply(200, ""), core.ObjectRead{Failed: true}},
		"other name":      {reply(200, `{"name":"m","version":3}`), core.ObjectRead{Failed: true}},
		"no version":      {reply(200, `{"name":"n"}`), core.ObjectRead{Failed: true}},
		"oversized reply": {reply(200, oversized), core.ObjectRead{Failed: true}},
		"lost reply":      {breakConnection, core.ObjectRead{Failed: true}},
		"no redirect":     {reply(302, ""), core.ObjectRead{Failed: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, serve(t, c.handler), time.Minute)
			r.Read(core.ReadObject{Kind: object.KindClaim, Name: "n"})
			c.want.Kind, c.want.Name, c.want.Sent = object.KindClaim, "n", r.clock.Now()
			assert.DeepEqual(t, r.events.Next(t), core.Event(c.want))
		})
	}
}

// TestWatch guards against a watch that ends without a change and is mistaken for a deleted
// object, and against a watch that is aborted by the timeout of other calls.
func TestWatch(t *testing.T) {
	var url string
	r := newHarness(t, serve(t, func(w http.ResponseWriter, req *http.Request) {
		url = req.URL.String()
		time.Sleep(60 * time.Millisecond)
		w.WriteHeader(http.StatusNotModified)
	}), 40*time.Millisecond)
	r.Read(core.ReadObject{Kind: object.KindManifest, Name: object.ManifestName, After: 6, Wait: eventtest.Timeout})
	ev := r.events.Next(t).(core.ObjectRead)
	assert.Assert(t, ev.Unchanged && !ev.Failed)
	assert.Equal(t, ev.Version, uint64(6))
	assert.Equal(t, url, "/watch/manifest/table?after=6&wait-ms=10000")
}

// TestHosts guards against fields of the host list that are lost in decoding.
func TestHosts(t *testing.T) {
	r := newHarness(t, serve(t, reply(200, `{"hosts":[{"host":"h-2","zone":"z","address":"10.0.0.2:1","leaving":true}]}`)), time.Minute)
	r.List(core.ListHosts{})
	assert.DeepEqual(t, r.events.Next(t), core.Event(core.HostsListed{
		Hosts: []object.Host{{Host: "h-2", Zone: "z", Address: "10.0.0.2:1", Leaving: true}},
	}))
}

// TestOutageLog guards against one log line for each failed call during an outage, and
// against an outage in the log that is only the shutdown of this host.
func TestOutageLog(t *testing.T) {
	status := http.StatusServiceUnavailable
	r := newHarness(t, serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }), time.Minute)
	read := func() {
		t.Helper()
		r.Read(core.ReadObject{Kind: object.KindClaim, Name: "n"})
		r.events.Next(t)
		r.clock.Advance(time.Second)
	}
	for range 5 {
		read()
	}
	assert.Equal(t, r.logs.Len(), 0)
	for range 20 {
		read()
	}
	assert.Equal(t, r.logs.Len(), 1)
	assert.Equal(t, r.logs.All()[0].Message, "platform: Calls fail.")
	status = http.StatusTooManyRequests
	for range 3 {
		read()
	}
	assert.Equal(t, r.logs.Len(), 2)
	last := r.logs.All()[1]
	assert.Equal(t, last.Message, "platform: Calls succeed again.")
	assert.Equal(t, last.ContextMap()["outage"], 25*time.Second)
	r.cancel()
	read()
	r.clock.Advance(time.Minute)
	read()
	assert.Equal(t, r.logs.Len(), 2) // calls that fail due to the shutdown are no outage
}
