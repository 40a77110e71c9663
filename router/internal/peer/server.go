// Package peer is the shell towards other routers: batches of messages over
// connect-go, encoded as CBOR.
//
// Delivery is not guaranteed. The decision core repeats what matters.
package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/message"
)

// procedure is the path of the one procedure of the peer protocol.
const procedure = "/ragwortshunt.peer/Deliver"

// maxEnvelope bounds one batch, in bytes. A table of the target size fits.
const maxEnvelope = 16 << 20

// ErrPeer is the base of the errors of this package.
var ErrPeer = errors.New("peer")

// Poster takes the events that the shell produces.
type Poster interface {
	Post(ev core.Event)
}

// Ack answers a batch.
type Ack struct{}

// NewHandler returns the handler of the peer protocol.
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
		procedure, deliver, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxEnvelope),
	))
	return mux
}
