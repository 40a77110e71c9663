package core

import (
	"fmt"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/order"
)

func (s *step) objectRead(ev ObjectRead) {
	if !s.acceptAnswer(ev.Kind, ev.SentEra, ev.Era) {
		return
	}
	r := object.ReadResult{Name: ev.Name, Version: ev.Version, Value: ev.Value, Failed: ev.Failed}
	switch ev.Kind {
	case object.KindManifest:
		s.manifestRead(ev)
	case object.KindSegment:
		s.segmentRead(ev)
	case object.KindLease:
		s.limitActions(limit.HandleRead(s.limit, s.now, r))
	case object.KindClaim:
		s.claimActions(claim.HandleRead(s.claims, s.now, r))
	case object.KindOrder:
		s.orderActions(order.HandleRead(s.orders, s.now, r))
	}
}

func (s *step) objectWritten(ev ObjectWritten) {
	if !s.acceptAnswer(ev.Kind, ev.SentEra, ev.Era) {
		return
	}
	w := object.WriteResult{Name: ev.Name, Version: ev.Version, Outcome: ev.Outcome}
	switch ev.Kind {
	case object.KindLease:
		s.limitActions(limit.HandleWrite(s.limit, s.now, w))
	case object.KindClaim:
		s.claimActions(claim.HandleWrite(s.claims, s.now, w))
	case object.KindOrder:
		s.orderActions(order.HandleWrite(s.orders, s.now, w))
	}
}

func (s *step) limitActions(actions []limit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limit.ReadLease:
			s.emit(ReadObject{Kind: object.KindLease, Name: a.Group, Era: s.storeEra})
		case limit.WriteLease:
			s.emit(WriteObject{
				Kind: object.KindLease, Name: a.Group, IfVersion: a.IfVersion, Value: a.Value, Era: s.storeEra,
			})
		case limit.Send:
			s.send(a.To, a.Message)
		}
	}
}

func (s *step) claimActions(actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Read:
			s.emit(ReadObject{Kind: object.KindClaim, Name: a.Name})
		case claim.Write:
			s.emit(WriteObject{Kind: object.KindClaim, Name: a.Name, IfVersion: a.IfVersion, Value: a.Value})
		case claim.Send:
			s.send(a.To, a.Message)
		case claim.Result:
			s.claimResult(a)
		}
	}
}

func (s *step) orderActions(actions []order.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case order.Read:
			s.emit(ReadObject{Kind: object.KindOrder, Name: a.Name, Era: s.storeEra})
		case order.Write:
			s.emit(WriteObject{
				Kind: object.KindOrder, Name: a.Name, IfVersion: a.IfVersion, Value: a.Value, Era: s.storeEra,
			})
		case order.SendOrder:
			s.sendOrder(a)
		}
	}
}

func (s *step) sendOrder(a order.SendOrder) {
	ep, ok := s.snapshot().Endpoints[a.Endpoint]
	if !ok {
		return
	}
	s.emit(Log{
		Level: LogInfo, Component: partOrder, Text: "Order sent.", Code: a.Order.Kind,
		Trace: fmt.Sprintf("endpoint %s, role %s, fence %d", a.Endpoint, a.Order.Role, a.Order.Fence),
	})
	s.emit(SendOrder{Endpoint: a.Endpoint, Address: ep.Address, Order: a.Order, NotAfter: a.NotAfter})
}

func (s *step) orderAnswered(ev OrderAnswered) {
	s.orderActions(order.HandleResult(s.orders, s.now, order.Result{
		Endpoint: ev.Endpoint, Fence: ev.Fence, Done: ev.Done, Stale: ev.Stale,
	}))
}

// endpointDown records that an endpoint could not be reached. It may come back as a new
// process that does not know its orders.
func (s *step) endpointDown(ep id.Endpoint) {
	s.unreachable[ep] = true
}

// endpointUp repeats the orders of an endpoint that is reachable again.
func (s *step) endpointUp(ep id.Endpoint) {
	if !s.unreachable[ep] {
		return
	}
	delete(s.unreachable, ep)
	s.orderActions(order.HandleRestart(s.orders, s.now, ep))
}
