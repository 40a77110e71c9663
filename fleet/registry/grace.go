package registry

import "time"

// grace is the time in which entries that have gone missing are kept. An outage of the
// platform makes entries expire, and so does a restore from a copy that lacks them. The loss
// of contact of this host alone does not.
type grace struct {
	afterRestore time.Time // entries that the copy lacks are kept until then
	afterLoss    time.Time // entries that expired while contact was lost are kept until then

	lostAt     time.Time // time of the last response before contact was lost
	regainedAt time.Time // time of the next response

	// Peers were in contact with the platform from upFrom to upUntil, as last reported.
	upFrom, upUntil time.Time
}

// end returns the time at which the grace period ends.
func (g *grace) end() time.Time {
	if g.afterRestore.After(g.afterLoss) {
		return g.afterRestore
	}
	return g.afterLoss
}

// regain records that contact was lost at lostAt and is back now.
func (g *grace) regain(lostAt, now time.Time, cfg Config) {
	g.lostAt, g.regainedAt = lostAt, now
	g.afterLoss = now.Add(cfg.Grace)
	g.endIfUp(cfg)
}

// recordUp records that peers have been in contact since the given time.
func (g *grace) recordUp(since, now time.Time, cfg Config) {
	g.upFrom, g.upUntil = since, now
	g.endIfUp(cfg)
}

// endIfUp ends the grace period after a loss of contact during which the platform was in
// contact with peers. An uncovered time shorter than cfg.Outage lets no entry expire.
func (g *grace) endIfUp(cfg Config) {
	if !g.upFrom.After(g.lostAt.Add(cfg.Outage)) && !g.upUntil.Before(g.regainedAt.Add(-cfg.Outage)) {
		g.afterLoss = time.Time{}
	}
}
