// Package id defines the identifier types that all programs share.
package id

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

type (
	// Host identifies an entry host, which runs one router process.
	Host string
	// Zone identifies an availability zone.
	Zone string
	// Account identifies a client account.
	Account string
	// Pool identifies a pool of endpoints with one role.
	Pool string
	// Endpoint identifies a model engine or a plain service.
	Endpoint string
	// Model identifies a model that engines serve.
	Model string
	// Route identifies a route that callers address.
	Route string
	// KeyID identifies a caller key. It is not secret.
	KeyID string
	// Segment identifies one segment of a prompt by the hash of its content. Requests whose
	// prompts have a segment in common have its ID in common. A longer ID is represented by a
	// digest; see SegmentOf.
	Segment uint64
	// Request identifies one request of a caller. It is unique across all hosts.
	Request string
)

// Incarnation distinguishes successive processes of one host. A restarted
// process has a higher incarnation than its predecessors.
type Incarnation uint64

// Attempt is the number of an attempt to run a request, starting at 1.
type Attempt uint32

const (
	hexBase     = 16
	hexDigits   = "0123456789abcdef"
	segmentBits = 64
)

// String returns the segment in hexadecimal: the ID that callers send, or its digest.
func (s Segment) String() string { return strconv.FormatUint(uint64(s), hexBase) }

// SegmentOf returns the segment with the given hexadecimal ID, which may have any number of
// digits. The segment of an ID that exceeds 64 bits is the beginning of the SHA-256 digest of its
// digits, in lower case and without leading zeros. All hosts must compute the same digest.
func SegmentOf(text string) (Segment, error) {
	s, err := ParseSegment(text)
	if !errors.Is(err, strconv.ErrRange) {
		return s, err
	}
	digits := strings.ToLower(strings.TrimLeft(text, "0"))
	if strings.Trim(digits, hexDigits) != "" {
		return 0, fmt.Errorf("prompt segment: %w", strconv.ErrSyntax)
	}
	digest := sha256.Sum256([]byte(digits))
	return Segment(binary.BigEndian.Uint64(digest[:])), nil
}

// ParseSegment returns the segment that String has formatted.
func ParseSegment(text string) (Segment, error) {
	v, err := strconv.ParseUint(text, hexBase, segmentBits)
	if err != nil {
		return 0, fmt.Errorf("prompt segment: %w", err)
	}
	return Segment(v), nil
}
