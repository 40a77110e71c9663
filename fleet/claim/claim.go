// Package claim records durable claims for requests that must run at most once.
//
// A claim consists of an idempotency key of a client account, a nonce that
// identifies one attempt to claim the key, and a digest of the request. Claims are
// stored in one platform object per shard. All changes are conditional updates, so
// the entry of a key only changes as follows:
//
//	absent -> claimed by a nonce -> done, or not run -> claimed by another nonce
//
// Only the host that chose a nonce settles it. An entry keeps the latest nonces
// that did not run, so that a delayed message cannot claim the key for one of them
// again. An attempt has won when its nonce is read back or written as claimed while
// its host is still waiting for it. A host that gives up on an attempt never
// dispatches it: the nonce is revoked, and the host records it as not run in the
// background, even if the claim itself was never recorded. That update makes any
// write of the claim that is still in flight fail, because the version condition of
// that write no longer holds.
//
// A claim without a settlement, such as that of a killed host, blocks its key until
// it expires, because its outcome is unknown.
//
// The requester sends a claim to the owner of its shard, which batches the updates
// of many hosts. If the owner does not answer, the requester writes the claim
// itself.
//
// Each Read and Write must be answered exactly once, by HandleRead or HandleWrite.
// A call that timed out counts as Failed or object.WriteUnknown.
package claim

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

const (
	// attemptTimeoutFactor is the time after which an attempt ends as unavailable,
	// as a multiple of Config.ReplyTimeout.
	attemptTimeoutFactor = 8
	// settleFlushFactor is the time for which settlements wait for other updates of
	// their shard, as a multiple of Config.Flush. No caller waits for settlements.
	settleFlushFactor = 10
	// maxSettlementAge is the time for which a settlement is retried. It covers a
	// platform outage of about an hour.
	maxSettlementAge = time.Hour
	// revokedRetention is the time for which late replies to revoked nonces are
	// recognized.
	revokedRetention = 10 * time.Minute
	// shardCacheTTL is the time for which an unused shard stays in memory.
	shardCacheTTL = time.Minute
	// minBackoff and maxBackoff bound the backoff after a failed platform call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxClaimBytes is the size of a stored shard above which it accepts no new
	// claims.
	maxClaimBytes = 900_000
	// maxShardBytes is the size of a stored shard above which outcomes are dropped.
	// It leaves a margin below the platform's object limit of 1 MiB.
	maxShardBytes = 1_000_000
	// expiryMarginDivisor sets how much longer than Config.Retention entries are
	// kept: by a quarter of it, which allows for differences between the wall
	// clocks of hosts.
	expiryMarginDivisor = 4
)

// Config holds the settings of one host.
type Config struct {
	Host         id.Host
	Shards       int           // must be the same on all hosts
	Flush        time.Duration // time for which the claims of one shard are batched
	ReplyTimeout time.Duration // time after which the requester writes the claim itself
	Retention    time.Duration // time for which claims are kept
	MaxOutcome   int           // largest outcome that is stored, in bytes
}

// Action is an operation that the caller of the package must carry out.
type Action interface{ isAction() }

// Read requests a read of an object of kind claim.
type Read struct{ Name string }

// Write requests a conditional update of an object of kind claim.
type Write struct {
	Name      string
	IfVersion uint64 // 0 creates the object
	Value     []byte
}

// Send requests the delivery of a message to another host.
type Send struct {
	To      id.Host
	Message message.Message
}

// Result ends one call of Claim. If Won is set, the request may be dispatched.
// Otherwise it must not be, and State is the state that is recorded for the key:
// ClaimHeld means that a run is in progress or its outcome is unknown.
type Result struct {
	Request     id.Request
	Won         bool
	State       message.ClaimState
	Mismatch    bool   // the key is in use for another request
	Expired     bool   // the key is older than the retention, so earlier use cannot be ruled out
	Unavailable bool   // no claim could be recorded; this attempt will not run
	Outcome     []byte // set with ClaimDone, unless it was too large to keep
}

func (Read) isAction()   {}
func (Write) isAction()  {}
func (Send) isAction()   {}
func (Result) isAction() {}

// State holds the attempts, settlements and shards that one host is working on.
type State struct {
	cfg        Config
	attempts   map[string]*attempt // by nonce
	forwarded  map[string]forwarded
	revoked    map[string]revoked // by nonce
	shards     map[string]*shard
	abandoned  []*attempt
	wallTime   time.Time // latest wall-clock time passed in
	wallTimeAt time.Time // value of now when wallTime was passed in
}

