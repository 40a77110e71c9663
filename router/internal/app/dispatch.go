package app

import (
	"sync"

	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/router/internal/operator"
	"ragwortshunt.example/router/internal/peer"
)

// Dispatcher hands each effect to the shell that carries it out.
type Dispatcher struct {
	log     *zap.Logger
	shells  Shells
	peer    *peer.Sender
	metrics *operator.Metrics

	stopped chan struct{}
	once    sync.Once
}

// NewDispatcher returns a dispatcher to the given shells.
func NewDispatcher(
	log *zap.Logger, shells Shells, s *peer.Sender, m *operator.Metrics,
) *Dispatcher {
	return &Dispatcher{
		log: log, shells: shells, peer: s, metrics: m,
		stopped: make(chan struct{}),
	}
}

// Stopped is closed when the graceful shutdown has ended.
func (d *Dispatcher) Stopped() <-chan struct{} {
	return d.stopped
}

// Handle carries out an effect without blocking.
func (d *Dispatcher) Handle(e core.Effect) {
	switch e := e.(type) {
	case core.SendPeer:
		d.peer.Send(e)
	case core.Deliver:
		d.shells.Caller.Handle(e.Request, e)
	case core.Finish:
		d.shells.Caller.Handle(e.Request, e)
	case core.Reply:
		d.shells.Caller.Handle(e.Request, e)
	case core.Refuse:
		d.shells.Caller.Handle(e.Request, e)
	case core.Closed:
		d.shells.Caller.Forget(e.Request)
	case core.ReadObject:
		d.shells.Platform.Read(e)
	case core.WriteObject:
		d.shells.Platform.Write(e)
	case core.ListHosts:
		d.shells.Platform.List(e)
	case core.Log:
		operator.WriteLog(d.log, e)
	case core.Count:
		d.metrics.Count(e)
	case core.Observe:
		d.metrics.Observe(e)
	case core.TableInstalled:
		d.shells.SetTable(e)
	case core.FollowPlatform:
		d.shells.Feed.Follow(e)
	case core.ApplyPlatform:
		d.shells.Feed.Apply(e)
	case core.RefreshPlatform:
		d.shells.Feed.Refresh(e)
	case core.Stopped:
		d.once.Do(func() { close(d.stopped) })
	default:
		d.handleEndpoint(e)
	}
}

func (d *Dispatcher) handleEndpoint(e core.Effect) {
	switch e := e.(type) {
	case core.StartPrefill:
		d.shells.Endpoint.Prefill(e)
	case core.StartDecode:
		d.shells.Endpoint.Decode(e)
	case core.CancelRun:
		d.shells.Endpoint.Cancel(e)
	case core.CallService:
		d.shells.Endpoint.Call(e)
	case core.SendOrder:
		d.shells.Endpoint.Order(e)
	default:
		d.handleOwnEndpoint(e)
	}
}

// handleOwnEndpoint carries out what only the project's own protocol has.
func (d *Dispatcher) handleOwnEndpoint(e core.Effect) {
	own, ok := d.shells.Endpoint.(OwnEndpointShell)
	if !ok {
		return
	}
	switch e := e.(type) {
	case core.ResumeDecode:
		own.Resume(e)
	case core.PollLoad:
		own.Poll(e)
	}
}
