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
// FaultChunkDelivery the output streams of decode engines.
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
	FaultChunkDelivery
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
	Kind       FaultKind
	At         time.Duration // start, since the start of the run
	ActiveTime time.Duration // time from its start to its end
	Target     int           // index of the target, modulo the number of possible targets
}

// String formats the fault for failure messages.
func (f Fault) String() string {
	kindNames := [...]string{
		"kill-host", "pause-host", "drain-host", "cut-zones", "cut-platform", "outage",
		"lost-replies", "loss", "kill-endpoint", "lost-service-replies",
		"chunks", "stale-reads", "withdraw-key",
	}
	return fmt.Sprintf("%s target %d at %s for %s", kindNames[f.Kind], f.Target, f.At, f.ActiveTime)
}

// Inject schedules the start and the end of a fault. A key that was withdrawn stays
// withdrawn.
func (sim *Simulation) Inject(f Fault) {
	sim.At(f.At, func() { sim.beginFault(f) })
	sim.At(f.At+f.ActiveTime, func() { sim.endFault(f) })
}

func (sim *Simulation) beginFault(f Fault) {
	switch f.Kind {
	case FaultKillHost:
		sim.Kill(sim.hostAt(f.Target))
	case FaultPauseHost:
		sim.Pause(sim.hostAt(f.Target), f.ActiveTime)
	case FaultDrainHost:
		sim.Drain(sim.hostAt(f.Target))
	case FaultZonePartition:
		a, b := sim.zonesAt(f.Target)
		sim.SetZonePartition(a, b, true)
	case FaultPlatformPartition:
		sim.SetPlatformPartition(sim.cfg.Zones[f.Target%len(sim.cfg.Zones)], true)
	case FaultPlatformOutage:
		sim.SetPlatformOutage(true)
	case FaultLostWriteReplies:
		sim.SetLostWriteReplies(lossShare)
	case FaultMessageLoss:
		sim.SetMessageLoss(lossShare)
	case FaultKillEndpoint:
		sim.KillEndpoint(sim.endpointAt(f.Target))
	case FaultLostServiceReplies:
		sim.SetLostServiceReplies(lossShare)
	case FaultChunkDelivery:
		sim.SetChunkFaults(chunkFaultShare)
	case FaultStaleReads:
		sim.SetStaleReads(true)
	case FaultWithdrawKey, NumFaultKinds:
		sim.withdrawKeyAt(f.Target)
	}
}

func (sim *Simulation) endFault(f Fault) {
	switch f.Kind {
	case FaultKillHost, FaultDrainHost:
		sim.Restart(sim.hostAt(f.Target))
	case FaultZonePartition:
		a, b := sim.zonesAt(f.Target)
		sim.SetZonePartition(a, b, false)
	case FaultPlatformPartition:
		sim.SetPlatformPartition(sim.cfg.Zones[f.Target%len(sim.cfg.Zones)], false)
	case FaultPlatformOutage:
		sim.SetPlatformOutage(false)
	case FaultLostWriteReplies:
		sim.SetLostWriteReplies(0)
	case FaultMessageLoss:
		sim.SetMessageLoss(0)
	case FaultKillEndpoint:
		sim.StartEndpoint(sim.endpointAt(f.Target))
	case FaultLostServiceReplies:
		sim.SetLostServiceReplies(0)
	case FaultChunkDelivery:
		sim.SetChunkFaults(0)
	case FaultStaleReads:
		sim.SetStaleReads(false)
	case FaultPauseHost, FaultWithdrawKey, NumFaultKinds:
	}
}

func (sim *Simulation) hostAt(n int) id.Host { return sim.hostNames[n%len(sim.hostNames)] }

func (sim *Simulation) zonesAt(n int) (a, b id.Zone) {
	z := sim.cfg.Zones
	return z[n%len(z)], z[(n+1)%len(z)]
}

