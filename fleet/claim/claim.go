// Package claim records durable claims for requests that must run at most once.
//
// A claim names an idempotency key of an account, a nonce for one attempt to
// claim it and a digest of the request. Claims live in one platform object per
// shard. All changes go through conditional updates, so that the entry of a key
// only moves as follows:
//
//	absent -> claimed by a nonce -> done, or not run -> claimed by another nonce
//
// Only the host that chose a nonce settles it. An entry keeps the latest nonces that
// did not run, so that a late message cannot claim for them again. An attempt has won when its nonce
// has been read back or written as claimed while its host still waits for it. A
// host that gives up on an attempt never dispatches it: its nonce is dead from
// then on, and the host records it as not run in the background, also if it has
// not been recorded before. That update bars a write that is still under way, as
// its version condition no longer holds.
//
// A claim without a settlement, such as that of a killed host, blocks its key
// until it expires: its outcome is unknown.
//
// The asker sends a claim to the owner of its shard, which groups the updates of
// many hosts. If the owner does not answer, the asker writes itself.
//
// Each Read and Write must be answered exactly once, by HandleRead or
// HandleWrite: a call that timed out counts as Failed or object.WriteUnknown.
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
	// giveUpFactor is the time after which an attempt ends as unavailable, in
	// units of Config.ReplyTimeout.
	giveUpFactor = 8
	// settleFactor is the time that settlements wait for other updates of their
	// shard, in units of Config.Flush. No caller waits for them.
	settleFactor = 10
	// settleKeep is the time during which a settlement is tried. It spans an
	// outage of the platform of about an hour.
	settleKeep = time.Hour
	// deadKeep is the time during which late replies to dead nonces are recognised.
	deadKeep = 10 * time.Minute
	// cacheKeep is the time during which an unused shard stays in memory.
	cacheKeep = time.Minute
	// minRetry and maxRetry bound the back-off after a failed platform call.
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
	// maxClaimBytes is the size of a shard above which it takes no new claims.
	maxClaimBytes = 900_000
	// maxShardBytes is the size of a shard above which outcomes are dropped. It
	// leaves a margin to the platform's limit of 1 MiB.
	maxShardBytes = 1_000_000
	// expiryMargin divides Config.Retention: entries are kept for a quarter of it
	// longer, to allow for wall clocks that differ.
	expiryMargin = 4
)

// Config holds the settings of one host.
type Config struct {
	Host         id.Host
	Shards       int           // the same on all hosts
	Flush        time.Duration // time for which claims of one shard are collected
	ReplyTimeout time.Duration // time after which the asker writes itself
	Retention    time.Duration // time for which claims are kept
	MaxOutcome   int           // largest outcome that is kept, in bytes
}

// Action is what the caller of the package must do.
type Action interface{ isAction() }

// Read asks for an object of the kind claim.
type Read struct{ Name string }

// Write asks for a conditional update of an object of the kind claim.
type Write struct {
	Name      string
	IfVersion uint64 // 0 creates
	Value     []byte
}

// Send carries a message to another host.
type Send struct {
	To      id.Host
	Message message.Message
}

// Result ends one call of Claim. If Won is set, the request may be dispatched.
// Otherwise it must not be, and State tells what is recorded for the key:
// ClaimHeld means that the outcome is unknown or a run is under way.
type Result struct {
	Request     id.Request
	Won         bool
	State       message.ClaimState
	Mismatch    bool   // the key is in use for another request
	Expired     bool   // the key is too old to tell whether it was used
	Unavailable bool   // no claim could be recorded; this attempt will not run
	Outcome     []byte // with ClaimDone, unless it was too large to keep
}

func (Read) isAction()   {}
func (Write) isAction()  {}
func (Send) isAction()   {}
func (Result) isAction() {}

