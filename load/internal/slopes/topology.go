package slopes

import (
	"fmt"
	"strings"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

func (topo topology) zoneNames() []id.Zone {
	out := make([]id.Zone, topo.zones)
	for i := range out {
		out[i] = id.Zone(fmt.Sprintf("zone-%d", i))
	}
	return out
}

func accountName(n int) id.Account { return id.Account(fmt.Sprintf("account-%05d", n)) }

func (topo topology) modelName(n int) id.Model {
	return id.Model(fmt.Sprintf("model-%02d", n%topo.models))
}

func (topo topology) route(n int) id.Route { return id.Route(topo.modelName(n)) }

// table returns a table in which each account has one key, and each model has a
// prefill pool and a decode pool with half of its endpoints each.
func (topo topology) table() *table.Snapshot {
	s := &table.Snapshot{
		Accounts:  make(map[id.Account]table.Account),
		Pools:     make(map[id.Pool]table.Pool),
		Endpoints: make(map[id.Endpoint]table.Endpoint),
		Routes:    make(map[id.Route]table.Route),
		Keys:      make(map[id.KeyID]table.Key),
	}
	for n := range topo.accounts {
		topo.addAccount(s, n)
	}
	for n := range topo.models {
		topo.addModel(s, n)
	}
	for n := range topo.endpoints {
		topo.addEndpoint(s, n)
	}
	return s
}

func (topo topology) addAccount(s *table.Snapshot, n int) {
	name := accountName(n)
	s.Accounts[name] = table.Account{Name: name, Weight: 1, Rate: 2000, Burst: 40_000}
	s.Keys[id.KeyID(name)] = table.Key{
		ID: id.KeyID(name), Account: name, State: table.StateActive,
		Salt: fmt.Sprintf("%032x", n), Hash: strings.Repeat("5e", 32),
	}
}

func (topo topology) addModel(s *table.Snapshot, n int) {
	model := topo.modelName(n)
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
	route := topo.route(n)
	s.Routes[route] = table.Route{
		Name: route, Model: model, Class: message.ClassInteractive, FirstToken: 570 * time.Millisecond,
		BetweenTokens: 51 * time.Millisecond, Idempotent: true, MaxStaleness: 900 * time.Second, MaxTokens: 2000,
	}
}

func poolName(m id.Model, role table.Role) id.Pool { return id.Pool(string(m) + "-" + string(role)) }

func (topo topology) addEndpoint(s *table.Snapshot, n int) {
	zone := topo.zoneNames()[n%topo.zones]
	rest := n / topo.zones
	role := table.RolePrefill
	if rest/topo.models%2 == 1 {
		role = table.RoleDecode
	}
	name := id.Endpoint(fmt.Sprintf("%s-runner-%05d", zone, n))
	s.Endpoints[name] = table.Endpoint{
		Name: name, Pool: poolName(topo.modelName(rest), role), Zone: zone,
		Address: fmt.Sprintf("10.%d.%d.%d:8000", 100+n/62_500, n/250%250, n%250+1),
		Fencing: table.FencingChecked, State: table.StateActive,
	}
}
