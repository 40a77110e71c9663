package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/table"
)

// Stage is the progress of a request at its entry host.
type Stage string

// The stages of a request.
const (
	StageTokens  Stage = "tokens"  // waits for rate tokens of peers
	StageClaim   Stage = "claim"   // waits for its durable claim
	StageQueue   Stage = "queue"   // waits for a grant
	StagePrefill Stage = "prefill" // the prefill runs
	StageDecode  Stage = "decode"  // tokens arrive
	StageCall    Stage = "call"    // a service call runs
)

// The stable codes of refusals, kebab case.
const (
	CodeLeaving        = "host-leaving"
	CodeNoTable        = "no-table"
	CodeUnknownRoute   = "unknown-route"
	CodeUnauthorized   = "unauthorized"
	CodeKeyWithdrawn   = "key-withdrawn"
	CodeStaleTable     = "stale-table"
	CodeTooManyTokens  = "too-many-tokens"
	CodeRateLimited    = "rate-limited"
	CodeEndpointFailed = "endpoint-failed"
	CodeNoEndpoint     = "no-endpoint"
	CodeOutcomeUnknown = "outcome-unknown"
	CodeKeyMismatch    = "idempotency-key-mismatch"
	CodeKeyExpired     = "idempotency-key-expired"
	CodeKeyMissing     = "idempotency-key-missing"
	CodeNoClaim        = "claim-unavailable"
	CodeRouteRemoved   = "route-removed"
	CodeCallerGone     = "caller-gone"
)

// partRequest is the log prefix of this part.
const partRequest = "request"

// request is one request at its entry host.
type request struct {
	RequestArrived
	route    table.Route
	account  id.Account
	arrived  time.Time
	deadline time.Time // the caller waits until then; zero is no bound
	stage    Stage
	notAfter time.Time // end of the lease that the admission rests on
	admitted bool

	attempt  id.Attempt
	failures int
	avoid    id.Endpoint
	down     id.Endpoint // could not be reached by the last attempt
	cell     cellKey
	host     id.Host // scheduler that was asked last
	asked    time.Time
	entered  time.Time // first ask of the attempt
	held     time.Time // last registration of the attempt
	refusals int       // refusals by schedulers
	tried    []cellKey // cells that have refused the request since its last grant

	prefill  id.Endpoint
	decode   id.Endpoint
	progress time.Time     // last sign of life of the attempt
	timeout  time.Duration // of the prefill
	resumed  bool          // the attempt's stream has been resumed since its last token

	ran        bool      // an earlier attempt may have run
	running    bool      // the current attempt has been handed to an endpoint
	runs       int       // attempts that may have run
	called     time.Time // start of the current call of a service
	answered   bool      // the endpoint shell holds a reply that can be passed on
	delivered  int64
	waiting    map[int64]TokensArrived // parts ahead of the delivered offset
	firstToken time.Time
	lastToken  time.Time
	gone       bool // the caller has gone; a service call still runs
	relayed    bool // see Config.Relay

	trace []TraceLine
}

const microsPerMilli = 1000

// TraceLine is one step in the life of a request.
type TraceLine struct {
	AfterMS float64 `json:"after-ms"` // since arrival, in milliseconds
	Text    string  `json:"text"`
}

func (r *request) note(now time.Time, format string, args ...any) {
	ms := float64(now.Sub(r.arrived).Microseconds()) / microsPerMilli
	line := TraceLine{AfterMS: ms, Text: fmt.Sprintf(format, args...)}
	r.trace = append(r.trace, line)
}

// cost returns the tokens that admission charges.
func (r *request) cost() int64 {
	return r.PromptTokens + r.MaxTokens
}

func (r *request) isService() bool {
	return r.route.Model == ""
}

// mayHaveRun tells whether an endpoint may have started work on the request.
func (r *request) mayHaveRun() bool {
	return r.ran || r.running && !r.onlyRead()
}

