package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"ragwortshunt.example/fleet/message"
)

// errTimeout is wrapped by the error of a batch that the connection did not take in time.
var errTimeout = errors.New("timeout")

// client is the connect-go client of one procedure of one peer.
type client = connect.Client[message.Envelope, Ack]

// newClient returns a client of a procedure of the peer at address (ip:port).
func newClient(h *http.Client, address, procedure string) *client {
	return connect.NewClient[message.Envelope, Ack](h, "http://"+address+procedure, connect.WithCodec(codec{}))
}

// sendUnary sends one batch as a call of its own and waits for the response.
func sendUnary(ctx context.Context, c *client, env *message.Envelope) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := c.CallUnary(ctx, connect.NewRequest(env))
	return err
}

// stream is one open call to a peer. It carries batches in one direction until one of
// the two hosts ends it. Its methods must not be called concurrently.
type stream struct {
	calls  *connect.ClientStreamForClient[message.Envelope, Ack]
	cancel context.CancelFunc
}

func openStream(ctx context.Context, c *client) *stream {
	ctx, cancel := context.WithCancel(ctx)
	return &stream{calls: c.CallClientStream(ctx), cancel: cancel}
}

// send passes one batch to the connection within sendTimeout. After an error the batch
// has not arrived as a whole, and the stream must be cancelled. The error wraps
// errTimeout, or the error of the connection or of the peer.
func (s *stream) send(env *message.Envelope) error {
	timer := time.AfterFunc(sendTimeout, s.cancel)
	err := s.calls.Send(env)
	inTime := timer.Stop()
	switch {
	case err == nil:
		return nil
	case !inTime:
		return fmt.Errorf("%w: send: %w", ErrPeer, errTimeout)
	case errors.Is(err, io.EOF):
		// Only the response of a stream that has ended tells why.
		_, err = s.calls.CloseAndReceive()
	}
	return fmt.Errorf("%w: send: %w", ErrPeer, err)
}

// close ends the stream. The batches that were sent before still arrive.
func (s *stream) close() error {
	timer := time.AfterFunc(sendTimeout, s.cancel)
	_, err := s.calls.CloseAndReceive()
	timer.Stop()
	s.cancel()
	return err
}

// frameTransport is an http.RoundTripper that limits answers, and passes each message of a request
// body on in one piece. connect-go writes the header of a message and its content separately, and
// net/http sends each part as a segment of its own, which costs both hosts twice as many
// system calls.
type frameTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t frameTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		r = r.Clone(r.Context())
		r.Body = &frameBody{ReadCloser: r.Body}
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)
	return resp, nil
}

// Layout of a message in the connect protocol: one byte of flags, the length of the
// content in bytes, and the content.
const (
	frameHeaderBytes = 5
	frameLengthAt    = 1
)

// frameBody is a request body whose reads return the header of a message together with
// as much of its content as fits.
type frameBody struct {
	io.ReadCloser
	left uint32 // bytes of the current message that have not been read
}

// Read implements io.Reader.
func (b *frameBody) Read(p []byte) (int, error) {
	if b.left > 0 || len(p) <= frameHeaderBytes {
		n, err := b.ReadCloser.Read(p)
		b.left -= min(b.left, uint32(n))
		return n, err
	}
	n, err := io.ReadFull(b.ReadCloser, p[:frameHeaderBytes])
	if err != nil {
		return n, bodyError(err)
	}
	b.left = binary.BigEndian.Uint32(p[frameLengthAt:])
	content := p[frameHeaderBytes:]
	if int64(len(content)) > int64(b.left) {
		content = content[:b.left]
	}
	m, err := io.ReadFull(b.ReadCloser, content)
	b.left -= uint32(m)
	return n + m, bodyError(err)
}

// bodyError returns the error of a body that ended within a message as its end, as the
// body itself would.
func bodyError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return err
}
