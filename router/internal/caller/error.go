package caller

import (
	"encoding/json"
	"net/http"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/schedule"
)

// Codes of requests that are refused before they reach the decision core.
const (
	codeNotFound         = "not-found"
	codeMethodNotAllowed = "method-not-allowed"
	codeHeadTooLarge     = "head-too-large"
	codeNoMemory         = "no-memory"
	codeBodyTooLarge     = "body-too-large"
	codeBodyUnreadable   = "body-unreadable"
	codeLengthRequired   = "length-required"
	codeInvalidRequest   = "invalid-request"
	codeKeyInRequest     = "key-in-request"
)

const textKeyInRequest = "the request contains a caller's key outside of the Authorization header"

// apiError describes a refusal to the caller.
type apiError struct {
	Code    string     `json:"code"`
	Message string     `json:"message"`
	Request id.Request `json:"request-id,omitempty"`
	NotRun  bool       `json:"not-run"`
}

// errorBody is the JSON body of a refusal, or its event in a stream.
type errorBody struct {
	Error apiError `json:"error"`
}

// statusOf returns the HTTP status of a refusal code.
func statusOf(code string) int {
	switch code {
	case core.CodeUnauthorized, core.CodeKeyWithdrawn:
		return http.StatusUnauthorized
	case core.CodeUnknownRoute, core.CodeRouteRemoved:
		return http.StatusNotFound
	case core.CodeRateLimited, schedule.ReasonQueueFull:
		return http.StatusTooManyRequests
	case core.CodeTooManyTokens, core.CodeKeyMissing, schedule.ReasonTooLarge:
		return http.StatusBadRequest
	case core.CodeKeyMismatch:
		return http.StatusUnprocessableEntity
	case core.CodeKeyExpired, core.CodeOutcomeUnknown:
		return http.StatusConflict
	case core.CodeEndpointFailed:
		return http.StatusBadGateway
	case core.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func writeError(w http.ResponseWriter, status int, e apiError) {
	w.Header().Set("Content-Type", "application/json")
	if e.Request != "" {
		w.Header().Set(headerRequest, string(e.Request))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: e})
}

func writeRefusal(w http.ResponseWriter, e core.Refuse) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(e.RetryAfter))
	}
	writeError(w, statusOf(e.Code), toAPIError(e))
}

func toAPIError(e core.Refuse) apiError {
	return apiError{Code: e.Code, Message: e.Text, Request: e.Request, NotRun: e.NotRun}
}

// rejectRequest refuses a request that never reaches the decision core. not-run
// is therefore always true.
func rejectRequest(w http.ResponseWriter, status int, code, message string) {
	writeError(w, status, apiError{Code: code, Message: message, NotRun: true})
}
