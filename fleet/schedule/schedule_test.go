package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

// TestGrantWaitsForDecodeSlot guards against a grant without a reserved decode slot,
// which would waste its prefill.
func TestGrantWaitsForDecodeSlot(t *testing.T) {
	c := cell(nil, prefill("p1"), prefill("p2"), decode("d", 1, 100))
	assert.DeepEqual(t, grants(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1"))), []message.SlotGrant{
		{Request: "r1", Attempt: 1, Prefill: "p1", Decode: "d", Valid: 250 * ms},
	})
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2"))), 0)
	assert.Equal(t, schedule.Load(c, t0).Queued, 1)
	assert.DeepEqual(t, names(finish(c, at(50*ms), "r1", 10)), []id.Request{"r2"})
	mustCheck(t, c)
}

// TestPrefillBacklogIsBounded guards against requests that queue at the engines, where
// the scheduler can no longer order them.
func TestPrefillBacklogIsBounded(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 20, 100))
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1", prompt(1000)))), 1) // 100 ms
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2", prompt(1000)))), 0)
	assert.Equal(t, len(schedule.Tick(c, at(70*ms))), 0)
	assert.DeepEqual(t, names(schedule.Tick(c, at(80*ms))), []id.Request{"r2"})
	mustCheck(t, c)
}

// TestMemoryIsReserved guards against a grant to an endpoint that lacks the memory,
// and against smaller requests that wait behind it although they fit.
func TestMemoryIsReserved(t *testing.T) {
	c := cell(nil, prefill("p1"), prefill("p2"), decode("d", 20, 10))
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1", prompt(500), output(5000)))), 1) // 6 blocks
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2", prompt(100), output(4500)))), 0) // 5 blocks
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r3", prompt(100), output(3500)))), 1) // 4 blocks
	assert.Equal(t, refusals(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r4", output(10_000))))[0].Reason, schedule.ReasonTooLarge)
	assert.DeepEqual(t, names(finish(c, at(50*ms), "r1", 10)), []id.Request{"r2"})
	mustCheck(t, c)
}

// TestDrainForLargeMemory guards against the starvation of a request that needs much
// memory by small ones that always fit.
func TestDrainForLargeMemory(t *testing.T) {
	for _, off := range []bool{false, true} {
		c := cell(func(cfg *schedule.Config) { cfg.Policy.NoPin = off }, prefill("p1"), prefill("p2"), decode("d", 20, 4))
		for _, r := range []string{"s1", "s2"} {
			assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest(r, output(1500)))), 1)
			start(c, at(10*ms), r)
		}
		schedule.HandleSlotRequest(c, t0, "h", slotRequest("big", output(3500), target(10*time.Second)))
		schedule.Tick(c, at(1100*ms))
		schedule.HandleSlotRequest(c, at(1100*ms), "h", slotRequest("s3", output(1500)))
		first := names(finish(c, at(1110*ms), "s1", 1))
		second := names(finish(c, at(1120*ms), "s2", 1))
		if off {
			assert.DeepEqual(t, first, []id.Request{"s3"})
			continue
		}
		assert.Equal(t, len(first), 0)
		assert.DeepEqual(t, second, []id.Request{"big"})
		mustCheck(t, c)
	}
}

// TestLinkIsReserved guards against a KV cache that expires before its transfer
// because the link is busy.
func TestLinkIsReserved(t *testing.T) {
	d := decode("d", 20, 100)
	d.LinkRate = 1000
	c := cell(nil, prefill("p1"), prefill("p2"), prefill("p3"), d)
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1", prompt(500)))), 1) // 500 ms on the link
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2", prompt(500)))), 1) // starts 500 ms after its prefill
	r3 := slotRequest("r3", prompt(500), target(2*time.Second))
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", r3)), 0) // would start 1 s after it
	assert.DeepEqual(t, names(schedule.Tick(c, at(450*ms))), []id.Request{"r3"})
}

