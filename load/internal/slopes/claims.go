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
	claimTime    = 10 * time.Second
	claimStep    = time.Millisecond
	storeLatency = 4 * time.Millisecond // of one call, both ways
	claimRun     = 50 * time.Millisecond
)

// claimRig is one owner of all shards with a platform that always answers.
type claimRig struct {
	state   *claim.State
	now     time.Time
	objects map[string]object.ReadResult
	due     []dueCall
	writes  int
	bytes   int
	ended   int
	spent   time.Duration
}

type dueCall struct {
	at time.Time
	fn func()
}

// claimSeries measures the platform's writes per claim by the rate of claims.
func claimSeries() ([]series, error) {
	writes := series{name: "writes per claim, settlement included", mechanism: "claim.work (one update per shard and flush)", x: "claims/s", y: "writes"}
	rate := series{name: "writes of claims", mechanism: "claim.work", x: "claims/s", y: "1/s"}
	stored := series{name: "bytes of all shards after 10 s", mechanism: "claim entries, kept for 24 h", x: "claims", y: "bytes"}
	written := series{name: "bytes written per write", mechanism: "claim.encode (the whole shard)", x: "claims per shard", y: "bytes"}
	cpu := series{name: "time of a claim at the owner, settlement included", mechanism: "claim.makePlan, claim.encode", x: "claims per shard", y: "us"}
	for _, perSecond := range []int{10, 100, 1000, 4000} {
		c, err := runClaims(perSecond)
		if err != nil {
			return nil, err
		}
		total := float64(perSecond) * claimTime.Seconds()
		all := 0
		for _, o := range c.objects {
			all += len(o.Value)
		}
		writes.points = append(writes.points, point{float64(perSecond), float64(c.writes) / total})
		rate.points = append(rate.points, point{float64(perSecond), float64(c.writes) / claimTime.Seconds()})
		stored.points = append(stored.points, point{total, float64(all)})
		shards := float64(claim.DefaultConfig().Shards)
		written.points = append(written.points, point{total / 2 / shards, float64(c.bytes) / float64(c.writes)})
		cpu.points = append(cpu.points, point{total / 2 / shards, float64(c.spent.Microseconds()) / total})
	}
	return []series{writes, rate, stored, written, cpu}, nil
}

func runClaims(perSecond int) (*claimRig, error) {
	cfg := claim.DefaultConfig()
	cfg.Host = "entry-0-000"
	c := &claimRig{
		state: claim.New(cfg), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		objects: map[string]object.ReadResult{},
	}
	begin, sent := c.now, 0
	total := perSecond * int(claimTime/time.Second)
	for c.ended < total {
		if c.now.Sub(begin) > 2*claimTime {
			return nil, fmt.Errorf("%d of %d claims ended", c.ended, total)
		}
		c.now = c.now.Add(claimStep)
		for ; sent < total && float64(sent) < float64(perSecond)*c.now.Sub(begin).Seconds(); sent++ {
			c.claim(sent)
		}
		c.release()
		if c.now.Sub(begin)%(10*time.Millisecond) == 0 {
			c.do(func() []claim.Action { return claim.Tick(c.state, c.now) })
		}
	}
	return c, nil
}

func (c *claimRig) claim(n int) {
	m := message.Claim{
		Account: accountName(n % 1000), Key: fmt.Sprintf("019b0000-0000-7000-8000-%012x", n),
		Nonce: fmt.Sprintf("entry-0-000-dlr5xk0p1a2b-%x-1", n), Digest: fmt.Sprintf("%064x", n),
	}
	c.do(func() []claim.Action { return claim.Claim(c.state, c.now, id.Request(m.Nonce), m, "", c.now) })
	c.after(claimRun, func() {
		done := message.ClaimSettle{Claim: m, State: message.ClaimDone, Outcome: make([]byte, 200)}
		c.do(func() []claim.Action { return claim.Settle(c.state, c.now, done, "entry-0-000") })
		c.ended++
	})
}

func (c *claimRig) after(d time.Duration, fn func()) {
	c.due = append(c.due, dueCall{at: c.now.Add(d), fn: fn})
}

func (c *claimRig) release() {
	due := c.due
	c.due = nil
	var later []dueCall
	for _, d := range due {
		if d.at.After(c.now) {
			later = append(later, d)
			continue
		}
		d.fn()
	}
	c.due = append(later, c.due...)
}

// do makes one call of the package and answers the calls that it asks for.
func (c *claimRig) do(call func() []claim.Action) {
	start := time.Now()
	actions := call()
	c.spent += time.Since(start)
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Read:
			c.after(storeLatency, func() { c.answerRead(a) })
		case claim.Write:
			c.writes++
			c.bytes += len(a.Value)
			c.after(storeLatency, func() { c.answerWrite(a) })
		}
	}
}

func (c *claimRig) answerRead(a claim.Read) {
	o := c.objects[a.Name]
	o.Name = a.Name
	c.do(func() []claim.Action { return claim.HandleRead(c.state, c.now, o) })
}

func (c *claimRig) answerWrite(a claim.Write) {
	version := a.IfVersion + 1
	c.objects[a.Name] = object.ReadResult{Name: a.Name, Version: version, Value: a.Value}
	written := object.WriteResult{Name: a.Name, Version: version, Outcome: object.WriteDone}
	c.do(func() []claim.Action { return claim.HandleWrite(c.state, c.now, written) })
}