// onlyRead tells whether the current attempt has got no further than a prefill of
// a platform on which a prefill does not count as a run.
func (r *request) onlyRead() bool {
	return r.relayed && r.stage == StagePrefill
}

func (s *step) requestArrived(ev RequestArrived) {
	if _, ok := s.requests[ev.Request]; ok {
		s.log(LogWarn, partRequest, "Duplicate request ID.")
		return
	}
	r := &request{RequestArrived: ev, arrived: s.now, account: ev.Account, waiting: make(map[int64]TokensArrived)}
	r.relayed = s.cfg.Relay
	s.requests[ev.Request] = r
	r.note(s.now, "arrived for route %s, prompt %d, output limit %d", ev.Route, ev.PromptTokens, ev.MaxTokens)
	if code, text := s.inadmissible(r); code != "" {
		s.refuse(r, code, text, s.retryAfter(code))
		return
	}
	s.setDeadline(r)
	s.countRequest(r)
	if s.isUnlimited(r) {
		s.admitted(r, s.now.Add(unlimitedValid))
		return
	}
	r.stage = StageTokens
	d, actions := limit.Admit(s.limit, s.now, r.Request, r.account, r.cost())
	s.limitActions(actions)
	s.limitDecision(r, d)
}

// retryAfter returns when a request that was refused on arrival may be sent
// again, or 0 if that does not help.
func (s *step) retryAfter(code string) time.Duration {
	if code == CodeLeaving && s.cfg.Relay {
		return leavingRetry
	}
	switch code {
	case CodeLeaving, CodeNoTable, CodeStaleTable:
		return time.Second
	default:
		return 0
	}
}

// inadmissible returns the code and text of the first rule that forbids the
// request, or an empty code.
func (s *step) inadmissible(r *request) (code, text string) {
	snap := s.snapshot()
	if s.draining && !s.servesLeaving(r) {
		return CodeLeaving, "this host is leaving"
	}
	if snap == nil {
		return CodeNoTable, "no table is in force yet"
	}
	route, ok := snap.Routes[r.Route]
	if !ok {
		return CodeUnknownRoute, fmt.Sprintf("route %q does not exist", r.Route)
	}
	r.route = route
	if code, text := s.unauthorized(r); code != "" {
		return code, text
	}
	if s.isStale(route) {
		return CodeStaleTable, "the table has not been confirmed for too long"
	}
	if route.Model != "" && route.MaxTokens > 0 && r.MaxTokens > route.MaxTokens {
		return CodeTooManyTokens, fmt.Sprintf("max_tokens is above the route's limit of %d", route.MaxTokens)
	}
	if r.isService() && !route.Idempotent && !r.relayed && r.IdempotencyKey == "" {
		return CodeKeyMissing, "this route needs an Idempotency-Key header"
	}
	return "", ""
}

func (s *step) unauthorized(r *request) (code, text string) {
	if r.route.Open {
		r.account = r.route.Account
		return "", ""
	}
	key, ok := s.snapshot().Keys[r.Key]
	if !ok || r.Key == "" {
		return CodeUnauthorized, "a valid key is required"
	}
	if key.State != table.StateActive {
		return CodeKeyWithdrawn, "the key has been withdrawn"
	}
	if _, ok := s.snapshot().Accounts[key.Account]; !ok {
		return CodeUnauthorized, "the key's client account does not exist"
	}
	r.account = key.Account
	return "", ""
}

func (s *step) limitDecision(r *request, d limit.Decision) {
	switch d := d.(type) {
	case limit.Admitted:
		s.admitted(r, d.NotAfter)
	case limit.Pending:
		r.note(s.now, "asked peers for rate tokens")
	case limit.Refused:
		if d.WithinRate {
			s.emit(Count{Name: MetricRefusedInRate, Account: r.account, N: 1})
		}
		s.refuse(r, CodeRateLimited, "the client account is above its rate", d.RetryAfter)
	}
}

