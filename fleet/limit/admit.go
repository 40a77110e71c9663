package limit

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
)

// Decision is the result of an admission: Admitted, Pending or Refused.
type Decision interface{ isDecision() }

// Admitted means that the tokens have been debited, effective at the time of the
// decision. Processing of the request must start by NotAfter, which is no later than
// the end of any local lease that the tokens came from.
type Admitted struct{ NotAfter time.Time }

// Pending means that tokens have been requested from peers. HandleTransfer returns the
// final Decision, or Tick does so at the latest in its first call after
// TokenRequestTimeout.
type Pending struct{}

// Refused means that the request is denied for lack of tokens.
type Refused struct {
	RetryAfter time.Duration // 0: the request can never be admitted
	WithinRate bool          // part of the budget was unreachable, so the account may be within its rate
}

func (Admitted) isDecision() {}
func (Pending) isDecision()  {}
func (Refused) isDecision()  {}

// Resolution is the final decision on a request that was pending.
type Resolution struct {
	Request  id.Request
	Decision Decision
}

const (
	// requestBackoffBase is the initial backoff of an account after its peers lacked
	// tokens. During a backoff no peer gets a TokenRequest. It doubles with each
	// failure, up to requestBackoffMax, and a success undoes one doubling.
	requestBackoffBase = 100 * time.Millisecond
	requestBackoffMax  = 6400 * time.Millisecond
	// requestBackoffDoublings is log2 of requestBackoffMax/requestBackoffBase.
	requestBackoffDoublings = 6
	// probeStreak is the number of failures after which tokens are requested from at most
	// probePeers peers.
	probeStreak = 2
	probePeers  = 2
)

// request is an admitted or pending request.
type request struct {
	id        id.Request
	account   id.Account
	tokens    int64
	admitted  bool
	notAfter  time.Time
	draws     []draw
	transfers []transfer

	deadline    time.Time
	nextRound   time.Time
	peers       []id.Host               // peers without a TokenRequest so far
	outstanding map[id.Host]peerRequest // peers that have not answered yet
	earmark     int64                   // local tokens set aside for the request
	reachable   bool                    // every slot of the account appeared reachable
}

// draw is a debit of one local bucket.
type draw struct {
	bucket *bucket
	charge uint64
	tokens int64
}

// requestBackoff is the backoff of an account whose peers lacked tokens.
type requestBackoff struct {
	until      time.Time
	streak     int  // doublings of the next backoff
	withinRate bool // Refused.WithinRate of the refusals during the backoff
}

// source is a usable local bucket of an account.
type source struct {
	bucket *bucket
	expiry time.Time
	order  int
}

// Admit charges a request's tokens to its account. Tokens come from the local buckets,
// or from peers if these do not suffice. A repeated call for an admitted or pending
// request returns the earlier decision.
func Admit(s *State, now time.Time, req id.Request, account id.Account, tokens int64) (Decision, []Action) {
	if r := s.requests[req]; r != nil {
		return r.decision(), nil
	}
	budget, ok := s.budgets[account]
	tokens = max(tokens, 0)
	if !ok || tokens > budget.Burst {
		return Refused{}, nil
	}
	r := &request{id: req, account: account, tokens: tokens}
	if s.tryAdmit(now, r) {
		s.requests[req] = r
		return r.decision(), nil
	}
	if b := s.requestBackoffs[account]; now.Before(b.until) {
		return Refused{RetryAfter: s.retryAfter(now, r), WithinRate: b.withinRate}, nil
	}
	if !s.cfg.NoTransfer {
		s.selectPeers(now, r)
	}
	if len(r.peers) == 0 {
		return s.refusal(now, r), nil
	}
	s.requests[req] = r
	s.pending[req] = r
	return Pending{}, s.requestTokens(now, r)
}

// Settle ends a request that used the given number of tokens, and returns the unused
// ones to the buckets they came from. A pending request is abandoned.
func Settle(s *State, now time.Time, req id.Request, used int64) []Action {
	r := s.requests[req]
	if r == nil {
		return nil
	}
	if !r.admitted {
		return Abandon(s, now, req)
	}
	delete(s.requests, req)
	unused := min(max(r.tokens-used, 0), r.tokens)
	for _, d := range r.draws {
		unused -= d.bucket.refund(now, d.charge, min(unused, d.tokens))
	}
	var actions []Action
	for _, t := range r.transfers {
		n := min(unused, t.tokens)
		unused -= n
		actions = append(actions, t.returnTokens(r.account, n)...)
	}
	return actions
}

// Abandon ends a pending request whose caller has disconnected.
func Abandon(s *State, _ time.Time, req id.Request) []Action {
	r := s.pending[req]
	if r == nil {
		return nil
	}
	return s.drop(r)
}

func (r *request) decision() Decision {
	if r.admitted {
		return Admitted{NotAfter: r.notAfter}
	}
	return Pending{}
}

// drop removes a pending request and returns its transfers.
func (s *State) drop(r *request) []Action {
	s.setEarmark(r, 0)
	delete(s.pending, r.id)
	delete(s.requests, r.id)
	var actions []Action
	for _, t := range r.transfers {
		actions = append(actions, t.returnTokens(r.account, t.tokens)...)
	}
	return actions
}

// tryAdmit admits the request if its transfers and the local buckets suffice.
func (s *State) tryAdmit(now time.Time, r *request) bool {
	missing := r.tokens - r.received(now)
	sources := s.sources(now, r.account)
	if missing > s.free(now, r, sources) {
		return false
	}
	s.setEarmark(r, 0)
	delete(s.pending, r.id)
	r.admitted = true
	r.notAfter = now.Add(s.cfg.PooledLease - s.cfg.Margin)
	slices.SortStableFunc(sources, compareHeadroom)
	for _, src := range sources {
		if missing <= 0 {
			break
		}
		n := min(missing, src.bucket.tokens(now))
		if n == 0 {
			continue
		}
		s.lastCharge++
		src.bucket.debit(now, s.lastCharge, n)
		r.draws = append(r.draws, draw{bucket: src.bucket, charge: s.lastCharge, tokens: n})
		if src.expiry.Before(r.notAfter) {
			r.notAfter = src.expiry
		}
		missing -= n
	}
	return true
}

