package message

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

// PaceReport tells the collector of a plain service what became of the calls that the sender
// sent to the endpoints of the service, since its last report.
type PaceReport struct {
	Service   id.Pool         `cbor:"1,keyasint"`
	Endpoints []EndpointCalls `cbor:"2,keyasint"` // sorted by endpoint
}

// EndpointCalls counts calls of one host to one endpoint.
type EndpointCalls struct {
	Endpoint    id.Endpoint   `cbor:"1,keyasint"`
	Answered    int64         `cbor:"2,keyasint,omitempty"` // calls that ended with an answer that is no failure
	Failed      int64         `cbor:"3,keyasint,omitempty"` // calls that failed or did not reach the endpoint
	Refused     int64         `cbor:"4,keyasint,omitempty"` // calls that the endpoint did not run
	AnswerTime  time.Duration `cbor:"5,keyasint,omitempty"` // sum of the durations of the answered calls
	Outstanding time.Duration `cbor:"6,keyasint,omitempty"` // time integral of the number of outstanding calls
}

// PaceSummary tells all hosts how fast the endpoints of a plain service are, and how many of
// the calls each of them should get.
type PaceSummary struct {
	Service   id.Pool        `cbor:"1,keyasint"`
	Even      bool           `cbor:"2,keyasint,omitempty"` // the endpoints do not differ noticeably
	Endpoints []EndpointPace `cbor:"3,keyasint"`           // sorted by endpoint
}

// EndpointPace describes the calls of all hosts to one endpoint.
type EndpointPace struct {
	Endpoint    id.Endpoint   `cbor:"1,keyasint"`
	PerSecond   float64       `cbor:"2,keyasint,omitempty"` // calls that ended, without refused ones
	Concurrency float64       `cbor:"3,keyasint,omitempty"` // mean number of outstanding calls
	ServiceTime time.Duration `cbor:"4,keyasint,omitempty"` // without queueing; 0 is unknown
	FailureRate float64       `cbor:"5,keyasint,omitempty"` // 0 to 1
	Age         time.Duration `cbor:"6,keyasint,omitempty"` // time since the collector last heard of a call
	Share       float64       `cbor:"7,keyasint"`           // part of the calls that the endpoint should get, 0 to 1
	Room        float64       `cbor:"8,keyasint,omitempty"` // part of the endpoint's capacity that stays free with Share, 0 to 1
	Slow        bool          `cbor:"9,keyasint,omitempty"`
	Failing     bool          `cbor:"10,keyasint,omitempty"`
	Latency     time.Duration `cbor:"11,keyasint,omitempty"` // expected time until the answer, with queueing
}

func (PaceReport) isMessage()  {}
func (PaceSummary) isMessage() {}
