package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
)

func newSimulation(t *testing.T, seed uint64) *fake.Simulation {
	t.Helper()
	cfg := fake.Tallinn().Config(seed)
	cfg.Tune = shortLeases
	sim, err := fake.New(cfg)
	assert.NilError(t, err)
	return sim
}

func steadyLoad(account id.Account, route id.Route, rate float64) fake.RequestStream {
	return fake.RequestStream{
		Account: account, Route: route, Rate: rate, From: warmUp, To: 20 * time.Second,
		PromptMin: 100, PromptMax: 4000, OutputMin: 20, OutputMax: 150, OutputLimit: 200,
	}
}

// TestCancelFreesMemory guards against engine memory that is not freed after the caller
// has disconnected, in any stage from queue to decode.
func TestCancelFreesMemory(t *testing.T) {
	sim := newSimulation(t, 11)
	stream := steadyLoad("large-1", fake.RouteInteractive, 40)
	stream.Cancel = 1
	sim.Generate(stream)
	const bound = 2 * time.Second
	for at := warmUp; at < 24*time.Second; at += 500 * time.Millisecond {
		sim.At(at, func() {
			for _, h := range sim.OrphanedRuns() {
				ended := sim.EndOf(h.Request)
				assert.Assert(t, sim.Elapsed()-ended < bound, "%s held for %s", h.Endpoint, h.Request)
			}
		})
	}
	assert.NilError(t, sim.Run(25*time.Second))
	assert.Equal(t, len(sim.OrphanedRuns()), 0)
}

// TestHostDeathFreesMemory guards against runs that are never cancelled after their
// entry host has died. Membership must detect the death within 2 s, and the scheduler
// must cancel the runs.
func TestHostDeathFreesMemory(t *testing.T) {
	sim := newSimulation(t, 12)
	stream := steadyLoad("large-1", fake.RouteInteractive, 10)
	stream.OutputMin, stream.OutputMax, stream.OutputLimit = 1000, 1500, 2000
	sim.Generate(stream)
	killed := sim.Hosts()[4]
	sim.At(12*time.Second, func() { sim.Kill(killed) })
	assert.NilError(t, sim.Run(16*time.Second))
	for _, h := range sim.OrphanedRuns() {
		assert.Assert(t, sim.CallOf(h.Request).Host != killed, "%s holds %s of the dead host", h.Endpoint, h.Request)
	}
}

// TestWholeAnswers guards against lost, duplicated and reordered tokens in responses
// when chunks are duplicated, delayed and lost and a decode engine dies. The fake caller
// checks every token.
func TestWholeAnswers(t *testing.T) {
	sim := newSimulation(t, 13)
	sim.Generate(steadyLoad("large-1", fake.RouteInteractive, 10))
	sim.Generate(steadyLoad("large-2", fake.RouteDeferrable, 4))
	sim.Inject(fake.Fault{Kind: fake.FaultChunkDelivery, At: 6 * time.Second, ActiveTime: 14 * time.Second})
	sim.At(10*time.Second, func() { sim.KillEndpoint("tallinn-a-decode-1") })
	sim.At(14*time.Second, func() { sim.StartEndpoint("tallinn-a-decode-1") })
	assert.NilError(t, sim.Run(60*time.Second))
	complete := 0
	for _, c := range sim.Calls() {
		if c.Result == fake.ResultComplete {
			complete++
		}
	}
	assert.Assert(t, complete*10 >= len(sim.Calls())*9, "only %d of %d responses are complete", complete, len(sim.Calls()))
}

// TestWithdrawnKey guards against a withdrawn key that remains usable. Within the bound,
// its streams must end and every host must refuse new requests.
func TestWithdrawnKey(t *testing.T) {
	const bound = 5 * time.Second
	sim := newSimulation(t, 14)
	stream := steadyLoad("large-1", fake.RouteInteractive, 20)
	stream.OutputMin, stream.OutputMax, stream.OutputLimit = 500, 1000, 1000
	sim.Generate(stream)
	const at = 12 * time.Second
	sim.At(at, func() { sim.WithdrawKey(fake.KeyOf("large-1")) })
	assert.NilError(t, sim.Run(30*time.Second))
	ended := 0
	for _, c := range sim.Calls() {
		last := c.Last.Sub(fake.Start)
		assert.Assert(t, last < at+bound, "request %s got tokens at %s", c.Request, last)
		if c.Code == core.CodeKeyWithdrawn {
			ended++
		}
	}
	assert.Assert(t, ended > 0)
}

