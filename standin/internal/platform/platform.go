// Package platform simulates the platform. It serves the object API and the host
// list that the package fleet/object documents, and one more call for tests:
//
//	GET /stats -> Stats; the call itself is not counted
package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/settings"
)

// maxWait bounds the wait-ms that a watch may request.
const maxWait = time.Minute

// kindHosts is the kind under which Stats counts calls for the host list.
const kindHosts = "hosts"

// Stats counts the calls that the platform received.
type Stats struct {
	// Calls holds the number of calls by object kind and method (GET, LIST, PUT,
	// DELETE or WATCH), refused calls included.
	Calls map[string]map[string]int64 `json:"calls"`
	// Refused holds the number of refused calls by status, 429 or 503.
	Refused map[string]int64 `json:"refused"`
	// LostReplies counts the writes that took effect but got no reply.
	LostReplies int64 `json:"lost-replies"`
}

// Platform simulates the platform in memory. Its methods are safe for concurrent
// use.
type Platform struct {
	faults *fault.Injector
	store  *store
	hosts  *hostList
	zones  map[string]id.Zone // zone of each host by the User-Agent of its calls

	mu     sync.Mutex
	stats  Stats
	reads  *limiter
	writes *limiter
}

// New returns a platform without objects. It registers its faults with faults.
func New(cfg settings.Platform, faults *fault.Injector) *Platform {
	p := &Platform{
		faults: faults,
		store:  newStore(),
		hosts:  newHostList(cfg.Hosts, cfg.HostListLag),
		zones:  zonesByUserAgent(cfg.Hosts),
		stats:  Stats{Calls: map[string]map[string]int64{}, Refused: map[string]int64{}},
		reads:  newLimiter(cfg.ReadRate),
		writes: newLimiter(cfg.WriteRate),
	}
	faults.Register(settings.NamePlatform, fault.Outage, fault.LostReply, fault.Delay)
	for _, h := range cfg.Hosts {
		name := string(h.Host)
		faults.Register(name, fault.Leaving, fault.Removed)
		faults.Hook(name, fault.Leaving, func(on bool) { p.hosts.setLeaving(h.Host, on, time.Now()) })
		faults.Hook(name, fault.Removed, func(on bool) { p.hosts.setRemoved(h.Host, on, time.Now()) })
	}
	for _, zone := range p.zones {
		if zone == "" {
			continue
		}
		faults.Register(string(zone), fault.Cut)
	}
	return p
}

// zonesByUserAgent maps the User-Agent that each host sends to the host's zone.
func zonesByUserAgent(hosts []object.Host) map[string]id.Zone {
	out := make(map[string]id.Zone, len(hosts))
	for _, h := range hosts {
		out["ragwortshunt/"+string(h.Host)] = h.Zone
	}
	return out
}

// isPartitioned reports whether the fault Cut is active for the caller's zone.
func (p *Platform) isPartitioned(r *restful.Request) bool {
	zone, ok := p.zones[r.Request.UserAgent()]
	return ok && p.faults.IsActive(string(zone), fault.Cut)
}

// Handler returns the HTTP API.
func (p *Platform) Handler() http.Handler {
	ws := new(restful.WebService)
	ws.Route(ws.GET("/objects/{kind}/{name}").To(p.wrapRead("GET", p.get)))
	ws.Route(ws.GET("/objects/{kind}").To(p.wrapRead("LIST", p.list)))
	ws.Route(ws.PUT("/objects/{kind}/{name}").To(p.wrapWrite("PUT", p.put)))
	ws.Route(ws.DELETE("/objects/{kind}/{name}").To(p.wrapWrite("DELETE", p.remove)))
	ws.Route(ws.GET("/watch/{kind}/{name}").To(p.wrapRead("WATCH", p.watch)))
	ws.Route(ws.GET("/hosts").To(p.wrapRead("GET", p.listHosts)))
	ws.Route(ws.GET("/stats").To(p.getStats))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

// handlerFunc handles one method of the API after admit has accepted the call.
type handlerFunc func(r *restful.Request, w *restful.Response)

// wrapRead returns a route function that calls h if admit accepts the read.
func (p *Platform) wrapRead(method string, h handlerFunc) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		if p.admit(r, w, method, p.reads) {
			h(r, w)
		}
	}
}

