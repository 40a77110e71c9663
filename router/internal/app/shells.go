package app

import (
	"context"
	"net/http"

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
	"ragwortshunt.example/router/internal/platform"
	"ragwortshunt.example/router/internal/reactor"
	"ragwortshunt.example/router/internal/settings"
)

// CallerShell serves callers.
type CallerShell interface {
	Handler() http.Handler
	Handle(req id.Request, e core.Effect)
	Forget(req id.Request)
	Drain()
	Busy() int
}

// EndpointShell calls engines and services.
type EndpointShell interface {
	Prefill(e core.StartPrefill)
	Decode(e core.StartDecode)
	Cancel(e core.CancelRun)
	Call(e core.CallService)
	Order(e core.SendOrder)
}

// OwnEndpointShell is an EndpointShell of the project's own protocol, which the
// platform's protocol has no use for.
type OwnEndpointShell interface {
	EndpointShell
	Resume(e core.ResumeDecode)
	Poll(e core.PollLoad)
}

// PlatformShell calls the platform's store.
type PlatformShell interface {
	Read(e core.ReadObject)
	Write(e core.WriteObject)
	List(e core.ListHosts)
}

// FeedShell follows the platform's configuration.
type FeedShell interface {
	Follow(e core.FollowPlatform)
	Refresh(e core.RefreshPlatform)
	Apply(e core.ApplyPlatform)
	Run(ctx context.Context)
}

// Shells are the parts of a router that depend on the protocol.
type Shells struct {
	Caller   CallerShell
	Endpoint EndpointShell
	Platform PlatformShell

	Feed     FeedShell                   // nil in the project's own protocol
	Ready    http.Handler                // for the platform's balancer; nil if it asks operators' readiness
	SetTable func(e core.TableInstalled) // tells the caller shell of a table that the decision core has installed
	Register func(ctx context.Context)   // makes this host known to the others; nil in the project's own protocol
}

func newShells(
	life Lifetime, s *settings.Settings, inc id.Incarnation, clock clockwork.Clock, log *zap.Logger, r *reactor.Reactor,
) Shells {
	if s.Protocol == settings.ProtocolObjects {
		return newObjectShells(life, s, clock, log, r)
	}
	bodies := inflight.New()
	c := caller.New(caller.Config{
		Host: s.Host, Incarnation: inc, MaxBody: s.MaxBody, DefaultLimit: s.DefaultLimit,
		BodyTimeout: bodyTimeout,
	}, r, bodies)
	return Shells{
		Caller:   c,
		Endpoint: endpoint.New(life, clock, r, bodies),
		Platform: platform.New(life, s.PlatformURL, "ragwortshunt/"+string(s.Host), s.PlatformTimeout, clock, log, r),
		SetTable: func(e core.TableInstalled) { c.SetTable(e.Snapshot) },
	}
}

func newObjectShells(
	life Lifetime, s *settings.Settings, clock clockwork.Clock, log *zap.Logger, r *reactor.Reactor,
) Shells {
	exchanges := exchange.NewStore()
	c := objectcaller.New(r, clock, log, exchanges)
	objects := store.New(life, s.PlatformURL, clock, log, r)
	site := deployment.Site{
		Fencing: s.Fencing(), Domain: s.SchedulingDomain(), PrefillRate: s.PrefillRate, BlockTokens: s.BlockTokens,
	}
	feed := store.NewFeed(objects, site, c.SetView)
	return Shells{
		Caller:   c,
		Endpoint: objectendpoint.New(life, string(s.Host), clock, log, r, exchanges),
		Platform: objects,
		Ready:    c.ReadyHandler(),
		SetTable: func(core.TableInstalled) {},
		Feed:     feed,
		Register: func(ctx context.Context) {
			objects.Register(ctx, string(s.Host), objectwire.Host{Zone: string(site.Domain), Address: s.PeerAddress})
		},
	}
}
