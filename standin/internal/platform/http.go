package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/object"
)

// errTooLarge tells that a value exceeds object.MaxValue.
var errTooLarge = errors.New("value is too large")

// discard is a response writer whose reply goes nowhere.
type discard struct{}

// Header returns headers that nobody reads.
func (discard) Header() http.Header { return http.Header{} }

// Write drops p.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader does nothing.
func (discard) WriteHeader(int) {}

func ref(r *restful.Request) reference {
	return reference{kind: r.PathParameter("kind"), name: r.PathParameter("name")}
}

// number reads a query parameter that must be present.
func number(r *restful.Request, w *restful.Response, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.QueryParameter(name), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("parameter %s: want a whole number", name), http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

func readValue(r *http.Request) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(r.Body, object.MaxValue+1))
	if err != nil {
		return nil, fmt.Errorf("read value: %w", err)
	}
	if len(value) > object.MaxValue {
		return nil, errTooLarge
	}
	return value, nil
}

func writeJSON(w *restful.Response, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone, which its own error tells it.
	_ = json.NewEncoder(w).Encode(v)
}
