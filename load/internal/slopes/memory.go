package slopes

import (
	"runtime"
	"slices"

	"ragwortshunt.example/fleet/table"
)

// liveHeap returns the bytes of heap objects after two garbage collections.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const mib = 1 << 20

// memorySeries measures the live heap of the state of one host by the number of
// accounts, endpoints, peers, requests, records and token transfers.
func memorySeries() ([]series, error) {
	accounts, err := hostMemory("accounts", "table snapshot, segments, limit.State", []int{1000, 5000, 20_000},
		func(topo *topology, n int) { topo.accounts = n }, nil)
	if err != nil {
		return nil, err
	}
	snapshot, err := snapshotMemory()
	if err != nil {
		return nil, err
	}
	endpoints, err := hostMemory("endpoints", "table snapshot, segments", []int{1000, 3000, 10_000},
		func(topo *topology, n int) { topo.endpoints = n }, nil)
	if err != nil {
		return nil, err
	}
	peers, err := hostMemory("hosts per zone (of 9)", "member.State, limit.State", []int{10, 100, 311},
		func(topo *topology, n int) { topo.hosts = n }, nil)
	if err != nil {
		return nil, err
	}
	requests, err := hostMemory("open requests", "core.request, limit.request", []int{100, 300, 1000}, func(*topology, int) {},
		func(r *hostHarness, n int) {
			for range n {
				r.startRequest()
			}
		})
	if err != nil {
		return nil, err
	}
	records, err := hostMemory("finished records", "core.Record with its trace", []int{1000, 3000, 10_000},
		func(topo *topology, n int) { topo.records = n }, func(r *hostHarness, n int) {
			for range n {
				r.completeRequest(20)
			}
		})
	if err != nil {
		return nil, err
	}
	receipts, err := hostMemory("requests of the last 11 min (1,000 records)", "limit.received", []int{2000, 6000, 20_000},
		func(*topology, int) {}, func(r *hostHarness, n int) {
			for range n {
				r.completeRequest(1)
			}
		})
	if err != nil {
		return nil, err
	}
	transfers, err := hostMemory("transfers of the last 10 min that were not returned", "limit.outgoing, bucket charges", []int{2000, 6000, 20_000},
		func(topo *topology, _ int) { topo.hosts = 1 }, func(r *hostHarness, n int) {
			for i := range n {
				r.receiveTokenRequest(i)
			}
		})
	if err != nil {
		return nil, err
	}
	return slices.Concat(accounts, snapshot, endpoints, peers, requests, records, receipts, transfers), nil
}

// hostMemory measures the live heap that one harness adds, by the size of one
// quantity.
func hostMemory(unit, mechanism string, sizes []int, set func(*topology, int), load func(*hostHarness, int)) ([]series, error) {
	out := series{name: "live heap of a host, by " + unit, mechanism: mechanism, x: unit, y: "MiB"}
	for _, n := range sizes {
		topo := targetTopology()
		set(&topo, n)
		before := liveHeap()
		r, err := newHostHarness(topo)
		if err != nil {
			return nil, err
		}
		if load != nil {
			load(r, n)
		}
		r.reset()
		out.points = append(out.points, point{float64(n), (liveHeap() - before) / mib})
		runtime.KeepAlive(r)
	}
	return []series{out}, nil
}

// snapshotMemory measures the live heap of an opened table without its encoded
// segments.
func snapshotMemory() ([]series, error) {
	out := series{name: "live heap of an opened table", mechanism: "table.Snapshot", x: "accounts", y: "MiB"}
	for _, n := range []int{1000, 5000, 20_000} {
		topo := targetTopology()
		topo.accounts = n
		manifest, segments, err := table.Split(topo.table(), 1)
		if err != nil {
			return nil, err
		}
		before := liveHeap()
		snap, err := table.Open(manifest, segments)
		if err != nil {
			return nil, err
		}
		out.points = append(out.points, point{float64(n), (liveHeap() - before) / mib})
		runtime.KeepAlive(snap)
		runtime.KeepAlive(segments)
	}
	return []series{out}, nil
}
