package bench

import (
	"container/heap"
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// The resources of the engines, in the order of work.
const (
	resourcePrefill = iota
	resourceSlots
	resourceBlocks
	resourceCount
)

var resources = [resourceCount]string{"prefill", "decode-slots", "decode-memory"}

// supply is what the engines can do during a trace.
type supply struct {
	seconds       float64
	prefillTokens float64
	slotSeconds   float64
	blockSeconds  float64
	blockTokens   int64
	prefillRate   int64 // of one engine, tokens/s
	tokenTime     time.Duration
}

func (s supply) total(resource int) float64 {
	return [resourceCount]float64{s.prefillTokens, s.slotSeconds, s.blockSeconds}[resource]
}

// serviceTime is the time that an idle deployment takes for a call.
func (s supply) serviceTime(c fake.Call) time.Duration {
	d := time.Duration(fake.AnswerLength(c.Want, c.Limit)) * s.tokenTime
	if s.prefillRate > 0 {
		d += time.Duration(c.Prompt) * time.Second / time.Duration(s.prefillRate)
	}
	return d
}

// work returns what a call needs of each resource.
func (s supply) work(c fake.Call) [resourceCount]float64 {
	decode := (time.Duration(fake.AnswerLength(c.Want, c.Limit)) * s.tokenTime).Seconds()
	blocks := float64(0)
	if s.blockTokens > 0 {
		blocks = float64((c.Prompt + c.Limit + s.blockTokens - 1) / s.blockTokens)
	}
	return [resourceCount]float64{float64(c.Prompt), decode, decode * blocks}
}

// bottleneck returns the resource of which the calls within their rates need
// the greatest part.
func (s supply) bottleneck(calls []fake.Call, within []bool) int {
	var need [resourceCount]float64
	for i, c := range calls {
		if !within[i] {
			continue
		}
		for k, n := range s.work(c) {
			need[k] += n
		}
	}
	best := 0
	for k := range need {
		if share(need[k], s.total(k)) > share(need[best], s.total(best)) {
			best = k
		}
	}
	return best
}

// maxMin returns the weighted max-min shares of total: nobody gets more than
// its demand, and what one does not need goes to the others by weight.
func maxMin(demand, weight []float64, total float64) []float64 {
	out := make([]float64, len(demand))
	open := make([]bool, len(demand))
	for i := range demand {
		open[i] = true
	}
	for {
		var sum float64
		for i := range demand {
			if open[i] {
				sum += weight[i]
			}
		}
		if sum == 0 {
			return out
		}
		unit := total / sum
		full := false
		for i := range demand {
			if open[i] && demand[i] <= unit*weight[i] {
				out[i] = demand[i]
				total -= demand[i]
				open[i] = false
				full = true
			}
		}
		if full {
			continue
		}
		for i := range demand {
			if open[i] {
				out[i] = unit * weight[i]
			}
		}
		return out
	}
}

// refund is what a reference bucket gets back at the end of a call.
type refund struct {
	at      time.Time
	account id.Account
	tokens  float64
}

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

// referenceRates tells for each call whether it is within the rate of its
// account. The reference is one bucket per account for the whole fleet, which
// starts full. It charges prompt and output limit, and gets the unused part
// back after the time that an idle deployment takes for the call.
func referenceRates(calls []fake.Call, t *table.Snapshot, s supply) []bool {
	buckets := map[id.Account]*reference{}
	var due refunds
	out := make([]bool, len(calls))
	for i, c := range calls {
		for len(due) > 0 && !due[0].at.After(c.Sent) {
			d := heap.Pop(&due).(refund)
			buckets[d.account].add(d.at, d.tokens)
		}
		b, ok := buckets[c.Account]
		if !ok {
			a := t.Accounts[c.Account]
			b = &reference{rate: float64(a.Rate), burst: float64(a.Burst), level: float64(a.Burst), at: c.Sent}
			buckets[c.Account] = b
		}
		b.add(c.Sent, 0)
		cost := float64(c.Prompt + c.Limit)
		if cost > b.level {
			continue
		}
		out[i] = true
		b.level -= cost
		unused := float64(c.Limit - fake.AnswerLength(c.Want, c.Limit))
		heap.Push(&due, refund{at: c.Sent.Add(s.serviceTime(c)), account: c.Account, tokens: unused})
	}
	return out
}

// reference is a token bucket.
type reference struct {
	rate, burst, level float64 // tokens/s, tokens, tokens
	at                 time.Time
}

// add refills the bucket up to now and adds tokens.
func (b *reference) add(now time.Time, tokens float64) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds()+tokens)
	b.at = now
}
