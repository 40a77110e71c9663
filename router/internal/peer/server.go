// Package peer is the adapter between the decision core and other routers. It
// sends batches of messages over connect-go, encoded as CBOR.
//
// The batches for one peer share a stream without responses, because a call for each
// batch costs both hosts several times as much.
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

// The procedures of the peer protocol. Hosts of earlier versions know only procedure.
const (
	procedure       = "/ragwortshunt.peer/Deliver" // one batch in each call
	streamProcedure = "/ragwortshunt.peer/Stream"  // a stream of batches
)

// maxEnvelopeBytes limits the size of one batch. It is large enough for a table of the
// target size.
const maxEnvelopeBytes = 16 << 20

// minCompressedBytes is the size from which on responses are compressed. They are empty, and
// a compressor takes more memory than all messages.
const minCompressedBytes = 4 << 10

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
		if err := post(p, req.Msg); err != nil {
			return nil, err
		}
		return connect.NewResponse(&Ack{}), nil
	}
	receive := func(_ context.Context, s *connect.ClientStream[message.Envelope]) (*connect.Response[Ack], error) {
		for s.Receive() {
			if err := post(p, s.Msg()); err != nil {
				return nil, err
			}
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
		return connect.NewResponse(&Ack{}), nil
	}
	opts := []connect.HandlerOption{
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxEnvelopeBytes),
		connect.WithCompressMinBytes(minCompressedBytes),
	}
	mux := http.NewServeMux()
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, deliver, opts...))
	mux.Handle(streamProcedure, connect.NewClientStreamHandler(streamProcedure, receive, opts...))
	return mux
}

// post posts the messages of a batch. It fails if the batch does not name its sender.
func post(p Poster, env *message.Envelope) error {
	if env.From == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("envelope without a sender"))
	}
	for _, m := range env.Messages() {
		p.Post(core.PeerMessage{From: env.From, Incarnation: env.Incarnation, Message: m})
	}
	return nil
}
