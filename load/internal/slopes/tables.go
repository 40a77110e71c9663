package slopes

import (
	"maps"
	"runtime"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// tableChange is a table before and after the change of one account.
type tableChange struct {
	oldSnap, newSnap         *table.Snapshot
	oldManifest, newManifest []byte
	oldSegments, newSegments map[string][]byte
}

func newTableChange(accounts int) (tableChange, error) {
	topo := targetTopology()
	topo.accounts = accounts
	c := tableChange{oldSnap: topo.table(), newSnap: topo.table()}
	row := c.newSnap.Accounts[accountName(7)]
	row.Rate++
	c.newSnap.Accounts[row.Name] = row
	var err error
	if c.oldManifest, c.oldSegments, err = table.Split(c.oldSnap, 1); err != nil {
		return c, err
	}
	c.newManifest, c.newSegments, err = table.Split(c.newSnap, 2)
	return c, err
}

// measureCall returns the median wall time of fn in milliseconds and the bytes that
// its last call allocated, in MiB.
func measureCall(fn func() error) (ms, allocated float64, err error) {
	var times []float64
	for range rounds {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		start := time.Now()
		if err := fn(); err != nil {
			return 0, 0, err
		}
		times = append(times, float64(time.Since(start).Microseconds())/1000)
		runtime.ReadMemStats(&after)
		allocated = float64(after.TotalAlloc-before.TotalAlloc) / mib
	}
	return median(times), allocated, nil
}

// tableSeries measures the cost of one change of the table by the number of
// accounts.
func tableSeries() ([]series, error) {
	const x = "accounts (10,000 endpoints)"
	all := []series{
		{name: "split, at the operator's host", mechanism: "table.Split", x: x, y: "ms"},
		{name: "open, at each host", mechanism: "table.Open", x: x, y: "ms"},
		{name: "allocated by open", mechanism: "table.Open", x: x, y: "MiB"},
		{name: "open from the previous version", mechanism: "table.OpenIncremental", x: x, y: "ms"},
		{name: "allocated by it", mechanism: "table.OpenIncremental", x: x, y: "MiB"},
		{name: "diff, at the operator's host", mechanism: "table.Diff", x: x, y: "ms"},
		{name: "install of a changed account, at each host", mechanism: "core.install, limit.SetBudgets", x: x, y: "ms"},
		{name: "install of a table with the same accounts, at each host", mechanism: "core.install", x: x, y: "ms"},
		{name: "manifest", mechanism: "table.Manifest", x: x, y: "bytes"},
		{name: "segments that one changed row replaces", mechanism: "table.Split", x: x, y: "bytes"},
		{name: "request for a newer table", mechanism: "message.TableRequest", x: x, y: "bytes"},
		{name: "all segments", mechanism: "table.Split", x: x, y: "bytes"},
	}
	for _, n := range []int{1000, 5000, 20_000} {
		values, err := tableFigures(n)
		if err != nil {
			return nil, err
		}
		for i, v := range values {
			all[i].points = append(all[i].points, point{float64(n), v})
		}
	}
	return all, nil
}

// tableFigures returns one figure for each series of tableSeries, in their order.
func tableFigures(accounts int) ([]float64, error) {
	c, err := newTableChange(accounts)
	if err != nil {
		return nil, err
	}
	split, _, err := measureCall(func() error {
		_, _, err := table.Split(c.newSnap, 2)
		return err
	})
	if err != nil {
		return nil, err
	}
	open, allocated, err := measureCall(func() error {
		_, err := table.Open(c.newManifest, c.newSegments)
		return err
	})
	if err != nil {
		return nil, err
	}
	allSegments := maps.Clone(c.oldSegments)
	maps.Copy(allSegments, c.newSegments)
	incremental, incrementalAllocated, err := measureCall(func() error {
		_, err := table.OpenIncremental(c.oldSnap, c.oldManifest, c.newManifest, allSegments)
		return err
	})
	if err != nil {
		return nil, err
	}
	diff, _, err := measureCall(func() error {
		table.Diff(c.oldSnap, c.newSnap)
		return nil
	})
	if err != nil {
		return nil, err
	}
	install, same, err := c.installTimes(accounts)
	if err != nil {
		return nil, err
	}
	sizes, err := c.sizes()
	return append([]float64{split, open, allocated, incremental, incrementalAllocated, diff, install, same}, sizes...), err
}

// installTimes returns the median times that a host takes to install a newer
// table, in milliseconds: with a changed account, and with the same accounts.
func (c tableChange) installTimes(accounts int) (account, same float64, err error) {
	topo := targetTopology()
	topo.accounts = accounts
	r, err := newHostHarness(topo)
	if err != nil {
		return 0, 0, err
	}
	times := [2][]float64{}
	for i := range 4 * rounds {
		next := *c.newSnap
		if i/2%2 == 1 {
			next = *c.oldSnap
		}
		next.Version = uint64(i + 2)
		r.reset()
		r.process(core.TableOpened{Snapshot: &next, Manifest: c.newManifest, Segments: c.newSegments})
		times[i%2] = append(times[i%2], float64(r.total("TableOpened").Microseconds())/1000)
	}
	return median(times[0]), median(times[1]), nil
}

// sizes returns the sizes in bytes of the manifest, of the replaced segments, of
// the request for a newer table and of all segments.
func (c tableChange) sizes() ([]float64, error) {
	var replacedBytes, allBytes int
	tableRequest := message.TableRequest{Have: 1}
	for name := range c.oldSegments {
		tableRequest.Segments = append(tableRequest.Segments, name)
	}
	for name, data := range c.newSegments {
		allBytes += len(data)
		if _, ok := c.oldSegments[name]; !ok {
			replacedBytes += len(data)
		}
	}
	requestBytes, err := batchBytes(tableRequest)
	return []float64{float64(len(c.newManifest)), float64(replacedBytes), float64(requestBytes), float64(allBytes)}, err
}
