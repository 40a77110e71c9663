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

func (w *World) addHost(name id.Host, zone id.Zone) {
	h := &host{name: name, zone: zone}
	w.hosts[name] = h
	w.hostNames = append(w.hostNames, name)
	w.startProcess(h)
}

// startProcess starts a new process of a host, with a new incarnation.
func (w *World) startProcess(h *host) {
	h.inc++
	h.alive, h.leaving, h.paused = true, false, false
	h.pending = nil
	h.tableVersion = 0
	cfg := core.DefaultConfig(h.name, h.inc, h.zone, w.cfg.Zones)
	cfg.Address = string(h.name)
	if w.cfg.Tune != nil {
		w.cfg.Tune(&cfg)
	}
	h.state = core.New(cfg, w.now)
	w.tick(h, h.inc)
}

// tick delivers a Tick to the process and schedules the next one, until the process
// ends.
func (w *World) tick(h *host, inc id.Incarnation) {
	if !h.alive || h.inc != inc {
		return
	}
	if !h.paused {
		w.reduce(h, core.Tick{})
	}
	w.after(core.TickInterval, func() { w.tick(h, inc) })
}

// deliver passes an event to the process of h with incarnation inc. A paused process
// handles the event when it resumes. The event is dropped if that process has ended.
func (w *World) deliver(h *host, inc id.Incarnation, ev core.Event) {
	if !h.alive || h.inc != inc {
		return
	}
	if ev, ok := ev.(core.RequestArrived); ok {
		w.callsByRequest[ev.Request].reachedHost = true
	}
	if h.paused {
		h.pending = append(h.pending, func() { w.deliver(h, inc, ev) })
		return
	}
	w.reduce(h, ev)
}

// reduce runs the decision core of a host on an event, carries out its effects and
// checks its invariants.
func (w *World) reduce(h *host, ev core.Event) {
	w.steps++
	in := core.Input{Now: w.now, Wall: w.now, Seed: w.rng.Uint64(), Event: ev}
	for _, e := range core.Reduce(h.state, in) {
		w.handleEffect(h, e)
	}
	h.eventCount++
	if w.cfg.CheckEvery > 0 && h.eventCount%w.cfg.CheckEvery == 0 {
		if err := core.Check(h.state); err != nil {
			w.fail("host %s after %T: %w", h.name, ev, err)
		}
	}
}

func (w *World) handleEffect(h *host, e core.Effect) {
	switch e := e.(type) {
	case core.SendPeer:
		w.sendPeer(h, e)
	case core.ReadObject, core.WriteObject, core.ListHosts:
		w.callStore(h, e)
	case core.Deliver, core.Finish, core.Refuse, core.Reply:
		w.handleReply(h, e)
	case core.Charged:
		w.recordCharge(e)
	case core.Refunded:
		w.recordRefund(e)
	case core.TableInstalled:
		w.handleTableInstalled(h, e)
	case core.Stopped:
		w.handleStopped(h)
	default:
		w.callEndpoint(h, e)
	}
}

func (w *World) handleTableInstalled(h *host, e core.TableInstalled) {
	if e.Snapshot.Version <= h.tableVersion {
		w.fail("host %s replaced table version %d by version %d", h.name, h.tableVersion, e.Snapshot.Version)
	}
	h.tableVersion = e.Snapshot.Version
}

// handleStopped ends a process after its graceful shutdown. No call that has reached
// the host may be open by then.
func (w *World) handleStopped(h *host) {
	h.alive = false
	for _, c := range w.calls {
		if c.Host == h.name && c.Result == ResultOpen && c.reachedHost {
			w.fail("host %s stopped with request %s open", h.name, c.Request)
		}
	}
	w.breakOpenCalls(h.name)
}

func (w *World) sendPeer(h *host, e core.SendPeer) {
	to, ok := w.hosts[e.To]
	if !ok {
		return
	}
	d, reachable := w.delay(h.zone, to.zone)
	if e.Address != string(to.name) {
		return // the sender does not know the address
	}
	if !reachable || w.messageLoss > 0 && w.rng.Float64() < w.messageLoss {
		return
	}
	inc := h.inc
	w.after(d, func() {
		if !to.alive {
			w.after(d, func() { w.deliver(h, inc, core.PeerFailed{Host: to.name}) })
			return
		}
		w.deliver(to, to.inc, core.PeerMessage{From: h.name, Incarnation: inc, Message: e.Message})
	})
}

// Kill ends the process of a host without a shutdown. Its callers see a broken
// connection.
func (w *World) Kill(name id.Host) {
	h := w.hosts[name]
	h.alive = false
	w.breakOpenCalls(name)
}

// Restart starts a new process of a host whose process has ended.
func (w *World) Restart(name id.Host) {
	if h := w.hosts[name]; !h.alive {
		w.startProcess(h)
	}
}

// Pause suspends the process of a host for a time, as SIGSTOP and SIGCONT do.
func (w *World) Pause(name id.Host, d time.Duration) {
	h := w.hosts[name]
	if !h.alive || h.paused {
		return
	}
	h.paused = true
	inc := h.inc
	w.after(d, func() {
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
func (w *World) Drain(name id.Host) {
	h := w.hosts[name]
	h.leaving = true
	w.deliver(h, h.inc, core.DrainRequested{})
}

// Alive reports whether the process of a host is running.
func (w *World) Alive(name id.Host) bool { return w.hosts[name].alive }

// Hosts returns the names of all hosts.
func (w *World) Hosts() []id.Host { return append([]id.Host(nil), w.hostNames...) }

// Version returns the table version in force at a host.
func (w *World) Version(name id.Host) uint64 {
	return core.StatusOf(w.hosts[name].state, w.now).TableVersion
}

// Explain returns the record that the entry host keeps of a call.
func (w *World) Explain(c *Call) (core.Record, bool) {
	return core.Explain(w.hosts[c.Host].state, c.Request)
}

// LastStart returns when an engine last accepted a prefill or decode, as the time
// since the start of the run.
func (w *World) LastStart(name id.Endpoint) time.Duration {
	return w.engines[name].lastStart.Sub(Start)
}

// Executions returns how often services have run a request.
func (w *World) Executions(c *Call) int { return w.executions(c.Request) }

// IsReady reports whether a host signals to the load balancer that it accepts
// requests.
func (w *World) IsReady(name id.Host) bool {
	h := w.hosts[name]
	return h.alive && core.IsReady(h.state, w.now)
}

// ConfirmedAge returns the time since the platform last confirmed the table of a
// host.
func (w *World) ConfirmedAge(name id.Host) time.Duration {
	ms := core.StatusOf(w.hosts[name].state, w.now).ConfirmedMS
	return time.Duration(ms) * time.Millisecond
}
