package fake

import (
	"fmt"
	"strings"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// Names of the routes that the table of a Deployment contains.
const (
	RouteInteractive id.Route = "interactive"
	RouteDeferrable  id.Route = "deferrable"
	RouteOnce        id.Route = "once"   // non-idempotent service, served at most once per idempotency key
	RouteStatus      id.Route = "status" // idempotent service
	RouteOpen        id.Route = "open"   // idempotent service that needs no API key
)

// DeploymentModel is the only model of a deployment.
const DeploymentModel id.Model = "model"

// Deployment describes the size of a deployment.
type Deployment struct {
	Name           string
	Zones          int
	Hosts          int           // per zone
	PrefillEngines int           // prefill engines per zone
	DecodeEngines  int           // decode engines per zone
	Services       int           // service endpoints per zone
	ZoneDelay      time.Duration // one-way delay between two zones
	Accounts       []table.Account
}

// Tallinn returns the size of the Tallinn deployment.
func Tallinn() Deployment {
	return Deployment{
		Name: "tallinn", Zones: 3, Hosts: 3, PrefillEngines: 2, DecodeEngines: 2, Services: 1,
		ZoneDelay: 1500 * time.Microsecond, Accounts: fiveAccounts(),
	}
}

// Wales returns the size of the West Wales deployment.
func Wales() Deployment {
	d := Tallinn()
	d.Name = "wales"
	d.ZoneDelay = time.Millisecond
	return d
}

func fiveAccounts() []table.Account {
	return []table.Account{
		{Name: "large-1", Weight: 3, Rate: 40000, Burst: 400000},
		{Name: "large-2", Weight: 3, Rate: 40000, Burst: 400000},
		{Name: "large-3", Weight: 3, Rate: 30000, Burst: 300000},
		{Name: "small-1", Weight: 1, Rate: 6000, Burst: 60000},
		{Name: "small-2", Weight: 1, Rate: 6000, Burst: 60000},
	}
}

// KeyOf returns the ID of the only key of an account.
func KeyOf(a id.Account) id.KeyID { return id.KeyID("key-" + string(a)) }

// ZoneNames returns the names of the zones of a deployment.
func (d Deployment) ZoneNames() []id.Zone {
	out := make([]id.Zone, d.Zones)
	for i := range out {
		out[i] = id.Zone(fmt.Sprintf("%s-%c", d.Name, 'a'+i))
	}
	return out
}

// Config returns the configuration of a run with the given seed. It checks the
// invariants of a host after every event.
func (d Deployment) Config(seed uint64) Config {
	return Config{
		Zones: d.ZoneNames(), HostsPerZone: d.Hosts, Table: d.Table(),
		ZoneDelay: d.ZoneDelay, LocalDelay: time.Millisecond, StoreDelay: 2 * time.Millisecond,
		TokenTime: 20 * time.Millisecond, KVSurvival: 900 * time.Millisecond, ReportLag: 300 * time.Millisecond,
		Seed: seed, CheckEvery: 1,
	}
}

// Table returns the table of a deployment: its accounts with one key each, its
// endpoints, pools and routes.
func (d Deployment) Table() *table.Snapshot {
	s := &table.Snapshot{
		Accounts:  make(map[id.Account]table.Account),
		Pools:     pools(),
		Endpoints: make(map[id.Endpoint]table.Endpoint),
		Routes:    routes(),
		Keys:      make(map[id.KeyID]table.Key),
	}
	for _, a := range d.Accounts {
		s.Accounts[a.Name] = a
		s.Keys[KeyOf(a.Name)] = table.Key{
			ID: KeyOf(a.Name), Account: a.Name, State: table.StateActive,
			Salt: strings.Repeat("0", 32), Hash: strings.Repeat("0", 64),
		}
	}
	port := 20000
	for _, z := range d.ZoneNames() {
		port = addEndpoints(s, z, "prefill", d.PrefillEngines, port)
		port = addEndpoints(s, z, "decode", d.DecodeEngines, port)
		port = addEndpoints(s, z, "service", d.Services, port)
	}
	return s
}

func addEndpoints(s *table.Snapshot, z id.Zone, pool id.Pool, n, port int) int {
	for i := range n {
		name := id.Endpoint(fmt.Sprintf("%s-%s-%d", z, pool, i+1))
		s.Endpoints[name] = table.Endpoint{
			Name: name, Pool: pool, Zone: z, Address: fmt.Sprintf("127.0.0.1:%d", port),
			Fencing: table.FencingChecked, State: table.StateActive,
		}
		port++
	}
	return port
}

func pools() map[id.Pool]table.Pool {
	return map[id.Pool]table.Pool{
		"prefill": {
			Name: "prefill", Role: table.RolePrefill, Model: DeploymentModel, Slots: 8, Blocks: 60,
			BlockTokens: 4000, PrefillRate: 20000, LinkRate: 400000, MaxQueue: 400,
		},
		"decode": {
			Name: "decode", Role: table.RoleDecode, Model: DeploymentModel, Slots: 20, Blocks: 60,
			BlockTokens: 4000, LinkRate: 400000, MaxQueue: 400,
		},
		"service": {Name: "service", Role: table.RoleService, Slots: 50, MaxQueue: 100},
	}
}

func routes() map[id.Route]table.Route {
	return map[id.Route]table.Route{
		RouteInteractive: {
			Name: RouteInteractive, Model: DeploymentModel, Class: message.ClassInteractive,
			FirstToken: 570 * time.Millisecond, BetweenTokens: 51 * time.Millisecond, Idempotent: true,
			MaxStaleness: 900 * time.Second, MaxTokens: 2000,
		},
		RouteDeferrable: {
			Name: RouteDeferrable, Model: DeploymentModel, Class: message.ClassDeferrable,
			FirstToken: 5 * time.Second, BetweenTokens: 100 * time.Millisecond, Idempotent: true,
			CanWait: true, MaxStaleness: 900 * time.Second, MaxTokens: 2000,
		},
		RouteOnce: {
			Name: RouteOnce, Pool: "service", Class: message.ClassInteractive, MaxStaleness: 120 * time.Second,
		},
		RouteStatus: {
			Name: RouteStatus, Pool: "service", Class: message.ClassInteractive, Idempotent: true,
		},
		RouteOpen: {
			Name: RouteOpen, Pool: "service", Class: message.ClassInteractive, Idempotent: true,
			Open: true, Account: "small-2",
		},
	}
}
