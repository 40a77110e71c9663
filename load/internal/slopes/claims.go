package slopes

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

const (
	claimLoadTime = 10 * time.Second
	claimStep     = time.Millisecond
	storeLatency  = 4 * time.Millisecond  // round trip of one call to the platform
	claimDuration = 50 * time.Millisecond // from the claim to its settlement
)

// claimHarness runs one host that owns all claim shards, in virtual time, with a
// simulated platform on which every call succeeds.
type claimHarness struct {
	state   *claim.State
	now     time.Time
	objects map[string]object.ReadResult
	due     []delayedCall // in no particular order
	writes  int
	bytes   int           // total size of the writes
	ended   int           // settled claims
	spent   time.Duration // wall time in calls to the package claim
}

type delayedCall struct {
	at time.Time
	fn func()
}

// claimSeries measures the writes to the platform per claim by the rate of claims,
// and the bytes and the time that claims cost by the number of stored claims.
func claimSeries() ([]series, error) {
	writes := series{name: "writes per claim, settlement included", mechanism: "claim.startNextCall (one update per shard and flush)", x: "claims/s", y: "writes"}
	rate := series{name: "writes of claims", mechanism: "claim.startNextCall", x: "claims/s", y: "1/s"}
	stored := series{name: "bytes of all shards after 10 s", mechanism: "claim entries, kept for 24 h", x: "claims", y: "bytes"}
	written := series{name: "bytes written per write", mechanism: "claim.encode (the whole shard)", x: "claims per shard", y: "bytes"}
	cpu := series{name: "time of a claim at the owner, settlement included", mechanism: "claim.buildUpdate, claim.encode", x: "claims per shard", y: "us"}
	for _, perSecond := range []int{10, 100, 1000, 4000} {
		c, err := runClaims(perSecond)
		if err != nil {
			return nil, err
		}
		total := float64(perSecond) * claimLoadTime.Seconds()
		all := 0
		for _, o := range c.objects {
			all += len(o.Value)
		}
		writes.points = append(writes.points, point{float64(perSecond), float64(c.writes) / total})
		rate.points = append(rate.points, point{float64(perSecond), float64(c.writes) / claimLoadTime.Seconds()})
		stored.points = append(stored.points, point{total, float64(all)})
		shards := float64(claim.DefaultConfig().Shards)
		written.points = append(written.points, point{total / 2 / shards, float64(c.bytes) / float64(c.writes)})
		cpu.points = append(cpu.points, point{total / 2 / shards, float64(c.spent.Microseconds()) / total})
	}
	return []series{writes, rate, stored, written, cpu}, nil
}

// runClaims runs a load of claims at a constant rate until all claims are settled.
func runClaims(perSecond int) (*claimHarness, error) {
	cfg := claim.DefaultConfig()
	cfg.Host = "entry-0-000"
	c := &claimHarness{
		state: claim.New(cfg), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		objects: map[string]object.ReadResult{},
	}
	begin, sent := c.now, 0
	total := perSecond * int(claimLoadTime/time.Second)
	for c.ended < total {
		if c.now.Sub(begin) > 2*claimLoadTime {
			return nil, fmt.Errorf("only %d of %d claims were settled in time", c.ended, total)
		}
		c.now = c.now.Add(claimStep)
		for ; sent < total && float64(sent) < float64(perSecond)*c.now.Sub(begin).Seconds(); sent++ {
			c.claim(sent)
		}
		c.runDue()
		if c.now.Sub(begin)%(10*time.Millisecond) == 0 {
			c.apply(func() []claim.Action { return claim.Tick(c.state, c.now) })
		}
	}
	return c, nil
}

// claim starts claim n and settles it after claimDuration.
func (c *claimHarness) claim(n int) {
	m := message.Claim{
		Account: accountName(n % 1000), Key: fmt.Sprintf("019b0000-0000-7000-8000-%012x", n),
		Nonce: fmt.Sprintf("entry-0-000-dlr5xk0p1a2b-%x-1", n), Digest: fmt.Sprintf("%064x", n),
	}
	c.apply(func() []claim.Action { return claim.Claim(c.state, c.now, id.Request(m.Nonce), m, "", c.now) })
	c.after(claimDuration, func() {
		done := message.ClaimSettle{Claim: m, State: message.ClaimDone, Outcome: make([]byte, 200)}
		c.apply(func() []claim.Action { return claim.Settle(c.state, c.now, done, "entry-0-000") })
		c.ended++
	})
}

// after calls fn when virtual time has advanced by d.
func (c *claimHarness) after(d time.Duration, fn func()) {
	c.due = append(c.due, delayedCall{at: c.now.Add(d), fn: fn})
}

// runDue runs the delayed calls that are due. Calls that they add run later.
func (c *claimHarness) runDue() {
	due := c.due
	c.due = nil
	var later []delayedCall
	for _, d := range due {
		if d.at.After(c.now) {
			later = append(later, d)
			continue
		}
		d.fn()
	}
	c.due = append(later, c.due...)
}

// apply makes one call to the package claim, measures its wall time and schedules
// the replies to the reads and writes that it returns.
func (c *claimHarness) apply(call func() []claim.Action) {
	start := time.Now()
	actions := call()
	c.spent += time.Since(start)
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Read:
			c.after(storeLatency, func() { c.replyToRead(a) })
		case claim.Write:
			c.writes++
			c.bytes += len(a.Value)
			c.after(storeLatency, func() { c.replyToWrite(a) })
		}
	}
}

func (c *claimHarness) replyToRead(a claim.Read) {
	o := c.objects[a.Name]
	o.Name = a.Name
	c.apply(func() []claim.Action { return claim.HandleRead(c.state, c.now, o) })
}

func (c *claimHarness) replyToWrite(a claim.Write) {
	version := a.IfVersion + 1
	c.objects[a.Name] = object.ReadResult{Name: a.Name, Version: version, Value: a.Value}
	written := object.WriteResult{Name: a.Name, Version: version, Outcome: object.WriteDone}
	c.apply(func() []claim.Action { return claim.HandleWrite(c.state, c.now, written) })
}