// TestOrder guards against an order that depends only on the arrival: class, account
// and latest start come first.
func TestOrder(t *testing.T) {
	for _, tc := range []struct {
		name         string
		policy       schedule.Policy
		slotRequests []message.SlotRequest
		want         []id.Request
	}{
		{"class", schedule.Policy{}, []message.SlotRequest{slotRequest("d", deferred), slotRequest("i")}, []id.Request{"i", "d"}},
		{"classes off", schedule.Policy{NoClasses: true}, []message.SlotRequest{slotRequest("d", deferred), slotRequest("i", target(time.Hour))}, []id.Request{"d", "i"}},
		{"latest start", schedule.Policy{}, []message.SlotRequest{slotRequest("slow", target(20*time.Second)), slotRequest("fast", target(15*time.Second))}, []id.Request{"fast", "slow"}},
		{"account served before", schedule.Policy{}, []message.SlotRequest{slotRequest("a", account("served")), slotRequest("b", account("new"), target(20*time.Second))}, []id.Request{"b", "a"}},
		{"fair queue off", schedule.Policy{NoFairQueue: true}, []message.SlotRequest{slotRequest("b", account("new"), target(20*time.Second)), slotRequest("a", account("served"))}, []id.Request{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := cell(func(cfg *schedule.Config) { cfg.Policy = tc.policy }, prefill("p"), decode("d", 1, 100))
			schedule.HandleSlotRequest(c, t0, "h", slotRequest("first", account("served"), output(1000)))
			for _, m := range tc.slotRequests {
				m.FirstToken = max(m.FirstToken, 10*time.Second)
				assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", m)), 0)
			}
			got := names(finish(c, at(50*ms), "first", 1000))
			got = append(got, names(finish(c, at(100*ms), string(got[0]), 100))...)
			assert.DeepEqual(t, got, tc.want)
			mustCheck(t, c)
		})
	}
}

// TestLargePromptsLeaveOneEndpoint guards against large prompts that occupy all
// prefill endpoints while small interactive requests arrive, and against an endpoint
// that is kept free although no such requests arrive.
func TestLargePromptsLeaveOneEndpoint(t *testing.T) {
	c := cell(nil, prefill("p1"), prefill("p2"), decode("d", 20, 100))
	big := func(r string) message.SlotRequest { return slotRequest(r, prompt(20_000), target(time.Minute)) }
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("s1"))), 1)
	start(c, at(10*ms), "s1")
	assert.Equal(t, len(schedule.HandleSlotRequest(c, at(time.Second), "h", big("l1"))), 1)
	assert.Equal(t, len(schedule.HandleSlotRequest(c, at(time.Second), "h", big("l2"))), 0)
	assert.Equal(t, len(schedule.HandleSlotRequest(c, at(time.Second), "h", slotRequest("s2"))), 1)
	assert.DeepEqual(t, names(schedule.Tick(c, at(5900*ms))), []id.Request{"l2"})       // l1 has expired
	assert.Equal(t, len(schedule.HandleSlotRequest(c, at(6100*ms), "h", big("l3"))), 1) // 5.1 s after s2
}

// TestLateRequests guards against requests that cannot meet their target and take
// capacity from others.
func TestLateRequests(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 1, 100))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1"))
	schedule.HandleHold(c, t0, "h", message.SlotHold{Request: "r1", Attempt: 1, Prefill: "p", Decode: "d", Phase: message.PhaseDecode})
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("refused"))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("demoted", canWait))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("no-target", target(0)))
	assert.Equal(t, len(schedule.Tick(c, at(500*ms))), 0)
	got := refusals(schedule.Tick(c, at(520*ms)))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Reason, schedule.ReasonTooLate)
	assert.Assert(t, got[0].Retry > 0)
	late := refusals(schedule.HandleSlotRequest(c, at(530*ms), "h", slotRequest("waited", func(m *message.SlotRequest) { m.Waited = time.Second })))
	assert.Equal(t, late[0].Reason, schedule.ReasonTooLate)
	assert.DeepEqual(t, names(finish(c, at(600*ms), "r1", 1)), []id.Request{"no-target"})
	assert.DeepEqual(t, names(finish(c, at(700*ms), "no-target", 1)), []id.Request{"demoted"})
	schedule.HandleSlotRequest(c, at(700*ms), "h", slotRequest("d", deferred))
	start(c, at(720*ms), "demoted")
	mustCheck(t, c)
}

// TestWaitLimit guards against deferrable requests that are never granted and never
// refused.
func TestWaitLimit(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 1, 100))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1"))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2", deferred))
	hold := message.SlotHold{Request: "r1", Attempt: 1, Prefill: "p", Decode: "d", Phase: message.PhaseDecode}
	for s := range 300 {
		assert.Equal(t, len(schedule.HandleHold(c, at(time.Duration(s)*time.Second), "h", hold)), 0)
	}
	got := refusals(schedule.Tick(c, at(300*time.Second+ms)))
	assert.Equal(t, got[0].Reason, schedule.ReasonWaitLimit)
}

