// Package limit holds each client account to its rate and burst, summed over
// all hosts.
//
// The bound is hard: in every window of w seconds the hosts together admit at
// most Rate*w + Burst tokens, where a charge counts at the time of its
// admission, net of its refund. It rests on conservation. The budget of an
// account is split exactly into slots, each slot into a pooled and a reserve
// part, and each part is a bucket that has at most one user at any time:
//
//   - A holder uses a part until its lease ends on its own clock, counted from
//     before the write was sent, less Margin. Another host takes the part after
//     the full lease plus Margin, counted from its first read of that version.
//   - A group that was never held starts full, a lapsed part starts empty, and
//     a released part starts from the level in the lease object. A slot that
//     appears in a group with a lease object starts empty, because its burst
//     may still be in use under the slots of the earlier table.
//   - Tokens for another host are debited before they are sent. Until they must
//     have been spent or returned, the giver counts them against the burst.
//
// Config must be the same on all hosts, except for Host, Incarnation and Zone.
// While hosts use different tables, each slot obeys the table of its holder.
//
// One lease object per group carries both parts, so the platform sees
// 2*zones*Groups/PooledLease writes/s from renewals: 58 writes/s for 9 zones, 64
// groups per zone and a pooled lease of 20 s. A change of the preferred holder
// costs two or three reads and two writes per group that moves.
//
// The package is deterministic. It uses no goroutines, I/O, clock or random
// source. The caller reports exactly one HandleRead per ReadLease and one
// HandleWrite per WriteLease.
package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Config sets the split of budgets and the times of leases.
type Config struct {
	Host         id.Host
	Incarnation  id.Incarnation
	Zone         id.Zone
	Zones        []id.Zone     // all zones, own included
	Groups       int           // lease groups per zone
	SlotRate     int64         // tokens/s; an account uses ceil(rate in zone / SlotRate) slots per zone, 1..Groups
	ReserveShare float64       // part of each slot under the long lease, 0..1
	PooledLease  time.Duration // lease of the pooled part
	ReserveLease time.Duration // lease of the reserve part
	Margin       time.Duration // allowance for clock drift over a lease
	Settle       time.Duration // a host must be preferred so long before it reads a lease, so that a starting host does not read every group
	AskTimeout   time.Duration // longest wait for tokens of peers
	NoTransfer   bool          // never ask peers; for measurements
	Tolerance    Tolerance     // by which budgets are widened
	Reclaim      bool          // a lease of an earlier process of this host is taken at once; the platform must have ended that process
}

// Budget is the rate and burst of one account over the whole fleet.
type Budget struct {
	Rate  int64 // tokens/s
	Burst int64 // tokens
}

// Action is a call or message that the caller must carry out.
type Action interface{ isAction() }

// ReadLease asks the caller to read a lease object and to report a object.ReadResult.
type ReadLease struct{ Group string }

// WriteLease asks the caller to write a lease object if its version is still
// IfVersion (0: it does not exist) and to report a object.WriteResult.
type WriteLease struct {
	Group     string
	IfVersion uint64
	Value     []byte
}

// Send asks the caller to send a message to another host.
type Send struct {
	To      id.Host
	Message message.Message
}

func (ReadLease) isAction()  {}
func (WriteLease) isAction() {}
func (Send) isAction()       {}

// State is the state of this package on one host.
type State struct {
	cfg      Config
	budgets  map[id.Account]Budget
	shares   [][]share // by group of the own zone, sorted by account
	live     map[id.Zone][]id.Host
	holders  map[id.Zone][]id.Host // preferred holder by group, computed on demand
	groups   []*group              // own zone
	draining bool
	splitOK  bool // Check has verified the split of the budgets

	requests  map[id.Request]*request
	pending   map[id.Request]*request
	earmarked map[id.Account]int64 // local tokens that pending requests count on
	dry       map[id.Account]dryness
	askedAt   map[peerAccount]time.Time // last ask

	given      map[uint64]given // gifts to peers, by charge
	received   map[receipt]time.Time
	lastCharge uint64
	lastTerm   uint64
	lastNonce  uint64
	nextSweep  time.Time
}

