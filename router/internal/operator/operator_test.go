package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/router/internal/operator"
)

// fakeCore is a Querier on a real state. It rejects all queries while stuck is set.
type fakeCore struct {
	st    *core.State
	now   time.Time
	stuck bool
}

func (f *fakeCore) Query(_ context.Context, fn func(st *core.State, now time.Time)) bool {
	if !f.stuck {
		fn(f.st, f.now)
	}
	return !f.stuck
}

func (f *fakeCore) Load() (int64, time.Duration) { return 7, 5 * time.Millisecond }

func (f *fakeCore) Healthy() bool { return true }

func newCore() *fakeCore {
	now := time.Unix(1000, 0)
	return &fakeCore{st: core.New(core.DefaultConfig("h-1", 3, "a", []id.Zone{"a"}), now), now: now}
}

// processAfter advances the clock by d and processes an event.
func (f *fakeCore) processAfter(d time.Duration, ev core.Event) {
	f.now = f.now.Add(d)
	core.Reduce(f.st, core.Input{Now: f.now, Wall: f.now, Event: ev})
}

func newServer(t *testing.T, f *fakeCore) (http.Handler, *operator.Metrics) {
	t.Helper()
	m := operator.NewMetrics("h-1", "a")
	return operator.New(f, m).Handler(), m
}

func get(h http.Handler, path string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, strings.TrimSpace(w.Body.String())
}

// TestReady guards against a host that reports itself ready without a table, while it
// drains, or while its decision core is stuck: load balancers would send it requests.
func TestReady(t *testing.T) {
	f := newCore()
	h, _ := newServer(t, f)
	check := func(path string, want int) {
		t.Helper()
		status, _ := get(h, path)
		assert.Equal(t, status, want)
	}
	check("/healthz", http.StatusOK)
	check("/readyz", http.StatusServiceUnavailable)
	f.processAfter(time.Minute, core.TableOpened{Snapshot: &table.Snapshot{Version: 4}})
	check("/readyz", http.StatusOK)
	f.processAfter(time.Second, core.DrainRequested{})
	check("/readyz", http.StatusServiceUnavailable)
	check("/healthz", http.StatusOK)
	f.stuck = true
	for _, path := range []string{"/healthz", "/readyz", "/status", "/explain/r-1"} {
		check(path, http.StatusServiceUnavailable)
	}
	check("/metrics", http.StatusOK)
}

// TestStatusAndExplain guards against wrong fields in the status, and against responses
// of /explain that don't belong to the request in the path.
func TestStatusAndExplain(t *testing.T) {
	f := newCore()
	h, _ := newServer(t, f)
	f.processAfter(time.Second, core.TableOpened{Snapshot: &table.Snapshot{Version: 4}})
	f.processAfter(time.Second, core.RequestArrived{Request: "r-1", Route: "none"})
	status, body := get(h, "/status")
	assert.Equal(t, status, http.StatusOK)
	var st map[string]any
	assert.NilError(t, json.Unmarshal([]byte(body), &st))
	for key, want := range map[string]any{"host": "h-1", "table-version": 4.0, "uptime-s": 2.0, "events": 7.0, "decision-ms": 5.0} {
		assert.Equal(t, st[key], want, key)
	}
	status, body = get(h, "/explain/r-1")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, `"result":"unknown-route"`), body)
	status, _ = get(h, "/explain/r-2")
	assert.Equal(t, status, http.StatusNotFound)
	status, body = get(h, "/other")
	assert.Equal(t, status, http.StatusNotFound)
	assert.Equal(t, body, `{"message":"no such path or method"}`)
}

