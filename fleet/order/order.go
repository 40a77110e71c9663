// Package order sends fenced orders to the endpoints of one zone.
//
// One host of each zone holds the order lease, a platform object that also carries
// the fencing number. The number grows with each new holder. The holder counts its
// lease from before it sent the write, on its own clock, less Config.Margin, and
// checks it before each order. Any other host waits the full lease plus
// Config.Margin from its first read of a version before it takes over. No wall
// clocks are compared.
//
// An endpoint that checks the number refuses orders of earlier holders. For an
// endpoint that ignores it, a new holder also waits Config.MaxInFlight, so that the
// last order of the holder before has arrived or is lost. Only orders whose
// repetition does no harm are sent, one at a time to each endpoint.
//
// Each Read, Write and SendOrder must be answered exactly once, a SendOrder within
// Config.MaxInFlight after its NotAfter.
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
	// minRetry and maxRetry bound the back-off after a failed order.
	minRetry = time.Second
	maxRetry = time.Minute
	// maxReadRetry bounds the back-off after a failed platform call. It is below
	// half of the default lease, so that one failed renewal does not lose it.
	maxReadRetry = 4 * time.Second
	// maxOutstanding bounds the orders under way. Orders to load a model draw on
	// the rate-limited weight store.
	maxOutstanding = 32
)

// The kinds of orders.
const (
	kindRole = "role"
	kindLoad = "load"
)

// Config holds the settings of one host.
type Config struct {
	Host        id.Host
	Incarnation id.Incarnation
	Zone        id.Zone
	Lease       time.Duration // length of the order lease
	Margin      time.Duration // allowance for clocks of different rates
	MaxInFlight time.Duration // longest time from sending an order to its effect
	KeepLease   bool          // a lease that is no longer needed lapses; holders must not take turns quickly
}

// Want is the state that an endpoint should have.
type Want struct {
	Endpoint id.Endpoint
	Role     table.Role
	Model    id.Model // empty to load none
	Version  string
	Fencing  table.Fencing
}

// Action is what the caller of the package must do.
type Action interface{ isAction() }

// Read asks for an object of the kind order.
type Read struct{ Name string }

// Write asks for a conditional update of an object of the kind order.
type Write struct {
	Name      string
	IfVersion uint64 // 0 creates
	Value     []byte
}

// SendOrder sends an order to an endpoint, unless NotAfter has passed.
type SendOrder struct {
	Endpoint id.Endpoint
	Order    engine.Order
	NotAfter time.Time
}

func (Read) isAction()      {}
func (Write) isAction()     {}
func (SendOrder) isAction() {}

// Result is the answer to a SendOrder. Without Done and Stale the order has
// failed, was not sent or got no answer.
type Result struct {
	Endpoint id.Endpoint
	Fence    uint64 // of the order
	Done     bool   // the endpoint has carried out the order
	Stale    bool   // the endpoint knows a higher fencing number
}

// target is one endpoint with the progress of its orders.
type target struct {
	want    Want
	done    int  // confirmed orders
	sending bool // an order is outstanding
	current bool // the outstanding order belongs to want
	fence   uint64
	sent    time.Time
	next    time.Time // no order before this time
	backoff time.Duration
}

// State is the order work of one host.
type State struct {
	cfg     Config
	leader  bool
	targets map[id.Endpoint]*target
	lease   lease
}

// DefaultConfig returns the default times. Host, Incarnation and Zone are unset.
func DefaultConfig() Config {
	return Config{
		Lease:       10 * time.Second,
		Margin:      time.Second,
		MaxInFlight: 5 * time.Second,
	}
}

// New returns the state of a starting host.
func New(cfg Config) *State {
	return &State{cfg: cfg, targets: map[id.Endpoint]*target{}}
}

// SetWants sets the wanted state of the endpoints of the zone. Leader tells
// whether this host should hold the order lease; else it releases it. Plain
// services take no orders and are skipped.
func SetWants(s *State, now time.Time, wants []Want, leader bool) []Action {
	s.leader = leader
	wanted := map[id.Endpoint]bool{}
	for _, w := range wants {
		if w.Role == table.RoleService {
			continue
		}
		wanted[w.Endpoint] = true
		setWant(s, w)
	}
	for e, t := range s.targets {
		if wanted[e] {
			continue
		}
		setWant(s, Want{Endpoint: e})
		if !t.sending && !now.Before(t.next) {
			delete(s.targets, e)
		}
	}
	return Tick(s, now)
}

