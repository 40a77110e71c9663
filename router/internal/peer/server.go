// Package peer is the adapter between the decision core and other routers. It
// sends batches of messages over connect-go, encoded as CBOR.
//
// Delivery is not guaranteed. The decision core resends messages that must arrive.
package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/message"
)

// procedure is the path of the only procedure in the peer protocol.
const procedure = "/ragwortshunt.peer/Deliver"

// maxEnvelopeBytes limits the size of one batch. It is large enough for a table of the
// target size.
const maxEnvelopeBytes = 16 << 20

// ErrPeer is wrapped by the codec errors of this package.
var ErrPeer = errors.New("peer")

// Poster receives the events that the sender and the handler produce.
type Poster interface {
	Post(ev core.Event)
}

// Ack is the empty response to a batch.
type Ack struct{}

// NewHandler returns the handler of the peer protocol. It posts each message of a
// batch as one event, in order.
func NewHandler(p Poster) http.Handler {
	deliver := func(_ context.Context, req *connect.Request[message.Envelope]) (*connect.Response[Ack], error) {
		env := req.Msg
		if env.From == "" {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("envelope without a sender"))
		}
		for _, m := range env.Messages() {
			p.Post(core.PeerMessage{From: env.From, Incarnation: env.Incarnation, Message: m})
		}
		return connect.NewResponse(&Ack{}), nil
	}
	mux := http.NewServeMux()
	mux.Handle(procedure, connect.NewUnaryHandler(
		procedure, deliver, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxEnvelopeBytes),
	))
	return mux
}
