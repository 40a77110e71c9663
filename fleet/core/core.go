// Package core is the decision core of a router: one reducer over all events,
// with effects as data.
//
// Reduce is deterministic. It starts no goroutine, does no I/O, reads no clock
// and has no source of randomness; time and seed arrive with the input. The
// state belongs to one goroutine. Check asserts the invariants that can be seen
// from one host.
package core

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/order"
	"ragwortshunt.example/fleet/retry"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// TickInterval is the interval at which the shell sends Tick, unless Config.TickEvery
// sets another.
const TickInterval = 10 * time.Millisecond

// Config holds the fixed parameters of one host.
type Config struct {
	Host        id.Host
	Incarnation id.Incarnation
	Address     string // ip:port at which other hosts reach this one
	Zone        id.Zone
	Zones       []id.Zone // all zones, sorted; the same on every host
	AZ          id.Zone   // availability zone of the host, where Zone is a larger domain

	Relay     bool          // requests and configuration come in the platform's own protocol; see relay.go
	TickEvery time.Duration // between two Ticks

	Limit    limit.Config
	Schedule schedule.Config
	Member   member.Config
	Claim    claim.Config
	Order    order.Config
	Retry    retry.Config

	CellEndpoints   int           // most endpoints in one cell
	AskRepeat       time.Duration // an unanswered SlotAsk is sent again
	HoldRefresh     time.Duration // a running attempt is registered again
	SuspectFor      time.Duration // a host that refuses connections is passed over
	PrefillGrace    time.Duration // added to the expected time of a prefill
	DecodeStall     time.Duration // longest silence of a token stream
	ServiceTimeout  time.Duration // longest call of a plain service
	LoadInterval    time.Duration // between two load reports of an engine
	HostsInterval   time.Duration // between two readings of the host list
	WatchWait       time.Duration // length of one watch of the manifest
	WatchRetry      time.Duration // pause after a failed watch
	Watchers        int           // hosts per zone that watch the manifest
	StartWait       time.Duration // a starting host waits so long for a peer's table
	MaxFailures     int           // attempts of one request that may fail
	ZoneCrossing    time.Duration // penalty of a cell in another zone
	HandOver        time.Duration // a graceful shutdown waits so long for the hand-over of shares
	StaleWatch      time.Duration // a host without confirmation for so long asks the platform itself
	StaleRetry      time.Duration // between two such questions
	FinishedRecords int           // finished requests kept for explain
	Cells           CellChoice    // way in which cells are chosen
}

// DefaultConfig returns the default parameters of a host.
func DefaultConfig(host id.Host, inc id.Incarnation, zone id.Zone, zones []id.Zone) Config {
	cfg := Config{
		Host:            host,
		Incarnation:     inc,
		Zone:            zone,
		Zones:           zones,
		TickEvery:       TickInterval,
		Limit:           limit.DefaultConfig(),
		Schedule:        schedule.DefaultConfig(),
		Member:          member.DefaultConfig(),
		Claim:           claim.DefaultConfig(),
		Order:           order.DefaultConfig(),
		CellEndpoints:   16,
		AskRepeat:       500 * time.Millisecond,
		HoldRefresh:     15 * time.Second,
		SuspectFor:      time.Second,
		PrefillGrace:    2 * time.Second,
		DecodeStall:     2 * time.Second,
		ServiceTimeout:  10 * time.Second,
		LoadInterval:    time.Second,
		HostsInterval:   2 * time.Second,
		WatchWait:       5 * time.Second,
		WatchRetry:      500 * time.Millisecond,
		Watchers:        2,
		StartWait:       1500 * time.Millisecond,
		MaxFailures:     3,
		ZoneCrossing:    200 * time.Millisecond,
		HandOver:        5 * time.Second,
		StaleWatch:      30 * time.Second,
		StaleRetry:      10 * time.Second,
		FinishedRecords: 1000,
	}
	// The death of an entry host is noticed by membership; the lapse of holds only
	// repairs lost messages, so that few refreshes are enough.
	cfg.Schedule.HoldLapse = 3 * cfg.HoldRefresh
	cfg.Limit.Host = host
	cfg.Limit.Incarnation = inc
	cfg.Limit.Zone = zone
	cfg.Limit.Zones = zones
	cfg.Member.Host = host
	cfg.Member.Incarnation = inc
	cfg.Member.Zone = zone
	cfg.Claim.Host = host
	cfg.Order.Host = host
	cfg.Order.Incarnation = inc
	cfg.Order.Zone = zone
	return cfg
}

// CellChoice is the way in which an entry host chooses between the cells of a
// model. Only CellsByWait is meant for production.
type CellChoice uint8

// The choices of cells.
const (
	CellsByWait  CellChoice = iota // own zone first, then the shortest expected wait
	CellsOwnZone                   // never another zone, unless the own one has no cell
	CellsInTurn                    // all zones alike, as a balancer without reservations
)

// sharedDigest covers the parameters by which hosts split rates, cells and
// claims. Hosts that differ in them can break the bound on an account's rate.
func (c Config) sharedDigest() uint64 {
	shared := fmt.Sprint(
		c.Zones, c.Limit.Groups, c.Limit.SlotRate, c.Limit.ReserveShare, c.Limit.Tolerance,
		c.Limit.PooledLease, c.Limit.ReserveLease, c.CellEndpoints, c.Claim.Shards,
	)
	return xxhash.Sum64String(shared)
}

// Input is one event with the time and the seed for its handling.
type Input struct {
	Now   time.Time // monotonic; taken directly before Reduce
	Wall  time.Time // wall clock; used only for the retention of claims
	Seed  uint64
	Event Event
}