// TestQueueFullRefusesTheLongest guards against a flood of one account that fills the
// queue for all others.
func TestQueueFullRefusesTheLongest(t *testing.T) {
	c := cell(func(cfg *schedule.Config) { cfg.MaxQueue = 3 }, prefill("p"), decode("d", 1, 100))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("run"))
	for _, r := range []string{"r1", "r2", "r3"} {
		assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest(r))), 0)
	}
	got := refusals(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r4")))
	assert.Equal(t, got[0].Request, id.Request("r4"))
	assert.Equal(t, got[0].Reason, schedule.ReasonQueueFull)
	got = refusals(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r5", account("b"))))
	assert.Equal(t, len(got), 1)
	assert.Assert(t, got[0].Request != "r5")
	mustCheck(t, c)
}

// TestAffinity guards against a cached prefix that is ignored in the choice of an
// endpoint, and against requests that wait for it.
func TestAffinity(t *testing.T) {
	withPrefix := func(m *message.SlotRequest) { m.Prefix = 7 }
	for _, tc := range []struct {
		name    string
		off     bool
		evicted bool
		busy    bool
		want    id.Endpoint
	}{
		{"cached", false, false, false, "p2"},
		{"off", true, false, false, "p1"},
		{"evicted", false, true, false, "p1"},
		{"busy", false, false, true, "p1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := cell(func(cfg *schedule.Config) { cfg.Policy.NoAffinity = tc.off }, prefill("p1"), prefill("p2"), decode("d", 20, 100))
			schedule.HandleCacheEvent(c, "p2", 7, false)
			if tc.evicted {
				schedule.HandleCacheEvent(c, "p2", 7, true)
			}
			if tc.busy {
				schedule.HandleSlotRequest(c, t0, "h", slotRequest("r0", prompt(1000), withPrefix))
			}
			got := grants(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1", withPrefix)))
			assert.Equal(t, got[0].Prefill, tc.want)
		})
	}
}

// TestAvoid guards against a retry on the endpoint of the failed attempt, unless there
// is no other one.
func TestAvoid(t *testing.T) {
	c := cell(nil, prefill("p1"), prefill("p2"), decode("d1", 20, 100))
	got := grants(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1", avoiding("p1"))))
	assert.Equal(t, got[0].Prefill, id.Endpoint("p2"))
	got = grants(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2", avoiding("d1"))))
	assert.Equal(t, got[0].Decode, id.Endpoint("d1"))
}

// TestBackOff guards against a dead endpoint that gets requests again and again.
func TestBackOff(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 20, 100))
	schedule.HandleEndpointFailure(c, t0, "p")
	schedule.HandleEndpointFailure(c, t0, "p") // the same failure
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1", target(time.Minute)))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2", target(time.Minute)))
	assert.Equal(t, len(schedule.Tick(c, at(499*ms))), 0)
	assert.DeepEqual(t, names(schedule.Tick(c, at(500*ms))), []id.Request{"r1"}) // the probe
	failed := update("r1", message.PhaseCancelled, 0)
	failed.Failed = "p"
	assert.Equal(t, len(schedule.HandleUpdate(c, at(600*ms), "h", failed)), 0)
	assert.Equal(t, len(schedule.HandleUpdate(c, at(600*ms), "h", failed)), 0)
	assert.Equal(t, len(schedule.Tick(c, at(1599*ms))), 0)
	assert.DeepEqual(t, names(schedule.Tick(c, at(1600*ms))), []id.Request{"r2"})
	schedule.HandleSlotRequest(c, at(1600*ms), "h", slotRequest("r3"))
	assert.DeepEqual(t, names(schedule.HandleUpdate(c, at(1620*ms), "h", update("r2", message.PhaseDecode, 0))), []id.Request{"r3"})
	mustCheck(t, c)
}

// TestBackOffEndsByHold guards against a decode endpoint that works again but gets
// only one request at a time until the first one ends.
func TestBackOffEndsByHold(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 20, 100))
	schedule.HandleEndpointFailure(c, t0, "d")
	schedule.HandleSlotRequest(c, at(500*ms), "h", slotRequest("r1"))
	start(c, at(520*ms), "r1")
	assert.Equal(t, len(schedule.HandleSlotRequest(c, at(530*ms), "h", slotRequest("r2", target(time.Minute)))), 0)
	schedule.HandleHold(c, at(1000*ms), "h", message.SlotHold{Request: "r1", Attempt: 1, Decode: "d", Phase: message.PhaseDecode})
	assert.DeepEqual(t, names(schedule.Tick(c, at(1010*ms))), []id.Request{"r2"})
}

