package limit

import (
	"math/bits"
	"slices"

	"ragwortshunt.example/fleet/id"
)

// partKind identifies one of the two parts of a slot. Each has its own lease.
type partKind int

const (
	pooled partKind = iota
	reserve
	partCount
)

// slot is the portion of an account's budget that belongs to one lease group.
type slot struct {
	group int
	parts [partCount]Budget
}

// share is a slot as stored by its group, with the account it belongs to.
type share struct {
	account id.Account
	parts   [partCount]Budget
}

// partsPerMillion is the resolution of ReserveShare.
const partsPerMillion = 1_000_000

// zoneSlots splits the budget of an account into its slots in one zone. The
// slots of all zones sum exactly to the budget. The rate of a slot never falls
// when the budget's rate rises, so hosts with an older and a newer table
// together refill at most at the higher of the two rates.
func zoneSlots(cfg Config, account id.Account, b Budget, zone id.Zone) []slot {
	rate, burst := zoneShare(cfg, account, b, zone)
	first := int(hashOf(string(account)) % uint64(cfg.Groups))
	n := slotCount(cfg, rate)
	slots := make([]slot, n)
	var rateSum, burstSum int64
	for i := range slots {
		r := slotRate(cfg, rate, n, i)
		rateSum += r
		cum := burst
		if rate > 0 {
			cum = mulDiv(burst, rateSum, rate)
		}
		slots[i].group = (first + i) % cfg.Groups
		slots[i].parts = splitParts(cfg, Budget{Rate: r, Burst: cum - burstSum})
		burstSum = cum
	}
	return slots
}

// zoneShare returns the rate and burst of an account in one zone.
func zoneShare(cfg Config, account id.Account, b Budget, zone id.Zone) (rate, burst int64) {
	n := len(cfg.Zones)
	i := slices.Index(cfg.Zones, zone)
	if i < 0 {
		return 0, 0
	}
	i = (i + int(hashOf("zone", string(account))%uint64(n))) % n
	return evenShare(b.Rate, n, i), evenShare(b.Burst, n, i)
}

func slotCount(cfg Config, rate int64) int {
	n := (rate + cfg.SlotRate - 1) / cfg.SlotRate
	return int(min(max(n, 1), int64(cfg.Groups)))
}

// slotRate returns the rate of slot i of n. Slots are filled up to SlotRate in order.
// A rate above SlotRate*Groups is spread evenly over all slots.
func slotRate(cfg Config, rate int64, n, i int) int64 {
	full := cfg.SlotRate * int64(cfg.Groups)
	if rate > full {
		return cfg.SlotRate + evenShare(rate-full, n, i)
	}
	return min(max(rate-cfg.SlotRate*int64(i), 0), cfg.SlotRate)
}

func splitParts(cfg Config, b Budget) [partCount]Budget {
	ppm := int64(cfg.ReserveShare * partsPerMillion)
	ppm = min(max(ppm, 0), partsPerMillion)
	r := Budget{
		Rate:  mulDiv(b.Rate, ppm, partsPerMillion),
		Burst: mulDiv(b.Burst, ppm, partsPerMillion),
	}
	return [partCount]Budget{
		pooled:  {Rate: b.Rate - r.Rate, Burst: b.Burst - r.Burst},
		reserve: r,
	}
}

// evenShare splits total into n integers that differ by at most 1, and returns number i.
func evenShare(total int64, n, i int) int64 {
	out := total / int64(n)
	if int64(i) < total%int64(n) {
		out++
	}
	return out
}

// mulDiv returns floor(a*b/c) of non-negative numbers with b <= c.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}

// groupsOf returns the groups of an account's slots in a zone.
func groupsOf(cfg Config, account id.Account, b Budget, zone id.Zone) []int {
	rate, _ := zoneShare(cfg, account, b, zone)
	first := int(hashOf(string(account)) % uint64(cfg.Groups))
	out := make([]int, slotCount(cfg, rate))
	for i := range out {
		out[i] = (first + i) % cfg.Groups
	}
	return out
}