// State is the state of one host. It starts with New.
type State struct {
	cfg     Config
	started time.Time

	table     tableState
	member    *member.State
	limit     *limit.State
	claims    *claim.State
	orders    *order.State
	retries   *retry.State
	scheduler schedulerState
	cells     map[cellKey]cellView // cells as seen from the entry host

	requests  map[id.Request]*request
	finished  []Record // ring of the last finished requests
	finishedN int

	settings  uint64                     // digest of the settings that all hosts must share
	differing map[id.Host]bool           // hosts whose shared settings differ
	suspects  map[id.Host]time.Time      // passed over until
	roles     map[id.Endpoint]roleChange // changes of role that this host has decided; see Config.Relay
	views     views
	avoid     map[id.Endpoint]time.Time // service endpoints passed over until
	paces     map[id.Endpoint]pace      // of service endpoints; see Config.Relay
	calls     map[id.Endpoint]int       // outstanding service calls of this host
	down      map[id.Endpoint]bool      // could not be reached by the last call
	hostsRead time.Time
	rolesAt   time.Time // last look at the balance of roles
	ticked    time.Time // last tick
	unlisted  bool      // a host has been heard whose address may be unknown
	nextPass  time.Time // over the requests
	heard     bool      // a peer has told its table version
	draining  bool
	lastEnd   time.Time // when the last request of a draining host ended
	stopped   bool
}

// New returns the state of a host that has just started.
func New(cfg Config, now time.Time) *State {
	return &State{
		cfg:       cfg,
		started:   now,
		member:    member.New(cfg.Member, now),
		limit:     limit.New(cfg.Limit),
		claims:    claim.New(cfg.Claim),
		orders:    order.New(cfg.Order),
		retries:   retry.New(cfg.Retry),
		scheduler: newSchedulerState(),
		cells:     make(map[cellKey]cellView),
		requests:  make(map[id.Request]*request),
		settings:  cfg.sharedDigest(),
		differing: make(map[id.Host]bool),
		suspects:  make(map[id.Host]time.Time),
		roles:     make(map[id.Endpoint]roleChange),
		avoid:     make(map[id.Endpoint]time.Time),
		paces:     make(map[id.Endpoint]pace),
		calls:     make(map[id.Endpoint]int),
		down:      make(map[id.Endpoint]bool),
		finished:  make([]Record, 0, cfg.FinishedRecords),
	}
}

// step is the handling of one input.
type step struct {
	*State
	now  time.Time
	wall time.Time
	seed uint64
	out  []Effect
}

// Reduce handles one event and returns the effects in the order in which the
// shells have to start them.
func Reduce(st *State, in Input) []Effect {
	s := &step{State: st, now: in.Now, wall: in.Wall, seed: in.Seed}
	s.handle(in.Event)
	return s.out
}

func (s *step) handle(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		s.requestArrived(ev)
	case CallerGone:
		s.callerGone(ev.Request)
	case PrefillDone:
		s.prefillDone(ev)
	case TokensArrived:
		s.tokensArrived(ev)
	case RunFailed:
		s.runFailed(ev)
	case ServiceDone:
		s.serviceDone(ev)
	case PeerMessage:
		s.peerMessage(ev)
	case PeerFailed:
		s.peerFailed(ev.Host)
	case Tick:
		s.tick()
	case DrainRequested:
		s.drain()
	default:
		s.handlePlatform(ev)
	}
}

func (s *step) handlePlatform(ev Event) {
	switch ev := ev.(type) {
	case HostsListed:
		s.hostsListed(ev)
	case ObjectRead:
		s.objectRead(ev)
	case ObjectWritten:
		s.objectWritten(ev)
	case TableOpened:
		s.tableOpened(ev)
	case PlatformSeen, PlatformContact, PlatformChanged:
		s.handleFollow(ev)
	case LoadReported:
		s.loadReported(ev)
	case CacheChanged:
		s.cacheChanged(ev)
	case OrderAnswered:
		s.orderAnswered(ev)
	}
}

func (s *step) emit(e Effect) {
	s.out = append(s.out, e)
}

func (s *step) log(level LogLevel, part, text string) {
	s.emit(Log{Level: level, Part: part, Text: text})
}

// send passes a message to a host. A message to the own host is handled at
// once, so that local and remote parts share one path.
func (s *step) send(to id.Host, m message.Message) {
	if to == s.cfg.Host {
		s.dispatch(s.cfg.Host, m)
		return
	}
	p, ok := member.PeerOf(s.member, to)
	if !ok {
		return
	}
	s.emit(SendPeer{To: to, Address: p.Address, Message: m})
}

// Check returns the first violated invariant.
func Check(st *State) error {
	if err := limit.Check(st.limit); err != nil {
		return fmt.Errorf("core: %w", err)
	}
	if err := member.Check(st.member); err != nil {
		return fmt.Errorf("core: %w", err)
	}
	if err := claim.Check(st.claims); err != nil {
		return fmt.Errorf("core: %w", err)
	}
	if err := order.Check(st.orders); err != nil {
		return fmt.Errorf("core: %w", err)
	}
	if err := checkCells(st); err != nil {
		return err
	}
	return checkRequests(st)
}

func checkCells(st *State) error {
	for _, k := range sortedCells(st.scheduler.cells) {
		if err := schedule.Check(st.scheduler.cells[k].cell); err != nil {
			return fmt.Errorf("core: cell %s: %w", k, err)
		}
	}
	return nil
}

// snapshot returns the table in force, or nil before the first one.
func (st *State) snapshot() *table.Snapshot {
	return st.table.snapshot
}
