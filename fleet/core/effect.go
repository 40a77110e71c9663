package core

import (
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
)

// Effect is an output of the reducer: an action that an adapter performs for it.
type Effect interface{ isEffect() }

// SendPeer sends a message to another router. Delivery is not guaranteed.
type SendPeer struct {
	To      id.Host
	Address string // ip:port
	Message message.Message
}

// SetIncarnation changes the incarnation under which messages to other routers are sent from
// now on.
type SetIncarnation struct {
	Incarnation id.Incarnation
}

// StartPrefill starts a prefill of the prompt and the output delivered so far. The
// result is PrefillDone or RunFailed.
type StartPrefill struct {
	Request  id.Request
	Attempt  id.Attempt
	Account  id.Account // that endpoints are told; empty on an open route without a key
	Model    id.Model
	Endpoint id.Endpoint
	Address  string
	Priority int
	Level    message.Level // priority level; only for models with levels
	Tokens   int64         // prompt tokens plus delivered output tokens
	Output   int64         // delivered output tokens
	NotAfter time.Time     // latest start
	Timeout  time.Duration

	// The endpoint that will decode. If it is unreachable, the prefill is wasted.
	Decode        id.Endpoint
	DecodeAddress string
}

// StartDecode imports the KV cache and streams tokens. The results are TokensArrived,
// and RunFailed if the stream ends without the end marker.
type StartDecode struct {
	Request   id.Request
	Attempt   id.Attempt
	Account   id.Account // as in StartPrefill
	Model     id.Model
	Endpoint  id.Endpoint
	Address   string
	Source    string // address of the prefill engine
	KV        string
	Tokens    int64 // prompt tokens and delivered output
	From      int64 // offset of the first token to generate
	MaxTokens int64
	Priority  int
	Level     message.Level // priority level; only for models with levels
}

// ResumeDecode reads a broken stream again from an offset. The results are the same
// as those of StartDecode.
type ResumeDecode struct {
	Request  id.Request
	Attempt  id.Attempt
	Endpoint id.Endpoint
	Address  string
	From     int64
}

// CancelRun frees the resources that an attempt holds on an endpoint. The adapter
// retries it until the endpoint replies or a time limit has passed.
type CancelRun struct {
	Request  id.Request
	Attempt  id.Attempt
	Endpoint id.Endpoint
	Address  string
	KV       string // in relay mode, KV cache of a finished prefill that no decode will fetch; empty if there is none
}

// CallService sends the caller's call to a plain service. The result is ServiceDone
// or RunFailed. If Stream is set, the results are TokensArrived for each event of a
// successful response instead of ServiceDone, as with StartDecode.
type CallService struct {
	Request  id.Request
	Attempt  id.Attempt
	Account  id.Account // as in StartPrefill
	Endpoint id.Endpoint
	Address  string
	NotAfter time.Time
	Timeout  time.Duration // 0 means none
	Stream   bool          // a successful response is a stream of events; only in relay mode
	Repeat   bool          // the reply is recorded with the claim and returned for repeated calls
}

// Deliver sends tokens to the caller. Offsets are in order and without overlap.
type Deliver struct {
	Request id.Request
	Attempt id.Attempt // attempt that the tokens come from
	Offset  int64
	Tokens  []string
}

// Finish ends a complete response.
type Finish struct {
	Request      id.Request
	Finish       string
	PromptTokens int64
	OutputTokens int64
}

// Reply sends the reply of a plain service to the caller. If Recorded is set, Outcome
// is the recorded reply of an earlier call; otherwise the endpoint adapter holds the
// reply.
type Reply struct {
	Request  id.Request
	Attempt  id.Attempt
	Recorded bool
	Outcome  []byte
}

// Refuse ends a request without a complete response. NotRun is true only if no
// endpoint has started work on it. If a part of the response has been delivered, the
// adapter reports the refusal as an error in the stream.
type Refuse struct {
	Request    id.Request
	Code       string
	Text       string
	NotRun     bool
	RetryAfter time.Duration // 0 means none
}

// Charged reports that a request was admitted and its cost charged to the client
// account.
type Charged struct {
	Request id.Request
	Account id.Account
	Tokens  int64
}