// setWant takes over one want. A change starts its orders again.
func setWant(s *State, w Want) {
	t, ok := s.targets[w.Endpoint]
	if !ok {
		t = &target{}
		s.targets[w.Endpoint] = t
	}
	if t.want == w {
		return
	}
	t.want = w
	restart(t)
}

// restart has all orders of a target sent again. An outstanding order still ends first.
func restart(t *target) {
	t.done = 0
	t.current = false
	t.backoff = 0
}

// HandleRestart has an endpoint that was restarted ordered again.
func HandleRestart(s *State, now time.Time, e id.Endpoint) []Action {
	if t, ok := s.targets[e]; ok {
		restart(t)
	}
	return Tick(s, now)
}

// HandleResult takes over the result of an order. An order that may still be under
// way is not followed by another one before Config.MaxInFlight has passed.
func HandleResult(s *State, now time.Time, r Result) []Action {
	t, ok := s.targets[r.Endpoint]
	if !ok || !t.sending || t.fence != r.Fence {
		return nil
	}
	t.sending = false
	switch {
	case r.Done:
		t.backoff = 0
		if t.current {
			t.done++
		}
	case r.Stale:
		lost(s, now, r.Fence)
		t.fail(s.cfg, now)
	default:
		t.fail(s.cfg, now)
	}
	return Tick(s, now)
}

// fail plans the next try.
func (t *target) fail(cfg Config, now time.Time) {
	t.backoff = min(max(2*t.backoff, minRetry), maxRetry)
	t.next = now.Add(t.backoff)
	if arrived := t.sent.Add(cfg.MaxInFlight); t.next.Before(arrived) {
		t.next = arrived
	}
}

// Tick keeps the lease and sends the orders that are due.
func Tick(s *State, now time.Time) []Action {
	actions := keepLease(s, now)
	return append(actions, sendOrders(s, now)...)
}

// sendOrders sends the next order to each endpoint that lacks one, while the lease
// is valid.
func sendOrders(s *State, now time.Time) []Action {
	if !s.leader || !Ready(s, now) {
		return nil
	}
	names := make([]id.Endpoint, 0, len(s.targets))
	outstanding := 0
	for e, t := range s.targets {
		names = append(names, e)
		if t.sending {
			outstanding++
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	var actions []Action
	for _, e := range names {
		t := s.targets[e]
		if !due(s, now, t) || outstanding >= maxOutstanding {
			continue
		}
		outstanding++
		actions = append(actions, send(s, now, t))
	}
	return actions
}

// due reports whether the next order of a target may be sent.
func due(s *State, now time.Time, t *target) bool {
	if t.sending || now.Before(t.next) || t.done >= len(orders(t.want)) {
		return false
	}
	if t.want.Fencing == table.FencingChecked {
		return true
	}
	return !now.Before(s.lease.acquired.Add(s.cfg.MaxInFlight))
}

// send returns the next order of a target.
func send(s *State, now time.Time, t *target) Action {
	t.sending = true
	t.current = true
	t.sent = now
	t.fence = s.lease.fence
	o := orders(t.want)[t.done]
	o.Fence = t.fence
	return SendOrder{Endpoint: t.want.Endpoint, Order: o, NotAfter: s.lease.until}
}

// orders returns the orders that bring an endpoint to its wanted state, in turn.
// An endpoint that is no longer wanted gets none.
func orders(w Want) []engine.Order {
	if w.Role == "" {
		return nil
	}
	out := []engine.Order{{Kind: kindRole, Role: string(w.Role)}}
	if w.Model != "" {
		out = append(out, engine.Order{Kind: kindLoad, Model: w.Model, Version: w.Version})
	}
	return out
}

// Check returns an error if the state breaks an invariant of the package.
func Check(s *State) error {
	l := s.lease
	if l.reading && l.writing != nil {
		return fmt.Errorf("order: two calls outstanding")
	}
	if !l.until.IsZero() && (!l.mine(s.cfg) || l.fence != l.stored.Fence) {
		return fmt.Errorf("order: lease of %q with fence %d is used by %q with fence %d", l.stored.Holder, l.stored.Fence, s.cfg.Host, l.fence)
	}
	for e, t := range s.targets {
		if t.sending && t.fence > l.fence {
			return fmt.Errorf("order: order to %q has fence %d above %d", e, t.fence, l.fence)
		}
		if t.done > len(orders(t.want)) {
			return fmt.Errorf("order: %d confirmed orders for %q", t.done, e)
		}
	}
	return nil
}
