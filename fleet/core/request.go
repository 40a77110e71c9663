package core

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/quarantine"
	"ragwortshunt.example/fleet/table"
)

// Stage is the progress of a request at its entry host.
type Stage string

// The stages of a request.
const (
	StageTokens  Stage = "tokens"  // waits for rate tokens from peers
	StageClaim   Stage = "claim"   // waits for its durable claim
	StageQueue   Stage = "queue"   // waits for a grant of a scheduler
	StagePrefill Stage = "prefill" // a prefill runs
	StageDecode  Stage = "decode"  // tokens arrive
	StageCall    Stage = "call"    // a service call runs
)

// The stable error codes of refusals, in kebab case.
const (
	CodeLeaving        = "host-leaving"
	CodeNoTable        = "no-table"
	CodeUnknownRoute   = "unknown-route"
	CodeUnauthorized   = "unauthorized"
	CodeKeyWithdrawn   = "key-withdrawn"
	CodeStaleTable     = "stale-table"
	CodeTableChanged   = "table-changed"
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
	CodeQuarantined    = "prompt-quarantined"
	CodeLimited        = "endpoints-limited"
	CodeServiceSlow    = "service-slow"
	CodeInternal       = "internal-error" // an unexpected error of this host
)

// partRequest marks log lines about requests.
const partRequest = "request"

// request is the state of one request at its entry host.
type request struct {
	RequestArrived
	route    table.Route
	account  id.Account    // that has the key; it is charged for the request
	level    message.Level // priority level; it stays the same if the configuration changes
	arrived  time.Time
	deadline time.Time // end of the caller's wait; zero means none
	stage    Stage
	notAfter time.Time // expiry of the lease under which the request was admitted
	admitted bool

	attempt             id.Attempt
	failures            int
	avoid               id.Endpoint // endpoint of the last failed attempt or rejected grant; the next attempt avoids it
	unreachableEndpoint id.Endpoint // endpoint that the last attempt could not reach
	cell                cellKey
	schedulerHost       id.Host // host that schedules the attempt
	lastSlotRequest     time.Time
	queuedAt            time.Time // time of the attempt's first SlotRequest
	lastRegistered      time.Time // time of the attempt's last registration with its scheduler
	refusals            int       // number of refusals by schedulers
	triedCells          []cellKey // cells that refused the request or did not reply since its last grant

	prefill          id.Endpoint
	decode           id.Endpoint
	grantedTokenTime time.Duration // expected time per output token on decode; 0 is unknown
	lastProgress     time.Time     // time of the last event of the attempt
	timeout          time.Duration // timeout of the prefill
	resumed          bool          // the stream has been resumed and no token has arrived since

	decodeUnusableSince time.Time // when the decode engine stopped taking requests during the prefill; zero if it takes them

	ranEarlier      bool      // an earlier attempt may have run
	dispatched      bool      // the current attempt has been sent to an endpoint
	runCount        int       // number of attempts that may have run
	callStarted     time.Time // start of the current service call
	delivered       int64
	decodeFrom      int64                   // value of delivered at the start of the current attempt
	outOfOrder      map[int64]TokensArrived // chunks beyond the delivered offset
	outOfOrderBytes int                     // memory of outOfOrder
	firstToken      time.Time
	lastToken       time.Time
	callerLeft      bool // the caller has disconnected; a service call may still run

	resumeAt         time.Time // when a stream that no endpoint resumes searches for one again; see resumeLater
	resumeTakesRetry bool      // that search takes a retry from the budget

	endingAttempt id.Attempt // failed attempt whose run may go on; 0 means none
	holdUntil     time.Time  // until when that run may go on for longer than maxRunOverlap

	relayed bool // the host is in relay mode; see Config.Relay

	replyAttempt id.Attempt // last attempt of which the endpoint adapter holds a reply for the caller; 0 means none

	probe  probeState
	probed id.Segment // the quarantined segment, if the request is a probe

	trace []TraceLine
}

// cost returns the number of tokens that admission charges.
func (r *request) cost() int64 {
	return r.PromptTokens + r.MaxTokens
}

// isService reports whether the request's route leads to a plain service instead of a
// model.
func (r *request) isService() bool {
	return r.route.Model == ""
}

