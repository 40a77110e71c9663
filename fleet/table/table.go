// Package table defines the operators' table: its rows, its CSV form, its
// stored form (segments and a manifest) and the snapshot that hosts use.
package table

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// Role is the function of the endpoints of a pool.
type Role string

// The roles of a pool.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleService Role = "service"
)

// State is the state of an endpoint or a key.
type State string

// The states of endpoints (active, leaving) and keys (active, withdrawn).
const (
	StateActive    State = "active"
	StateLeaving   State = "leaving"
	StateWithdrawn State = "withdrawn"
)

// Fencing states how an endpoint treats an order with a stale fencing token.
type Fencing string

// The kinds of fencing: the endpoint rejects stale fencing tokens or ignores all
// fencing tokens.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Account holds the rate limit and the weight of a client account.
type Account struct {
	Name   id.Account
	Weight int64 // share of contended capacity, at least 1
	Rate   int64 // tokens per second across all hosts
	Burst  int64 // tokens

	// Priority has no column in the table. It comes from the configuration of a platform.
	// 0 is the most urgent. It takes precedence over Route.Priority.
	Priority int
}

// Pool is a set of endpoints with one role. Its capacities apply to each endpoint.
type Pool struct {
	Name        id.Pool
	Role        Role
	Model       id.Model // empty for services
	Slots       int64    // concurrent requests of one endpoint
	Blocks      int64    // KV blocks of one endpoint; 0 for services
	BlockTokens int64    // tokens in one KV block
	PrefillRate int64    // prompt tokens per second; only for prefill pools
	LinkRate    int64    // KV tokens per second that one endpoint can send or receive
	MaxQueue    int64    // maximum number of queued requests in one cell

	// The fields below have no column in the table.

	SwitchTime  time.Duration // time for which an engine serves no requests while its role changes
	EventTokens int64         // output tokens per event of a stream; 0 means one event per token
	MovesKV     bool          // engines can stop a run and move its KV cache to another engine
}

// Endpoint is one model engine or plain service.
type Endpoint struct {
	Name    id.Endpoint
	Pool    id.Pool
	Zone    id.Zone
	Address string // ip:port
	Fencing Fencing
	State   State

	// AZ is the availability zone of the endpoint if Zone is a larger scheduling
	// domain. Otherwise it is empty.
	AZ id.Zone

	// ColdPerSecond is the number of requests per second that the endpoint takes from all hosts
	// together while it is cold, that is for a time after its start. It is 0 if the endpoint is
	// not cold or takes any number. It is not part of the operators' table.
	ColdPerSecond float64
	// Slots is the number of calls that a plain service runs concurrently, as its
	// registration states it. 0 is unknown. It has no column in the table.
	Slots int64
}

// Route is what a caller addresses: the "model" field of a model request, or
// the first path element of a service call.
type Route struct {
	Name          id.Route
	Model         id.Model // model routes
	Pool          id.Pool  // service routes
	Class         message.Class
	FirstToken    time.Duration // target for the time to first token
	BetweenTokens time.Duration // target for the time between tokens
	Open          bool          // needs no key; requests run for Account
	Account       id.Account    // set if Open
	Idempotent    bool          // requests may be retried
	CanWait       bool          // requests are demoted instead of refused if the target cannot be met
	MaxStaleness  time.Duration // maximum time since the last confirmation of the table; 0 means no limit
	MaxTokens     int64         // largest output limit of one request

	// The fields below come from the configuration of a platform. They have no column.
	Timeout           time.Duration // maximum time until the end of the response; 0 means no limit
	FirstEventTimeout time.Duration // time after which callers give up waiting for the first event; 0 means no limit
	Attempts          int           // maximum number of endpoints on which one request may run; 0 means the default
	NoResume          bool          // a response that has begun is not resumed on another endpoint; only for model routes
	Streams           bool          // responses are streams of events; only for service routes, as those of models always are
	Priority          int           // 0 is the most urgent
}

// Key is an API key. The secret itself is not stored.
type Key struct {
	ID      id.KeyID
	Account id.Account
	Salt    string // hex-encoded
	Hash    string // hex-encoded SHA-256 of the salt bytes followed by the secret
	State   State
}

// Snapshot is a complete version of the table. It is immutable once built.
type Snapshot struct {
	Version   uint64
	Accounts  map[id.Account]Account
	Pools     map[id.Pool]Pool
	Endpoints map[id.Endpoint]Endpoint
	Routes    map[id.Route]Route
	Keys      map[id.KeyID]Key
}
