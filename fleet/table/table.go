// Package table defines the operators' table: its rows, its CSV form, its
// stored form (segments and a manifest) and the snapshot that hosts use.
package table

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Role is the work that the endpoints of a pool do.
type Role string

// The roles of a pool.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleService Role = "service"
)

// State tells whether a row is in use.
type State string

// The states of endpoints (active, leaving) and keys (active, withdrawn).
const (
	StateActive    State = "active"
	StateLeaving   State = "leaving"
	StateWithdrawn State = "withdrawn"
)

// Fencing tells what an endpoint does with an old fencing number.
type Fencing string

// The kinds of fencing.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Account is one client account.
type Account struct {
	Name   id.Account
	Weight int64 // share of contended capacity, at least 1
	Rate   int64 // tokens per second over the whole fleet
	Burst  int64 // tokens
}

// Pool is a set of endpoints with one role. Its figures hold for each endpoint.
type Pool struct {
	Name        id.Pool
	Role        Role
	Model       id.Model // empty for services
	Slots       int64    // concurrent requests of one endpoint
	Blocks      int64    // memory blocks of one endpoint; 0 for services
	BlockTokens int64    // tokens in one memory block
	PrefillRate int64    // prompt tokens per second; prefill pools
	LinkRate    int64    // KV tokens per second that one endpoint can send or receive
	MaxQueue    int64    // queued requests in one cell

	// Without a column of the table:
	SwitchTime  time.Duration // an engine is out of work for so long when its role changes
	EventTokens int64         // output tokens in one event of a stream; 0 means that answers come by tokens
}

// Endpoint is one model engine or plain service.
type Endpoint struct {
	Name    id.Endpoint
	Pool    id.Pool
	Zone    id.Zone
	Address string // ip:port
	Fencing Fencing
	State   State

	// AZ is the availability zone of the endpoint, where Zone is a larger domain
	// that schedules together; else it is empty.
	AZ id.Zone
}

// Route is what a caller addresses: the "model" field of a model request, or
// the first path element of a service call.
type Route struct {
	Name          id.Route
	Model         id.Model // model routes
	Pool          id.Pool  // service routes
	Class         message.Class
	FirstToken    time.Duration // target
	BetweenTokens time.Duration // target
	Open          bool          // needs no key; runs for Account
	Account       id.Account    // with Open
	Idempotent    bool          // calls may be repeated
	CanWait       bool          // demoted instead of refused when late
	MaxStaleness  time.Duration // longest service without confirmation of the table; 0 is no bound
	MaxTokens     int64         // largest output limit of one request

	// The fields below come from a platform's own configuration. They have no column.
	Timeout  time.Duration // longest time until the end of the answer; 0 is no bound
	Patience time.Duration // callers give up when the first event takes longer; 0 is no bound
	Attempts int           // endpoints on which one request may run; 0 is the default
	Once     bool          // an answer that has begun is not continued on another endpoint; model routes
}

// Key is one caller key. The secret itself is not stored.
type Key struct {
	ID      id.KeyID
	Account id.Account
	Salt    string // hex
	Hash    string // hex of SHA-256 over salt bytes and secret
	State   State
}

// Snapshot is one complete version of the table. It is immutable once built.
type Snapshot struct {
	Version   uint64
	Accounts  map[id.Account]Account
	Pools     map[id.Pool]Pool
	Endpoints map[id.Endpoint]Endpoint
	Routes    map[id.Route]Route
	Keys      map[id.KeyID]Key
}
