package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// Engines start with a fixed split into prefill and decode roles, which rarely fits the
// traffic. On the users' platform a third of the engines run prefills and are idle
// most of the time, while the memory of the others is full in every burst. Balance
// selects the engines that should change their role, so that a cell serves as many
// requests per second as its engines allow.

const (
	// minBalanceSamples is the number of runs that the averages and the token time need
	// before they are used. A stated token time several times the real one would leave a
	// cell with too few prefill engines for as long as a change of roles takes.
	minBalanceSamples = 20
	// balanceWindow is the number of runs over which the averages of a small cell are taken.
	// A large cell takes them over balanceRunsPerEngine runs of each engine. It would
	// otherwise change roles because of the runs of a single second.
	balanceWindow        = 100
	balanceRunsPerEngine = 8
	// maxPrefillUtilization is the utilization of the prefill engines above which
	// requests queue for a long time.
	maxPrefillUtilization = 0.85
	// minPrefillRatio is the lowest ratio of the prefill request rate to the decode
	// request rate at which no decode engine becomes a prefill engine. Such a change
	// loses the work of the engine's current runs.
	minPrefillRatio = 0.8
	// minPrefills is the number of prefill engines that a cell keeps, so that the loss
	// of one does not stop it.
	minPrefills = 2
	// meanHeldOutput is the fraction of its final output for which a run holds memory,
	// averaged over the run.
	meanHeldOutput = 0.6
	// minSurplusPercent is the smallest surplus, in percent of the prefill engines, for which
	// engines change their role. The averages are not exact enough for smaller ones, and an
	// engine serves nothing while its role changes.
	minSurplusPercent = 10
	// surplusDelay and shortageDelay are how long a surplus or a shortage of prefill
	// engines must last before engines change their role.
	surplusDelay  = time.Second
	shortageDelay = 3 * time.Second
	// endpointLossDelay is the time after the loss of an endpoint during which no engine
	// changes its role, because most endpoints that crash return within it.
	endpointLossDelay = 5 * time.Second
)

// RoleChange is a change of the role of one endpoint.
type RoleChange struct {
	Endpoint id.Endpoint
	Role     table.Role
}

// runAverages holds moving averages over the runs of a cell.
type runAverages struct {
	samples      int
	prompt       float64       // tokens
	output       float64       // tokens
	surplus      int           // smallest surplus (or shortage, if negative) of prefill engines since surplusSince
	surplusSince time.Duration // when the last surplus or shortage began
}

// updateMean adds the n-th value to a moving mean over a window.
func updateMean(mean *float64, v float64, n, window int) {
	*mean += (v - *mean) / float64(min(n, window))
}

// add adds a run to the averages. It is called when the run is placed, because the
// first runs to end are the short ones.
func (u *runAverages) add(e *entry, engines int) {
	u.samples++
	window := max(balanceWindow, balanceRunsPerEngine*engines)
	updateMean(&u.prompt, float64(e.prompt), u.samples, window)
	updateMean(&u.output, float64(e.expected), u.samples, window)
}

// BalanceSummary describes the inputs of Balance for the log.
func BalanceSummary(c *Cell) string {
	u := &c.runAverages
	return fmt.Sprintf("%d prefill, %d decode engines; %d runs, prompt %.0f tokens, output %.0f tokens, token time %s",
		len(c.prefills), len(c.decodes), u.samples, u.prompt, u.output, c.tokenTime)
}

// prefillRequestRate returns the requests per second that this number of prefill
// engines can serve.
func (c *Cell) prefillRequestRate(prefills int) float64 {
	return maxPrefillUtilization * float64(prefills) * c.meanPrefillRate() / c.runAverages.prompt
}

// decodeRequestRate returns the requests per second that decode engines like d can
// serve.
func (c *Cell) decodeRequestRate(decodes int, d *endpoint) float64 {
	u := &c.runAverages
	tokensPerRun := u.prompt + meanHeldOutput*u.output
	runs := min(float64(d.Blocks*d.BlockTokens)/tokensPerRun, float64(d.Slots))
	return float64(decodes) * runs / (u.output * c.tokenTime.Seconds())
}

