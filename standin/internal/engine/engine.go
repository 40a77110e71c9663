// Package engine simulates model engines with the HTTP protocol that the package
// fleet/engine documents. A decode engine fetches a KV cache from the prefill
// engine that holds it with one more call:
//
//	POST /v1/kv/{id}/export -> Export, once the transfer is complete
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/record"
	"ragwortshunt.example/standin/internal/settings"
)

const (
	// orphanTimeout is the time after which a decode run without readers is cancelled.
	orphanTimeout = 2 * time.Second
	// outputRetention is the time for which the output of an ended run stays readable.
	outputRetention = 5 * time.Second
)

// runKey identifies one attempt of a request.
type runKey struct {
	request id.Request
	attempt id.Attempt
}

// Engine simulates one model engine. Its methods are safe for concurrent use.
type Engine struct {
	cfg     settings.Engine
	name    string
	faults  *fault.Injector
	records *record.Store
	client  *http.Client
	egress  *link // sends KV caches
	ingress *link // receives KV caches
	stop    chan struct{}
	wake    chan struct{} // signals the prefill loop that the queue is not empty

	mu         sync.Mutex
	role       table.Role
	fence      uint64 // highest fencing token of the applied orders
	serial     int64  // last number given to a prefill or a KV cache
	usedSlots  int64
	usedBlocks int64
	prefills   map[runKey]*prefill
	queue      prefillQueue
	runs       map[runKey]*run
	kvs        map[string]*kvCache
	cache      *prefixCache
	history    []loadSnapshot // never empty; reaches back over the report lag
}

// New starts an idle engine and registers its faults with faults. Call Close to
// stop it.
func New(cfg settings.Engine, faults *fault.Injector, records *record.Store) *Engine {
	e := &Engine{
		cfg:     cfg,
		name:    string(cfg.Name),
		faults:  faults,
		records: records,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: int(cfg.Slots)}},
		egress:  newLink(cfg.LinkRate),
		ingress: newLink(cfg.LinkRate),
		stop:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		role:    cfg.Role,
	}
	e.clear()
	faults.Register(e.name, fault.StallTransfer, fault.BreakStream, fault.DuplicateChunks,
		fault.ReorderChunks, fault.Slow, fault.Die, fault.Leaving)
	faults.Hook(e.name, fault.Leaving, func(bool) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.recordLoad()
	})
	go e.prefillLoop()
	return e
}

// Close stops the engine and drops its state. It must be called only once.
func (e *Engine) Close() {
	close(e.stop)
	e.Reset()
	e.client.CloseIdleConnections()
}

// Reset ends all work and drops all state, as a restart of a real engine would.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.prefills {
		e.endPrefill(p, record.EndDied)
	}
	for _, r := range e.runs {
		e.endRun(r, record.EndDied)
	}
	for _, k := range e.kvs {
		e.dropKV(k, record.KVWasted)
	}
	e.clear()
}

// clear sets the state of a newly started engine. The caller holds mu, except
// in New, where nothing else uses the engine yet.
func (e *Engine) clear() {
	e.role = e.cfg.Role
	e.fence = 0
	e.usedSlots = 0
	e.usedBlocks = 0
	e.prefills = map[runKey]*prefill{}
	e.queue = nil
	e.runs = map[runKey]*run{}
	e.kvs = map[string]*kvCache{}
	e.cache = newPrefixCache(int(e.cfg.CacheEntries), e.cfg.BlockTokens)
	e.history = nil
	e.recordLoad()
}

// Handler returns the HTTP API.
func (e *Engine) Handler() http.Handler {
	ws := new(restful.WebService)
	ws.Path("/v1")
	ws.Route(ws.POST("/prefill").To(e.handlePrefill))
	ws.Route(ws.POST("/decode").To(e.handleDecode))
	ws.Route(ws.GET("/runs/{request}/{attempt}").To(e.handleResume))
	ws.Route(ws.DELETE("/runs/{request}/{attempt}").To(e.handleCancel))
	ws.Route(ws.GET("/load").To(e.handleLoad))
	ws.Route(ws.GET("/cache-events").To(e.handleCacheEvents))
	ws.Route(ws.POST("/orders").To(e.handleOrder))
	ws.Route(ws.POST("/kv/{id}/export").To(e.handleExport))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

// admit reserves a slot and KV blocks for an attempt. It returns an error reply if
// the engine refuses the attempt, otherwise nil. The caller holds mu.
func (e *Engine) admit(k runKey, role table.Role, blocks int64) *failure {
	_, prefills := e.prefills[k]
	_, runs := e.runs[k]
	switch {
	case prefills || runs:
		return &failure{status: http.StatusConflict, code: engine.CodeBadRequest, message: "the attempt is already known"}
	case e.role != role:
		return badRequest("the engine has the role " + string(e.role))
	case e.leaving():
		return &failure{http.StatusServiceUnavailable, engine.CodeLeaving, "the engine is leaving", true}
	case e.usedSlots >= e.cfg.Slots:
		return &failure{http.StatusServiceUnavailable, engine.CodeFull, "no free slot", true}
	case e.usedBlocks+blocks > e.cfg.Blocks:
		return &failure{http.StatusServiceUnavailable, engine.CodeFull, "no free memory", true}
	}
	e.usedSlots++
	e.usedBlocks += blocks
	return nil
}

func (e *Engine) leaving() bool {
	return e.faults.IsActive(e.name, fault.Leaving)
}

// blocks returns the number of KV blocks that tokens occupy, rounded up.
func (e *Engine) blocks(tokens int64) int64 {
	return (tokens + e.cfg.BlockTokens - 1) / e.cfg.BlockTokens
}

// slowed returns d, multiplied by the value of the fault Slow if that is active.
func (e *Engine) slowed(d time.Duration) time.Duration {
	factor, ok := e.faults.Value(e.name, fault.Slow)
	if !ok {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// cancel cancels the prefill and the decode run of an attempt and drops its KV
// cache. It reports whether any of them existed. The caller holds mu.
func (e *Engine) cancel(k runKey) bool {
	known := false
	if p, ok := e.prefills[k]; ok {
		e.endPrefill(p, record.EndCancelled)
		known = true
	}
	if r, ok := e.runs[k]; ok {
		e.endRun(r, record.EndCancelled)
		known = true
	}
	for _, c := range e.kvs {
		if c.key == k {
			e.dropKV(c, record.KVWasted)
			known = true
		}
	}
	return known
}