// TestPassedKey guards against requests that are refused, or streams that are cut, because their
// key passes to another client account. The sum of both must stay within their rates.
func TestPassedKey(t *testing.T) {
	sim := newSimulation(t, 14)
	stream := steadyLoad("large-1", fake.RouteInteractive, 20)
	stream.OutputMin, stream.OutputMax, stream.OutputLimit = 500, 1000, 1000
	sim.Generate(stream)
	sim.At(12*time.Second, func() { sim.PassKey(fake.KeyOf("large-1"), "large-2") })
	assert.NilError(t, sim.Run(30*time.Second))
	for _, c := range sim.Calls() {
		assert.Assert(t, c.Code != core.CodeKeyWithdrawn && c.Code != core.CodeUnauthorized, "request %s", c.Request)
	}
	charged := make(map[id.Account]int)
	for _, c := range sim.Ledger() {
		charged[c.Account]++
	}
	assert.NilError(t, sim.CheckRates())
	assert.Assert(t, charged["large-1"] > 100 && charged["large-2"] > 100, "%v", charged)
}

// TestLeavingEndpoint guards against new work on a leaving endpoint later than 2 s after
// the table was committed, and against interruption of its running work.
func TestLeavingEndpoint(t *testing.T) {
	sim := newSimulation(t, 15)
	sim.Generate(steadyLoad("large-1", fake.RouteInteractive, 15))
	const at = 10 * time.Second
	leaving := []id.Endpoint{"tallinn-a-decode-1", "tallinn-b-prefill-2"}
	for _, ep := range leaving {
		sim.At(at, func() { sim.MarkLeaving(ep) })
	}
	assert.NilError(t, sim.Run(30*time.Second))
	for _, ep := range leaving {
		assert.Assert(t, sim.LastStart(ep) > 5*time.Second, "%s was never used", ep)
		assert.Assert(t, sim.LastStart(ep) < at+2*time.Second, "%s got work at %s", ep, sim.LastStart(ep))
	}
	refused := 0
	for _, c := range sim.Calls() {
		if c.Result == fake.ResultRefused {
			assert.Assert(t, c.NotRun, "%s: %s", c.Request, c.Code)
			refused++
			continue
		}
		assert.Equal(t, c.Result, fake.ResultComplete, "%s: %s", c.Request, c.Code)
	}
	assert.Assert(t, refused*100 <= len(sim.Calls()), "%d of %d refused", refused, len(sim.Calls()))
}

// TestGracefulShutdown guards against requests that a rolling restart interrupts. The
// simulation fails if a process stops with an open request.
func TestGracefulShutdown(t *testing.T) {
	sim := newSimulation(t, 16)
	sim.Generate(steadyLoad("large-1", fake.RouteInteractive, 20))
	sim.Generate(steadyLoad("large-2", fake.RouteDeferrable, 4))
	for i, h := range sim.Hosts() {
		at := 6*time.Second + time.Duration(i)*2*time.Second
		sim.At(at, func() { sim.Drain(h) })
		sim.At(at+8*time.Second, func() {
			assert.Assert(t, !sim.Alive(h), "%s has not stopped", h)
			sim.Restart(h)
		})
	}
	assert.NilError(t, sim.Run(60*time.Second))
	for _, c := range sim.Calls() {
		assert.Assert(t, c.Result != fake.ResultBroken, "%s on %s was interrupted: %s", c.Request, c.Host, c.Code)
		assert.Assert(t, c.Result != fake.ResultOpen, "%s on %s has no end", c.Request, c.Host)
	}
}

// TestConfigurationEverywhere checks that an accepted table is in force on every
// reachable host within 9 s, including hosts that cannot reach the platform and receive
// the table from their peers.
func TestConfigurationEverywhere(t *testing.T) {
	sim := newSimulation(t, 17)
	for i := range 5 {
		at := 10*time.Second + time.Duration(i)*10*time.Second
		sim.At(at, func() {
			sim.SetPlatformPartition(id.Zone("tallinn-b"), i%2 == 1)
			sim.WithdrawKey(fake.KeyOf(fake.Tallinn().Accounts[i].Name))
		})
		sim.At(at+9*time.Second, func() {
			for _, h := range sim.Hosts() {
				assert.Equal(t, sim.Version(h), uint64(i+2), "%s, %s after the start", h, sim.Elapsed())
			}
		})
	}
	assert.NilError(t, sim.Run(65*time.Second))
}

