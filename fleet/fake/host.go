package fake

import (
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// host is one router process.
type host struct {
	name    id.Host
	zone    id.Zone
	inc     id.Incarnation
	state   *core.State
	alive   bool
	leaving bool
	paused  bool
	inbox   []func() // events that arrived while paused
	checked int
	version uint64 // table in force
}

func (w *World) addHost(name id.Host, zone id.Zone) {
	h := &host{name: name, zone: zone}
	w.hosts[name] = h
	w.order = append(w.order, name)
	w.start(h)
}

// start begins a new process of a host.
func (w *World) start(h *host) {
	h.inc++
	h.alive, h.leaving, h.paused = true, false, false
	h.inbox = nil
	h.version = 0
	cfg := core.DefaultConfig(h.name, h.inc, h.zone, w.cfg.Zones)
	cfg.Address = string(h.name)
	if w.cfg.Tune != nil {
		w.cfg.Tune(&cfg)
	}
	h.state = core.New(cfg, w.now)
	w.tick(h, h.inc)
}

func (w *World) tick(h *host, inc id.Incarnation) {
	if !h.alive || h.inc != inc {
		return
	}
	if !h.paused {
		w.reduce(h, core.Tick{})
	}
	w.after(core.TickInterval, func() { w.tick(h, inc) })
}

// deliver passes an event to the process that h runs now. A paused process
// handles it when it wakes up; a dead one never does.
func (w *World) deliver(h *host, inc id.Incarnation, ev core.Event) {
	if !h.alive || h.inc != inc {
		return
	}
	if ev, ok := ev.(core.RequestArrived); ok {
		w.callers[ev.Request].arrived = true
	}
	if h.paused {
		h.inbox = append(h.inbox, func() { w.deliver(h, inc, ev) })
		return
	}
	w.reduce(h, ev)
}

func (w *World) reduce(h *host, ev core.Event) {
	w.steps++
	in := core.Input{Now: w.now, Wall: w.now, Seed: w.rng.Uint64(), Event: ev}
	for _, e := range core.Reduce(h.state, in) {
		w.effect(h, e)
	}
	h.checked++
	if w.cfg.CheckEvery > 0 && h.checked%w.cfg.CheckEvery == 0 {
		if err := core.Check(h.state); err != nil {
			w.fail("host %s after %T: %w", h.name, ev, err)
		}
	}
}

func (w *World) effect(h *host, e core.Effect) {
	switch e := e.(type) {
	case core.SendPeer:
		w.sendPeer(h, e)
	case core.ReadObject, core.WriteObject, core.ListHosts:
		w.callStore(h, e)
	case core.Deliver, core.Finish, core.Refuse, core.Reply:
		w.answer(h, e)
	case core.Charged:
		w.charged(e)
	case core.Refunded:
		w.refunded(e)
	case core.TableInstalled:
		w.installed(h, e)
	case core.Stopped:
		w.stopped(h)
	default:
		w.callEndpoint(h, e)
	}
}

func (w *World) installed(h *host, e core.TableInstalled) {
	if e.Snapshot.Version <= h.version {
		w.fail("host %s went from table %d to %d", h.name, h.version, e.Snapshot.Version)
	}
	h.version = e.Snapshot.Version
}

// stopped ends a process after its graceful shutdown, which must not cut calls.
func (w *World) stopped(h *host) {
	h.alive = false
	for _, c := range w.calls {
		if c.Host == h.name && c.Result == ResultOpen && c.arrived {
			w.fail("host %s stopped with request %s open", h.name, c.Request)
		}
	}
	w.breakCalls(h.name)
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
	if !reachable || w.loss > 0 && w.rng.Float64() < w.loss {
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

// Kill ends the process of a host at once. Its callers see a broken connection.
func (w *World) Kill(name id.Host) {
	h := w.hosts[name]
	h.alive = false
	w.breakCalls(name)
}

// Restart starts a new process of a host.
func (w *World) Restart(name id.Host) {
	if h := w.hosts[name]; !h.alive {
		w.start(h)
	}
}

// Pause stops a process for a time, as SIGSTOP and SIGCONT do.
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
		inbox := h.inbox
		h.inbox = nil
		for _, fn := range inbox {
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

// Alive tells whether the process of a host runs.
func (w *World) Alive(name id.Host) bool { return w.hosts[name].alive }

// Hosts returns the names of all hosts.
func (w *World) Hosts() []id.Host { return append([]id.Host(nil), w.order...) }

// Version returns the table version in force at a host.
func (w *World) Version(name id.Host) uint64 {
	return core.StatusOf(w.hosts[name].state, w.now).TableVersion
}

// Explain returns what the entry host of a call knows of it.
func (w *World) Explain(c *Call) (core.Record, bool) {
	return core.Explain(w.hosts[c.Host].state, c.Request)
}

// LastStart returns when an engine last took on a prefill or decode.
func (w *World) LastStart(name id.Endpoint) time.Duration {
	return w.engines[name].lastStart.Sub(Start)
}

// Executions returns how often any service ran a request.
func (w *World) Executions(c *Call) int { return w.executions(c.Request) }

// IsReady tells whether a host tells the balancer that it takes requests.
func (w *World) IsReady(name id.Host) bool {
	h := w.hosts[name]
	return h.alive && core.IsReady(h.state, w.now)
}

// ConfirmedAge returns the time since the platform has confirmed a host's table.
func (w *World) ConfirmedAge(name id.Host) time.Duration {
	ms := core.StatusOf(w.hosts[name].state, w.now).ConfirmedMS
	return time.Duration(ms) * time.Millisecond
}
