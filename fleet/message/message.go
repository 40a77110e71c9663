// Package message defines the messages that routers exchange.
//
// Messages are plain structs with integer CBOR keys. A sender batches them in
// one Envelope. A receiver ignores unknown fields, so that hosts of adjacent
// software versions can communicate. A field key is never reused.
package message

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

// Message is one message between routers.
type Message interface{ isMessage() }

// HostState states whether a host is alive, leaving or dead.
type HostState uint8

// The states of a host.
const (
	HostAlive HostState = iota
	HostLeaving
	HostDead
)

// Phase is the execution phase of a request that holds a slot.
type Phase uint8

// The phases of a request that holds a slot.
const (
	PhasePrefill Phase = iota + 1
	PhaseDecode
	PhaseDone
	PhaseCancelled
)

// Class is the service class of a route.
type Class uint8

// The service classes. Interactive requests take precedence over deferrable ones.
const (
	ClassInteractive Class = iota + 1
	ClassDeferrable
)

// HostReport is the sender's view of another host.
type HostReport struct {
	Host        id.Host        `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	State       HostState      `cbor:"3,keyasint,omitempty"`
}

// CellLoad summarizes the queue of one cell at its scheduler.
type CellLoad struct {
	Model     id.Model      `cbor:"1,keyasint"`
	Queued    int           `cbor:"2,keyasint,omitempty"` // requests
	FreeSlots int           `cbor:"3,keyasint,omitempty"` // decode slots
	Wait      time.Duration `cbor:"4,keyasint,omitempty"` // expected queueing time of a new request
}

// Heartbeat is sent to the monitors of the sender and to the schedulers that it uses.
type Heartbeat struct {
	Zone         id.Zone       `cbor:"1,keyasint"`
	State        HostState     `cbor:"2,keyasint,omitempty"`
	TableVersion uint64        `cbor:"3,keyasint,omitempty"`
	ConfirmedAge time.Duration `cbor:"4,keyasint,omitempty"` // time since the platform last confirmed the table
	Reports      []HostReport  `cbor:"5,keyasint,omitempty"`
	// Key 6 was the load of cells, which replies of schedulers now carry.
	Settings uint64 `cbor:"7,keyasint,omitempty"` // digest of the settings that all hosts must share
	Register bool   `cbor:"8,keyasint,omitempty"` // the sender has lost its cells; receivers register their holds and pending slot requests again
	Address  string `cbor:"9,keyasint,omitempty"` // ip:port of the sender, for hosts that cannot read the host list
	// SeenRevisions holds the latest revision that the sender has read of each source
	// of the platform's configuration, indexed by core.ConfigSource.
	SeenRevisions []uint64 `cbor:"10,keyasint,omitempty"`
	AwaitsReply   bool     `cbor:"11,keyasint,omitempty"` // the sender counts the receiver as dead if it stays silent
	Capacity      float64  `cbor:"12,keyasint,omitempty"` // part of a processor core that the sender may use; 0 is unknown

	Quarantine []QuarantineEntry `cbor:"13,keyasint,omitempty"` // all entries that the sender knows

	// StoreEra is the era of the store in which SeenRevisions were read. The era rises by
	// one when the store comes back from an older copy, and revisions are given out again.
	// Hosts without knowledge of eras send 0.
	StoreEra uint64 `cbor:"14,keyasint,omitempty"`
}

// Broadcast carries a message to many hosts by way of relays; see package fanout. It
// counts as sent by Origin, but says nothing about the path from there.
type Broadcast struct {
	Origin      id.Host        `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`           // of Origin
	Zone        id.Zone        `cbor:"3,keyasint,omitempty"` // the receiver forwards to hosts of this zone; empty stands for all zones
	First       id.Host        `cbor:"4,keyasint,omitempty"` // the receiver forwards to the hosts from First to Last, in the order of names
	Last        id.Host        `cbor:"5,keyasint,omitempty"`
	Relays      []id.Host      `cbor:"6,keyasint,omitempty"` // relays that the message has passed

	// One of the five holds the message.
	Heartbeats []Heartbeat      `cbor:"7,keyasint,omitempty"`
	Updates    []PlatformUpdate `cbor:"8,keyasint,omitempty"`
	Crashes    []CrashReport    `cbor:"9,keyasint,omitempty"`
	Limits     []EndpointLimit  `cbor:"10,keyasint,omitempty"`

	PaceSummaries []PaceSummary `cbor:"11,keyasint,omitempty"`
}

// SlotRequest requests prefill, transfer and decode capacity from a scheduler.
type SlotRequest struct {
	Request            id.Request    `cbor:"1,keyasint"`
	Attempt            id.Attempt    `cbor:"2,keyasint"`
	Account            id.Account    `cbor:"3,keyasint"`
	Model              id.Model      `cbor:"4,keyasint"`
	Class              Class         `cbor:"5,keyasint"`
	PromptTokens       int64         `cbor:"6,keyasint"`
	OutputTokens       int64         `cbor:"7,keyasint"`            // output limit
	Prefix             uint64        `cbor:"8,keyasint,omitempty"`  // hash of the first block of the prompt; 0 means none
	Waited             time.Duration `cbor:"9,keyasint,omitempty"`  // time since arrival at the entry host
	FirstToken         time.Duration `cbor:"10,keyasint,omitempty"` // target for the time to first token; 0 means none
	CanWait            bool          `cbor:"11,keyasint,omitempty"` // demote instead of refuse when the target cannot be met
	Avoid              id.Endpoint   `cbor:"12,keyasint,omitempty"` // endpoint on which an earlier attempt failed
	CellIndex          int           `cbor:"13,keyasint,omitempty"` // index of the model's cell in the scheduler's zone
	Expected           int64         `cbor:"14,keyasint,omitempty"` // expected output tokens; 0 is unknown
	MaxWait            time.Duration `cbor:"15,keyasint,omitempty"` // maximum queueing time; 0 means the limit of the scheduler
	ElapsedBeforeEntry time.Duration `cbor:"16,keyasint,omitempty"` // time that the caller had spent before the request reached its entry host
	AZ                 id.Zone       `cbor:"17,keyasint,omitempty"` // availability zone of the entry host; set if the scheduler's zone is a larger scheduling domain
	Level              Level         `cbor:"18,keyasint,omitempty"` // priority level; hosts of older versions send none
	TimeLeft           time.Duration `cbor:"19,keyasint,omitempty"` // time that the caller will wait for the end of the response; 0 is unknown
	EventGap           time.Duration `cbor:"20,keyasint,omitempty"` // target for the pause between two events; 0 means none
}

// SlotGrant reserves a prefill and a decode engine for one attempt.
type SlotGrant struct {
	Request id.Request    `cbor:"1,keyasint"`
	Attempt id.Attempt    `cbor:"2,keyasint"`
	Prefill id.Endpoint   `cbor:"3,keyasint"`
	Decode  id.Endpoint   `cbor:"4,keyasint"`
	Valid   time.Duration `cbor:"5,keyasint"`           // the prefill must start within this time after receipt
	Wait    time.Duration `cbor:"6,keyasint,omitempty"` // expected queueing time of a new request in the cell

	TokenTime time.Duration `cbor:"7,keyasint,omitempty"` // expected time per output token on the decode engine; 0 is unknown
}

// SlotRefusal rejects a SlotRequest. The request has not run.
type SlotRefusal struct {
	Request id.Request    `cbor:"1,keyasint"`
	Attempt id.Attempt    `cbor:"2,keyasint"`
	Reason  string        `cbor:"3,keyasint"`           // stable code in kebab case
	Retry   time.Duration `cbor:"4,keyasint,omitempty"` // suggested wait before a retry
	Wait    time.Duration `cbor:"5,keyasint,omitempty"` // expected queueing time of a new request in the cell
}

// SlotUpdate reports the progress of an attempt to the scheduler. PhaseDone and
// PhaseCancelled release the capacity that the attempt still holds.
type SlotUpdate struct {
	Request     id.Request  `cbor:"1,keyasint"`
	Attempt     id.Attempt  `cbor:"2,keyasint"`
	Phase       Phase       `cbor:"3,keyasint"`
	Tokens      int64       `cbor:"4,keyasint,omitempty"` // output tokens so far
	Failed      id.Endpoint `cbor:"5,keyasint,omitempty"` // endpoint that did not respond
	Unreachable bool        `cbor:"6,keyasint,omitempty"` // no connection to Failed could be established
}

// SlotHold registers or refreshes a running attempt at a scheduler, which may have
// replaced the one that granted it.
type SlotHold struct {
	Request      id.Request  `cbor:"1,keyasint"`
	Attempt      id.Attempt  `cbor:"2,keyasint"`
	Account      id.Account  `cbor:"3,keyasint"`
	Model        id.Model    `cbor:"4,keyasint"`
	Prefill      id.Endpoint `cbor:"5,keyasint,omitempty"`
	Decode       id.Endpoint `cbor:"6,keyasint"`
	Phase        Phase       `cbor:"7,keyasint"`
	PromptTokens int64       `cbor:"8,keyasint"`
	OutputTokens int64       `cbor:"9,keyasint"`
	// Key 10 marked placements without a grant, which no longer exist.
	CellIndex int   `cbor:"11,keyasint,omitempty"` // index of the model's cell in the scheduler's zone
	Expected  int64 `cbor:"12,keyasint,omitempty"` // expected output tokens; 0 is unknown
}

// SlotQuery asks the host of a running attempt whether it still holds the attempt. The host
// answers with a SlotHold, whose phase is PhaseCancelled if the attempt has ended.
type SlotQuery struct {
	Request   id.Request `cbor:"1,keyasint"`
	Attempt   id.Attempt `cbor:"2,keyasint"`
	Model     id.Model   `cbor:"3,keyasint"`
	CellIndex int        `cbor:"4,keyasint,omitempty"` // index of the model's cell in the scheduler's zone
}

// EnginePace reports the speed of a decode engine to the scheduler of its cell, if it
// differs from the one that the scheduler expects.
type EnginePace struct {
	Model     id.Model      `cbor:"1,keyasint"`
	CellIndex int           `cbor:"2,keyasint,omitempty"` // index of the model's cell in the scheduler's zone
	Endpoint  id.Endpoint   `cbor:"3,keyasint"`
	TokenTime time.Duration `cbor:"4,keyasint"` // time per output token that the sender has seen
}

// TokenRequest requests rate tokens from another host that holds a share of the account's
// rate.
type TokenRequest struct {
	Request id.Request `cbor:"1,keyasint"`
	Account id.Account `cbor:"2,keyasint"`
	Tokens  int64      `cbor:"3,keyasint"`
}

// TokenTransfer transfers rate tokens that the sender has already debited. Zero tokens
// mean that the sender has none to spare.
type TokenTransfer struct {
	Request id.Request    `cbor:"1,keyasint"`
	Account id.Account    `cbor:"2,keyasint"`
	Tokens  int64         `cbor:"3,keyasint"`
	Charge  uint64        `cbor:"4,keyasint,omitempty"` // identifies the charge at the sender, for TokenReturn
	Valid   time.Duration `cbor:"5,keyasint,omitempty"` // the tokens expire this long after receipt
}

// TokenReturn returns unused tokens to the sender of a TokenTransfer.
type TokenReturn struct {
	Account id.Account `cbor:"1,keyasint"`
	Tokens  int64      `cbor:"2,keyasint"`
	Charge  uint64     `cbor:"3,keyasint"`
}

// Claim identifies one run of a non-idempotent request.
type Claim struct {
	Account id.Account `cbor:"1,keyasint"`
	Key     string     `cbor:"2,keyasint"` // idempotency key
	Nonce   string     `cbor:"3,keyasint"` // unique to each attempt to claim
	Digest  string     `cbor:"4,keyasint"` // digest of the request
}

// ClaimState is the recorded state of a claim.
type ClaimState uint8

// The states of a claim. An unknown claim has not been recorded.
const (
	ClaimUnknown ClaimState = iota
	ClaimHeld
	ClaimDone
	ClaimNotRun
)

// ClaimRequest requests that the owner of a claim's shard record the claim.
type ClaimRequest struct {
	Request id.Request `cbor:"1,keyasint"`
	Claim   Claim      `cbor:"2,keyasint"`
}

// ClaimReply answers a ClaimRequest. Won is true if the requester holds the claim and
// may dispatch the request; otherwise State and Outcome hold what is recorded.
type ClaimReply struct {
	Request  id.Request `cbor:"1,keyasint"`
	Nonce    string     `cbor:"2,keyasint"`
	Won      bool       `cbor:"3,keyasint,omitempty"`
	State    ClaimState `cbor:"4,keyasint,omitempty"`
	Mismatch bool       `cbor:"5,keyasint,omitempty"` // the key is recorded with another digest
	Outcome  []byte     `cbor:"6,keyasint,omitempty"` // recorded reply of the endpoint
}

// ClaimSettle requests that the owner of a claim's shard record the outcome of the run.
type ClaimSettle struct {
	Claim   Claim      `cbor:"1,keyasint"`
	State   ClaimState `cbor:"2,keyasint"`
	Outcome []byte     `cbor:"3,keyasint,omitempty"`
}

// TableRequest requests a newer table from a peer.
type TableRequest struct {
	Have     uint64   `cbor:"1,keyasint"`           // version of the requester's table
	Segments []string `cbor:"2,keyasint,omitempty"` // names of the segments that the requester already has
}

// TableReply answers a TableRequest with a manifest and the segments that the requester
// lacks.
type TableReply struct {
	Version  uint64            `cbor:"1,keyasint"`
	Manifest []byte            `cbor:"2,keyasint"`
	Segments map[string][]byte `cbor:"3,keyasint,omitempty"`
	Age      time.Duration     `cbor:"4,keyasint,omitempty"` // time since the platform last confirmed the table
}

// PlatformChange is one changed object of the platform's configuration.
type PlatformChange struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Spec    []byte `cbor:"3,keyasint,omitempty"` // in the platform's encoding
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// PlatformUpdate forwards changes of the platform's configuration that a watcher has
// read. Without changes it states that the watcher is in contact with the platform.
type PlatformUpdate struct {
	ConfigSource  int              `cbor:"1,keyasint,omitempty"` // a core.ConfigSource
	Since         uint64           `cbor:"2,keyasint,omitempty"` // revision to which the changes apply
	Revision      uint64           `cbor:"3,keyasint,omitempty"` // revision after the changes
	Changes       []PlatformChange `cbor:"4,keyasint,omitempty"`
	Lost          bool             `cbor:"5,keyasint,omitempty"` // the watcher has lost contact with the platform
	SeenRevisions []uint64         `cbor:"6,keyasint,omitempty"` // as in Heartbeat
	StoreEra      uint64           `cbor:"7,keyasint,omitempty"` // of all revisions in the message; as in Heartbeat

	// Contact is how long the platform has been without an outage, as far as the watcher knows.
	Contact time.Duration `cbor:"8,keyasint,omitempty"`

	// Digests holds a digest of the objects of each source at SeenRevisions, as read by the
	// watcher. It is empty if they are not known.
	Digests []uint64 `cbor:"9,keyasint,omitempty"`
}

// CrashReport reports that a run has broken off before it had produced much output. The
// endpoint may have crashed.
type CrashReport struct {
	Endpoint id.Endpoint  `cbor:"1,keyasint"`
	Segments []id.Segment `cbor:"2,keyasint"`           // shared segments of the prompt, in their order
	Zone     id.Zone      `cbor:"3,keyasint,omitempty"` // availability zone of the endpoint, if known

	// Truncated means that the prompt has more segments than its host knows. Then Segments is
	// empty, and the crash says nothing about any segment.
	Truncated bool `cbor:"4,keyasint,omitempty"`
}

// CrashRebuttal objects to CrashReports.
type CrashRebuttal struct {
	Answered  []AnsweredSegment `cbor:"1,keyasint,omitempty"`
	Endpoints []id.Endpoint     `cbor:"2,keyasint,omitempty"` // have answered since they were reported
}

// EndpointLimit tells hosts the rate of requests that an endpoint takes from all of them
// together, or that it names none any more.
type EndpointLimit struct {
	Endpoint  id.Endpoint `cbor:"1,keyasint"`
	PerSecond float64     `cbor:"2,keyasint,omitempty"`
	Ended     bool        `cbor:"3,keyasint,omitempty"`

	Age time.Duration `cbor:"4,keyasint,omitempty"` // time since the sender's last news of the limit
}

// AnsweredSegment says that the sender has received an answer to a prompt with the segment.
type AnsweredSegment struct {
	Segment id.Segment    `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint,omitempty"` // time since the answer
}

