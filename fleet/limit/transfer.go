package limit

import (
	"slices"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	// maxPeers is the maximum number of peers that get a TokenRequest for one request.
	maxPeers = 12
	// maxLocalPeers is the maximum number of them in this host's zone.
	maxLocalPeers = 4
	// requestsPerRound is the number of TokenRequests in each round. The first round
	// sends only one.
	requestsPerRound = 2
	// roundsPerTimeout sets how long a request waits for answers before the
	// next round: TokenRequestTimeout/roundsPerTimeout.
	roundsPerTimeout = 4
	// requestedAtRetention is how long the time of the last TokenRequest to a peer is
	// kept.
	requestedAtRetention = 10 * time.Second
	// transferKeyRetention is how long a duplicate TokenTransfer is recognized. It is
	// longer than the sender keeps its record of the transfer, so the tokens of a
	// duplicate that arrives later can no longer be returned.
	transferKeyRetention = chargeRetention + time.Minute
)

// peerRequest is a TokenRequest that has not been answered.
type peerRequest struct {
	at time.Time
}

// transfer is an amount of tokens received from a peer.
type transfer struct {
	from     id.Host
	tokens   int64
	charge   uint64
	notAfter time.Time // the tokens must be spent or returned by then
}

// outgoing is a transfer to a peer, kept so that unspent tokens can be returned.
type outgoing struct {
	at    time.Time
	draws []draw
}

// transferKey identifies a received TokenTransfer.
type transferKey struct {
	from   id.Host
	charge uint64
}

type peerAccount struct {
	peer    id.Host
	account id.Account
}

// HandleRequest answers a peer's request for tokens. The tokens are debited before the
// answer is sent.
func HandleRequest(s *State, now time.Time, from id.Host, m message.TokenRequest) []Action {
	reply := message.TokenTransfer{Request: m.Request, Account: m.Account}
	until := now.Add(s.cfg.transferHold())
	draws := s.debitTransfers(now, until, m)
	for _, d := range draws {
		reply.Tokens += d.tokens
		reply.Charge = d.charge
	}
	if reply.Tokens > 0 {
		reply.Valid = s.cfg.TokenRequestTimeout
		s.outgoing[reply.Charge] = outgoing{at: now, draws: draws}
	}
	return []Action{Send{To: from, Message: reply}}
}

// debitTransfers debits up to the requested tokens, all under one charge.
func (s *State) debitTransfers(now, until time.Time, m message.TokenRequest) []draw {
	sources := s.transferSources(now, until, m.Account)
	remaining := min(m.Tokens, s.free(now, &request{account: m.Account}, sources))
	if remaining <= 0 {
		return nil
	}
	s.lastCharge++
	slices.SortStableFunc(sources, compareHeadroom)
	var draws []draw
	for _, src := range sources {
		n := min(remaining, src.bucket.tokens(now))
		if n <= 0 {
			continue
		}
		src.bucket.debitTransfer(now, s.lastCharge, n, until)
		draws = append(draws, draw{bucket: src.bucket, charge: s.lastCharge, tokens: n})
		remaining -= n
	}
	return draws
}

func (s *State) transferSources(now, until time.Time, account id.Account) []source {
	var out []source
	for _, g := range s.accountGroups(account) {
		for k := range g.parts {
			b := g.parts[k].buckets[account]
			if b == nil || !g.transferable(partKind(k), until) {
				continue
			}
			b.advance(now)
			out = append(out, source{bucket: b, order: len(out)})
		}
	}
	return out
}

// HandleTransfer processes a peer's answer to a TokenRequest. It returns the decision
// for the request, which is Pending if the request still waits. If the request does not
// expect this answer, HandleTransfer returns nil as decision and sends the tokens back.
// A duplicate answer is ignored.
func HandleTransfer(s *State, now time.Time, from id.Host, m message.TokenTransfer) (Decision, []Action) {
	t := transfer{from: from, tokens: m.Tokens, charge: m.Charge}
	if m.Tokens > 0 && s.markReceived(now, from, m.Charge) {
		return nil, nil
	}
	r := s.pending[m.Request]
	if r == nil {
		return nil, t.returnTokens(m.Account, m.Tokens)
	}
	peerReq, ok := r.outstanding[from]
	if !ok || r.account != m.Account {
		return nil, t.returnTokens(m.Account, m.Tokens)
	}
	delete(r.outstanding, from)
	if m.Tokens > 0 {
		t.notAfter = peerReq.at.Add(m.Valid)
		r.transfers = append(r.transfers, t)
	}
	return s.advancePending(now, r)
}

