package limit

import (
	"encoding/json"
	"fmt"
	"time"

	"ragwortshunt.example/fleet/id"
)

// leaseValue is the JSON value of a lease object.
type leaseValue struct {
	// Writer, Incarnation and Nonce tell a writer whose reply was lost whether
	// its write took effect.
	Writer      id.Host        `json:"writer"`
	Incarnation id.Incarnation `json:"incarnation"`
	Nonce       uint64         `json:"nonce"`
	Pooled      partValue      `json:"pooled"`
	Reserve     partValue      `json:"reserve"`
}

// partValue is one part of a lease object: held, or released with levels.
type partValue struct {
	Holder      id.Host        `json:"holder,omitempty"`
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
	Term        uint64         `json:"term,omitempty"` // distinguishes tenures of one process
	// WaitNS is the time in nanoseconds, from the first read of this version,
	// after which another host may take the part. The reader adds its margin.
	WaitNS   int64                `json:"wait-ns,omitempty"`
	Released bool                 `json:"released,omitempty"`
	Levels   map[id.Account]int64 `json:"levels,omitempty"` // tokens, in a released part
}

func (v *leaseValue) part(k partKind) *partValue {
	if k == pooled {
		return &v.Pooled
	}
	return &v.Reserve
}

func (v partValue) wait() time.Duration { return time.Duration(v.WaitNS) }

func decodeValue(value []byte) (leaseValue, error) {
	var v leaseValue
	if err := json.Unmarshal(value, &v); err != nil {
		return leaseValue{}, fmt.Errorf("decode lease: %w", err)
	}
	return v, nil
}

func encodeValue(v leaseValue) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode lease: %v", err)) // plain data always encodes
	}
	return out
}
