package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// Event is an input of the reducer: something that happened outside of it.
type Event interface{ isEvent() }

// RequestArrived starts a request. The caller's key has been authenticated and
// is not part of the event; the caller adapter keeps the body.
type RequestArrived struct {
	Request        id.Request
	Table          uint64 // version of the table in which the caller's adapter looked up the route and the key; 0 is unknown
	Route          id.Route
	Account        id.Account // owner of the key; empty without a key
	Key            id.KeyID   // empty without a key
	PromptTokens   int64
	MaxTokens      int64         // maximum number of output tokens; 0 for services
	Prefix         uint64        // hash of the prompt's first block
	Segments       []id.Segment  // segments of the prompt that other requests may share, in their order
	IdempotencyKey string        // services only
	Digest         string        // digest of method, path and body; services only
	Expected       int64         // output tokens that the caller expects; 0 means unknown
	Timeout        time.Duration // how long the caller waits for the response; 0 means no limit

	// SegmentsTruncated means that Segments lacks some, so that a failed run says nothing about
	// the others.
	SegmentsTruncated bool
}

// CallerGone reports that the caller of a request has disconnected.
type CallerGone struct{ Request id.Request }

// PrefillDone reports that a prefill has finished.
type PrefillDone struct {
	Request      id.Request
	Attempt      id.Attempt
	KV           string
	CachedTokens int64
}

// TokensArrived carries one chunk of a response. Offset counts tokens from 0.
type TokensArrived struct {
	Request id.Request
	Attempt id.Attempt
	Offset  int64
	Tokens  []string
	End     bool
	Finish  string
}

// RunFailed reports that a call to an endpoint did not succeed.
type RunFailed struct {
	Request     id.Request
	Attempt     id.Attempt
	Endpoint    id.Endpoint
	Code        string // stable error code in kebab case
	NotRun      bool   // the endpoint did not start the work
	Unreachable bool   // the endpoint could not be reached
	HasReply    bool   // the endpoint adapter holds the endpoint's reply, which can be sent to the caller
	Alive       bool   // the endpoint has sent something that is no answer, so it has not crashed
}

// ServiceDone reports that a plain service has replied. The reply itself stays with
// the endpoint adapter; Outcome is the part that is recorded with a claim.
type ServiceDone struct {
	Request id.Request
	Attempt id.Attempt
	Status  int
	Outcome []byte // reply as recorded with a claim
}

// PeerMessage is one message from another router.
type PeerMessage struct {
	From        id.Host
	Incarnation id.Incarnation
	Message     message.Message
}

// PeerFailed reports that a message could not be delivered because the peer's
// address refused the connection.
type PeerFailed struct{ Host id.Host }

// HostsListed carries the platform's list of hosts.
type HostsListed struct{ Hosts []object.Host }

// ObjectRead is the result of ReadObject. Version 0 means that the object does not
// exist. Unchanged means that a watch ended without a newer version.
type ObjectRead struct {
	Kind      string
	Name      string
	Version   uint64
	Value     []byte
	Unchanged bool
	Failed    bool
	Sent      time.Time // when the call was made
	SentEra   uint64    // Era of the ReadObject
	Era       uint64    // era of the store that answered; 0 if it is unknown
}

// ObjectWritten is the result of WriteObject.
type ObjectWritten struct {
	Kind    string
	Name    string
	Version uint64
	Outcome object.WriteOutcome
	SentEra uint64 // Era of the WriteObject
	Era     uint64 // era of the store that answered; 0 if it is unknown
}

// EndpointNotice reports what an endpoint has said about further requests of this host.
type EndpointNotice struct {
	Endpoint id.Endpoint
	Leaving  bool          // it is leaving and must get no new work
	Pause    time.Duration // it wants no request of this host for so long; 0 means none
}

// EndpointLimited reports that an endpoint has named the rate of requests that it takes from
// all hosts together, or that it names none any more (Limited is false).
type EndpointLimited struct {
	Endpoint  id.Endpoint
	Limited   bool
	PerSecond float64
}

// LoadReported carries a load report of an engine.
type LoadReported struct{ Report schedule.Report }

// CacheChanged carries a cache event of an engine.
type CacheChanged struct {
	Endpoint id.Endpoint
	Seq      uint64
	Prefix   uint64
	Evicted  bool
}

// OrderAnswered is the result of SendOrder. Stale means that the endpoint has seen a
// higher fencing token.
type OrderAnswered struct {
	Endpoint id.Endpoint
	Fence    uint64
	Done     bool
	Stale    bool
}

// TableOpened installs a table that was opened and verified outside of the core, for
// example by a benchmark. The platform and peers deliver manifests and segments
// instead.
type TableOpened struct {
	Snapshot *table.Snapshot
	Manifest []byte
	Segments map[string][]byte
}

// PlatformSeen reports the revisions of the platform's configuration that this host
// has read, and the era of the store in which it has read them.
type PlatformSeen struct {
	Era           uint64
	SeenRevisions [SourceCount]uint64
	Digests       [SourceCount]uint64 // of the objects of each source at that revision; 0 is unknown
}

// PlatformContact reports that a watch on the platform's configuration has succeeded,
// or that it has failed (Lost).
type PlatformContact struct{ Lost bool }

// PlatformChanged carries changes of the platform's configuration that this host
// has read from the platform itself.
type PlatformChanged struct {
	ConfigSource ConfigSource
	Era          uint64 // of the store; 0 if it is unknown
	Since        uint64 // revision to which the changes apply
	Revision     uint64
	Changes      []message.PlatformChange
}

// ConfigSource is one source of the platform's configuration.
type ConfigSource int

// The sources. SourceCount is their number.
const (
	SourceConfig ConfigSource = iota
	SourceEndpoints
	SourceEvacuations // evacuated zones; only where the settings ask for it
	SourceCount
)

// Tick drives all timers. It arrives at the interval that TickInterval returns.
type Tick struct{}

// StopAnnounced reports that the host will drain and must end within a time. Until
// DrainRequested arrives, it accepts requests that it can probably answer by then.
type StopAnnounced struct{ Within time.Duration }

// DrainRequested starts a graceful shutdown.
type DrainRequested struct {
	Within time.Duration // until the process must end; 0 means that there is no limit
}

func (RequestArrived) isEvent()  {}
func (CallerGone) isEvent()      {}
func (PrefillDone) isEvent()     {}
func (TokensArrived) isEvent()   {}
func (RunFailed) isEvent()       {}
func (ServiceDone) isEvent()     {}
func (PeerMessage) isEvent()     {}
func (PeerFailed) isEvent()      {}
func (HostsListed) isEvent()     {}
func (ObjectRead) isEvent()      {}
func (ObjectWritten) isEvent()   {}
func (EndpointLimited) isEvent() {}
func (EndpointNotice) isEvent()  {}
func (LoadReported) isEvent()    {}
func (CacheChanged) isEvent()    {}
func (OrderAnswered) isEvent()   {}
func (TableOpened) isEvent()     {}
func (PlatformSeen) isEvent()    {}
func (PlatformContact) isEvent() {}
func (PlatformChanged) isEvent() {}
func (Tick) isEvent()            {}
func (StopAnnounced) isEvent()   {}
func (DrainRequested) isEvent()  {}