// DefaultConfig returns the default settings. Host is unset.
func DefaultConfig() Config {
	return Config{
		Shards:       256,
		Flush:        5 * time.Millisecond,
		ReplyTimeout: 250 * time.Millisecond,
		Retention:    24 * time.Hour,
		MaxOutcome:   2048,
	}
}

// New returns the state of a host that has just started.
func New(cfg Config) *State {
	return &State{
		cfg:       cfg,
		attempts:  map[string]*attempt{},
		forwarded: map[string]forwarded{},
		revoked:   map[string]revoked{},
		shards:    map[string]*shard{},
	}
}

// Shard returns the name of the object that stores the claims of a key.
func Shard(cfg Config, account id.Account, key string) string {
	return fmt.Sprintf("s-%03d", xxhash.Sum64String(entryKey(account, key))%uint64(cfg.Shards))
}

// entryKey identifies a key within its shard.
func entryKey(account id.Account, key string) string {
	return string(account) + "\x00" + key
}

// Claim starts an attempt to claim a key for a request. owner is the live owner of
// the shard, or empty if there is none. Exactly one Result follows, at the latest
// after eight times Config.ReplyTimeout.
func Claim(s *State, now time.Time, req id.Request, c message.Claim, owner id.Host, wallTime time.Time) []Action {
	recordWallTime(s, now, wallTime)
	if expired(s.cfg, c.Key, wallTime) {
		return []Action{Result{Request: req, Expired: true}}
	}
	if !valid(c) || isUsed(s, c.Nonce) {
		return []Action{Result{Request: req, Unavailable: true}}
	}
	a := &attempt{request: req, claim: c, owner: owner, wallTime: wallTime, started: now}
	s.attempts[c.Nonce] = a
	if owner == "" || owner == s.cfg.Host {
		return enqueueFallback(s, now, a)
	}
	a.sent = true
	return []Action{Send{To: owner, Message: message.ClaimRequest{Request: req, Claim: c}}}
}

// valid reports whether a claim can be stored as JSON without loss.
func valid(c message.Claim) bool {
	return utf8.ValidString(string(c.Account)) && utf8.ValidString(c.Key) &&
		utf8.ValidString(c.Nonce) && utf8.ValidString(c.Digest)
}

// isUsed reports whether a nonce belongs to an earlier attempt.
func isUsed(s *State, nonce string) bool {
	_, isRevoked := s.revoked[nonce]
	_, isForwarded := s.forwarded[nonce]
	return s.attempts[nonce] != nil || isRevoked || isForwarded
}

// Abandon ends an attempt whose caller disconnected before its Result. The next
// Tick returns a Result with Unavailable set, and the claim is settled as not run.
// Abandon has no effect after the Result: a claim that was won but is not
// dispatched ends with Settle.
func Abandon(s *State, req id.Request) {
	for nonce, a := range s.attempts {
		if a.request == req {
			delete(s.attempts, nonce)
			dequeue(s, a)
			s.revoked[nonce] = revoked{claim: a.claim, since: a.started}
			s.abandoned = append(s.abandoned, a)
		}
	}
	sort.Slice(s.abandoned, func(i, j int) bool {
		return s.abandoned[i].claim.Nonce < s.abandoned[j].claim.Nonce
	})
}

// HandleRequest queues the claim of another host for a shard that this host owns. It
// ignores a claim that cannot be stored as JSON.
func HandleRequest(s *State, now time.Time, from id.Host, m message.ClaimRequest, wallTime time.Time) []Action {
	recordWallTime(s, now, wallTime)
	if !valid(m.Claim) {
		return nil
	}
	p := pending{request: m.Request, claim: m.Claim, requester: from, arrived: now, wallTime: wallTime}
	return enqueue(s, now, p)
}

// HandleReply processes the answer of a shard's owner. A late answer saying that a
// revoked nonce has won causes the nonce to be recorded as not run once more.
func HandleReply(s *State, now time.Time, m message.ClaimReply) []Action {
	if st, ok := s.forwarded[m.Nonce]; ok {
		return handleSettleReply(s, now, m, st)
	}
	if r, ok := s.revoked[m.Nonce]; ok && m.Won {
		return enqueueSettle(s, now, message.ClaimSettle{Claim: r.claim, State: message.ClaimNotRun})
	}
	a, ok := s.attempts[m.Nonce]
	if !ok || a.request != m.Request {
		return nil
	}
	v := claimResult{won: m.Won, state: m.State, mismatch: m.Mismatch, outcome: m.Outcome}
	if !v.won && !v.mismatch && v.state != message.ClaimHeld && v.state != message.ClaimDone {
		return enqueueFallback(s, now, a)
	}
	actions := finish(s, now, a, v)
	if v.won || !a.written {
		return actions
	}
	// A write of this host may still take effect.
	lost := message.ClaimSettle{Claim: a.claim, State: message.ClaimNotRun}
	return append(actions, enqueueSettle(s, now, lost)...)
}

