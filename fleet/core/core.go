// Package core is the decision core of a router: one reducer that handles every
// event and returns the resulting effects as data.
//
// The host at which a request arrives is its entry host. It charges the request to a
// client account, whose rate may be limited, and dispatches it to endpoints of the
// route. A route leads either to a model or to a plain service. The endpoints of a model
// in one zone are partitioned into cells, and one host schedules each cell: the entry
// host requests a prefill slot and a decode slot there before it starts a prefill. A
// call to a plain service needs no slot.
//
// Reduce is deterministic. It starts no goroutine, does no I/O, reads no clock
// and has no source of randomness; time and seed are part of the input. The
// state must be used by one goroutine only. Adapters around the core perform the
// I/O: they execute the effects and report the results as events. Check asserts
// the invariants that are visible from one host.
package core

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/order"
	"ragwortshunt.example/fleet/pace"
	"ragwortshunt.example/fleet/quarantine"
	"ragwortshunt.example/fleet/retry"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/fleet/throttle"
)

// Input is one event together with the time and the random seed for handling it.
type Input struct {
	Now   time.Time // monotonic; read directly before Reduce
	Wall  time.Time // wall clock; used only for the retention period of claims
	Seed  uint64
	Event Event
}

// State is the state of one host. New creates it; the zero value is not usable.
type State struct {
	cfg     Config
	started time.Time

	table      tableState
	member     *member.State
	limit      *limit.State
	claims     *claim.State
	orders     *order.State
	retries    *retry.State
	quarantine *quarantine.State
	throttle   *throttle.State
	pace       *pace.State // of service endpoints
	scheduler  schedulerState
	cells      map[cellLevel]cellWaitReport // cells as seen from the entry host

	requests            map[id.Request]*request
	finished            []Record // ring buffer of the last finished requests
	finishedOverwritten int

	settingsDigest   uint64                     // see Config.sharedDigest
	differingHosts   map[id.Host]bool           // hosts with another settingsDigest
	suspectUntil     map[id.Host]time.Time      // end of the exclusion of a host
	limitsSentTo     map[id.Host]id.Incarnation // incarnations that have been told the limits of endpoints
	roleChanges      map[id.Endpoint]roleChange // role changes in progress that this host decided; relay mode only
	views            views
	avoid            map[id.Endpoint]time.Time     // end of the exclusion of a service endpoint
	serviceStats     map[id.Endpoint]callStats     // by service endpoint; relay mode only
	durations        map[id.Pool]runDurations      // by retryBudgetKey; relay mode only
	outstandingCalls map[id.Endpoint]int           // outstanding service calls of this host
	unreachable      map[id.Endpoint]bool          // the last call could not reach the endpoint
	engineProgress   map[id.Endpoint]time.Time     // time of the last event of each decode engine
	engineGaps       map[id.Endpoint]time.Duration // average time between two events of a stream
	enginePaces      enginePaces                   // relay mode only
	notices          map[id.Endpoint]notice        // what endpoints have said; relay mode only
	hostsKnown       bool                          // the list of hosts has been read
	endpointZones    int                           // number of availability zones with endpoints
	returnedAt       map[id.Endpoint]time.Time     // end of the evacuation of endpoints that get little load yet
	hostsReadAt      time.Time
	rolesBalancedAt  time.Time // last time that the balance of roles was checked
	lastTick         time.Time
	resumedAt        time.Time // end of the last pause of this host; relay mode only
	addressUnknown   bool      // a message arrived from a host whose address may be missing or outdated
	nextRequestScan  time.Time
	storeEra         uint64 // highest known era of the platform's store; 0 if none is known; relay mode only
	restoredEra      uint64 // era that began with the last restore of the store that this host has seen; 0 if none
	peerVersionKnown bool   // a peer has reported its table version
	draining         bool
	drainEnd         time.Time // when this host must end; zero means none
	drainExpired     bool      // drainEnd has passed
	lastRequestEnd   time.Time // end of the last request of a draining host
	stopped          bool
}

// New returns the state of a host that has just started.
func New(cfg Config, now time.Time) *State {
	cfg.Pace.Enabled = cfg.Pace.Enabled && cfg.Relay
	return &State{
		cfg:              cfg,
		started:          now,
		member:           member.New(cfg.Member, now),
		limit:            limit.New(cfg.Limit),
		claims:           claim.New(cfg.Claim),
		orders:           order.New(cfg.Order),
		retries:          retry.New(cfg.Retry),
		quarantine:       quarantine.New(cfg.Quarantine),
		throttle:         throttle.New(cfg.Throttle),
		pace:             pace.New(cfg.Pace),
		scheduler:        newSchedulerState(),
		cells:            make(map[cellLevel]cellWaitReport),
		requests:         make(map[id.Request]*request),
		settingsDigest:   cfg.sharedDigest(),
		differingHosts:   make(map[id.Host]bool),
		suspectUntil:     make(map[id.Host]time.Time),
		limitsSentTo:     make(map[id.Host]id.Incarnation),
		roleChanges:      make(map[id.Endpoint]roleChange),
		avoid:            make(map[id.Endpoint]time.Time),
		serviceStats:     make(map[id.Endpoint]callStats),
		durations:        make(map[id.Pool]runDurations),
		outstandingCalls: make(map[id.Endpoint]int),
		unreachable:      make(map[id.Endpoint]bool),
		engineProgress:   make(map[id.Endpoint]time.Time),
		engineGaps:       make(map[id.Endpoint]time.Duration),
		enginePaces:      make(enginePaces),
		notices:          make(map[id.Endpoint]notice),
		returnedAt:       make(map[id.Endpoint]time.Time),
		finished:         make([]Record, 0, cfg.FinishedRecords),
	}
}

// TickInterval returns the time from the last Tick event to the next one. It is longer while
// this host has no open request, schedules no cell and does not drain: only membership,
// leases and the choice of watchers depend on Tick then.
func TickInterval(st *State) time.Duration {
	busy := len(st.requests) > 0 || len(st.scheduler.cells) > 0 || st.draining
	if busy || st.cfg.IdleTick == 0 {
		return st.cfg.TickInterval
	}
	return st.cfg.IdleTick
}

// step handles one input and collects its effects.
type step struct {
	*State
	now  time.Time
	wall time.Time
	seed uint64
	out  []Effect
}

// Reduce handles one event and returns its effects in the order in which the
// adapters must start them.
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
	case RunStopped:
		s.runStopped(ev)
	case ServiceDone:
		s.serviceDone(ev)
	case PeerMessage:
		s.peerMessage(ev)
	case PeerFailed:
		s.peerFailed(ev.Host)
	case Tick:
		s.tick()
	case StopAnnounced:
		s.drainEnd = s.now.Add(ev.Within)
	case DrainRequested:
		s.drain(ev)
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
	case EndpointNotice:
		s.endpointNoticed(ev)
	case EndpointLimited:
		s.endpointLimited(ev)
	}
}

func (s *step) emit(e Effect) {
	s.out = append(s.out, e)
}

func (s *step) log(level LogLevel, component, text string) {
	s.emit(Log{Level: level, Component: component, Text: text})
}

// send sends a message to a host. A message to this host is handled immediately, so
// that local and remote requests share one code path. A message to an unknown host
// is dropped.
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

// Check returns an error for the first violated invariant, or nil.
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

// snapshot returns the table in force, or nil if none has been installed yet.
func (st *State) snapshot() *table.Snapshot {
	return st.table.snapshot
}
