package core

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortshunt.example/fleet/claim"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/order"
	"ragwortshunt.example/fleet/pace"
	"ragwortshunt.example/fleet/quarantine"
	"ragwortshunt.example/fleet/retry"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/throttle"
)

// DefaultTickInterval is the default interval between two Tick events.
// Config.TickInterval overrides it.
const DefaultTickInterval = 10 * time.Millisecond

// Config holds the fixed parameters of one host.
type Config struct {
	Host        id.Host
	Incarnation id.Incarnation
	Address     string // ip:port at which other hosts reach this one
	Zone        id.Zone
	Zones       []id.Zone // all zones, sorted; must be equal on every host
	AZ          id.Zone   // availability zone of the host, if Zone is a larger domain

	Relay        bool          // requests and configuration arrive in the protocols of the users' platform; see relay.go
	SlowStart    bool          // endpoints that are no longer leaving get a growing part of their load; see slowstart.go
	TickInterval time.Duration // interval between two Tick events
	IdleTick     time.Duration // the same while this host has nothing to do that depends on it; 0 means TickInterval

	Limit    limit.Config
	Schedule schedule.Config
	Member   member.Config
	Claim    claim.Config
	Order    order.Config
	Retry    retry.Config

	Quarantine quarantine.Config
	Throttle   throttle.Config
	Pace       pace.Config // has an effect in relay mode only

	CellEndpoints            int           // maximum number of endpoints in one cell
	SlotRequestRetryInterval time.Duration // retry interval of an unanswered SlotRequest
	HoldRefreshInterval      time.Duration // interval at which a running attempt is registered with its scheduler
	SuspectDuration          time.Duration // how long a host that refuses connections is excluded from placement
	PrefillGrace             time.Duration // added to the timeout of a prefill
	DecodeStall              time.Duration // maximum time between two chunks of a token stream
	ServiceTimeout           time.Duration // maximum duration of a call to a plain service
	LoadInterval             time.Duration // interval between two load reports of an engine
	HostListInterval         time.Duration // interval between two reads of the host list
	WatchWait                time.Duration // long-poll duration of one watch on the manifest
	WatchRetry               time.Duration // delay after a failed watch
	Watchers                 int           // number of hosts per zone that watch the manifest, or the platform's configuration in relay mode
	StartWait                time.Duration // how long a starting host waits for a peer's table
	MaxFailures              int           // number of failed attempts that a request may have
	RemoteZonePenalty        time.Duration // added to the expected wait of a cell in another zone
	HandOverTimeout          time.Duration // maximum time that a graceful shutdown waits for the hand-over of rate shares
	ManifestPollAfter        time.Duration // age of the last confirmation after which a host reads the manifest itself
	ManifestPollInterval     time.Duration // interval between two such reads
	FinishedRecords          int           // number of finished requests kept for Explain
	CellSelection            CellPolicy    // policy by which cells are chosen
}

// DefaultConfig returns the default parameters of a host.
func DefaultConfig(host id.Host, inc id.Incarnation, zone id.Zone, zones []id.Zone) Config {
	cfg := Config{
		Host:                     host,
		Incarnation:              inc,
		Zone:                     zone,
		Zones:                    zones,
		TickInterval:             DefaultTickInterval,
		Limit:                    limit.DefaultConfig(),
		Schedule:                 schedule.DefaultConfig(),
		Member:                   member.DefaultConfig(),
		Claim:                    claim.DefaultConfig(),
		Order:                    order.DefaultConfig(),
		Quarantine:               quarantine.DefaultConfig(),
		Throttle:                 throttle.DefaultConfig(),
		Pace:                     pace.DefaultConfig(),
		CellEndpoints:            16,
		SlotRequestRetryInterval: 500 * time.Millisecond,
		HoldRefreshInterval:      15 * time.Second,
		SuspectDuration:          time.Second,
		PrefillGrace:             2 * time.Second,
		DecodeStall:              2 * time.Second,
		ServiceTimeout:           10 * time.Second,
		LoadInterval:             time.Second,
		HostListInterval:         2 * time.Second,
		WatchWait:                5 * time.Second,
		WatchRetry:               500 * time.Millisecond,
		Watchers:                 2,
		StartWait:                1500 * time.Millisecond,
		MaxFailures:              3,
		RemoteZonePenalty:        200 * time.Millisecond,
		HandOverTimeout:          5 * time.Second,
		ManifestPollAfter:        30 * time.Second,
		ManifestPollInterval:     10 * time.Second,
		FinishedRecords:          1000,
	}
	// Membership detects the death of an entry host. Expiry of holds only compensates
	// for lost messages, so infrequent refreshes are enough.
	cfg.Schedule.RunTimeout = 3 * cfg.HoldRefreshInterval
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

// CellPolicy is the policy by which an entry host chooses between the cells of a
// model. Only CellsByWait is intended for production.
type CellPolicy uint8

// The cell selection policies.
const (
	CellsByWait     CellPolicy = iota // this host's zone first, then the shortest expected wait
	CellsLocalZone                    // never another zone, unless this host's zone has no cell
	CellsRoundRobin                   // any cell of any zone, by the hash of the request, regardless of waits
)

// sharedDigest hashes the parameters that determine how hosts partition rates, cells
// and claims. If these parameters differ between hosts, the rate limit of a client
// account can be exceeded.
func (c Config) sharedDigest() uint64 {
	shared := fmt.Sprint(
		c.Zones, c.Limit.Groups, c.Limit.SlotRate, c.Limit.ReserveShare, c.Limit.Tolerance,
		c.Limit.PooledLease, c.Limit.ReserveLease, c.CellEndpoints, c.Claim.Shards,
	)
	return xxhash.Sum64String(shared)
}