// QuarantineEntry is a decision about the quarantine of a prompt segment. The highest
// version of a segment is in force.
type QuarantineEntry struct {
	Segment   id.Segment    `cbor:"1,keyasint"`
	Version   uint64        `cbor:"2,keyasint"`
	Remaining time.Duration `cbor:"3,keyasint"`           // until the entry ends
	Released  bool          `cbor:"4,keyasint,omitempty"` // the quarantine was ended early

	Provisional bool `cbor:"5,keyasint,omitempty"` // probes may reach engines
	Probes      int  `cbor:"6,keyasint,omitempty"` // that may have reached engines
}

func (Heartbeat) isMessage()      {}
func (SlotRequest) isMessage()    {}
func (SlotGrant) isMessage()      {}
func (SlotRefusal) isMessage()    {}
func (SlotUpdate) isMessage()     {}
func (SlotHold) isMessage()       {}
func (SlotQuery) isMessage()      {}
func (TokenRequest) isMessage()   {}
func (TokenTransfer) isMessage()  {}
func (TokenReturn) isMessage()    {}
func (ClaimRequest) isMessage()   {}
func (ClaimReply) isMessage()     {}
func (ClaimSettle) isMessage()    {}
func (TableRequest) isMessage()   {}
func (TableReply) isMessage()     {}
func (PlatformUpdate) isMessage() {}
func (Broadcast) isMessage()      {}
func (CrashReport) isMessage()    {}
func (CrashRebuttal) isMessage()  {}
func (EndpointLimit) isMessage()  {}
func (EnginePace) isMessage()     {}
