package limit

import (
	"slices"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	// maxAsks is the greatest number of peers that one request asks.
	maxAsks = 12
	// maxOwnZone is the greatest number of peers of the own zone among them.
	maxOwnZone = 4
	// asksPerRound is the number of peers asked at once after the first.
	asksPerRound = 2
	// roundsPerTimeout sets how long a request waits for answers before it asks
	// further peers: AskTimeout divided by this.
	roundsPerTimeout = 4
	// askLife is the time for which the last ask to a peer is remembered.
	askLife = 10 * time.Second
	// receiptLife is the time for which a repeated TokenGive is recognised. It
	// outlasts the record at the giver, so a repeat cannot be returned.
	receiptLife = chargeLife + time.Minute
)

// askOf is one ask that has not been answered.
type askOf struct {
	at time.Time
}

// gift is a number of tokens received from a peer.
type gift struct {
	from     id.Host
	tokens   int64
	charge   uint64
	notAfter time.Time // spend or return by then
}

// given is a gift to a peer that may be returned.
type given struct {
	at    time.Time
	draws []draw
}

// receipt names a TokenGive.
type receipt struct {
	from   id.Host
	charge uint64
}

type peerAccount struct {
	peer    id.Host
	account id.Account
}

// HandleAsk answers a peer that asks for tokens. They are debited before they
// are sent.
func HandleAsk(s *State, now time.Time, from id.Host, m message.TokenAsk) []Action {
	give := message.TokenGive{Request: m.Request, Account: m.Account}
	until := now.Add(s.cfg.giftHold())
	draws := s.drawGift(now, until, m)
	for _, d := range draws {
		give.Tokens += d.tokens
		give.Charge = d.charge
	}
	if give.Tokens > 0 {
		give.Valid = s.cfg.AskTimeout
		s.given[give.Charge] = given{at: now, draws: draws}
	}
	return []Action{Send{To: from, Message: give}}
}

// drawGift debits up to the tokens of an ask, all under one charge.
func (s *State) drawGift(now, until time.Time, m message.TokenAsk) []draw {
	sources := s.giftSources(now, until, m.Account)
	left := min(m.Tokens, s.free(now, &request{account: m.Account}, sources))
	if left <= 0 {
		return nil
	}
	s.lastCharge++
	slices.SortStableFunc(sources, fullestFirst)
	var draws []draw
	for _, src := range sources {
		n := min(left, src.bucket.tokens(now))
		if n <= 0 {
			continue
		}
		src.bucket.give(now, s.lastCharge, n, until)
		draws = append(draws, draw{bucket: src.bucket, charge: s.lastCharge, tokens: n})
		left -= n
	}
	return draws
}

func (s *State) giftSources(now, until time.Time, account id.Account) []source {
	var out []source
	for _, g := range s.accountGroups(account) {
		for k := range g.parts {
			b := g.parts[k].buckets[account]
			if b == nil || !g.giveable(partKind(k), until) {
				continue
			}
			b.advance(now)
			out = append(out, source{bucket: b, order: len(out)})
		}
	}
	return out
}

// HandleGive takes the answer of a peer. It returns the decision for the
// request, Pending if it still waits, and nil if the request does not wait for
// this answer; the tokens are then returned. A repeated answer is ignored.
func HandleGive(s *State, now time.Time, from id.Host, m message.TokenGive) (Decision, []Action) {
	g := gift{from: from, tokens: m.Tokens, charge: m.Charge}
	if m.Tokens > 0 && s.seen(now, from, m.Charge) {
		return nil, nil
	}
	r := s.pending[m.Request]
	if r == nil {
		return nil, g.giveBack(m.Account, m.Tokens)
	}
	ask, ok := r.asked[from]
	if !ok || r.account != m.Account {
		return nil, g.giveBack(m.Account, m.Tokens)
	}
	delete(r.asked, from)
	if m.Tokens > 0 {
		g.notAfter = ask.at.Add(m.Valid)
		r.gifts = append(r.gifts, g)
	}
	return s.progress(now, r)
}

// HandleReturn puts back tokens of a gift that a peer did not spend. A gift can
// be returned once.
func HandleReturn(s *State, now time.Time, m message.TokenReturn) {
	g, ok := s.given[m.Charge]
	if !ok {
		return
	}
	delete(s.given, m.Charge)
	left := m.Tokens
	for _, d := range g.draws {
		n := min(left, d.tokens)
		left -= n
		d.bucket.refund(now, d.charge, n)
	}
}

// seen reports whether a TokenGive arrived before, and notes it.
func (s *State) seen(now time.Time, from id.Host, charge uint64) bool {
	key := receipt{from: from, charge: charge}
	_, ok := s.received[key]
	s.received[key] = now
	return ok
}

