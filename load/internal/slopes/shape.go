package slopes

import (
	"fmt"
	"strings"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

func (sh shape) zoneNames() []id.Zone {
	out := make([]id.Zone, sh.zones)
	for i := range out {
		out[i] = id.Zone(fmt.Sprintf("zone-%d", i))
	}
	return out
}

func accountName(n int) id.Account { return id.Account(fmt.Sprintf("account-%05d", n)) }

func (sh shape) modelName(n int) id.Model { return id.Model(fmt.Sprintf("model-%02d", n%sh.models)) }

func (sh shape) route(n int) id.Route { return id.Route(sh.modelName(n)) }

// table returns a table in which each account has one key, and each model has
// a prefill and a decode pool with half of its endpoints each.
func (sh shape) table() *table.Snapshot {
	s := &table.Snapshot{
		Accounts:  make(map[id.Account]table.Account),
		Pools:     make(map[id.Pool]table.Pool),
		Endpoints: make(map[id.Endpoint]table.Endpoint),
		Routes:    make(map[id.Route]table.Route),
		Keys:      make(map[id.KeyID]table.Key),
	}
	for n := range sh.accounts {
		sh.addAccount(s, n)
	}
	for n := range sh.models {
		sh.addModel(s, n)
	}
	for n := range sh.endpoints {
		sh.addEndpoint(s, n)
	}
	return s
}

func (sh shape) addAccount(s *table.Snapshot, n int) {
	name := accountName(n)
	s.Accounts[name] = table.Account{Name: name, Weight: 1, Rate: 2000, Burst: 40_000}
	s.Keys[id.KeyID(name)] = table.Key{
		ID: id.KeyID(name), Account: name, State: table.StateActive,
		Salt: fmt.Sprintf("%032x", n), Hash: strings.Repeat("5e", 32),
	}
}

func (sh shape) addModel(s *table.Snapshot, n int) {
	model := sh.modelName(n)
	for _, role := range []table.Role{table.RolePrefill, table.RoleDecode} {
		p := table.Pool{
			Name: poolName(model, role), Role: role, Model: model, Slots: 20, Blocks: 60,
			BlockTokens: 4000, LinkRate: 400_000, MaxQueue: 400,
		}
		if role == table.RolePrefill {
			p.PrefillRate = 20_000
		}
		s.Pools[p.Name] = p
	}
	route := sh.route(n)
	s.Routes[route] = table.Route{
		Name: route, Model: model, Class: message.ClassInteractive, FirstToken: 570 * time.Millisecond,
		BetweenTokens: 51 * time.Millisecond, Idempotent: true, MaxStaleness: 900 * time.Second, MaxTokens: 2000,
	}
}

func poolName(m id.Model, role table.Role) id.Pool { return id.Pool(string(m) + "-" + string(role)) }

func (sh shape) addEndpoint(s *table.Snapshot, n int) {
	zone := sh.zoneNames()[n%sh.zones]
	rest := n / sh.zones
	role := table.RolePrefill
	if rest/sh.models%2 == 1 {
		role = table.RoleDecode
	}
	name := id.Endpoint(fmt.Sprintf("%s-runner-%05d", zone, n))
	s.Endpoints[name] = table.Endpoint{
		Name: name, Pool: poolName(sh.modelName(rest), role), Zone: zone,
		Address: fmt.Sprintf("10.%d.%d.%d:8000", 100+n/62_500, n/250%250, n%250+1),
		Fencing: table.FencingChecked, State: table.StateActive,
	}
}