func (sim *Simulation) endpointAt(n int) id.Endpoint {
	names := make([]id.Endpoint, 0, len(sim.cfg.Table.Endpoints))
	for name := range sim.cfg.Table.Endpoints {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names[n%len(names)]
}

// withdrawKeyAt withdraws the key with index n, modulo the number of keys.
func (sim *Simulation) withdrawKeyAt(n int) {
	names := make([]id.KeyID, 0, len(sim.cfg.Table.Keys))
	for name := range sim.cfg.Table.Keys {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	sim.WithdrawKey(names[n%len(names)])
}

// WithdrawKey commits a table in which the key is withdrawn.
func (sim *Simulation) WithdrawKey(key id.KeyID) {
	sim.editTable(func(t *table.Snapshot) {
		t.Keys = maps.Clone(t.Keys)
		k := t.Keys[key]
		k.State = table.StateWithdrawn
		t.Keys[key] = k
	})
}

// PassKey commits a table in which the key belongs to another client account.
func (sim *Simulation) PassKey(key id.KeyID, account id.Account) {
	sim.editTable(func(t *table.Snapshot) {
		t.Keys = maps.Clone(t.Keys)
		k := t.Keys[key]
		k.Account = account
		t.Keys[key] = k
	})
}

// MarkLeaving commits a table in which the endpoint is marked as leaving.
func (sim *Simulation) MarkLeaving(name id.Endpoint) {
	sim.editTable(func(t *table.Snapshot) {
		t.Endpoints = maps.Clone(t.Endpoints)
		ep := t.Endpoints[name]
		ep.State = table.StateLeaving
		t.Endpoints[name] = ep
	})
}

// editTable commits a changed copy of the table. The copy is shallow: change must
// clone a map before it changes the map.
func (sim *Simulation) editTable(change func(t *table.Snapshot)) {
	next := *sim.cfg.Table
	change(&next)
	sim.cfg.Table = &next
	if err := sim.Apply(&next); err != nil {
		sim.fail("edit the table: %w", err)
	}
}

// RequestStream describes a stream of requests with exponentially distributed gaps (a
// Poisson process). Prompt and output lengths are in tokens and uniformly distributed.
type RequestStream struct {
	Account           id.Account
	Route             id.Route
	Rate              float64       // requests per second
	From, To          time.Duration // since the start of the run
	PromptMin         int64
	PromptMax         int64
	OutputMin         int64
	OutputMax         int64
	OutputLimit       int64   // output limit, tokens
	Cancel            float64 // share of callers that disconnect
	RepeatProbability float64 // probability of each further repetition of a RouteOnce call, possibly through another host
}

// Generate schedules the requests of a stream. Each request schedules the next one.
func (sim *Simulation) Generate(stream RequestStream) {
	if stream.Rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if sim.Elapsed() >= stream.To {
			return
		}
		sim.sendRequest(stream)
		sim.after(time.Duration(sim.rng.ExpFloat64()/stream.Rate*float64(time.Second)), next)
	}
	sim.At(stream.From, next)
}

// maxFollowUpDelay bounds the time from a call until its caller disconnects or
// repeats it.
const maxFollowUpDelay = 2 * time.Second

func (sim *Simulation) sendRequest(stream RequestStream) {
	spec := Spec{
		Account: stream.Account, KeyID: KeyOf(stream.Account), Route: stream.Route, OutputLimit: stream.OutputLimit,
		Prompt:        stream.PromptMin + sim.rng.Int64N(stream.PromptMax-stream.PromptMin+1),
		NaturalOutput: stream.OutputMin + sim.rng.Int64N(stream.OutputMax-stream.OutputMin+1),
	}
	if stream.Route == RouteOnce {
		sim.serial++
		spec.Key = fmt.Sprintf("key-%d", sim.serial)
		spec.OutputLimit, spec.NaturalOutput = 0, 0
	}
	call := sim.Send(spec)
	if stream.Cancel > 0 && sim.rng.Float64() < stream.Cancel {
		sim.after(time.Duration(sim.rng.Int64N(int64(maxFollowUpDelay))), func() { sim.Cancel(call) })
	}
	for stream.Route == RouteOnce && sim.rng.Float64() < stream.RepeatProbability {
		sim.after(time.Duration(sim.rng.Int64N(int64(maxFollowUpDelay))), func() { sim.Send(spec) })
	}
}
