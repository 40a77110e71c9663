package app_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/router/internal/eventtest"
	"ragwortshunt.example/router/internal/peer"
)

// TestIncarnationOfFormerProcess guards against a router that goes on to send under an
// incarnation that other hosts take for one of a former process, because its clock was set back.
func TestIncarnationOfFormerProcess(t *testing.T) {
	received := make(eventtest.Events, 1000)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := httptest.NewUnstartedServer(peer.NewHandler(received))
	server.Config.Protocols = protocols
	server.Start()
	t.Cleanup(server.Close)
	r := startRouter(t)
	former := id.Incarnation(time.Now().Add(time.Hour).UnixMilli())
	peer.NewSender(t.Context(), "p", 1, received, zap.NewNop()).Send(core.SendPeer{
		To: "h", Address: r.peerAddress, Message: message.Heartbeat{
			Zone: "a", Address: strings.TrimPrefix(server.URL, "http://"),
			Reports: []message.HostReport{{Host: "h", Incarnation: former}},
		},
	})
	for deadline := time.Now().Add(startTimeout); ; {
		assert.Assert(t, time.Now().Before(deadline), "the router goes on to send under its first incarnation")
		ev, ok := received.Next(t).(core.PeerMessage)
		if ok && ev.Incarnation > former {
			assert.Equal(t, ev.From, id.Host("h"))
			break
		}
	}
	r.stop()
	r.awaitStopped(t)
}
