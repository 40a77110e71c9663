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

// TestMain sets the seed of the randomized tests; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000"), flag.Set("rapid.nofailfile", "true"), flag.Set("rapid.shrinktime", "5s"))
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// attemptKey identifies one attempt.
type attemptKey struct {
	request id.Request
	attempt id.Attempt
}

// activeGrant is a grant that is in use according to the messages that the cell received.
type activeGrant struct {
	grant        message.SlotGrant
	slotRequest  message.SlotRequest
	host         id.Host
	lastMessage  time.Duration
	prefillFreed bool // the prefill endpoint is released
}

// cellModel is one cell with the state that the test expects of it.
type cellModel struct {
	cell         *schedule.Cell
	requested    map[attemptKey]message.SlotRequest
	hosts        map[attemptKey]id.Host
	grants       map[attemptKey]message.SlotGrant
	refused      map[attemptKey]bool
	closed       map[attemptKey]bool // reported as done or cancelled, replaced, or of a dead host
	active       map[attemptKey]*activeGrant
	backoffUntil map[id.Endpoint]time.Duration // no grants before
}

// simulation has two cells over the same endpoints, as during a network partition.
type simulation struct {
	*rapid.T
	now             time.Duration
	cfg             schedule.Config
	eps             []schedule.Endpoint
	reportedLeaving map[id.Endpoint]bool // leaving by the last load report
	models          []*cellModel
	n               int
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{T: t, cfg: schedule.DefaultConfig(), reportedLeaving: make(map[id.Endpoint]bool)}
	w.cfg.MaxQueue = 12
	w.cfg.MaxDeferrableWait = 20 * time.Second
	for i := range 3 {
		p := prefill(fmt.Sprintf("p%d", i))
		p.Blocks = 5
		w.eps = append(w.eps, p, decode(fmt.Sprintf("d%d", i), int64(1+i), int64(4+4*i)))
	}
	for i := range 2 {
		s := &cellModel{
			cell:      schedule.New(w.cfg, "m", t0, i == 1),
			requested: make(map[attemptKey]message.SlotRequest), hosts: make(map[attemptKey]id.Host), grants: make(map[attemptKey]message.SlotGrant),
			refused: make(map[attemptKey]bool), closed: make(map[attemptKey]bool), active: make(map[attemptKey]*activeGrant),
			backoffUntil: make(map[id.Endpoint]time.Duration),
		}
		w.models = append(w.models, s)
		w.handle(s, schedule.SetEndpoints(s.cell, t0, w.eps))
	}
	return w
}

func (w *simulation) find(name id.Endpoint) *schedule.Endpoint {
	i := slices.IndexFunc(w.eps, func(e schedule.Endpoint) bool { return e.Name == name })
	return &w.eps[i]
}

// handle checks the actions of a cell and applies them to its model.
func (w *simulation) handle(s *cellModel, acts []schedule.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case schedule.Cancel:
			delete(s.active, attemptKey{a.Request, a.Attempt})
		case schedule.Send:
			w.handleSend(s, a)
		}
	}
	if err := schedule.Check(s.cell); err != nil {
		w.Fatal(err)
	}
}

func (w *simulation) handleSend(s *cellModel, a schedule.Send) {
	switch m := a.Message.(type) {
	case message.SlotQuery:
		w.checkQuery(s, a.To, m)
	case message.SlotRefusal:
		s.refused[attemptKey{m.Request, m.Attempt}] = true
		if s.active[attemptKey{m.Request, m.Attempt}] != nil {
			w.Fatalf("refused %v, which has an active grant", m)
		}
	case message.SlotGrant:
		k := attemptKey{m.Request, m.Attempt}
		old, again := s.grants[k]
		old.Valid, m.Valid = 0, 0
		if again && old != m {
			w.Fatalf("second grant %v after %v", m, old)
		}
		if _, ok := s.requested[k]; !ok || a.To != s.hosts[k] || s.closed[k] {
			w.Fatalf("grant %v to %v does not match an open slot request", m, a.To)
		}
		if again {
			return
		}
		s.grants[k] = m
		s.active[k] = &activeGrant{grant: m, slotRequest: s.requested[k], host: a.To, lastMessage: w.now}
		w.checkGrantedEndpoint(s, m.Prefill)
		w.checkGrantedEndpoint(s, m.Decode)
	}
}

// checkGrantedEndpoint checks that an endpoint that was just granted may get work and
// has room for everything that the cell has granted on it.
func (w *simulation) checkGrantedEndpoint(s *cellModel, name id.Endpoint) {
	ep := w.find(name)
	if ep.Leaving || w.reportedLeaving[name] {
		w.Fatalf("grant to leaving endpoint %s", name)
	}
	if w.now < s.backoffUntil[name] {
		w.Fatalf("grant at %v to endpoint %s, which is backed off until %v", w.now, name, s.backoffUntil[name])
	}
	var slots, blocks int64
	for _, h := range s.active {
		tokens := h.slotRequest.PromptTokens
		switch {
		case h.grant.Decode == name:
			tokens += h.slotRequest.OutputTokens
		case h.grant.Prefill != name || h.prefillFreed:
			continue
		}
		slots++
		blocks += (tokens + ep.BlockTokens - 1) / ep.BlockTokens
	}
	if slots > ep.Slots || blocks > ep.Blocks {
		w.Fatalf("endpoint %s has %d slots and %d blocks granted of %d and %d", name, slots, blocks, ep.Slots, ep.Blocks)
	}
}