// Refunded reports the unused part of a charge.
type Refunded struct {
	Request id.Request
	Account id.Account
	Tokens  int64
}

// Closed is the last effect of a request: the reducer has removed it from its state.
type Closed struct{ Request id.Request }

// ReadObject reads an object of the platform. If Wait is positive, it watches for a
// version above After. The result is ObjectRead.
type ReadObject struct {
	Kind  string
	Name  string
	After uint64
	Wait  time.Duration
	Era   uint64 // era of the store that the core knows
}

// WriteObject updates an object of the platform if its version is IfVersion. The
// result is ObjectWritten.
type WriteObject struct {
	Kind      string
	Name      string
	IfVersion uint64
	Value     []byte
	Era       uint64 // era of the store that the core knows
}

// ListHosts reads the platform's list of hosts. The result is HostsListed.
type ListHosts struct {
	Fresh bool // the list must not be a stale read
}

// Follow is the mode in which a host follows the platform's configuration.
type Follow uint8

// The follow modes. A few hosts of a zone, the watchers, watch the platform with a
// short interval and forward the changes (FollowAsWatcher). The other hosts rely on the
// forwarded changes (FollowWatchers), and watch the platform themselves while no watcher
// reports contact with it (FollowSelf).
const (
	FollowWatchers Follow = iota // the state of a host that starts
	FollowAsWatcher
	FollowSelf
)

// FollowPlatform sets the mode in which the platform's configuration is followed.
type FollowPlatform struct{ Follow Follow }

// ApplyPlatform installs changes of the platform's configuration that a watcher has
// forwarded.
type ApplyPlatform struct{ Changes PlatformChanged }

// RefreshPlatform reads the platform's configuration again, because a peer has read newer
// revisions of it, has found other contents at the same revision, or has seen a newer era of
// the store.
type RefreshPlatform struct {
	Era           uint64
	SeenRevisions [SourceCount]uint64
	Digests       [SourceCount]uint64 // as in PlatformSeen
}

// PeerContact reports that a watcher is in contact with the platform, and that the platform
// has had no outage since the given time.
type PeerContact struct{ Since time.Time }

// PollLoad reads the load report of an engine. The results are LoadReported and one
// CacheChanged for each new cache event.
type PollLoad struct {
	Endpoint id.Endpoint
	Address  string
	After    uint64 // sequence number of the last cache event seen
}

// SendOrder sends an order to an endpoint. The result is OrderAnswered.
type SendOrder struct {
	Endpoint id.Endpoint
	Address  string
	Order    engine.Order
	NotAfter time.Time
}

// Log writes one log line.
type Log struct {
	Level     LogLevel
	Component string // component of the router that logs; a fixed set of values
	Text      string
	Request   id.Request
	Host      id.Host
	Code      string
	Account   id.Account
	Trace     string // steps of the request with their times since arrival
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
	Level   message.Level // set only for metrics by level
	N       int64
}

// Observe records a duration in a histogram of one client account.
type Observe struct {
	Name    string
	Account id.Account
	Value   time.Duration
}

// EndpointGauge sets a gauge of one endpoint.
type EndpointGauge struct {
	Name     string
	Endpoint id.Endpoint
	Value    float64
}

// PublishQuarantine writes the decisions about prompt segments to the platform, so that hosts
// find them in the host list even if all hosts start again. It is retried until it succeeds
// or another one follows.
type PublishQuarantine struct{ Entries []object.QuarantineEntry }

// TableInstalled reports to the adapters that a newer table is in force.
type TableInstalled struct{ Snapshot *table.Snapshot }

// Stopped ends a graceful shutdown. No request is left; rate shares have been handed
// over or are left to expire (see Config.HandOverTimeout).
type Stopped struct{}

func (SendPeer) isEffect()        {}
func (SetIncarnation) isEffect()  {}
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
func (PeerContact) isEffect()     {}
func (ApplyPlatform) isEffect()   {}
func (SendOrder) isEffect()       {}
func (Log) isEffect()             {}
func (Count) isEffect()           {}
func (Observe) isEffect()         {}
func (TableInstalled) isEffect()  {}
func (Stopped) isEffect()         {}

func (EndpointGauge) isEffect()     {}
func (PublishQuarantine) isEffect() {}
