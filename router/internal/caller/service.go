package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/router/internal/inflight"
)

const (
	headerIdempotencyKey   = "Idempotency-Key"
	headerReplayed         = "Idempotent-Replayed"
	maxIdempotencyKeyBytes = 255
	maxHTTPStatus          = 999 // http.ResponseWriter accepts no status with more than three digits
	bytesPerToken          = 4   // service calls are charged rate tokens by the size of their body
)

// forwardedHeaders lists the request headers that are forwarded to a service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerIdempotencyKey}

// serveService serves a call to a plain service. The path of the request is
// /services/{route}/{path of the service}.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	presented := presentedKey(r.Header)
	key, body, ok := s.authenticateAndReadBody(w, r, presented)
	if !ok {
		return
	}
	route, call := serviceCall(r, body)
	if s.callContainsKey(call, presented) {
		rejectRequest(w, http.StatusBadRequest, codeKeyInRequest, textKeyInRequest)
		return
	}
	if !s.isServiceRoute(route) {
		rejectRequest(w, http.StatusNotFound, core.CodeUnknownRoute, "no such service route")
		return
	}
	idempotencyKey := r.Header.Get(headerIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		rejectRequest(w, http.StatusBadRequest, codeInvalidRequest, "the Idempotency-Key header is too long")
		return
	}
	req := s.newRequestID()
	item := &inflight.Item{Call: call, Memory: memoryFrom(r.Context())}
	session := s.openSession(core.RequestArrived{
		Request: req, Route: route, Account: key.Account, Key: key.ID,
		PromptTokens: int64(len(body))/bytesPerToken + 1, IdempotencyKey: idempotencyKey, Digest: digest(call),
	}, item, memoryFrom(r.Context()))
	s.processEffects(r.Context(), req, session, func(e core.Effect) bool { return handleServiceEffect(w, req, item, e) })
}

func (s *Server) isServiceRoute(name id.Route) bool {
	snap := s.table.Load()
	if snap == nil {
		return true // the decision core refuses requests while there is no table
	}
	route, ok := snap.Routes[name]
	return ok && route.Model == ""
}

// serviceCall splits a request into its route and the call that the endpoint
// receives.
func serviceCall(r *http.Request, body []byte) (id.Route, *inflight.Call) {
	routePath := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	route, subpath, _ := strings.Cut(routePath, "/")
	path := "/" + subpath
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := make(http.Header)
	for _, name := range forwardedHeaders {
		if v := r.Header.Values(name); len(v) > 0 {
			header[name] = v
		}
	}
	return id.Route(route), &inflight.Call{Method: r.Method, Path: path, Header: header, Body: body}
}

// digest returns a hash of a call. It detects that an idempotency key is reused
// for a different call.
func digest(c *inflight.Call) string {
	h := sha256.New()
	for _, field := range []string{c.Method, "\x00", c.Path, "\x00"} {
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))[:digestLength]
}

const digestLength = 32 // hex digits, 128 bits

func handleServiceEffect(w http.ResponseWriter, req id.Request, item *inflight.Item, e core.Effect) bool {
	switch e := e.(type) {
	case core.Reply:
		writeServiceReply(w, req, item, e)
		return true
	case core.Refuse:
		writeRefusal(w, e)
		return true
	default:
		return false
	}
}

func writeServiceReply(w http.ResponseWriter, req id.Request, item *inflight.Item, e core.Reply) {
	reply := item.Reply()
	if e.Recorded {
		reply = new(inflight.Reply)
		if json.Unmarshal(e.Outcome, reply) != nil || reply.Status < http.StatusOK || reply.Status > maxHTTPStatus {
			reply = nil
		}
	}
	if reply == nil {
		writeError(w, http.StatusConflict, apiError{
			Code: core.CodeOutcomeUnknown, Message: "the call has run; its reply is not kept", Request: req,
		})
		return
	}
	for name, values := range reply.Header {
		w.Header()[name] = values
	}
	if e.Recorded {
		w.Header().Set(headerReplayed, "true")
	}
	w.Header().Set(headerRequest, string(req))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