const (
	// maxTokens limits rates and bursts, so that levels in nanotokens fit an int64.
	maxTokens = int64(4_000_000_000)
	// sweepInterval is the time between removals of expired records.
	sweepInterval = 10 * time.Second
)

// DefaultConfig returns the defaults of everything but the names of host and
// zones. The lease split follows docs/decisions/0001-lease-split.md.
func DefaultConfig() Config {
	return Config{
		Groups:       64,
		SlotRate:     20_000,
		ReserveShare: 0.5,
		PooledLease:  20 * time.Second,
		ReserveLease: 20 * time.Minute,
		Margin:       250 * time.Millisecond,
		Settle:       500 * time.Millisecond,
		AskTimeout:   150 * time.Millisecond,
	}
}

// New returns the state of a host that holds no lease. It reads no lease object
// before the first budget is set.
func New(cfg Config) *State {
	cfg.Zones = slices.Clone(cfg.Zones)
	slices.Sort(cfg.Zones)
	cfg.Groups = max(cfg.Groups, 1)
	cfg.SlotRate = max(cfg.SlotRate, 1)
	s := &State{
		cfg:        cfg,
		budgets:    map[id.Account]Budget{},
		shares:     make([][]share, cfg.Groups),
		live:       map[id.Zone][]id.Host{},
		holders:    map[id.Zone][]id.Host{},
		requests:   map[id.Request]*request{},
		pending:    map[id.Request]*request{},
		earmarked:  map[id.Account]int64{},
		dry:        map[id.Account]dryness{},
		askedAt:    map[peerAccount]time.Time{},
		given:      map[uint64]given{},
		received:   map[receipt]time.Time{},
		lastCharge: chargeBase(cfg),
	}
	for i := range cfg.Groups {
		s.groups = append(s.groups, newGroup(cfg.Zone, i))
	}
	return s
}

// SetBudgets installs the budgets of all accounts. A raised budget adds no
// tokens at once, a lowered one cuts levels to the new burst, and an account
// that is missing loses its buckets. Rate and burst are cut to 4e9.
func SetBudgets(s *State, now time.Time, budgets map[id.Account]Budget) {
	s.budgets = make(map[id.Account]Budget, len(budgets))
	s.shares = make([][]share, s.cfg.Groups)
	s.splitOK = false
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

// Tick carries out what is due: time-outs of pending requests, renewals,
// take-overs and hand-overs. It is called every 50 to 100 ms.
func Tick(s *State, now time.Time) ([]Resolved, []Action) {
	resolved, actions := s.tickPending(now)
	actions = append(actions, s.stepGroups(now)...)
	if !now.Before(s.nextSweep) {
		s.sweep(now)
		s.nextSweep = now.Add(sweepInterval)
	}
	return resolved, actions
}

// sweep removes records that can no longer matter.
func (s *State) sweep(now time.Time) {
	for charge, g := range s.given {
		if now.Sub(g.at) > chargeLife {
			delete(s.given, charge)
		}
	}
	for r, at := range s.received {
		if now.Sub(at) > receiptLife {
			delete(s.received, r)
		}
	}
	for account, d := range s.dry {
		if now.Sub(d.until) > dryMax {
			delete(s.dry, account)
		}
	}
	for p, at := range s.askedAt {
		if now.Sub(at) > askLife {
			delete(s.askedAt, p)
		}
	}
}

func clampBudget(b Budget) Budget {
	return Budget{
		Rate:  min(max(b.Rate, 0), maxTokens),
		Burst: min(max(b.Burst, 0), maxTokens),
	}
}

// hashOf returns a hash of the fields, separated so that fields cannot run
// into each other.
func hashOf(fields ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, f := range fields {
		_, _ = d.WriteString(f)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
