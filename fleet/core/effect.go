package core

import (
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/table"
)

// Effect is something that the shells do on behalf of the reducer.
type Effect interface{ isEffect() }

// SendPeer sends a message to another router, without a guarantee of delivery.
type SendPeer struct {
	To      id.Host
	Address string // ip:port
	Message message.Message
}

// StartPrefill starts a prefill over prompt and delivered output. The answer is
// PrefillDone or RunFailed.
type StartPrefill struct {
	Request  id.Request
	Attempt  id.Attempt
	Model    id.Model
	Endpoint id.Endpoint
	Address  string
	Priority int
	Tokens   int64     // prompt and delivered output
	Output   int64     // delivered output tokens
	NotAfter time.Time // do not start later than this
	Timeout  time.Duration

	// The endpoint that will decode. The prefill is in vain if it cannot be reached.
	Decode        id.Endpoint
	DecodeAddress string
}

// StartDecode imports the KV cache and streams tokens. The answers are
// TokensArrived, and RunFailed if the stream ends without the end marker.
type StartDecode struct {
	Request   id.Request
	Attempt   id.Attempt
	Model     id.Model
	Endpoint  id.Endpoint
	Address   string
	Source    string // address of the prefill engine
	KV        string
	Tokens    int64 // prompt tokens and delivered output
	From      int64 // offset of the first token to generate
	MaxTokens int64
	Priority  int
}

// ResumeDecode reads a broken stream again from an offset. The answers are
// those of StartDecode.
type ResumeDecode struct {
	Request  id.Request
	Attempt  id.Attempt
	Endpoint id.Endpoint
	Address  string
	From     int64
}

// CancelRun frees what an attempt holds on an endpoint. The shell repeats it
// until the endpoint answers or a bound has passed.
type CancelRun struct {
	Request  id.Request
	Attempt  id.Attempt
	Endpoint id.Endpoint
	Address  string
}

// CallService sends the caller's call to a plain service. The answer is
// ServiceDone or RunFailed.
type CallService struct {
	Request  id.Request
	Attempt  id.Attempt
	Endpoint id.Endpoint
	Address  string
	NotAfter time.Time
	Timeout  time.Duration
	Repeat   bool // the reply is recorded with the claim, for repeats of the call
}

// Deliver passes tokens to the caller, in order and once.
type Deliver struct {
	Request id.Request
	Offset  int64
	Tokens  []string
}

// Finish ends a complete answer.
type Finish struct {
	Request      id.Request
	Finish       string
	PromptTokens int64
	OutputTokens int64
}

// Reply passes the reply of a plain service to the caller. Outcome is set when
// a recorded reply of an earlier call is repeated; otherwise the endpoint shell
// has the reply.
type Reply struct {
	Request  id.Request
	Attempt  id.Attempt
	Recorded bool
	Outcome  []byte
}

// Refuse ends a request without an answer. NotRun is true only if no endpoint
// has started work on it. If a part of the answer has been delivered, the shell
// reports the refusal as an error in the stream.
type Refuse struct {
	Request    id.Request
	Code       string
	Text       string
	NotRun     bool
	RetryAfter time.Duration // 0 is none
}

// Charged tells that a request was admitted and its cost charged.
type Charged struct {
	Request id.Request
	Account id.Account
	Tokens  int64
}

// Refunded tells which part of a charge was not used.
type Refunded struct {
	Request id.Request
	Account id.Account
	Tokens  int64
}

// Closed tells that the reducer has let go of a request, after its last other
// effect.
type Closed struct{ Request id.Request }

// ReadObject reads an object of the platform. With a Wait it watches for a
// version above After. The answer is ObjectRead.
type ReadObject struct {
	Kind  string
	Name  string
	After uint64
	Wait  time.Duration
}

// WriteObject updates an object of the platform if it has version IfVersion.
// The answer is ObjectWritten.
type WriteObject struct {
	Kind      string
	Name      string
	IfVersion uint64
	Value     []byte
}

// ListHosts reads the platform's list of hosts. The answer is HostsListed.
type ListHosts struct {
	Fresh bool // the list must not lag
}

// Follow is the way in which a host follows the platform's configuration.
type Follow uint8

// The ways. A few hosts of a zone, the watchers, watch the platform briskly and pass
// on what they read. The others watch it themselves while they hear of no watcher
// that is in contact with it.
const (
	FollowSelf Follow = iota
	FollowBrisk
	FollowPeers
)

// FollowPlatform sets how the platform's configuration is followed.
type FollowPlatform struct{ Follow Follow }

// ApplyPlatform installs changes of the platform's configuration that a watcher has
// passed on.
type ApplyPlatform struct{ Changes PlatformChanged }

// RefreshPlatform tells that a peer has read newer revisions of the platform's
// configuration.
type RefreshPlatform struct{ Seen [SourceCount]uint64 }

// PollLoad reads the load report of an engine. The answer is LoadReported.
type PollLoad struct {
	Endpoint id.Endpoint
	Address  string
	After    uint64 // last cache event seen
}

// SendOrder sends an order to an endpoint. The answer is OrderAnswered.
type SendOrder struct {
	Endpoint id.Endpoint
	Address  string
	Order    engine.Order
	NotAfter time.Time
}

// Log writes one log line.
type Log struct {
	Level   LogLevel
	Part    string // fixed prefix
	Text    string
	Request id.Request
	Host    id.Host
	Code    string
	Account id.Account
	Trace   string // steps of the request with their times
}

// LogLevel is the severity of a log line.
type LogLevel uint8

// The levels of log lines.
const (
	LogDebug LogLevel = iota
	LogInfo
	LogWarn
	LogError
)

// Count adds to a counter of one client account.
type Count struct {
	Name    string
	Account id.Account
	Code    string
	N       int64
}

// Observe records a duration in a histogram of one client account.
type Observe struct {
	Name    string
	Account id.Account
	Value   time.Duration
}

// TableInstalled tells the shells that a newer table is in force.
type TableInstalled struct{ Snapshot *table.Snapshot }

// Stopped ends a graceful shutdown: no request and no share is left.
type Stopped struct{}

func (SendPeer) isEffect()        {}
func (StartPrefill) isEffect()    {}
func (StartDecode) isEffect()     {}
func (ResumeDecode) isEffect()    {}
func (CancelRun) isEffect()       {}
func (CallService) isEffect()     {}
func (Deliver) isEffect()         {}
func (Finish) isEffect()          {}
func (Reply) isEffect()           {}
func (Refuse) isEffect()          {}
func (Charged) isEffect()         {}
func (Refunded) isEffect()        {}
func (Closed) isEffect()          {}
func (ReadObject) isEffect()      {}
func (WriteObject) isEffect()     {}
func (ListHosts) isEffect()       {}
func (PollLoad) isEffect()        {}
func (FollowPlatform) isEffect()  {}
func (RefreshPlatform) isEffect() {}
func (ApplyPlatform) isEffect()   {}
func (SendOrder) isEffect()       {}
func (Log) isEffect()             {}
func (Count) isEffect()           {}
func (Observe) isEffect()         {}
func (TableInstalled) isEffect()  {}
func (Stopped) isEffect()         {}
