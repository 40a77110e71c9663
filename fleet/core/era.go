package core

import (
	"fmt"

	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/order"
)

// The platform's store may come back from an older copy. It then lacks the last changes,
// and gives their revisions out again. Its era rises by one each time, and all its answers
// name the era. What the store says is therefore ordered by era and revision, and nothing
// that was read in an older era says what the store holds now.

// observeEra records an era of the store. If the store has come back from a copy since the
// last known era, all that is known about its contents becomes unknown.
func (s *step) observeEra(era uint64) {
	if era <= s.storeEra {
		return
	}
	known := s.storeEra
	s.storeEra = era
	limit.SetEra(s.limit, s.now, era)
	order.SetEra(s.orders, s.now, era)
	if known == 0 {
		return
	}
	s.restoredEra = era
	s.table.seenRevisions, s.table.digests = [SourceCount]uint64{}, [SourceCount]uint64{}
	s.emit(Log{
		Level: LogWarn, Component: partTable, Text: "Store has come back from an older copy.",
		Trace: fmt.Sprintf("era %d after %d", era, known),
	})
}

// acceptAnswer records the era of an answer of the store, and reports whether the answer says
// something about what the store holds now. sentEra is the era that was known when the call
// was made. The leases have forgotten the calls of before a restore, because a condition on
// a version means nothing after it. Other kinds are not used on a store with eras.
func (s *step) acceptAnswer(kind string, sentEra, era uint64) bool {
	s.observeEra(era)
	if kind != object.KindLease && kind != object.KindOrder {
		return true
	}
	return sentEra >= s.restoredEra
}

// sameEra reports whether revisions of an era can be compared with those that this host has
// read. Hosts without knowledge of eras send era 0; their revisions are comparable only if
// no restore has been seen.
func (s *step) sameEra(era uint64) bool {
	if era == 0 {
		return s.restoredEra == 0
	}
	return era == s.storeEra
}
