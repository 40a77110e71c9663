package slopes

import (
	"runtime"
	"slices"

	"ragwortshunt.example/fleet/table"
)

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const mib = 1 << 20

// memorySeries measures the live heap of the state of one host.
func memorySeries() ([]series, error) {
	accounts, err := rigMemory("accounts", "table snapshot, segments, limit.State", []int{1000, 5000, 20_000},
		func(sh *shape, n int) { sh.accounts = n }, nil)
	if err != nil {
		return nil, err
	}
	snapshot, err := snapshotMemory()
	if err != nil {
		return nil, err
	}
	endpoints, err := rigMemory("endpoints", "table snapshot, segments", []int{1000, 3000, 10_000},
		func(sh *shape, n int) { sh.endpoints = n }, nil)
	if err != nil {
		return nil, err
	}
	peers, err := rigMemory("hosts per zone (of 9)", "member.State, limit.State", []int{10, 100, 311},
		func(sh *shape, n int) { sh.hosts = n }, nil)
	if err != nil {
		return nil, err
	}
	requests, err := rigMemory("open requests", "core.request, limit.request", []int{100, 300, 1000}, func(*shape, int) {},
		func(r *rig, n int) {
			for range n {
				r.start()
			}
		})
	if err != nil {
		return nil, err
	}
	records, err := rigMemory("finished records", "core.Record with its trace", []int{1000, 3000, 10_000},
		func(sh *shape, n int) { sh.records = n }, func(r *rig, n int) {
			for range n {
				r.whole(20)
			}
		})
	if err != nil {
		return nil, err
	}
	receipts, err := rigMemory("requests of the last 11 min (1,000 records)", "limit.received", []int{2000, 6000, 20_000},
		func(*shape, int) {}, func(r *rig, n int) {
			for range n {
				r.whole(1)
			}
		})
	if err != nil {
		return nil, err
	}
	gifts, err := rigMemory("gifts of the last 10 min that were not returned", "limit.given, bucket charges", []int{2000, 6000, 20_000},
		func(sh *shape, _ int) { sh.hosts = 1 }, func(r *rig, n int) {
			for i := range n {
				r.ask(i)
			}
		})
	if err != nil {
		return nil, err
	}
	return slices.Concat(accounts, snapshot, endpoints, peers, requests, records, receipts, gifts), nil
}

// rigMemory measures the heap that one rig adds, by the size of one quantity.
func rigMemory(unit, mechanism string, sizes []int, set func(*shape, int), load func(*rig, int)) ([]series, error) {
	out := series{name: "live heap of a host, by " + unit, mechanism: mechanism, x: unit, y: "MiB"}
	for _, n := range sizes {
		sh := targetShape()
		set(&sh, n)
		before := heap()
		r, err := newRig(sh)
		if err != nil {
			return nil, err
		}
		if load != nil {
			load(r, n)
		}
		r.reset()
		out.points = append(out.points, point{float64(n), (heap() - before) / mib})
		runtime.KeepAlive(r)
	}
	return []series{out}, nil
}

// snapshotMemory measures an opened table alone, without the raw segments.
func snapshotMemory() ([]series, error) {
	out := series{name: "live heap of an opened table", mechanism: "table.Snapshot", x: "accounts", y: "MiB"}
	for _, n := range []int{1000, 5000, 20_000} {
		sh := targetShape()
		sh.accounts = n
		manifest, segments, err := table.Split(sh.table(), 1)
		if err != nil {
			return nil, err
		}
		before := heap()
		snap, err := table.Open(manifest, segments)
		if err != nil {
			return nil, err
		}
		out.points = append(out.points, point{float64(n), (heap() - before) / mib})
		runtime.KeepAlive(snap)
		runtime.KeepAlive(segments)
	}
	return []series{out}, nil
}
