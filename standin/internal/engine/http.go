package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/standin/internal/record"
)

// Kinds of orders.
const (
	orderRole = "role"
	orderLoad = "load"
)

// failure is a reply with an error status and an engine.Error as its body.
type failure struct {
	status  int
	code    string
	message string
	notRun  bool
}

func badRequest(message string) *failure {
	return &failure{http.StatusBadRequest, engine.CodeBadRequest, message, true}
}

func noRun() *failure {
	return &failure{http.StatusNotFound, engine.CodeNoRun, "the run is unknown", false}
}

func (f *failure) write(w http.ResponseWriter) {
	writeJSON(w, f.status, engine.Error{Code: f.code, Message: f.message, NotRun: f.notRun})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignore the error: the caller has disconnected and sees the failure itself.
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) handlePrefill(r *restful.Request, w *restful.Response) {
	var params engine.PrefillRequest
	if err := json.NewDecoder(r.Request.Body).Decode(&params); err != nil {
		badRequest(err.Error()).write(w)
		return
	}
	if params.Request == "" || params.Attempt == 0 || params.PromptTokens <= 0 {
		badRequest("want request-id, attempt and prompt-tokens").write(w)
		return
	}
	p, f := e.addPrefill(params)
	if f != nil {
		f.write(w)
		return
	}
	select {
	case <-p.done:
	case <-r.Request.Context().Done():
		e.abandonPrefill(p)
		return
	}
	switch p.outcome {
	case record.EndFinished:
		writeJSON(w, http.StatusOK, p.reply)
	case record.EndDied:
		panic(http.ErrAbortHandler)
	default:
		cancelled().write(w)
	}
}

func cancelled() *failure {
	return &failure{http.StatusConflict, engine.CodeCancelled, "the run was cancelled", false}
}

func (e *Engine) handleDecode(r *restful.Request, w *restful.Response) {
	var params engine.DecodeRequest
	if err := json.NewDecoder(r.Request.Body).Decode(&params); err != nil {
		badRequest(err.Error()).write(w)
		return
	}
	if params.Request == "" || params.Attempt == 0 || params.PromptTokens <= 0 || params.From < 0 || params.MaxTokens <= params.From {
		badRequest("want request-id, attempt, prompt-tokens and max-tokens above from").write(w)
		return
	}
	run, f := e.addRun(params)
	if f != nil {
		f.write(w)
		return
	}
	e.serveRun(r, w, run, params.From)
}

// serveRun waits until the KV cache of a run has arrived and then streams the run's
// output from the token offset from. It replies with an error if the run has failed or
// was cancelled.
func (e *Engine) serveRun(r *restful.Request, w *restful.Response, run *run, from int64) {
	e.addReader(run)
	defer e.removeReader(run)
	for {
		_, outcome, changed := e.outputFrom(run, from)
		if f := e.runFailure(run, outcome); f != nil {
			f.write(w)
			return
		}
		select {
		case <-run.ready:
			e.stream(r.Request.Context(), w, run, from)
			return
		case <-changed:
		case <-r.Request.Context().Done():
			return
		}
	}
}

// runFailure returns the error reply for a run that has failed or was cancelled,
// otherwise nil. If the engine has died, it aborts the connection.
func (e *Engine) runFailure(run *run, outcome string) *failure {
	switch outcome {
	case record.EndKVLost:
		return &failure{http.StatusGone, engine.CodeKVLost, run.failure.Error(), true}
	case record.EndRejected:
		return badRequest(run.failure.Error())
	case record.EndCancelled, record.EndOrphaned:
		return cancelled()
	case record.EndDied:
		panic(http.ErrAbortHandler)
	}
	return nil
}

// attemptKey returns the key of the attempt in the request path.
func attemptKey(r *restful.Request) (runKey, error) {
	attempt, err := strconv.ParseUint(r.PathParameter("attempt"), 10, 32)
	if err != nil {
		return runKey{}, errors.New("attempt: want a whole number")
	}
	return runKey{id.Request(r.PathParameter("request")), id.Attempt(attempt)}, nil
}

func (e *Engine) handleResume(r *restful.Request, w *restful.Response) {
	k, err := attemptKey(r)
	if err != nil {
		badRequest(err.Error()).write(w)
		return
	}
	from, err := strconv.ParseInt(r.QueryParameter("from"), 10, 64)
	if err != nil {
		badRequest("from: want a whole number").write(w)
		return
	}
	e.mu.Lock()
	run, ok := e.runs[k]
	e.mu.Unlock()
	if !ok {
		noRun().write(w)
		return
	}
	if from < run.params.From {
		badRequest("from is before the first token of the run").write(w)
		return
	}
	e.serveRun(r, w, run, from)
}

func (e *Engine) handleCancel(r *restful.Request, w *restful.Response) {
	k, err := attemptKey(r)
	if err != nil {
		badRequest(err.Error()).write(w)
		return
	}
	e.mu.Lock()
	known := e.cancel(k)
	e.mu.Unlock()
	if !known {
		noRun().write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleLoad(_ *restful.Request, w *restful.Response) {
	e.mu.Lock()
	load := e.laggedLoad()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

func (e *Engine) handleCacheEvents(r *restful.Request, w *restful.Response) {
	var seq uint64
	if text := r.QueryParameter("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			badRequest("after: want a whole number").write(w)
			return
		}
		seq = n
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(seq, time.Now().Add(-e.cfg.ReportLag))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, engine.CacheEvents{Events: events})
}

func (e *Engine) handleOrder(r *restful.Request, w *restful.Response) {
	var order engine.Order
	if err := json.NewDecoder(r.Request.Body).Decode(&order); err != nil {
		badRequest(err.Error()).write(w)
		return
	}
	f := e.applyOrder(order)
	e.records.AddOrder(record.Order{
		Endpoint: e.cfg.Name,
		Fence:    order.Fence,
		Kind:     order.Kind,
		Accepted: f == nil,
		Time:     time.Now(),
	})
	if f != nil {
		f.write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder applies an order. It returns an error reply if the engine refuses the
// order, otherwise nil. Work in progress continues.
func (e *Engine) applyOrder(order engine.Order) *failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	role := table.Role(order.Role)
	switch {
	case order.Kind != orderRole && order.Kind != orderLoad:
		return badRequest("unknown kind of order")
	case order.Kind == orderRole && role != table.RolePrefill && role != table.RoleDecode:
		return badRequest("unknown role")
	case e.cfg.Fencing == table.FencingChecked && order.Fence < e.fence:
		return &failure{http.StatusConflict, engine.CodeStaleFence, "the fencing token is stale", true}
	}
	e.fence = max(e.fence, order.Fence)
	if order.Kind == orderRole {
		e.role = role
	}
	return nil
}

func (e *Engine) handleExport(r *restful.Request, w *restful.Response) {
	k := e.pinKV(r.PathParameter("id"))
	if k == nil {
		kvLost().write(w)
		return
	}
	if err := e.sendKV(r.Request.Context(), k); err != nil {
		kvLost().write(w)
		return
	}
	writeJSON(w, http.StatusOK, k.export)
}

func kvLost() *failure {
	return &failure{http.StatusGone, engine.CodeKVLost, "the KV cache is gone", true}
}
