package app

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	objectcaller "ragwortshunt.example/platform/caller"
	"ragwortshunt.example/platform/deployment"
	objectendpoint "ragwortshunt.example/platform/endpoint"
	"ragwortshunt.example/platform/exchange"
	"ragwortshunt.example/platform/store"
	objectwire "ragwortshunt.example/platform/wire"
	"ragwortshunt.example/router/internal/caller"
	"ragwortshunt.example/router/internal/endpoint"
	"ragwortshunt.example/router/internal/inflight"
	"ragwortshunt.example/router/internal/ingress"
	"ragwortshunt.example/router/internal/platform"
	"ragwortshunt.example/router/internal/reactor"
	"ragwortshunt.example/router/internal/settings"
)

// CallerAdapter serves the HTTP requests of callers and executes the effects that concern
// them.
type CallerAdapter interface {
	Handler() http.Handler
	Handle(req id.Request, e core.Effect)
	ReleaseRequest(req id.Request)
	Drain()
	ActiveRequests() int
	// Refuse refuses a request that has not been passed to the handler.
	Refuse(w http.ResponseWriter, r *http.Request, status int)
}

// EndpointAdapter sends calls to engines and to plain services.
type EndpointAdapter interface {
	Prefill(e core.StartPrefill)
	Decode(e core.StartDecode)
	Cancel(e core.CancelRun)
	Call(e core.CallService)
	Order(e core.SendOrder)
}

// NativeEndpointAdapter is an EndpointAdapter of the native protocol. The platform's
// protocol has no counterpart of its additional methods.
type NativeEndpointAdapter interface {
	EndpointAdapter
	Resume(e core.ResumeDecode)
	Poll(e core.PollLoad)
}

// StoppingEndpointAdapter is an EndpointAdapter that can end the run behind a broken connection.
type StoppingEndpointAdapter interface {
	EndpointAdapter
	Stop(e core.StopRun)
}

// PlatformAdapter reads and writes the objects in the platform's store.
type PlatformAdapter interface {
	Read(e core.ReadObject)
	Write(e core.WriteObject)
	List(e core.ListHosts)
}

// FeedAdapter follows changes of the platform's configuration. Run blocks until ctx ends.
type FeedAdapter interface {
	Follow(e core.FollowPlatform)
	Refresh(e core.RefreshPlatform)
	Apply(e core.ApplyPlatform)
	RecordPeerContact(e core.PeerContact)
	EvacuatedZones() int
	ColdEndpoints() int
	Run(ctx context.Context)
}

// Adapters are the components of a router that depend on the protocol (setting
// platform.protocol).
type Adapters struct {
	Caller   CallerAdapter
	Endpoint EndpointAdapter
	Platform PlatformAdapter

	// Feed is nil with the native protocol.
	Feed FeedAdapter
	// Ready serves the readiness checks of the platform's load balancer. It is nil if
	// the balancer uses /readyz on the address for operators.
	Ready http.Handler
	// BodyTime returns how long the body of a request may take; 0 means no limit.
	BodyTime func(r *http.Request) time.Duration
	// SetTable passes a table that the decision core has installed to the adapter for
	// callers.
	SetTable func(e core.TableInstalled)
	// Register adds this host to the platform's host list, where the other hosts find it.
	// It is nil with the native protocol.
	Register func(ctx context.Context)
	// PublishQuarantine writes decisions to the platform's host list. It is nil with the
	// native protocol, whose prompts have no segments.
	PublishQuarantine func(e core.PublishQuarantine)
}

func newAdapters(
	lifetime Lifetime, s *settings.Settings, inc id.Incarnation, clock clockwork.Clock, log *zap.Logger, r *reactor.Reactor,
	budget *exchange.Budget, guard *ingress.Guard,
) Adapters {
	if s.Protocol == settings.ProtocolObjects {
		return newObjectAdapters(lifetime, s, clock, log, r, budget, guard)
	}
	bodies := inflight.New()
	c := caller.New(caller.Config{
		Host: s.Host, Incarnation: inc, MaxBodyBytes: s.MaxBodyBytes, DefaultMaxTokens: s.DefaultMaxTokens,
		BodyTimeout: bodyTimeout, Budget: budget,
	}, r, bodies)
	return Adapters{
		Caller:   c,
		Endpoint: endpoint.New(lifetime, clock, r, bodies),
		Platform: platform.New(lifetime, s.PlatformURL, "ragwortshunt/"+string(s.Host), s.PlatformTimeout, clock, log, r),
		SetTable: func(e core.TableInstalled) { c.SetTable(e.Snapshot) },
		BodyTime: func(*http.Request) time.Duration { return bodyTimeout },
	}
}

func newObjectAdapters(
	lifetime Lifetime, s *settings.Settings, clock clockwork.Clock, log *zap.Logger, r *reactor.Reactor,
	budget *exchange.Budget, guard *ingress.Guard,
) Adapters {
	exchanges := exchange.NewStore(exchange.WithBudget(budget))
	c := objectcaller.New(r, clock, log, exchanges)
	objects := store.New(lifetime, s.PlatformURL, clock, log, r)
	params := deployment.HostParams{
		Fencing: s.Fencing(), Domain: s.SchedulingDomain(), PrefillRate: s.PrefillRate, BlockTokens: s.BlockTokens,
		Evacuation: s.Evacuation, LimitsCold: s.ColdOverrun > 0,
	}
	feed := store.NewFeed(objects, params, func(v *deployment.View) {
		c.SetView(v)
		guard.SetLimits(callerLimits(v.Limits))
	})
	return Adapters{
		Caller:   c,
		Endpoint: objectendpoint.New(lifetime, string(s.Host), clock, log, r, exchanges),
		Platform: objects,
		Ready:    c.ReadyHandler(),
		BodyTime: func(req *http.Request) time.Duration { return objectwire.Deadline(req.Header) },
		SetTable: func(core.TableInstalled) {},
		Feed:     feed,
		Register: func(ctx context.Context) {
			objects.Register(ctx, string(s.Host), objectwire.Host{
				Zone: string(params.Domain), Address: s.PeerAddress, Capacity: s.Capacity,
			})
		},
		PublishQuarantine: func(e core.PublishQuarantine) { objects.PublishQuarantine(string(s.Host), e) },
	}
}
