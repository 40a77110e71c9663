package claim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// The names of claim states in stored objects.
var stateNames = map[message.ClaimState]string{
	message.ClaimHeld:   "claimed",
	message.ClaimDone:   "done",
	message.ClaimNotRun: "not-run",
}

// maxEnded bounds the earlier nonces in one entry.
const maxEnded = 16

// The parts of a stored object around and between its entries.
const (
	valueHead = `{"claims":[`
	valueTail = `]}`
)

// storedClaim is one entry of a stored object.
type storedClaim struct {
	Account id.Account `json:"account"`
	Key     string     `json:"key"`
	Nonce   string     `json:"nonce"`
	Digest  string     `json:"digest"`
	State   string     `json:"state"`
	AtMS    int64      `json:"at-ms"` // wall-clock time of the claim, ms since 1970
	Outcome []byte     `json:"outcome,omitempty"`
	Ended   []string   `json:"ended,omitempty"` // earlier nonces that did not run, oldest first
}

// storedShard is the value of a stored object.
type storedShard struct {
	Claims []json.RawMessage `json:"claims"`
}

// entry is the record of one key. It is immutable and keeps its encoded form, so
// that an update of a large shard encodes only what has changed.
type entry struct {
	key     string // of the index
	nonce   string
	digest  string
	state   message.ClaimState
	at      time.Time
	outcome []byte
	ended   []string
	raw     []byte
}

// newEntry encodes a record.
func newEntry(c message.Claim, state message.ClaimState, at time.Time, outcome []byte, ended []string) (*entry, error) {
	raw, err := json.Marshal(storedClaim{
		Account: c.Account,
		Key:     c.Key,
		Nonce:   c.Nonce,
		Digest:  c.Digest,
		State:   stateNames[state],
		AtMS:    at.UnixMilli(),
		Outcome: outcome,
		Ended:   ended,
	})
	if err != nil {
		return nil, fmt.Errorf("claim: encode entry: %w", err)
	}
	return &entry{
		key: entryKey(c.Account, c.Key), nonce: c.Nonce, digest: c.Digest,
		state: state, at: at, outcome: outcome, ended: ended, raw: raw,
	}, nil
}

// endedOf returns the nonces that did not run once another nonce replaces that of
// an entry, which can be nil.
func endedOf(e *entry) []string {
	if e == nil {
		return nil
	}
	ended := append(append([]string(nil), e.ended...), e.nonce)
	if len(ended) > maxEnded {
		ended = ended[len(ended)-maxEnded:]
	}
	return ended
}

// decodeEntry decodes one record.
func decodeEntry(raw []byte) (*entry, error) {
	var c storedClaim
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("claim: decode entry: %w", err)
	}
	e := &entry{
		key: entryKey(c.Account, c.Key), nonce: c.Nonce, digest: c.Digest,
		at: time.UnixMilli(c.AtMS), outcome: c.Outcome, ended: c.Ended, raw: raw,
	}
	for state, name := range stateNames {
		if name == c.State {
			e.state = state
		}
	}
	if e.state == message.ClaimUnknown {
		return nil, fmt.Errorf("claim: decode entry: unknown state %q", c.State)
	}
	return e, nil
}

// decode returns the entries of a stored object. An empty value has none.
func decode(value []byte) ([]*entry, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var stored storedShard
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("claim: decode shard: %w", err)
	}
	list := make([]*entry, 0, len(stored.Claims))
	for _, raw := range stored.Claims {
		e, err := decodeEntry(raw)
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	if keys := len(indexOf(list)); keys < len(list) {
		return nil, fmt.Errorf("claim: decode shard: %d entries for %d keys", len(list), keys)
	}
	return list, nil
}

// encode returns the stored form of entries.
func encode(list []*entry) []byte {
	var b bytes.Buffer
	b.Grow(size(list))
	b.WriteString(valueHead)
	for i, e := range list {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(e.raw)
	}
	b.WriteString(valueTail)
	return b.Bytes()
}

// size returns the number of bytes of the stored form of entries.
func size(list []*entry) int {
	n := len(valueHead) + len(valueTail)
	for _, e := range list {
		n += len(e.raw) + 1
	}
	return n
}

// indexOf returns the position of each key in a list.
func indexOf(list []*entry) map[string]int {
	index := make(map[string]int, len(list))
	for i, e := range list {
		index[e.key] = i
	}
	return index
}
