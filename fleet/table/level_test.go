package table_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// TestLevels guards against levels that are not the ranks of the pairs of priorities,
// account first, and against levels of a model whose pairs are all equal.
func TestLevels(t *testing.T) {
	for _, tt := range []struct {
		name             string
		accounts, routes []int
		count            int
		unknown          message.Level // of a request without an account, on the first route
		want             [][]int       // rank by account and route, -1 for none
	}{
		{"equal", []int{3, 3}, []int{7, 7}, 0, 0, [][]int{{-1, -1}, {-1, -1}}},
		{"accounts", []int{9, 2, 9}, []int{5}, 2, message.LevelOf(1), [][]int{{1}, {0}, {1}}},
		{"routes", []int{1}, []int{4, -1}, 2, message.LevelOf(1), [][]int{{1, 0}}},
		{"account before route", []int{2, 1}, []int{1, 2}, 4, message.LevelOf(2), [][]int{{2, 3}, {0, 1}}},
		{"no account", nil, []int{1, 0}, 2, message.LevelOf(1), nil},
		{"shared last levels", []int{0, 1, 2}, []int{0, 1, 2, 3}, 10, message.LevelOf(8), [][]int{{0, 1, 2, 3}, {4, 5, 6, 7}, {8, 9, 9, 9}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &table.Snapshot{Accounts: make(map[id.Account]table.Account), Routes: make(map[id.Route]table.Route)}
			for i, p := range tt.accounts {
				s.Accounts[id.Account(fmt.Sprint(i))] = table.Account{Priority: p}
			}
			s.Routes["service"] = table.Route{Pool: "p", Priority: 100}
			s.Routes["other"] = table.Route{Model: "other", Priority: 100}
			for i, p := range tt.routes {
				s.Routes[id.Route(fmt.Sprint(i))] = table.Route{Model: "m", Priority: p}
			}
			l := table.NewLevels(s)
			assert.Equal(t, l.Count("m"), tt.count)
			assert.Equal(t, l.Of(s, "0", s.Routes["service"]), message.Level(0))
			for i, ranks := range tt.want {
				for j, want := range ranks {
					got := l.Of(s, id.Account(fmt.Sprint(i)), s.Routes[id.Route(fmt.Sprint(j))])
					assert.Equal(t, got, message.Level(want+1), "account %d, route %d", i, j)
				}
			}
			assert.Equal(t, l.Of(s, "unknown", s.Routes["0"]), tt.unknown)
		})
	}
}
