// Package fanout plans how a message reaches many hosts although its sender sends only a
// few copies.
//
// The hosts are sorted by name and divided into consecutive ranges. One host of each range
// gets a copy and forwards it to the rest of the range in the same way. Names begin alike
// within an availability zone, so that most copies stay within one.
//
// A copy names its range by the first and the last name, not by a list. Each host forwards
// to the hosts that it knows in the range, so that the views of two hosts may differ. A
// host whose relay is dead misses the message: senders repeat what must arrive, and pass
// another seed, which selects other relays.
package fanout

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
)

// relaysPerGroup is the number of relays among which the seed chooses. One that is dead
// without its sender's knowledge then costs a group one message in four.
const relaysPerGroup = 4

// maxDirect is the number of hosts up to which the sender reaches each of them itself. A
// relay would save little and adds a delay.
const maxDirect = 16

// Range is a range of hosts in the order of their names. Both ends belong to it.
type Range struct {
	First, Last id.Host
}

// IsEmpty reports whether the range contains no host.
func (r Range) IsEmpty() bool { return r.First == "" }

// Copy is one copy of a message: the host that gets it, and the range whose other hosts
// that host forwards it to.
type Copy struct {
	To    id.Host
	Range Range
}

// Plan returns the copies that reach all hosts, in the order of their names. hosts is
// sorted and contains no host that has the message already. isRelay reports which hosts
// may forward it.
func Plan(hosts []id.Host, seed uint64, isRelay func(id.Host) bool) []Copy {
	if len(hosts) <= maxDirect {
		return direct(hosts)
	}
	groups := int(math.Ceil(math.Sqrt(float64(len(hosts)))))
	var out []Copy
	for i := range groups {
		group := hosts[i*len(hosts)/groups : (i+1)*len(hosts)/groups]
		out = append(out, planGroup(group, seed+uint64(i), isRelay)...)
	}
	return out
}

// planGroup returns the copy for the relay of a group, or copies for all of its hosts if
// there is no relay.
func planGroup(group []id.Host, seed uint64, isRelay func(id.Host) bool) []Copy {
	relays := relaysOf(group, isRelay)
	if len(group) == 1 || len(relays) == 0 {
		return direct(group)
	}
	relay := relays[seed%uint64(len(relays))]
	return []Copy{{To: relay, Range: Range{First: group[0], Last: group[len(group)-1]}}}
}

// relaysOf returns the usable relays of a group with the lowest hashes, at most
// relaysPerGroup. They are the same for all senders and messages, so that the connections
// from them to the group are in use.
func relaysOf(group []id.Host, isRelay func(id.Host) bool) []id.Host {
	var out []id.Host
	for _, h := range group {
		if isRelay(h) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b id.Host) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	return out[:min(len(out), relaysPerGroup)]
}

func direct(hosts []id.Host) []Copy {
	out := make([]Copy, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, Copy{To: h})
	}
	return out
}

// Remaining returns the hosts of a range that have not had the message yet. hosts is
// sorted. reached lists the sender of the message and the relays that it has passed.
func Remaining(hosts []id.Host, r Range, reached []id.Host) []id.Host {
	if r.IsEmpty() {
		return nil
	}
	var out []id.Host
	from := sort.Search(len(hosts), func(i int) bool { return hosts[i] >= r.First })
	for _, h := range hosts[from:] {
		if h > r.Last {
			break
		}
		if !slices.Contains(reached, h) {
			out = append(out, h)
		}
	}
	return out
}
