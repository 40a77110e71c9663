// Package object defines the HTTP protocol of the platform's object API.
//
//	GET    /objects/{kind}/{name}                      -> Object, or 404
//	GET    /objects/{kind}                             -> List
//	PUT    /objects/{kind}/{name}?if-version=N  bytes  -> Object without Value, or 409 with the current Object
//	DELETE /objects/{kind}/{name}?if-version=N         -> 204, or 409
//	GET    /watch/{kind}/{name}?after=N&wait-ms=M      -> Object newer than N, or 304 after M ms
//	GET    /hosts                                      -> Hosts (may be stale)
//
// Version 0 stands for an object that does not exist: a PUT with if-version=0
// only creates. The versions of an object increase monotonically, even across
// deletion and re-creation. A call above the rate limit gets status 429, a call
// during an outage 503. Values have at most MaxValueBytes bytes. The reply to a write
// can be lost after the write has taken effect.
package object

import "ragwortshunt.example/fleet/id"

// MaxValueBytes is the maximum size of an object's value, in bytes.
const MaxValueBytes = 1 << 20

// The kinds of objects that the system stores.
const (
	KindManifest = "manifest" // a single object, named ManifestName
	KindSegment  = "segment"  // immutable, named by the digest of its content
	KindLease    = "lease"    // leases on rate shares, named "<zone>.<group>"
	KindClaim    = "claim"    // idempotency claims, named by shard
	KindOrder    = "order"    // order leases, named by zone
)

// ManifestName is the name of the only object of KindManifest.
const ManifestName = "table"

// Object is one stored value with its version.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"` // base64 in JSON
}

// List holds all objects of one kind.
type List struct {
	Objects []Object `json:"objects"`
}

// Hosts is the platform's list of hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// Host is one entry of the platform's list of hosts.
type Host struct {
	Host    id.Host `json:"host"`
	Zone    id.Zone `json:"zone"`
	Address string  `json:"address"` // ip:port of the router's peer protocol
	Leaving bool    `json:"leaving,omitempty"`
	// Capacity is the part of a processor core that the host may use; 0 is unknown.
	Capacity float64 `json:"capacity,omitempty"`
	// Quarantine holds the decisions about prompt segments that the host has published.
	Quarantine []QuarantineEntry `json:"quarantine,omitempty"`
}

// QuarantineEntry is a published decision about the quarantine of a prompt segment. The
// highest version of a segment is in force.
type QuarantineEntry struct {
	Segment  string `json:"segment"` // in hexadecimal
	Version  uint64 `json:"version"`
	UntilMS  int64  `json:"until-ms"` // end of the entry by the wall clock, in Unix milliseconds
	Released bool   `json:"released,omitempty"`

	Provisional bool `json:"provisional,omitempty"` // probes may reach engines
	Probes      int  `json:"probes,omitempty"`      // that may have reached engines
}
