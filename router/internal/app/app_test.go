package app_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/router/internal/app"
	"ragwortshunt.example/router/internal/settings"
)

// startTimeout bounds the wait for a router; it only ends a failing test.
const startTimeout = 10 * time.Second

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().String()
}

// statusOf returns the HTTP status of a URL, or 0 while nothing listens there.
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
		assert.Assert(t, time.Now().Before(deadline), "%s never had status %d", url, want)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestLifecycle guards against a router that does not start without a table, or
// does not stop.
func TestLifecycle(t *testing.T) {
	store := httptest.NewServer(http.NotFoundHandler())
	defer store.Close()
	callers, operators := freeAddress(t), freeAddress(t)
	s, err := settings.Parse("s.ini", []byte(fmt.Sprintf(
		"[host]\nname = h\nzone = a\nzones = a\n[caller]\naddress = %s\n[peer]\naddress = %s\n[operator]\naddress = %s\n[platform]\nurl = %s\n",
		callers, freeAddress(t), operators, store.URL)))
	assert.NilError(t, err)
	life, end := context.WithCancel(context.Background())
	defer end()
	zapCore, logs := observer.New(zap.InfoLevel)
	router := app.New(app.Lifetime{Context: life}, s, zap.New(zapCore), clockwork.NewRealClock())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx) }()
	waitFor(t, "http://"+operators+"/healthz", http.StatusOK)
	waitFor(t, "http://"+operators+"/readyz", http.StatusServiceUnavailable)
	waitFor(t, "http://"+callers+"/services/x/", http.StatusServiceUnavailable)
	waitFor(t, "http://"+operators+"/metrics", http.StatusOK)
	stop()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(startTimeout):
		t.Fatal("the router did not stop")
	}
	assert.Equal(t, statusOf("http://"+callers+"/v1/models"), 0)
	var messages []string
	for _, line := range logs.All() {
		messages = append(messages, line.Message)
	}
	assert.DeepEqual(t, messages, []string{"router: Started.", "request: Request ended.", "router: Shutdown has begun.", "peer: Host is leaving.", "router: Stopped."})
}
