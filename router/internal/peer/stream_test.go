package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/router/internal/eventtest"
	"ragwortshunt.example/router/internal/peer"
)

const streamPath = "/ragwortshunt.peer/Stream"

// startServer serves h over HTTP/2 on an address, or on a free one if it is empty.
func startServer(t testing.TB, address string, h http.Handler) *httptest.Server {
	t.Helper()
	srv := httptest.NewUnstartedServer(h)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	if address != "" {
		assert.NilError(t, srv.Listener.Close())
		l, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		srv.Listener = l
	}
	srv.Start()
	t.Cleanup(func() { stopServer(srv) })
	return srv
}

func stopServer(srv *httptest.Server) {
	srv.CloseClientConnections()
	srv.Close()
}

func tokenRequest(address string, n int64) core.SendPeer {
	return core.SendPeer{To: "h-2", Address: address, Message: message.TokenRequest{Tokens: n}}
}

func tokens(t *testing.T, ev core.Event) int64 {
	t.Helper()
	m, ok := ev.(core.PeerMessage).Message.(message.TokenRequest)
	assert.Assert(t, ok)
	return m.Tokens
}

// TestOneStream guards against a call for each batch, which costs both hosts several times
// as much as a batch on an open stream.
func TestOneStream(t *testing.T) {
	received := make(eventtest.Events, 64)
	h := peer.NewHandler(received)
	var calls atomic.Int64
	srv := startServer(t, "", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h.ServeHTTP(w, r)
	}))
	sender, _ := newSender(t)
	for i := range int64(20) {
		sender.Send(tokenRequest(srv.Listener.Addr().String(), i))
		assert.Equal(t, tokens(t, received.Next(t)), i)
	}
	assert.Equal(t, calls.Load(), int64(1))
}

// TestEndlessAnswer guards against a peer that exhausts the memory of the host with an answer that
// has no end.
func TestEndlessAnswer(t *testing.T) {
	const (
		maxTaken = 8 << 20 // bytes: the limit of an answer and what is on its way
		block    = 64 << 10
	)
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		var taken atomic.Int64
		answered := make(chan struct{}, 8)
		srv := startServer(t, "", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == streamPath {
				http.NotFound(w, r) // a peer without streams
				return
			}
			w.Header().Set("Content-Type", "application/cbor")
			w.WriteHeader(status)
			var err error
			for err == nil && taken.Load() <= 4*maxTaken {
				_, err = w.Write(make([]byte, block))
				taken.Add(block)
			}
			answered <- struct{}{}
		}))
		sender, _ := newSender(t)
		for end, done := time.Now().Add(5*time.Second), false; !done; {
			assert.Assert(t, time.Now().Before(end), "the call does not end")
			sender.Send(tokenRequest(srv.Listener.Addr().String(), 1))
			select {
			case <-answered:
				done = true
			case <-time.After(100 * time.Millisecond):
			}
		}
		assert.Assert(t, taken.Load() <= maxTaken, "%d MB were taken", taken.Load()>>20)
	}
}

// TestRestartedPeer guards against the loss of the first batch after a restart of the
// peer, which ends the stream, and against a batch that arrives twice.
func TestRestartedPeer(t *testing.T) {
	received := make(eventtest.Events, 64)
	first := startServer(t, "", peer.NewHandler(received))
	address := first.Listener.Addr().String()
	sender, _ := newSender(t)
	sender.Send(tokenRequest(address, 1))
	assert.Equal(t, tokens(t, received.Next(t)), int64(1))
	stopServer(first)
	startServer(t, address, peer.NewHandler(received))
	time.Sleep(50 * time.Millisecond) // until the sender has seen the end of the connection
	sender.Send(tokenRequest(address, 2))
	assert.Equal(t, tokens(t, received.Next(t)), int64(2))
	assert.Equal(t, len(received), 0)
}

// TestEarlierVersion guards against hosts of adjacent versions that cannot exchange
// messages: an earlier one takes a call for each batch, and no stream. The batch that
// finds this out may be lost.
func TestEarlierVersion(t *testing.T) {
	received := make(eventtest.Events, 64)
	h := peer.NewHandler(received)
	srv := startServer(t, "", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != deliverPath {
			http.NotFound(w, r)
			return
		}
		h.ServeHTTP(w, r)
	}))
	sender, _ := newSender(t)
	address := srv.Listener.Addr().String()
	sender.Send(tokenRequest(address, 0))
	time.Sleep(50 * time.Millisecond) // until the sender has seen the refusal
	for i := int64(1); i < 4; i++ {
		sender.Send(tokenRequest(address, i))
		assert.Equal(t, tokens(t, received.Next(t)), i)
	}
}

// frame returns a message of the connect protocol.
func frame(t *testing.T, v any) []byte {
	t.Helper()
	body, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(body))), body...)
}

// TestBadStream guards against a malformed batch that ends the process, or that is
// processed in part. The batches before it arrive, and new streams are served.
func TestBadStream(t *testing.T) {
	address, received := serve(t)
	batch := message.Envelope{From: "h-1", TokenRequests: []message.TokenRequest{{Tokens: 1}}}
	cases := map[string][]byte{
		"no sender":    frame(t, message.Envelope{TokenRequests: batch.TokenRequests}),
		"wrong type":   frame(t, []string{"x"}),
		"invalid CBOR": {0, 0, 0, 0, 2, 0xff, 0x00},
		"oversized":    {0, 0xff, 0xff, 0xff, 0xff, 1},
		"cut":          frame(t, batch)[:8],
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			body := append(frame(t, batch), bad...)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+streamPath, bytes.NewReader(body))
			assert.NilError(t, err)
			req.Header.Set("Content-Type", "application/connect+cbor")
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			reply, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Assert(t, bytes.Contains(reply, []byte(`"error"`)), "%q", reply)
			assert.Equal(t, tokens(t, received.Next(t)), int64(1))
			assert.Equal(t, len(received), 0)
		})
	}
	sender, _ := newSender(t)
	sender.Send(tokenRequest(address, 2))
	assert.Equal(t, tokens(t, received.Next(t)), int64(2))
}

// discard is a Poster that signals each event.
type discard chan struct{}

func (d discard) Post(core.Event) { d <- struct{}{} }

// BenchmarkSend measures one batch with one message, sent after the previous one has
// arrived.
func BenchmarkSend(b *testing.B) {
	received := make(discard, 1)
	srv := startServer(b, "", peer.NewHandler(received))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sender := peer.NewSender(ctx, "h-1", 9, received, zap.NewNop())
	address := srv.Listener.Addr().String()
	for b.Loop() {
		sender.Send(tokenRequest(address, 1))
		<-received
	}
}
