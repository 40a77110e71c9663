package bench

import (
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/schedule"
)

// Variant is one row of the comparison.
type Variant struct {
	Name string
	Tune func(cfg *core.Config)
}

// nameDesign is the row of the design without changes.
const nameDesign = "design"

// baselinePatience lets requests of the baselines wait at the engines, which
// have no bound of their own on the queueing time.
const baselinePatience = 30 * time.Second

// Variants returns all rows.
func Variants() []Variant {
	policy := func(name string, set func(p *schedule.Policy)) Variant {
		return Variant{Name: name, Tune: func(cfg *core.Config) { set(&cfg.Schedule.Policy) }}
	}
	return []Variant{
		{Name: "round-robin", Tune: baseline(schedule.PlacementRoundRobin)},
		{Name: "least-load", Tune: baseline(schedule.PlacementLeastLoaded)},
		{Name: nameDesign, Tune: func(*core.Config) {}},
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
		{Name: "no-spill", Tune: func(cfg *core.Config) { cfg.Cells = core.CellsOwnZone }},
		{Name: "no-deferrable-share", Tune: func(cfg *core.Config) { cfg.Schedule.DeferrableShare = 0 }},
	}
}

// baseline places each request at once, on the endpoints of all zones alike.
// Requests queue at the engines, which honour priorities.
func baseline(p schedule.Placement) func(cfg *core.Config) {
	return func(cfg *core.Config) {
		cfg.Schedule.Policy.Placement = p
		cfg.Schedule.HoldTimeout = baselinePatience
		cfg.PrefillGrace = baselinePatience
		cfg.Cells = core.CellsInTurn
	}
}
