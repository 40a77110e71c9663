package schedule_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// TestMain fixes the seed of the randomised runs; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000"), flag.Set("rapid.nofailfile", "true"), flag.Set("rapid.shrinktime", "5s"))
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// key names one attempt.
type key struct {
	request id.Request
	attempt id.Attempt
}

// held is a grant that, as far as the cell was told, is in use.
type held struct {
	grant  message.SlotGrant
	ask    message.SlotAsk
	host   id.Host
	heard  time.Duration
	decode bool // the prefill endpoint is free
}

// side is one cell and what the test knows of it.
type side struct {
	cell    *schedule.Cell
	asked   map[key]message.SlotAsk
	hosts   map[key]id.Host
	grants  map[key]message.SlotGrant
	refused map[key]bool
	closed  map[key]bool // told done, cancelled, replaced or of a dead host
	ledger  map[key]*held
	failed  map[id.Endpoint]time.Duration // no grants before
}

// world has two cells over the same endpoints, as during a partition.
type world struct {
	*rapid.T
	now    time.Duration
	cfg    schedule.Config
	eps    []schedule.Endpoint
	report map[id.Endpoint]bool // leaving by report
	sides  []*side
	n      int
}

func newWorld(t *rapid.T) *world {
	w := &world{T: t, cfg: schedule.DefaultConfig(), report: make(map[id.Endpoint]bool)}
	w.cfg.MaxQueue = 12
	w.cfg.MaxDeferrableWait = 20 * time.Second
	for i := range 3 {
		p := prefill(fmt.Sprintf("p%d", i))
		p.Blocks = 5
		w.eps = append(w.eps, p, decode(fmt.Sprintf("d%d", i), int64(1+i), int64(4+4*i)))
	}
	for i := range 2 {
		s := &side{
			cell:  schedule.New(w.cfg, "m", t0, i == 1),
			asked: make(map[key]message.SlotAsk), hosts: make(map[key]id.Host), grants: make(map[key]message.SlotGrant),
			refused: make(map[key]bool), closed: make(map[key]bool), ledger: make(map[key]*held),
			failed: make(map[id.Endpoint]time.Duration),
		}
		w.sides = append(w.sides, s)
		w.handle(s, schedule.SetEndpoints(s.cell, t0, w.eps))
	}
	return w
}

func (w *world) find(name id.Endpoint) *schedule.Endpoint {
	i := slices.IndexFunc(w.eps, func(e schedule.Endpoint) bool { return e.Name == name })
	return &w.eps[i]
}

// handle checks the actions of a side and applies them to its ledger.
func (w *world) handle(s *side, acts []schedule.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case schedule.Cancel:
			delete(s.ledger, key{a.Request, a.Attempt})
		case schedule.Send:
			w.handleSend(s, a)
		}
	}
	if err := schedule.Check(s.cell); err != nil {
		w.Fatal(err)
	}
}

func (w *world) handleSend(s *side, a schedule.Send) {
	switch m := a.Message.(type) {
	case message.SlotRefuse:
		s.refused[key{m.Request, m.Attempt}] = true
		if s.ledger[key{m.Request, m.Attempt}] != nil {
			w.Fatalf("refused %v, which holds a grant", m)
		}
	case message.SlotGrant:
		k := key{m.Request, m.Attempt}
		old, again := s.grants[k]
		old.Valid, m.Valid = 0, 0
		if again && old != m {
			w.Fatalf("second grant %v after %v", m, old)
		}
		if _, ok := s.asked[k]; !ok || a.To != s.hosts[k] || s.closed[k] {
			w.Fatalf("grant %v to %v answers no open ask", m, a.To)
		}
		if again {
			return
		}
		s.grants[k] = m
		s.ledger[k] = &held{grant: m, ask: s.asked[k], host: a.To, heard: w.now}
		w.checkTarget(s, m.Prefill)
		w.checkTarget(s, m.Decode)
	}
}

// checkTarget checks that an endpoint that was just granted may get work and
// has room for all that the side has granted on it.
func (w *world) checkTarget(s *side, name id.Endpoint) {
	ep := w.find(name)
	if ep.Leaving || w.report[name] {
		w.Fatalf("grant to leaving endpoint %s", name)
	}
	if w.now < s.failed[name] {
		w.Fatalf("grant at %v to endpoint %s, which is backed off until %v", w.now, name, s.failed[name])
	}
	var slots, blocks int64
	for _, h := range s.ledger {
		tokens := h.ask.PromptTokens
		switch {
		case h.grant.Decode == name:
			tokens += h.ask.OutputTokens
		case h.grant.Prefill != name || h.decode:
			continue
		}
		slots++
		blocks += (tokens + ep.BlockTokens - 1) / ep.BlockTokens
	}
	if slots > ep.Slots || blocks > ep.Blocks {
		w.Fatalf("endpoint %s has %d slots and %d blocks granted of %d and %d", name, slots, blocks, ep.Slots, ep.Blocks)
	}
}

