package table

import (
	"slices"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Levels holds the priority levels of the models of one snapshot. It is immutable.
//
// The level of a request is the rank of its pair (account priority, route priority) among
// all pairs of an account and a route of its model. A model whose pairs are all equal has
// no levels.
type Levels struct {
	accounts []int              // distinct priorities of accounts, ascending
	routes   map[id.Model][]int // distinct priorities of the routes of a model, ascending
}

// NewLevels returns the levels of the models of a snapshot.
func NewLevels(s *Snapshot) *Levels {
	l := &Levels{routes: make(map[id.Model][]int)}
	for _, a := range s.Accounts {
		l.accounts = insertPriority(l.accounts, a.Priority)
	}
	if len(l.accounts) == 0 {
		l.accounts = []int{0}
	}
	for _, r := range s.Routes {
		if r.Model != "" {
			l.routes[r.Model] = insertPriority(l.routes[r.Model], r.Priority)
		}
	}
	return l
}

// insertPriority inserts a priority into an ascending list, unless the list has it.
func insertPriority(list []int, priority int) []int {
	i, found := slices.BinarySearch(list, priority)
	if found {
		return list
	}
	return slices.Insert(list, i, priority)
}

// Count returns the number of levels of a model, or 0 if it has none.
func (l *Levels) Count(model id.Model) int {
	n := len(l.accounts) * len(l.routes[model])
	if n < 2 {
		return 0
	}
	return min(n, message.MaxLevels)
}

// Of returns the level of the requests of an account on a route. Requests without an
// account have the least urgent priority of all accounts.
func (l *Levels) Of(s *Snapshot, account id.Account, r Route) message.Level {
	if l.Count(r.Model) == 0 {
		return 0
	}
	first := len(l.accounts) - 1
	if a, ok := s.Accounts[account]; ok {
		first, _ = slices.BinarySearch(l.accounts, a.Priority)
	}
	routes := l.routes[r.Model]
	second, _ := slices.BinarySearch(routes, r.Priority)
	return message.LevelOf(first*len(routes) + second)
}
