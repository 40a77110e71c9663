package limit

import (
	"encoding/json"
	"fmt"
	"time"

	"ragwortshunt.example/fleet/id"
)

// leaseValue is the JSON value of a lease object.
type leaseValue struct {
	// Writer, Incarnation and Nonce identify the write. A writer that lost the
	// reply reads the object to see whether its write took effect.
	Writer      id.Host        `json:"writer"`
	Incarnation id.Incarnation `json:"incarnation"`
	Nonce       uint64         `json:"nonce"`
	Era         uint64         `json:"era,omitempty"` // of the store, as the writer knew it; 0 if it was unknown
	Pooled      partValue      `json:"pooled"`
	Reserve     partValue      `json:"reserve"`
}

// partValue is one part of a lease object: either held, or released with its bucket
// levels.
type partValue struct {
	Holder      id.Host        `json:"holder,omitempty"`
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
	Term        uint64         `json:"term,omitempty"` // distinguishes successive holdings by one process
	// WaitNS is the time in nanoseconds, from the first read of this version,
	// after which another host may acquire the part. The reader adds its Margin.
	WaitNS   int64                `json:"wait-ns,omitempty"`
	Released bool                 `json:"released,omitempty"`
	Levels   map[id.Account]int64 `json:"levels,omitempty"` // tokens by account; only in a released part
}

func (v *leaseValue) part(k partKind) *partValue {
	if k == pooled {
		return &v.Pooled
	}
	return &v.Reserve
}

func (v partValue) wait() time.Duration { return time.Duration(v.WaitNS) }

// maxLease is longer than any lease that a host writes.
const maxLease = 24 * time.Hour

func decodeValue(value []byte) (leaseValue, error) {
	var v leaseValue
	if err := json.Unmarshal(value, &v); err != nil {
		return leaseValue{}, fmt.Errorf("decode lease: %w", err)
	}
	for _, p := range []partValue{v.Pooled, v.Reserve} {
		if p.wait() < 0 || p.wait() > maxLease {
			return leaseValue{}, fmt.Errorf("decode lease: wait of %d ns", p.WaitNS)
		}
	}
	return v, nil
}

func encodeValue(v leaseValue) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode lease: %v", err)) // unreachable: the type has only encodable fields
	}
	return out
}
