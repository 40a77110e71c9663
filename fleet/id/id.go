// Package id defines the typed names that all programs share.
package id

type (
	// Host names one entry host, which runs one router process.
	Host string
	// Zone names an availability zone.
	Zone string
	// Account names a client account.
	Account string
	// Pool names a pool of endpoints with one role.
	Pool string
	// Endpoint names a model engine or a plain service.
	Endpoint string
	// Model names a model that engines serve.
	Model string
	// Route names a route that callers address.
	Route string
	// KeyID names a caller key. It is not secret.
	KeyID string
	// Request names one request of a caller. It is unique over all hosts.
	Request string
)

// Incarnation distinguishes successive processes of one host. A restarted
// process has a higher incarnation than its predecessors.
type Incarnation uint64

// Attempt counts the attempts to run one request, from 1.
type Attempt uint32
