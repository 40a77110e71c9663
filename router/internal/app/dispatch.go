package app

import (
	"sync"

	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/router/internal/operator"
	"ragwortshunt.example/router/internal/peer"
)

// Dispatcher passes each effect of the decision core to the adapter that executes it.
type Dispatcher struct {
	log      *zap.Logger
	adapters Adapters
	peer     *peer.Sender
	metrics  *operator.Metrics

	stopped chan struct{}
	once    sync.Once
}

// NewDispatcher returns a dispatcher that passes effects to the given adapters.
func NewDispatcher(
	log *zap.Logger, adapters Adapters, s *peer.Sender, m *operator.Metrics,
) *Dispatcher {
	return &Dispatcher{
		log: log, adapters: adapters, peer: s, metrics: m,
		stopped: make(chan struct{}),
	}
}

// Stopped returns a channel that is closed when the decision core has finished its
// graceful shutdown.
func (d *Dispatcher) Stopped() <-chan struct{} {
	return d.stopped
}

// Handle executes an effect without blocking.
func (d *Dispatcher) Handle(e core.Effect) {
	switch e := e.(type) {
	case core.SendPeer:
		d.peer.Send(e)
	case core.SetIncarnation:
		d.peer.SetIncarnation(e.Incarnation)
	case core.Deliver:
		d.adapters.Caller.Handle(e.Request, e)
	case core.Finish:
		d.adapters.Caller.Handle(e.Request, e)
	case core.Reply:
		d.adapters.Caller.Handle(e.Request, e)
	case core.Refuse:
		d.adapters.Caller.Handle(e.Request, e)
	case core.Closed:
		d.adapters.Caller.ReleaseRequest(e.Request)
	case core.ReadObject:
		d.adapters.Platform.Read(e)
	case core.WriteObject:
		d.adapters.Platform.Write(e)
	case core.ListHosts:
		d.adapters.Platform.List(e)
	case core.Log:
		operator.WriteLog(d.log, e)
	case core.Count:
		d.metrics.Count(e)
	case core.Observe:
		d.metrics.Observe(e)
	case core.EndpointGauge:
		d.metrics.EndpointGauge(e)
	case core.TableInstalled:
		d.adapters.SetTable(e)
	case core.FollowPlatform:
		d.adapters.Feed.Follow(e)
	case core.ApplyPlatform:
		d.adapters.Feed.Apply(e)
	case core.RefreshPlatform:
		d.adapters.Feed.Refresh(e)
	case core.PeerContact:
		d.adapters.Feed.RecordPeerContact(e)
	case core.PublishQuarantine:
		if d.adapters.PublishQuarantine != nil {
			d.adapters.PublishQuarantine(e)
		}
	case core.Stopped:
		d.once.Do(func() { close(d.stopped) })
	default:
		d.handleEndpoint(e)
	}
}

func (d *Dispatcher) handleEndpoint(e core.Effect) {
	switch e := e.(type) {
	case core.StartPrefill:
		d.adapters.Endpoint.Prefill(e)
	case core.StartDecode:
		d.adapters.Endpoint.Decode(e)
	case core.CancelRun:
		d.adapters.Endpoint.Cancel(e)
	case core.CallService:
		d.adapters.Endpoint.Call(e)
	case core.SendOrder:
		d.adapters.Endpoint.Order(e)
	case core.StopRun:
		if a, ok := d.adapters.Endpoint.(StoppingEndpointAdapter); ok {
			a.Stop(e)
		}
	default:
		d.handleNativeEndpoint(e)
	}
}

// handleNativeEndpoint executes the effects that only the native protocol has.
func (d *Dispatcher) handleNativeEndpoint(e core.Effect) {
	native, ok := d.adapters.Endpoint.(NativeEndpointAdapter)
	if !ok {
		return
	}
	switch e := e.(type) {
	case core.ResumeDecode:
		native.Resume(e)
	case core.PollLoad:
		native.Poll(e)
	}
}
