package fake

import (
	"fmt"
	"maps"
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// FaultKind names a kind of fault.
type FaultKind int

// The kinds of faults.
const (
	FaultKillHost FaultKind = iota
	FaultPauseHost
	FaultDrainHost
	FaultCutZones
	FaultCutPlatform
	FaultOutage
	FaultLostReplies
	FaultLoss
	FaultKillEndpoint
	FaultLostServiceReplies
	FaultChunks
	FaultStaleReads
	FaultWithdrawKey
	FaultKinds // number of kinds
)

// lossShare is the share of messages or replies that are lost under a fault.
const lossShare = 0.3

// chunkFaultShare is the share of chunks that are doubled, late or lost.
const chunkFaultShare = 0.05

// Fault is one fault with its time and target.
type Fault struct {
	Kind   FaultKind
	At     time.Duration // since the start
	For    time.Duration
	Target int // taken modulo the number of possible targets
}

// String formats the fault for failure messages.
func (f Fault) String() string {
	names := [...]string{
		"kill-host", "pause-host", "drain-host", "cut-zones", "cut-platform", "outage",
		"lost-replies", "loss", "kill-endpoint", "lost-service-replies",
		"chunks", "stale-reads", "withdraw-key",
	}
	return fmt.Sprintf("%s target %d at %s for %s", names[f.Kind], f.Target, f.At, f.For)
}

// Inject schedules a fault and its end.
func (w *World) Inject(f Fault) {
	w.At(f.At, func() { w.begin(f) })
	w.At(f.At+f.For, func() { w.end(f) })
}

func (w *World) begin(f Fault) {
	switch f.Kind {
	case FaultKillHost:
		w.Kill(w.hostAt(f.Target))
	case FaultPauseHost:
		w.Pause(w.hostAt(f.Target), f.For)
	case FaultDrainHost:
		w.Drain(w.hostAt(f.Target))
	case FaultCutZones:
		a, b := w.zonesAt(f.Target)
		w.Cut(a, b, true)
	case FaultCutPlatform:
		w.CutPlatform(w.cfg.Zones[f.Target%len(w.cfg.Zones)], true)
	case FaultOutage:
		w.SetOutage(true)
	case FaultLostReplies:
		w.SetLostReplies(lossShare)
	case FaultLoss:
		w.SetLoss(lossShare)
	case FaultKillEndpoint:
		w.KillEndpoint(w.endpointAt(f.Target))
	case FaultLostServiceReplies:
		w.SetLostServiceReplies(lossShare)
	case FaultChunks:
		w.SetChunkFaults(chunkFaultShare)
	case FaultStaleReads:
		w.SetStaleReads(true)
	case FaultWithdrawKey, FaultKinds:
		w.withdrawKey(f.Target)
	}
}

func (w *World) end(f Fault) {
	switch f.Kind {
	case FaultKillHost, FaultDrainHost:
		w.Restart(w.hostAt(f.Target))
	case FaultCutZones:
		a, b := w.zonesAt(f.Target)
		w.Cut(a, b, false)
	case FaultCutPlatform:
		w.CutPlatform(w.cfg.Zones[f.Target%len(w.cfg.Zones)], false)
	case FaultOutage:
		w.SetOutage(false)
	case FaultLostReplies:
		w.SetLostReplies(0)
	case FaultLoss:
		w.SetLoss(0)
	case FaultKillEndpoint:
		w.StartEndpoint(w.endpointAt(f.Target))
	case FaultLostServiceReplies:
		w.SetLostServiceReplies(0)
	case FaultChunks:
		w.SetChunkFaults(0)
	case FaultStaleReads:
		w.SetStaleReads(false)
	case FaultPauseHost, FaultWithdrawKey, FaultKinds:
	}
}

func (w *World) hostAt(n int) id.Host { return w.order[n%len(w.order)] }

func (w *World) zonesAt(n int) (a, b id.Zone) {
	z := w.cfg.Zones
	return z[n%len(z)], z[(n+1)%len(z)]
}

func (w *World) endpointAt(n int) id.Endpoint {
	names := make([]id.Endpoint, 0, len(w.cfg.Table.Endpoints))
	for name := range w.cfg.Table.Endpoints {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names[n%len(names)]
}

// withdrawKey commits a table in which one account's key is withdrawn.
func (w *World) withdrawKey(n int) {
	names := make([]id.KeyID, 0, len(w.cfg.Table.Keys))
	for name := range w.cfg.Table.Keys {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	w.WithdrawKey(names[n%len(names)])
}

// WithdrawKey commits a table in which a key is withdrawn.
func (w *World) WithdrawKey(key id.KeyID) {
	w.edit(func(t *table.Snapshot) {
		t.Keys = maps.Clone(t.Keys)
		k := t.Keys[key]
		k.State = table.StateWithdrawn
		t.Keys[key] = k
	})
}

// MarkLeaving commits a table in which an endpoint is leaving.
func (w *World) MarkLeaving(name id.Endpoint) {
	w.edit(func(t *table.Snapshot) {
		t.Endpoints = maps.Clone(t.Endpoints)
		ep := t.Endpoints[name]
		ep.State = table.StateLeaving
		t.Endpoints[name] = ep
	})
}

// edit commits a changed copy of the table. change replaces the maps that it
// changes.
func (w *World) edit(change func(t *table.Snapshot)) {
	next := *w.cfg.Table
	change(&next)
	w.cfg.Table = &next
	if err := w.Apply(&next); err != nil {
		w.fail("edit the table: %w", err)
	}
}

// Load describes a stream of requests with exponential gaps.
type Load struct {
	Account   id.Account
	Route     id.Route
	Rate      float64 // requests per second
	From, To  time.Duration
	PromptMin int64
	PromptMax int64
	WantMin   int64
	WantMax   int64
	Limit     int64
	Cancel    float64 // share of callers that go away
	Repeat    float64 // share of non-idempotent calls that are repeated on another host
}

// Generate schedules the requests of a load.
func (w *World) Generate(l Load) {
	if l.Rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if w.Elapsed() >= l.To {
			return
		}
		w.sendOne(l)
		w.after(time.Duration(w.rng.ExpFloat64()/l.Rate*float64(time.Second)), next)
	}
	w.At(l.From, next)
}

// cancelWithin bounds the time at which a caller goes away.
const cancelWithin = 2 * time.Second

func (w *World) sendOne(l Load) {
	spec := Spec{
		Account: l.Account, KeyID: KeyOf(l.Account), Route: l.Route, Limit: l.Limit,
		Prompt: l.PromptMin + w.rng.Int64N(l.PromptMax-l.PromptMin+1),
		Want:   l.WantMin + w.rng.Int64N(l.WantMax-l.WantMin+1),
	}
	if l.Route == RouteOnce {
		w.serial++
		spec.Key = fmt.Sprintf("key-%d", w.serial)
		spec.Limit, spec.Want = 0, 0
	}
	call := w.Send(spec)
	if l.Cancel > 0 && w.rng.Float64() < l.Cancel {
		w.after(time.Duration(w.rng.Int64N(int64(cancelWithin))), func() { w.Cancel(call) })
	}
	for l.Route == RouteOnce && w.rng.Float64() < l.Repeat {
		w.after(time.Duration(w.rng.Int64N(int64(cancelWithin))), func() { w.Send(spec) })
	}
}