// TestRepeatedMessages guards against lost, duplicated and reordered messages that
// reserve capacity twice or forever.
func TestRepeatedMessages(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 20, 100))
	first := grants(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1")))[0]
	again := grants(schedule.HandleSlotRequest(c, at(100*ms), "h", slotRequest("r1")))[0]
	first.Valid -= 100 * ms
	assert.DeepEqual(t, again, first)
	assert.Equal(t, len(schedule.HandleSlotRequest(c, at(300*ms), "h", slotRequest("r1"))), 0)
	acts := schedule.Tick(c, at(1700*ms))
	assert.DeepEqual(t, cancels(acts), []schedule.Cancel{{Endpoint: "p", Request: "r1", Attempt: 1}, {Endpoint: "d", Request: "r1", Attempt: 1}})
	assert.Equal(t, refusals(schedule.HandleSlotRequest(c, at(1800*ms), "h", slotRequest("r1")))[0].Reason, schedule.ReasonGrantExpired)

	schedule.HandleUpdate(c, at(1900*ms), "h", update("r2", message.PhaseCancelled, 0))
	assert.Equal(t, len(schedule.HandleSlotRequest(c, at(1901*ms), "h", slotRequest("r2"))), 0) // the cancellation arrived before the slot request
	finish(c, at(1902*ms), "r2", 1)
	assert.Equal(t, schedule.Load(c, at(1902*ms)).FreeSlots, 20)

	schedule.HandleSlotRequest(c, at(2*time.Second), "h", slotRequest("r3"))
	acts = schedule.HandleSlotRequest(c, at(2*time.Second), "h", slotRequest("r3", attempt(2)))
	assert.Equal(t, len(cancels(acts)), 2)
	assert.Equal(t, grants(acts)[0].Attempt, id.Attempt(2))
	assert.Equal(t, len(schedule.HandleUpdate(c, at(2*time.Second), "h", update("r3", message.PhaseDone, 1))), 0) // attempt 1
	assert.Equal(t, schedule.Load(c, at(2*time.Second)).FreeSlots, 19)
	mustCheck(t, c)
}

// TestHostsThatStop guards against engine memory that stays reserved for dead or
// silent hosts.
func TestHostsThatStop(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 20, 100))
	schedule.HandleSlotRequest(c, t0, "dead", slotRequest("r1"))
	schedule.HandleSlotRequest(c, t0, "silent", slotRequest("r2"))
	schedule.HandleUpdate(c, t0, "silent", update("r2", message.PhaseDecode, 1))
	assert.Equal(t, len(cancels(schedule.HandleHostDeath(c, at(ms), "dead"))), 2)
	assert.Equal(t, len(schedule.Tick(c, at(3400*ms))), 0)
	acts := schedule.Tick(c, at(3600*ms))
	assert.DeepEqual(t, cancels(acts), []schedule.Cancel{{Endpoint: "d", Request: "r2", Attempt: 1}})
	assert.Equal(t, schedule.Load(c, at(3600*ms)).FreeSlots, 20)
	mustCheck(t, c)
}

