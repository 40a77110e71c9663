// Package relay stands in for the network between the zones: it passes batches
// of the peer protocol on to a host, unless the fault cut separates the zones of
// sender and receiver.
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

// Relay passes batches on to one host. It is safe for concurrent use.
type Relay struct {
	zone   id.Zone // of the host behind the relay
	zones  map[id.Host]id.Zone
	faults *fault.Switches
	proxy  http.Handler
}

// New returns the relay that cfg describes. Senders are known from hosts.
func New(cfg settings.Relay, hosts []object.Host, faults *fault.Switches) *Relay {
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

// ServeHTTP passes one batch on, or breaks its stream.
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
	if l.isCut(l.zones[from]) {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.proxy.ServeHTTP(w, r)
}

func (l *Relay) isCut(zone id.Zone) bool {
	if zone == l.zone {
		return false
	}
	return l.faults.On(string(zone), fault.Cut) || l.faults.On(string(l.zone), fault.Cut)
}

// sender returns the host that sent an encoded message.Envelope.
func sender(body []byte) (id.Host, error) {
	var e message.Envelope
	if err := cbor.Unmarshal(body, &e); err != nil {
		return "", fmt.Errorf("decode envelope: %w", err)
	}
	return e.From, nil
}
