package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

func level(rank int) func(*message.SlotRequest) {
	return func(m *message.SlotRequest) { m.Level = message.LevelOf(rank) }
}

func noLevel(m *message.SlotRequest) { m.Level = 0 }

// levelCell returns a cell that serves one request at a time and runs the request busy.
func levelCell(levels int, change func(*schedule.Config)) *schedule.Cell {
	c := cell(change, prefill("p"), decode("d", 1, 100))
	schedule.SetLevels(c, t0, levels)
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("busy", level(0)))
	start(c, t0, "busy")
	return c
}

// serveAll finishes busy and then each granted request, and returns the order of grants.
func serveAll(c *schedule.Cell, now time.Duration) []id.Request {
	var order []id.Request
	next := []id.Request{"busy"}
	for len(next) > 0 {
		now += ms
		next = names(finish(c, at(now), string(next[0]), 100))
		order = append(order, next...)
	}
	return order
}

// TestLevelOrder guards against a queue that is not ordered by level, then by lateness,
// then as before, and against levels that take effect in a cell that has none.
func TestLevelOrder(t *testing.T) {
	long := target(time.Minute)
	late := []func(*message.SlotRequest){target(time.Second), canWait}
	request := func(name string, change ...func(*message.SlotRequest)) message.SlotRequest {
		return slotRequest(name, append([]func(*message.SlotRequest){long}, change...)...)
	}
	for _, tt := range []struct {
		name     string
		levels   int
		requests []message.SlotRequest
		want     []id.Request
	}{
		{"by level", 3, []message.SlotRequest{request("c", level(2)), request("b", level(1)), request("a", level(0))}, []id.Request{"a", "b", "c"}},
		{"latest start within a level", 2, []message.SlotRequest{request("b", level(1)), request("a", level(1), target(30*time.Second))}, []id.Request{"a", "b"}},
		{"level before class", 2, []message.SlotRequest{request("b", level(1)), request("a", level(0), deferred)}, []id.Request{"a", "b"}},
		{"late ones last in their level", 2, []message.SlotRequest{
			slotRequest("d", append(late, level(1))...), slotRequest("c", append(late, level(0))...), request("b", level(1)), request("a", level(0)),
		}, []id.Request{"a", "c", "b", "d"}},
		{"none is the middle", 3, []message.SlotRequest{request("c", level(2)), request("b", noLevel), request("a", level(0))}, []id.Request{"a", "b", "c"}},
		{"beyond the last", 2, []message.SlotRequest{request("b", level(9), target(2*time.Minute)), request("a", level(1))}, []id.Request{"a", "b"}},
		{"no levels", 0, []message.SlotRequest{request("a", level(5)), request("b", level(0))}, []id.Request{"a", "b"}},
		{"one level", 1, []message.SlotRequest{request("a", level(5)), request("b", level(0))}, []id.Request{"a", "b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := levelCell(tt.levels, func(cfg *schedule.Config) { cfg.LowerLevelShare, cfg.DeferrableShare = 0, 0 })
			for _, m := range tt.requests {
				schedule.HandleSlotRequest(c, t0, "h", m)
			}
			schedule.Tick(c, at(1500*ms)) // demotes the late ones
			mustCheck(t, c)
			assert.DeepEqual(t, serveAll(c, 1500*ms), tt.want)
		})
	}
}

// TestSetLevels guards against queued requests that keep the order of an earlier
// configuration.
func TestSetLevels(t *testing.T) {
	c := levelCell(0, nil)
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("b", level(1), target(time.Minute)))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("a", level(0), target(2*time.Minute)))
	schedule.SetLevels(c, t0, 2)
	assert.Equal(t, schedule.QueuedAt(c, message.LevelOf(0)), 1)
	mustCheck(t, c)
	assert.DeepEqual(t, serveAll(c, 0), []id.Request{"a", "b"})
}