// ask is one call of Claim that has no result yet.
type ask struct {
	request  id.Request
	claim    message.Claim
	owner    id.Host
	wall     time.Time
	started  time.Time
	fallback bool // this host writes itself
	sent     bool // to the owner: may be or get recorded
	written  bool // part of a write of this host: may be or get recorded
}

// settling is a settlement that the owner of its shard has been asked to record.
type settling struct {
	settle message.ClaimSettle
	until  time.Time
}

// dead is a claim that this host does not dispatch, or that is known not to have run.
type dead struct {
	claim message.Claim
	since time.Time
}

// State holds the claims that one host works on.
type State struct {
	cfg       Config
	asks      map[string]*ask // by nonce
	settling  map[string]settling
	dead      map[string]dead // by nonce
	shards    map[string]*shard
	abandoned []*ask
	wall      time.Time // latest wall-clock time seen
	wallAt    time.Time // time at which it was seen
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

// New returns the state of a starting host.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		asks:     map[string]*ask{},
		settling: map[string]settling{},
		dead:     map[string]dead{},
		shards:   map[string]*shard{},
	}
}

// Shard returns the name of the object that holds the claims of a key.
func Shard(cfg Config, account id.Account, key string) string {
	return fmt.Sprintf("s-%03d", xxhash.Sum64String(entryKey(account, key))%uint64(cfg.Shards))
}

// entryKey identifies a key within its shard.
func entryKey(account id.Account, key string) string {
	return string(account) + "\x00" + key
}

// Claim starts an attempt to claim a key for a request. Owner is the live owner
// of the shard, or empty if there is none. Wall is the wall-clock time. Exactly
// one Result follows, at the latest after eight times Config.ReplyTimeout.
func Claim(s *State, now time.Time, req id.Request, c message.Claim, owner id.Host, wall time.Time) []Action {
	seeWall(s, now, wall)
	if expired(s.cfg, c.Key, wall) {
		return []Action{Result{Request: req, Expired: true}}
	}
	if !valid(c) || isUsed(s, c.Nonce) {
		return []Action{Result{Request: req, Unavailable: true}}
	}
	a := &ask{request: req, claim: c, owner: owner, wall: wall, started: now}
	s.asks[c.Nonce] = a
	if owner == "" || owner == s.cfg.Host {
		return fallBack(s, now, a)
	}
	a.sent = true
	return []Action{Send{To: owner, Message: message.ClaimAsk{Request: req, Claim: c}}}
}

// valid reports whether a claim can be stored as JSON without loss.
func valid(c message.Claim) bool {
	return utf8.ValidString(string(c.Account)) && utf8.ValidString(c.Key) &&
		utf8.ValidString(c.Nonce) && utf8.ValidString(c.Digest)
}

// isUsed reports whether a nonce belongs to another attempt.
func isUsed(s *State, nonce string) bool {
	_, isDead := s.dead[nonce]
	_, isSettling := s.settling[nonce]
	return s.asks[nonce] != nil || isDead || isSettling
}

// Abandon ends an attempt whose caller has gone before its Result: a Result with
// Unavailable follows with the next Tick, and the claim ends as not run. It has no
// effect after the Result. A won claim that is not dispatched ends with Settle.
func Abandon(s *State, req id.Request) {
	for nonce, a := range s.asks {
		if a.request == req {
			delete(s.asks, nonce)
			dequeue(s, a)
			s.dead[nonce] = dead{claim: a.claim, since: a.started}
			s.abandoned = append(s.abandoned, a)
		}
	}
	sort.Slice(s.abandoned, func(i, j int) bool {
		return s.abandoned[i].claim.Nonce < s.abandoned[j].claim.Nonce
	})
}

// HandleAsk records the claim of another host in a shard of this host.
func HandleAsk(s *State, now time.Time, from id.Host, m message.ClaimAsk, wall time.Time) []Action {
	seeWall(s, now, wall)
	if !valid(m.Claim) {
		return nil
	}
	p := pending{request: m.Request, claim: m.Claim, asker: from, arrived: now, wall: wall}
	return enqueue(s, now, p)
}

