package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/fleet/table"
)

// Event is something that happened outside the reducer.
type Event interface{ isEvent() }

// RequestArrived starts a request. The caller's key has been authenticated and
// is not part of the event; the body stays with the caller shell.
type RequestArrived struct {
	Request        id.Request
	Route          id.Route
	Account        id.Account // owner of the key; empty without a key
	Key            id.KeyID   // empty without a key
	PromptTokens   int64
	MaxTokens      int64         // output limit; 0 for services
	Prefix         uint64        // hash of the first block of the prompt
	IdempotencyKey string        // services
	Digest         string        // digest of method, path and body; services
	Expected       int64         // output tokens that the caller expects; 0 is unknown
	Timeout        time.Duration // time in which the caller wants the answer; 0 is no bound
}

// CallerGone tells that the caller of a request has disconnected.
type CallerGone struct{ Request id.Request }

// PrefillDone tells that a prefill has finished.
type PrefillDone struct {
	Request      id.Request
	Attempt      id.Attempt
	KV           string
	CachedTokens int64
}

// TokensArrived carries a part of an answer. Offset counts tokens from 0.
type TokensArrived struct {
	Request id.Request
	Attempt id.Attempt
	Offset  int64
	Tokens  []string
	End     bool
	Finish  string
}

// RunFailed tells that a call to an endpoint did not succeed.
type RunFailed struct {
	Request  id.Request
	Attempt  id.Attempt
	Endpoint id.Endpoint
	Code     string // stable code, kebab case
	NotRun   bool   // the endpoint did not start the work
	Down     bool   // the endpoint could not be reached
	Answered bool   // the endpoint shell holds a reply of the endpoint for the caller
}

// ServiceDone tells that a plain service has answered. The reply itself stays
// with the endpoint shell, except for the part that a claim keeps.
type ServiceDone struct {
	Request id.Request
	Attempt id.Attempt
	Status  int
	Outcome []byte // reply as kept with a claim
}

// PeerMessage is one message from another router.
type PeerMessage struct {
	From        id.Host
	Incarnation id.Incarnation
	Message     message.Message
}

// PeerFailed tells that a message could not be delivered because nothing
// listens at the peer's address.
type PeerFailed struct{ Host id.Host }

// HostsListed carries the platform's list of hosts.
type HostsListed struct{ Hosts []object.Host }

// ObjectRead answers ReadObject. Version 0 means that the object does not
// exist. Unchanged answers a watch that ended without a newer version.
type ObjectRead struct {
	Kind      string
	Name      string
	Version   uint64
	Value     []byte
	Unchanged bool
	Failed    bool
	Sent      time.Time // when the call was made
}

// ObjectWritten answers WriteObject.
type ObjectWritten struct {
	Kind    string
	Name    string
	Version uint64
	Outcome object.WriteOutcome
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

// OrderAnswered answers SendOrder.
type OrderAnswered struct {
	Endpoint id.Endpoint
	Fence    uint64
	Done     bool
	Stale    bool
}

// TableOpened installs a table that has been opened and verified elsewhere, for
// example by a benchmark. Platform and peers deliver manifests and segments.
type TableOpened struct {
	Snapshot *table.Snapshot
	Manifest []byte
	Segments map[string][]byte
}

// PlatformSeen tells which revisions of the platform's configuration this host has
// read.
type PlatformSeen struct{ Seen [SourceCount]uint64 }

// PlatformContact tells that a watch of the platform's configuration has ended well,
// or that it has failed.
type PlatformContact struct{ Lost bool }

// PlatformChanged carries changes of the platform's configuration that this host has
// read from the platform.
type PlatformChanged struct {
	Source   Source
	Since    uint64 // revision on which the changes build
	Revision uint64
	Changes  []message.PlatformChange
}

// Source is one source of the platform's configuration.
type Source int

// The sources.
const (
	SourceConfig Source = iota
	SourceEndpoints
	SourceCount
)

// Tick drives timers. It comes every TickInterval.
type Tick struct{}

// DrainRequested starts a graceful shutdown.
type DrainRequested struct{}

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
func (LoadReported) isEvent()    {}
func (CacheChanged) isEvent()    {}
func (OrderAnswered) isEvent()   {}
func (TableOpened) isEvent()     {}
func (PlatformSeen) isEvent()    {}
func (PlatformContact) isEvent() {}
func (PlatformChanged) isEvent() {}
func (Tick) isEvent()            {}
func (DrainRequested) isEvent()  {}
