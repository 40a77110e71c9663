// Package fault injects faults into the stand-ins. Tests switch faults on and off
// through the control address; the stand-ins query the Injector for the active ones.
package fault

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// The kinds of faults, grouped by the targets that can have them. Where a kind
// uses Fault.Value, its comment states the meaning and unit of the value.
const (
	// Platform.
	Outage    = "outage"     // every call fails with status 503, pending watches included
	LostReply = "lost-reply" // probability (0 to 1) that a write takes effect but gets no reply
	Delay     = "delay"      // delay in ms before each call is handled; also for services

	// Engines.
	StallTransfer   = "stall-transfer"   // KV cache transfers make no progress
	BreakStream     = "break-stream"     // every stream breaks after this number of tokens
	DuplicateChunks = "duplicate-chunks" // every chunk is sent twice
	ReorderChunks   = "reorder-chunks"   // every two consecutive chunks are swapped, the last chunk included
	Slow            = "slow"             // factor on the duration of prefill and decode

	// Engines and services.
	Die = "die" // the listener and all connections close and all state is lost; restarts when the fault ends

	// Engines and hosts.
	Leaving = "leaving" // the engine's load report or the host list shows that it is leaving

	// Zones.
	Cut = "cut" // partition: no calls to the platform, no message batches through relays from or to other zones

	// Hosts.
	Removed = "removed" // the host is missing from the host list

	// Services.
	DropReply = "drop-reply" // probability (0 to 1) that a call is executed but gets no reply
	Refuse    = "refuse"     // calls are rejected with the header Not-Run

	// Clear is not a fault: it ends the faults of the target, or all faults if the
	// target is empty.
	Clear = "clear"
)

// probabilistic lists the kinds that affect each call with the probability Fault.Value.
var probabilistic = []string{LostReply, DropReply}

// seed is fixed, so that each run draws the same sequence of random numbers.
const seed = 1

// Fault is a request to activate a fault, or an active fault.
type Fault struct {
	Target   string  `json:"target"`
	Kind     string  `json:"kind"`
	Value    float64 `json:"value,omitempty"`
	Duration int64   `json:"duration-ms,omitempty"` // 0 means until it is cleared
	Count    int     `json:"count,omitempty"`       // number of affected calls after which the fault ends; 0 means no limit
}

type key struct{ target, kind string }

type activeFault struct {
	fault Fault
	fired int
	timer *time.Timer
}

// Injector holds the active faults, at most one for each pair of target and kind.
// It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	kinds   map[string][]string // allowed kinds by target
	hooks   map[key]func(active bool)
	active  map[key]*activeFault
	random  *rand.Rand
	changed chan struct{}
}

// New returns an Injector without targets and active faults.
func New() *Injector {
	return &Injector{
		kinds:   map[string][]string{},
		hooks:   map[key]func(active bool){},
		active:  map[key]*activeFault{},
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// Register declares the kinds of faults that target can have.
func (i *Injector) Register(target string, kinds ...string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.kinds[target] = append(i.kinds[target], kinds...)
}

// Hook sets the function that is called when the fault becomes active or ends.
func (i *Injector) Hook(target, kind string, onChange func(active bool)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hooks[key{target, kind}] = onChange
}

// Apply activates f and replaces an active fault of the same target and kind. If
// f.Kind is Clear, it ends faults instead. It returns an error if the target or
// its kind is unknown or the value is out of range.
func (i *Injector) Apply(f Fault) error {
	if f.Kind == Clear {
		return i.clear(f.Target)
	}
	if err := i.check(f); err != nil {
		return err
	}
	k := key{f.Target, f.Kind}
	a := &activeFault{fault: f}
	i.mu.Lock()
	i.deactivate(k)
	i.active[k] = a
	if f.Duration > 0 {
		a.timer = time.AfterFunc(time.Duration(f.Duration)*time.Millisecond, func() { i.expire(k, a) })
	}
	i.notify()
	hook := i.hooks[k]
	i.mu.Unlock()
	if hook != nil {
		hook(true)
	}
	return nil
}

func (i *Injector) check(f Fault) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	kinds, ok := i.kinds[f.Target]
	if !ok {
		return fmt.Errorf("unknown target %q", f.Target)
	}
	if !slices.Contains(kinds, f.Kind) {
		return fmt.Errorf("target %q has no fault %q", f.Target, f.Kind)
	}
	if f.Value < 0 || f.Duration < 0 || f.Count < 0 {
		return fmt.Errorf("fault %q: value, duration-ms and count must not be negative", f.Kind)
	}
	if slices.Contains(probabilistic, f.Kind) && (f.Value == 0 || f.Value > 1) {
		return fmt.Errorf("fault %q: value must be above 0 and at most 1", f.Kind)
	}
	if f.Kind == Slow && f.Value == 0 {
		return fmt.Errorf("fault %q: value must be above 0", f.Kind)
	}
	return nil
}

func (i *Injector) clear(target string) error {
	var hooks []func(active bool)
	i.mu.Lock()
	if _, ok := i.kinds[target]; !ok && target != "" {
		i.mu.Unlock()
		return fmt.Errorf("unknown target %q", target)
	}
	for k := range i.active {
		if target != "" && k.target != target {
			continue
		}
		i.deactivate(k)
		if hook := i.hooks[k]; hook != nil {
			hooks = append(hooks, hook)
		}
	}
	i.notify()
	i.mu.Unlock()
	for _, hook := range hooks {
		hook(false)
	}
	return nil
}

func (i *Injector) expire(k key, a *activeFault) {
	i.mu.Lock()
	if i.active[k] != a {
		i.mu.Unlock()
		return
	}
	i.deactivate(k)
	i.notify()
	hook := i.hooks[k]
	i.mu.Unlock()
	if hook != nil {
		hook(false)
	}
}

// deactivate ends a fault without calling its hook. The caller holds mu.
func (i *Injector) deactivate(k key) {
	a, ok := i.active[k]
	if !ok {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	delete(i.active, k)
}

// notify wakes the goroutines that wait for Changed. The caller holds mu.
func (i *Injector) notify() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the set of active faults changes.
func (i *Injector) Changed() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.changed
}

// Value returns the value of a fault and whether the fault is active.
func (i *Injector) Value(target, kind string) (float64, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a, ok := i.active[key{target, kind}]
	if !ok {
		return 0, false
	}
	return a.fault.Value, true
}

// IsActive reports whether a fault is active.
func (i *Injector) IsActive(target, kind string) bool {
	_, ok := i.Value(target, kind)
	return ok
}

// Fires reports whether a fault affects the current call. For probabilistic kinds
// it draws at random. It counts the affected calls and ends the fault when its
// Count is reached.
func (i *Injector) Fires(target, kind string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	k := key{target, kind}
	a, ok := i.active[k]
	if !ok {
		return false
	}
	if slices.Contains(probabilistic, kind) && i.random.Float64() >= a.fault.Value {
		return false
	}
	a.fired++
	if a.fault.Count > 0 && a.fired >= a.fault.Count {
		i.deactivate(k)
		i.notify()
	}
	return true
}

// Active returns the active faults, sorted by target and kind.
func (i *Injector) Active() []Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := make([]Fault, 0, len(i.active))
	for _, a := range i.active {
		out = append(out, a.fault)
	}
	slices.SortFunc(out, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}