// TestLevelTurns guards against lower levels of which only the first or the last one
// benefits from their minimum share.
func TestLevelTurns(t *testing.T) {
	c := levelCell(3, nil)
	for i := range 60 {
		schedule.HandleSlotRequest(c, t0, "h", slotRequest(fmt.Sprintf("%02d", i), level(0), target(time.Hour)))
	}
	for i := range 6 {
		schedule.HandleSlotRequest(c, t0, "h", slotRequest(fmt.Sprintf("m%d", i), level(1), target(time.Hour)))
		schedule.HandleSlotRequest(c, t0, "h", slotRequest(fmt.Sprintf("n%d", i), level(2), target(time.Hour)))
	}
	count := make(map[byte]int)
	for _, name := range serveAll(c, 0)[:60] {
		count[name[0]]++
	}
	assert.Equal(t, count['m'], 3)
	assert.Equal(t, count['n'], 3)
}

// TestLevelMemory guards against an urgent request that waits because smaller requests of
// a lower level take each part of the memory that becomes free.
func TestLevelMemory(t *testing.T) {
	c := cell(func(cfg *schedule.Config) { cfg.LowerLevelShare = 0 }, prefill("p"), decode("d", 20, 4))
	schedule.SetLevels(c, t0, 2)
	for _, name := range []string{"r1", "r2", "r3"} {
		schedule.HandleSlotRequest(c, t0, "h", slotRequest(name, level(1)))
		start(c, t0, name)
	}
	long := target(time.Minute)
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("large", level(0), long, output(1500)))
	acts := schedule.HandleSlotRequest(c, t0, "h", slotRequest("small", level(1), long))
	assert.Equal(t, len(grants(acts)), 0)
	assert.DeepEqual(t, names(finish(c, at(10*ms), "r1", 100)), []id.Request{"large"})
	schedule.HandleSlotRequest(c, at(20*ms), "h", slotRequest("huge", level(0), long, output(3000)))
	acts = finish(c, at(30*ms), "r2", 100)
	assert.Equal(t, len(grants(acts)), 0)
	acts = schedule.Tick(c, at(600*ms)) // the hold is bounded
	assert.DeepEqual(t, names(acts), []id.Request{"small"})
}

// TestShedPushedBack guards against requests that more urgent ones have pushed back and
// that are refused only at the end of their queueing time, against refusals in a cell
// without levels, and against refusals of more requests than necessary.
func TestShedPushedBack(t *testing.T) {
	for _, tt := range []struct{ levels, onArrival, pushedBack int }{{0, 2, 0}, {2, 0, 3}} {
		c := levelCell(tt.levels, func(cfg *schedule.Config) { cfg.LowerLevelShare = 0 })
		var onArrival []schedule.Action
		for i := range 13 { // no run ends, so that estimates use the lowest rate, one per second: ten of 13 can start within 10 s
			m := slotRequest(fmt.Sprintf("b%d", i), level(1), canWait, target(time.Second))
			m.MaxWait = 10 * time.Second
			if i >= 6 {
				m.Request, m.Level, m.FirstToken = id.Request(fmt.Sprintf("a%d", i)), message.LevelOf(0), 9*time.Second
			}
			onArrival = append(onArrival, schedule.HandleSlotRequest(c, t0, "h", m)...)
		}
		assert.Equal(t, len(refusals(onArrival)), tt.onArrival)
		acts := schedule.Tick(c, at(100*ms))
		assert.Equal(t, len(refusals(acts)), tt.pushedBack)
		for _, r := range refusals(acts) {
			assert.Equal(t, r.Reason, schedule.ReasonTooLate)
			assert.Equal(t, r.Request[0], byte('b'))
		}
		mustCheck(t, c)
	}
}

