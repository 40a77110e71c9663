package member_test

import (
	"fmt"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

// node is one simulated host.
type node struct {
	host        id.Host
	zone        id.Zone
	incarnation id.Incarnation
	state       *member.State
	down        bool
	paused      bool
	changes     []member.Change
	inbox       []delivery
}

// delivery is one heartbeat in flight.
type delivery struct {
	from        id.Host
	incarnation id.Incarnation
	heartbeat   message.Heartbeat
	forwarded   bool
}

// cluster is a set of hosts on a simulated network.
type cluster struct {
	tb          rapid.TB
	now         time.Time
	nodes       map[id.Host]*node
	names       []id.Host
	list        []object.Host
	cfg         member.Config
	partitioned func(a, b *node) bool
	heartbeats  int
}

func newCluster(tb rapid.TB, zones, perZone int) *cluster {
	c := &cluster{tb: tb, now: start, nodes: map[id.Host]*node{}, cfg: member.DefaultConfig()}
	c.partitioned = func(*node, *node) bool { return false }
	for z := range zones {
		for i := range perZone {
			n := &node{host: id.Host(fmt.Sprintf("host-%d-%03d", z, i)), zone: id.Zone(fmt.Sprintf("z%d", z))}
			c.nodes[n.host] = n
			c.names = append(c.names, n.host)
			c.list = append(c.list, object.Host{Host: n.host, Zone: n.zone, Address: "127.0.0.1:1"})
		}
	}
	c.restartAll()
	return c
}

func (c *cluster) restartAll() {
	for _, h := range c.names {
		c.restart(c.nodes[h])
	}
}

func (c *cluster) restart(n *node) {
	cfg := c.cfg
	n.incarnation++
	cfg.Host, cfg.Zone, cfg.Incarnation = n.host, n.zone, n.incarnation
	n.state = member.New(cfg, c.now)
	n.down, n.paused, n.inbox = false, false, nil
	member.SetList(n.state, c.now, c.list)
}

// run advances the clock; each step delivers what was sent in that step.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		for _, h := range c.names {
			n := c.nodes[h]
			if n.down || n.paused {
				continue
			}
			heartbeats, changes := member.Tick(n.state, c.now)
			n.changes = append(n.changes, changes...)
			c.heartbeats += len(heartbeats.To)
			for _, to := range heartbeats.To {
				c.send(n, to)
			}
			if heartbeats.Broadcast {
				c.broadcast(n)
			}
		}
		for _, h := range c.names {
			c.deliver(c.nodes[h])
		}
	}
}

// heartbeat returns the heartbeat that a host sends now.
func heartbeat(from *node) message.Heartbeat {
	self, _ := member.PeerOf(from.state, from.host)
	return message.Heartbeat{Zone: from.zone, State: self.State, Reports: member.Reports(from.state)}
}

func (c *cluster) send(from *node, r member.Recipient) {
	to := c.nodes[r.Host]
	if to.down || c.partitioned(from, to) {
		return
	}
	m := heartbeat(from)
	m.AwaitsReply = r.AwaitsReply
	if r.Newcomer {
		m.Reports = append(m.Reports, member.Departed(from.state)...)
	}
	to.inbox = append(to.inbox, delivery{from: from.host, incarnation: from.incarnation, heartbeat: m})
}

// broadcast sends a heartbeat to the zone by way of one relay that the sender reaches, and
// from there to the hosts that the relay reaches.
func (c *cluster) broadcast(from *node) {
	relay := from
	hosts := member.Reachable(from.state, from.zone)
	for i := range hosts {
		n := c.nodes[hosts[(i+int(c.now.UnixMilli()/50))%len(hosts)]]
		if !n.down && !n.paused && !c.partitioned(from, n) {
			relay = n
			break
		}
	}
	for _, h := range hosts {
		to := c.nodes[h]
		if !to.down && (relay == to || !c.partitioned(relay, to)) {
			d := delivery{from: from.host, incarnation: from.incarnation, heartbeat: heartbeat(from), forwarded: true}
			to.inbox = append(to.inbox, d)
		}
	}
}

func (c *cluster) deliver(n *node) {
	if n.down || n.paused {
		return
	}
	for _, d := range n.inbox {
		handle := member.HandleHeartbeat
		if d.forwarded {
			handle = member.HandleForwarded
		}
		n.changes = append(n.changes, handle(n.state, c.now.Add(latency), d.from, d.incarnation, d.heartbeat)...)
	}
	n.inbox = nil
	assert.NilError(c.tb, member.Check(n.state))
}

// checkViews checks that the views of all running hosts match the hosts that they
// can reach.
func (c *cluster) checkViews(onlyZone bool) {
	for _, h := range c.names {
		n := c.nodes[h]
		if n.down {
			continue
		}
		for _, o := range c.names {
			peer := c.nodes[o]
			if onlyZone && peer.zone != n.zone {
				continue
			}
			want := !peer.down && !c.partitioned(n, peer)
			assert.Equal(c.tb, member.Usable(n.state, o), want, "%s on %s at %s", h, o, c.now.Sub(start))
		}
	}
}

// deaths counts the changes to HostDead that all hosts have seen.
func (c *cluster) deaths() int {
	n := 0
	for _, h := range c.names {
		for _, ch := range c.nodes[h].changes {
			if ch.To == message.HostDead {
				n++
			}
		}
	}
	return n
}
