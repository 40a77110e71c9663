package peer_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/rawhttp"
)

// recorder keeps the bytes that are written to it.
type recorder struct {
	mu   sync.Mutex
	text strings.Builder
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// recordStream returns what a sender writes to its connection for one message.
func recordStream(t *testing.T, m message.Message) string {
	t.Helper()
	address, received := serve(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var sent recorder
	go func() {
		from, err := l.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(from, to) }()
		_, _ = io.Copy(to, io.TeeReader(from, &sent))
	}()
	sender, _ := newSender(t)
	sender.Send(core.SendPeer{To: "h-2", Address: l.Addr().String(), Message: m})
	received.Next(t)
	sent.mu.Lock()
	defer sent.mu.Unlock()
	return sent.text.String()
}

// TestTruncatedBatches guards against a batch that was cut off and is taken for a whole one
// with fewer or other messages.
func TestTruncatedBatches(t *testing.T) {
	m := message.TokenRequest{Tokens: 1 << 40}
	env := &message.Envelope{From: "h-1", Incarnation: 9}
	env.Add(m)
	body, err := cbor.Marshal(env)
	assert.NilError(t, err)
	unary := "POST " + deliverPath + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/cbor\r\n"
	for name, text := range map[string]string{
		"stream": recordStream(t, m),
		"length": unary + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": unary + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			address, received := serve(t)
			for n := range len(text) {
				for _, reset := range []bool{false, true} {
					_ = rawhttp.Send(address, text[:n], reset)
					if name != "stream" {
						assert.Equal(t, len(received), 0, "%q", text[:n])
					}
				}
			}
			// The connection stays open in both directions, because the end of one cancels the call.
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, text)
			assert.NilError(t, err)
			want := core.Event(core.PeerMessage{From: "h-1", Incarnation: 9, Message: m})
			assert.DeepEqual(t, received.Next(t), want)
			for len(received) > 0 {
				assert.DeepEqual(t, received.Next(t), want) // a stream may break after a whole batch
			}
		})
	}
}