// HandleReply takes over the answer of a shard's owner. A late answer that a dead
// nonce has won leads to another record that it has not run.
func HandleReply(s *State, now time.Time, m message.ClaimReply) []Action {
	if st, ok := s.settling[m.Nonce]; ok {
		return takeSettled(s, now, m, st)
	}
	if d, ok := s.dead[m.Nonce]; ok && m.Won {
		return enqueueSettle(s, now, message.ClaimSettle{Claim: d.claim, State: message.ClaimNotRun})
	}
	a, ok := s.asks[m.Nonce]
	if !ok || a.request != m.Request {
		return nil
	}
	v := verdict{won: m.Won, state: m.State, mismatch: m.Mismatch, outcome: m.Outcome}
	if !v.won && !v.mismatch && v.state != message.ClaimHeld && v.state != message.ClaimDone {
		return fallBack(s, now, a)
	}
	actions := finish(s, now, a, v)
	if v.won || !a.written {
		return actions
	}
	// A write of this host may still be under way.
	lost := message.ClaimSettle{Claim: a.claim, State: message.ClaimNotRun}
	return append(actions, enqueueSettle(s, now, lost)...)
}

// takeSettled ends a settlement that its owner reports as recorded.
func takeSettled(s *State, now time.Time, m message.ClaimReply, st settling) []Action {
	if !m.Won && m.State != message.ClaimUnknown {
		delete(s.settling, m.Nonce)
		return nil
	}
	st.until = now
	s.settling[m.Nonce] = st
	return nil
}

// Settle records the end of a claimed run, or that it has not run. It is called
// for runs of this host and for settlements that other hosts have sent; for the
// latter the owner is this host. Outcomes above Config.MaxOutcome are not kept.
func Settle(s *State, now time.Time, m message.ClaimSettle, owner id.Host) []Action {
	nonce := m.Claim.Nonce
	if m.State != message.ClaimDone && m.State != message.ClaimNotRun {
		return nil
	}
	if len(m.Outcome) > s.cfg.MaxOutcome {
		m.Outcome = nil
	}
	if m.State == message.ClaimNotRun {
		s.dead[nonce] = dead{claim: m.Claim, since: now}
	}
	if owner == "" || owner == s.cfg.Host {
		return enqueueSettle(s, now, m)
	}
	if _, ok := s.settling[nonce]; ok {
		return nil
	}
	s.settling[nonce] = settling{settle: m, until: now.Add(2 * s.cfg.ReplyTimeout)}
	// The owner answers the claim after it has recorded the settlement.
	return []Action{
		Send{To: owner, Message: m},
		Send{To: owner, Message: message.ClaimAsk{Claim: m.Claim}},
	}
}

// Tick starts the calls that are due, ends attempts that took too long and
// retries settlements. It is meant to be called about once per Config.Flush while
// there is work.
func Tick(s *State, now time.Time) []Action {
	var actions []Action
	for _, a := range s.abandoned {
		actions = append(actions, giveUp(s, now, a)...)
	}
	s.abandoned = nil
	actions = append(actions, tickAsks(s, now)...)
	actions = append(actions, tickSettling(s, now)...)
	for nonce, d := range s.dead {
		if now.Sub(d.since) >= deadKeep {
			delete(s.dead, nonce)
		}
	}
	return append(actions, tickShards(s, now)...)
}

// tickAsks gives up old attempts and takes over those that the owner has not answered.
func tickAsks(s *State, now time.Time) []Action {
	var actions []Action
	nonces := make([]string, 0, len(s.asks))
	for nonce := range s.asks {
		nonces = append(nonces, nonce)
	}
	sort.Strings(nonces)
	for _, nonce := range nonces {
		a, ok := s.asks[nonce]
		if !ok {
			continue // ended with the work for another one
		}
		waited := now.Sub(a.started)
		switch {
		case waited >= giveUpFactor*s.cfg.ReplyTimeout:
			delete(s.asks, nonce)
			dequeue(s, a)
			actions = append(actions, giveUp(s, now, a)...)
		case waited >= s.cfg.ReplyTimeout && !a.fallback:
			actions = append(actions, fallBack(s, now, a)...)
		}
	}
	return actions
}

