// Package message defines the messages that routers exchange.
//
// Messages are plain structs with integer CBOR keys. A sender batches them in
// one Envelope. A receiver ignores fields that it does not know, so that hosts
// of neighbouring versions can talk to each other. A field key is never reused.
package message

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

// Message is one message between routers.
type Message interface{ isMessage() }

// HostState tells whether a host accepts work.
type HostState uint8

// The states of a host.
const (
	HostAlive HostState = iota
	HostLeaving
	HostDead
)

// Phase is the progress of a request that holds a slot.
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

// The service classes. Interactive requests go before deferrable ones.
const (
	ClassInteractive Class = iota + 1
	ClassDeferrable
)

// HostReport tells what the sender believes of another host.
type HostReport struct {
	Host        id.Host        `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	State       HostState      `cbor:"3,keyasint,omitempty"`
}

// CellLoad summarises the queue of one cell at its scheduler.
type CellLoad struct {
	Model     id.Model      `cbor:"1,keyasint"`
	Queued    int           `cbor:"2,keyasint,omitempty"` // requests
	FreeSlots int           `cbor:"3,keyasint,omitempty"` // decode slots
	Wait      time.Duration `cbor:"4,keyasint,omitempty"` // expected queueing time of a new request
}

// Heartbeat is sent to the monitors of a host and to the schedulers that it uses.
type Heartbeat struct {
	Zone         id.Zone       `cbor:"1,keyasint"`
	State        HostState     `cbor:"2,keyasint,omitempty"`
	TableVersion uint64        `cbor:"3,keyasint,omitempty"`
	ConfirmedAge time.Duration `cbor:"4,keyasint,omitempty"` // age of the last confirmation of the table by the platform
	Reports      []HostReport  `cbor:"5,keyasint,omitempty"`
	// Key 6 was the load of cells, which answers of schedulers carry now.
	Settings uint64 `cbor:"7,keyasint,omitempty"` // digest of the settings that all hosts must share
	Register bool   `cbor:"8,keyasint,omitempty"` // the sender has lost its cells; register holds and asks again
	Address  string `cbor:"9,keyasint,omitempty"` // ip:port of the sender, for hosts that cannot read the host list
	// Seen holds the newest revision of each source of the platform's configuration
	// that the sender has read, in the order of core.Source.
	Seen []uint64 `cbor:"10,keyasint,omitempty"`
}

// SlotAsk asks a scheduler for prefill, transfer and decode capacity.
type SlotAsk struct {
	Request      id.Request    `cbor:"1,keyasint"`
	Attempt      id.Attempt    `cbor:"2,keyasint"`
	Account      id.Account    `cbor:"3,keyasint"`
	Model        id.Model      `cbor:"4,keyasint"`
	Class        Class         `cbor:"5,keyasint"`
	PromptTokens int64         `cbor:"6,keyasint"`
	OutputTokens int64         `cbor:"7,keyasint"`           // output limit
	Prefix       uint64        `cbor:"8,keyasint,omitempty"` // hash of the first block of the prompt; 0 is none
	Waited       time.Duration `cbor:"9,keyasint,omitempty"` // time since arrival at the entry host
	FirstToken   time.Duration `cbor:"10,keyasint,omitempty"`
	CanWait      bool          `cbor:"11,keyasint,omitempty"` // demote instead of refusing when late
	Avoid        id.Endpoint   `cbor:"12,keyasint,omitempty"` // endpoint of a failed attempt
	Part         int           `cbor:"13,keyasint,omitempty"` // cell of the model in the scheduler's zone
	Expected     int64         `cbor:"14,keyasint,omitempty"` // expected output tokens; 0 is unknown
	Patience     time.Duration `cbor:"15,keyasint,omitempty"` // longest queueing time; 0 is no bound
	Earlier      time.Duration `cbor:"16,keyasint,omitempty"` // time that the caller had spent before the request came to its host
	AZ           id.Zone       `cbor:"17,keyasint,omitempty"` // availability zone of the entry host, where the scheduler's zone is a larger domain
}

// SlotGrant reserves both engines for one attempt.
type SlotGrant struct {
	Request id.Request    `cbor:"1,keyasint"`
	Attempt id.Attempt    `cbor:"2,keyasint"`
	Prefill id.Endpoint   `cbor:"3,keyasint"`
	Decode  id.Endpoint   `cbor:"4,keyasint"`
	Valid   time.Duration `cbor:"5,keyasint"`           // the prefill must start within this time of receipt
	Wait    time.Duration `cbor:"6,keyasint,omitempty"` // expected queueing time of a new request in the cell
}

// SlotRefuse ends an ask without a grant. The request has not run.
type SlotRefuse struct {
	Request id.Request    `cbor:"1,keyasint"`
	Attempt id.Attempt    `cbor:"2,keyasint"`
	Reason  string        `cbor:"3,keyasint"` // stable code, kebab case
	Retry   time.Duration `cbor:"4,keyasint,omitempty"`
	Wait    time.Duration `cbor:"5,keyasint,omitempty"` // expected queueing time of a new request in the cell
}

// SlotUpdate reports progress of an attempt to the scheduler. PhaseDone and
// PhaseCancelled release what the attempt still holds.
type SlotUpdate struct {
	Request id.Request  `cbor:"1,keyasint"`
	Attempt id.Attempt  `cbor:"2,keyasint"`
	Phase   Phase       `cbor:"3,keyasint"`
	Tokens  int64       `cbor:"4,keyasint,omitempty"` // output tokens so far
	Failed  id.Endpoint `cbor:"5,keyasint,omitempty"` // endpoint that did not answer
	Down    bool        `cbor:"6,keyasint,omitempty"` // Failed could not be reached at all
}

// SlotHold registers a running attempt at a scheduler, which may be new.
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
	Part     int   `cbor:"11,keyasint,omitempty"` // cell of the model in the scheduler's zone
	Expected int64 `cbor:"12,keyasint,omitempty"` // expected output tokens; 0 is unknown
}

// TokenAsk asks another holder of an account's share for tokens.
type TokenAsk struct {
	Request id.Request `cbor:"1,keyasint"`
	Account id.Account `cbor:"2,keyasint"`
	Tokens  int64      `cbor:"3,keyasint"`
}

// TokenGive carries tokens that the sender has already debited. Zero tokens
// means that the sender has none to give.
type TokenGive struct {
	Request id.Request    `cbor:"1,keyasint"`
	Account id.Account    `cbor:"2,keyasint"`
	Tokens  int64         `cbor:"3,keyasint"`
	Charge  uint64        `cbor:"4,keyasint,omitempty"` // names the charge at the giver, for TokenReturn
	Valid   time.Duration `cbor:"5,keyasint,omitempty"` // spend within this time of receipt
}

// TokenReturn gives unused tokens back to the giver of a TokenGive.
type TokenReturn struct {
	Account id.Account `cbor:"1,keyasint"`
	Tokens  int64      `cbor:"2,keyasint"`
	Charge  uint64     `cbor:"3,keyasint"`
}

// Claim names one run of a non-idempotent request.
type Claim struct {
	Account id.Account `cbor:"1,keyasint"`
	Key     string     `cbor:"2,keyasint"` // idempotency key
	Nonce   string     `cbor:"3,keyasint"` // one per attempt to claim
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

// ClaimAsk asks the owner of a claim's shard to record the claim.
type ClaimAsk struct {
	Request id.Request `cbor:"1,keyasint"`
	Claim   Claim      `cbor:"2,keyasint"`
}

// ClaimReply answers a ClaimAsk. Won is true when the asker holds the claim and
// may dispatch; otherwise State and Outcome tell what is recorded.
type ClaimReply struct {
	Request  id.Request `cbor:"1,keyasint"`
	Nonce    string     `cbor:"2,keyasint"`
	Won      bool       `cbor:"3,keyasint,omitempty"`
	State    ClaimState `cbor:"4,keyasint,omitempty"`
	Mismatch bool       `cbor:"5,keyasint,omitempty"` // same key, another digest
	Outcome  []byte     `cbor:"6,keyasint,omitempty"` // kept reply of the endpoint
}

// ClaimSettle records the end of a claimed run at the owner of its shard.
type ClaimSettle struct {
	Claim   Claim      `cbor:"1,keyasint"`
	State   ClaimState `cbor:"2,keyasint"`
	Outcome []byte     `cbor:"3,keyasint,omitempty"`
}

// TableAsk asks a peer for a newer table.
type TableAsk struct {
	Have     uint64   `cbor:"1,keyasint"`
	Segments []string `cbor:"2,keyasint,omitempty"` // names of segments that the asker already has
}

// TableGive carries a manifest and the segments that the asker lacks.
type TableGive struct {
	Version  uint64            `cbor:"1,keyasint"`
	Manifest []byte            `cbor:"2,keyasint"`
	Segments map[string][]byte `cbor:"3,keyasint,omitempty"`
	Age      time.Duration     `cbor:"4,keyasint,omitempty"` // age of the last confirmation by the platform
}

// PlatformChange is one changed object of the platform's configuration.
type PlatformChange struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Spec    []byte `cbor:"3,keyasint,omitempty"` // as the platform has it
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// PlatformGive passes on what a watcher has read of the platform's configuration.
// Without changes it tells that the watcher is in contact with the platform.
type PlatformGive struct {
	Source   int              `cbor:"1,keyasint,omitempty"` // a core.Source
	Since    uint64           `cbor:"2,keyasint,omitempty"` // revision on which the changes build
	Revision uint64           `cbor:"3,keyasint,omitempty"` // revision with the changes
	Changes  []PlatformChange `cbor:"4,keyasint,omitempty"`
	Lost     bool             `cbor:"5,keyasint,omitempty"` // the watcher has lost contact
	Seen     []uint64         `cbor:"6,keyasint,omitempty"` // as in Heartbeat
}

func (Heartbeat) isMessage()    {}
func (SlotAsk) isMessage()      {}
func (SlotGrant) isMessage()    {}
func (SlotRefuse) isMessage()   {}
func (SlotUpdate) isMessage()   {}
func (SlotHold) isMessage()     {}
func (TokenAsk) isMessage()     {}
func (TokenGive) isMessage()    {}
func (TokenReturn) isMessage()  {}
func (ClaimAsk) isMessage()     {}
func (ClaimReply) isMessage()   {}
func (ClaimSettle) isMessage()  {}
func (TableAsk) isMessage()     {}
func (TableGive) isMessage()    {}
func (PlatformGive) isMessage() {}
