// Package limit enforces the rate and burst of each client account across all
// hosts.
//
// The limit is strict: in every window of w seconds the hosts together admit at
// most Rate*w + Burst tokens. A charge counts at the time of its admission, net of
// its refund. The budget of an account is split exactly into slots, and each slot
// into a pooled and a reserve part. Each part is a token bucket that at most one
// host uses at any time, and tokens are never duplicated:
//
//   - A holder uses a part until Margin before the end of its lease, measured on
//     its own clock from just before it sent the write. Another host may acquire
//     the part once the full lease plus Margin has passed since it first read that
//     version.
//   - The buckets of a group that was never held start full. A part whose lease
//     expired starts empty, and a released part starts from the level in the lease
//     object. A part reclaimed from an earlier process of the same host (see
//     Config.Reclaim) starts with a fraction of its burst if Config.Tolerance is set. A slot that is added to a group with a lease object starts empty,
//     because its burst may still be in use under the slots of the previous table.
//   - Tokens transferred to another host are debited before they are sent. The
//     sender counts them against the burst until they must have been spent or
//     returned.
//
// Config must be the same on all hosts, except for Host, Incarnation and Zone.
// While hosts use different tables, the holder's table applies to each slot.
//
// One lease object per group carries both parts, so the platform sees
// 2*zones*Groups/PooledLease writes/s from renewals: 58 writes/s for 9 zones, 64
// groups per zone and a pooled lease of 20 s. A change of the preferred holder
// costs two or three reads and two writes per reassigned group.
//
// The package is deterministic: it uses no goroutines, I/O, clock or random
// source. The caller must call HandleRead exactly once per ReadLease and
// HandleWrite exactly once per WriteLease.
package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Config sets how budgets are split, how long leases last, and how hosts transfer
// tokens.
type Config struct {
	Host                id.Host
	Incarnation         id.Incarnation
	Zone                id.Zone
	Zones               []id.Zone     // all zones, including Zone
	Groups              int           // lease groups per zone
	SlotRate            int64         // tokens/s; an account uses ceil(rate in zone / SlotRate) slots per zone, 1..Groups
	ReserveShare        float64       // fraction of each slot in the reserve part, 0..1
	PooledLease         time.Duration // lease of the pooled part
	ReserveLease        time.Duration // lease of the reserve part
	Margin              time.Duration // allowance for clock drift over a lease
	SettleDelay         time.Duration // how long a host must be preferred before it reads a lease; keeps a starting host from reading every group
	TokenRequestTimeout time.Duration // longest wait for tokens from peers
	NoTransfer          bool          // never request tokens from peers; for measurements
	Tolerance           Tolerance     // allowed excess over a budget; sets bucket levels after a reclaim, callers apply it to budgets with Widen
	Reclaim             bool          // acquire leases of this host's earlier processes at once; the platform must have ended those processes
}

// Budget is the rate and burst of one account over the whole fleet.
type Budget struct {
	Rate  int64 // tokens/s
	Burst int64 // tokens
}

// Action is a platform call or a message that the caller must execute.
type Action interface{ isAction() }

// ReadLease requests that the caller read a lease object and report the result with
// HandleRead.
type ReadLease struct{ Group string }

// WriteLease requests that the caller write a lease object if its version is still
// IfVersion (0: it does not exist) and report the result with HandleWrite.
type WriteLease struct {
	Group     string
	IfVersion uint64
	Value     []byte
}

// Send requests that the caller send a message to another host.
type Send struct {
	To      id.Host
	Message message.Message
}

func (ReadLease) isAction()  {}
func (WriteLease) isAction() {}
func (Send) isAction()       {}

// State is the rate limiter of one host. It is not safe for concurrent use.
type State struct {
	cfg              Config
	budgets          map[id.Account]Budget
	shares           [][]share // by group of this host's zone, sorted by account
	live             map[id.Zone][]id.Host
	holders          map[id.Zone][]id.Host // hosts that may be preferred holders
	preferredHolders map[id.Zone][]id.Host // preferred holder by group, computed on demand
	groups           []*group              // lease groups of this host's zone
	draining         bool
	era              uint64 // of the store; 0 if it is unknown
	restored         bool   // the store has come back from an older copy while this process ran
	splitChecked     bool   // Check has verified the split of the budgets

	requests        map[id.Request]*request
	pending         map[id.Request]*request
	earmarked       map[id.Account]int64 // local tokens set aside for pending requests
	requestBackoffs map[id.Account]requestBackoff
	requestedAt     map[peerAccount]time.Time // time of the last TokenRequest

	outgoing   map[uint64]outgoing // transfers to peers, by charge
	received   map[transferKey]time.Time
	lastCharge uint64
	lastTerm   uint64
	lastNonce  uint64
	nextSweep  time.Time
}

