package limit

import (
	"cmp"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
)

// Decision is the outcome of an admission.
type Decision interface{ isDecision() }

// Admitted means that the tokens have been debited. They count at the time of
// the decision. Work on the request must not first start after NotAfter, when
// a lease that the tokens came from ends.
type Admitted struct{ NotAfter time.Time }

// Pending means that peers have been asked for tokens. A Decision follows from
// HandleGive or Tick within AskTimeout.
type Pending struct{}

// Refused means that the request gets no tokens.
type Refused struct {
	RetryAfter time.Duration // 0: the request can never be admitted
	WithinRate bool          // a part of the budget was out of reach, so the account may be within its rate
}

func (Admitted) isDecision() {}
func (Pending) isDecision()  {}
func (Refused) isDecision()  {}

// Resolved is the decision on a request that was pending.
type Resolved struct {
	Request  id.Request
	Decision Decision
}

const (
	// dryBase is the time without asks for an account after peers lacked tokens.
	// It doubles with each failure and a success takes one doubling back.
	dryBase = 100 * time.Millisecond
	dryMax  = 6400 * time.Millisecond
	// dryDoublings is log2 of dryMax/dryBase.
	dryDoublings = 6
	// probeStreak is the number of failures after which a request asks at most
	// probePeers peers.
	probeStreak = 2
	probePeers  = 2
)

// request is an admitted or pending request.
type request struct {
	id       id.Request
	account  id.Account
	tokens   int64
	admitted bool
	notAfter time.Time
	draws    []draw
	gifts    []gift

	deadline  time.Time
	nextRound time.Time
	peers     []id.Host         // not asked yet
	asked     map[id.Host]askOf // not answered yet
	earmark   int64             // local tokens that the request counts on
	reachable bool              // all slots of the account seemed in reach
}

// draw is a debit of one local bucket.
type draw struct {
	bucket *bucket
	charge uint64
	tokens int64
}

// dryness records that peers lacked tokens for an account.
type dryness struct {
	until      time.Time
	streak     int
	withinRate bool
}

// source is a usable local bucket of an account.
type source struct {
	bucket *bucket
	expiry time.Time
	order  int
}

// Admit charges tokens of an account to a request. Tokens come from the local
// buckets, or else from peers. A repeated request gets its earlier decision.
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
	if d := s.dry[account]; now.Before(d.until) {
		return Refused{RetryAfter: s.retryAfter(now, r), WithinRate: d.withinRate}, nil
	}
	if !s.cfg.NoTransfer {
		s.planAsks(now, r)
	}
	if len(r.peers) == 0 {
		return s.refusal(now, r), nil
	}
	s.requests[req] = r
	s.pending[req] = r
	return Pending{}, s.ask(now, r)
}

// Settle ends a request that used that many tokens. What it did not use goes
// back to the buckets that it came from. A pending request is abandoned.
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
	for _, g := range r.gifts {
		n := min(unused, g.tokens)
		unused -= n
		actions = append(actions, g.giveBack(r.account, n)...)
	}
	return actions
}

// Abandon ends a pending request whose caller has gone.
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

// drop forgets a pending request and returns its gifts.
func (s *State) drop(r *request) []Action {
	s.setEarmark(r, 0)
	delete(s.pending, r.id)
	delete(s.requests, r.id)
	var actions []Action
	for _, g := range r.gifts {
		actions = append(actions, g.giveBack(r.account, g.tokens)...)
	}
	return actions
}

// tryAdmit admits the request if its gifts and the local buckets suffice.
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
	slices.SortStableFunc(sources, fullestFirst)
	for _, src := range sources {
		if missing <= 0 {
			break
		}
		n := min(missing, src.bucket.tokens(now))
		if n == 0 {
			continue
		}
		s.lastCharge++
		src.bucket.take(now, s.lastCharge, n)
		r.draws = append(r.draws, draw{bucket: src.bucket, charge: s.lastCharge, tokens: n})
		if src.expiry.Before(r.notAfter) {
			r.notAfter = src.expiry
		}
		missing -= n
	}
	return true
}

