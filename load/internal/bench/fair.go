package bench

import (
	"container/heap"
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// The resources of the engines, in the order in which a request uses them.
const (
	resourcePrefill = iota
	resourceSlots
	resourceBlocks
	resourceCount
)

var resources = [resourceCount]string{"prefill", "decode-slots", "decode-memory"}

// capacity holds the resources that the engines of a deployment offer during a trace.
type capacity struct {
	seconds       float64
	prefillTokens float64
	slotSeconds   float64
	blockSeconds  float64
	blockTokens   int64
	prefillRate   int64 // of one prefill engine, tokens/s
	tokenTime     time.Duration
}

func (s capacity) total(resource int) float64 {
	return [resourceCount]float64{s.prefillTokens, s.slotSeconds, s.blockSeconds}[resource]
}

// serviceTime returns the time that an idle deployment takes to serve a call.
func (s capacity) serviceTime(c fake.Call) time.Duration {
	d := time.Duration(fake.AnswerLength(c.NaturalOutput, c.OutputLimit)) * s.tokenTime
	if s.prefillRate > 0 {
		d += time.Duration(c.Prompt) * time.Second / time.Duration(s.prefillRate)
	}
	return d
}

// resourceDemand returns the amount of each resource that a call needs: prompt
// tokens, slot seconds and block seconds.
func (s capacity) resourceDemand(c fake.Call) [resourceCount]float64 {
	decode := (time.Duration(fake.AnswerLength(c.NaturalOutput, c.OutputLimit)) * s.tokenTime).Seconds()
	blocks := float64(0)
	if s.blockTokens > 0 {
		blocks = float64((c.Prompt + c.OutputLimit + s.blockTokens - 1) / s.blockTokens)
	}
	return [resourceCount]float64{float64(c.Prompt), decode, decode * blocks}
}

// bottleneck returns the resource with the highest ratio of demand to capacity.
// Only calls within the rate of their account count.
func (s capacity) bottleneck(calls []fake.Call, inRate []bool) int {
	var totalDemand [resourceCount]float64
	for i, c := range calls {
		if !inRate[i] {
			continue
		}
		for k, n := range s.resourceDemand(c) {
			totalDemand[k] += n
		}
	}
	best := 0
	for k := range totalDemand {
		if share(totalDemand[k], s.total(k)) > share(totalDemand[best], s.total(best)) {
			best = k
		}
	}
	return best
}

// maxMin returns the weighted max-min fair shares of total: no participant gets
// more than its demand, and the remainder is divided among the others by weight.
func maxMin(demand, weight []float64, total float64) []float64 {
	out := make([]float64, len(demand))
	unsatisfied := make([]bool, len(demand))
	for i := range demand {
		unsatisfied[i] = true
	}
	for {
		var sum float64
		for i := range demand {
			if unsatisfied[i] {
				sum += weight[i]
			}
		}
		if sum == 0 {
			return out
		}
		unit := total / sum
		satisfied := false
		for i := range demand {
			if unsatisfied[i] && demand[i] <= unit*weight[i] {
				out[i] = demand[i]
				total -= demand[i]
				unsatisfied[i] = false
				satisfied = true
			}
		}
		if satisfied {
			continue
		}
		for i := range demand {
			if unsatisfied[i] {
				out[i] = unit * weight[i]
			}
		}
		return out
	}
}

// refund returns the unused tokens of a call to the bucket of its account when
// the call ends.
type refund struct {
	at      time.Time
	account id.Account
	tokens  float64
}

// refunds is a heap of refunds ordered by time.
type refunds []refund

func (r refunds) Len() int           { return len(r) }
func (r refunds) Less(i, j int) bool { return r[i].at.Before(r[j].at) }
func (r refunds) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *refunds) Push(x any)        { *r = append(*r, x.(refund)) }
func (r *refunds) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}

// markInRate reports for each call whether it is within the rate of its account.
// The reference is one token bucket per account for the whole fleet, which starts
// full. A call is charged its prompt and output limit. The unused part of the
// limit is refunded after the time that an idle deployment takes to serve the
// call. The calls must be in the order in which they were sent.
func markInRate(calls []fake.Call, t *table.Snapshot, s capacity) []bool {
	buckets := map[id.Account]*tokenBucket{}
	var pending refunds
	out := make([]bool, len(calls))
	for i, c := range calls {
		for len(pending) > 0 && !pending[0].at.After(c.Sent) {
			d := heap.Pop(&pending).(refund)
			buckets[d.account].add(d.at, d.tokens)
		}
		b, ok := buckets[c.Account]
		if !ok {
			a := t.Accounts[c.Account]
			b = &tokenBucket{rate: float64(a.Rate), burst: float64(a.Burst), level: float64(a.Burst), at: c.Sent}
			buckets[c.Account] = b
		}
		b.add(c.Sent, 0)
		cost := float64(c.Prompt + c.OutputLimit)
		if cost > b.level {
			continue
		}
		out[i] = true
		b.level -= cost
		unused := float64(c.OutputLimit - fake.AnswerLength(c.NaturalOutput, c.OutputLimit))
		heap.Push(&pending, refund{at: c.Sent.Add(s.serviceTime(c)), account: c.Account, tokens: unused})
	}
	return out
}

// tokenBucket is the reference rate limiter of one account.
type tokenBucket struct {
	rate, burst, level float64 // rate in tokens/s; burst and level in tokens
	at                 time.Time
}

// add refills the bucket up to the time now and adds tokens. The level never
// exceeds the burst.
func (b *tokenBucket) add(now time.Time, tokens float64) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds()+tokens)
	b.at = now
}
