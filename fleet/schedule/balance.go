package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// Engines come with a fixed share of prefill and decode roles, which rarely fits the
// traffic. On the users' platform a third of the engines reads prompts and is idle
// most of the time, while the memory of the others is full in every burst. Balance
// names the engines that should change their role, so that a cell can serve as many
// requests per second as its engines allow.

const (
	// balanceSamples is the number of runs from which the averages count.
	balanceSamples = 20
	// balanceMemory is the number of runs over which the averages are taken.
	balanceMemory = 100
	// prefillUse is the use of the prefill engines above which requests queue for
	// them for long.
	prefillUse = 0.85
	// prefillShort is the part of the decode rate that the prefill engines must
	// carry. Below it decode engines are changed, which costs their running work.
	prefillShort = 0.8
	// leastPrefills is the number of prefill engines that a cell keeps, so that the
	// loss of one does not stop it.
	leastPrefills = 2
	// outputShare is the part of its output for which a run holds memory on average.
	outputShare = 0.6
	// spareSettle and shortSettle are how long a surplus and a shortage of prefill
	// engines must last before engines change their role.
	spareSettle = time.Second
	shortSettle = 3 * time.Second
	// lossSettle is how long no endpoint may have been lost before a change:
	// endpoints that crash are mostly back sooner.
	lossSettle = 5 * time.Second
)

// RoleChange is a change of the role of one endpoint.
type RoleChange struct {
	Endpoint id.Endpoint
	Role     table.Role
}

// means holds the averages of the runs of a cell.
type means struct {
	samples int
	prompt  float64 // tokens
	output  float64 // tokens
	surplus int     // prefill engines above the wanted number; negative is a shortage
	since   time.Duration
}

// mix takes the n-th value into a mean.
func mix(mean *float64, v float64, n int) {
	*mean += (v - *mean) / float64(min(n, balanceMemory))
}

// granted takes a run into the averages when it is placed: the first runs to end are
// the short ones.
func (u *means) granted(e *entry) {
	u.samples++
	mix(&u.prompt, float64(e.prompt), u.samples)
	mix(&u.output, float64(e.expected), u.samples)
}

// Averages describes the inputs of Balance for the log.
func Averages(c *Cell) string {
	u := &c.means
	return fmt.Sprintf("%d prefill, %d decode engines; %d runs, prompt %.0f tokens, output %.0f tokens, token time %s",
		len(c.prefills), len(c.decodes), u.samples, u.prompt, u.output, c.tokenTime)
}

// readRate returns the requests per second whose prompts the engines can read.
func (c *Cell) readRate(prefills int) float64 {
	return prefillUse * float64(prefills) * c.meanPrefillRate() / c.means.prompt
}

// writeRate returns the requests per second that decode engines can answer.
func (c *Cell) writeRate(decodes int, d *endpoint) float64 {
	u := &c.means
	perRun := u.prompt + outputShare*u.output
	runs := min(float64(d.Blocks*d.BlockTokens)/perRun, float64(d.Slots))
	return float64(decodes) * runs / (u.output * c.tokenTime.Seconds())
}

// wantedPrefills returns the smallest number of prefill engines that keeps up with
// the other engines as decode engines.
func (c *Cell) wantedPrefills() int {
	total := len(c.prefills) + len(c.decodes)
	d := c.decodes[0]
	for n := min(leastPrefills, total-1); n < total-1; n++ {
		if c.readRate(n) >= c.writeRate(total-n, d) {
			return n
		}
	}
	return total - 1
}

// Balance returns the changes of role that are due. The caller asks again only when
// the last changes have taken effect.
func Balance(c *Cell, now time.Time) []RoleChange {
	c.advance(now)
	surplus := c.surplusPrefills()
	if surplus != c.means.surplus {
		c.means.surplus = surplus
		c.means.since = c.now
	}
	lasted := c.now - c.means.since
	switch {
	case c.now-c.lostAt < lossSettle:
		return nil
	case surplus > 0 && lasted >= spareSettle:
		return c.changes(c.prefills, surplus, table.RoleDecode)
	case surplus < 0 && lasted >= shortSettle:
		return c.changes(c.decodes, 1, table.RolePrefill)
	}
	return nil
}

// surplusPrefills returns by how many the prefill engines exceed the wanted number. A
// shortage counts only if the prefill engines fall clearly behind.
func (c *Cell) surplusPrefills() int {
	if !c.cfg.Projected || c.means.samples < balanceSamples || c.rebuilding() || c.capacity.prefillRate <= 0 {
		return 0
	}
	if len(c.prefills) == 0 || len(c.decodes) == 0 || c.means.prompt < 1 || c.means.output < 1 {
		return 0
	}
	surplus := len(c.prefills) - c.wantedPrefills()
	behind := c.readRate(len(c.prefills)) < prefillShort*c.writeRate(len(c.decodes), c.decodes[0])
	if surplus < 0 && !behind {
		return 0
	}
	return surplus
}

// changes returns changes of n of the endpoints. Those come first that are in the
// zones with the most prefill engines if they are to decode, else with the fewest: a
// zone that is cut off must go on with its own. Among these the endpoints with the
// least work come first.
func (c *Cell) changes(eps []*endpoint, n int, role table.Role) []RoleChange {
	prefills := make(map[id.Zone]int)
	for _, ep := range c.prefills {
		prefills[ep.AZ]++
	}
	step := -1
	if role == table.RolePrefill {
		step = 1
	}
	left := slices.DeleteFunc(slices.Clone(eps), func(ep *endpoint) bool { return ep.fails > 0 })
	var out []RoleChange
	for len(out) < n && len(left) > 0 {
		slices.SortStableFunc(left, func(a, b *endpoint) int {
			return cmp.Or(step*cmp.Compare(prefills[a.AZ], prefills[b.AZ]), cmp.Compare(a.slots, b.slots))
		})
		out = append(out, RoleChange{Endpoint: left[0].Name, Role: role})
		prefills[left[0].AZ] += step
		left = left[1:]
	}
	return out
}
