package claim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// stateNames maps claim states to their names in stored objects.
var stateNames = map[message.ClaimState]string{
	message.ClaimHeld:   "claimed",
	message.ClaimDone:   "done",
	message.ClaimNotRun: "not-run",
}

// maxPastNonces bounds the number of earlier nonces in one entry.
const maxPastNonces = 16

// The text of a stored object around its comma-separated entries.
const (
	valueHead = `{"claims":[`
	valueTail = `]}`
)

// storedClaim is the JSON form of one entry.
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

// storedShard is the JSON form of a claim object.
type storedShard struct {
	Claims []json.RawMessage `json:"claims"`
}

// entry is the record of one key. It is immutable and keeps its encoded form, so
// that an update of a large shard encodes only the entries that have changed.
type entry struct {
	key        string // as returned by entryKey
	nonce      string
	digest     string
	state      message.ClaimState
	at         time.Time
	outcome    []byte
	pastNonces []string
	raw        []byte
}

// newEntry returns an entry together with its encoded form.
func newEntry(c message.Claim, state message.ClaimState, at time.Time, outcome []byte, pastNonces []string) (*entry, error) {
	raw, err := json.Marshal(storedClaim{
		Account: c.Account,
		Key:     c.Key,
		Nonce:   c.Nonce,
		Digest:  c.Digest,
		State:   stateNames[state],
		AtMS:    at.UnixMilli(),
		Outcome: outcome,
		Ended:   pastNonces,
	})
	if err != nil {
		return nil, fmt.Errorf("claim: encode entry: %w", err)
	}
	return &entry{
		key: entryKey(c.Account, c.Key), nonce: c.Nonce, digest: c.Digest,
		state: state, at: at, outcome: outcome, pastNonces: pastNonces, raw: raw,
	}, nil
}

// pastNoncesAfter returns the nonces that did not run, once another nonce replaces
// that of e. The entry e can be nil.
func pastNoncesAfter(e *entry) []string {
	if e == nil {
		return nil
	}
	pastNonces := append(append([]string(nil), e.pastNonces...), e.nonce)
	if len(pastNonces) > maxPastNonces {
		pastNonces = pastNonces[len(pastNonces)-maxPastNonces:]
	}
	return pastNonces
}

// decodeEntry decodes one entry. It returns an error if the state is unknown.
func decodeEntry(raw []byte) (*entry, error) {
	var c storedClaim
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("claim: decode entry: %w", err)
	}
	e := &entry{
		key: entryKey(c.Account, c.Key), nonce: c.Nonce, digest: c.Digest,
		at: time.UnixMilli(c.AtMS), outcome: c.Outcome, pastNonces: c.Ended, raw: raw,
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

// decode returns the entries of a stored object. An empty value has no entries.
func decode(value []byte) ([]*entry, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var stored storedShard
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("claim: decode shard: %w", err)
	}
	entries := make([]*entry, 0, len(stored.Claims))
	for _, raw := range stored.Claims {
		e, err := decodeEntry(raw)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	if keys := len(indexOf(entries)); keys < len(entries) {
		return nil, fmt.Errorf("claim: decode shard: %d entries for %d keys", len(entries), keys)
	}
	return entries, nil
}

// encode returns the stored form of entries.
func encode(entries []*entry) []byte {
	var b bytes.Buffer
	b.Grow(size(entries))
	b.WriteString(valueHead)
	for i, e := range entries {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(e.raw)
	}
	b.WriteString(valueTail)
	return b.Bytes()
}

// size returns the encoded size of entries in bytes.
func size(entries []*entry) int {
	n := len(valueHead) + len(valueTail)
	for _, e := range entries {
		n += len(e.raw) + 1
	}
	return n
}

// indexOf maps each key to its position in entries.
func indexOf(entries []*entry) map[string]int {
	index := make(map[string]int, len(entries))
	for i, e := range entries {
		index[e.key] = i
	}
	return index
}
