package app

import (
	"context"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/router/internal/operator"
)

// levelGauges holds the queues by level that have a gauge.
type levelGauges map[core.LevelQueue]bool

// update sets the gauges of the queues by level. The gauge of a cell that this host no
// longer schedules is set to 0.
func (g levelGauges) update(ctx context.Context, r *Router) {
	var queued map[core.LevelQueue]int
	if !r.reactor.Query(ctx, func(st *core.State, _ time.Time) { queued = core.QueuedByLevel(st) }) {
		return
	}
	for q := range queued {
		g[q] = true
	}
	for q := range g {
		rank, _ := q.Level.Rank()
		r.metrics.Gauge("queued-requests", float64(queued[q]),
			operator.Label{Name: "model", Value: string(q.Model)}, operator.Label{Name: "level", Value: strconv.Itoa(rank)})
	}
}
