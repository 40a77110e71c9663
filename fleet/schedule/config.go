package schedule

import "time"

// Placement is the policy that selects endpoints.
type Placement uint8

// Placement policies. Only PlacementReserve queues requests at the scheduler; the
// others are baselines that grant each slot request at once.
const (
	PlacementReserve     Placement = iota
	PlacementRoundRobin            // round robin, without reservation
	PlacementLeastLoaded           // lowest load in the last load reports, without reservation
)

// Policy disables single mechanisms, so that a benchmark can measure what each
// contributes. The zero value enables all of them.
type Policy struct {
	Placement      Placement
	NoClasses      bool // interactive and deferrable requests share one queue
	NoFairQueue    bool // order by latest start only, across all accounts
	NoAffinity     bool // ignore prefix caches
	NoEarlyRefusal bool // keep requests that will miss their first-token target
	NoRedirect     bool // queue requests that cannot start in time instead of refusing them at once
	NoLargeLimit   bool // let large prompts occupy every prefill endpoint
	NoLateLast     bool // deferrable requests that have missed their target are not demoted
	NoReportedEnds bool // free a decode reservation only when its host ends it, not by load reports
	NoPin          bool // never drain a decode endpoint for a request that needs much memory
	NoLevels       bool // ignore priority levels
}

// Config holds the limits and timeouts of a cell.
type Config struct {
	Policy Policy

	KVSurvival time.Duration // lifetime of a KV cache after its prefill
	KVMargin   time.Duration // part of KVSurvival that plans leave unused
	MaxBacklog time.Duration // prefill backlog above which an endpoint gets no further prefill

	GrantValid           time.Duration // time within which a host must start a granted prefill
	GrantTimeout         time.Duration // a grant expires after this time without an update or a hold
	RunTimeout           time.Duration // a running attempt is cancelled after this time without an update or a hold
	QueryInterval        time.Duration // a host is asked for a run this long after its expected end, and again until it answers
	OrphanTime           time.Duration // a run that an engine reports is cancelled if no host registers it in this time
	ReportGrace          time.Duration // load reports lag: a decode run younger than this may be missing from them
	SweepInterval        time.Duration // interval of the search for expired reservations
	AccountSweepInterval time.Duration // interval of the removal of idle accounts
	EndedRetention       time.Duration // time for which an ended attempt is remembered, to ignore late messages

	RebuildTime    time.Duration // time for which a new scheduler waits for holds
	RebuildPercent int64         // percentage of an endpoint's slots that may be granted during the rebuild

	ProjectMemory bool  // place decode runs by their expected memory instead of their output limit
	MemoryPercent int64 // percentage of an endpoint's memory that the projected peak may reach
	EngineSpeeds  bool  // measure the speed of each engine and place by it where speeds differ; needs ProjectMemory

	MaxQueue          int           // requests
	ScanLimit         int           // requests without a grant after which a pass over the queue stops
	LaneScanLimit     int           // requests of one lane that are tried when memory is short
	MaxDeferrableWait time.Duration // longest queueing time of any request, also of one without a target
	FirstTokenMargin  time.Duration // part of the time to first token that is not queueing, prefill or transfer
	TokenTime         time.Duration // time between two output tokens of a request; with ProjectMemory only the initial estimate

	FairQuantum         time.Duration // accounts whose virtual times differ by less are ordered by latest start
	DeferrableShare     int64         // minimum percentage of the endpoint time that deferrable requests get
	MaxDeferrableDebt   time.Duration // bound of the endpoint time owed to deferrable requests
	LowerLevelShare     int64         // minimum percentage of the endpoint time that less urgent levels get together while they wait
	MaxLevelDebt        time.Duration // bound of the endpoint time owed to less urgent levels
	MaxHold             time.Duration // requests that lack memory hold back less urgent levels for at most this time, until one is granted
	ShedInterval        time.Duration // interval of the search for queued requests that can no longer start in time
	ShedLimit           int           // requests that one such search refuses per level at most
	LargePrefillTime    time.Duration // a prompt whose prefill takes longer is large
	MaxSmallPromptWait  time.Duration // a large prompt is granted only if a second prefill endpoint is free within this time
	SmallPromptWindow   time.Duration // large prompts are limited for this long after a small interactive one
	PinAfter            time.Duration // an endpoint is drained for an interactive request that has lacked memory for this long
	PinDeferrableAfter  time.Duration // the same for deferrable requests
	AffinityBonus       time.Duration // extra backlog that is accepted for a cached prefix
	MaxCachedPrefixes   int           // prefixes remembered per endpoint
	Backoff, MaxBackoff time.Duration // pause after the first failure; it doubles with each failure up to the second value
	MinRetry            time.Duration // shortest Retry of a refusal
	MaxRetry            time.Duration // longest Retry of a refusal
	RetrySpread         time.Duration // retries are spread over this time, so that refused requests do not return in one burst
}

// DefaultConfig returns the limits for the environment in docs/design.md.
func DefaultConfig() Config {
	return Config{
		KVSurvival:           800 * time.Millisecond,
		KVMargin:             200 * time.Millisecond,
		MaxBacklog:           20 * time.Millisecond,
		GrantValid:           250 * time.Millisecond,
		GrantTimeout:         1500 * time.Millisecond,
		RunTimeout:           3500 * time.Millisecond,
		QueryInterval:        1500 * time.Millisecond,
		OrphanTime:           5 * time.Second,
		ReportGrace:          3 * time.Second,
		SweepInterval:        100 * time.Millisecond,
		AccountSweepInterval: 10 * time.Second,
		EndedRetention:       5 * time.Second,
		RebuildTime:          1500 * time.Millisecond,
		RebuildPercent:       25,
		MemoryPercent:        100,
		MaxQueue:             2000,
		ScanLimit:            64,
		LaneScanLimit:        8,
		MaxDeferrableWait:    5 * time.Minute,
		FirstTokenMargin:     50 * time.Millisecond,
		TokenTime:            40 * time.Millisecond,
		FairQuantum:          time.Second,
		DeferrableShare:      20,
		MaxDeferrableDebt:    time.Second,
		LowerLevelShare:      10,
		MaxLevelDebt:         time.Second,
		MaxHold:              500 * time.Millisecond,
		ShedInterval:         100 * time.Millisecond,
		ShedLimit:            64,
		LargePrefillTime:     250 * time.Millisecond,
		MaxSmallPromptWait:   1200 * time.Millisecond,
		SmallPromptWindow:    5 * time.Second,
		PinAfter:             time.Second,
		PinDeferrableAfter:   5 * time.Second,
		AffinityBonus:        50 * time.Millisecond,
		MaxCachedPrefixes:    4096,
		Backoff:              500 * time.Millisecond,
		MaxBackoff:           30 * time.Second,
		MinRetry:             100 * time.Millisecond,
		MaxRetry:             30 * time.Second,
	}
}
