// Package order sends fenced orders (role changes and model loads) to the endpoints
// of one zone.
//
// One host of each zone holds the order lease, a platform object that also carries
// the fencing token. The token increases with each new holder. The holder counts
// its lease from before it sent the write, on its own clock, shortened by
// Config.Margin, and checks the lease before each order. Any other host waits for
// the full lease plus Config.Margin from its first read of a version before it
// acquires the lease. Wall clocks are never compared.
//
// An endpoint that checks the token refuses orders of earlier holders. For an
// endpoint that ignores it, a new holder also waits for Config.MaxDeliveryDelay, so
// that the last order of the previous holder has either arrived or been lost. Only
// idempotent orders are sent, one at a time to each endpoint.
//
// Each Read, Write and SendOrder must be answered exactly once, a SendOrder within
// Config.MaxDeliveryDelay after its NotAfter.
package order

import (
	"fmt"
	"sort"
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed order.
	minBackoff = time.Second
	maxBackoff = time.Minute
	// maxPlatformBackoff bounds the backoff after a failed platform call. It is
	// below half of the default lease, so that the lease survives one failed
	// renewal.
	maxPlatformBackoff = 4 * time.Second
	// maxOutstandingOrders bounds the orders that are in flight to all endpoints.
	// Orders to load a model read from the weight store, which is rate-limited.
	maxOutstandingOrders = 32
)

// Values of engine.Order.Kind.
const (
	kindRole = "role"
	kindLoad = "load"
)

// Config holds the settings of one host.
type Config struct {
	Host             id.Host
	Incarnation      id.Incarnation
	Zone             id.Zone
	Lease            time.Duration // duration of the order lease
	Margin           time.Duration // allowance for clocks that run at different rates
	MaxDeliveryDelay time.Duration // longest time from sending an order to its effect
	// LetLeaseExpire lets a lease that is no longer needed expire instead of releasing
	// it, so that holders do not change in quick succession.
	LetLeaseExpire bool
}

// DesiredState is the desired state of an endpoint.
type DesiredState struct {
	Endpoint id.Endpoint
	Role     table.Role
	Model    id.Model // empty to load none
	Version  string
	Fencing  table.Fencing
}

// Action is an operation that the caller of the package must carry out.
type Action interface{ isAction() }

// Read requests a read of an object of kind order.
type Read struct{ Name string }

// Write requests a conditional update of an object of kind order.
type Write struct {
	Name      string
	IfVersion uint64 // 0 creates the object
	Value     []byte
}

// SendOrder requests that an order be sent to an endpoint, unless NotAfter has
// passed.
type SendOrder struct {
	Endpoint id.Endpoint
	Order    engine.Order
	NotAfter time.Time
}

func (Read) isAction()      {}
func (Write) isAction()     {}
func (SendOrder) isAction() {}

// Result is the answer to a SendOrder. If neither Done nor Stale is set, the order
// failed, was not sent or got no answer.
type Result struct {
	Endpoint id.Endpoint
	Fence    uint64 // fencing token of the order
	Done     bool   // the endpoint has carried out the order
	Stale    bool   // the endpoint has seen a higher fencing token
}

// target is one endpoint with its desired state and the progress of its orders.
type target struct {
	desired        DesiredState
	confirmed      int  // number of orders that the endpoint has confirmed
	inFlight       bool // an order has been sent and not answered
	matchesDesired bool // the order in flight was sent for the present value of desired
	fence          uint64
	sentAt         time.Time
	notBefore      time.Time // no order before this time
	backoff        time.Duration
}

// State holds the order lease and the targets of one host.
type State struct {
	cfg     Config
	era     uint64 // of the store; 0 if it is unknown
	leader  bool   // this host should hold the order lease
	targets map[id.Endpoint]*target
	lease   lease
}

// DefaultConfig returns the default durations. Host, Incarnation and Zone are
// unset.
func DefaultConfig() Config {
	return Config{
		Lease:            10 * time.Second,
		Margin:           time.Second,
		MaxDeliveryDelay: 5 * time.Second,
	}
}

// New returns the state of a host that has just started.
func New(cfg Config) *State {
	return &State{cfg: cfg, targets: map[id.Endpoint]*target{}}
}

// SetDesiredStates sets the desired state of the endpoints of the zone. If leader is
// true, this host should hold the order lease. Otherwise it releases the lease, or
// lets it expire if Config.LetLeaseExpire is set. Plain services take no orders and
// are skipped.
func SetDesiredStates(s *State, now time.Time, desiredStates []DesiredState, leader bool) []Action {
	s.leader = leader
	isDesired := map[id.Endpoint]bool{}
	for _, d := range desiredStates {
		if d.Role == table.RoleService {
			continue
		}
		isDesired[d.Endpoint] = true
		setDesired(s, d)
	}
	for e, t := range s.targets {
		if isDesired[e] {
			continue
		}
		setDesired(s, DesiredState{Endpoint: e})
		if !t.inFlight && !now.Before(t.notBefore) {
			delete(s.targets, e)
		}
	}
	return Tick(s, now)
}

