package schedule_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

const (
	networkDelay = 1500 * time.Microsecond // one way, between a host and the scheduler
	tokenTime    = 40 * ms
	kvSurvival   = 800 * ms
)

// traffic describes the requests of one account and class. Sizes are uniformly
// distributed between their bounds; the output limit is limitFactor times the output.
type traffic struct {
	account              id.Account
	class                message.Class
	perSecond            float64
	backlog              int // number of requests kept open; replaces perSecond
	promptMin, promptMax int64
	outputMin, outputMax int64
	limitFactor          int64
	target               time.Duration
	canWait              bool
}

// job is one request in the simulation.
type job struct {
	slotRequest message.SlotRequest
	traffic     *traffic
	output      int64
	arrived     time.Duration
	grant       message.SlotGrant
	kvUntil     time.Duration
	running     bool
}

type event struct {
	at   time.Duration
	seq  int
	fire func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// engine is a prefill engine with a queue, or a decode engine with slots and memory.
// Requests wait for a full decode engine until their KV caches expire.
type engine struct {
	schedule.Endpoint
	busyUntil, linkUntil time.Duration
	slots, blocks        int64
	waiting              []*job
	runs                 map[id.Request]bool
	waitingTokens        int64 // prompt tokens
}

// tally counts the requests of one account and class.
type tally struct {
	arrived, good, done, refused, lost int
	served                             int64 // prompt and output tokens
	first                              []time.Duration
}

// sim simulates a cell and its engines without faults.
type sim struct {
	cell         *schedule.Cell
	now          time.Duration
	end          time.Duration
	events       events
	seq          int
	random       *rand.Rand
	engines      map[id.Endpoint]*engine
	order        []*engine
	jobs         map[id.Request]*job
	tallies      map[string]*tally
	prefilled    int64          // prompt tokens
	wasted       int64          // prompt tokens whose KV cache expired
	capacityWait int            // decodes that found their endpoint full
	digest       *xxhash.Digest // of all actions; nil disables it
	requests     int
}

// newSim returns a simulation. The engines have the sizes in eps; the cell gets the
// sizes in declared, so that a test can overcommit the engines.
func newSim(cfg schedule.Config, weights map[id.Account]int64, eps, declared []schedule.Endpoint) *sim {
	s := &sim{
		cell: schedule.New(cfg, "m", t0, false), random: rand.New(rand.NewPCG(1, 2)),
		engines: make(map[id.Endpoint]*engine), jobs: make(map[id.Request]*job), tallies: make(map[string]*tally),
	}
	schedule.SetWeights(s.cell, weights)
	schedule.SetEndpoints(s.cell, t0, declared)
	for _, ep := range eps {
		e := &engine{Endpoint: ep, runs: make(map[id.Request]bool)}
		s.engines[ep.Name] = e
		s.order = append(s.order, e)
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() {
		do()
		s.every(d, do)
	})
}

func (s *sim) run(end time.Duration, mix []traffic) {
	s.end = end
	s.every(10*ms, func() { s.apply(schedule.Tick(s.cell, at(s.now))) })
	s.every(200*ms, s.report)
	s.every(time.Second, s.refresh)
	for i := range mix {
		tr := &mix[i]
		for range tr.backlog {
			s.arrive(tr)
		}
		if tr.backlog == 0 {
			s.arrivals(tr)
		}
	}
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fire()
	}
}

func (s *sim) arrivals(tr *traffic) {
	s.after(time.Duration(s.random.ExpFloat64()/tr.perSecond*float64(time.Second)), func() {
		s.arrive(tr)
		s.arrivals(tr)
	})
}

func (s *sim) tally(tr *traffic) *tally {
	name := fmt.Sprintf("%s/%d", tr.account, tr.class)
	if s.tallies[name] == nil {
		s.tallies[name] = &tally{}
	}
	return s.tallies[name]
}