// TestUnregisteredRuns guards against engine work that no host registers and that is
// not counted or never cancelled.
func TestUnregisteredRuns(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d", 2, 10))
	r := schedule.Report{Endpoint: "d", Running: 1, Slots: 2, FreeBlocks: 1, Runs: []schedule.Run{{Request: "x", Attempt: 1}}}
	schedule.HandleReport(c, t0, r)
	assert.Equal(t, schedule.Load(c, t0).FreeSlots, 1)
	assert.Equal(t, len(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1", output(1900)))), 0) // 2 blocks
	assert.Equal(t, len(cancels(schedule.HandleReport(c, at(4900*ms), r))), 0)
	acts := schedule.HandleReport(c, at(5*time.Second), r)
	assert.DeepEqual(t, cancels(acts), []schedule.Cancel{{Endpoint: "d", Request: "x", Attempt: 1}})
	schedule.HandleHold(c, at(5*time.Second), "h", message.SlotHold{Request: "y", Attempt: 1, Decode: "d", Phase: message.PhaseDecode})
	r.Runs = []schedule.Run{{Request: "y", Attempt: 1}}
	schedule.HandleReport(c, at(5100*ms), r)
	assert.Equal(t, schedule.Load(c, at(5100*ms)).FreeSlots, 1)
	schedule.HandleUpdate(c, at(5200*ms), "h", update("y", message.PhaseDone, 1))
	schedule.HandleReport(c, at(5300*ms), r) // the report is older than the end
	assert.Equal(t, schedule.Load(c, at(5300*ms)).FreeSlots, 2)
	mustCheck(t, c)
}

// TestLeaving guards against new work on an endpoint that is leaving according to
// its engine or to the configuration.
func TestLeaving(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d1", 2, 10), decode("d2", 1, 10))
	schedule.HandleReport(c, t0, schedule.Report{Endpoint: "d1", Leaving: true, FreeBlocks: 10})
	assert.Equal(t, grants(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1")))[0].Decode, id.Endpoint("d2"))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2"))
	leaving := decode("d2", 1, 10)
	leaving.Leaving = true
	got := refusals(schedule.SetEndpoints(c, t0, []schedule.Endpoint{prefill("p"), leaving}))
	assert.Equal(t, got[0].Reason, schedule.ReasonNoEndpoint)
	assert.Equal(t, refusals(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r3")))[0].Reason, schedule.ReasonNoEndpoint)
	mustCheck(t, c)
}

// TestRebuild guards against a new scheduler that grants capacity which its
// predecessor may have granted already.
func TestRebuild(t *testing.T) {
	c := schedule.New(schedule.DefaultConfig(), "m", t0, true)
	p := prefill("p")
	p.Slots = 20
	schedule.SetEndpoints(c, t0, []schedule.Endpoint{p, decode("d", 4, 100)})
	assert.Equal(t, len(grants(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1")))), 1)
	assert.Equal(t, len(grants(schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2", target(time.Minute))))), 0)
	start(c, at(10*ms), "r1")
	hold := message.SlotHold{Request: "old", Attempt: 2, Decode: "d", Phase: message.PhaseDecode, PromptTokens: 10, OutputTokens: 10}
	schedule.HandleHold(c, at(100*ms), "h", hold)
	assert.DeepEqual(t, names(schedule.Tick(c, at(1500*ms))), []id.Request{"r2"})
	assert.Equal(t, schedule.Load(c, at(1500*ms)).FreeSlots, 1)
	mustCheck(t, c)

	c = schedule.New(schedule.DefaultConfig(), "m", t0, true)
	schedule.SetEndpoints(c, t0, []schedule.Endpoint{p, decode("d", 4, 100)})
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1"))
	start(c, at(10*ms), "r1")
	schedule.HandleSlotRequest(c, at(10*ms), "h", slotRequest("r2"))
	schedule.HandleReport(c, at(300*ms), schedule.Report{Endpoint: "p", FreeBlocks: 100})
	got := schedule.HandleReport(c, at(300*ms), schedule.Report{Endpoint: "d", FreeBlocks: 100})
	assert.DeepEqual(t, names(got), []id.Request{"r2"}) // nothing is unregistered
}

// TestBaselines guards against baselines that queue requests, which would make the
// comparison with them meaningless.
func TestBaselines(t *testing.T) {
	for _, p := range []schedule.Placement{schedule.PlacementRoundRobin, schedule.PlacementLeastLoaded} {
		c := cell(func(cfg *schedule.Config) { cfg.Policy.Placement = p }, prefill("p"), decode("d1", 1, 1), decode("d2", 1, 1))
		schedule.HandleReport(c, t0, schedule.Report{Endpoint: "d1", Running: 1})
		var got []id.Endpoint
		for _, r := range []string{"r1", "r2", "r3", "r4"} {
			got = append(got, grants(schedule.HandleSlotRequest(c, t0, "h", slotRequest(r)))[0].Decode)
		}
		want := []id.Endpoint{"d1", "d2", "d1", "d2"}
		if p == schedule.PlacementLeastLoaded {
			want = []id.Endpoint{"d2", "d2", "d2", "d2"}
		}
		assert.DeepEqual(t, got, want)
		mustCheck(t, c)
	}
}

// TestAvoidedEndpointIsBetterThanNone guards against a request that avoids the
// endpoint of its failed attempt and therefore waits for the backoff of all others.
func TestAvoidedEndpointIsBetterThanNone(t *testing.T) {
	c := cell(nil, prefill("p"), decode("d1", 20, 100), decode("d2", 20, 100))
	for i := range 5 { // d2 fails whenever it is tried
		schedule.HandleEndpointFailure(c, at(time.Duration(i)*20*time.Second), "d2")
	}
	now := 81 * time.Second
	acts := schedule.HandleSlotRequest(c, at(now), "h", slotRequest("r", attempt(2), avoiding("d1"), canWait))
	got := grants(acts)
	assert.Equal(t, len(got), 1, "%+v", acts)
	assert.Equal(t, got[0].Decode, id.Endpoint("d1"))
}