const (
	// maxTokens limits rates and bursts, so that levels in nanotokens fit in an int64.
	maxTokens = int64(4_000_000_000)
	// sweepInterval is the time between removals of expired records.
	sweepInterval = 10 * time.Second
)

// DefaultConfig returns the default settings, without the host, its incarnation and
// the zones. The split between pooled and reserve leases follows
// docs/decisions/0001-lease-split.md.
func DefaultConfig() Config {
	return Config{
		Groups:              64,
		SlotRate:            20_000,
		ReserveShare:        0.5,
		PooledLease:         20 * time.Second,
		ReserveLease:        20 * time.Minute,
		Margin:              250 * time.Millisecond,
		SettleDelay:         500 * time.Millisecond,
		TokenRequestTimeout: 150 * time.Millisecond,
	}
}

// New returns a State that holds no lease. It reads no lease object before the first
// call of SetBudgets.
func New(cfg Config) *State {
	cfg.Zones = slices.Clone(cfg.Zones)
	slices.Sort(cfg.Zones)
	cfg.Groups = max(cfg.Groups, 1)
	cfg.SlotRate = max(cfg.SlotRate, 1)
	s := &State{
		cfg:              cfg,
		budgets:          map[id.Account]Budget{},
		shares:           make([][]share, cfg.Groups),
		live:             map[id.Zone][]id.Host{},
		holders:          map[id.Zone][]id.Host{},
		preferredHolders: map[id.Zone][]id.Host{},
		requests:         map[id.Request]*request{},
		pending:          map[id.Request]*request{},
		earmarked:        map[id.Account]int64{},
		requestBackoffs:  map[id.Account]requestBackoff{},
		requestedAt:      map[peerAccount]time.Time{},
		outgoing:         map[uint64]outgoing{},
		received:         map[transferKey]time.Time{},
		lastCharge:       initialCharge(cfg),
	}
	for i := range cfg.Groups {
		s.groups = append(s.groups, newGroup(cfg.Zone, i))
	}
	return s
}

// SetBudgets replaces the budgets of all accounts. Raising a budget adds no tokens
// immediately, lowering it cuts bucket levels to the new burst, and a missing account
// loses its buckets. Rate and burst are clamped to 0..4e9.
func SetBudgets(s *State, now time.Time, budgets map[id.Account]Budget) {
	s.budgets = make(map[id.Account]Budget, len(budgets))
	s.shares = make([][]share, s.cfg.Groups)
	s.splitChecked = false
	accounts := make([]id.Account, 0, len(budgets))
	for account := range budgets {
		accounts = append(accounts, account)
	}
	slices.Sort(accounts)
	for _, account := range accounts {
		b := clampBudget(budgets[account])
		s.budgets[account] = b
		for _, sl := range zoneSlots(s.cfg, account, b, s.cfg.Zone) {
			s.shares[sl.group] = append(s.shares[sl.group], share{account: account, parts: sl.parts})
		}
	}
	for i, g := range s.groups {
		for k := range g.parts {
			g.parts[k].setShares(now, partKind(k), s.shares[i])
		}
	}
}

// Tick performs the work that is due: it times out pending requests, and renews,
// acquires and hands over leases. The caller calls it every 50 to 100 ms.
func Tick(s *State, now time.Time) ([]Resolution, []Action) {
	resolved, actions := s.tickPending(now)
	actions = append(actions, s.stepGroups(now)...)
	if !now.Before(s.nextSweep) {
		s.sweep(now)
		s.nextSweep = now.Add(sweepInterval)
	}
	return resolved, actions
}

// sweep removes expired records.
func (s *State) sweep(now time.Time) {
	for charge, o := range s.outgoing {
		if now.Sub(o.at) > chargeRetention {
			delete(s.outgoing, charge)
		}
	}
	for key, at := range s.received {
		if now.Sub(at) > transferKeyRetention {
			delete(s.received, key)
		}
	}
	for account, b := range s.requestBackoffs {
		if now.Sub(b.until) > requestBackoffMax {
			delete(s.requestBackoffs, account)
		}
	}
	for p, at := range s.requestedAt {
		if now.Sub(at) > requestedAtRetention {
			delete(s.requestedAt, p)
		}
	}
}

func clampBudget(b Budget) Budget {
	return Budget{
		Rate:  min(max(b.Rate, 0), maxTokens),
		Burst: min(max(b.Burst, 0), maxTokens),
	}
}

// hashOf returns a hash of the fields. A zero byte after each field keeps different
// splits of the same text from colliding.
func hashOf(fields ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, f := range fields {
		_, _ = d.WriteString(f)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
