// Package operator is the shell towards operators: health, status, explanation
// of single requests, metrics and logs.
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

// queryTimeout bounds the wait for the decision core. A host whose decision core
// takes longer is not healthy.
const queryTimeout = time.Second

// Querier reads the state of the decision core between two reductions. Query
// returns false if it could not run fn before ctx has ended.
type Querier interface {
	Query(ctx context.Context, fn func(st *core.State, now time.Time)) bool
	Load() (steps int64, busy time.Duration)
}

// Server serves operators.
type Server struct {
	core    Querier
	metrics *Metrics
}

// New returns a server.
func New(q Querier, m *Metrics) *Server {
	return &Server{core: q, metrics: m}
}

// Handler returns the HTTP handler for operators.
func (s *Server) Handler() http.Handler {
	c := restful.NewContainer() // net/http recovers from panics and logs them
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

// query runs fn. If the decision core does not run it in time, query answers the
// request and returns false.
func (s *Server) query(r *restful.Request, w *restful.Response, fn func(st *core.State, now time.Time)) bool {
	ctx, cancel := context.WithTimeout(r.Request.Context(), queryTimeout)
	defer cancel()
	if s.core.Query(ctx, fn) {
		return true
	}
	writeJSON(w.ResponseWriter, http.StatusServiceUnavailable, message{"the decision core does not answer"})
	return false
}

// health answers as long as the decision core makes progress.
func (s *Server) health(r *restful.Request, w *restful.Response) {
	if s.query(r, w, func(*core.State, time.Time) {}) {
		writeJSON(w.ResponseWriter, http.StatusOK, message{"ok"})
	}
}

// ready tells a balancer whether the host may take requests.
func (s *Server) ready(r *restful.Request, w *restful.Response) {
	ready := false
	if !s.query(r, w, func(st *core.State, now time.Time) { ready = core.IsReady(st, now) }) {
		return
	}
	if !ready {
		writeJSON(w.ResponseWriter, http.StatusServiceUnavailable, message{"not ready"})
		return
	}
	writeJSON(w.ResponseWriter, http.StatusOK, message{"ready"})
}

func (s *Server) status(r *restful.Request, w *restful.Response) {
	var st core.Status
	if !s.query(r, w, func(state *core.State, now time.Time) { st = core.StatusOf(state, now) }) {
		return
	}
	steps, busy := s.core.Load()
	writeJSON(w.ResponseWriter, http.StatusOK, struct {
		core.Status
		Steps  int64 `json:"events"`
		BusyMS int64 `json:"decision-ms"`
	}{st, steps, busy.Milliseconds()})
}

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

// message is a reply that holds one sentence.
type message struct {
	Message string `json:"message"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
