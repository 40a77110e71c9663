// Package fault holds the fault switches of the stand-ins.
package fault

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// The kinds of faults. Value has the unit given with each kind.
const (
	// Platform.
	Outage    = "outage"     // every call gets 503, pending watches too
	LostReply = "lost-reply" // share of writes that take effect without a reply, 0 to 1
	Delay     = "delay"      // ms before a call is handled; also of services

	// Engines.
	StallTransfer   = "stall-transfer"   // KV transfers make no progress
	BreakStream     = "break-stream"     // every stream is cut after this many tokens
	DuplicateChunks = "duplicate-chunks" // every chunk is sent twice
	ReorderChunks   = "reorder-chunks"   // every two successive chunks, also the last one, change places
	Slow            = "slow"             // factor on the time of prefill and decode

	// Engines and services.
	Die = "die" // listener and connections close and all state is lost, for the duration

	// Engines and hosts.
	Leaving = "leaving"

	// Zones.
	Cut = "cut" // no calls to the platform, no batches from or to other zones through relays

	// Hosts.
	Removed = "removed" // missing from the host list

	// Services.
	DropReply = "drop-reply" // share of calls that are executed without a reply, 0 to 1
	Refuse    = "refuse"     // calls are refused with Not-Run

	// Clear ends the faults of the target, or all faults if the target is empty.
	Clear = "clear"
)

// The kinds that fire for a share of calls.
var shared = []string{LostReply, DropReply}

// seed makes runs repeat the same choices.
const seed = 1

// Fault is one switch that is on.
type Fault struct {
	Target   string  `json:"target"`
	Kind     string  `json:"kind"`
	Value    float64 `json:"value,omitempty"`
	Duration int64   `json:"duration-ms,omitempty"` // 0 is until cleared
	Count    int     `json:"count,omitempty"`       // ends after it fired so often; 0 is no limit
}

type key struct{ target, kind string }

type active struct {
	fault Fault
	fired int
	timer *time.Timer
}

// Switches holds the faults that are on. It is safe for concurrent use.
type Switches struct {
	mu      sync.Mutex
	kinds   map[string][]string // by target
	hooks   map[key]func(on bool)
	on      map[key]*active
	random  *rand.Rand
	changed chan struct{}
}

// New returns switches that are all off.
func New() *Switches {
	return &Switches{
		kinds:   map[string][]string{},
		hooks:   map[key]func(on bool){},
		on:      map[key]*active{},
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// Allow declares the kinds of faults that target can have.
func (s *Switches) Allow(target string, kinds ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[target] = append(s.kinds[target], kinds...)
}

// Hook sets the function that runs when the fault is switched on or off.
func (s *Switches) Hook(target, kind string, run func(on bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks[key{target, kind}] = run
}

// Apply switches f on. It returns an error if the target or its kind is unknown
// or the value is out of range.
func (s *Switches) Apply(f Fault) error {
	if f.Kind == Clear {
		return s.clear(f.Target)
	}
	if err := s.check(f); err != nil {
		return err
	}
	k := key{f.Target, f.Kind}
	a := &active{fault: f}
	s.mu.Lock()
	s.end(k)
	s.on[k] = a
	if f.Duration > 0 {
		a.timer = time.AfterFunc(time.Duration(f.Duration)*time.Millisecond, func() { s.expire(k, a) })
	}
	s.notify()
	hook := s.hooks[k]
	s.mu.Unlock()
	if hook != nil {
		hook(true)
	}
	return nil
}

func (s *Switches) check(f Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	kinds, ok := s.kinds[f.Target]
	if !ok {
		return fmt.Errorf("unknown target %q", f.Target)
	}
	if !slices.Contains(kinds, f.Kind) {
		return fmt.Errorf("target %q has no fault %q", f.Target, f.Kind)
	}
	if f.Value < 0 || f.Duration < 0 || f.Count < 0 {
		return fmt.Errorf("fault %q: value, duration-ms and count must not be negative", f.Kind)
	}
	if slices.Contains(shared, f.Kind) && (f.Value == 0 || f.Value > 1) {
		return fmt.Errorf("fault %q: value must be above 0 and at most 1", f.Kind)
	}
	if f.Kind == Slow && f.Value == 0 {
		return fmt.Errorf("fault %q: value must be above 0", f.Kind)
	}
	return nil
}

func (s *Switches) clear(target string) error {
	var hooks []func(on bool)
	s.mu.Lock()
	if _, ok := s.kinds[target]; !ok && target != "" {
		s.mu.Unlock()
		return fmt.Errorf("unknown target %q", target)
	}
	for k := range s.on {
		if target != "" && k.target != target {
			continue
		}
		s.end(k)
		if hook := s.hooks[k]; hook != nil {
			hooks = append(hooks, hook)
		}
	}
	s.notify()
	s.mu.Unlock()
	for _, hook := range hooks {
		hook(false)
	}
	return nil
}

func (s *Switches) expire(k key, a *active) {
	s.mu.Lock()
	if s.on[k] != a {
		s.mu.Unlock()
		return
	}
	s.end(k)
	s.notify()
	hook := s.hooks[k]
	s.mu.Unlock()
	if hook != nil {
		hook(false)
	}
}

// end switches a fault off. The caller holds mu.
func (s *Switches) end(k key) {
	a, ok := s.on[k]
	if !ok {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	delete(s.on, k)
}

// notify wakes those that wait on Changed. The caller holds mu.
func (s *Switches) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of any switch.
func (s *Switches) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Value returns the value of a fault and whether it is on.
func (s *Switches) Value(target, kind string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.on[key{target, kind}]
	if !ok {
		return 0, false
	}
	return a.fault.Value, true
}

// On tells whether a fault is on.
func (s *Switches) On(target, kind string) bool {
	_, ok := s.Value(target, kind)
	return ok
}

// Fires tells whether a fault hits this call. It honours the count of the fault
// and, for kinds with a share, draws at random.
func (s *Switches) Fires(target, kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{target, kind}
	a, ok := s.on[k]
	if !ok {
		return false
	}
	if slices.Contains(shared, kind) && s.random.Float64() >= a.fault.Value {
		return false
	}
	a.fired++
	if a.fault.Count > 0 && a.fired >= a.fault.Count {
		s.end(k)
		s.notify()
	}
	return true
}

// Active returns the faults that are on, sorted by target and kind.
func (s *Switches) Active() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Fault, 0, len(s.on))
	for _, a := range s.on {
		out = append(out, a.fault)
	}
	slices.SortFunc(out, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}
