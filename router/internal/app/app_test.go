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

// startTimeout bounds each wait for the router. It is reached only when the test fails.
const startTimeout = 10 * time.Second

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().String()
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

// TestLifecycle guards against a router that does not start while the store has no
// table, that reports itself ready without one, or that does not stop when its context
// ends.
func TestLifecycle(t *testing.T) {
	store := httptest.NewServer(http.NotFoundHandler())
	defer store.Close()
	callerAddress, operatorAddress := freeAddress(t), freeAddress(t)
	s, err := settings.Parse("s.ini", []byte(fmt.Sprintf(
		"[host]\nname = h\nzone = a\nzones = a\n[caller]\naddress = %s\n[peer]\naddress = %s\n[operator]\naddress = %s\n[platform]\nurl = %s\n",
		callerAddress, freeAddress(t), operatorAddress, store.URL)))
	assert.NilError(t, err)
	lifetime, endLifetime := context.WithCancel(context.Background())
	defer endLifetime()
	zapCore, logs := observer.New(zap.InfoLevel)
	router := app.New(app.Lifetime{Context: lifetime}, s, zap.New(zapCore), clockwork.NewRealClock())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx) }()
	waitFor(t, "http://"+operatorAddress+"/healthz", http.StatusOK)
	waitFor(t, "http://"+operatorAddress+"/readyz", http.StatusServiceUnavailable)
	waitFor(t, "http://"+callerAddress+"/services/x/", http.StatusServiceUnavailable)
	waitFor(t, "http://"+operatorAddress+"/metrics", http.StatusOK)
	stop()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(startTimeout):
		t.Fatal("the router did not stop")
	}
	assert.Equal(t, statusOf("http://"+callerAddress+"/v1/models"), 0)
	var messages []string
	for _, line := range logs.All() {
		messages = append(messages, line.Message)
	}
	assert.DeepEqual(t, messages, []string{"router: Started.", "request: Request ended.", "router: Shutdown has begun.", "peer: Host is leaving.", "router: Stopped."})
}