func (w *simulation) at() time.Time { return at(w.now) }

func (w *simulation) cellModel() *cellModel { return w.models[rapid.IntRange(0, 1).Draw(w.T, "cell")] }

func (w *simulation) host() id.Host {
	return rapid.SampledFrom([]id.Host{"h1", "h2", "h3"}).Draw(w.T, "host")
}

// slotRequest sends a new slot request, one of a further attempt, or an earlier one
// again.
func (w *simulation) slotRequest() {
	s := w.cellModel()
	w.n++
	m := slotRequest(fmt.Sprintf("r%04d", w.n), output(rapid.Int64Range(1, 9000).Draw(w.T, "output")))
	m.PromptTokens = rapid.SampledFrom([]int64{10, 100, 900, 4000}).Draw(w.T, "prompt")
	m.Account = rapid.SampledFrom([]id.Account{"a", "b", "c"}).Draw(w.T, "account")
	m.Class = rapid.SampledFrom([]message.Class{message.ClassInteractive, message.ClassDeferrable}).Draw(w.T, "class")
	m.CanWait = rapid.Bool().Draw(w.T, "can wait")
	m.Avoid = rapid.SampledFrom([]id.Endpoint{"", "", "p0", "d2"}).Draw(w.T, "avoid")
	m.Prefix = rapid.Uint64Range(0, 3).Draw(w.T, "prefix")
	m.Level = message.Level(rapid.IntRange(0, 5).Draw(w.T, "level"))
	from := w.host()
	if old, ok := w.drawAttempt(s); ok && rapid.Bool().Draw(w.T, "old") {
		from = s.hosts[old]
		m = s.requested[old]
		if rapid.Bool().Draw(w.T, "next attempt") {
			w.closeAttempts(s, old)
			m.Attempt++
		}
	}
	k := attemptKey{m.Request, m.Attempt}
	if prev, ok := s.requested[k]; ok {
		m = prev
		from = s.hosts[k]
	}
	s.requested[k] = m
	s.hosts[k] = from
	w.handle(s, schedule.HandleSlotRequest(s.cell, w.at(), from, m))
}

// closeAttempts records the end of an attempt and of all earlier ones of the request.
func (w *simulation) closeAttempts(s *cellModel, k attemptKey) {
	for a := id.Attempt(1); a <= k.attempt; a++ {
		s.closed[attemptKey{k.request, a}] = true
	}
}

// drawAttempt draws an attempt for which the cell received a slot request. It does not
// exclude attempts that ended longer than EndedRetention ago; the cell handles messages
// for these like new ones.
func (w *simulation) drawAttempt(s *cellModel) (attemptKey, bool) {
	var all []attemptKey
	for k := range s.requested {
		all = append(all, k)
	}
	if len(all) == 0 {
		return attemptKey{}, false
	}
	slices.SortFunc(all, func(a, b attemptKey) int { return slices.Compare([]byte(a.request), []byte(b.request)) })
	slices.SortStableFunc(all, func(a, b attemptKey) int { return int(a.attempt) - int(b.attempt) })
	return rapid.SampledFrom(all).Draw(w.T, "attempt"), true
}

func (w *simulation) update() {
	s := w.cellModel()
	k, ok := w.drawAttempt(s)
	if !ok {
		return
	}
	m := message.SlotUpdate{Request: k.request, Attempt: k.attempt, Tokens: rapid.Int64Range(0, 50).Draw(w.T, "tokens")}
	m.Phase = message.Phase(rapid.IntRange(1, 4).Draw(w.T, "phase"))
	h := s.active[k]
	switch {
	case m.Phase >= message.PhaseDone:
		delete(s.active, k)
		w.closeAttempts(s, k)
	case h != nil:
		h.lastMessage = w.now
		h.prefillFreed = h.prefillFreed || m.Phase == message.PhaseDecode
	}
	w.handle(s, schedule.HandleUpdate(s.cell, w.at(), s.hosts[k], m))
}

// hold refreshes an attempt at its own cell, or registers it at the other one.
func (w *simulation) hold() {
	s := w.cellModel()
	k, ok := w.drawAttempt(s)
	g, granted := s.grants[k]
	if !ok || !granted || s.closed[k] {
		return
	}
	m := message.SlotHold{Request: k.request, Attempt: k.attempt, Prefill: g.Prefill, Decode: g.Decode}
	m.PromptTokens, m.OutputTokens = s.requested[k].PromptTokens, s.requested[k].OutputTokens
	m.Phase = message.Phase(rapid.IntRange(1, 2).Draw(w.T, "phase"))
	if h := s.active[k]; h != nil {
		h.lastMessage = w.now
		h.prefillFreed = h.prefillFreed || m.Phase == message.PhaseDecode
	}
	to := s
	if rapid.Bool().Draw(w.T, "other cell") {
		to = w.models[0]
		if to == s {
			to = w.models[1]
		}
		if to.requested[k].Request != "" {
			return // an attempt sends its slot request to one cell only
		}
	}
	w.handle(to, schedule.HandleHold(to.cell, w.at(), s.hosts[k], m))
}