// HandleReturn refunds the tokens of a transfer that a peer did not spend. Only the
// first return of a transfer has an effect.
func HandleReturn(s *State, now time.Time, m message.TokenReturn) {
	o, ok := s.outgoing[m.Charge]
	if !ok {
		return
	}
	delete(s.outgoing, m.Charge)
	remaining := m.Tokens
	for _, d := range o.draws {
		n := min(remaining, d.tokens)
		remaining -= n
		d.bucket.refund(now, d.charge, n)
	}
}

// markReceived reports whether a TokenTransfer was received before, and records it.
func (s *State) markReceived(now time.Time, from id.Host, charge uint64) bool {
	key := transferKey{from: from, charge: charge}
	_, ok := s.received[key]
	s.received[key] = now
	return ok
}

// returnTokens returns tokens of a transfer to its sender.
func (t transfer) returnTokens(account id.Account, tokens int64) []Action {
	if tokens <= 0 {
		return nil
	}
	back := message.TokenReturn{Account: account, Tokens: tokens, Charge: t.charge}
	return []Action{Send{To: t.from, Message: back}}
}

// received returns the transferred tokens that may still be spent.
func (r *request) received(now time.Time) int64 {
	var total int64
	for _, t := range r.transfers {
		if !now.After(t.notAfter) {
			total += t.tokens
		}
	}
	return total
}

// selectPeers selects the peers that may get a TokenRequest, starting with the
// least recently requested.
func (s *State) selectPeers(now time.Time, r *request) {
	r.deadline = now.Add(s.cfg.TokenRequestTimeout)
	r.outstanding = map[id.Host]peerRequest{}
	r.reachable = s.localReachable(now, r.account)
	limit := maxPeers
	if s.requestBackoffs[r.account].streak >= probeStreak {
		limit = probePeers
	}
	peers := s.likelyHolders(r)
	slices.SortStableFunc(peers, func(a, b id.Host) int {
		return s.lastRequested(a, r.account).Compare(s.lastRequested(b, r.account))
	})
	r.peers = peers[:min(len(peers), limit)]
}

// lastRequested returns when tokens of the account were last requested from a peer.
func (s *State) lastRequested(peer id.Host, account id.Account) time.Time {
	return s.requestedAt[peerAccount{peer: peer, account: account}]
}

// localReachable reports whether this host can use every slot of the account for which
// it is the preferred holder.
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

// likelyHolders returns the preferred holders of the account's groups: first those in
// this host's zone, then those in the other zones, round-robin. The hash of the request
// ID spreads the requests of a large account over its groups.
func (s *State) likelyHolders(r *request) []id.Host {
	spread := hashOf(string(r.id))
	var peers []id.Host
	add := func(h id.Host) {
		if h != "" && h != s.cfg.Host && !slices.Contains(peers, h) {
			peers = append(peers, h)
		}
	}
	for _, h := range s.zonePeers(r.account, s.cfg.Zone, spread) {
		if len(peers) < maxLocalPeers {
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
	for i := range maxPeers {
		for _, hosts := range byZone {
			if i < len(hosts) && len(peers) < maxPeers {
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

// zonePeers returns the preferred holders of up to maxPeers of the account's
// groups in a zone.
func (s *State) zonePeers(account id.Account, zone id.Zone, spread uint64) []id.Host {
	groups := groupsOf(s.cfg, account, s.budgets[account], zone)
	n := len(groups)
	var out []id.Host
	for i := range min(n, maxPeers) {
		group := groups[(i+int(spread%uint64(n)))%n]
		out = append(out, s.preferredHolder(zone, group))
	}
	return out
}

// requestTokens returns the request's next round of TokenRequest messages. It sets
// aside the free local tokens and requests the rest from each peer of the round. The
// first round requests all tokens.
func (s *State) requestTokens(now time.Time, r *request) []Action {
	got := r.received(now)
	local := min(s.free(now, r, s.sources(now, r.account)), r.tokens-got)
	s.setEarmark(r, local)
	want := r.tokens - got - local
	n := requestsPerRound
	if r.nextRound.IsZero() {
		n = 1
		want = r.tokens
	}
	n = min(n, len(r.peers))
	var actions []Action
	for _, peer := range r.peers[:n] {
		r.outstanding[peer] = peerRequest{at: now}
		s.requestedAt[peerAccount{peer: peer, account: r.account}] = now
		m := message.TokenRequest{Request: r.id, Account: r.account, Tokens: want}
		actions = append(actions, Send{To: peer, Message: m})
	}
	r.peers = r.peers[n:]
	r.nextRound = now.Add(s.cfg.TokenRequestTimeout / roundsPerTimeout)
	return actions
}

// initialCharge returns the initial charge ID of a process. Hashing the incarnation makes
// overlap with earlier processes of the host unlikely, so that a late TokenReturn for
// an earlier process matches no charge.
func initialCharge(cfg Config) uint64 {
	return hashOf("charge", string(cfg.Host), strconv.FormatUint(uint64(cfg.Incarnation), 10))
}
