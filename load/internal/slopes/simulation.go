package slopes

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

const (
	simulationWarmUp = 20 * time.Second
	simulationTime   = 20 * time.Second
	requestInterval  = 500 * time.Millisecond // between two requests to one host
	fanOutWarmUp     = 6 * time.Second
	fanOutInterval   = 5 * time.Second // between two changes; a fan-out that takes longer is an error
	fanOutChanges    = 3
	fanOutStep       = 20 * time.Millisecond
)

func newSimulation(zones, hosts int) (*fake.Simulation, fake.Deployment, error) {
	d := fake.Deployment{
		Name: "size", Zones: zones, Hosts: hosts, PrefillEngines: 2, DecodeEngines: 4, Services: 1, ZoneDelay: 1500 * time.Microsecond,
	}
	for i := range 50 {
		d.Accounts = append(d.Accounts, table.Account{Name: accountName(i), Weight: 1, Rate: 4000, Burst: 40_000})
	}
	cfg := d.Config(1)
	cfg.CheckEvery = 0
	sim, err := fake.New(cfg)
	return sim, d, err
}

// platformSeries measures the rates of object reads and writes at the platform by
// the number of hosts. Reads of the host list are not counted.
func platformSeries() ([]series, error) {
	names := []string{"idle", "2 requests/s per host"}
	var out []series
	for _, load := range []bool{false, true} {
		name := names[0]
		if load {
			name = names[1]
		}
		reads := series{name: "object reads, " + name, mechanism: "manifest watches, limit, order", x: "hosts (3 zones)", y: "1/s"}
		writes := series{name: "object writes, " + name, mechanism: "limit leases, order leases", x: "hosts (3 zones)", y: "1/s"}
		for _, perZone := range []int{3, 6, 12, 24} {
			r, w, err := storeRates(perZone, load)
			if err != nil {
				return nil, err
			}
			reads.points = append(reads.points, point{float64(3 * perZone), r})
			writes.points = append(writes.points, point{float64(3 * perZone), w})
		}
		out = append(out, reads, writes)
	}
	return out, nil
}

// storeRates returns the object reads and writes per second of virtual time, after
// a warm-up.
func storeRates(perZone int, load bool) (reads, writes float64, err error) {
	sim, d, err := newSimulation(3, perZone)
	if err != nil {
		return 0, 0, err
	}
	if load {
		n := int((simulationWarmUp + simulationTime) / requestInterval)
		for i, h := range sim.Hosts() {
			for k := range n {
				at := time.Duration(k)*requestInterval + time.Duration(i)*requestInterval/time.Duration(len(sim.Hosts()))
				sim.At(at, func() { sim.Send(requestSpec(d.Accounts[(i+k)%len(d.Accounts)].Name, h)) })
			}
		}
	}
	if err := sim.Run(simulationWarmUp); err != nil {
		return 0, 0, err
	}
	r0, w0 := sim.StoreCalls()
	if err := sim.Run(simulationWarmUp + simulationTime); err != nil {
		return 0, 0, err
	}
	r1, w1 := sim.StoreCalls()
	return float64(r1-r0) / simulationTime.Seconds(), float64(w1-w0) / simulationTime.Seconds(), nil
}

func requestSpec(a id.Account, h id.Host) fake.Spec {
	return fake.Spec{
		Account: a, KeyID: fake.KeyOf(a), Route: fake.RouteInteractive, Prompt: 100, OutputLimit: 60, NaturalOutput: 20, Host: h,
	}
}

// fanOutSeries measures the time from the commit of a table until the last host
// has installed it, by the number of hosts.
func fanOutSeries() ([]series, error) {
	oneZone := series{name: "fan-out of a table in one zone", mechanism: "core.tickTable, core.handlePeerVersion, core.sendTable", x: "hosts", y: "s"}
	for _, n := range []int{39, 78, 156, 311} {
		d, err := fanOut(1, n)
		if err != nil {
			return nil, err
		}
		oneZone.points = append(oneZone.points, point{float64(n), d.Seconds()})
	}
	threeZones := series{name: "fan-out of a table in 3 zones", mechanism: oneZone.mechanism, x: "hosts", y: "s"}
	for _, n := range []int{3, 6, 12, 24} {
		d, err := fanOut(3, n)
		if err != nil {
			return nil, err
		}
		threeZones.points = append(threeZones.points, point{float64(3 * n), d.Seconds()})
	}
	return []series{oneZone, threeZones}, nil
}

// fanOut returns the longest time over several changes from the commit of a table
// until the last host has installed it.
func fanOut(zones, hosts int) (time.Duration, error) {
	sim, d, err := newSimulation(zones, hosts)
	if err != nil {
		return 0, err
	}
	if err := sim.Run(fanOutWarmUp); err != nil {
		return 0, err
	}
	var longest time.Duration
	for i := range fanOutChanges {
		took, err := fanOutOnce(sim, d, i)
		if err != nil {
			return 0, err
		}
		longest = max(longest, took)
	}
	return longest, nil
}

// fanOutOnce commits a table, returns the time until every host has installed it,
// and runs the simulation until the next change is due. The time between two
// changes grows by 130 ms with each round.
func fanOutOnce(sim *fake.Simulation, d fake.Deployment, round int) (time.Duration, error) {
	d.Accounts[0].Rate += int64(round + 1)
	begin := sim.Elapsed()
	if err := sim.Apply(d.Table()); err != nil {
		return 0, err
	}
	for took := fanOutStep; took < fanOutInterval; took += fanOutStep {
		if err := sim.Run(begin + took); err != nil {
			return 0, err
		}
		if installed(sim, uint64(round+2)) {
			return took, sim.Run(begin + fanOutInterval + time.Duration(round)*130*time.Millisecond)
		}
	}
	return 0, fmt.Errorf("table version %d is not installed on every host after %s", round+2, fanOutInterval)
}

func installed(sim *fake.Simulation, version uint64) bool {
	for _, h := range sim.Hosts() {
		if sim.Version(h) < version {
			return false
		}
	}
	return true
}
