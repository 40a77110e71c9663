package relay_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/relay"
	"ragwortshunt.example/standin/internal/settings"
)

// TestCut guards against a partition that lets batches pass between zones or stops
// batches between the hosts of one zone.
func TestCut(t *testing.T) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	received := 0
	host := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received++ }))
	host.Config.Protocols = protocols
	host.Start()
	defer host.Close()
	faults := fault.New()
	for _, zone := range []string{"z1", "z2", "z3"} {
		faults.Register(zone, fault.Cut)
	}
	hosts := []object.Host{{Host: "a", Zone: "z1"}, {Host: "b", Zone: "z1"}, {Host: "c", Zone: "z2"}}
	cfg := settings.Relay{Host: "b", Zone: "z1", Target: host.Listener.Addr().String()}
	server := httptest.NewServer(relay.New(cfg, hosts, faults))
	defer server.Close()
	for _, test := range []struct {
		partitioned string
		from        id.Host
		want        bool
	}{
		{"", "c", true},
		{"z1", "c", false},
		{"z2", "c", false},
		{"z3", "c", true},
		{"z1", "a", true},
	} {
		assert.NilError(t, faults.Apply(fault.Fault{Kind: fault.Clear}))
		if test.partitioned != "" {
			assert.NilError(t, faults.Apply(fault.Fault{Target: test.partitioned, Kind: fault.Cut}))
		}
		body, err := cbor.Marshal(message.Envelope{From: test.from})
		assert.NilError(t, err)
		received = 0
		resp, err := http.Post(server.URL, "application/cbor", bytes.NewReader(body))
		assert.Equal(t, err == nil, test.want, "%v: %v", test, err)
		if err == nil {
			resp.Body.Close()
		}
		assert.Equal(t, received == 1, test.want, "%v", test)
	}
}
