package caller_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"ragwortshunt.example/router/internal/caller"
)

// TestDrainClosesConnections guards against callers that keep connections to a
// router that is shutting down: a request sent while the router closes the
// connection would be lost.
func TestDrainClosesConnections(t *testing.T) {
	s := caller.New(caller.Config{Host: "h1"}, nil, nil)
	for _, draining := range []bool{false, true} {
		if draining {
			s.Drain()
		}
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/unknown", nil))
		if closes := w.Header().Get("Connection") == "close"; closes != draining {
			t.Errorf("draining %t: Connection header is %q", draining, w.Header().Get("Connection"))
		}
	}
}
