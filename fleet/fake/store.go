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

// listLag is the lag of the platform's host list.
const listLag = time.Second

// store is the platform's object API.
type store struct {
	objects map[string]object.Object
	down    bool
	lost    float64 // share of writes whose reply is lost
	stale   bool    // reads of the manifest return the version before
	older   object.Object
	reads   int
	writes  int
	waiting []func() // watches
}

func newStore() *store {
	return &store{objects: make(map[string]object.Object)}
}

func objectKey(kind, name string) string { return kind + "/" + name }

func (s *store) put(kind, name string, value []byte) uint64 {
	key := objectKey(kind, name)
	if kind == object.KindManifest {
		s.older = s.objects[key]
	}
	v := s.objects[key].Version + 1
	s.objects[key] = object.Object{Kind: kind, Name: name, Version: v, Value: value}
	waiting := s.waiting
	s.waiting = nil
	for _, fn := range waiting {
		fn()
	}
	return v
}

// apply commits a table with the next version.
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

func (w *World) callStore(h *host, e core.Effect) {
	inc, sent := h.inc, w.now
	reach := !w.cutOff[h.zone]
	w.after(w.cfg.StoreDelay, func() {
		switch e := e.(type) {
		case core.ReadObject:
			w.readStore(h, inc, sent, e, reach)
		case core.WriteObject:
			w.writeStore(h, inc, e, reach)
		case core.ListHosts:
			w.listHosts(h, inc, reach)
		}
	})
}

func (w *World) reply(h *host, inc id.Incarnation, ev core.Event) {
	w.after(w.cfg.StoreDelay, func() { w.deliver(h, inc, ev) })
}

func (w *World) readStore(h *host, inc id.Incarnation, sent time.Time, e core.ReadObject, reach bool) {
	w.store.reads++
	ev := core.ObjectRead{Kind: e.Kind, Name: e.Name, Sent: sent}
	if w.store.down || !reach {
		ev.Failed = true
		w.reply(h, inc, ev)
		return
	}
	obj := w.store.objects[objectKey(e.Kind, e.Name)]
	if w.store.stale && e.Kind == object.KindManifest {
		obj = w.store.older
	}
	if e.Wait > 0 && obj.Version <= e.After {
		w.watchStore(h, inc, sent, e)
		return
	}
	ev.Version, ev.Value = obj.Version, obj.Value
	w.reply(h, inc, ev)
}

// watchStore answers when the object changes or the wait is over.
func (w *World) watchStore(h *host, inc id.Incarnation, sent time.Time, e core.ReadObject) {
	done := false
	var check func()
	check = func() {
		if done {
			return
		}
		obj := w.store.objects[objectKey(e.Kind, e.Name)]
		if obj.Version <= e.After {
			w.store.waiting = append(w.store.waiting, check)
			return
		}
		done = true
		w.reply(h, inc, core.ObjectRead{Kind: e.Kind, Name: e.Name, Version: obj.Version, Value: obj.Value, Sent: sent})
	}
	w.store.waiting = append(w.store.waiting, check)
	w.after(e.Wait, func() {
		if done {
			return
		}
		done = true
		ev := core.ObjectRead{Kind: e.Kind, Name: e.Name, Version: e.After, Sent: sent}
		ev.Failed = w.store.down || w.cutOff[h.zone]
		ev.Unchanged = !ev.Failed
		w.reply(h, inc, ev)
	})
}

func (w *World) writeStore(h *host, inc id.Incarnation, e core.WriteObject, reach bool) {
	w.store.writes++
	ev := core.ObjectWritten{Kind: e.Kind, Name: e.Name}
	obj := w.store.objects[objectKey(e.Kind, e.Name)]
	switch {
	case w.store.down || !reach:
		ev.Outcome = object.WriteUnknown
	case obj.Version != e.IfVersion:
		ev.Outcome = object.WriteConflict
	default:
		ev.Version = w.store.put(e.Kind, e.Name, e.Value)
		ev.Outcome = object.WriteDone
		if w.store.lost > 0 && w.rng.Float64() < w.store.lost {
			ev.Outcome, ev.Version = object.WriteUnknown, 0
		}
	}
	w.reply(h, inc, ev)
}

func (w *World) listHosts(h *host, inc id.Incarnation, reach bool) {
	if w.store.down || !reach {
		return
	}
	var list []object.Host
	for _, name := range w.order {
		o := w.hosts[name]
		list = append(list, object.Host{Host: name, Zone: o.zone, Address: string(name), Leaving: o.leaving})
	}
	w.after(listLag, func() { w.deliver(h, inc, core.HostsListed{Hosts: list}) })
}

// StoreCalls returns the reads and writes that the platform has served.
func (w *World) StoreCalls() (reads, writes int) { return w.store.reads, w.store.writes }