// namedAccount returns the client account that endpoints are told: that of the key in force when
// the request was admitted last. On an open route it is that of the key that came along, if any.
func (r *request) namedAccount() id.Account {
	if r.route.Open {
		return r.Account
	}
	return r.account
}

// mayHaveRun reports whether an endpoint may have started work on the request.
func (r *request) mayHaveRun() bool {
	return r.ranEarlier || r.dispatched && !r.onlyPrefilled()
}

// onlyPrefilled reports whether the current attempt has not gone beyond a prefill that
// does not count as a run, as in relay mode.
func (r *request) onlyPrefilled() bool {
	return r.relayed && r.stage == StagePrefill
}

func (s *step) requestArrived(ev RequestArrived) {
	if _, ok := s.requests[ev.Request]; ok {
		s.log(LogWarn, partRequest, "Duplicate request ID.")
		return
	}
	r := &request{RequestArrived: ev, arrived: s.now, account: ev.Account, outOfOrder: make(map[int64]TokensArrived)}
	r.relayed = s.cfg.Relay
	s.requests[ev.Request] = r
	r.addTrace(s.now, "arrived for route %s, prompt %d, output limit %d", ev.Route, ev.PromptTokens, ev.MaxTokens)
	if code, text := s.admissionError(r); code != "" {
		s.refuse(r, code, text, s.retryAfter(code))
		return
	}
	if !s.admitProbe(r) && s.refuseQuarantined(r) {
		return
	}
	s.setDeadline(r)
	s.countRequest(r)
	s.admit(r)
}

// admit charges the client account of a request. The request goes on once it is admitted.
func (s *step) admit(r *request) {
	if s.isUnlimited(r) {
		s.admitted(r, s.now.Add(unlimitedStartTimeout))
		return
	}
	r.stage = StageTokens
	d, actions := limit.Admit(s.limit, s.now, r.Request, r.account, r.cost())
	s.limitActions(actions)
	s.handleLimitDecision(r, d)
}

// retryAfter returns the delay after which the caller may retry a request that was
// refused on arrival, or 0 if a retry does not help.
func (s *step) retryAfter(code string) time.Duration {
	if code == CodeLeaving && s.cfg.Relay || code == CodeTableChanged {
		return drainRetryAfter
	}
	switch code {
	case CodeLeaving, CodeNoTable, CodeStaleTable:
		return time.Second
	default:
		return 0
	}
}

