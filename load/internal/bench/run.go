package bench

import (
	"errors"
	"fmt"
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

const (
	warmUp = 5 * time.Second  // until leases are held and tables installed
	drain  = 20 * time.Second // after the last request; what is open then is not good
)

// errTarget is the error of a fault with an unknown target.
var errTarget = errors.New("unknown target")

// Deployments returns the deployments that traces are replayed on.
func Deployments() []fake.Deployment {
	return []fake.Deployment{fake.Tallinn(), fake.Wales()}
}

// Case is one run.
type Case struct {
	Trace      Trace
	Deployment fake.Deployment
	Variant    Variant
	Seed       uint64
	Explain    int // missed requests of each cause that are explained
}

// Run replays the trace and returns the measures.
func (c Case) Run() (Result, error) {
	w, err := c.replay()
	if err != nil {
		return Result{}, fmt.Errorf("%s, %s, %s, seed %d: %w", c.Trace.Name, c.Deployment.Name, c.Variant.Name, c.Seed, err)
	}
	computed, wasted := w.Prefills()
	r := measure(calls(w), c.Deployment.Table(), c.supply())
	r.Trace, r.Deployment, r.Variant, r.Seed = c.Trace.Name, c.Deployment.Name, c.Variant.Name, c.Seed
	r.PrefillTokens, r.WastedTokens = computed, wasted
	if computed > 0 {
		r.WastedPrefill = float64(wasted) / float64(computed)
	}
	r.Examples = c.explain(w)
	return r, nil
}

func (c Case) replay() (*fake.World, error) {
	cfg := c.Deployment.Config(c.Seed)
	cfg.CheckEvery = 0
	cfg.Tune = c.Variant.Tune
	w, err := fake.New(cfg)
	if err != nil {
		return nil, err
	}
	for _, f := range c.Trace.Faults {
		if err := c.inject(w, cfg.Table, f); err != nil {
			return nil, err
		}
	}
	for _, a := range c.Trace.arrivals(c.Deployment.Name, c.Seed) {
		w.At(warmUp+a.at, func() { send(w, a) })
	}
	if err := w.Run(warmUp + c.Trace.Duration + drain); err != nil {
		return nil, err
	}
	return w, w.CheckRates()
}

// explain returns what the entry hosts know of some missed requests of each
// cause.
func (c Case) explain(w *fake.World) []string {
	routes := c.Deployment.Table().Routes
	seen := map[string]int{}
	var out []string
	for _, call := range w.Calls() {
		if good(*call, routes[call.Route]) {
			continue
		}
		why := cause(*call, routes[call.Route])
		rec, ok := w.Explain(call)
		if seen[why] >= c.Explain || !ok {
			continue
		}
		seen[why]++
		text := fmt.Sprintf("%s %s: %s, %s, prompt %d, sent at %s\n", call.Request, why, call.Account, call.Host, call.Prompt, call.Sent.Sub(fake.Start)-warmUp)
		for _, line := range rec.Trace {
			text += fmt.Sprintf("  %9.3f ms %s\n", line.AfterMS, line.Text)
		}
		out = append(out, text)
	}
	return out
}

func send(w *fake.World, a arrival) {
	if up := w.Candidates(); len(up) > 0 {
		a.spec.Host = up[a.pick%uint64(len(up))]
	}
	w.Send(a.spec)
}

func calls(w *fake.World) []fake.Call {
	var out []fake.Call
	for _, c := range w.Calls() {
		out = append(out, *c)
	}
	return out
}

func (c Case) inject(w *fake.World, t *table.Snapshot, f Fault) error {
	begin, end, err := c.actions(w, t, f)
	if err != nil {
		return fmt.Errorf("fault %s: %w", f.Name, err)
	}
	w.At(warmUp+f.At, begin)
	w.At(warmUp+f.At+f.For, end)
	return nil
}

// actions returns the begin and the end of a fault.
func (c Case) actions(w *fake.World, t *table.Snapshot, f Fault) (begin, end func(), err error) {
	name := c.Deployment.Name + "-" + f.Target
	switch f.Kind {
	case kindPlatformDown:
		return func() { w.SetOutage(true) }, func() { w.SetOutage(false) }, nil
	case kindKillHost:
		if !contains(w.Hosts(), id.Host(name)) {
			return nil, nil, fmt.Errorf("%w: host %s", errTarget, name)
		}
		return func() { w.Kill(id.Host(name)) }, func() { w.Restart(id.Host(name)) }, nil
	case kindKillEndpoint:
		if _, ok := t.Endpoints[id.Endpoint(name)]; !ok {
			return nil, nil, fmt.Errorf("%w: endpoint %s", errTarget, name)
		}
		return func() { w.KillEndpoint(id.Endpoint(name)) }, func() { w.StartEndpoint(id.Endpoint(name)) }, nil
	default:
		if !contains(c.Deployment.ZoneNames(), id.Zone(name)) {
			return nil, nil, fmt.Errorf("%w: zone %s", errTarget, name)
		}
		return func() { c.cut(w, id.Zone(name), true) }, func() { c.cut(w, id.Zone(name), false) }, nil
	}
}

func contains[T comparable](list []T, v T) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

func (c Case) cut(w *fake.World, z id.Zone, cut bool) {
	for _, o := range c.Deployment.ZoneNames() {
		if o != z {
			w.Cut(z, o, cut)
		}
	}
	w.CutPlatform(z, cut)
}

// supply returns the capacity of the engines during the trace, without what
// faults take away.
func (c Case) supply() supply {
	t := c.Deployment.Table()
	var s supply
	s.seconds = c.Trace.Duration.Seconds()
	for name, ep := range t.Endpoints {
		pool := t.Pools[ep.Pool]
		up := c.up(name)
		switch pool.Role {
		case table.RolePrefill:
			s.prefillTokens += float64(pool.PrefillRate) * up
		case table.RoleDecode:
			s.slotSeconds += float64(pool.Slots) * up
			s.blockSeconds += float64(pool.Blocks) * up
			s.blockTokens = pool.BlockTokens
		case table.RoleService:
		}
	}
	s.prefillRate = t.Pools["prefill"].PrefillRate
	s.tokenTime = c.Deployment.Config(c.Seed).TokenTime
	return s
}

// up returns the seconds of the trace during which an endpoint is alive.
func (c Case) up(name id.Endpoint) float64 {
	up := c.Trace.Duration
	for _, f := range c.Trace.Faults {
		if f.Kind == kindKillEndpoint && c.Deployment.Name+"-"+f.Target == string(name) {
			up -= max(0, min(f.At+f.For, c.Trace.Duration)-f.At)
		}
	}
	return up.Seconds()
}
