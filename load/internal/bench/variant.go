package bench

import (
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/schedule"
)

// Variant is one configuration in the comparison. Tune changes the default
// configuration of a host.
type Variant struct {
	Name string
	Tune func(cfg *core.Config)
}

// designVariant is the name of the variant with the default configuration.
const designVariant = "design"

// baselineQueueTimeout is how long requests of the baseline variants may queue at
// the engines, which do not limit the queueing time themselves.
const baselineQueueTimeout = 30 * time.Second

// Variants returns all variants in the order of the tables: the baselines, the
// default configuration, and the default with one mechanism disabled each.
func Variants() []Variant {
	policy := func(name string, set func(p *schedule.Policy)) Variant {
		return Variant{Name: name, Tune: func(cfg *core.Config) { set(&cfg.Schedule.Policy) }}
	}
	return []Variant{
		{Name: "round-robin", Tune: baseline(schedule.PlacementRoundRobin)},
		{Name: "least-load", Tune: baseline(schedule.PlacementLeastLoaded)},
		{Name: designVariant, Tune: func(*core.Config) {}},
		policy("no-fair-queue", func(p *schedule.Policy) { p.NoFairQueue = true }),
		policy("no-classes", func(p *schedule.Policy) { p.NoClasses = true }),
		policy("no-affinity", func(p *schedule.Policy) { p.NoAffinity = true }),
		policy("no-early-refusal", func(p *schedule.Policy) { p.NoEarlyRefusal = true }),
		policy("no-large-limit", func(p *schedule.Policy) { p.NoLargeLimit = true }),
		policy("no-late-last", func(p *schedule.Policy) { p.NoLateLast = true }),
		policy("no-redirect", func(p *schedule.Policy) { p.NoRedirect = true }),
		policy("no-reported-ends", func(p *schedule.Policy) { p.NoReportedEnds = true }),
		policy("no-pin", func(p *schedule.Policy) { p.NoPin = true }),
		{Name: "no-transfer", Tune: func(cfg *core.Config) { cfg.Limit.NoTransfer = true }},
		{Name: "no-spill", Tune: func(cfg *core.Config) { cfg.CellSelection = core.CellsLocalZone }},
		{Name: "no-deferrable-share", Tune: func(cfg *core.Config) { cfg.Schedule.DeferrableShare = 0 }},
	}
}

// baseline returns a configuration that places each request immediately, without
// preferring endpoints of the same zone. Requests queue at the engines, which
// honor priorities.
func baseline(p schedule.Placement) func(cfg *core.Config) {
	return func(cfg *core.Config) {
		cfg.Schedule.Policy.Placement = p
		cfg.Schedule.GrantTimeout = baselineQueueTimeout
		cfg.PrefillGrace = baselineQueueTimeout
		cfg.CellSelection = core.CellsRoundRobin
	}
}
