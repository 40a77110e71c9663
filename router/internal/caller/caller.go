// Package caller is the adapter between callers and the decision core. It serves
// an OpenAI-compatible HTTP API for models and the routes of plain services.
//
// It checks the caller's API key against the current table and passes on only the
// key's ID: no event, log line, metric or call to an endpoint contains the key.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/platform/exchange"
	"ragwortshunt.example/router/internal/inflight"
)

// ErrCaller is wrapped by all errors of this package.
var ErrCaller = errors.New("caller")

const (
	servicePrefix = "/services/"
	headerRequest = "Request-Id"
)

// Poster receives the events that the server produces.
type Poster interface {
	Post(ev core.Event)
}

// Config holds the limits of the caller API.
type Config struct {
	Host             id.Host
	Incarnation      id.Incarnation
	MaxBodyBytes     int64            // size limit of a request body, in bytes
	DefaultMaxTokens int64            // output limit of a request without max_tokens, in tokens
	BodyTimeout      time.Duration    // time limit for receiving a request body; 0 means no limit
	Budget           *exchange.Budget // memory of bodies and unread answers; nil means no limit
}

// Server serves the HTTP API for callers. Use New to create one.
type Server struct {
	cfg          Config
	poster       Poster
	store        *inflight.Store
	table        atomic.Pointer[table.Snapshot]
	requestCount atomic.Uint64

	draining atomic.Bool

	mu       sync.Mutex
	sessions map[id.Request]*session
}

// New returns a server that refuses every key until SetTable has been called.
func New(cfg Config, p Poster, store *inflight.Store) *Server {
	return &Server{cfg: cfg, poster: p, store: store, sessions: make(map[id.Request]*session)}
}

// SetTable replaces the table against which keys and routes are checked.
func (s *Server) SetTable(t *table.Snapshot) {
	s.table.Store(t)
}

// Handler returns the HTTP handler of the caller API.
func (s *Server) Handler() http.Handler {
	c := restful.NewContainer() // net/http recovers from panics and logs them
	c.ServiceErrorHandler(s.routeError)
	v1 := new(restful.WebService).Path("/v1").Consumes("*/*").Produces("*/*")
	v1.Route(v1.POST("/completions").To(s.completions))
	v1.Route(v1.POST("/chat/completions").To(s.chatCompletions))
	v1.Route(v1.GET("/models").To(s.models))
	c.Add(v1)
	return s.closeWhenDraining(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.setBodyDeadline(w)
		memory := s.cfg.Budget.NewMemory(exchange.ClientFrom(r.Context()))
		defer memory.Release()
		r = r.WithContext(withMemory(r.Context(), memory))
		// A ServeMux would redirect paths that are not in canonical form, but a
		// service must receive the path exactly as the caller sent it.
		switch {
		case strings.HasPrefix(r.URL.Path, "/v1/"):
			c.ServeHTTP(w, r)
		case strings.HasPrefix(r.URL.Path, servicePrefix):
			s.serveService(w, r)
		default:
			rejectRequest(w, http.StatusNotFound, codeNotFound, "no such path")
		}
	}))
}

// Drain makes clients close their connections: every response that starts after
// this call carries "Connection: close". If the server closed an idle connection
// itself, a request in flight on it would be lost.
func (s *Server) Drain() {
	s.draining.Store(true)
}

func (s *Server) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// setBodyDeadline limits the time for receiving the request body. It must run
// before the request is handled, because net/http also reads the body of a
// request that is refused.
func (s *Server) setBodyDeadline(w http.ResponseWriter) {
	if s.cfg.BodyTimeout > 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout))
	}
}

// routeError responds to requests whose path or method the API does not define.
func (s *Server) routeError(err restful.ServiceError, _ *restful.Request, w *restful.Response) {
	code := codeNotFound
	if err.Code == http.StatusMethodNotAllowed {
		code = codeMethodNotAllowed
	}
	rejectRequest(w.ResponseWriter, err.Code, code, "no such path or method")
}

// newRequestID returns a request ID that is unique across hosts and across
// restarts of this host.
func (s *Server) newRequestID() id.Request {
	n := s.requestCount.Add(1)
	return id.Request(fmt.Sprintf("%s-%s-%s", s.cfg.Host,
		strconv.FormatUint(uint64(s.cfg.Incarnation), 36), strconv.FormatUint(n, 36)))
}

// presentedKey returns the key in the Authorization header, or an empty string.
// The name of the scheme is case-insensitive.
func presentedKey(h http.Header) string {
	scheme, key, _ := strings.Cut(strings.TrimSpace(h.Get("Authorization")), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate returns the table entry of the presented key. A request without a
// key passes with an empty entry; the decision core refuses it unless its route
// is open.
func (s *Server) authenticate(presented string) (table.Key, *apiError) {
	if presented == "" {
		return table.Key{}, nil
	}
	snap := s.table.Load()
	if snap == nil {
		return table.Key{}, &apiError{Code: core.CodeNoTable, Message: "no table is in force yet", NotRun: true}
	}
	key, err := table.Authenticate(snap, presented)
	switch {
	case err == nil:
		return key, nil
	case errors.Is(err, table.ErrWithdrawnKey):
		return key, &apiError{Code: core.CodeKeyWithdrawn, Message: "the key has been withdrawn", NotRun: true}
	default:
		return key, &apiError{Code: core.CodeUnauthorized, Message: "the key is not valid", NotRun: true}
	}
}

// openSession registers a request and posts it to the decision core.
func (s *Server) openSession(ev core.RequestArrived, item *inflight.Item, memory *exchange.Memory) *session {
	c := &session{notify: make(chan struct{}, 1), memory: memory}
	s.mu.Lock()
	s.sessions[ev.Request] = c
	s.mu.Unlock()
	s.store.Add(ev.Request, item)
	s.poster.Post(ev)
	return c
}

// closeSession removes a session. The stored item remains until the decision core
// has closed the request, because a service call may still be running.
func (s *Server) closeSession(req id.Request) {
	s.mu.Lock()
	delete(s.sessions, req)
	s.mu.Unlock()
}

// ReleaseRequest removes the stored item of a request that the decision core has closed.
func (s *Server) ReleaseRequest(req id.Request) {
	s.store.Remove(req)
}

// Handle passes an effect to the HTTP handler of its request and adds delivered
// tokens to the stored output. It does not block on the caller.
func (s *Server) Handle(req id.Request, e core.Effect) {
	if d, ok := e.(core.Deliver); ok {
		if item, found := s.store.Get(req); found {
			item.AddOutput(d.Tokens)
		}
	}
	s.mu.Lock()
	c := s.sessions[req]
	s.mu.Unlock()
	if c != nil {
		c.push(e)
	}
}

// processEffects calls fn for each effect until fn returns true. If the caller disconnects, it
// aborts the response, which net/http would otherwise complete for a caller that has closed
// only its own direction of the connection. A panic in fn is reported as a disconnect.
func (s *Server) processEffects(ctx context.Context, req id.Request, c *session, fn func(core.Effect) bool) {
	ended := false
	defer func() {
		s.closeSession(req)
		if !ended {
			s.poster.Post(core.CallerGone{Request: req})
		}
	}()
	for {
		effects, complete := c.take()
		for _, e := range effects {
			if fn(e) {
				ended = true
				return
			}
		}
		if !complete {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-c.notify:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// ActiveRequests returns the number of requests that callers are waiting for.
func (s *Server) ActiveRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// retryAfter formats a duration for the Retry-After header, rounded up to whole
// seconds.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