func (w *world) at() time.Time { return at(w.now) }

func (w *world) side() *side { return w.sides[rapid.IntRange(0, 1).Draw(w.T, "side")] }

func (w *world) host() id.Host {
	return rapid.SampledFrom([]id.Host{"h1", "h2", "h3"}).Draw(w.T, "host")
}

// ask sends a new ask, the ask of a further attempt, or an old one again.
func (w *world) ask() {
	s := w.side()
	w.n++
	m := ask(fmt.Sprintf("r%04d", w.n), output(rapid.Int64Range(1, 9000).Draw(w.T, "output")))
	m.PromptTokens = rapid.SampledFrom([]int64{10, 100, 900, 4000}).Draw(w.T, "prompt")
	m.Account = rapid.SampledFrom([]id.Account{"a", "b", "c"}).Draw(w.T, "account")
	m.Class = rapid.SampledFrom([]message.Class{message.ClassInteractive, message.ClassDeferrable}).Draw(w.T, "class")
	m.CanWait = rapid.Bool().Draw(w.T, "can wait")
	m.Avoid = rapid.SampledFrom([]id.Endpoint{"", "", "p0", "d2"}).Draw(w.T, "avoid")
	m.Prefix = rapid.Uint64Range(0, 3).Draw(w.T, "prefix")
	from := w.host()
	if old, ok := w.known(s); ok && rapid.Bool().Draw(w.T, "old") {
		from = s.hosts[old]
		m = s.asked[old]
		if rapid.Bool().Draw(w.T, "next attempt") {
			w.replace(s, old)
			m.Attempt++
		}
	}
	k := key{m.Request, m.Attempt}
	if prev, ok := s.asked[k]; ok {
		m = prev
		from = s.hosts[k]
	}
	s.asked[k] = m
	s.hosts[k] = from
	w.handle(s, schedule.HandleAsk(s.cell, w.at(), from, m))
}

// replace notes that a later attempt ends the earlier ones.
func (w *world) replace(s *side, k key) {
	for a := id.Attempt(1); a <= k.attempt; a++ {
		s.closed[key{k.request, a}] = true
	}
}

// known draws an attempt that the side was asked for lately. Messages that are
// later than EndedMemory are treated like new ones, which the test leaves out.
func (w *world) known(s *side) (key, bool) {
	var all []key
	for k := range s.asked {
		all = append(all, k)
	}
	if len(all) == 0 {
		return key{}, false
	}
	slices.SortFunc(all, func(a, b key) int { return slices.Compare([]byte(a.request), []byte(b.request)) })
	slices.SortStableFunc(all, func(a, b key) int { return int(a.attempt) - int(b.attempt) })
	return rapid.SampledFrom(all).Draw(w.T, "attempt"), true
}

func (w *world) update() {
	s := w.side()
	k, ok := w.known(s)
	if !ok {
		return
	}
	m := message.SlotUpdate{Request: k.request, Attempt: k.attempt, Tokens: rapid.Int64Range(0, 50).Draw(w.T, "tokens")}
	m.Phase = message.Phase(rapid.IntRange(1, 4).Draw(w.T, "phase"))
	h := s.ledger[k]
	switch {
	case m.Phase >= message.PhaseDone:
		delete(s.ledger, k)
		w.replace(s, k)
	case h != nil:
		h.heard = w.now
		h.decode = h.decode || m.Phase == message.PhaseDecode
	}
	w.handle(s, schedule.HandleUpdate(s.cell, w.at(), s.hosts[k], m))
}

// hold refreshes an attempt at its own cell, or registers it at the other one.
func (w *world) hold() {
	s := w.side()
	k, ok := w.known(s)
	g, granted := s.grants[k]
	if !ok || !granted || s.closed[k] {
		return
	}
	m := message.SlotHold{Request: k.request, Attempt: k.attempt, Prefill: g.Prefill, Decode: g.Decode}
	m.PromptTokens, m.OutputTokens = s.asked[k].PromptTokens, s.asked[k].OutputTokens
	m.Phase = message.Phase(rapid.IntRange(1, 2).Draw(w.T, "phase"))
	if h := s.ledger[k]; h != nil {
		h.heard = w.now
		h.decode = h.decode || m.Phase == message.PhaseDecode
	}
	to := s
	if rapid.Bool().Draw(w.T, "other cell") {
		to = w.sides[0]
		if to == s {
			to = w.sides[1]
		}
		if to.asked[k].Request != "" {
			return // the same attempt is never asked for at two cells
		}
	}
	w.handle(to, schedule.HandleHold(to.cell, w.at(), s.hosts[k], m))
}

