package fanout_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/fanout"
	"ragwortshunt.example/fleet/id"
)

func names(n int) []id.Host {
	var out []id.Host
	for i := range n {
		out = append(out, id.Host(fmt.Sprintf("h-%04d", i)))
	}
	return out
}

// network delivers one message over its relays and counts the copies.
type network struct {
	hosts    []id.Host
	seed     uint64
	dead     map[id.Host]bool
	received map[id.Host]int
	mostSent int
}

func (n *network) send(r fanout.Range, reached []id.Host) {
	others := fanout.Remaining(n.hosts, r, reached)
	copies := fanout.Plan(others, n.seed, func(id.Host) bool { return true })
	n.mostSent = max(n.mostSent, len(copies))
	for _, c := range copies {
		if n.dead[c.To] {
			continue
		}
		n.received[c.To]++
		n.send(c.Range, append(slices.Clone(reached), c.To))
	}
}

func broadcast(hosts []id.Host, origin id.Host, seed uint64, dead map[id.Host]bool) *network {
	n := &network{hosts: hosts, seed: seed, dead: dead, received: make(map[id.Host]int)}
	n.send(fanout.Range{First: hosts[0], Last: hosts[len(hosts)-1]}, []id.Host{origin})
	return n
}

// TestEachHostOnce guards against hosts that get no copy or several, and against hosts
// that send one to each other host. The bound is the square root of the number of hosts,
// rounded up, but not below 16.
func TestEachHostOnce(t *testing.T) {
	for size, bound := range map[int]int{1: 16, 2: 16, 9: 16, 17: 16, 18: 16, 77: 16, 195: 16, 300: 18, 2800: 53} {
		hosts := names(size)
		for seed := range uint64(20) {
			origin := hosts[int(seed)*7%size]
			n := broadcast(hosts, origin, seed, nil)
			assert.Assert(t, n.mostSent <= bound, "%d hosts: %d copies", size, n.mostSent)
			assert.Equal(t, len(n.received), size-1)
			for h, copies := range n.received {
				assert.Equal(t, copies, 1, h)
			}
		}
	}
}

// TestDeadRelays guards against hosts that miss every repetition of a message because its
// relays are dead: another seed must select other relays.
func TestDeadRelays(t *testing.T) {
	hosts := names(195)
	dead := make(map[id.Host]bool)
	for i := range 65 {
		dead[hosts[i*3]] = true
	}
	reached := make(map[id.Host]bool)
	for seed := range uint64(6) {
		for h := range broadcast(hosts, hosts[1], seed*977, dead).received {
			reached[h] = true
		}
	}
	assert.Equal(t, len(reached), 195-65-1)
}

// TestUnusableRelays guards against relays that their sender knows to be unusable, and
// against a group without a relay that gets no copy.
func TestUnusableRelays(t *testing.T) {
	hosts := names(40)
	usable := func(h id.Host) bool { return h >= "h-0020" }
	direct := 0
	for _, c := range fanout.Plan(hosts, 3, usable) {
		if !usable(c.To) {
			assert.Assert(t, c.Range.IsEmpty(), c.To)
			direct++
		}
	}
	assert.Assert(t, direct > 0)
}

// TestRange guards against ranges whose ends are unknown to the relay.
func TestRange(t *testing.T) {
	hosts := []id.Host{"b", "d", "f"}
	assert.DeepEqual(t, fanout.Remaining(hosts, fanout.Range{First: "a", Last: "d"}, []id.Host{"b"}), []id.Host{"d"})
	assert.DeepEqual(t, fanout.Remaining(hosts, fanout.Range{First: "c", Last: "g"}, nil), []id.Host{"d", "f"})
	assert.Equal(t, len(fanout.Remaining(hosts, fanout.Range{First: "x", Last: "a"}, nil)), 0)
	assert.Equal(t, len(fanout.Remaining(hosts, fanout.Range{}, nil)), 0)
}
