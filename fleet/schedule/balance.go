package schedule

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// Engines come with a fixed share of prefill and decode roles, which rarely fits the
// traffic: on the users' platform five of twelve engines read prompts and are a
// quarter busy, while the seven that decode are full in every burst and requests are
// refused. When engines leave, the rest may be even further out of balance. Balance
// names the engine whose change of role would let the cell serve more requests.

const (
	// balanceSamples is the number of runs from which the averages count.
	balanceSamples = 30
	// balanceKeep is the weight of the past in the averages.
	balanceKeep = 0.95
	// balanceGain is the gain in capacity that is worth a change of role.
	balanceGain = 1.1
	// balanceSettle is how long a change must look worthwhile; endpoints that crash
	// are mostly back sooner.
	balanceSettle = 3 * time.Second
	// prefillUse is the use of the prefill engines above which requests queue for
	// them for long.
	prefillUse = 0.7
	// outputShare is the part of its output for which a run holds memory on average.
	outputShare = 0.6
)

// means holds the averages of the runs of a cell.
type means struct {
	samples int
	prompt  float64 // tokens
	output  float64 // tokens
	prefill float64 // seconds of a prefill

	since  time.Duration // the same change has looked worthwhile since
	change table.Role    // role that an engine should get; empty is none
}

func mix(mean *float64, v float64, first bool) {
	if first {
		*mean = v
	}
	*mean = balanceKeep**mean + (1-balanceKeep)*v
}

// granted takes a run into the averages when it is placed: the first runs to end are
// the short ones.
func (u *means) granted(e *entry) {
	mix(&u.prompt, float64(e.prompt), u.samples == 0)
	mix(&u.output, float64(e.expected), u.samples == 0)
	u.samples++
}

func (u *means) read(took time.Duration) {
	mix(&u.prefill, took.Seconds(), u.prefill == 0)
}

// String shows the averages for the log.
func (u *means) String() string {
	return fmt.Sprintf("%d runs, prompt %.0f tokens, output %.0f tokens, prefill %.3f s",
		u.samples, u.prompt, u.output, u.prefill)
}

// Averages describes the runs on which Balance rests.
func Averages(c *Cell) string { return c.means.String() }

// capacityOf returns the requests per second that a split of engines can serve.
func (c *Cell) capacityOf(prefills, decodes int, d *endpoint) float64 {
	u := &c.means
	perRun := u.prompt + outputShare*u.output
	runs := min(float64(d.Blocks*d.BlockTokens)/perRun, float64(d.Slots))
	reading := prefillUse * float64(prefills) / u.prefill
	writing := float64(decodes) * runs / (u.output * c.cfg.TokenTime.Seconds())
	return min(reading, writing)
}

// Balance returns the endpoint that should change its role, and the new role. The
// caller asks again only when the last change has taken effect.
func Balance(c *Cell, now time.Time) (id.Endpoint, table.Role, bool) {
	c.advance(now)
	role := c.bestChange()
	if role != c.means.change {
		c.means.change = role
		c.means.since = c.now
	}
	if role == "" || c.now-c.means.since < balanceSettle {
		return "", "", false
	}
	from := c.prefills
	if role == table.RolePrefill {
		from = c.decodes
	}
	var best *endpoint
	for _, ep := range from {
		if ep.fails == 0 && (best == nil || ep.slots < best.slots) {
			best = ep
		}
	}
	if best == nil {
		return "", "", false
	}
	c.means.change = ""
	return best.Name, role, true
}

// bestChange returns the role that one more engine should have, or nothing.
func (c *Cell) bestChange() table.Role {
	p, d := len(c.prefills), len(c.decodes)
	switch {
	case c.means.samples < balanceSamples || c.means.prefill <= 0 || c.means.output <= 0:
		return ""
	case p+d < 3 || c.rebuilding():
		return ""
	case d == 0 && p > 1:
		return table.RoleDecode
	case p == 0 && d > 1:
		return table.RolePrefill
	}
	ep := c.decodes[0]
	have := c.capacityOf(p, d, ep)
	if p > 1 && c.capacityOf(p-1, d+1, ep) > have*balanceGain {
		return table.RoleDecode
	}
	if d > 1 && c.capacityOf(p+1, d-1, ep) > have*balanceGain {
		return table.RolePrefill
	}
	return ""
}