// wrapWrite is like wrapRead for writes. Under the fault LostReply it closes the
// connection after the write has taken effect.
func (p *Platform) wrapWrite(method string, h handlerFunc) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		if !p.admit(r, w, method, p.writes) {
			return
		}
		if !p.faults.Fires(settings.NamePlatform, fault.LostReply) {
			h(r, w)
			return
		}
		h(r, restful.NewResponse(discardWriter{}))
		p.mu.Lock()
		p.stats.LostReplies++
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// admit counts a call and reports whether it may proceed. It refuses calls during
// an outage and above the rate limit. A call from a partitioned zone gets no reply
// and is not counted.
func (p *Platform) admit(r *restful.Request, w *restful.Response, method string, l *limiter) bool {
	kind := r.PathParameter("kind")
	if kind == "" {
		kind = kindHosts
	}
	if ms, ok := p.faults.Value(settings.NamePlatform, fault.Delay); ok {
		time.Sleep(time.Duration(ms * float64(time.Millisecond)))
	}
	if p.isPartitioned(r) {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stats.Calls[kind] == nil {
		p.stats.Calls[kind] = map[string]int64{}
	}
	p.stats.Calls[kind][method]++
	if p.faults.IsActive(settings.NamePlatform, fault.Outage) {
		p.refuse(w, http.StatusServiceUnavailable)
		return false
	}
	if !l.allow(time.Now()) {
		p.refuse(w, http.StatusTooManyRequests)
		return false
	}
	return true
}

// refuse counts a refused call and replies with status. The caller holds mu.
func (p *Platform) refuse(w *restful.Response, status int) {
	p.stats.Refused[strconv.Itoa(status)]++
	http.Error(w, http.StatusText(status), status)
}

func (p *Platform) get(r *restful.Request, w *restful.Response) {
	o, ok := p.store.get(keyOf(r))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) list(r *restful.Request, w *restful.Response) {
	writeJSON(w, http.StatusOK, object.List{Objects: p.store.list(r.PathParameter("kind"))})
}

func (p *Platform) put(r *restful.Request, w *restful.Response) {
	version, ok := uintParameter(r, w, "if-version")
	if !ok {
		return
	}
	value, err := readValue(r.Request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	o, ok := p.store.put(keyOf(r), value, version)
	if !ok {
		writeJSON(w, http.StatusConflict, o)
		return
	}
	o.Value = nil
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) remove(r *restful.Request, w *restful.Response) {
	version, ok := uintParameter(r, w, "if-version")
	if !ok {
		return
	}
	o, ok := p.store.remove(keyOf(r), version)
	if !ok {
		writeJSON(w, http.StatusConflict, o)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) watch(r *restful.Request, w *restful.Response) {
	after, ok := uintParameter(r, w, "after")
	if !ok {
		return
	}
	ms, ok := uintParameter(r, w, "wait-ms")
	if !ok {
		return
	}
	wait := min(time.Duration(min(ms, uint64(maxWait.Milliseconds())))*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, faultsChanged := p.store.changes(), p.faults.Changed()
		if p.isPartitioned(r) {
			panic(http.ErrAbortHandler)
		}
		if p.faults.IsActive(settings.NamePlatform, fault.Outage) {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if o, ok := p.store.get(keyOf(r)); ok && o.Version > after {
			writeJSON(w, http.StatusOK, o)
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Request.Context().Done():
			return
		}
	}
}

func (p *Platform) listHosts(_ *restful.Request, w *restful.Response) {
	writeJSON(w, http.StatusOK, object.Hosts{Hosts: p.hosts.visibleAt(time.Now())})
}

func (p *Platform) getStats(_ *restful.Request, w *restful.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.stats)
}
