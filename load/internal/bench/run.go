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
	warmUp    = 5 * time.Second  // until leases are acquired and the table is installed on every host
	drainTime = 20 * time.Second // after the last request; requests that are still open then are not good
)

// errUnknownTarget is returned for a fault whose target does not exist in the
// deployment.
var errUnknownTarget = errors.New("unknown target")

// Deployments returns the deployments that traces are replayed on.
func Deployments() []fake.Deployment {
	return []fake.Deployment{fake.Tallinn(), fake.Wales()}
}

// Case identifies one run: a trace on a deployment with a variant and a seed.
type Case struct {
	Trace      Trace
	Deployment fake.Deployment
	Variant    Variant
	Seed       uint64
	Explain    int // number of missed requests per cause whose steps Result.Explanations lists
}

// Run replays the trace on simulated hosts and returns the measures. It fails if
// an account got more than its rate allows.
func (c Case) Run() (Result, error) {
	sim, err := c.replay()
	if err != nil {
		return Result{}, fmt.Errorf("%s, %s, %s, seed %d: %w", c.Trace.Name, c.Deployment.Name, c.Variant.Name, c.Seed, err)
	}
	computed, wasted := sim.PrefillTokenCounts()
	r := measure(calls(sim), c.Deployment.Table(), c.capacity())
	r.Trace, r.Deployment, r.Variant, r.Seed = c.Trace.Name, c.Deployment.Name, c.Variant.Name, c.Seed
	r.PrefillTokens, r.WastedTokens = computed, wasted
	if computed > 0 {
		r.WastedPrefill = float64(wasted) / float64(computed)
	}
	r.Explanations = c.explain(sim)
	return r, nil
}

func (c Case) replay() (*fake.Simulation, error) {
	cfg := c.Deployment.Config(c.Seed)
	cfg.CheckEvery = 0
	cfg.Tune = c.Variant.Tune
	sim, err := fake.New(cfg)
	if err != nil {
		return nil, err
	}
	for _, f := range c.Trace.Faults {
		if err := c.inject(sim, cfg.Table, f); err != nil {
			return nil, err
		}
	}
	for _, a := range c.Trace.arrivals(c.Deployment.Name, c.Seed) {
		sim.At(warmUp+a.at, func() { send(sim, a) })
	}
	if err := sim.Run(warmUp + c.Trace.Duration + drainTime); err != nil {
		return nil, err
	}
	return sim, sim.CheckRates()
}

// explain returns the steps that the entry hosts recorded for up to c.Explain
// missed requests of each cause.
func (c Case) explain(sim *fake.Simulation) []string {
	routes := c.Deployment.Table().Routes
	seen := map[string]int{}
	var out []string
	for _, call := range sim.Calls() {
		if good(*call, routes[call.Route]) {
			continue
		}
		reason := missCause(*call, routes[call.Route])
		rec, ok := sim.Explain(call)
		if seen[reason] >= c.Explain || !ok {
			continue
		}
		seen[reason]++
		text := fmt.Sprintf("%s %s: %s, %s, prompt %d, sent at %s\n", call.Request, reason, call.Account, call.Host, call.Prompt, call.Sent.Sub(fake.Start)-warmUp)
		for _, line := range rec.Trace {
			text += fmt.Sprintf("  %9.3f ms %s\n", line.AfterMS, line.Text)
		}
		out = append(out, text)
	}
	return out
}

// send sends a request to a host that its random number selects among those that
// accept requests now.
func send(sim *fake.Simulation, a arrival) {
	if up := sim.Candidates(); len(up) > 0 {
		a.spec.Host = up[a.hostDraw%uint64(len(up))]
	}
	sim.Send(a.spec)
}

func calls(sim *fake.Simulation) []fake.Call {
	var out []fake.Call
	for _, c := range sim.Calls() {
		out = append(out, *c)
	}
	return out
}

// inject schedules the start and the end of a fault.
func (c Case) inject(sim *fake.Simulation, t *table.Snapshot, f Fault) error {
	begin, end, err := c.faultActions(sim, t, f)
	if err != nil {
		return fmt.Errorf("fault %s: %w", f.Name, err)
	}
	sim.At(warmUp+f.At, begin)
	sim.At(warmUp+f.At+f.ActiveTime, end)
	return nil
}

// faultActions returns the functions that begin and end a fault.
func (c Case) faultActions(sim *fake.Simulation, t *table.Snapshot, f Fault) (begin, end func(), err error) {
	name := c.Deployment.Name + "-" + f.Target
	switch f.Kind {
	case kindPlatformDown:
		return func() { sim.SetPlatformOutage(true) }, func() { sim.SetPlatformOutage(false) }, nil
	case kindKillHost:
		if !contains(sim.Hosts(), id.Host(name)) {
			return nil, nil, fmt.Errorf("%w: host %s", errUnknownTarget, name)
		}
		return func() { sim.Kill(id.Host(name)) }, func() { sim.Restart(id.Host(name)) }, nil
	case kindKillEndpoint:
		if _, ok := t.Endpoints[id.Endpoint(name)]; !ok {
			return nil, nil, fmt.Errorf("%w: endpoint %s", errUnknownTarget, name)
		}
		return func() { sim.KillEndpoint(id.Endpoint(name)) }, func() { sim.StartEndpoint(id.Endpoint(name)) }, nil
	default:
		if !contains(c.Deployment.ZoneNames(), id.Zone(name)) {
			return nil, nil, fmt.Errorf("%w: zone %s", errUnknownTarget, name)
		}
		return func() { c.partition(sim, id.Zone(name), true) }, func() { c.partition(sim, id.Zone(name), false) }, nil
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

// partition starts a partition of a zone from the other zones and the platform, or
// ends it if the argument partition is false.
func (c Case) partition(sim *fake.Simulation, z id.Zone, partition bool) {
	for _, o := range c.Deployment.ZoneNames() {
		if o != z {
			sim.SetZonePartition(z, o, partition)
		}
	}
	sim.SetPlatformPartition(z, partition)
}

// capacity returns the capacity of the engines during the trace, less the time
// during which faults kill endpoints.
func (c Case) capacity() capacity {
	t := c.Deployment.Table()
	var s capacity
	s.seconds = c.Trace.Duration.Seconds()
	for name, ep := range t.Endpoints {
		pool := t.Pools[ep.Pool]
		uptime := c.uptime(name)
		switch pool.Role {
		case table.RolePrefill:
			s.prefillTokens += float64(pool.PrefillRate) * uptime
		case table.RoleDecode:
			s.slotSeconds += float64(pool.Slots) * uptime
			s.blockSeconds += float64(pool.Blocks) * uptime
			s.blockTokens = pool.BlockTokens
		case table.RoleService:
		}
	}
	s.prefillRate = t.Pools["prefill"].PrefillRate
	s.tokenTime = c.Deployment.Config(c.Seed).TokenTime
	return s
}

// uptime returns the time in seconds during which no fault of the trace
// keeps an endpoint down.
func (c Case) uptime(name id.Endpoint) float64 {
	uptime := c.Trace.Duration
	for _, f := range c.Trace.Faults {
		if f.Kind == kindKillEndpoint && c.Deployment.Name+"-"+f.Target == string(name) {
			uptime -= max(0, min(f.At+f.ActiveTime, c.Trace.Duration)-f.At)
		}
	}
	return uptime.Seconds()
}
