package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/router/internal/eventtest"
	"ragwortshunt.example/router/internal/peer"
)

const deliverPath = "/ragwortshunt.peer/Deliver"

// serve starts a peer. It returns its address and the events that it posts.
func serve(t *testing.T) (string, eventtest.Events) {
	t.Helper()
	out := make(eventtest.Events, 4096)
	srv := httptest.NewUnstartedServer(peer.NewHandler(out))
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String(), out
}

func newSender(t *testing.T, opts ...peer.Option) (*peer.Sender, eventtest.Events) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	out := make(eventtest.Events, 64)
	return peer.NewSender(ctx, "h-1", 9, out, zap.NewNop(), opts...), out
}

// fill sets every field of a message to a non-zero value.
func fill(t *testing.T, v reflect.Value, n int) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i), n+i)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(t, v.Index(0), n)
		fill(t, v.Index(1), n+1)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		value := reflect.New(v.Type().Elem()).Elem()
		fill(t, value, n)
		v.SetMapIndex(reflect.ValueOf("k"), value)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n%100 + 1))
	case reflect.Float64:
		v.SetFloat(float64(n + 1))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(n + 1))
	default:
		t.Fatalf("a message has a field of kind %s", v.Kind())
	}
}

// TestAllKinds guards against a message type or a field that is lost in transit,
// for example because two fields use the same CBOR key.
func TestAllKinds(t *testing.T) {
	var env message.Envelope
	v := reflect.ValueOf(&env).Elem()
	address, received := serve(t)
	sender, _ := newSender(t)
	sent := 0
	for i := range v.NumField() {
		if v.Field(i).Kind() != reflect.Slice {
			continue
		}
		m := reflect.New(v.Field(i).Type().Elem()).Elem()
		fill(t, m, i)
		sender.Send(core.SendPeer{To: "h-2", Address: address, Message: m.Interface().(message.Message)})
		want := core.PeerMessage{From: "h-1", Incarnation: 9, Message: m.Interface().(message.Message)}
		assert.DeepEqual(t, received.Next(t), core.Event(want))
		sent++
	}
	assert.Equal(t, sent, v.NumField()-2) // all fields except From and Incarnation
}

// TestBatch guards against messages that are lost or reordered when many of them
// are queued and sent in batches.
func TestBatch(t *testing.T) {
	const count = 500
	address, received := serve(t)
	sender, _ := newSender(t)
	for i := range count {
		sender.Send(core.SendPeer{To: "h-2", Address: address, Message: message.TokenRequest{Tokens: int64(i)}})
	}
	for i := range count {
		ev := received.Next(t).(core.PeerMessage)
		assert.Equal(t, ev.Message.(message.TokenRequest).Tokens, int64(i))
	}
}

// TestRefusedConnection checks that a refused connection is reported to the
// decision core as the failure of that host.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	sender, failures := newSender(t)
	sender.Send(core.SendPeer{To: "h-3", Address: l.Addr().String(), Message: message.TokenRequest{}})
	assert.DeepEqual(t, failures.Next(t), core.Event(core.PeerFailed{Host: "h-3"}))
}

// TestFrozenPeer guards against a peer that accepts connections but does not
// respond: it must not delay messages to other peers, and must not be reported as
// failed.
func TestFrozenPeer(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0") // connections are established but never served
	assert.NilError(t, err)
	t.Cleanup(func() { _ = frozen.Close() })
	address, received := serve(t)
	sender, failures := newSender(t)
	for i := range 20 {
		sender.Send(core.SendPeer{To: "h-3", Address: frozen.Addr().String(), Message: message.TokenRequest{}})
		sender.Send(core.SendPeer{To: "h-2", Address: address, Message: message.TokenRequest{Tokens: int64(i)}})
		assert.Equal(t, received.Next(t).(core.PeerMessage).Message.(message.TokenRequest).Tokens, int64(i))
	}
	assert.Equal(t, len(failures), 0)
}

// partitionProxy forwards connections to a peer. When partitioned is closed, the
// existing connections stay open but lose all data; new connections work.
func partitionProxy(t *testing.T, address string, partitioned <-chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			downstream, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			connPartitioned := partitioned
			select {
			case <-partitioned:
				connPartitioned = nil
			default:
			}
			go forward(upstream, downstream, connPartitioned)
			go forward(downstream, upstream, connPartitioned)
		}
	}()
	return l.Addr().String()
}