// fullestFirst puts buckets first that soonest lose refill for being full.
func fullestFirst(a, b source) int {
	room := func(src source) int64 { return src.bucket.burst - src.bucket.held - src.bucket.level }
	if c := cmp.Compare(room(a), room(b)); c != 0 {
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

// accountGroups returns the groups of the own zone with a slot of the account.
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

// free returns the local tokens that no other pending request counts on.
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

// refuse ends a pending request without tokens.
func (s *State) refuse(now time.Time, r *request) (Decision, []Action) {
	d := s.refusal(now, r)
	return d, s.drop(r)
}

// refusal builds a refusal for lack of tokens, and stops asks for the account
// for a while.
func (s *State) refusal(now time.Time, r *request) Refused {
	within := !r.reachable || len(r.asked) > 0
	d := s.dry[r.account]
	if !now.Before(d.until) {
		d.until = now.Add(dryBase << min(d.streak, dryDoublings))
		d.streak = min(d.streak+1, dryDoublings)
	}
	d.withinRate = within
	s.dry[r.account] = d
	return Refused{RetryAfter: s.retryAfter(now, r), WithinRate: within}
}

// retryAfter estimates when the tokens will be there: at the rate of the whole
// account, but not before the account may ask again.
func (s *State) retryAfter(now time.Time, r *request) time.Duration {
	wait := max(s.dry[r.account].until.Sub(now), dryBase)
	if rate := s.budgets[r.account].Rate; rate > 0 {
		missing := r.tokens - s.free(now, r, s.sources(now, r.account))
		refill := time.Duration(float64(missing) / float64(rate) * float64(time.Second))
		wait = max(wait, refill)
	}
	return wait
}

// noteSuccess shortens the next pause after an ask that got its tokens.
func (s *State) noteSuccess(account id.Account) {
	if d, ok := s.dry[account]; ok {
		d.streak = max(d.streak-1, 0)
		s.dry[account] = d
	}
}

// tickPending ends or repeats the asks of pending requests.
func (s *State) tickPending(now time.Time) ([]Resolved, []Action) {
	ids := make([]id.Request, 0, len(s.pending))
	for req := range s.pending {
		ids = append(ids, req)
	}
	slices.Sort(ids)
	var resolved []Resolved
	var actions []Action
	for _, req := range ids {
		d, out := s.progress(now, s.pending[req])
		actions = append(actions, out...)
		if _, still := d.(Pending); !still {
			resolved = append(resolved, Resolved{Request: req, Decision: d})
		}
	}
	return resolved, actions
}

// progress admits, refuses or continues a pending request.
func (s *State) progress(now time.Time, r *request) (Decision, []Action) {
	if now.After(r.deadline) {
		return s.refuse(now, r)
	}
	if s.tryAdmit(now, r) {
		s.noteSuccess(r.account)
		return r.decision(), r.returnExcess(now)
	}
	if len(r.asked) > 0 && now.Before(r.nextRound) {
		return Pending{}, nil
	}
	if len(r.peers) > 0 {
		return Pending{}, s.ask(now, r)
	}
	if len(r.asked) == 0 {
		return s.refuse(now, r)
	}
	return Pending{}, nil
}

// returnExcess returns what the gifts of an admitted request exceed its tokens
// by, and gifts that came too late.
func (r *request) returnExcess(now time.Time) []Action {
	var actions []Action
	left := r.tokens
	var kept []gift
	for _, g := range r.gifts {
		n := min(g.tokens, left)
		if now.After(g.notAfter) {
			n = 0
		}
		left -= n
		if n == g.tokens {
			kept = append(kept, g)
			continue
		}
		actions = append(actions, g.giveBack(r.account, g.tokens-n)...)
	}
	r.gifts = kept
	return actions
}