// compareHeadroom orders sources by headroom, least first, because a bucket loses refill
// once it reaches its burst. The order field breaks ties.
func compareHeadroom(a, b source) int {
	headroom := func(src source) int64 { return src.bucket.burst - src.bucket.held - src.bucket.level }
	if c := cmp.Compare(headroom(a), headroom(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.order, b.order)
}

// sources returns the usable local buckets of an account.
func (s *State) sources(now time.Time, account id.Account) []source {
	var out []source
	for _, g := range s.accountGroups(account) {
		for k := range g.parts {
			b := g.parts[k].buckets[account]
			if b == nil || !g.usable(partKind(k), now) {
				continue
			}
			out = append(out, source{bucket: b, expiry: g.parts[k].expiry, order: len(out)})
		}
	}
	return out
}

// accountGroups returns the groups of this host's zone with a slot of the account.
func (s *State) accountGroups(account id.Account) []*group {
	budget, ok := s.budgets[account]
	if !ok {
		return nil
	}
	var out []*group
	for _, i := range groupsOf(s.cfg, account, budget, s.cfg.Zone) {
		out = append(out, s.groups[i])
	}
	return out
}

// free returns the local tokens that are not set aside for another pending request.
func (s *State) free(now time.Time, r *request, sources []source) int64 {
	total := r.earmark - s.earmarked[r.account]
	for _, src := range sources {
		total += src.bucket.tokens(now)
	}
	return max(total, 0)
}

func (s *State) setEarmark(r *request, tokens int64) {
	s.earmarked[r.account] += tokens - r.earmark
	if s.earmarked[r.account] == 0 {
		delete(s.earmarked, r.account)
	}
	r.earmark = tokens
}

// refuse ends a pending request with a refusal.
func (s *State) refuse(now time.Time, r *request) (Decision, []Action) {
	d := s.refusal(now, r)
	return d, s.drop(r)
}

// refusal returns a refusal for lack of tokens and starts a backoff, in which the host
// requests no tokens of the account from peers.
func (s *State) refusal(now time.Time, r *request) Refused {
	within := !r.reachable || len(r.outstanding) > 0
	b := s.requestBackoffs[r.account]
	if !now.Before(b.until) {
		b.until = now.Add(requestBackoffBase << min(b.streak, requestBackoffDoublings))
		b.streak = min(b.streak+1, requestBackoffDoublings)
	}
	b.withinRate = within
	s.requestBackoffs[r.account] = b
	return Refused{RetryAfter: s.retryAfter(now, r), WithinRate: within}
}

// retryAfter estimates when the missing tokens will be available. It assumes refill at
// the rate of the whole account, and waits at least for the end of the backoff.
func (s *State) retryAfter(now time.Time, r *request) time.Duration {
	wait := max(s.requestBackoffs[r.account].until.Sub(now), requestBackoffBase)
	if rate := s.budgets[r.account].Rate; rate > 0 {
		missing := r.tokens - s.free(now, r, s.sources(now, r.account))
		refill := time.Duration(float64(missing) / float64(rate) * float64(time.Second))
		wait = max(wait, refill)
	}
	return wait
}

// recordRequestSuccess shortens the next backoff of an account after peers supplied the
// tokens.
func (s *State) recordRequestSuccess(account id.Account) {
	if b, ok := s.requestBackoffs[account]; ok {
		b.streak = max(b.streak-1, 0)
		s.requestBackoffs[account] = b
	}
}

// tickPending advances all pending requests, in the order of their IDs.
func (s *State) tickPending(now time.Time) ([]Resolution, []Action) {
	ids := make([]id.Request, 0, len(s.pending))
	for req := range s.pending {
		ids = append(ids, req)
	}
	slices.Sort(ids)
	var resolved []Resolution
	var actions []Action
	for _, req := range ids {
		d, out := s.advancePending(now, s.pending[req])
		actions = append(actions, out...)
		if _, waiting := d.(Pending); !waiting {
			resolved = append(resolved, Resolution{Request: req, Decision: d})
		}
	}
	return resolved, actions
}

// advancePending admits or refuses a pending request, or sends its next TokenRequests.
func (s *State) advancePending(now time.Time, r *request) (Decision, []Action) {
	if now.After(r.deadline) {
		return s.refuse(now, r)
	}
	if s.tryAdmit(now, r) {
		s.recordRequestSuccess(r.account)
		return r.decision(), r.returnExcess(now)
	}
	if len(r.outstanding) > 0 && now.Before(r.nextRound) {
		return Pending{}, nil
	}
	if len(r.peers) > 0 {
		return Pending{}, s.requestTokens(now, r)
	}
	if len(r.outstanding) == 0 {
		return s.refuse(now, r)
	}
	return Pending{}, nil
}

// returnExcess returns the transferred tokens that an admitted request does not need,
// and transfers that have expired.
func (r *request) returnExcess(now time.Time) []Action {
	var actions []Action
	remaining := r.tokens
	var kept []transfer
	for _, t := range r.transfers {
		n := min(t.tokens, remaining)
		if now.After(t.notAfter) {
			n = 0
		}
		remaining -= n
		if n == t.tokens {
			kept = append(kept, t)
			continue
		}
		actions = append(actions, t.returnTokens(r.account, t.tokens-n)...)
	}
	r.transfers = kept
	return actions
}