// TestFullQueueByLevel guards against a full queue that drops more urgent requests, or
// those of an account with few requests.
func TestFullQueueByLevel(t *testing.T) {
	for _, tt := range []struct {
		name string
		next message.SlotRequest
		want id.Request
	}{
		{"urgent", slotRequest("x", level(0)), "b2"},
		{"of the account with the longest queue", slotRequest("x", level(2), account("b")), "x"},
		{"of an account with a short queue", slotRequest("x", level(2), account("c")), "b2"},
		{"least urgent", slotRequest("x", level(3)), "x"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := levelCell(4, func(cfg *schedule.Config) { cfg.MaxQueue = 6 })
			for _, m := range []message.SlotRequest{
				slotRequest("u0", level(0), account("b")), slotRequest("u1", level(0), account("b")), slotRequest("u2", level(1), account("b")),
				slotRequest("a1", level(2)), slotRequest("b1", level(2), account("b")), slotRequest("b2", level(2), account("b")),
			} {
				schedule.HandleSlotRequest(c, t0, "h", m)
			}
			got := refusals(schedule.HandleSlotRequest(c, t0, "h", tt.next))
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Request, tt.want)
			assert.Equal(t, got[0].Reason, schedule.ReasonQueueFull)
			mustCheck(t, c)
		})
	}
}

// TestRetryByLevel guards against refused requests that are told the same time, against
// urgent ones that return after others which were refused before them, and against times
// beyond the limits.
func TestRetryByLevel(t *testing.T) {
	const refused = 40
	c := levelCell(2, func(cfg *schedule.Config) { cfg.MinRetry, cfg.MaxRetry, cfg.MaxQueue = time.Second, 60*time.Second, 0 })
	seen := make(map[time.Duration]bool)
	var second time.Duration
	for i := range refused {
		retry := refusals(schedule.HandleSlotRequest(c, t0, "h", slotRequest(fmt.Sprintf("r%02d", i), level(1))))[0].Retry
		assert.Assert(t, !seen[retry] && retry >= time.Second && retry <= 60*time.Second, "%v", retry)
		seen[retry] = true
		if i == 1 {
			second = retry
		}
	}
	urgent := refusals(schedule.HandleSlotRequest(c, t0, "h", slotRequest("u", level(0))))[0].Retry
	assert.Assert(t, urgent < second, "%v, and %v for an earlier request of a lower level", urgent, second)
	again := refusals(schedule.HandleSlotRequest(c, at(ms), "h", slotRequest("u", level(0))))[0].Retry
	assert.Equal(t, again, urgent)
}

// TestLevelTakeover guards against a scheduler that takes over and forgets the level of a
// request that its host repeats, and against the same request counting twice.
func TestLevelTakeover(t *testing.T) {
	cfg := schedule.DefaultConfig()
	cfg.LowerLevelShare = 0
	c := schedule.New(cfg, "m", t0, true)
	schedule.SetLevels(c, t0, 3)
	schedule.SetEndpoints(c, t0, []schedule.Endpoint{prefill("p"), decode("d", 1, 100)})
	hold := message.SlotHold{Request: "busy", Attempt: 1, Phase: message.PhaseDecode, Decode: "d", PromptTokens: 100, OutputTokens: 100}
	schedule.HandleHold(c, t0, "h", hold)
	for range 2 {
		schedule.HandleSlotRequest(c, t0, "h", slotRequest("c", level(2), target(time.Minute)))
		schedule.HandleSlotRequest(c, t0, "old", slotRequest("b", noLevel, target(time.Minute)))
		schedule.HandleSlotRequest(c, t0, "h", slotRequest("a", level(0), target(time.Minute)))
	}
	for rank := range 3 {
		assert.Equal(t, schedule.QueuedAt(c, message.LevelOf(rank)), 1)
	}
	assert.DeepEqual(t, serveAll(c, 2*time.Second), []id.Request{"a", "b", "c"})
}

