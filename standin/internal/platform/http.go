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

// errTooLarge reports that a value exceeds object.MaxValueBytes bytes.
var errTooLarge = errors.New("value is too large")

// discardWriter is an http.ResponseWriter that drops the reply.
type discardWriter struct{}

// Header returns a new header map, which is never sent.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write drops p and reports success.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (discardWriter) WriteHeader(int) {}

// keyOf returns the key of the object in the request path.
func keyOf(r *restful.Request) objectKey {
	return objectKey{kind: r.PathParameter("kind"), name: r.PathParameter("name")}
}

// uintParameter returns a required query parameter as an unsigned integer. If that
// fails, it replies with status 400 and returns false.
func uintParameter(r *restful.Request, w *restful.Response, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.QueryParameter(name), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("parameter %s: want a whole number", name), http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

func readValue(r *http.Request) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(r.Body, object.MaxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read value: %w", err)
	}
	if len(value) > object.MaxValueBytes {
		return nil, errTooLarge
	}
	return value, nil
}

func writeJSON(w *restful.Response, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignore the error: the caller has disconnected and sees the failure itself.
	_ = json.NewEncoder(w).Encode(v)
}