// giveBack returns tokens of a gift to the giver.
func (g gift) giveBack(account id.Account, tokens int64) []Action {
	if tokens <= 0 {
		return nil
	}
	back := message.TokenReturn{Account: account, Tokens: tokens, Charge: g.charge}
	return []Action{Send{To: g.from, Message: back}}
}

// received returns the tokens of gifts that may still be spent.
func (r *request) received(now time.Time) int64 {
	var total int64
	for _, g := range r.gifts {
		if !now.After(g.notAfter) {
			total += g.tokens
		}
	}
	return total
}

// planAsks chooses the peers that a request may ask.
func (s *State) planAsks(now time.Time, r *request) {
	r.deadline = now.Add(s.cfg.AskTimeout)
	r.asked = map[id.Host]askOf{}
	r.reachable = s.localReachable(now, r.account)
	limit := maxAsks
	if s.dry[r.account].streak >= probeStreak {
		limit = probePeers
	}
	peers := s.likelyHolders(r)
	slices.SortStableFunc(peers, func(a, b id.Host) int {
		return s.lastAsked(a, r.account).Compare(s.lastAsked(b, r.account))
	})
	r.peers = peers[:min(len(peers), limit)]
}

// lastAsked returns when a peer was last asked for tokens of the account.
func (s *State) lastAsked(peer id.Host, account id.Account) time.Time {
	return s.askedAt[peerAccount{peer: peer, account: account}]
}

// localReachable reports whether every slot of the account for which this host
// is the preferred holder can be used.
func (s *State) localReachable(now time.Time, account id.Account) bool {
	for _, g := range s.accountGroups(account) {
		if g.preferred != s.cfg.Host {
			continue
		}
		if !g.usable(pooled, now) || !g.usable(reserve, now) {
			return false
		}
	}
	return true
}

// likelyHolders returns the preferred holders of the account's groups: first of
// the own zone, then of the other zones in turn. The request's hash spreads the
// asks of a large account over its groups.
func (s *State) likelyHolders(r *request) []id.Host {
	spread := hashOf(string(r.id))
	var peers []id.Host
	add := func(h id.Host) {
		if h != "" && h != s.cfg.Host && !slices.Contains(peers, h) {
			peers = append(peers, h)
		}
	}
	for _, h := range s.zonePeers(r.account, s.cfg.Zone, spread) {
		if len(peers) < maxOwnZone {
			add(h)
		}
	}
	zones := s.otherZones(spread)
	var byZone [][]id.Host
	for _, zone := range zones {
		hosts := s.zonePeers(r.account, zone, spread)
		if len(hosts) == 0 || hosts[0] == "" {
			r.reachable = false
		}
		byZone = append(byZone, hosts)
	}
	for i := range maxAsks {
		for _, hosts := range byZone {
			if i < len(hosts) && len(peers) < maxAsks {
				add(hosts[i])
			}
		}
	}
	return peers
}

func (s *State) otherZones(spread uint64) []id.Zone {
	var out []id.Zone
	n := len(s.cfg.Zones)
	for i := range n {
		zone := s.cfg.Zones[(i+int(spread%uint64(n)))%n]
		if zone != s.cfg.Zone {
			out = append(out, zone)
		}
	}
	return out
}

// zonePeers returns the preferred holders of up to maxAsks of the account's
// groups in a zone.
func (s *State) zonePeers(account id.Account, zone id.Zone, spread uint64) []id.Host {
	groups := groupsOf(s.cfg, account, s.budgets[account], zone)
	n := len(groups)
	var out []id.Host
	for i := range min(n, maxAsks) {
		group := groups[(i+int(spread%uint64(n)))%n]
		out = append(out, s.holder(zone, group))
	}
	return out
}

// ask asks the next peers for what the request lacks, and counts on the local
// tokens that are free.
func (s *State) ask(now time.Time, r *request) []Action {
	got := r.received(now)
	local := min(s.free(now, r, s.sources(now, r.account)), r.tokens-got)
	s.setEarmark(r, local)
	want := r.tokens - got - local
	n := asksPerRound
	if r.nextRound.IsZero() {
		n = 1
		want = r.tokens
	}
	n = min(n, len(r.peers))
	var actions []Action
	for _, peer := range r.peers[:n] {
		r.asked[peer] = askOf{at: now}
		s.askedAt[peerAccount{peer: peer, account: r.account}] = now
		m := message.TokenAsk{Request: r.id, Account: r.account, Tokens: want}
		actions = append(actions, Send{To: peer, Message: m})
	}
	r.peers = r.peers[n:]
	r.nextRound = now.Add(s.cfg.AskTimeout / roundsPerTimeout)
	return actions
}

// chargeBase starts the charge numbers of a process where no other process of
// the host is likely to have used them, so that a late TokenReturn for an
// earlier process finds no charge.
func chargeBase(cfg Config) uint64 {
	return hashOf("charge", string(cfg.Host), strconv.FormatUint(uint64(cfg.Incarnation), 10))
}
