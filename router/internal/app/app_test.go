package app_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/router/internal/app"
	"ragwortshunt.example/router/internal/settings"
)

// startTimeout bounds each wait for the router. It is reached only when the test fails.
const startTimeout = 10 * time.Second

// The ports of the tests lie below the range that the kernel uses for outgoing connections.
const (
	firstPort = 30_100
	portCount = 2_600
)

// nextPort counts the ports that freeAddress has tried. Test processes that run at the same time
// begin at different ones.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 64) }

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount))
		if err != nil {
			continue
		}
		assert.NilError(t, l.Close())
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// statusOf returns the HTTP status of a GET request, or 0 if the request fails.
func statusOf(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func waitFor(t *testing.T, url string, want int) {
	t.Helper()
	deadline := time.Now().Add(startTimeout)
	for statusOf(url) != want {
		assert.Assert(t, time.Now().Before(deadline), "%s did not return status %d in time", url, want)
		time.Sleep(5 * time.Millisecond)
	}
}

// testRouter is a router that runs without a table.
type testRouter struct {
	callerAddress, operatorAddress, peerAddress string

	logs *observer.ObservedLogs
	stop func()     // begins the shutdown
	done chan error // receives the result of Run
}

// startRouter starts a router whose store has no objects, and waits until it serves.
func startRouter(t *testing.T) *testRouter {
	t.Helper()
	store := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(store.Close)
	r := &testRouter{
		callerAddress: freeAddress(t), operatorAddress: freeAddress(t), peerAddress: freeAddress(t), done: make(chan error, 1),
	}
	s, err := settings.Parse("s.ini", []byte(fmt.Sprintf(
		"[host]\nname = h\nzone = a\nzones = a\n[caller]\naddress = %s\n[peer]\naddress = %s\n[operator]\naddress = %s\n[platform]\nurl = %s\n",
		r.callerAddress, r.peerAddress, r.operatorAddress, store.URL)))
	assert.NilError(t, err)
	lifetime, endLifetime := context.WithCancel(context.Background())
	t.Cleanup(endLifetime)
	zapCore, logs := observer.New(zap.InfoLevel)
	r.logs = logs
	router := app.New(app.Lifetime{Context: lifetime}, s, zap.New(zapCore), clockwork.NewRealClock())
	ctx, stop := context.WithCancel(t.Context())
	r.stop = stop
	go func() { r.done <- router.Run(ctx) }()
	waitFor(t, "http://"+r.operatorAddress+"/healthz", http.StatusOK)
	return r
}

// awaitStopped waits until the router has stopped without an error.
func (r *testRouter) awaitStopped(t *testing.T) {
	t.Helper()
	select {
	case err := <-r.done:
		assert.NilError(t, err)
	case <-time.After(startTimeout):
		t.Fatal("the router did not stop")
	}
}

// TestLifecycle guards against a router that does not start while the store has no
// table, that reports itself ready without one, or that does not stop when its context
// ends.
func TestLifecycle(t *testing.T) {
	r := startRouter(t)
	waitFor(t, "http://"+r.operatorAddress+"/readyz", http.StatusServiceUnavailable)
	waitFor(t, "http://"+r.callerAddress+"/services/x/", http.StatusServiceUnavailable)
	waitFor(t, "http://"+r.operatorAddress+"/metrics", http.StatusOK)
	r.stop()
	r.awaitStopped(t)
	assert.Equal(t, statusOf("http://"+r.callerAddress+"/v1/models"), 0)
	var messages []string
	for _, line := range r.logs.All() {
		messages = append(messages, line.Message)
	}
	assert.DeepEqual(t, messages, []string{"router: Started.", "request: Request ended.", "router: Shutdown has begun.", "peer: Host is leaving.", "router: Stopped."})
}

// TestGeneralOptions guards against a success that net/http writes by itself, as its answer to
// OPTIONS *. No endpoint has answered, so callers must not get one.
func TestGeneralOptions(t *testing.T) {
	r := startRouter(t)
	conn, err := net.Dial("tcp", r.callerAddress)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(startTimeout)))
	_, err = fmt.Fprint(conn, "OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	r.stop()
	r.awaitStopped(t)
}