// setDesired sets the desired state of one endpoint. If the state changes, all its
// orders are sent again.
func setDesired(s *State, d DesiredState) {
	t, ok := s.targets[d.Endpoint]
	if !ok {
		t = &target{}
		s.targets[d.Endpoint] = t
	}
	if t.desired == d {
		return
	}
	t.desired = d
	resetProgress(t)
}

// resetProgress causes all orders of a target to be sent again, after an order in
// flight has been answered.
func resetProgress(t *target) {
	t.confirmed = 0
	t.matchesDesired = false
	t.backoff = 0
}

// HandleRestart sends the orders of an endpoint again after the endpoint has
// restarted.
func HandleRestart(s *State, now time.Time, e id.Endpoint) []Action {
	if t, ok := s.targets[e]; ok {
		resetProgress(t)
	}
	return Tick(s, now)
}

// HandleResult processes the result of an order. An order that may still be in
// flight is not followed by another one before Config.MaxDeliveryDelay has passed.
func HandleResult(s *State, now time.Time, r Result) []Action {
	t, ok := s.targets[r.Endpoint]
	if !ok || !t.inFlight || t.fence != r.Fence {
		return nil
	}
	t.inFlight = false
	switch {
	case r.Done:
		t.backoff = 0
		if t.matchesDesired {
			t.confirmed++
		}
	case r.Stale:
		handleStaleFence(s, now, r.Fence)
		t.scheduleRetry(s.cfg, now)
	default:
		t.scheduleRetry(s.cfg, now)
	}
	return Tick(s, now)
}

// scheduleRetry sets the time of the next attempt with exponential backoff. That
// time is never before an order in flight has arrived or been lost.
func (t *target) scheduleRetry(cfg Config, now time.Time) {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.notBefore = now.Add(t.backoff)
	if arrived := t.sentAt.Add(cfg.MaxDeliveryDelay); t.notBefore.Before(arrived) {
		t.notBefore = arrived
	}
}

// Tick maintains the lease and sends the orders that are due.
func Tick(s *State, now time.Time) []Action {
	actions := maintainLease(s, now)
	return append(actions, sendOrders(s, now)...)
}

// sendOrders sends the next order to each endpoint that needs one, while the lease
// is valid.
func sendOrders(s *State, now time.Time) []Action {
	if !s.leader || !HoldsLease(s, now) {
		return nil
	}
	names := make([]id.Endpoint, 0, len(s.targets))
	outstanding := 0
	for e, t := range s.targets {
		names = append(names, e)
		if t.inFlight {
			outstanding++
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	var actions []Action
	for _, e := range names {
		t := s.targets[e]
		if !due(s, now, t) || outstanding >= maxOutstandingOrders {
			continue
		}
		outstanding++
		actions = append(actions, send(s, now, t))
	}
	return actions
}

// due reports whether the next order of a target may be sent.
func due(s *State, now time.Time, t *target) bool {
	if t.inFlight || now.Before(t.notBefore) || t.confirmed >= len(orders(t.desired)) {
		return false
	}
	if t.desired.Fencing == table.FencingChecked {
		return true
	}
	return !now.Before(s.lease.acquiredAt.Add(s.cfg.MaxDeliveryDelay))
}

// send returns the next order of a target and marks it as in flight.
func send(s *State, now time.Time, t *target) Action {
	t.inFlight = true
	t.matchesDesired = true
	t.sentAt = now
	t.fence = s.lease.fence
	o := orders(t.desired)[t.confirmed]
	o.Fence = t.fence
	return SendOrder{Endpoint: t.desired.Endpoint, Order: o, NotAfter: s.lease.validUntil}
}

// orders returns the orders that bring an endpoint to its desired state, in the
// order in which they are sent. An endpoint without a desired role gets none.
func orders(d DesiredState) []engine.Order {
	if d.Role == "" {
		return nil
	}
	out := []engine.Order{{Kind: kindRole, Role: string(d.Role)}}
	if d.Model != "" {
		out = append(out, engine.Order{Kind: kindLoad, Model: d.Model, Version: d.Version})
	}
	return out
}

// Check returns an error if the state violates an invariant of the package.
func Check(s *State) error {
	l := s.lease
	if l.reading && l.pendingWrite != nil {
		return fmt.Errorf("order: two platform calls outstanding")
	}
	if !l.validUntil.IsZero() && (!heldBySelf(s) || l.fence != l.stored.Fence) {
		return fmt.Errorf("order: lease of %q with fence %d is used by %q with fence %d", l.stored.Holder, l.stored.Fence, s.cfg.Host, l.fence)
	}
	for e, t := range s.targets {
		if t.inFlight && t.fence > l.fence {
			return fmt.Errorf("order: order to %q has fence %d, above the highest held fence %d", e, t.fence, l.fence)
		}
		if t.confirmed > len(orders(t.desired)) {
			return fmt.Errorf("order: %d confirmed orders for %q, more than it needs", t.confirmed, e)
		}
	}
	return nil
}
