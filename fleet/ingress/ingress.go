// Package ingress decides which connection of a client a host gives up first when the memory or
// the descriptors for its clients run short.
//
// The choice is deterministic: it depends on the arguments only.
package ingress

import (
	"cmp"
	"math/bits"
	"time"

	"ragwortshunt.example/fleet/id"
)

// unreadGrace is how long a write may last before its answer counts as unread. A sound client reads
// what its host has sent within a round trip.
const unreadGrace = 250 * time.Millisecond

// Phase says what a connection waits for.
type Phase int

// The phases.
const (
	PhaseIncomplete Phase = iota // for the rest of a request, or for the first one
	PhaseRunning                 // for the answer to a complete request
	PhaseUnread                  // for its client to read the answer
	PhaseIdle                    // for the next request
)

// Connection is an open connection of a client.
type Connection struct {
	Address string     // of the client, without a port
	Account id.Account // empty as long as no key of a client account has been presented
	Bytes   int64      // what is held for it
	Phase   Phase
	Since   time.Time // when the phase began
}

// holder is a client account, or an address from which no key has been presented. It is not a
// joined string, because allocations for each comparison made the choice slow.
type holder struct {
	account id.Account
	address string // empty with an account
}

func (c Connection) holder() holder {
	if c.Account != "" {
		return holder{account: c.Account}
	}
	return holder{address: c.Address}
}

// compare orders accounts before addresses.
func (h holder) compare(o holder) int {
	switch {
	case h == o:
		return 0
	case h.account != "" && o.account != "":
		return cmp.Compare(h.account, o.account)
	case h.account != "":
		return -1
	case o.account != "":
		return 1
	}
	return cmp.Compare(h.address, o.address)
}

// mayGiveUp reports whether the request of a connection is incomplete or its answer is unread.
func (c Connection) mayGiveUp(now time.Time) bool {
	return c.Phase == PhaseIncomplete || c.Phase == PhaseUnread && now.Sub(c.Since) >= unreadGrace
}

// sizeClass is the same for amounts that differ by less than a factor of two. Within a class the
// time decides, so that a connection with a short head does not go before an older one without.
func (c Connection) sizeClass() int { return bits.Len64(uint64(max(c.Bytes, 0))) }

// Choose returns the index of the connection that is given up first: of the account or address
// whose incomplete requests and unread answers hold most, the largest connection, and of several
// of one size the one that has waited longest. It returns -1 if no request is incomplete and no
// answer is unread.
func Choose(now time.Time, connections []Connection) int {
	held := make(map[holder]int64)
	for _, c := range connections {
		if c.mayGiveUp(now) {
			held[c.holder()] += c.Bytes
		}
	}
	best := -1
	for i, c := range connections {
		if c.mayGiveUp(now) && (best < 0 || goesBefore(c, connections[best], held)) {
			best = i
		}
	}
	return best
}

// goesBefore reports whether a is given up before b.
func goesBefore(a, b Connection, held map[holder]int64) bool {
	holderA, holderB := a.holder(), b.holder()
	order := cmp.Or(
		cmp.Compare(held[holderB], held[holderA]),
		holderA.compare(holderB),
		cmp.Compare(b.sizeClass(), a.sizeClass()),
		a.Since.Compare(b.Since),
	)
	return order < 0
}

// ChooseIdle returns the index of the connection that has been idle for longest, or -1 if none is
// idle.
func ChooseIdle(connections []Connection) int {
	best := -1
	for i, c := range connections {
		if c.Phase == PhaseIdle && (best < 0 || c.Since.Before(connections[best].Since)) {
			best = i
		}
	}
	return best
}
