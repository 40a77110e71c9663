package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

// checkQuery checks that a cell asks only for attempts that it has not been told the end of,
// and asks their host.
func (w *simulation) checkQuery(s *cellModel, to id.Host, m message.SlotQuery) {
	k := attemptKey{m.Request, m.Attempt}
	host, requested := s.hosts[k]
	if s.closed[k] || requested && to != host {
		w.Fatalf("query %v to %s, closed %t, host %s", m, to, s.closed[k], host)
	}
}

func queries(acts []schedule.Action) []schedule.Send {
	var out []schedule.Send
	for _, a := range acts {
		if s, ok := a.(schedule.Send); ok {
			if _, ok := s.Message.(message.SlotQuery); ok {
				out = append(out, s)
			}
		}
	}
	return out
}

func queryOf(request string) []schedule.Send {
	return []schedule.Send{{To: "h", Message: message.SlotQuery{Request: id.Request(request), Attempt: 1}}}
}

// tickUntil ticks the cell each 20 ms and returns its actions.
func tickUntil(c *schedule.Cell, from, to time.Duration) []schedule.Action {
	var acts []schedule.Action
	for now := from; now <= to; now += 20 * ms {
		acts = append(acts, schedule.Tick(c, at(now))...)
	}
	return acts
}

// queryCell returns a cell whose runs may stay silent for as long as those of a host.
func queryCell(eps ...schedule.Endpoint) *schedule.Cell {
	return cell(func(cfg *schedule.Config) { cfg.RunTimeout = 45 * time.Second }, eps...)
}

// TestMissedEndOfPrefill guards against a prefill endpoint that gets no work until RunTimeout
// after the end of a prefill on it was lost.
func TestMissedEndOfPrefill(t *testing.T) {
	c := queryCell(prefill("p"), decode("d", 20, 100))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1"))
	schedule.HandleUpdate(c, t0, "h", update("r1", message.PhasePrefill, 0))
	assert.Equal(t, len(queries(tickUntil(c, 0, 1500*ms))), 0)
	assert.DeepEqual(t, queries(tickUntil(c, 1520*ms, 2*time.Second)), queryOf("r1"))
	assert.Equal(t, len(grants(schedule.HandleSlotRequest(c, at(2*time.Second), "h", slotRequest("r2", target(time.Minute))))), 0)
	held := message.SlotHold{Request: "r1", Attempt: 1, Phase: message.PhaseCancelled}
	acts := schedule.HandleHold(c, at(2*time.Second), "h", held)
	assert.DeepEqual(t, names(acts), []id.Request{"r2"})
	assert.Equal(t, len(cancels(acts)), 0)
	assert.Equal(t, len(schedule.HandleHold(c, at(2*time.Second), "h", held)), 0) // a duplicate
	assert.Equal(t, schedule.Load(c, at(2*time.Second)).FreeSlots, 19)
	mustCheck(t, c)
}

// TestMissedEndOfDecode guards against decode slots of engines without load reports that stay
// reserved until RunTimeout after the end of a run was lost.
func TestMissedEndOfDecode(t *testing.T) {
	for _, reports := range []bool{false, true} {
		c := queryCell(prefill("p"), decode("d", 20, 100))
		schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1"))
		start(c, t0, "r1")
		if reports {
			r := schedule.Report{Endpoint: "d", Running: 1, FreeBlocks: 99, Runs: []schedule.Run{{Request: "r1", Attempt: 1}}}
			schedule.HandleReport(c, t0, r)
		}
		// 100 output tokens take 4 s.
		assert.Equal(t, len(queries(tickUntil(c, 0, 5400*ms))), 0)
		got := queries(tickUntil(c, 5420*ms, 6*time.Second))
		if reports {
			assert.Equal(t, len(got), 0) // load reports show the end
			continue
		}
		assert.DeepEqual(t, got, queryOf("r1"))
		schedule.HandleHold(c, at(6*time.Second), "h", message.SlotHold{Request: "r1", Attempt: 1, Phase: message.PhaseCancelled})
		assert.Equal(t, schedule.Load(c, at(6*time.Second)).FreeSlots, 20)
		mustCheck(t, c)
	}
}

// TestSilentHostKeepsRuns guards against sound runs that are ended because a query or its answer
// was lost, or because their host is paused. Only RunTimeout ends them.
func TestSilentHostKeepsRuns(t *testing.T) {
	c := queryCell(prefill("p"), decode("d", 20, 100))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1"))
	start(c, t0, "r1")
	acts := tickUntil(c, 0, 44900*ms)
	assert.Equal(t, len(cancels(acts)), 0)
	assert.Equal(t, schedule.Load(c, at(44900*ms)).FreeSlots, 19)
	const interval, first = 1500, 5500 // milliseconds
	assert.Assert(t, len(queries(acts)) <= 1+(44900-first)/interval, "%d queries", len(queries(acts)))
	assert.Equal(t, len(cancels(tickUntil(c, 44920*ms, 45200*ms))), 1)
	mustCheck(t, c)
}

// TestConfirmedRunsAreAskedRarely guards against queries without bound about a run that takes
// much longer than expected.
func TestConfirmedRunsAreAskedRarely(t *testing.T) {
	c := queryCell(prefill("p"), decode("d", 20, 100))
	schedule.HandleSlotRequest(c, t0, "h", slotRequest("r1"))
	schedule.HandleUpdate(c, t0, "h", update("r1", message.PhasePrefill, 0))
	hold := message.SlotHold{Request: "r1", Attempt: 1, Prefill: "p", Decode: "d", Phase: message.PhasePrefill}
	asked := 0
	for now := time.Duration(0); now <= 30*time.Second; now += 20 * ms {
		acts := schedule.Tick(c, at(now))
		assert.Equal(t, len(cancels(acts)), 0, "%s", now)
		if len(queries(acts)) > 0 {
			asked++
			schedule.HandleHold(c, at(now), "h", hold)
		}
		if asked == 1 {
			hold.Phase = message.PhaseDecode
		}
	}
	assert.Assert(t, asked > 0 && asked <= 6, "asked %d times", asked)
	assert.Equal(t, schedule.Load(c, at(30*time.Second)).FreeSlots, 19)
	mustCheck(t, c)
}
