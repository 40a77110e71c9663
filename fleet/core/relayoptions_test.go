package core_test

import (
	"fmt"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// options change a relayFleet before its start. A nil function changes nothing.
type options struct {
	configure func(host id.Host, cfg *core.Config)
	edit      func(snap *table.Snapshot)
	serve     func(host id.Host, e core.CallService) // takes the place of the sound service endpoints
	observe   func(host id.Host, e core.Effect)
	separated func(a, b id.Host) bool // two hosts exchange no messages
}

func (f *relayFleet) table() *table.Snapshot {
	s := relayTable(f.version)
	delete(s.Endpoints, "d1")
	delete(s.Endpoints, "d2")
	for name, address := range f.engines {
		s.Endpoints[name] = table.Endpoint{
			Name: name, Pool: "m/decode", Zone: relayDomain, Address: address, State: table.StateActive, AZ: f.azs[address],
		}
	}
	for i := range f.prefills {
		ep := s.Endpoints["p1"]
		ep.Name, ep.Address = id.Endpoint(fmt.Sprintf("p%d", i+1)), fmt.Sprintf("10.0.0.%d:1", 100+i)
		s.Endpoints[ep.Name] = ep
	}
	if f.edit != nil {
		f.edit(s)
	}
	f.editTable(s)
	return s
}

func (f *relayFleet) publishTable() {
	f.version++
	for _, name := range f.names {
		f.reduce(name, core.TableOpened{Snapshot: f.table()})
	}
}