// TestStaleRestart guards against a restarted host that gets a stale read from the
// platform and serves an older table than before.
func TestStaleRestart(t *testing.T) {
	sim := newSimulation(t, 18)
	h := sim.Hosts()[0]
	sim.At(8*time.Second, func() { sim.WithdrawKey(fake.KeyOf("small-1")) })
	sim.At(12*time.Second, func() {
		sim.SetStaleReads(true)
		sim.Kill(h)
	})
	// Between two heartbeats of the peers, so that the platform replies first.
	sim.At(16237*time.Millisecond, func() { sim.Restart(h) })
	for at := 16237 * time.Millisecond; at < 20*time.Second; at += 10 * time.Millisecond {
		sim.At(at, func() {
			if sim.IsReady(h) {
				assert.Equal(t, sim.Version(h), uint64(2), "%s after the start", sim.Elapsed())
			}
		})
	}
	assert.NilError(t, sim.Run(20*time.Second))
	assert.Assert(t, sim.IsReady(h))
}

// TestStartInOutage guards against a host that cannot start during a platform outage
// although its peers have the table.
func TestStartInOutage(t *testing.T) {
	sim := newSimulation(t, 19)
	h := sim.Hosts()[0]
	sim.At(8*time.Second, func() { sim.SetPlatformOutage(true) })
	sim.At(9*time.Second, func() {
		sim.Kill(h)
		sim.Restart(h)
	})
	assert.NilError(t, sim.Run(15*time.Second))
	assert.Assert(t, sim.IsReady(h), "version %d", sim.Version(h))
}

// TestOutageServes checks service during a platform outage: model requests continue
// under the reserve lease, and non-idempotent calls are refused as not run.
func TestOutageServes(t *testing.T) {
	sim := newSimulation(t, 20)
	sim.At(8*time.Second, func() { sim.SetPlatformOutage(true) })
	var model, once []*fake.Call
	for i := range 20 {
		sim.At(11*time.Second+time.Duration(i)*100*time.Millisecond, func() {
			model = append(model, sim.Send(fake.Spec{
				Account: "large-1", KeyID: fake.KeyOf("large-1"), Route: fake.RouteInteractive,
				Prompt: 100, OutputLimit: 50, NaturalOutput: 20,
			}))
			once = append(once, sim.Send(fake.Spec{
				Account: "small-1", KeyID: fake.KeyOf("small-1"), Route: fake.RouteOnce,
				Prompt: 5, Key: fmt.Sprintf("outage-%d", i),
			}))
		})
	}
	assert.NilError(t, sim.Run(30*time.Second))
	for _, c := range model {
		assert.Equal(t, c.Result, fake.ResultComplete, "%s: %s", c.Request, c.Code)
	}
	for _, c := range once {
		assert.Equal(t, c.Code, core.CodeNoClaim)
		assert.Assert(t, c.NotRun)
		assert.Equal(t, sim.Executions(c), 0)
	}
}

// TestAtMostOnce guards against non-idempotent calls that run twice when hosts die,
// replies are lost and callers repeat the calls on other hosts.
func TestAtMostOnce(t *testing.T) {
	sim := newSimulation(t, 21)
	stream := steadyLoad("small-2", fake.RouteOnce, 30)
	stream.PromptMin, stream.PromptMax, stream.RepeatProbability = 5, 20, 0.7
	sim.Generate(stream)
	sim.SetLostServiceReplies(0.2)
	sim.SetLostWriteReplies(0.2)
	for i := range sim.Hosts() {
		at := 6*time.Second + time.Duration(i)*time.Second
		sim.Inject(fake.Fault{Kind: fake.FaultKillHost, Target: i, At: at, ActiveTime: 500 * time.Millisecond})
	}
	assert.NilError(t, sim.Run(40*time.Second))
	assert.Equal(t, len(sim.RepeatedExecutions()), 0, "%v", sim.RepeatedExecutions())
}

// TestKeyDecidesAccount guards against requests that are charged to another client
// account than that of their key, or that run without a key on a route that is not open.
func TestKeyDecidesAccount(t *testing.T) {
	tests := []struct {
		name   string
		spec   fake.Spec
		code   string
		ledger id.Account // charged account; empty when nothing may run
	}{
		{"key of another account", fake.Spec{Account: "small-1", KeyID: fake.KeyOf("large-1"), Route: fake.RouteStatus}, "", "large-1"},
		{"no key", fake.Spec{Account: "small-1", Route: fake.RouteStatus}, core.CodeUnauthorized, ""},
		{"unknown key", fake.Spec{Account: "small-1", KeyID: "key-9", Route: fake.RouteStatus}, core.CodeUnauthorized, ""},
		{"withdrawn key", fake.Spec{Account: "small-1", KeyID: fake.KeyOf("small-1"), Route: fake.RouteStatus}, core.CodeKeyWithdrawn, ""},
		{"open route", fake.Spec{Route: fake.RouteOpen}, "", "small-2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 22)
			var c *fake.Call
			tt.spec.Prompt = 5
			sim.At(warmUp, func() { sim.WithdrawKey(fake.KeyOf("small-1")) })
			sim.At(warmUp+5*time.Second, func() { c = sim.Send(tt.spec) })
			assert.NilError(t, sim.Run(12*time.Second))
			assert.Equal(t, c.Code, tt.code)
			if tt.ledger == "" {
				assert.Assert(t, c.NotRun)
				assert.Equal(t, sim.Executions(c), 0)
				assert.Equal(t, len(sim.Ledger()), 0)
				return
			}
			assert.Equal(t, sim.Executions(c), 1)
			assert.Equal(t, sim.Ledger()[0].Account, tt.ledger)
		})
	}
}

