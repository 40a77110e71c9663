package core

import (
	"fmt"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// levels returns the priority levels of the table in force, which must exist.
func (s *step) levels() *table.Levels {
	v := s.hostViews()
	if v.levels == nil {
		v.levels = table.NewLevels(s.snapshot())
	}
	return v.levels
}

// configureLevels applies the number of priority levels of a model to a cell.
func (s *step) configureLevels(k cellKey, c *scheduledCell) {
	before := schedule.LevelCount(c.cell)
	schedule.SetLevels(c.cell, s.now, s.levels().Count(k.Model))
	after := schedule.LevelCount(c.cell)
	if after == before {
		return
	}
	s.emit(Log{
		Level: LogInfo, Component: partTable, Text: "Number of priority levels has changed.",
		Trace: fmt.Sprintf("cell %s: %d to %d", k, before, after),
	})
}

// levelSuffix names the level of a request in its trace. It is empty for a request
// without a level.
func (r *request) levelSuffix() string {
	rank, ok := r.level.Rank()
	if !ok {
		return ""
	}
	return fmt.Sprintf(" at level %d", rank)
}

// countRefusedLevel counts a refused request of a model with levels.
func (s *step) countRefusedLevel(r *request, code string) {
	if r.level != 0 {
		s.emit(Count{Name: MetricRefusedLevel, Account: r.account, Code: code, Level: r.level, N: 1})
	}
}

// LevelQueue identifies the queue of a model at one priority level.
type LevelQueue struct {
	Model id.Model
	Level message.Level
}

// QueuedByLevel returns the number of requests that are queued in the cells which this
// host schedules, by model and level. Models without levels are left out.
func QueuedByLevel(st *State) map[LevelQueue]int {
	out := make(map[LevelQueue]int)
	for k, c := range st.scheduler.cells {
		for rank := range schedule.LevelCount(c.cell) {
			level := message.LevelOf(rank)
			out[LevelQueue{k.Model, level}] += schedule.QueuedAt(c.cell, level)
		}
	}
	return out
}