// forward copies data until partitioned is closed. From then on it discards what
// it reads.
func forward(to, from net.Conn, partitioned <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		select {
		case <-partitioned:
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}

// TestHealedPartition guards against a connection that was broken by a network
// partition and stays in use after the partition has healed.
func TestHealedPartition(t *testing.T) {
	address, received := serve(t)
	partitioned := make(chan struct{})
	proxyAddress := partitionProxy(t, address, partitioned)
	sender, _ := newSender(t, peer.WithPing(50*time.Millisecond, 50*time.Millisecond))
	send := func(n int64) {
		sender.Send(core.SendPeer{To: "h-2", Address: proxyAddress, Message: message.TokenRequest{Tokens: n}})
	}
	send(1)
	received.Next(t)
	close(partitioned)
	deadline := time.After(eventtest.Timeout)
	for {
		send(2)
		select {
		case <-received:
			return
		case <-time.After(20 * time.Millisecond):
		case <-deadline:
			t.Fatal("the broken connection is still in use")
		}
	}
}

// TestNewAddress guards against messages that are sent to the previous address of
// a host that was replaced.
func TestNewAddress(t *testing.T) {
	first, receivedFirst := serve(t)
	second, receivedSecond := serve(t)
	sender, _ := newSender(t)
	sender.Send(core.SendPeer{To: "h-2", Address: first, Message: message.TokenRequest{Tokens: 1}})
	receivedFirst.Next(t)
	sender.Send(core.SendPeer{To: "h-2", Address: second, Message: message.TokenRequest{Tokens: 2}})
	receivedSecond.Next(t)
	assert.Equal(t, len(receivedFirst), 0)
}

// deliver posts raw bytes as an envelope and returns the HTTP status.
func deliver(t *testing.T, address string, body []byte) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventtest.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+deliverPath, bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}

// newerEnvelope is an envelope of a later version, with fields that are unknown to
// this version.
type newerEnvelope struct {
	From         id.Host          `cbor:"1,keyasint"`
	TokenRequest []map[int]any    `cbor:"9,keyasint"`
	Unknown      []map[int]string `cbor:"99,keyasint"`
}

// TestUnknownFields guards against hosts of adjacent versions that cannot exchange
// messages because the newer one sends unknown fields.
func TestUnknownFields(t *testing.T) {
	address, received := serve(t)
	body, err := cbor.Marshal(newerEnvelope{
		From: "h-1", TokenRequest: []map[int]any{{2: "a", 3: 7, 77: []string{"new"}}}, Unknown: []map[int]string{{1: "x"}},
	})
	assert.NilError(t, err)
	assert.Equal(t, deliver(t, address, body), http.StatusOK)
	want := core.PeerMessage{From: "h-1", Message: message.TokenRequest{Account: "a", Tokens: 7}}
	assert.DeepEqual(t, received.Next(t), core.Event(want))
}

// TestBadEnvelopes guards against processing some of the messages in an invalid
// envelope.
func TestBadEnvelopes(t *testing.T) {
	address, received := serve(t)
	tokenRequests := []message.TokenRequest{{Tokens: 1}}
	huge := message.Envelope{
		From: "h-1", TokenRequests: tokenRequests,
		TableReplies: []message.TableReply{{Manifest: bytes.Repeat([]byte{1}, 16<<20)}},
	}
	cases := map[string]any{"oversized": huge, "no sender": message.Envelope{TokenRequests: tokenRequests}, "wrong type": []string{"x"}}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			body, err := cbor.Marshal(v)
			assert.NilError(t, err)
			assert.Assert(t, deliver(t, address, body) >= 400)
			assert.Equal(t, len(received), 0)
		})
	}
	t.Run("invalid CBOR", func(t *testing.T) {
		assert.Assert(t, deliver(t, address, []byte{0xff, 0x00}) >= 400)
		assert.Equal(t, len(received), 0)
	})
}

// TestSetIncarnation guards against messages under the former incarnation on a stream that was
// open when the host took another one.
func TestSetIncarnation(t *testing.T) {
	address, received := serve(t)
	sender, _ := newSender(t)
	for _, inc := range []id.Incarnation{9, 12} {
		sender.SetIncarnation(inc)
		sender.Send(core.SendPeer{To: "h-2", Address: address, Message: message.TokenRequest{}})
		assert.Equal(t, received.Next(t).(core.PeerMessage).Incarnation, inc)
	}
}
