package throttle_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/throttle"
)

// coldCases are rates of cold endpoints with the requests that they may get in any second.
var coldCases = []struct {
	perSecond, overrun, slack float64
	allowed                   int
}{
	{20, 1.5, 5, 35}, {2, 1.5, 5, 8}, {2, 1.5, 1, 4}, {1, 1, 0, 1}, {0.2, 1.5, 0, 0}, {200, 1, 0, 200},
}

func newCold(perSecond, overrun, slack float64) *throttle.State {
	cfg := throttle.DefaultConfig()
	cfg.Cold = throttle.ColdBound{Overrun: overrun, Slack: slack}
	st := throttle.New(cfg)
	throttle.SetCold(st, start, map[id.Endpoint]float64{ep: perSecond})
	return st
}

// TestColdCalls guards against hosts that send a cold endpoint more than it takes in a second
// when all of them start a call at the same moment, with a fifth more hosts that have an older
// list, and against an endpoint that is not used.
func TestColdCalls(t *testing.T) {
	const known = 83
	for _, tt := range coldCases {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			st := newCold(tt.perSecond, tt.overrun, tt.slack)
			hosts, cold := throttle.ColdHosts(st, ep, known)
			assert.Assert(t, cold)
			assert.Assert(t, !throttle.AllowsCold(st, start, ep, hosts), "the part of a host starts empty")
			now, sent := start.Add(time.Minute), 0
			for end := now.Add(time.Second); now.Before(end); now = now.Add(time.Millisecond) {
				if hosts > 0 && throttle.AllowsCold(st, now, ep, hosts) {
					throttle.Take(st, ep)
					sent++
				}
			}
			assert.Assert(t, sent*(hosts+hosts/5) <= tt.allowed, "%d requests of %d hosts", sent, hosts)
			assert.Assert(t, sent*hosts > 0 || tt.allowed < 2, "%d requests of %d hosts", sent, hosts)
			assert.Assert(t, throttle.NextCold(st, now, ep, hosts) <= throttle.DefaultConfig().TTL)
			few, _ := throttle.ColdHosts(st, ep, 1)
			assert.Assert(t, few <= 1)
		})
	}
}

// TestColdGrants guards against schedulers that together grant a cold engine more than it takes:
// each side of a partition has one, and what they grant in two seconds may arrive within one.
func TestColdGrants(t *testing.T) {
	for _, tt := range coldCases {
		st := newCold(tt.perSecond, tt.overrun, tt.slack)
		for _, schedulers := range []int{1, 2, 3, 4, 83} {
			perSecond, cold := throttle.ColdGrants(st, ep, schedulers)
			assert.Assert(t, cold && perSecond <= tt.perSecond)
			granted := float64(schedulers) * (1 + 2*perSecond) // the first is saved up
			assert.Assert(t, granted <= float64(tt.allowed)+0.001 || perSecond == 0, "%v: %g granted", tt, granted)
			assert.Assert(t, perSecond > 0 || tt.allowed <= schedulers, "%v: nothing granted", tt)
		}
	}
}

// TestSetCold guards against an endpoint that stays limited when it is warm, against a part that
// is filled again with each table, and against limits of deployments without the bound.
func TestSetCold(t *testing.T) {
	st := newCold(20, 1.5, 5)
	assert.Assert(t, !throttle.SetCold(st, start.Add(time.Second), map[id.Endpoint]float64{ep: 20}))
	assert.Assert(t, throttle.AllowsCold(st, start.Add(time.Minute), ep, 10), "the part is still from the start")
	assert.Assert(t, throttle.SetCold(st, start, nil))
	_, cold := throttle.ColdGrants(st, ep, 1)
	assert.Assert(t, !cold)
	assert.Equal(t, throttle.ColdEndpoints(newCold(20, 0, 0)), 0)
}

// TestHugeColdRate guards against a rate so large that the number of hosts overflows, or that the
// part of a host is no number: the endpoint would get nothing, or a host would end.
func TestHugeColdRate(t *testing.T) {
	for _, perSecond := range []float64{1e19, math.MaxFloat64} {
		st := newCold(perSecond, 1.5, 5)
		hosts, _ := throttle.ColdHosts(st, ep, 83)
		assert.Equal(t, hosts, 83)
		assert.Assert(t, throttle.AllowsCold(st, start.Add(time.Minute), ep, hosts), "%g per second", perSecond)
		granted, _ := throttle.ColdGrants(st, ep, 2)
		assert.Assert(t, granted > 0)
	}
}
