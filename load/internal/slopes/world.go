package slopes

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

const (
	worldWarmUp  = 20 * time.Second
	worldTime    = 20 * time.Second
	worldGap     = 500 * time.Millisecond // between two requests of one host
	fanOutWarmUp = 6 * time.Second
	fanOutGap    = 5 * time.Second
	fanOutRounds = 3
	fanOutStep   = 20 * time.Millisecond
)

func newWorld(zones, hosts int) (*fake.World, fake.Deployment, error) {
	d := fake.Deployment{
		Name: "size", Zones: zones, Hosts: hosts, Prefill: 2, Decode: 4, Services: 1, ZoneDelay: 1500 * time.Microsecond,
	}
	for i := range 50 {
		d.Accounts = append(d.Accounts, table.Account{Name: accountName(i), Weight: 1, Rate: 4000, Burst: 40_000})
	}
	cfg := d.Config(1)
	cfg.CheckEvery = 0
	w, err := fake.New(cfg)
	return w, d, err
}

// platformSeries measures the reads and writes of the platform's objects by the
// number of hosts. Readings of the host list are not among them.
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

func storeRates(perZone int, load bool) (reads, writes float64, err error) {
	w, d, err := newWorld(3, perZone)
	if err != nil {
		return 0, 0, err
	}
	if load {
		n := int((worldWarmUp + worldTime) / worldGap)
		for i, h := range w.Hosts() {
			for k := range n {
				at := time.Duration(k)*worldGap + time.Duration(i)*worldGap/time.Duration(len(w.Hosts()))
				w.At(at, func() { w.Send(worldSpec(d.Accounts[(i+k)%len(d.Accounts)].Name, h)) })
			}
		}
	}
	if err := w.Run(worldWarmUp); err != nil {
		return 0, 0, err
	}
	r0, w0 := w.StoreCalls()
	if err := w.Run(worldWarmUp + worldTime); err != nil {
		return 0, 0, err
	}
	r1, w1 := w.StoreCalls()
	return float64(r1-r0) / worldTime.Seconds(), float64(w1-w0) / worldTime.Seconds(), nil
}

func worldSpec(a id.Account, h id.Host) fake.Spec {
	return fake.Spec{
		Account: a, KeyID: fake.KeyOf(a), Route: fake.RouteInteractive, Prompt: 100, Limit: 60, Want: 20, Host: h,
	}
}

// fanOutSeries measures the time from the commit of a table to its use by the
// last host, by the number of hosts.
func fanOutSeries() ([]series, error) {
	one := series{name: "fan-out of a table in one zone", mechanism: "core.tickTable, core.peerVersion, core.tableAsked", x: "hosts", y: "s"}
	for _, n := range []int{39, 78, 156, 311} {
		d, err := fanOut(1, n)
		if err != nil {
			return nil, err
		}
		one.points = append(one.points, point{float64(n), d.Seconds()})
	}
	three := series{name: "fan-out of a table in 3 zones", mechanism: one.mechanism, x: "hosts", y: "s"}
	for _, n := range []int{3, 6, 12, 24} {
		d, err := fanOut(3, n)
		if err != nil {
			return nil, err
		}
		three.points = append(three.points, point{float64(3 * n), d.Seconds()})
	}
	return []series{one, three}, nil
}

// fanOut returns the longest time that any host needed, over a few changes.
func fanOut(zones, hosts int) (time.Duration, error) {
	w, d, err := newWorld(zones, hosts)
	if err != nil {
		return 0, err
	}
	if err := w.Run(fanOutWarmUp); err != nil {
		return 0, err
	}
	var longest time.Duration
	for i := range fanOutRounds {
		took, err := fanOutOnce(w, d, i)
		if err != nil {
			return 0, err
		}
		longest = max(longest, took)
	}
	return longest, nil
}

func fanOutOnce(w *fake.World, d fake.Deployment, round int) (time.Duration, error) {
	d.Accounts[0].Rate += int64(round + 1)
	begin := w.Elapsed()
	if err := w.Apply(d.Table()); err != nil {
		return 0, err
	}
	for took := fanOutStep; took < fanOutGap; took += fanOutStep {
		if err := w.Run(begin + took); err != nil {
			return 0, err
		}
		if installed(w, uint64(round+2)) {
			return took, w.Run(begin + fanOutGap + time.Duration(round)*130*time.Millisecond)
		}
	}
	return 0, fmt.Errorf("version %d is not in force everywhere after %s", round+2, fanOutGap)
}

func installed(w *fake.World, version uint64) bool {
	for _, h := range w.Hosts() {
		if w.Version(h) < version {
			return false
		}
	}
	return true
}
