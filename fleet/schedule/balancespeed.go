package schedule

import (
	"cmp"
	"math"
	"slices"
)

// The functions in this file balance the roles of engines whose speeds differ by more than
// a quarter over relativeWindow. They count the speeds of the engines and not their number.

// relativeSteps is the number of steps of relative speed, per typical engine, that decide
// which engine changes its role. Smaller differences may be errors of measurement.
const relativeSteps = 4

// relativeSpeed returns the speed of an engine relative to the typical one. An engine that
// has not been measured counts as typical.
func (ep *endpoint) relativeSpeed() float64 {
	if ep.speed.relative == 0 {
		return 1
	}
	return ep.speed.relative
}

// compareSpeed compares the relative speeds of two engines in steps. It returns 0 while the
// speeds do not differ.
func (c *Cell) compareSpeed(a, b *endpoint) int {
	if !c.speeds.unevenRelative {
		return 0
	}
	return cmp.Compare(math.Round(relativeSteps*a.relativeSpeed()), math.Round(relativeSteps*b.relativeSpeed()))
}

// updateUnevenRelative finds out whether the speeds over relativeWindow differ.
func (c *Cell) updateUnevenRelative() {
	isUneven := func(ep *endpoint) bool {
		return ep.relativeSpeed() > slowRatio || ep.relativeSpeed() < 1/slowRatio
	}
	c.speeds.unevenRelative = slices.ContainsFunc(c.prefills, isUneven) || slices.ContainsFunc(c.decodes, isUneven)
}

func sumRelative(eps []*endpoint) float64 {
	var sum float64
	for _, ep := range eps {
		sum += ep.relativeSpeed()
	}
	return sum
}

// surplusBySpeed returns the number of prefill engines, the slowest first, that can become
// decode engines while the others keep up, or -1 if there are too few.
func (c *Cell) surplusBySpeed() int {
	perPrefill := c.prefillRequestRate(1)
	perDecode := c.decodeRequestRate(1, c.decodes[0])
	prefills, decodes := sumRelative(c.prefills), sumRelative(c.decodes)
	if prefills*perPrefill < minPrefillRatio*decodes*perDecode {
		return -1
	}
	sorted := slices.Clone(c.prefills)
	slices.SortStableFunc(sorted, func(a, b *endpoint) int { return cmp.Compare(a.relativeSpeed(), b.relativeSpeed()) })
	surplus := 0
	for _, ep := range sorted[:max(len(sorted)-minPrefills, 0)] {
		prefills -= ep.relativeSpeed()
		decodes += ep.relativeSpeed()
		if prefills*perPrefill < decodes*perDecode {
			break
		}
		surplus++
	}
	return surplus
}