// admissionError returns the code and text of the first rule that the request
// violates, or an empty code. It sets the route, the client account and the level of the
// request.
func (s *step) admissionError(r *request) (code, text string) {
	snap := s.snapshot()
	if s.draining && !s.acceptsWhileDraining(r) || s.outlastsStop(r) {
		return CodeLeaving, "this host is leaving"
	}
	if snap == nil {
		return CodeNoTable, "no table is in force yet"
	}
	route, ok := snap.Routes[r.Route]
	if !ok {
		return s.lookupError(r, CodeUnknownRoute, fmt.Sprintf("route %q does not exist", r.Route))
	}
	r.route = route
	if code, text := s.authorizationError(r); code != "" {
		return code, text
	}
	r.level = s.levels().Of(snap, r.account, route)
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

// lookupError returns the code and text for a request whose route or key is not in the table
// in force. If the adapter found them in an older table, the caller may retry: the route or
// the key may have another name in the new table.
func (s *step) lookupError(r *request, code, text string) (string, string) {
	if r.Table > 0 && r.Table < s.version() {
		return CodeTableChanged, "the table has changed while the request arrived"
	}
	return code, text
}

func (s *step) authorizationError(r *request) (code, text string) {
	if r.route.Open {
		r.account = r.route.Account
		return "", ""
	}
	key, ok := s.snapshot().Keys[r.Key]
	if !ok || r.Key == "" {
		return s.lookupError(r, CodeUnauthorized, "a valid key is required")
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

func (s *step) handleLimitDecision(r *request, d limit.Decision) {
	switch d := d.(type) {
	case limit.Admitted:
		s.admitted(r, d.NotAfter)
	case limit.Pending:
		r.addTrace(s.now, "asked peers for rate tokens")
	case limit.Refused:
		if d.WithinRate {
			s.emit(Count{Name: MetricRefusedInRate, Account: r.account, N: 1})
		}
		s.refuse(r, CodeRateLimited, "the client account is above its rate", d.RetryAfter)
	}
}

// admitted charges an admitted request and starts its first attempt, or requests a
// claim if it needs one. notAfter is the expiry of the lease under which it was admitted.
func (s *step) admitted(r *request, notAfter time.Time) {
	r.admitted = true
	r.notAfter = notAfter
	r.addTrace(s.now, "admitted for %d tokens%s", r.cost(), r.levelSuffix())
	if waited := r.earlierWait(); waited > 0 {
		r.addTrace(s.now, "the caller had waited %s before it came to this host", waited)
	}
	s.emit(Charged{Request: r.Request, Account: r.account, Tokens: r.cost()})
	switch {
	case !r.isService():
		s.requestSlot(r)
	case r.route.Idempotent || r.relayed:
		s.callService(r)
	default:
		s.requestClaim(r)
	}
}

// refuse ends a request without a complete response of its last attempt. The reply of an earlier
// attempt is forwarded if there is one.
func (s *step) refuse(r *request, code, text string, retry time.Duration) {
	notRun := !r.mayHaveRun()
	r.addTrace(s.now, "refused: %s (not-run %t)", code, notRun)
	s.releaseAttempt(r, "")
	if s.forwardReply(r) {
		return
	}
	if !r.callerLeft {
		s.emit(Refuse{Request: r.Request, Code: code, Text: text, NotRun: notRun, RetryAfter: retry})
	}
	s.emit(Count{Name: MetricRefused, Account: r.account, Code: code, N: 1})
	s.countRefusedLevel(r, code)
	s.close(r, code)
}

// close settles the charge of a request and removes it from the state.
func (s *step) close(r *request, result string) {
	s.settleCharge(r)
	if r.stage == StageClaim {
		claim.Abandon(s.claims, r.Request)
	}
	s.endProbe(r, quarantine.ProbeInconclusive)
	s.keepRecord(r, result)
	s.logEnd(r, result)
	delete(s.requests, r.Request)
	s.emit(Closed{Request: r.Request})
}

// settleCharge returns what a request has been charged and has not used.
func (s *step) settleCharge(r *request) {
	switch {
	case r.stage == StageTokens:
		s.limitActions(limit.Abandon(s.limit, s.now, r.Request))
	case r.admitted:
		s.limitActions(limit.Settle(s.limit, s.now, r.Request, r.usedTokens()))
		s.emit(Refunded{Request: r.Request, Account: r.account, Tokens: r.cost() - r.usedTokens()})
	}
	r.admitted = false
}

// usedTokens returns the number of tokens that the request has consumed. The prompt
// counts once, as soon as its prefill may have started.
func (r *request) usedTokens() int64 {
	if !r.mayHaveRun() {
		return 0
	}
	if r.relayed {
		return r.cost()
	}
	return r.PromptTokens + r.delivered
}

// callerGone cancels a request in any stage. A running service call continues, because
// its outcome must be recorded, unless cancelCall cancels it.
func (s *step) callerGone(req id.Request) {
	r, ok := s.requests[req]
	if !ok {
		return
	}
	r.addTrace(s.now, "caller gone in stage %s", r.stage)
	r.callerLeft = true
	if r.stage == StageCall && !s.cancelCall(r) {
		return
	}
	s.releaseAttempt(r, "")
	s.emit(Count{Name: MetricCancelled, Account: r.account, N: 1})
	s.close(r, CodeCallerGone)
}

func checkRequests(st *State) error {
	for req, r := range st.requests {
		if r.callerLeft && r.stage != StageCall {
			return fmt.Errorf("core: request %s: caller has disconnected in stage %s, which must end the request", req, r.stage)
		}
		if r.stage == StageDecode && r.decode == "" {
			return fmt.Errorf("core: request %s: stage is decode, but no decode endpoint is set", req)
		}
		if _, ok := r.outOfOrder[r.delivered]; ok {
			return fmt.Errorf("core: request %s: chunk at the delivered offset %d is still buffered", req, r.delivered)
		}
		if r.stage == StageCall && !r.route.Idempotent && r.attempt > 1 && r.ranEarlier {
			return fmt.Errorf("core: request %s: non-idempotent call was repeated after a possible run", req)
		}
	}
	return nil
}
