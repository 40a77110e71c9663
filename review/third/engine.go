package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The headers of requests and answers.
const (
	headerID       = "X-Ragwortshunt-Attempt-Id"
	headerSeal     = "X-Ragwortshunt-Response-Seal"
	headerNotRun   = "X-Ragwortshunt-Not-Executed"
	headerExpected = "X-Ragwortshunt-Expected-Instance"
	headerStage    = "X-Ragwortshunt-Stage"
	headerSource   = "X-Ragwortshunt-Kv-Source"
	headerUsage    = "X-Ragwortshunt-Token-Usage"
	headerPrefix   = "X-Ragwortshunt-Prompt-Prefix"
)

// What an engine does as on the sheet of the deployment.
const (
	prefillTokensPerMS = 33
	stride             = 9 // tokens of an event
	handleTTL          = 500 * time.Millisecond
)

// run is the work of an engine on the answer to one request.
type run struct {
	id      string
	engine  *engine
	begun   time.Time
	ended   time.Time // zero while it works
	events  int
	stopped bool // a move with last has stopped it
}

// engines are the model runners of a deployment, which share what they hand to each other.
type engines struct {
	rec *record

	mu      sync.Mutex
	list    []*engine
	handles map[string]time.Time // by address and handle, until they lapse
	next    int
	runs    []*run
}

// engine is a stand-in of one model runner.
type engine struct {
	all       *engines
	id        string
	zone      string
	stage     string
	address   string
	eventTime time.Duration // between two events
	born      int64

	onCrash func(id string) // ends the process and its connections; see crashPart
	// crashPart is the ID of a part of prompts under which the runner crashes when it begins to
	// write an answer. Empty means none.
	crashPart  string
	crashAfter int // events that it writes before
}

func (e *engine) entry(service string) map[string]any {
	return map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 32, "state": "ready",
		"cold_remaining_ms": 0, "stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": 1, "born": e.born,
	}
}

// addEngines starts model runners and registers them in the store.
func (c *cluster) addEngines(all *engines, service, stage string, n int, eventTime time.Duration) error {
	for i := range n {
		e := &engine{
			all: all, id: fmt.Sprintf("i-%s%d", stage, i), zone: zones[i%len(zones)], stage: stage,
			eventTime: eventTime, born: time.Now().UnixMilli(),
		}
		address, err := c.serve(e)
		if err != nil {
			return err
		}
		e.address = address
		all.list = append(all.list, e)
		c.store.put("servers", e.id, e.entry(service))
	}
	return nil
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/ragwortshunt/report":
		reply(w, http.StatusOK, map[string]any{"stage": e.stage, "busy": false, "sequence": 0, "waiting": 0, "running": 0})
		return
	case strings.HasPrefix(r.URL.Path, "/ragwortshunt/kv-handle/"):
		e.free(strings.TrimPrefix(r.URL.Path, "/ragwortshunt/kv-handle/"))
		return
	case r.URL.Path == "/ragwortshunt/kv-move":
		e.move(w, r, body)
		return
	case r.URL.Path == "/ragwortshunt/order":
		w.WriteHeader(http.StatusConflict) // another order is in progress
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if r.Header.Get(headerExpected) != e.id {
		w.Header().Set("X-Ragwortshunt-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prefill := r.Header.Get(headerStage) == "prefill"
	switch {
	case id == "":
		refuse(w, http.StatusBadRequest)
	case prefill != (e.stage == "prefill"):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case prefill:
		e.prefill(w, r)
	case !e.take(r.Header.Get(headerSource)):
		refuse(w, http.StatusServiceUnavailable)
	default:
		e.decode(w, r, id)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

// usage returns the prompt tokens and the output limit of a request.
func usage(h http.Header) (prompt, output int) {
	a, b, _ := strings.Cut(h.Get(headerUsage), ",")
	prompt, _ = strconv.Atoi(a)
	output, _ = strconv.Atoi(b)
	return prompt, output
}

func (e *engine) prefill(w http.ResponseWriter, r *http.Request) {
	prompt, _ := usage(r.Header)
	time.Sleep(time.Duration(prompt/prefillTokensPerMS) * time.Millisecond)
	e.all.mu.Lock()
	e.all.next++
	handle := fmt.Sprintf("%012x", 0x3fa09c000000+e.all.next)
	e.all.handles[e.address+"/"+handle] = time.Now().Add(handleTTL)
	e.all.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"kv_handle": handle, "tokens": prompt, "version": 1})
}

// take uses a handle, and reports whether it was still kept.
func (e *engine) take(source string) bool {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	until, ok := e.all.handles[source]
	delete(e.all.handles, source)
	return ok && time.Now().Before(until)
}

func (e *engine) free(handle string) {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	delete(e.all.handles, e.address+"/"+handle)
}

// move answers a call that moves the memory of a run. With last, it stops the run first.
func (e *engine) move(w http.ResponseWriter, r *http.Request, body []byte) {
	var call struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if expected := r.Header.Get(headerExpected); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.all.mu.Lock()
	found := e.all.working(call.ID, e)
	if found != nil && call.Last {
		found.stopped = true
		e.all.end(found)
	}
	e.all.mu.Unlock()
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.all.rec.add("%s is asked to move %s (last %t)", e.id, call.ID, call.Last)
	reply(w, http.StatusOK, map[string]any{"kv_handle": "m" + call.ID, "created": found.events})
}

// working returns the run of a request at an engine, or nil. The caller holds the lock.
func (a *engines) working(id string, e *engine) *run {
	for _, r := range a.runs {
		if r.id == id && r.engine == e && r.ended.IsZero() {
			return r
		}
	}
	return nil
}

// end ends a run. The caller holds the lock.
func (a *engines) end(r *run) {
	if !r.ended.IsZero() {
		return
	}
	r.ended = time.Now()
	a.rec.add("%s ends its run of %s after %d events (stopped %t)", r.engine.id, r.id, r.events, r.stopped)
}

// crash ends the process of the runner, in the run of a request.
func (e *engine) crash(r *run) {
	e.onCrash(r.id)
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	e.all.end(r)
}

// decode runs a request and streams its events. The run ends if its connection closes.
func (e *engine) decode(w http.ResponseWriter, r *http.Request, id string) {
	_, output := usage(r.Header)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	this := &run{id: id, engine: e, begun: time.Now()}
	e.all.mu.Lock()
	e.all.runs = append(e.all.runs, this)
	e.all.mu.Unlock()
	e.all.rec.add("%s begins to run %s after event %d", e.id, id, last)
	crashes := e.crashPart != "" && strings.Contains(r.Header.Get(headerPrefix), e.crashPart+":")
	if crashes && e.crashAfter == 0 {
		e.crash(this)
		return
	}
	w.Header().Set(headerSeal, "seal."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	due := time.Now()
	for n := last + 1; n <= output/stride; n++ {
		due = due.Add(e.eventTime)
		time.Sleep(time.Until(due))
		e.all.mu.Lock()
		this.events++
		stopped := this.stopped
		e.all.mu.Unlock()
		if stopped || r.Context().Err() != nil {
			break
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = flusher.Flush()
		if crashes && n-last == e.crashAfter {
			e.crash(this)
			return
		}
	}
	e.all.mu.Lock()
	e.all.end(this)
	e.all.mu.Unlock()
}
