package slopes

import (
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/message"
)

const heartbeatTime = 60 * time.Second

// heartbeatSeries measures the heartbeats that one host sends, with one message
// per batch. Other hosts probe this host as often as it probes them.
func heartbeatSeries() ([]series, error) {
	count := series{name: "heartbeats sent", mechanism: "member.Tick, answers of member.HandleHeartbeat", x: "hosts per zone (of 9)", y: "1/s"}
	size := series{name: "bytes of heartbeats sent, one per batch, without HTTP/2", mechanism: "message.Heartbeat as CBOR", x: "hosts per zone (of 9)", y: "bytes/s"}
	for _, n := range []int{10, 100, 311} {
		topo := targetTopology()
		topo.hosts, topo.endpoints = n, 1000
		r, err := newHostHarness(topo)
		if err != nil {
			return nil, err
		}
		messageRate, bytes, err := r.heartbeats()
		if err != nil {
			return nil, err
		}
		count.points = append(count.points, point{float64(n), messageRate})
		size.points = append(size.points, point{float64(n), bytes})
	}
	return []series{count, size}, nil
}

// heartbeats returns the heartbeats sent and their encoded bytes, per second of
// virtual time.
func (r *hostHarness) heartbeats() (rate, bytes float64, err error) {
	r.run(5 * time.Second)
	r.reset()
	r.record = true
	for i := range int(heartbeatTime / time.Second) {
		r.run(time.Second)
		r.receiveHeartbeats(i)
	}
	total := 0
	for _, m := range r.sent {
		n, err := batchBytes(m)
		if err != nil {
			return 0, 0, err
		}
		total += n
	}
	seconds := heartbeatTime.Seconds()
	return float64(len(r.sent)) / seconds, float64(total) / seconds, nil
}

// receiveHeartbeats delivers a heartbeat from one host of each other zone and from
// two hosts of this host's zone. This is the average rate at which hosts receive
// heartbeats as contacts and in spot checks, per second.
func (r *hostHarness) receiveHeartbeats(second int) {
	n := r.topology.hosts
	for z := range r.topology.zones {
		for i := range 1 + max(0, 1-z) {
			h := r.hosts[z*n+1+(second*7+i*3)%(n-1)]
			r.process(core.PeerMessage{From: h.Host, Incarnation: 1, Message: message.Heartbeat{Zone: h.Zone, TableVersion: 1}})
		}
	}
}
