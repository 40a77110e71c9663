// Package caller is the shell towards callers: an OpenAI-style HTTP API for
// models and plain service routes.
//
// The key is checked here against the table in force and then dropped: no
// event, log line, metric or call to an endpoint contains it.
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
	"ragwortshunt.example/router/internal/inflight"
)

// ErrCaller is the base of the errors of this package.
var ErrCaller = errors.New("caller")

const (
	servicePrefix = "/services/"
	headerRequest = "Request-Id"
)

// Poster takes the events that the shell produces.
type Poster interface {
	Post(ev core.Event)
}

// Config holds the limits of the caller API.
type Config struct {
	Host         id.Host
	Incarnation  id.Incarnation
	MaxBody      int64         // bytes of a request body
	DefaultLimit int64         // output limit of a request that states none, in tokens
	BodyTimeout  time.Duration // longest time in which a request body arrives; 0 is no bound
}

// Server serves callers.
type Server struct {
	cfg    Config
	poster Poster
	store  *inflight.Store
	table  atomic.Pointer[table.Snapshot]
	serial atomic.Uint64

	draining atomic.Bool

	mu       sync.Mutex
	sessions map[id.Request]*session
}

// New returns a server.
func New(cfg Config, p Poster, store *inflight.Store) *Server {
	return &Server{cfg: cfg, poster: p, store: store, sessions: make(map[id.Request]*session)}
}

// SetTable sets the table against which keys are checked.
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
	return s.closing(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.boundBody(w)
		// A ServeMux would redirect paths that are not in canonical form. A service
		// gets its path as the caller wrote it.
		switch {
		case strings.HasPrefix(r.URL.Path, "/v1/"):
			c.ServeHTTP(w, r)
		case strings.HasPrefix(r.URL.Path, servicePrefix):
			s.service(w, r)
		default:
			badRequest(w, http.StatusNotFound, codeNotFound, "no such path")
		}
	}))
}

// Drain makes callers give up their connections: from now on each answer that
// begins says that its connection closes. A connection that the server closes
// while it is idle can lose a request that is on its way.
func (s *Server) Drain() {
	s.draining.Store(true)
}

func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// boundBody bounds the time in which the body arrives. It comes before
// everything else, because the server also reads the body of a request that is
// refused.
func (s *Server) boundBody(w http.ResponseWriter) {
	if s.cfg.BodyTimeout > 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout))
	}
}

// routeError answers requests that match no route of the API.
func (s *Server) routeError(err restful.ServiceError, _ *restful.Request, w *restful.Response) {
	code := codeNotFound
	if err.Code == http.StatusMethodNotAllowed {
		code = codeMethodNotAllowed
	}
	badRequest(w.ResponseWriter, err.Code, code, "no such path or method")
}

// newRequest returns an ID that no other host and no other process of this host
// uses.
func (s *Server) newRequest() id.Request {
	n := s.serial.Add(1)
	return id.Request(fmt.Sprintf("%s-%s-%s", s.cfg.Host,
		strconv.FormatUint(uint64(s.cfg.Incarnation), 36), strconv.FormatUint(n, 36)))
}

// presentedKey returns the key of a request, or an empty string. The name of
// the scheme is the same in upper and lower case.
func presentedKey(h http.Header) string {
	scheme, key, _ := strings.Cut(strings.TrimSpace(h.Get("Authorization")), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate returns the ID and the client account of the presented key. A
// request without a key passes; the decision core refuses it unless its route
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

// session connects a waiting HTTP handler with the decision core. Its queue is
// bounded by the output limit of the request.
type session struct {
	mu     sync.Mutex
	queue  []core.Effect
	notify chan struct{}
}

func (c *session) push(e core.Effect) {
	c.mu.Lock()
	c.queue = append(c.queue, e)
	c.mu.Unlock()
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

func (c *session) take() []core.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.queue
	c.queue = nil
	return out
}

// open registers a request and tells the decision core of it.
func (s *Server) open(ev core.RequestArrived, item *inflight.Item) *session {
	c := &session{notify: make(chan struct{}, 1)}
	s.mu.Lock()
	s.sessions[ev.Request] = c
	s.mu.Unlock()
	s.store.Add(ev.Request, item)
	s.poster.Post(ev)
	return c
}

// shut ends a session. The item stays until the decision core has let go of the
// request, because a service call may still run.
func (s *Server) shut(req id.Request) {
	s.mu.Lock()
	delete(s.sessions, req)
	s.mu.Unlock()
}

// Forget drops the body of a request that the decision core has closed.
func (s *Server) Forget(req id.Request) {
	s.store.Remove(req)
}

// Handle passes an effect to the handler of its request.
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

// pump calls fn for each effect until fn returns true or the caller goes away.
// A panic of fn counts as the latter.
func (s *Server) pump(ctx context.Context, req id.Request, c *session, fn func(core.Effect) bool) {
	ended := false
	defer func() {
		s.shut(req)
		if !ended {
			s.poster.Post(core.CallerGone{Request: req})
		}
	}()
	for {
		for _, e := range c.take() {
			if fn(e) {
				ended = true
				return
			}
		}
		select {
		case <-c.notify:
		case <-ctx.Done():
			return
		}
	}
}

// Busy returns the number of callers that wait.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// retryAfter formats a duration for the Retry-After header, in whole seconds.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
