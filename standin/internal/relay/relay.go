// Package relay simulates the network between the zones. A relay is a reverse
// proxy that forwards batches of the peer protocol to one host, unless the fault
// Cut partitions the zone of the sender or of the host from the other zones.
package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"

	"github.com/fxamacker/cbor/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/settings"
)

// Relay forwards batches to one host. It is safe for concurrent use.
type Relay struct {
	zone   id.Zone             // of the host behind the relay
	zones  map[id.Host]id.Zone // zones of the senders
	faults *fault.Injector
	proxy  http.Handler
}

// New returns the relay that cfg describes. It looks up the zones of senders in
// hosts.
func New(cfg settings.Relay, hosts []object.Host, faults *fault.Injector) *Relay {
	zones := make(map[id.Host]id.Zone, len(hosts))
	for _, h := range hosts {
		zones[h.Host] = h.Zone
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: cfg.Target})
	proxy.Transport = &http.Transport{Protocols: protocols}
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	return &Relay{zone: cfg.Zone, zones: zones, faults: faults, proxy: proxy}
}

// ServeHTTP forwards a batch to the host, or aborts the call if the zones are
// partitioned.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	from, err := sender(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if l.isPartitioned(l.zones[from]) {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.proxy.ServeHTTP(w, r)
}

// isPartitioned reports whether zone cannot reach the zone of the host.
func (l *Relay) isPartitioned(zone id.Zone) bool {
	if zone == l.zone {
		return false
	}
	return l.faults.IsActive(string(zone), fault.Cut) || l.faults.IsActive(string(l.zone), fault.Cut)
}

// sender returns the sending host of a batch, which is an encoded
// message.Envelope.
func sender(body []byte) (id.Host, error) {
	var e message.Envelope
	if err := cbor.Unmarshal(body, &e); err != nil {
		return "", fmt.Errorf("decode envelope: %w", err)
	}
	return e.From, nil
}
