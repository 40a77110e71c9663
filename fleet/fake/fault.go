package fake

import (
	"fmt"
	"maps"
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// FaultKind is a kind of fault.
type FaultKind int

// The kinds of faults. FaultMessageLoss affects messages between hosts,
// FaultLostWriteReplies the replies of the platform to writes,
// FaultLostServiceReplies the replies of services to calls that have run, and
// FaultChunks the output streams of decode engines.
const (
	FaultKillHost FaultKind = iota
	FaultPauseHost
	FaultDrainHost
	FaultZonePartition
	FaultPlatformPartition
	FaultPlatformOutage
	FaultLostWriteReplies
	FaultMessageLoss
	FaultKillEndpoint
	FaultLostServiceReplies
	FaultChunks
	FaultStaleReads
	FaultWithdrawKey
	NumFaultKinds // number of fault kinds, not a fault
)

// lossShare is the share of messages or replies that are lost while a fault lasts.
const lossShare = 0.3

// chunkFaultShare is the share of chunks that are duplicated, delayed or lost while
// a fault lasts.
const chunkFaultShare = 0.05

// Fault is one fault with its time, duration and target.
type Fault struct {
	Kind   FaultKind
	At     time.Duration // start, since the start of the run
	For    time.Duration // duration
	Target int           // index of the target, modulo the number of possible targets
}

// String formats the fault for failure messages.
func (f Fault) String() string {
	kindNames := [...]string{
		"kill-host", "pause-host", "drain-host", "cut-zones", "cut-platform", "outage",
		"lost-replies", "loss", "kill-endpoint", "lost-service-replies",
		"chunks", "stale-reads", "withdraw-key",
	}
	return fmt.Sprintf("%s target %d at %s for %s", kindNames[f.Kind], f.Target, f.At, f.For)
}

// Inject schedules the start and the end of a fault. A key that was withdrawn stays
// withdrawn.
func (w *World) Inject(f Fault) {
	w.At(f.At, func() { w.beginFault(f) })
	w.At(f.At+f.For, func() { w.endFault(f) })
}

func (w *World) beginFault(f Fault) {
	switch f.Kind {
	case FaultKillHost:
		w.Kill(w.hostAt(f.Target))
	case FaultPauseHost:
		w.Pause(w.hostAt(f.Target), f.For)
	case FaultDrainHost:
		w.Drain(w.hostAt(f.Target))
	case FaultZonePartition:
		a, b := w.zonesAt(f.Target)
		w.Cut(a, b, true)
	case FaultPlatformPartition:
		w.CutPlatform(w.cfg.Zones[f.Target%len(w.cfg.Zones)], true)
	case FaultPlatformOutage:
		w.SetOutage(true)
	case FaultLostWriteReplies:
		w.SetLostReplies(lossShare)
	case FaultMessageLoss:
		w.SetMessageLoss(lossShare)
	case FaultKillEndpoint:
		w.KillEndpoint(w.endpointAt(f.Target))
	case FaultLostServiceReplies:
		w.SetLostServiceReplies(lossShare)
	case FaultChunks:
		w.SetChunkFaults(chunkFaultShare)
	case FaultStaleReads:
		w.SetStaleReads(true)
	case FaultWithdrawKey, NumFaultKinds:
		w.withdrawKeyAt(f.Target)
	}
}

func (w *World) endFault(f Fault) {
	switch f.Kind {
	case FaultKillHost, FaultDrainHost:
		w.Restart(w.hostAt(f.Target))
	case FaultZonePartition:
		a, b := w.zonesAt(f.Target)
		w.Cut(a, b, false)
	case FaultPlatformPartition:
		w.CutPlatform(w.cfg.Zones[f.Target%len(w.cfg.Zones)], false)
	case FaultPlatformOutage:
		w.SetOutage(false)
	case FaultLostWriteReplies:
		w.SetLostReplies(0)
	case FaultMessageLoss:
		w.SetMessageLoss(0)
	case FaultKillEndpoint:
		w.StartEndpoint(w.endpointAt(f.Target))
	case FaultLostServiceReplies:
		w.SetLostServiceReplies(0)
	case FaultChunks:
		w.SetChunkFaults(0)
	case FaultStaleReads:
		w.SetStaleReads(false)
	case FaultPauseHost, FaultWithdrawKey, NumFaultKinds:
	}
}

func (w *World) hostAt(n int) id.Host { return w.hostNames[n%len(w.hostNames)] }

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

// withdrawKeyAt withdraws the key with index n, modulo the number of keys.
func (w *World) withdrawKeyAt(n int) {
	names := make([]id.KeyID, 0, len(w.cfg.Table.Keys))
	for name := range w.cfg.Table.Keys {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	w.WithdrawKey(names[n%len(names)])
}

// WithdrawKey commits a table in which the key is withdrawn.
func (w *World) WithdrawKey(key id.KeyID) {
	w.editTable(func(t *table.Snapshot) {
		t.Keys = maps.Clone(t.Keys)
		k := t.Keys[key]
		k.State = table.StateWithdrawn
		t.Keys[key] = k
	})
}

// MarkLeaving commits a table in which the endpoint is marked as leaving.
func (w *World) MarkLeaving(name id.Endpoint) {
	w.editTable(func(t *table.Snapshot) {
		t.Endpoints = maps.Clone(t.Endpoints)
		ep := t.Endpoints[name]
		ep.State = table.StateLeaving
		t.Endpoints[name] = ep
	})
}

// editTable commits a changed copy of the table. The copy is shallow: change must
// clone a map before it changes the map.
func (w *World) editTable(change func(t *table.Snapshot)) {
	next := *w.cfg.Table
	change(&next)
	w.cfg.Table = &next
	if err := w.Apply(&next); err != nil {
		w.fail("edit the table: %w", err)
	}
}

// Load describes a stream of requests with exponentially distributed gaps (a Poisson
// process). Prompt and output lengths are in tokens and uniformly distributed.
type Load struct {
	Account   id.Account
	Route     id.Route
	Rate      float64       // requests per second
	From, To  time.Duration // since the start of the run
	PromptMin int64
	PromptMax int64
	WantMin   int64
	WantMax   int64
	Limit     int64   // output limit, tokens
	Cancel    float64 // share of callers that disconnect
	Repeat    float64 // probability of each further repetition of a RouteOnce call, possibly through another host
}

// Generate schedules the requests of a load. Each request schedules the next one.
func (w *World) Generate(l Load) {
	if l.Rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if w.Elapsed() >= l.To {
			return
		}
		w.sendRequest(l)
		w.after(time.Duration(w.rng.ExpFloat64()/l.Rate*float64(time.Second)), next)
	}
	w.At(l.From, next)
}

// maxFollowUpDelay bounds the time from a call until its caller disconnects or
// repeats it.
const maxFollowUpDelay = 2 * time.Second

func (w *World) sendRequest(l Load) {
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
		w.after(time.Duration(w.rng.Int64N(int64(maxFollowUpDelay))), func() { w.Cancel(call) })
	}
	for l.Route == RouteOnce && w.rng.Float64() < l.Repeat {
		w.after(time.Duration(w.rng.Int64N(int64(maxFollowUpDelay))), func() { w.Send(spec) })
	}
}
