package process

import (
	"encoding/json"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/standin/internal/fault"
)

// controlHandler returns the HTTP API of the control address:
//
//	POST /fault {target, kind, value, duration-ms, count} -> 204, or 400
//	GET  /fault                                           -> active faults, list of fault.Fault
//	GET  /record/search?text=TEXT                         -> record.SearchResult
//	GET  /record/runs?request=ID                          -> list of record.Run; all runs if request is missing
//	GET  /record/executions                               -> list of record.Execution
//	GET  /record/orders                                   -> list of record.Order
func (p *Process) controlHandler() http.Handler {
	ws := new(restful.WebService)
	ws.Route(ws.POST("/fault").To(p.setFault))
	ws.Route(ws.GET("/fault").To(func(_ *restful.Request, w *restful.Response) {
		writeJSON(w, p.faults.Active())
	}))
	ws.Route(ws.GET("/record/search").To(p.search))
	ws.Route(ws.GET("/record/runs").To(func(r *restful.Request, w *restful.Response) {
		writeJSON(w, p.records.Runs(id.Request(r.QueryParameter("request"))))
	}))
	ws.Route(ws.GET("/record/executions").To(func(_ *restful.Request, w *restful.Response) {
		writeJSON(w, p.records.Executions())
	}))
	ws.Route(ws.GET("/record/orders").To(func(_ *restful.Request, w *restful.Response) {
		writeJSON(w, p.records.Orders())
	}))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

func (p *Process) setFault(r *restful.Request, w *restful.Response) {
	var f fault.Fault
	d := json.NewDecoder(r.Request.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, "fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.faults.Apply(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Process) search(r *restful.Request, w *restful.Response) {
	text := r.QueryParameter("text")
	if text == "" {
		http.Error(w, "text is missing", http.StatusBadRequest)
		return
	}
	writeJSON(w, p.records.Search(text))
}

func writeJSON(w *restful.Response, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Ignore the error: the caller has disconnected and sees the failure itself.
	_ = json.NewEncoder(w).Encode(v)
}