// desiredPrefills returns the smallest number of prefill engines that keeps up with
// the other engines if all of those are decode engines.
func (c *Cell) desiredPrefills() int {
	total := len(c.prefills) + len(c.decodes)
	d := c.decodes[0]
	for n := min(minPrefills, total-1); n < total-1; n++ {
		if c.prefillRequestRate(n) >= c.decodeRequestRate(total-n, d) {
			return n
		}
	}
	return total - 1
}

// Balance returns the role changes that are due. Call it again only after the last
// changes have taken effect.
func Balance(c *Cell, now time.Time) []RoleChange {
	c.advance(now)
	c.updateSurplus(c.prefillSurplus())
	surplus := c.runAverages.surplus
	lasted := c.now - c.runAverages.surplusSince
	switch {
	case c.now-c.endpointLostAt < endpointLossDelay:
		return nil
	case surplus*100 >= minSurplusPercent*len(c.prefills) && surplus > 0 && lasted >= surplusDelay:
		return c.chooseRoleChanges(c.prefills, surplus, table.RoleDecode)
	case surplus < 0 && lasted >= shortageDelay:
		return c.chooseRoleChanges(c.decodes, 1, table.RolePrefill)
	}
	return nil
}

// updateSurplus records the surplus of prefill engines found by one check. In a large cell
// it differs a little at each check, because it is calculated from averages. A surplus or a
// shortage therefore lasts as long as it keeps its sign, and its smallest value counts.
func (c *Cell) updateSurplus(surplus int) {
	u := &c.runAverages
	if cmp.Compare(surplus, 0) != cmp.Compare(u.surplus, 0) {
		u.surplus = surplus
		u.surplusSince = c.now
		return
	}
	if max(surplus, -surplus) < max(u.surplus, -u.surplus) {
		u.surplus = surplus
	}
}

// prefillSurplus returns the number of prefill engines above the desired number. It
// returns a shortage only if the prefill rate is below minPrefillRatio of the decode
// rate.
func (c *Cell) prefillSurplus() int {
	if !c.cfg.ProjectMemory || c.rebuilding() || c.capacity.prefillRate <= 0 {
		return 0
	}
	if min(c.runAverages.samples, c.tokenTimeSamples) < minBalanceSamples {
		return 0
	}
	if len(c.prefills) == 0 || len(c.decodes) == 0 || c.runAverages.prompt < 1 || c.runAverages.output < 1 {
		return 0
	}
	if c.speeds.unevenRelative {
		return c.surplusBySpeed()
	}
	surplus := len(c.prefills) - c.desiredPrefills()
	isShort := c.prefillRequestRate(len(c.prefills)) < minPrefillRatio*c.decodeRequestRate(len(c.decodes), c.decodes[0])
	if surplus < 0 && !isShort {
		return 0
	}
	return surplus
}

// chooseRoleChanges returns role changes for up to n of the endpoints, without those that
// are failing. New decode endpoints come from the zones with the most prefill engines
// and new prefill endpoints from those with the fewest, because a partitioned zone has
// only its own engines. Among zones with equal numbers, the fastest engines become prefill
// engines and the slowest ones decode engines if the speeds differ, and then the endpoints
// with the fewest reserved slots come first.
func (c *Cell) chooseRoleChanges(eps []*endpoint, n int, role table.Role) []RoleChange {
	prefills := make(map[id.Zone]int)
	for _, ep := range c.prefills {
		prefills[ep.AZ]++
	}
	step := -1
	if role == table.RolePrefill {
		step = 1
	}
	candidates := slices.DeleteFunc(slices.Clone(eps), func(ep *endpoint) bool { return ep.failures > 0 })
	var out []RoleChange
	for len(out) < n && len(candidates) > 0 {
		slices.SortStableFunc(candidates, func(a, b *endpoint) int {
			return cmp.Or(step*cmp.Compare(prefills[a.AZ], prefills[b.AZ]), -step*c.compareSpeed(a, b), cmp.Compare(a.slots, b.slots))
		})
		out = append(out, RoleChange{Endpoint: candidates[0].Name, Role: role})
		prefills[candidates[0].AZ] += step
		candidates = candidates[1:]
	}
	return out
}
