package peer

import (
	"errors"
	"syscall"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// link is the connection to one peer. Its stream is opened again when it has ended.
type link struct {
	*Sender
	queue  *peerQueue
	client *client
	stream *stream // nil while no stream is open
	unary  *client // set if the peer is of a version without streams
}

// sendQueued sends all queued messages as one batch. A batch that cannot be sent is
// dropped, and a refused connection is reported to the decision core.
func (l *link) sendQueued() {
	messages := l.queue.take()
	if len(messages) == 0 {
		return
	}
	env := &message.Envelope{From: l.from, Incarnation: id.Incarnation(l.incarnation.Load())}
	for _, m := range messages {
		env.Add(m)
	}
	err := l.send(env)
	if err == nil {
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.poster.Post(core.PeerFailed{Host: l.queue.host})
	}
	l.log.Debug("peer: Batch was not sent.", zap.String("host", string(l.queue.host)), zap.Error(err))
}

// send sends one batch. A batch that found its stream ended, for example because the peer
// has restarted, has not arrived and is sent again.
func (l *link) send(env *message.Envelope) error {
	if l.unary != nil {
		return sendUnary(l.ctx, l.unary, env)
	}
	reused := l.stream != nil
	err := l.sendOnStream(env)
	switch {
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		l.unary = newClient(l.http, l.queue.address, procedure)
		return sendUnary(l.ctx, l.unary, env)
	case err != nil && reused && !errors.Is(err, errTimeout):
		return l.sendOnStream(env)
	default:
		return err
	}
}

// sendOnStream sends one batch on the stream. It opens the stream if necessary, and
// discards it after an error.
func (l *link) sendOnStream(env *message.Envelope) error {
	if l.stream == nil {
		l.stream = openStream(l.ctx, l.client)
	}
	err := l.stream.send(env)
	if err != nil {
		l.stream.cancel()
		l.stream = nil
	}
	return err
}

// close ends the stream, if one is open.
func (l *link) close() {
	if l.stream == nil {
		return
	}
	if err := l.stream.close(); err != nil {
		l.log.Debug("peer: Stream ended with an error.", zap.String("host", string(l.queue.host)), zap.Error(err))
	}
}
