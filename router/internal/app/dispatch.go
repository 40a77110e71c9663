package app

import (
	"sync"

	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/router/internal/caller"
	"ragwortshunt.example/router/internal/endpoint"
	"ragwortshunt.example/router/internal/operator"
	"ragwortshunt.example/router/internal/peer"
	"ragwortshunt.example/router/internal/platform"
)

// Dispatcher hands each effect to the shell that carries it out.
type Dispatcher struct {
	log      *zap.Logger
	caller   *caller.Server
	endpoint *endpoint.Client
	platform *platform.Client
	peer     *peer.Sender
	metrics  *operator.Metrics

	stopped chan struct{}
	once    sync.Once
}

// NewDispatcher returns a dispatcher to the given shells.
func NewDispatcher(
	log *zap.Logger, c *caller.Server, e *endpoint.Client, p *platform.Client, s *peer.Sender, m *operator.Metrics,
) *Dispatcher {
	return &Dispatcher{
		log: log, caller: c, endpoint: e, platform: p, peer: s, metrics: m,
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
		d.caller.Handle(e.Request, e)
	case core.Finish:
		d.caller.Handle(e.Request, e)
	case core.Reply:
		d.caller.Handle(e.Request, e)
	case core.Refuse:
		d.caller.Handle(e.Request, e)
	case core.Closed:
		d.caller.Forget(e.Request)
	case core.ReadObject:
		d.platform.Read(e)
	case core.WriteObject:
		d.platform.Write(e)
	case core.ListHosts:
		d.platform.List()
	case core.Log:
		operator.WriteLog(d.log, e)
	case core.Count:
		d.metrics.Count(e)
	case core.Observe:
		d.metrics.Observe(e)
	case core.TableInstalled:
		d.caller.SetTable(e.Snapshot)
	case core.Stopped:
		d.once.Do(func() { close(d.stopped) })
	default:
		d.handleEndpoint(e)
	}
}

func (d *Dispatcher) handleEndpoint(e core.Effect) {
	switch e := e.(type) {
	case core.StartPrefill:
		d.endpoint.Prefill(e)
	case core.StartDecode:
		d.endpoint.Decode(e)
	case core.ResumeDecode:
		d.endpoint.Resume(e)
	case core.CancelRun:
		d.endpoint.Cancel(e)
	case core.CallService:
		d.endpoint.Call(e)
	case core.PollLoad:
		d.endpoint.Poll(e)
	case core.SendOrder:
		d.endpoint.Order(e)
	}
}