// TestHoldIsBounded guards against a series of urgent requests that never find memory and
// that, one after the other, keep smaller requests of a lower level from the memory that
// is free.
func TestHoldIsBounded(t *testing.T) {
	c := cell(func(cfg *schedule.Config) { cfg.ShedInterval = time.Hour }, prefill("p"), decode("d", 20, 4))
	schedule.SetLevels(c, t0, 2)
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("long", output(2900)))
	start(c, t0, "long")
	var granted []id.Request
	for now := ms; now < 2*time.Second; now += 100 * ms {
		if now%(300*ms) == ms { // each is refused before its hold ends
			schedule.HandleSlotRequest(c, at(now), "h", slotRequest(fmt.Sprintf("u%v", now), level(0), output(2000), target(460*ms)))
		}
		schedule.HandleSlotRequest(c, at(now), "h", slotRequest("small", level(1), target(time.Minute)))
		granted = append(granted, names(schedule.Tick(c, at(now)))...)
	}
	assert.DeepEqual(t, granted, []id.Request{"small"})
}

// TestLoadOfLeastUrgent guards against a load summary that names the wait of a level which
// the model does not have.
func TestLoadOfLeastUrgent(t *testing.T) {
	c := levelCell(2, nil)
	for i := range 40 {
		schedule.HandleSlotRequest(c, t0, "h", slotRequest(fmt.Sprintf("%02d", i), level(1), target(time.Hour)))
	}
	want := schedule.ExpectedWait(c, t0, message.LevelOf(1))
	assert.Assert(t, want >= 30*time.Second, "%v", want)
	assert.Equal(t, schedule.Load(c, t0).Wait, want)
}

// TestTurnPassesBlocked guards against a lower level that gets nothing because the first of
// its requests is a large prompt, which has to leave a prefill endpoint to small ones.
func TestTurnPassesBlocked(t *testing.T) {
	for _, large := range []int{1, 2} {
		t.Run(fmt.Sprintf("large at level %d", large), func(t *testing.T) { checkTurns(t, large) })
	}
}

// checkTurns has a large prompt wait at a level, and small ones at levels 0 and 1.
func checkTurns(t *testing.T, large int) {
	t.Helper()
	c := cell(nil, prefill("p1"), prefill("p2"), decode("d", 50, 1000))
	schedule.SetLevels(c, t0, 3)
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("busy", prompt(99_000), target(time.Hour))) // 10 s on one prefill endpoint
	for i := range 200 {
		schedule.HandleSlotRequest(c, t0, "h", slotRequest(fmt.Sprintf("u%03d", i), level(0), target(time.Hour)))
	}
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("large", level(large), prompt(3000), target(30*time.Minute)))
	var running []id.Request
	for i := range 50 {
		acts := schedule.HandleSlotRequest(c, t0, "h", slotRequest(fmt.Sprintf("b%02d", i), level(1), target(time.Hour)))
		running = append(running, names(acts)...)
	}
	count := make(map[byte]int)
	for now := 10 * ms; now < time.Second; now += 10 * ms {
		acts := schedule.Tick(c, at(now))
		for _, name := range running {
			acts = append(acts, finish(c, at(now), string(name), 100)...)
		}
		running = names(acts)
		for _, name := range running {
			count[name[0]]++
		}
	}
	mustCheck(t, c)
	granted := count['u'] + count['b']
	assert.Assert(t, granted >= 50 && count['b']*10 >= granted-10, "%d of %d grants", count['b'], granted)
}

// TestHoldKeepsOwnLevel guards against a hold that also stops the smaller interactive
// requests of its own level while endpoint time is owed to deferrable ones.
func TestHoldKeepsOwnLevel(t *testing.T) {
	c := cell(func(cfg *schedule.Config) { cfg.DeferrableShare = 90 }, prefill("p"), decode("d", 20, 6))
	schedule.SetLevels(c, t0, 2)
	long := target(time.Minute)
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1", level(0), long, output(2900)))
	start(c, t0, "r1")
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("d", level(0), deferred, output(3500)))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r2", level(0), long)) // its time is owed to d
	start(c, t0, "r2")
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("u", level(0), long, output(2900), account("b")))
	acts := schedule.HandleSlotRequest(c, t0, "h", slotRequest("small", level(0), target(2*time.Minute), account("c")))
	assert.DeepEqual(t, names(acts), []id.Request{"small"})
}