// TestMetricsAreBounded guards against a metrics page that grows with the number
// of client accounts.
func TestMetricsAreBounded(t *testing.T) {
	h, m := newServer(t, newCore())
	for i := range 1000 {
		account := id.Account(fmt.Sprintf("account-%03d", i))
		m.Count(core.Count{Name: core.MetricFinished, Account: account, N: 2})
		m.Observe(core.Observe{Name: core.MetricFirstToken, Account: account, Value: 40 * time.Millisecond})
	}
	m.Count(core.Count{Name: core.MetricRefused, Code: core.CodeUnauthorized, N: 1})
	m.Count(core.Count{Name: core.MetricRefusedLevel, Account: "account-000", Code: "too-late", Level: message.LevelOf(2), N: 4})
	m.Gauge("open-requests", 3)
	m.Gauge("queued-requests", 5, operator.Label{Name: "model", Value: "m"}, operator.Label{Name: "level", Value: "2"})
	assert.NilError(t, m.Close())
	_, page := get(h, "/metrics")
	count := func(pattern string) int { return len(regexp.MustCompile("(?m)^"+pattern).FindAllString(page, -1)) }
	assert.Equal(t, count(`ragwortshunt_finished\{`), 65)
	assert.Equal(t, count(`ragwortshunt_first_token_count\{`), 65)
	assert.Equal(t, count(`ragwortshunt_finished\{account="other",code="",host="h-1",zone="a"\} 1872$`), 1)
	assert.Equal(t, count(`ragwortshunt_refused\{account="none",code="unauthorized",host="h-1",zone="a"\} 1$`), 1)
	assert.Equal(t, count(`ragwortshunt_refused_by_level\{account="account-000",code="too-late",host="h-1",level="2",zone="a"\} 4$`), 1)
	assert.Equal(t, count(`ragwortshunt_queued_requests\{host="h-1",level="2",model="m",zone="a"\} 5$`), 1)
	assert.Equal(t, count(`ragwortshunt_open_requests\{host="h-1",zone="a"\} 3$`), 1)
	assert.Equal(t, count(`ragwortshunt_first_token_bucket\{account="account-000",host="h-1",zone="a",le="0.035"\} 0$`), 1)
	assert.Equal(t, count(`ragwortshunt_first_token_bucket\{account="account-000",host="h-1",zone="a",le="0.051"\} 1$`), 1)
	assert.Equal(t, count(`go_goroutines `), 1)
}

// TestEndpointGauges guards against gauges of endpoints that grow with the number of their
// restarts, and that keep their last value after the endpoint has left.
func TestEndpointGauges(t *testing.T) {
	h, m := newServer(t, newCore())
	for i := range 1000 {
		ep := id.Endpoint(fmt.Sprintf("e-%d", i))
		m.EndpointGauges("endpoint-service-time", []operator.EndpointValue{{Endpoint: ep, Value: 1}})
		m.EndpointGauges("endpoint-failure-rate", []operator.EndpointValue{{Endpoint: ep, Value: 1}})
	}
	m.EndpointGauges("endpoint-service-time", []operator.EndpointValue{{Endpoint: "e-7", Value: 0.5}})
	assert.NilError(t, m.Close())
	_, page := get(h, "/metrics")
	count := func(pattern string) int { return len(regexp.MustCompile("(?m)^"+pattern).FindAllString(page, -1)) }
	assert.Equal(t, count(`ragwortshunt_endpoint_service_time\{`), 256)
	assert.Equal(t, count(`ragwortshunt_endpoint_service_time\{endpoint="e-7",host="h-1",zone="a"\} 0.5$`), 1)
	assert.Equal(t, count(`ragwortshunt_endpoint_service_time\{.*\} 0$`), 255)
}

// TestLogLine guards against log lines of the decision core without the name of the
// component as a prefix, with another level, or with missing or empty fields.
func TestLogLine(t *testing.T) {
	zapCore, logs := observer.New(zap.InfoLevel)
	l := zap.New(zapCore)
	operator.WriteLog(l, core.Log{Level: core.LogDebug, Component: "run", Text: "Not shown."})
	operator.WriteLog(l, core.Log{Level: core.LogWarn, Component: "peer", Text: "Host refuses connections.", Host: "h-2"})
	operator.WriteLog(l, core.Log{Level: core.LogError, Component: "request", Text: "Failed.", Request: "r-1", Code: "c"})
	assert.Equal(t, logs.Len(), 2)
	assert.Equal(t, logs.All()[0].Message, "peer: Host refuses connections.")
	assert.DeepEqual(t, logs.All()[0].ContextMap(), map[string]any{"peer": "h-2"})
	assert.Equal(t, logs.All()[1].Level, zap.ErrorLevel)
	assert.DeepEqual(t, logs.All()[1].ContextMap(), map[string]any{"request-id": "r-1", "code": "c"})
}

// TestLogger guards against log lines that are not JSON, or not on standard output, from
// which the platform collects them.
func TestLogger(t *testing.T) {
	_, err := operator.NewLogger("loud")
	assert.ErrorContains(t, err, "log level")
	stdout := os.Stdout
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	os.Stdout = w
	l, err := operator.NewLogger("warn")
	os.Stdout = stdout
	assert.NilError(t, err)
	l.Info("router: Not shown.")
	l.Warn("router: Shown.")
	assert.NilError(t, l.Sync())
	assert.NilError(t, w.Close())
	data, err := io.ReadAll(r)
	assert.NilError(t, err)
	var line map[string]any
	assert.NilError(t, json.Unmarshal(data, &line))
	assert.Equal(t, line["msg"], "router: Shown.")
	assert.Equal(t, line["level"], "warn")
}
