package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
)

func zoneOf(name id.Endpoint) id.Zone {
	for _, ep := range engines(6, 12) {
		if ep.Name == name {
			return ep.AZ
		}
	}
	return ""
}

func requestFrom(n int, az id.Zone) message.SlotRequest {
	return memoryRequest(0, func(m *message.SlotRequest) {
		m.Request = id.Request(fmt.Sprintf("%s-%d", az, n))
		m.AZ = az
	})
}

// reportUnreachable reports to the cell that the host of a granted request could not
// reach an endpoint.
func reportUnreachable(c *schedule.Cell, now time.Duration, g message.SlotGrant, failed id.Endpoint) {
	schedule.HandleUpdate(c, at(now), "h", message.SlotUpdate{
		Request: g.Request, Attempt: g.Attempt, Phase: message.PhaseCancelled, Failed: failed, Unreachable: true,
	})
}

// requestGrant sends a slot request and returns its grant.
func requestGrant(t *testing.T, c *schedule.Cell, now time.Duration, m message.SlotRequest) message.SlotGrant {
	t.Helper()
	acts := schedule.HandleSlotRequest(c, at(now), "h", m)
	got := grants(acts)
	assert.Equal(t, len(got), 1, "%+v", acts)
	return got[0]
}

// partitionZone reports that hosts in zone a failed to reach two engines in each of the
// other zones.
func partitionZone(t *testing.T, c *schedule.Cell, now time.Duration) {
	for i, ep := range []id.Endpoint{"e07", "e10", "e08", "e11"} {
		g := requestGrant(t, c, now, requestFrom(1000+i, "a"))
		reportUnreachable(c, now, g, ep)
	}
}

// TestZonePartition guards against requests that try the engines of a zone that their
// host cannot reach, one after the other, until their callers have disconnected.
func TestZonePartition(t *testing.T) {
	c := balanceCell(6, 12)
	partitionZone(t, c, time.Second)
	served := 0
	for i := range 60 { // more than the engines of zone a can take at once
		for _, g := range grants(schedule.HandleSlotRequest(c, at(1100*time.Millisecond), "h", requestFrom(i, "a"))) {
			assert.Equal(t, zoneOf(g.Prefill), id.Zone("a"), "%+v", g)
			assert.Equal(t, zoneOf(g.Decode), id.Zone("a"), "%+v", g)
			schedule.HandleUpdate(c, at(1100*time.Millisecond), "h", message.SlotUpdate{
				Request: g.Request, Attempt: 1, Phase: message.PhaseDecode,
			})
			served++
		}
	}
	assert.Assert(t, served >= 10, "%d served", served)
}

// TestPartitionedZoneServesItsHosts guards against engines that get no work from the
// hosts of their own zone because hosts of other zones cannot reach them.
func TestPartitionedZoneServesItsHosts(t *testing.T) {
	c := balanceCell(6, 12)
	partitionZone(t, c, time.Second)
	g := requestGrant(t, c, 1700*time.Millisecond, requestFrom(1, "b"))
	assert.Equal(t, zoneOf(g.Prefill), id.Zone("b"))
	assert.Equal(t, zoneOf(g.Decode), id.Zone("b"))
}

// TestZoneAfterPartition guards against a zone that gets no requests after a partition
// has ended.
func TestZoneAfterPartition(t *testing.T) {
	c := balanceCell(6, 12)
	partitionZone(t, c, time.Second)
	used := make(map[id.Zone]bool)
	for i := range 18 {
		g := requestGrant(t, c, 7*time.Second, requestFrom(i, "a"))
		used[zoneOf(g.Decode)] = true
		schedule.HandleUpdate(c, at(7*time.Second), "h", message.SlotUpdate{Request: g.Request, Attempt: 1, Phase: message.PhaseDecode})
	}
	assert.Equal(t, len(used), 3, "%v", used)
}

// TestUnreachableCell guards against a request that waits although its host cannot
// reach any prefill engine.
func TestUnreachableCell(t *testing.T) {
	eps := engines(2, 7) // prefill in zones a and b only
	c := schedule.New(projectedConfig(), "m", at(0), false)
	schedule.SetEndpoints(c, at(0), append(eps[1:2:2], append(eps[2:], engines(5, 0)[4:]...)...))
	for i, ep := range []id.Endpoint{"e01", "e04"} {
		g := requestGrant(t, c, time.Second, requestFrom(1000+i, "c"))
		reportUnreachable(c, time.Second, g, ep)
	}
	acts := schedule.HandleSlotRequest(c, at(1100*time.Millisecond), "h", requestFrom(1, "c"))
	got := refusals(acts)
	assert.Equal(t, len(got), 1, "%+v", acts)
	assert.Equal(t, got[0].Reason, schedule.ReasonNoEndpoint)
	assert.Assert(t, got[0].Retry > 0)
}

// TestHostZonePreferred guards against runs in another zone than their host although the
// host's zone has room: a partition between the two zones would break them.
func TestHostZonePreferred(t *testing.T) {
	c := balanceCell(6, 12)
	for i, az := range []id.Zone{"c", "a", "b"} {
		g := requestGrant(t, c, time.Second, requestFrom(i, az))
		assert.Equal(t, zoneOf(g.Prefill), az)
		assert.Equal(t, zoneOf(g.Decode), az)
	}
}
