// Package operator is the adapter for operators. It serves health and readiness checks,
// the status, the records of individual requests and metrics over HTTP, and writes the log.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// queryTimeout is the maximum wait for the decision core. A host whose decision core
// takes longer is unhealthy.
const queryTimeout = time.Second

// Querier reads the state of the decision core between two events. Query returns false
// if it could not run fn before the end of ctx. Load returns the number of processed
// events and the total time spent on them.
type Querier interface {
	Query(ctx context.Context, fn func(st *core.State, now time.Time)) bool
	Load() (processed int64, busy time.Duration)
	// Healthy reports whether the decision core handles events without errors.
	Healthy() bool
}

// Server serves the HTTP requests of operators.
type Server struct {
	core    Querier
	metrics *Metrics
}

// New returns a server that reads the state through q and serves the metrics of m.
func New(q Querier, m *Metrics) *Server {
	return &Server{core: q, metrics: m}
}

// Handler returns the HTTP handler of all paths for operators.
func (s *Server) Handler() http.Handler {
	// The container does not recover from panics, because net/http recovers from them and
	// logs them.
	c := restful.NewContainer()
	ws := new(restful.WebService).Path("/").Produces("*/*")
	ws.Route(ws.GET("/healthz").To(s.health))
	ws.Route(ws.GET("/readyz").To(s.ready))
	ws.Route(ws.GET("/status").To(s.status))
	ws.Route(ws.GET("/explain/{request}").To(s.explain))
	c.ServiceErrorHandler(func(err restful.ServiceError, _ *restful.Request, w *restful.Response) {
		writeJSON(w.ResponseWriter, err.Code, message{"no such path or method"})
	})
	c.Add(ws)
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.metrics.Handler())
	mux.Handle("/", c)
	return mux
}

// query runs fn with the state of the decision core. If the decision core does not run fn
// within queryTimeout, query responds with status 503 and returns false.
func (s *Server) query(r *restful.Request, w *restful.Response, fn func(st *core.State, now time.Time)) bool {
	ctx, cancel := context.WithTimeout(r.Request.Context(), queryTimeout)
	defer cancel()
	if s.core.Query(ctx, fn) {
		return true
	}
	writeJSON(w.ResponseWriter, http.StatusServiceUnavailable, message{"the decision core does not answer"})
	return false
}

// health responds with status 200 as long as the decision core processes events.
func (s *Server) health(r *restful.Request, w *restful.Response) {
	if s.query(r, w, func(*core.State, time.Time) {}) {
		writeJSON(w.ResponseWriter, http.StatusOK, message{"ok"})
	}
}

// ready responds to the readiness checks of a load balancer: status 200 if the host may
// receive requests, otherwise 503.
func (s *Server) ready(r *restful.Request, w *restful.Response) {
	ready := false
	if !s.query(r, w, func(st *core.State, now time.Time) { ready = core.IsReady(st, now) }) {
		return
	}
	if !ready || !s.core.Healthy() {
		writeJSON(w.ResponseWriter, http.StatusServiceUnavailable, message{"not ready"})
		return
	}
	writeJSON(w.ResponseWriter, http.StatusOK, message{"ready"})
}

// status responds with the status of the core and the statistics of its event loop.
func (s *Server) status(r *restful.Request, w *restful.Response) {
	var st core.Status
	if !s.query(r, w, func(state *core.State, now time.Time) { st = core.StatusOf(state, now) }) {
		return
	}
	processed, busy := s.core.Load()
	writeJSON(w.ResponseWriter, http.StatusOK, struct {
		core.Status
		ProcessedEvents int64 `json:"events"`
		BusyMS          int64 `json:"decision-ms"`
	}{st, processed, busy.Milliseconds()})
}

// explain responds with the record of one request, or with status 404 if this host has
// none.
func (s *Server) explain(r *restful.Request, w *restful.Response) {
	var rec core.Record
	found := false
	req := id.Request(r.PathParameter("request"))
	if !s.query(r, w, func(st *core.State, _ time.Time) { rec, found = core.Explain(st, req) }) {
		return
	}
	if !found {
		writeJSON(w.ResponseWriter, http.StatusNotFound, message{"this host does not know the request"})
		return
	}
	writeJSON(w.ResponseWriter, http.StatusOK, rec)
}

// message is a response body that consists of one text.
type message struct {
	Message string `json:"message"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