func (w *simulation) hostGone() {
	s := w.cellModel()
	h := w.host()
	for k, host := range s.hosts {
		if host == h {
			w.closeAttempts(s, k)
		}
	}
	w.handle(s, schedule.HandleHostDeath(s.cell, w.at(), h))
	for k, l := range s.active {
		if l.host == h {
			w.Fatalf("%v is still reserved for dead host %s", k, h)
		}
	}
}

func (w *simulation) endpointFailed() {
	s := w.cellModel()
	name := rapid.SampledFrom(w.eps).Draw(w.T, "endpoint").Name
	s.backoffUntil[name] = max(s.backoffUntil[name], w.now+w.cfg.Backoff)
	w.handle(s, schedule.HandleEndpointFailure(s.cell, w.at(), name))
}

func (w *simulation) changeEndpoint() {
	ep := &w.eps[rapid.IntRange(0, len(w.eps)-1).Draw(w.T, "endpoint")]
	ep.Leaving = !ep.Leaving
	if ep.Role == table.RoleDecode {
		ep.Slots = rapid.Int64Range(1, 4).Draw(w.T, "slots")
	}
	for _, s := range w.models {
		w.handle(s, schedule.SetEndpoints(s.cell, w.at(), w.eps))
	}
}

func (w *simulation) reportLoad() {
	ep := rapid.SampledFrom(w.eps).Draw(w.T, "endpoint")
	r := schedule.Report{Endpoint: ep.Name, FreeBlocks: rapid.Int64Range(0, 4).Draw(w.T, "blocks")}
	r.Leaving = rapid.IntRange(0, 5).Draw(w.T, "leaving") == 0
	if k, ok := w.drawAttempt(w.cellModel()); ok {
		r.Runs = append(r.Runs, schedule.Run{Request: k.request, Attempt: k.attempt})
	}
	w.reportedLeaving[ep.Name] = r.Leaving
	for _, s := range w.models {
		w.handle(s, schedule.HandleReport(s.cell, w.at(), r))
	}
}

func (w *simulation) cacheEvent() {
	s := w.cellModel()
	schedule.HandleCacheEvent(s.cell, "p1", rapid.Uint64Range(0, 3).Draw(w.T, "prefix"), rapid.Bool().Draw(w.T, "evicted"))
}

func (w *simulation) advance() { w.tick(time.Duration(rapid.Int64Range(1, 400).Draw(w.T, "ms")) * ms) }

func (w *simulation) tick(d time.Duration) {
	w.now += d
	for _, s := range w.models {
		w.handle(s, schedule.Tick(s.cell, w.at()))
		for k, h := range s.active {
			if w.now-h.lastMessage > w.cfg.RunTimeout+w.cfg.SweepInterval {
				w.Fatalf("%v is still reserved %v after its last message", k, w.now-h.lastMessage)
			}
		}
	}
}

// drain ends all faults, then checks that each open slot request gets an answer and
// that no reservation remains.
func (w *simulation) drain() {
	for i := range w.eps {
		w.eps[i].Leaving = false
		clear(w.reportedLeaving)
		for _, s := range w.models {
			w.handle(s, schedule.HandleReport(s.cell, w.at(), schedule.Report{Endpoint: w.eps[i].Name}))
		}
	}
	var slots int64
	for _, s := range w.models {
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
	for _, s := range w.models {
		for k := range s.requested {
			if _, ok := s.grants[k]; !ok && !s.refused[k] && !s.closed[k] {
				w.Fatalf("%v got no answer", k)
			}
		}
		if l := schedule.Load(s.cell, w.at()); l.Queued != 0 || l.FreeSlots != int(slots) {
			w.Fatalf("the idle cell has load %+v", l)
		}
	}
}

// changeLevels changes the number of priority levels in one cell.
func (w *simulation) changeLevels() {
	s := w.cellModel()
	schedule.SetLevels(s.cell, w.at(), rapid.IntRange(0, 5).Draw(w.T, "levels"))
	w.handle(s, nil)
}

// TestRandom guards against violated invariants of two cells under lost, duplicated
// and reordered messages, host deaths, endpoints that fail, shrink or leave, and levels that change.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		steps := []func(){
			w.slotRequest, w.slotRequest, w.slotRequest, w.slotRequest, w.update, w.update, w.update, w.hold, w.hold, w.advance, w.advance, w.advance,
			w.hostGone, w.endpointFailed, w.changeEndpoint, w.reportLoad, w.cacheEvent, w.changeLevels,
		}
		for range 150 {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		w.drain()
	})
}