func (s *sim) arrive(tr *traffic) {
	s.requests++
	j := &job{traffic: tr, arrived: s.now}
	j.output = tr.outputMin + s.random.Int64N(tr.outputMax-tr.outputMin+1)
	j.slotRequest = slotRequest(fmt.Sprintf("r%07d", s.requests), account(tr.account), target(tr.target), output(j.output*tr.limitFactor))
	j.slotRequest.PromptTokens = tr.promptMin + s.random.Int64N(tr.promptMax-tr.promptMin+1)
	j.slotRequest.Class = tr.class
	j.slotRequest.CanWait = tr.canWait
	s.tally(tr).arrived++
	s.jobs[j.slotRequest.Request] = j
	s.send(j)
}

func (s *sim) send(j *job) {
	s.after(networkDelay, func() {
		j.slotRequest.Waited = s.now - j.arrived
		s.apply(schedule.HandleSlotRequest(s.cell, at(s.now), "h", j.slotRequest))
	})
}

func (s *sim) apply(acts []schedule.Action) {
	for _, a := range acts {
		if s.digest != nil {
			fmt.Fprintln(s.digest, s.now, a)
		}
		send, ok := a.(schedule.Send)
		if !ok {
			panic(fmt.Sprintf("unexpected cancel in a simulation without faults: %+v", a))
		}
		switch m := send.Message.(type) {
		case message.SlotGrant:
			s.after(networkDelay, func() { s.prefill(s.jobs[m.Request], m) })
		case message.SlotRefusal:
			j := s.jobs[m.Request]
			s.tally(j.traffic).refused++
			s.close(j)
		}
	}
}

func (s *sim) sendUpdate(j *job, phase message.Phase, tokens int64) {
	m := message.SlotUpdate{Request: j.slotRequest.Request, Attempt: j.slotRequest.Attempt, Phase: phase, Tokens: tokens}
	s.after(networkDelay, func() { s.apply(schedule.HandleUpdate(s.cell, at(s.now), "h", m)) })
}

func (s *sim) prefill(j *job, g message.SlotGrant) {
	e := s.engines[g.Prefill]
	j.grant = g
	j.running = true
	s.sendUpdate(j, message.PhasePrefill, 0)
	e.waitingTokens += j.slotRequest.PromptTokens
	e.runs[j.slotRequest.Request] = true
	e.busyUntil = max(e.busyUntil, s.now) + time.Duration(j.slotRequest.PromptTokens)*time.Second/time.Duration(e.PrefillRate)
	s.after(e.busyUntil-s.now, func() {
		e.waitingTokens -= j.slotRequest.PromptTokens
		delete(e.runs, j.slotRequest.Request)
		s.prefilled += j.slotRequest.PromptTokens
		j.kvUntil = s.now + kvSurvival
		s.sendUpdate(j, message.PhaseDecode, 0)
		s.decode(j)
	})
}

func (d *engine) blocksFor(j *job) int64 {
	return (j.slotRequest.PromptTokens + j.slotRequest.OutputTokens + d.BlockTokens - 1) / d.BlockTokens
}

func (s *sim) decode(j *job) {
	d := s.engines[j.grant.Decode]
	if d.slots >= d.Slots || d.blocks+d.blocksFor(j) > d.Blocks {
		s.capacityWait++
		d.waiting = append(d.waiting, j)
		s.after(kvSurvival+ms, func() { s.expire(d, j) })
		return
	}
	p := s.engines[j.grant.Prefill]
	length := time.Duration(j.slotRequest.PromptTokens) * time.Second / time.Duration(min(p.LinkRate, d.LinkRate))
	from := max(s.now, p.linkUntil, d.linkUntil)
	if from > j.kvUntil {
		s.retryLost(j)
		return
	}
	p.linkUntil, d.linkUntil = from+length, from+length
	d.slots++
	d.blocks += d.blocksFor(j)
	d.runs[j.slotRequest.Request] = true
	first := from + length + tokenTime - s.now
	s.after(first, func() { s.firstToken(j) })
	s.after(first+time.Duration(j.output-1)*tokenTime, func() { s.finish(d, j) })
}

