package fake

import (
	"fmt"
	"sort"
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
)

// hostListLag is the delay of the platform's reply to a request for the host list. The
// list is this old when it arrives.
const hostListLag = time.Second

// store simulates the platform's object API.
type store struct {
	objects          map[string]object.Object
	outage           bool
	lostWriteReplies float64 // share of writes that take effect but whose reply is lost
	staleReads       bool    // reads of the manifest return previousManifest
	previousManifest object.Object
	reads            int
	writes           int
	watches          []func() // called after every write
}

func newStore() *store {
	return &store{objects: make(map[string]object.Object)}
}

func objectKey(kind, name string) string { return kind + "/" + name }

// put writes an object and wakes all watches. It returns the new version.
func (s *store) put(kind, name string, value []byte) uint64 {
	key := objectKey(kind, name)
	if kind == object.KindManifest {
		s.previousManifest = s.objects[key]
	}
	v := s.objects[key].Version + 1
	s.objects[key] = object.Object{Kind: kind, Name: name, Version: v, Value: value}
	watches := s.watches
	s.watches = nil
	for _, fn := range watches {
		fn()
	}
	return v
}

// apply commits a table with the next table version.
func (s *store) apply(t *table.Snapshot) error {
	version := uint64(1)
	if obj, ok := s.objects[objectKey(object.KindManifest, object.ManifestName)]; ok {
		v, err := table.ManifestVersion(obj.Value)
		if err != nil {
			return fmt.Errorf("fake: %w", err)
		}
		version = v + 1
	}
	manifest, segments, err := table.Split(t, version)
	if err != nil {
		return fmt.Errorf("fake: %w", err)
	}
	names := make([]string, 0, len(segments))
	for name := range segments {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		s.put(object.KindSegment, name, segments[name])
	}
	s.put(object.KindManifest, object.ManifestName, manifest)
	return nil
}

// callStore sends a read, write or list call of a host to the platform. A partition
// affects the calls that are sent during it, an outage those that arrive during it.
func (sim *Simulation) callStore(h *host, e core.Effect) {
	inc, sent := h.inc, sim.now
	reachable := !sim.platformUnreachable[h.zone]
	sim.after(sim.cfg.StoreDelay, func() {
		switch e := e.(type) {
		case core.ReadObject:
			sim.readStore(h, inc, sent, e, reachable)
		case core.WriteObject:
			sim.writeStore(h, inc, e, reachable)
		case core.ListHosts:
			sim.listHosts(h, inc, reachable)
		}
	})
}

func (sim *Simulation) sendStoreReply(h *host, inc id.Incarnation, ev core.Event) {
	sim.after(sim.cfg.StoreDelay, func() { sim.deliver(h, inc, ev) })
}

func (sim *Simulation) readStore(h *host, inc id.Incarnation, sent time.Time, e core.ReadObject, reachable bool) {
	sim.store.reads++
	ev := core.ObjectRead{Kind: e.Kind, Name: e.Name, Sent: sent}
	if sim.store.outage || !reachable {
		ev.Failed = true
		sim.sendStoreReply(h, inc, ev)
		return
	}
	obj := sim.store.objects[objectKey(e.Kind, e.Name)]
	if sim.store.staleReads && e.Kind == object.KindManifest {
		obj = sim.store.previousManifest
	}
	if e.Wait > 0 && obj.Version <= e.After {
		sim.watchStore(h, inc, sent, e)
		return
	}
	ev.Version, ev.Value = obj.Version, obj.Value
	sim.sendStoreReply(h, inc, ev)
}

// watchStore replies when the object has changed or when the maximum wait is over.
func (sim *Simulation) watchStore(h *host, inc id.Incarnation, sent time.Time, e core.ReadObject) {
	done := false
	var check func()
	check = func() {
		if done {
			return
		}
		obj := sim.store.objects[objectKey(e.Kind, e.Name)]
		if obj.Version <= e.After {
			sim.store.watches = append(sim.store.watches, check)
			return
		}
		done = true
		sim.sendStoreReply(h, inc, core.ObjectRead{Kind: e.Kind, Name: e.Name, Version: obj.Version, Value: obj.Value, Sent: sent})
	}
	sim.store.watches = append(sim.store.watches, check)
	sim.after(e.Wait, func() {
		if done {
			return
		}
		done = true
		ev := core.ObjectRead{Kind: e.Kind, Name: e.Name, Version: e.After, Sent: sent}
		ev.Failed = sim.store.outage || sim.platformUnreachable[h.zone]
		ev.Unchanged = !ev.Failed
		sim.sendStoreReply(h, inc, ev)
	})
}

func (sim *Simulation) writeStore(h *host, inc id.Incarnation, e core.WriteObject, reachable bool) {
	sim.store.writes++
	ev := core.ObjectWritten{Kind: e.Kind, Name: e.Name}
	obj := sim.store.objects[objectKey(e.Kind, e.Name)]
	switch {
	case sim.store.outage || !reachable:
		ev.Outcome = object.WriteUnknown
	case obj.Version != e.IfVersion:
		ev.Outcome = object.WriteConflict
	default:
		ev.Version = sim.store.put(e.Kind, e.Name, e.Value)
		ev.Outcome = object.WriteDone
		if sim.store.lostWriteReplies > 0 && sim.rng.Float64() < sim.store.lostWriteReplies {
			ev.Outcome, ev.Version = object.WriteUnknown, 0
		}
	}
	sim.sendStoreReply(h, inc, ev)
}

// listHosts sends no reply during an outage or a partition.
func (sim *Simulation) listHosts(h *host, inc id.Incarnation, reachable bool) {
	if sim.store.outage || !reachable {
		return
	}
	var list []object.Host
	for _, name := range sim.hostNames {
		other := sim.hosts[name]
		list = append(list, object.Host{Host: name, Zone: other.zone, Address: string(name), Leaving: other.leaving})
	}
	sim.after(hostListLag, func() { sim.deliver(h, inc, core.HostsListed{Hosts: list}) })
}

// StoreCalls returns the numbers of object reads and writes that hosts have sent to
// the platform, including those that failed.
func (sim *Simulation) StoreCalls() (reads, writes int) { return sim.store.reads, sim.store.writes }
