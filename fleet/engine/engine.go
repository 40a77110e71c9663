// Package engine defines the HTTP protocol of model engines.
//
//	POST   /v1/prefill                         PrefillRequest -> PrefillReply
//	POST   /v1/decode                          DecodeRequest  -> stream of Chunk, one JSON object per line
//	GET    /v1/runs/{request}/{attempt}?from=N                -> stream of Chunk from token offset N
//	DELETE /v1/runs/{request}/{attempt}        cancels prefill, transfer or decode and frees its memory; 204
//	GET    /v1/load                                           -> Load
//	GET    /v1/cache-events?after=SEQ                         -> CacheEvents
//	POST   /v1/orders                          Order          -> 204
//
// An error has a status of 400 or above and an Error body. A plain service has
// no native protocol: it receives the caller's method, path and body, and the
// headers HeaderRequest, HeaderAttempt and Idempotency-Key.
package engine

import "ragwortshunt.example/fleet/id"

// The headers that a plain service receives with each call.
const (
	HeaderRequest = "Request-Id"
	HeaderAttempt = "Request-Attempt"
	// HeaderNotRun with the value "true" in the reply of a service states that the
	// service did not start the call.
	HeaderNotRun = "Not-Run"
)

// The stable error codes of engines.
const (
	CodeFull       = "full"        // no slot or memory; not run
	CodeLeaving    = "leaving"     // the endpoint is leaving and accepts no new requests; not run
	CodeKVLost     = "kv-lost"     // the KV cache has expired or its source is gone; not run
	CodeNoRun      = "no-run"      // the run is unknown
	CodeCancelled  = "cancelled"   // the run was cancelled
	CodeBadRequest = "bad-request" // the request is malformed; not run
	CodeStaleFence = "stale-fence" // the order's fencing token is stale; not run
)

// PrefillRequest starts the prefill of a prompt.
type PrefillRequest struct {
	Request      id.Request `json:"request-id"`
	Attempt      id.Attempt `json:"attempt"`
	Model        id.Model   `json:"model"`
	Prompt       string     `json:"prompt"`
	Output       string     `json:"output,omitempty"` // output that earlier attempts have delivered
	PromptTokens int64      `json:"prompt-tokens"`    // tokens in Prompt and Output together
	Priority     int        `json:"priority"`         // 0 is the highest
}

// PrefillReply identifies the KV cache of a finished prefill. The engine drops the
// cache in less than a second unless a decode engine imports it.
type PrefillReply struct {
	KV           string `json:"kv-id"`
	CachedTokens int64  `json:"cached-tokens"` // prompt tokens found in the prefix cache
}

// DecodeRequest tells a decode engine to import a KV cache and to generate tokens.
type DecodeRequest struct {
	Request      id.Request `json:"request-id"`
	Attempt      id.Attempt `json:"attempt"`
	Model        id.Model   `json:"model"`
	KV           string     `json:"kv-id"`
	Source       string     `json:"kv-source"` // host:port of the prefill engine
	PromptTokens int64      `json:"prompt-tokens"`
	From         int64      `json:"from"`       // offset of the first token to generate
	MaxTokens    int64      `json:"max-tokens"` // output limit, counted from offset 0
	Priority     int        `json:"priority"`
}

// Chunk is one element of a response stream. Offset is the index of its first
// output token, from 0. The last chunk has End set and may carry no token.
type Chunk struct {
	Offset int64    `json:"offset"`
	Tokens []string `json:"tokens,omitempty"`
	End    bool     `json:"end,omitempty"`
	Finish string   `json:"finish,omitempty"` // "stop" or "length", with End
}

// Load is the load report of one engine. It may be stale.
type Load struct {
	Running    int   `json:"running"`     // requests that hold a slot
	Slots      int   `json:"slots"`       // total slots
	FreeBlocks int64 `json:"free-blocks"` // free memory blocks
	Waiting    int64 `json:"waiting"`     // prompt tokens queued for prefill
	Leaving    bool  `json:"leaving,omitempty"`
	Runs       []Run `json:"runs,omitempty"`
}

// Run identifies an attempt that holds memory on an engine.
type Run struct {
	Request id.Request `json:"request-id"`
	Attempt id.Attempt `json:"attempt"`
}

// CacheEvents lists changes of the prefix cache. A gap in Seq means that events
// were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent reports that a prefix was stored in the cache or evicted from it.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Order tells an engine to change its role or to load a model. Orders are
// idempotent.
type Order struct {
	Fence   uint64   `json:"fence"` // fencing token
	Kind    string   `json:"kind"`  // "role" or "load"
	Role    string   `json:"role,omitempty"`
	Model   id.Model `json:"model,omitempty"`
	Version string   `json:"version,omitempty"`
}

// Error is the body of an error response.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	NotRun  bool   `json:"not-run"` // the engine did not start the run
}