func (s *step) admitted(r *request, notAfter time.Time) {
	r.admitted = true
	r.notAfter = notAfter
	r.note(s.now, "admitted for %d tokens", r.cost())
	s.emit(Charged{Request: r.Request, Account: r.account, Tokens: r.cost()})
	switch {
	case !r.isService():
		s.askSlot(r)
	case r.route.Idempotent || r.relayed:
		s.callService(r)
	default:
		s.askClaim(r)
	}
}

// refuse ends a request without a complete answer.
func (s *step) refuse(r *request, code, text string, retry time.Duration) {
	notRun := !r.mayHaveRun()
	r.note(s.now, "refused: %s (not-run %t)", code, notRun)
	s.releaseAttempt(r, "")
	if !r.gone {
		s.emit(Refuse{Request: r.Request, Code: code, Text: text, NotRun: notRun, RetryAfter: retry})
	}
	s.emit(Count{Name: MetricRefused, Account: r.account, Code: code, N: 1})
	s.close(r, code)
}

// close settles the charge of a request and forgets it.
func (s *step) close(r *request, result string) {
	if r.stage == StageTokens {
		s.limitActions(limit.Abandon(s.limit, s.now, r.Request))
	} else if r.admitted {
		s.limitActions(limit.Settle(s.limit, s.now, r.Request, r.usedTokens()))
		s.emit(Refunded{Request: r.Request, Account: r.account, Tokens: r.cost() - r.usedTokens()})
	}
	if r.stage == StageClaim {
		claim.Abandon(s.claims, r.Request)
	}
	s.keepRecord(r, result)
	s.logEnd(r, result)
	delete(s.requests, r.Request)
	s.emit(Closed{Request: r.Request})
}

// resultFinished begins the results of requests whose answer is complete.
const resultFinished = "finished"

// logEnd writes the one line that tells how a request came to its end.
func (s *step) logEnd(r *request, result string) {
	var trace strings.Builder
	for i, l := range r.trace {
		if i > 0 {
			trace.WriteString("; ")
		}
		trace.WriteString(strconv.FormatFloat(l.AfterMS, 'f', 1, 64))
		trace.WriteString(" ms ")
		trace.WriteString(l.Text)
	}
	text := "Request ended."
	if strings.HasPrefix(result, resultFinished) {
		text = "Request served." // apart, so that the two are thinned out apart
	}
	s.emit(Log{
		Level: LogInfo, Part: partRequest, Text: text, Request: r.Request,
		Account: r.account, Code: result, Trace: trace.String(),
	})
}

// usedTokens returns the tokens that the request has consumed. A prompt counts
// once, from the moment at which its prefill may have started.
func (r *request) usedTokens() int64 {
	if !r.mayHaveRun() {
		return 0
	}
	if r.relayed {
		return r.cost()
	}
	return r.PromptTokens + r.delivered
}

// callerGone cancels a request at whatever stage it has reached. A service call
// that runs is left to its end, because its outcome has to be recorded.
func (s *step) callerGone(req id.Request) {
	r, ok := s.requests[req]
	if !ok {
		return
	}
	r.note(s.now, "caller gone in stage %s", r.stage)
	r.gone = true
	if r.stage == StageCall && !s.cancelCall(r) {
		return
	}
	s.releaseAttempt(r, "")
	s.emit(Count{Name: MetricCancelled, Account: r.account, N: 1})
	s.close(r, CodeCallerGone)
}

func checkRequests(st *State) error {
	for req, r := range st.requests {
		if r.gone && r.stage != StageCall {
			return fmt.Errorf("core: request %s: caller gone, stage %s", req, r.stage)
		}
		if r.stage == StageDecode && r.decode == "" {
			return fmt.Errorf("core: request %s: decode without an endpoint", req)
		}
		if _, ok := r.waiting[r.delivered]; ok {
			return fmt.Errorf("core: request %s: offset %d held back", req, r.delivered)
		}
		if r.stage == StageCall && !r.route.Idempotent && r.attempt > 1 && r.ran {
			return fmt.Errorf("core: request %s: non-idempotent call repeated", req)
		}
	}
	return nil
}
