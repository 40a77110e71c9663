package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// slowStartSteps is the resolution at which calls are admitted to a returning endpoint.
const slowStartSteps = 1024

// endpointsChanged drops what is known about endpoints that have left the table, and records
// those that are in use again or cold.
func (s *step) endpointsChanged(prev *table.Snapshot) {
	s.forgetEngines()
	s.forgetNotices()
	s.recordReturns(prev)
	s.setCold()
}

// recordReturns records the endpoints that were leaving in the previous table and are not any
// more, because the evacuation of their zone has ended. All hosts would otherwise send their
// load to them at once, as these endpoints have the most room.
func (s *step) recordReturns(prev *table.Snapshot) {
	for name, at := range s.returnedAt {
		ep, ok := s.snapshot().Endpoints[name]
		if !ok || ep.State != table.StateActive || s.now.Sub(at) >= schedule.SlowStartTime {
			delete(s.returnedAt, name)
		}
	}
	if prev == nil || !s.cfg.SlowStart {
		return
	}
	for name, ep := range s.snapshot().Endpoints {
		if old, ok := prev.Endpoints[name]; ok && old.State == table.StateLeaving && ep.State == table.StateActive {
			s.returnedAt[name] = s.now
		}
	}
}

// slowStartLeft returns how much longer an endpoint gets only a growing part of its load.
func (s *step) slowStartLeft(ep id.Endpoint) time.Duration {
	at, ok := s.returnedAt[ep]
	if !ok {
		return 0
	}
	return max(0, schedule.SlowStartTime-s.now.Sub(at))
}

// withoutReturning removes the endpoints that have just returned and are not to get this call.
// The part of the calls that they may get grows evenly. If no other endpoint is left, they get
// all calls.
func (s *step) withoutReturning(r *request, eps []table.Endpoint) []table.Endpoint {
	if len(s.returnedAt) == 0 {
		return eps
	}
	out := make([]table.Endpoint, 0, len(eps))
	for _, ep := range eps {
		excluded := float64(s.slowStartLeft(ep.Name)) / float64(schedule.SlowStartTime)
		if float64(xxhash.Sum64String(string(ep.Name)+string(r.Request))%slowStartSteps) >= excluded*slowStartSteps {
			out = append(out, ep)
		}
	}
	if len(out) == 0 {
		return eps
	}
	return out
}
