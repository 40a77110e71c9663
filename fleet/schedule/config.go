package schedule

import "time"

// Placement is the way in which endpoints are chosen.
type Placement uint8

// The placements. Only PlacementReserve queues requests at the scheduler; the
// others are baselines that grant each ask at once.
const (
	PlacementReserve     Placement = iota
	PlacementRoundRobin            // in turn, without reservation
	PlacementLeastLoaded           // by the load reports, without reservation
)

// Policy switches mechanisms off, so that a benchmark can measure what each
// contributes. The zero value has all of them on.
type Policy struct {
	Placement      Placement
	NoClasses      bool // interactive and deferrable requests share one queue
	NoFairQueue    bool // order by latest start only, whatever the account
	NoAffinity     bool // ignore prefix caches
	NoEarlyRefusal bool // keep requests that will miss their first-token target
	NoRedirect     bool // queue requests that cannot start in time, in place of refusing them at once
	NoLargeLimit   bool // let large prompts take every prefill endpoint
	NoLateLast     bool // deferrable requests that have missed their target keep their place
	NoReportedEnds bool // free reservations only when their host says so
	NoPin          bool // never drain a decode endpoint for a request that needs much memory
}

// Config holds the limits of a cell.
type Config struct {
	Policy Policy

	KVSurvival time.Duration // life of a KV cache after its prefill
	KVMargin   time.Duration // part of KVSurvival that plans leave unused
	MaxBacklog time.Duration // prefill work that may wait at an endpoint when another prefill is granted

	GrantValid    time.Duration // time in which a host must start a granted prefill
	HoldTimeout   time.Duration // a grant without update or hold expires
	HoldLapse     time.Duration // a running attempt without update or hold is cancelled
	OrphanTime    time.Duration // a run that an engine reports and nobody registers is cancelled
	ReportTrust   time.Duration // load reports need not list a decode run that is younger
	SweepTime     time.Duration // between two searches for lapsed reservations
	AccountMemory time.Duration // between two searches for idle accounts
	EndedMemory   time.Duration // an ended attempt is remembered, against late messages

	RebuildTime    time.Duration // a new scheduler waits this long for holds
	RebuildPercent int64         // slots of an endpoint that may be granted meanwhile

	Projected     bool  // place decode runs by the memory that they are expected to need
	MemoryPercent int64 // part of an endpoint's memory that expected needs may fill

	MaxQueue          int           // requests
	ScanLimit         int           // queue heads that one round of grants passes over
	ScanLane          int           // requests of one lane that are tried when memory is short
	MaxDeferrableWait time.Duration // longest queueing of deferrable requests, and of those without a target
	FirstTokenMargin  time.Duration // time from prefill start to first token beyond prefill and transfer
	TokenTime         time.Duration // time between two output tokens of a request, for costs

	FairQuantum          time.Duration // accounts whose virtual times differ by less are ordered by latest start
	DeferrableShare      int64         // percent of the endpoint time that deferrable requests get at least
	DebtMost             time.Duration // bound of the endpoint time owed to deferrable requests
	LargePrefill         time.Duration // a prompt whose prefill takes longer is large
	LargeWait            time.Duration // longest wait of small prompts for a prefill endpoint that large ones leave
	SmallMemory          time.Duration // large prompts respect LargeWait for this long after a small one
	PinAfter             time.Duration // an interactive request that lacks memory for this long gets an endpoint drained
	PinDeferrableAfter   time.Duration // the same for deferrable requests
	AffinityBonus        time.Duration // backlog that a cached prefix outweighs
	CachedPrefixes       int           // prefixes remembered per endpoint
	BackOff, BackOffMost time.Duration // pause after the first failure; it doubles up to the second
	RetryLeast           time.Duration // shortest Retry of a refusal
	RetryMost            time.Duration // longest Retry of a refusal
	RetrySpread          time.Duration // returns are spread over this time, so that a burst does not come back as one
}

// DefaultConfig returns the limits for the environment in docs/design.md.
func DefaultConfig() Config {
	return Config{
		KVSurvival:         800 * time.Millisecond,
		KVMargin:           200 * time.Millisecond,
		MaxBacklog:         20 * time.Millisecond,
		GrantValid:         250 * time.Millisecond,
		HoldTimeout:        1500 * time.Millisecond,
		HoldLapse:          3500 * time.Millisecond,
		OrphanTime:         5 * time.Second,
		ReportTrust:        3 * time.Second,
		SweepTime:          100 * time.Millisecond,
		AccountMemory:      10 * time.Second,
		EndedMemory:        5 * time.Second,
		RebuildTime:        1500 * time.Millisecond,
		RebuildPercent:     25,
		MemoryPercent:      100,
		MaxQueue:           2000,
		ScanLimit:          64,
		ScanLane:           8,
		MaxDeferrableWait:  5 * time.Minute,
		FirstTokenMargin:   50 * time.Millisecond,
		TokenTime:          40 * time.Millisecond,
		FairQuantum:        time.Second,
		DeferrableShare:    20,
		DebtMost:           time.Second,
		LargePrefill:       250 * time.Millisecond,
		LargeWait:          1200 * time.Millisecond,
		SmallMemory:        5 * time.Second,
		PinAfter:           time.Second,
		PinDeferrableAfter: 5 * time.Second,
		AffinityBonus:      50 * time.Millisecond,
		CachedPrefixes:     4096,
		BackOff:            500 * time.Millisecond,
		BackOffMost:        30 * time.Second,
		RetryLeast:         100 * time.Millisecond,
		RetryMost:          30 * time.Second,
	}
}
