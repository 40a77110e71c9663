// Package platform stands in for the platform: its object API and its list of
// hosts, as the package object of fleet documents them.
//
//	GET /stats -> Stats; not counted itself
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

// maxWait bounds the wait of a watch.
const maxWait = time.Minute

// kindHosts is the kind under which calls for the host list are counted.
const kindHosts = "hosts"

// Stats counts the calls that the platform received.
type Stats struct {
	// Calls holds the counts by kind and method: GET, LIST, PUT, DELETE, WATCH.
	Calls map[string]map[string]int64 `json:"calls"`
	// Refused holds the counts by status: 429 and 503.
	Refused map[string]int64 `json:"refused"`
	// LostReplies counts writes that took effect without a reply.
	LostReplies int64 `json:"lost-replies"`
}

// Platform is the stand-in. Its methods are safe for concurrent use.
type Platform struct {
	faults *fault.Switches
	store  *store
	hosts  *hostList
	zones  map[string]id.Zone // of the hosts, by User-Agent

	mu     sync.Mutex
	stats  Stats
	reads  *limiter
	writes *limiter
}

// New returns a platform without objects.
func New(cfg settings.Platform, faults *fault.Switches) *Platform {
	p := &Platform{
		faults: faults,
		store:  newStore(),
		hosts:  newHostList(cfg.Hosts, cfg.HostListLag),
		zones:  agents(cfg.Hosts),
		stats:  Stats{Calls: map[string]map[string]int64{}, Refused: map[string]int64{}},
		reads:  newLimiter(cfg.ReadRate),
		writes: newLimiter(cfg.WriteRate),
	}
	faults.Allow(settings.NamePlatform, fault.Outage, fault.LostReply, fault.Delay)
	for _, h := range cfg.Hosts {
		name := string(h.Host)
		faults.Allow(name, fault.Leaving, fault.Removed)
		faults.Hook(name, fault.Leaving, func(on bool) { p.hosts.setLeaving(h.Host, on, time.Now()) })
		faults.Hook(name, fault.Removed, func(on bool) { p.hosts.setRemoved(h.Host, on, time.Now()) })
	}
	for _, zone := range p.zones {
		if zone == "" {
			continue
		}
		faults.Allow(string(zone), fault.Cut)
	}
	return p
}

// agents returns the zone of each host by the User-Agent of its calls.
func agents(hosts []object.Host) map[string]id.Zone {
	out := make(map[string]id.Zone, len(hosts))
	for _, h := range hosts {
		out["ragwortshunt/"+string(h.Host)] = h.Zone
	}
	return out
}

// isCut tells whether the zone of the caller is cut off.
func (p *Platform) isCut(r *restful.Request) bool {
	zone, ok := p.zones[r.Request.UserAgent()]
	return ok && p.faults.On(string(zone), fault.Cut)
}

// Handler returns the HTTP API.
func (p *Platform) Handler() http.Handler {
	ws := new(restful.WebService)
	ws.Route(ws.GET("/objects/{kind}/{name}").To(p.read("GET", p.get)))
	ws.Route(ws.GET("/objects/{kind}").To(p.read("LIST", p.list)))
	ws.Route(ws.PUT("/objects/{kind}/{name}").To(p.write("PUT", p.put)))
	ws.Route(ws.DELETE("/objects/{kind}/{name}").To(p.write("DELETE", p.remove)))
	ws.Route(ws.GET("/watch/{kind}/{name}").To(p.read("WATCH", p.watch)))
	ws.Route(ws.GET("/hosts").To(p.read("GET", p.listHosts)))
	ws.Route(ws.GET("/stats").To(p.showStats))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

// call is the handler of one kind of call, run after the common checks.
type call func(r *restful.Request, w *restful.Response)

func (p *Platform) read(method string, h call) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		if p.admit(r, w, method, p.reads) {
			h(r, w)
		}
	}
}

// write is like read for writes. A lost reply cuts the connection after the
// write took effect.
func (p *Platform) write(method string, h call) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		if !p.admit(r, w, method, p.writes) {
			return
		}
		if !p.faults.Fires(settings.NamePlatform, fault.LostReply) {
			h(r, w)
			return
		}
		h(r, restful.NewResponse(discard{}))
		p.mu.Lock()
		p.stats.LostReplies++
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// admit counts a call and refuses it in an outage or above the rate. A call
// from a zone that is cut off gets no reply.
func (p *Platform) admit(r *restful.Request, w *restful.Response, method string, l *limiter) bool {
	kind := r.PathParameter("kind")
	if kind == "" {
		kind = kindHosts
	}
	if ms, ok := p.faults.Value(settings.NamePlatform, fault.Delay); ok {
		time.Sleep(time.Duration(ms * float64(time.Millisecond)))
	}
	if p.isCut(r) {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stats.Calls[kind] == nil {
		p.stats.Calls[kind] = map[string]int64{}
	}
	p.stats.Calls[kind][method]++
	if p.faults.On(settings.NamePlatform, fault.Outage) {
		p.refuse(w, http.StatusServiceUnavailable)
		return false
	}
	if !l.take(time.Now()) {
		p.refuse(w, http.StatusTooManyRequests)
		return false
	}
	return true
}

// refuse counts and writes a refusal. The caller holds mu.
func (p *Platform) refuse(w *restful.Response, status int) {
	p.stats.Refused[strconv.Itoa(status)]++
	http.Error(w, http.StatusText(status), status)
}

func (p *Platform) get(r *restful.Request, w *restful.Response) {
	o, ok := p.store.get(ref(r))
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
	version, ok := number(r, w, "if-version")
	if !ok {
		return
	}
	value, err := readValue(r.Request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	o, ok := p.store.put(ref(r), value, version)
	if !ok {
		writeJSON(w, http.StatusConflict, o)
		return
	}
	o.Value = nil
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) remove(r *restful.Request, w *restful.Response) {
	version, ok := number(r, w, "if-version")
	if !ok {
		return
	}
	o, ok := p.store.remove(ref(r), version)
	if !ok {
		writeJSON(w, http.StatusConflict, o)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) watch(r *restful.Request, w *restful.Response) {
	after, ok := number(r, w, "after")
	if !ok {
		return
	}
	ms, ok := number(r, w, "wait-ms")
	if !ok {
		return
	}
	wait := min(time.Duration(min(ms, uint64(maxWait.Milliseconds())))*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, faulted := p.store.changes(), p.faults.Changed()
		if p.isCut(r) {
			panic(http.ErrAbortHandler)
		}
		if p.faults.On(settings.NamePlatform, fault.Outage) {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if o, ok := p.store.get(ref(r)); ok && o.Version > after {
			writeJSON(w, http.StatusOK, o)
			return
		}
		select {
		case <-changed:
		case <-faulted:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Request.Context().Done():
			return
		}
	}
}

func (p *Platform) listHosts(_ *restful.Request, w *restful.Response) {
	writeJSON(w, http.StatusOK, object.Hosts{Hosts: p.hosts.at(time.Now())})
}

func (p *Platform) showStats(_ *restful.Request, w *restful.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.stats)
}
