package caller

import (
	"context"
	"net/http"
	"time"

	"ragwortshunt.example/platform/exchange"
)

// memoryRetryAfter is sent to callers whose request finds no memory. Another host may have some.
const memoryRetryAfter = time.Second

// promptCopies is the number of times that the text of a prompt is held beside the body: as it is
// decoded, and as the prompt for engines.
const promptCopies = 2

type memoryKey struct{}

// withMemory returns a context with the memory of a request, which may be nil.
func withMemory(ctx context.Context, m *exchange.Memory) context.Context {
	return context.WithValue(ctx, memoryKey{}, m)
}

// memoryFrom returns the memory of a request, or nil if it has no limit.
func memoryFrom(ctx context.Context) *exchange.Memory {
	m, _ := ctx.Value(memoryKey{}).(*exchange.Memory)
	return m
}

// Refuse refuses a request that Handler has not got.
func (s *Server) Refuse(w http.ResponseWriter, _ *http.Request, status int) {
	switch status {
	case http.StatusServiceUnavailable:
		rejectForMemory(w)
	case http.StatusRequestHeaderFieldsTooLarge:
		rejectRequest(w, status, codeHeadTooLarge, "the head of the request is too large")
	default:
		rejectRequest(w, status, codeInvalidRequest, http.StatusText(status))
	}
}

func rejectForMemory(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter(memoryRetryAfter))
	rejectRequest(w, http.StatusServiceUnavailable, codeNoMemory, "the host has no memory left for requests")
}