func (w *world) hostGone() {
	s := w.side()
	h := w.host()
	for k, host := range s.hosts {
		if host == h {
			w.replace(s, k)
		}
	}
	w.handle(s, schedule.HostGone(s.cell, w.at(), h))
	for k, l := range s.ledger {
		if l.host == h {
			w.Fatalf("%v is held for dead host %s", k, h)
		}
	}
}

func (w *world) endpointFailed() {
	s := w.side()
	name := rapid.SampledFrom(w.eps).Draw(w.T, "endpoint").Name
	s.failed[name] = max(s.failed[name], w.now+w.cfg.BackOff)
	w.handle(s, schedule.EndpointFailed(s.cell, w.at(), name))
}

func (w *world) changeEndpoint() {
	ep := &w.eps[rapid.IntRange(0, len(w.eps)-1).Draw(w.T, "endpoint")]
	ep.Leaving = !ep.Leaving
	if ep.Role == table.RoleDecode {
		ep.Slots = rapid.Int64Range(1, 4).Draw(w.T, "slots")
	}
	for _, s := range w.sides {
		w.handle(s, schedule.SetEndpoints(s.cell, w.at(), w.eps))
	}
}

func (w *world) reportLoad() {
	ep := rapid.SampledFrom(w.eps).Draw(w.T, "endpoint")
	r := schedule.Report{Endpoint: ep.Name, FreeBlocks: rapid.Int64Range(0, 4).Draw(w.T, "blocks")}
	r.Leaving = rapid.IntRange(0, 5).Draw(w.T, "leaving") == 0
	if k, ok := w.known(w.side()); ok {
		r.Runs = append(r.Runs, schedule.Run{Request: k.request, Attempt: k.attempt})
	}
	w.report[ep.Name] = r.Leaving
	for _, s := range w.sides {
		w.handle(s, schedule.HandleReport(s.cell, w.at(), r))
	}
}

func (w *world) cacheEvent() {
	s := w.side()
	schedule.HandleCacheEvent(s.cell, "p1", rapid.Uint64Range(0, 3).Draw(w.T, "prefix"), rapid.Bool().Draw(w.T, "evicted"))
}

func (w *world) pass() { w.tick(time.Duration(rapid.Int64Range(1, 400).Draw(w.T, "ms")) * ms) }

func (w *world) tick(d time.Duration) {
	w.now += d
	for _, s := range w.sides {
		w.handle(s, schedule.Tick(s.cell, w.at()))
		for k, h := range s.ledger {
			if w.now-h.heard > w.cfg.HoldLapse+w.cfg.SweepTime {
				w.Fatalf("%v is held %v after its last sign of life", k, w.now-h.heard)
			}
		}
	}
}

// settle repairs everything and expects an answer to each open ask, and no
// reservation in the end.
func (w *world) settle() {
	for i := range w.eps {
		w.eps[i].Leaving = false
		clear(w.report)
		for _, s := range w.sides {
			w.handle(s, schedule.HandleReport(s.cell, w.at(), schedule.Report{Endpoint: w.eps[i].Name}))
		}
	}
	var slots int64
	for _, s := range w.sides {
		w.handle(s, schedule.SetEndpoints(s.cell, w.at(), w.eps))
	}
	for range 300 {
		w.tick(100 * ms)
	}
	for _, e := range w.eps {
		if e.Role == table.RoleDecode {
			slots += e.Slots
		}
	}
	for _, s := range w.sides {
		for k := range s.asked {
			if _, ok := s.grants[k]; !ok && !s.refused[k] && !s.closed[k] {
				w.Fatalf("%v got no answer", k)
			}
		}
		if l := schedule.Load(s.cell, w.at()); l.Queued != 0 || l.FreeSlots != int(slots) {
			w.Fatalf("the idle cell has load %+v", l)
		}
	}
}

// Two cells must keep their invariants under lost, doubled and reordered
// messages, host deaths, and endpoints that fail, shrink or leave.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		steps := []func(){
			w.ask, w.ask, w.ask, w.ask, w.update, w.update, w.update, w.hold, w.hold, w.pass, w.pass, w.pass,
			w.hostGone, w.endpointFailed, w.changeEndpoint, w.reportLoad, w.cacheEvent,
		}
		for range 150 {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		w.settle()
	})
}
