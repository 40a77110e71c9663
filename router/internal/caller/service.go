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
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotent-Replayed"
	maxIdempotencyKey    = 255 // bytes
	maxStatus            = 999
	bytesPerToken        = 4 // service calls are charged by the size of their body
)

// forwarded are the headers of a caller that a service receives.
var forwarded = []string{"Content-Type", "Accept", "Accept-Language", headerIdempotencyKey}

// service serves a call of a plain service: /services/{route}/{path below it}.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	presented := presentedKey(r.Header)
	key, body, ok := s.accept(w, r, presented)
	if !ok {
		return
	}
	route, call := serviceCall(r, body)
	if s.callContainsKey(call, presented) {
		badRequest(w, http.StatusBadRequest, codeKeyInRequest, textKeyInRequest)
		return
	}
	if !s.isServiceRoute(route) {
		badRequest(w, http.StatusNotFound, core.CodeUnknownRoute, "no such service route")
		return
	}
	idem := r.Header.Get(headerIdempotencyKey)
	if len(idem) > maxIdempotencyKey {
		badRequest(w, http.StatusBadRequest, codeInvalidRequest, "the Idempotency-Key header is too long")
		return
	}
	req := s.newRequest()
	item := &inflight.Item{Call: call}
	c := s.open(core.RequestArrived{
		Request: req, Route: route, Account: key.Account, Key: key.ID,
		PromptTokens: int64(len(body))/bytesPerToken + 1, IdempotencyKey: idem, Digest: digest(call),
	}, item)
	s.pump(r.Context(), req, c, func(e core.Effect) bool { return writeReply(w, req, item, e) })
}

func (s *Server) isServiceRoute(name id.Route) bool {
	snap := s.table.Load()
	if snap == nil {
		return true // the decision core refuses it
	}
	route, ok := snap.Routes[name]
	return ok && route.Model == ""
}

// serviceCall splits a request into the route and what the endpoint receives.
func serviceCall(r *http.Request, body []byte) (id.Route, *inflight.Call) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	route, below, _ := strings.Cut(rest, "/")
	path := "/" + below
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := make(http.Header)
	for _, name := range forwarded {
		if v := r.Header.Values(name); len(v) > 0 {
			header[name] = v
		}
	}
	return id.Route(route), &inflight.Call{Method: r.Method, Path: path, Header: header, Body: body}
}

// digest tells calls apart that use the same idempotency key.
func digest(c *inflight.Call) string {
	h := sha256.New()
	for _, part := range []string{c.Method, "\x00", c.Path, "\x00"} {
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))[:digestLength]
}

const digestLength = 32 // hex digits, 128 bits

func writeReply(w http.ResponseWriter, req id.Request, item *inflight.Item, e core.Effect) bool {
	switch e := e.(type) {
	case core.Reply:
		copyReply(w, req, item, e)
		return true
	case core.Refuse:
		writeRefusal(w, e)
		return true
	default:
		return false
	}
}

func copyReply(w http.ResponseWriter, req id.Request, item *inflight.Item, e core.Reply) {
	reply := item.Reply()
	if e.Recorded {
		reply = new(inflight.Reply)
		if json.Unmarshal(e.Outcome, reply) != nil || reply.Status < http.StatusOK || reply.Status > maxStatus {
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
