package fake

import (
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// host is a simulated host with its current router process.
type host struct {
	name         id.Host
	zone         id.Zone
	inc          id.Incarnation // of the current process
	state        *core.State
	alive        bool
	leaving      bool
	paused       bool
	pending      []func() // deliveries that arrived while the process was paused
	eventCount   int
	tableVersion uint64 // version of the table in force; 0 means none
}

func (sim *Simulation) addHost(name id.Host, zone id.Zone) {
	h := &host{name: name, zone: zone}
	sim.hosts[name] = h
	sim.hostNames = append(sim.hostNames, name)
	sim.startProcess(h)
}

// startProcess starts a new process of a host, with a new incarnation.
func (sim *Simulation) startProcess(h *host) {
	h.inc++
	h.alive, h.leaving, h.paused = true, false, false
	h.pending = nil
	h.tableVersion = 0
	cfg := core.DefaultConfig(h.name, h.inc, h.zone, sim.cfg.Zones)
	cfg.Address = string(h.name)
	if sim.cfg.Tune != nil {
		sim.cfg.Tune(&cfg)
	}
	h.state = core.New(cfg, sim.now)
	sim.tick(h, h.inc)
}

// tick delivers a Tick to the process and schedules the next one, until the process
// ends.
func (sim *Simulation) tick(h *host, inc id.Incarnation) {
	if !h.alive || h.inc != inc {
		return
	}
	if !h.paused {
		sim.reduce(h, core.Tick{})
	}
	sim.after(core.DefaultTickInterval, func() { sim.tick(h, inc) })
}

// deliver passes an event to the process of h with incarnation inc. A paused process
// handles the event when it resumes. The event is dropped if that process has ended.
func (sim *Simulation) deliver(h *host, inc id.Incarnation, ev core.Event) {
	if !h.alive || h.inc != inc {
		return
	}
	if ev, ok := ev.(core.RequestArrived); ok {
		sim.callsByRequest[ev.Request].reachedHost = true
	}
	if h.paused {
		h.pending = append(h.pending, func() { sim.deliver(h, inc, ev) })
		return
	}
	sim.reduce(h, ev)
}

// reduce runs the decision core of a host on an event, carries out its effects and
// checks its invariants.
func (sim *Simulation) reduce(h *host, ev core.Event) {
	sim.steps++
	in := core.Input{Now: sim.now, Wall: sim.now, Seed: sim.rng.Uint64(), Event: ev}
	for _, e := range core.Reduce(h.state, in) {
		sim.handleEffect(h, e)
	}
	h.eventCount++
	if sim.cfg.CheckEvery > 0 && h.eventCount%sim.cfg.CheckEvery == 0 {
		if err := core.Check(h.state); err != nil {
			sim.fail("host %s after %T: %w", h.name, ev, err)
		}
	}
}

func (sim *Simulation) handleEffect(h *host, e core.Effect) {
	switch e := e.(type) {
	case core.SendPeer:
		sim.sendPeer(h, e)
	case core.ReadObject, core.WriteObject, core.ListHosts:
		sim.callStore(h, e)
	case core.Deliver, core.Finish, core.Refuse, core.Reply:
		sim.handleReply(h, e)
	case core.Charged:
		sim.recordCharge(e)
	case core.Refunded:
		sim.recordRefund(e)
	case core.TableInstalled:
		sim.handleTableInstalled(h, e)
	case core.Stopped:
		sim.handleStopped(h)
	default:
		sim.callEndpoint(h, e)
	}
}

func (sim *Simulation) handleTableInstalled(h *host, e core.TableInstalled) {
	if e.Snapshot.Version <= h.tableVersion {
		sim.fail("host %s replaced table version %d by version %d", h.name, h.tableVersion, e.Snapshot.Version)
	}
	h.tableVersion = e.Snapshot.Version
}

// handleStopped ends a process after its graceful shutdown. No call that has reached
// the host may be open by then.
func (sim *Simulation) handleStopped(h *host) {
	h.alive = false
	for _, c := range sim.calls {
		if c.Host == h.name && c.Result == ResultOpen && c.reachedHost {
			sim.fail("host %s stopped with request %s open", h.name, c.Request)
		}
	}
	sim.breakOpenCalls(h.name)
}

func (sim *Simulation) sendPeer(h *host, e core.SendPeer) {
	to, ok := sim.hosts[e.To]
	if !ok {
		return
	}
	d, reachable := sim.delay(h.zone, to.zone)
	if e.Address != string(to.name) {
		return // the sender does not know the address
	}
	if !reachable || sim.messageLoss > 0 && sim.rng.Float64() < sim.messageLoss {
		return
	}
	inc := h.inc
	sim.after(d, func() {
		if !to.alive {
			sim.after(d, func() { sim.deliver(h, inc, core.PeerFailed{Host: to.name}) })
			return
		}
		sim.deliver(to, to.inc, core.PeerMessage{From: h.name, Incarnation: inc, Message: e.Message})
	})
}

// Kill ends the process of a host without a shutdown. Its callers see a broken
// connection.
func (sim *Simulation) Kill(name id.Host) {
	h := sim.hosts[name]
	h.alive = false
	sim.breakOpenCalls(name)
}

// Restart starts a new process of a host whose process has ended.
func (sim *Simulation) Restart(name id.Host) {
	if h := sim.hosts[name]; !h.alive {
		sim.startProcess(h)
	}
}

// Pause suspends the process of a host for a time, as SIGSTOP and SIGCONT do.
func (sim *Simulation) Pause(name id.Host, d time.Duration) {
	h := sim.hosts[name]
	if !h.alive || h.paused {
		return
	}
	h.paused = true
	inc := h.inc
	sim.after(d, func() {
		if !h.alive || h.inc != inc {
			return
		}
		h.paused = false
		pending := h.pending
		h.pending = nil
		for _, fn := range pending {
			fn()
		}
	})
}

// Drain starts the graceful shutdown of a host.
func (sim *Simulation) Drain(name id.Host) {
	h := sim.hosts[name]
	h.leaving = true
	sim.deliver(h, h.inc, core.DrainRequested{})
}

// Alive reports whether the process of a host is running.
func (sim *Simulation) Alive(name id.Host) bool { return sim.hosts[name].alive }

// Hosts returns the names of all hosts.
func (sim *Simulation) Hosts() []id.Host { return append([]id.Host(nil), sim.hostNames...) }

// Version returns the table version in force at a host.
func (sim *Simulation) Version(name id.Host) uint64 {
	return core.StatusOf(sim.hosts[name].state, sim.now).TableVersion
}

// Explain returns the record that the entry host keeps of a call.
func (sim *Simulation) Explain(c *Call) (core.Record, bool) {
	return core.Explain(sim.hosts[c.Host].state, c.Request)
}

// LastStart returns when an engine last accepted a prefill or decode, as the time
// since the start of the run.
func (sim *Simulation) LastStart(name id.Endpoint) time.Duration {
	return sim.engines[name].lastStart.Sub(Start)
}

// Executions returns how often services have run a request.
func (sim *Simulation) Executions(c *Call) int { return sim.executions(c.Request) }

// IsReady reports whether a host signals to the load balancer that it accepts
// requests.
func (sim *Simulation) IsReady(name id.Host) bool {
	h := sim.hosts[name]
	return h.alive && core.IsReady(h.state, sim.now)
}

// ConfirmedAge returns the time since the platform last confirmed the table of a
// host.
func (sim *Simulation) ConfirmedAge(name id.Host) time.Duration {
	ms := core.StatusOf(sim.hosts[name].state, sim.now).ConfirmedMS
	return time.Duration(ms) * time.Millisecond
}
