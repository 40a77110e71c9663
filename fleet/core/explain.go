package core

import (
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/quarantine"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/throttle"
)

// The names of metrics.
const (
	MetricFirstToken    = "first-token"
	MetricBetweenTokens = "between-tokens"
	MetricQueueTime     = "queue-time"
	MetricServiceTime   = "service-time"
	MetricFinished      = "finished"
	MetricRefused       = "refused"
	MetricRefusedInRate = "refused-within-rate"
	MetricRefusedLevel  = "refused-by-level"
	MetricCancelled     = "cancelled"
	MetricRetried       = "retried"
	MetricResumed       = "resumed"
	MetricWastedPrefill = "wasted-prefill-tokens"
	MetricOutputTokens  = "output-tokens"
	MetricTokenTime     = "engine-token-time"
	MetricPrefillRate   = "engine-prefill-rate"
)

// Record describes one request for operators, with a trace of its steps.
type Record struct {
	Request id.Request  `json:"request-id"`
	Account id.Account  `json:"account"`
	Route   id.Route    `json:"route"`
	Stage   Stage       `json:"stage"`
	Result  string      `json:"result,omitempty"` // empty while the request is open
	Attempt id.Attempt  `json:"attempts"`
	Prompt  int64       `json:"prompt-tokens"`
	Output  int64       `json:"output-tokens"`
	Trace   []TraceLine `json:"trace"`
}

// Status is the state of one host for operators.
type Status struct {
	Host         id.Host        `json:"host"`
	Zone         id.Zone        `json:"zone"`
	Incarnation  id.Incarnation `json:"incarnation"`
	Ready        bool           `json:"ready"`
	Draining     bool           `json:"draining"`
	TableVersion uint64         `json:"table-version"`
	TableProblem string         `json:"table-problem,omitempty"`
	ConfirmedMS  int64          `json:"confirmed-age-ms"`
	Requests     int            `json:"requests"`
	Differing    []id.Host      `json:"differing-settings,omitempty"` // hosts whose shared settings differ
	// Quarantined lists the prompt segments under which engines crash, in hexadecimal.
	Quarantined []string `json:"quarantined-segments,omitempty"`
	// Limits holds the requests per second of the endpoints that have named a limit.
	Limits        map[id.Endpoint]float64 `json:"request-limits,omitempty"`
	Peers         []PeerStatus            `json:"peers"`
	Cells         []CellStatus            `json:"cells"`
	UptimeSeconds int64                   `json:"uptime-s"`
}

// PeerStatus is the state of another host as this host sees it.
type PeerStatus struct {
	Host        id.Host        `json:"host"`
	Zone        id.Zone        `json:"zone"`
	State       string         `json:"state"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// CellStatus is the state of one cell that the host schedules.
type CellStatus struct {
	Cell      string `json:"cell"`
	Queued    int    `json:"queued"`
	FreeSlots int    `json:"free-slots"`
	WaitMS    int64  `json:"wait-ms"`
}

func (r *request) record(result string) Record {
	return Record{
		Request: r.Request, Account: r.account, Route: r.Route, Stage: r.stage, Result: result,
		Attempt: r.attempt, Prompt: r.PromptTokens, Output: r.delivered, Trace: r.trace,
	}
}

func (s *step) keepRecord(r *request, result string) {
	if s.cfg.FinishedRecords == 0 {
		return
	}
	rec := r.record(result)
	if len(s.finished) < s.cfg.FinishedRecords {
		s.finished = append(s.finished, rec)
		return
	}
	s.finished[s.finishedOverwritten%s.cfg.FinishedRecords] = rec
	s.finishedOverwritten++
}

// Explain returns the record of an open request, or of one of the last finished
// requests (see Config.FinishedRecords). The second result reports whether the host
// knows the request.
func Explain(st *State, req id.Request) (Record, bool) {
	if r, ok := st.requests[req]; ok {
		return r.record(""), true
	}
	for _, rec := range st.finished {
		if rec.Request == req {
			return rec, true
		}
	}
	return Record{}, false
}

// IsReady reports whether the host may accept requests: it is not draining, it has a
// table, and peers have had StartWait to offer a newer one.
func IsReady(st *State, now time.Time) bool {
	if st.draining || st.snapshot() == nil {
		return false
	}
	return st.peerVersionKnown || now.Sub(st.started) >= st.cfg.StartWait
}

// StatusOf returns the state of the host for operators.
func StatusOf(st *State, now time.Time) Status {
	out := Status{
		Host: st.cfg.Host, Zone: st.cfg.Zone, Incarnation: st.cfg.Incarnation,
		Ready: IsReady(st, now), Draining: st.draining,
		TableProblem: st.table.problem, Requests: len(st.requests),
		UptimeSeconds: int64(now.Sub(st.started) / time.Second),
		Limits:        throttle.All(st.throttle),
	}
	if st.snapshot() != nil {
		out.TableVersion = st.snapshot().Version
		out.ConfirmedMS = now.Sub(st.table.confirmedAt).Milliseconds()
	}
	for _, p := range member.Peers(st.member) {
		out.Peers = append(out.Peers, PeerStatus{
			Host: p.Host, Zone: p.Zone, State: stateName(p.State), Incarnation: p.Incarnation,
		})
	}
	for _, k := range sortedCells(st.scheduler.cells) {
		l := schedule.Load(st.scheduler.cells[k].cell, now)
		out.Cells = append(out.Cells, CellStatus{
			Cell: k.String(), Queued: l.Queued, FreeSlots: l.FreeSlots, WaitMS: l.Wait.Milliseconds(),
		})
	}
	for _, e := range quarantine.Entries(st.quarantine, now) {
		if !e.Released {
			out.Quarantined = append(out.Quarantined, e.Segment.String())
		}
	}
	for h := range st.differingHosts {
		out.Differing = append(out.Differing, h)
	}
	sort.Slice(out.Differing, func(i, j int) bool { return out.Differing[i] < out.Differing[j] })
	sort.Slice(out.Peers, func(i, j int) bool { return out.Peers[i].Host < out.Peers[j].Host })
	return out
}

func stateName(h message.HostState) string {
	switch h {
	case message.HostDead:
		return "dead"
	case message.HostLeaving:
		return "leaving"
	default:
		return "alive"
	}
}