// expire drops a KV cache that got no decode slot in time.
func (s *sim) expire(d *engine, j *job) {
	for i, w := range d.waiting {
		if w == j {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			s.retryLost(j)
			return
		}
	}
}

// retryLost requests slots for a further attempt, as an entry host does, up to three
// attempts.
func (s *sim) retryLost(j *job) {
	s.wasted += j.slotRequest.PromptTokens
	j.running = false
	s.sendUpdate(j, message.PhaseCancelled, 0)
	if j.slotRequest.Attempt == 3 {
		s.tally(j.traffic).lost++
		s.close(j)
		return
	}
	j.slotRequest.Attempt++
	s.send(j)
}

func (s *sim) firstToken(j *job) {
	t := s.tally(j.traffic)
	wait := s.now - j.arrived
	t.first = append(t.first, wait)
	if j.traffic.target == 0 || wait <= j.traffic.target {
		t.good++
	}
}

func (s *sim) finish(d *engine, j *job) {
	d.slots--
	d.blocks -= d.blocksFor(j)
	delete(d.runs, j.slotRequest.Request)
	t := s.tally(j.traffic)
	t.done++
	t.served += j.slotRequest.PromptTokens + j.output
	s.sendUpdate(j, message.PhaseDone, j.output)
	s.close(j)
	if len(d.waiting) > 0 {
		next := d.waiting[0]
		d.waiting = d.waiting[1:]
		s.decode(next)
	}
}

func (s *sim) close(j *job) {
	j.running = false
	delete(s.jobs, j.slotRequest.Request)
	if j.traffic.backlog > 0 {
		s.arrive(j.traffic)
	}
}

// refresh sends the holds of all running requests.
func (s *sim) refresh() {
	for _, name := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[name]
		if j == nil || !j.running { // refused after an earlier hold
			continue
		}
		h := message.SlotHold{Request: j.slotRequest.Request, Attempt: j.slotRequest.Attempt, Prefill: j.grant.Prefill, Decode: j.grant.Decode, Phase: message.PhasePrefill}
		if s.engines[j.grant.Decode].runs[j.slotRequest.Request] {
			h.Phase = message.PhaseDecode
		}
		s.apply(schedule.HandleHold(s.cell, at(s.now), "h", h))
	}
}

// report sends load reports that are 100 ms old.
func (s *sim) report() {
	for _, e := range s.order {
		r := schedule.Report{Endpoint: e.Name, Running: len(e.runs), Slots: int(e.Slots), FreeBlocks: e.Blocks - e.blocks, Waiting: e.waitingTokens}
		for _, name := range slices.Sorted(maps.Keys(e.runs)) {
			r.Runs = append(r.Runs, schedule.Run{Request: name, Attempt: s.jobs[name].slotRequest.Attempt})
		}
		s.after(100*ms, func() { s.apply(schedule.HandleReport(s.cell, at(s.now), r)) })
	}
}

// endpoints returns p prefill and d decode endpoints of a common size.
func endpoints(p, d int) []schedule.Endpoint {
	var eps []schedule.Endpoint
	for i := range p {
		eps = append(eps, schedule.Endpoint{
			Name: id.Endpoint(fmt.Sprintf("p%02d", i)), Role: table.RolePrefill,
			Slots: 4, Blocks: 40, BlockTokens: 4000, PrefillRate: 20_000, LinkRate: 400_000,
		})
	}
	for i := range d {
		eps = append(eps, schedule.Endpoint{
			Name: id.Endpoint(fmt.Sprintf("d%02d", i)), Role: table.RoleDecode,
			Slots: 20, Blocks: 40, BlockTokens: 4000, LinkRate: 400_000,
		})
	}
	return eps
}