// handleSettleReply ends a forwarded settlement that the owner reports as recorded.
// Otherwise this host records it at the next Tick.
func handleSettleReply(s *State, now time.Time, m message.ClaimReply, st forwarded) []Action {
	if !m.Won && m.State != message.ClaimUnknown {
		delete(s.forwarded, m.Nonce)
		return nil
	}
	st.deadline = now
	s.forwarded[m.Nonce] = st
	return nil
}

// Settle records that a claimed run is done or that it has not run. It is called
// for runs of this host and for settlements received from other hosts; for the
// latter, this host is the owner. Outcomes above Config.MaxOutcome are not stored.
func Settle(s *State, now time.Time, m message.ClaimSettle, owner id.Host) []Action {
	nonce := m.Claim.Nonce
	if m.State != message.ClaimDone && m.State != message.ClaimNotRun {
		return nil
	}
	if len(m.Outcome) > s.cfg.MaxOutcome {
		m.Outcome = nil
	}
	if m.State == message.ClaimNotRun {
		s.revoked[nonce] = revoked{claim: m.Claim, since: now}
	}
	if owner == "" || owner == s.cfg.Host {
		return enqueueSettle(s, now, m)
	}
	if _, ok := s.forwarded[nonce]; ok {
		return nil
	}
	s.forwarded[nonce] = forwarded{settle: m, deadline: now.Add(2 * s.cfg.ReplyTimeout)}
	// The owner answers this claim after it has recorded the settlement, which
	// confirms it.
	return []Action{
		Send{To: owner, Message: m},
		Send{To: owner, Message: message.ClaimRequest{Claim: m.Claim}},
	}
}

// Tick starts the platform calls that are due, ends attempts that took too long and
// retries settlements. Call it about once per Config.Flush while there is work.
func Tick(s *State, now time.Time) []Action {
	var actions []Action
	for _, a := range s.abandoned {
		actions = append(actions, giveUp(s, now, a)...)
	}
	s.abandoned = nil
	actions = append(actions, tickAttempts(s, now)...)
	actions = append(actions, tickForwarded(s, now)...)
	for nonce, r := range s.revoked {
		if now.Sub(r.since) >= revokedRetention {
			delete(s.revoked, nonce)
		}
	}
	return append(actions, tickShards(s, now)...)
}

// Check returns an error if the state violates an invariant of the package.
func Check(s *State) error {
	queued := map[string]bool{}
	for name, sh := range s.shards {
		if sh.name != name || sh.reading && sh.write != nil {
			return fmt.Errorf("claim: shard %q has two calls outstanding", name)
		}
		for _, p := range sh.claims {
			if p.requester != "" {
				continue
			}
			queued[p.claim.Nonce] = true
			if s.attempts[p.claim.Nonce] == nil {
				return fmt.Errorf("claim: nonce %q is queued without an attempt", p.claim.Nonce)
			}
		}
	}
	for nonce, a := range s.attempts {
		if _, ok := s.revoked[nonce]; ok {
			return fmt.Errorf("claim: revoked nonce %q still has an attempt", nonce)
		}
		if a.fallback && !queued[nonce] {
			return fmt.Errorf("claim: attempt of request %q is not queued in its shard", a.request)
		}
	}
	return nil
}

// recordWallTime stores the latest wall-clock time and the value of now that goes
// with it.
func recordWallTime(s *State, now, wallTime time.Time) {
	s.wallTime, s.wallTimeAt = wallTime, now
}

// expired reports whether a key is a UUIDv7 whose timestamp is older than the
// retention.
func expired(cfg Config, key string, wallTime time.Time) bool {
	created, ok := uuidTime(key)
	return ok && wallTime.Sub(created) > cfg.Retention
}

// uuidTime returns the timestamp of a UUIDv7, which starts with the milliseconds
// since 1970.
func uuidTime(key string) (time.Time, bool) {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' || key[14] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 || raw[8]>>6 != 0b10 {
		return time.Time{}, false
	}
	ms := binary.BigEndian.Uint64(raw[:8]) >> 16
	return time.UnixMilli(int64(ms)), true
}
