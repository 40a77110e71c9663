//go:build wireinject

package app

import (
	"github.com/google/wire"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"ragwortshunt.example/router/internal/settings"
)

// New returns a router that is ready to run. Outgoing calls end with lifetime.
func New(lifetime Lifetime, s *settings.Settings, log *zap.Logger, clock clockwork.Clock) *Router {
	wire.Build(
		newIncarnation, newCoreConfig, newReactor, newAdapters, newBudget, newGuard,
		newSender, newMetrics, newOperator, NewDispatcher,
		wire.Struct(new(Router), "*"),
	)
	return nil
}
