// Package operator is the shell towards operators: health, status, explanation
// of single requests, metrics and logs.
package operator

import (
	"encoding/json"
	"net/http"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// Querier reads the state of the decision core between two reductions.
type Querier interface {
	Query(fn func(st *core.State, now time.Time)) bool
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
	c := restful.NewContainer()
	c.DoNotRecover(false)
	ws := new(restful.WebService).Path("/").Produces("*/*")
	ws.Route(ws.GET("/healthz").To(s.health))
	ws.Route(ws.GET("/readyz").To(s.ready))
	ws.Route(ws.GET("/status").To(s.status))
	ws.Route(ws.GET("/explain/{request}").To(s.explain))
	c.Add(ws)
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.metrics.Handler())
	mux.Handle("/", c)
	return mux
}

// health answers as long as the decision core makes progress.
func (s *Server) health(_ *restful.Request, w *restful.Response) {
	if !s.core.Query(func(*core.State, time.Time) {}) {
		writeJSON(w.ResponseWriter, http.StatusServiceUnavailable, message{"stopped"})
		return
	}
	writeJSON(w.ResponseWriter, http.StatusOK, message{"ok"})
}

// ready tells a balancer whether the host may take requests.
func (s *Server) ready(_ *restful.Request, w *restful.Response) {
	ready := false
	s.core.Query(func(st *core.State, now time.Time) { ready = core.IsReady(st, now) })
	if !ready {
		writeJSON(w.ResponseWriter, http.StatusServiceUnavailable, message{"not ready"})
		return
	}
	writeJSON(w.ResponseWriter, http.StatusOK, message{"ready"})
}

func (s *Server) status(_ *restful.Request, w *restful.Response) {
	var st core.Status
	ok := s.core.Query(func(state *core.State, now time.Time) { st = core.StatusOf(state, now) })
	if !ok {
		writeJSON(w.ResponseWriter, http.StatusServiceUnavailable, message{"stopped"})
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
	s.core.Query(func(st *core.State, _ time.Time) { rec, found = core.Explain(st, req) })
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