// tickSettling takes over settlements that the owner has not confirmed.
func tickSettling(s *State, now time.Time) []Action {
	var actions []Action
	nonces := make([]string, 0, len(s.settling))
	for nonce, st := range s.settling {
		if !now.Before(st.until) {
			nonces = append(nonces, nonce)
		}
	}
	sort.Strings(nonces)
	for _, nonce := range nonces {
		m := s.settling[nonce].settle
		delete(s.settling, nonce)
		actions = append(actions, enqueueSettle(s, now, m)...)
	}
	return actions
}

// fallBack has this host write the claim itself.
func fallBack(s *State, now time.Time, a *ask) []Action {
	if a.fallback {
		return nil
	}
	a.fallback = true
	return enqueue(s, now, pending{request: a.request, claim: a.claim, arrived: now, wall: a.wall})
}

// giveUp ends an attempt without a claim. If it may be or get recorded, it is
// settled as not run.
func giveUp(s *State, now time.Time, a *ask) []Action {
	s.dead[a.claim.Nonce] = dead{claim: a.claim, since: now}
	actions := []Action{Result{Request: a.request, Unavailable: true}}
	if !a.sent && !a.written {
		return actions
	}
	m := message.ClaimSettle{Claim: a.claim, State: message.ClaimNotRun}
	if a.written {
		// The own write may still be under way when the owner looks.
		return append(actions, enqueueSettle(s, now, m)...)
	}
	return append(actions, Settle(s, now, m, a.owner)...)
}

// finish ends an attempt with what is recorded. A nonce that has not won is dead:
// if a late message claims for it, this host gets a reply and settles it.
func finish(s *State, now time.Time, a *ask, v verdict) []Action {
	delete(s.asks, a.claim.Nonce)
	dequeue(s, a)
	if !v.won {
		s.dead[a.claim.Nonce] = dead{claim: a.claim, since: now}
	}
	return []Action{Result{
		Request:  a.request,
		Won:      v.won,
		State:    v.state,
		Mismatch: v.mismatch,
		Outcome:  v.outcome,
	}}
}

// Check returns an error if the state breaks an invariant of the package.
func Check(s *State) error {
	queued := map[string]bool{}
	for name, sh := range s.shards {
		if sh.name != name || sh.reading && sh.write != nil {
			return fmt.Errorf("claim: shard %q has two calls outstanding", name)
		}
		for _, p := range sh.claims {
			if p.asker != "" {
				continue
			}
			queued[p.claim.Nonce] = true
			if s.asks[p.claim.Nonce] == nil {
				return fmt.Errorf("claim: nonce %q is queued without an attempt", p.claim.Nonce)
			}
		}
	}
	for nonce, a := range s.asks {
		if _, ok := s.dead[nonce]; ok {
			return fmt.Errorf("claim: dead nonce %q is still asked for", nonce)
		}
		if a.fallback && !queued[nonce] {
			return fmt.Errorf("claim: request %q waits for nothing", a.request)
		}
	}
	return nil
}

// seeWall notes the wall-clock time.
func seeWall(s *State, now, wall time.Time) {
	s.wall, s.wallAt = wall, now
}

// expired reports whether a key is a UUIDv7 whose time is older than the retention.
func expired(cfg Config, key string, wall time.Time) bool {
	made, ok := uuidTime(key)
	return ok && wall.Sub(made) > cfg.Retention
}

// uuidTime returns the time of a UUIDv7, which leads with milliseconds since 1970.
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