// TestUnreachableZoneMovesSlotRequests guards against requests that wait for a
// scheduler in a zone that has just become unreachable, until membership detects it
// seconds later.
func TestUnreachableZoneMovesSlotRequests(t *testing.T) {
	sim := newSimulation(t, 23)
	for _, ep := range []id.Endpoint{"tallinn-a-decode-1", "tallinn-a-decode-2"} {
		sim.At(warmUp, func() { sim.MarkLeaving(ep) })
	}
	const partitionAt = 10 * time.Second
	sim.At(partitionAt, func() { sim.SetZonePartition("tallinn-a", "tallinn-b", true) })
	var calls []*fake.Call
	for i := range 60 {
		sim.At(partitionAt+time.Duration(i)*25*time.Millisecond, func() {
			calls = append(calls, sendVia(sim, "tallinn-a-1"))
		})
	}
	assert.NilError(t, sim.Run(30*time.Second))
	late := 0
	for _, c := range calls {
		assert.Equal(t, c.Result, fake.ResultComplete, "%s: %s", c.Request, c.Code)
		if c.First.Sub(c.Sent) > 570*time.Millisecond {
			late++
		}
	}
	assert.Equal(t, late, 0, "of %d", len(calls))
}

func sendVia(sim *fake.Simulation, h id.Host) *fake.Call {
	return sim.Send(fake.Spec{
		Account: "large-1", KeyID: fake.KeyOf("large-1"), Route: fake.RouteInteractive,
		Prompt: 100, OutputLimit: 50, NaturalOutput: 20, Host: h,
	})
}

// TestDrainInOutage guards against a graceful shutdown that waits for the platform
// during an outage although no request is left.
func TestDrainInOutage(t *testing.T) {
	sim := newSimulation(t, 24)
	h := sim.Hosts()[0]
	sim.At(8*time.Second, func() { sim.SetPlatformOutage(true) })
	sim.At(9*time.Second, func() { sim.Drain(h) })
	assert.NilError(t, sim.Run(20*time.Second))
	assert.Assert(t, !sim.Alive(h))
}

// TestWatchersCutOff guards against a zone that refuses requests because of a stale
// table when its two watchers cannot reach the platform, but its other hosts can. The
// test disables the watchers.
func TestWatchersCutOff(t *testing.T) {
	cfg := fake.Tallinn().Config(25)
	cfg.Tune = func(c *core.Config) { c.Watchers = 0 }
	sim, err := fake.New(cfg)
	assert.NilError(t, err)
	assert.NilError(t, sim.Run(120*time.Second))
	for _, h := range sim.Hosts() {
		assert.Assert(t, sim.ConfirmedAge(h) < 60*time.Second, "%s: %s", h, sim.ConfirmedAge(h))
	}
}

// TestFrozenScheduler guards against a scheduler that cancels runs after a pause of its
// process. If the pause is too short for membership to detect, the scheduler drops its
// cells, but the entry hosts do not know that they must register their runs again.
func TestFrozenScheduler(t *testing.T) {
	const scheduler = "tallinn-a-3" // owner of the zone's cell by rendezvous hashing
	sim := newSimulation(t, 26)
	stream := steadyLoad("large-1", fake.RouteInteractive, 8)
	stream.PromptMax, stream.OutputMin, stream.OutputMax, stream.OutputLimit = 500, 800, 1000, 1000
	stream.To = 12 * time.Second
	sim.Generate(stream)
	sim.At(12*time.Second, func() { sim.Pause(scheduler, 1500*time.Millisecond) })
	assert.NilError(t, sim.Run(50*time.Second))
	ran := 0
	for _, c := range sim.Calls() {
		rec, ok := sim.Explain(c)
		if !ok || c.Host == scheduler || c.Result != fake.ResultComplete || c.Ended.Sub(fake.Start) < 14*time.Second {
			continue
		}
		ran++
		assert.Equal(t, rec.Attempt, id.Attempt(1), "%s: %v", c.Request, rec.Trace)
	}
	assert.Assert(t, ran > 20, "%d calls ran during the pause", ran)
}
