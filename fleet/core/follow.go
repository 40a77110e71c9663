package core

import (
	"fmt"
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
)

// In relay mode every call to the platform's store has a cost, and a watch on each host
// would need one call for each change and host. Therefore Config.Watchers (2) hosts of the
// zone read the configuration and forward the changes. They announce at least every
// contactInterval that they are in contact with the store, and immediately when they
// lose it. A host that has received no such announcement for watcherTimeout watches the
// store itself. A host therefore learns of a change within 2 s of the store's reply, even if
// all watchers die at that moment.
const (
	contactInterval = 750 * time.Millisecond
	watcherTimeout  = 1800 * time.Millisecond
	// watcherExclusion is how long a host that has lost contact with the platform is
	// not eligible as a watcher.
	watcherExclusion = 5 * time.Second
	// followInterval is the interval at which the follow mode is chosen again.
	followInterval = 100 * time.Millisecond
	// platformOutage is the shortest time without contact that counts as an outage. It is
	// shorter than a registration takes to expire, and longer than it takes to repeat a call
	// that has failed.
	platformOutage = 2 * time.Second
	watcherHashKey = "platform" // key for choosing watchers by rendezvous hashing
)

func (s *step) handleFollow(ev Event) {
	switch ev := ev.(type) {
	case PlatformSeen:
		s.platformSeen(ev)
	case PlatformContact:
		s.platformContact(ev)
	case PlatformChanged:
		s.platformChanged(ev)
	}
}

func (s *step) tickFollow() {
	if s.now.Sub(s.table.followChosenAt) >= followInterval {
		s.chooseFollow()
	}
}

// chooseFollow chooses the follow mode and emits FollowPlatform if it changes.
func (s *step) chooseFollow() {
	s.table.followChosenAt = s.now
	mode := FollowSelf
	switch {
	case s.isStarting():
		mode = FollowWatchers // the sources have just been read, and the other hosts are not known yet
	case s.watchesPlatform():
		mode = FollowAsWatcher
	case s.hasActiveWatcher():
		mode = FollowWatchers
	}
	if mode != s.table.followMode {
		s.table.followMode = mode
		s.emit(FollowPlatform{Follow: mode})
	}
}

// watchesPlatform reports whether this host is a watcher. Hosts that have lost contact
// with the platform are replaced by the next hosts in rendezvous order.
func (s *step) watchesPlatform() bool {
	var eligible []id.Host
	for _, h := range s.liveIn(s.cfg.Zone) {
		if lost := s.table.watchers[h].lost; lost.IsZero() || s.now.Sub(lost) > watcherExclusion {
			eligible = append(eligible, h)
		}
	}
	eligible = member.Strong(s.member, eligible)
	return slices.Contains(member.Owners(eligible, watcherHashKey, s.cfg.Watchers), s.cfg.Host)
}

// hasActiveWatcher reports whether a watcher has announced contact with the platform
// within watcherTimeout. The timeout gives other hosts time to become watchers if all
// watchers have lost contact. Hosts that start together wait for the same time, because
// a watch on each of them would cost two calls per host.
func (s *step) hasActiveWatcher() bool {
	if s.now.Sub(s.started) < s.cfg.StartWait+watcherTimeout {
		return true
	}
	for _, w := range s.table.watchers {
		if s.now.Sub(w.lastContact) < watcherTimeout {
			return true
		}
	}
	return false
}

// watcher is what this host knows about a host that forwards the platform's
// configuration.
type watcher struct {
	lastContact time.Time // last announcement of contact with the platform
	lost        time.Time // last announcement that contact was lost
}

// platformSeen records the revisions that this host has read. A watcher announces newer
// ones, other contents and a new era of the store.
func (s *step) platformSeen(ev PlatformSeen) {
	if ev.Era < s.storeEra {
		return
	}
	restored := s.restoredEra
	s.observeEra(ev.Era)
	newer := s.restoredEra > restored
	for i, rev := range ev.SeenRevisions {
		if rev < s.table.seenRevisions[i] {
			continue
		}
		newer = newer || rev > s.table.seenRevisions[i] || ev.Digests[i] != 0 && ev.Digests[i] != s.table.digests[i]
		s.table.seenRevisions[i], s.table.digests[i] = rev, ev.Digests[i]
	}
	if newer && s.table.followMode == FollowAsWatcher {
		s.announceContact(false)
	}
}

// announceContact sends all hosts the revisions that this watcher has read, and whether
// it has lost contact with the platform.
func (s *step) announceContact(lost bool) {
	s.table.announcedAt = s.now
	s.table.announcedLost = lost
	named := s.namedRevisions()
	update := message.PlatformUpdate{
		Lost: lost, SeenRevisions: named, Digests: slices.Clone(s.table.digests[:len(named)]), StoreEra: s.storeEra,
	}
	if s.table.upUntil.Equal(s.now) { // after an outage, revisions are reported before contact
		update.Contact = s.now.Sub(s.table.upSince)
	}
	s.broadcast("", update)
}

// platformContact announces the contact of this watcher with the platform: changes
// immediately, otherwise once per contactInterval.
func (s *step) platformContact(ev PlatformContact) {
	if !ev.Lost {
		s.recordUp(s.now)
	}
	if s.table.followMode != FollowAsWatcher {
		return
	}
	if ev.Lost == s.table.announcedLost && s.now.Sub(s.table.announcedAt) < contactInterval {
		return
	}
	s.announceContact(ev.Lost)
	if ev.Lost {
		s.recordWatcher(s.cfg.Host, true)
	}
}

// recordUp records that the platform has had no outage since the given time, as this host or a
// watcher has seen. A new watcher thus continues the time that the one before has announced.
func (s *step) recordUp(since time.Time) {
	if since.Before(s.table.upSince) || since.Sub(s.table.upUntil) > platformOutage {
		s.table.upSince = since
	}
	s.table.upUntil = s.now
}

// recordWatcher records whether a watcher is in contact with the platform, and chooses
// the follow mode again.
func (s *step) recordWatcher(h id.Host, lost bool) {
	if s.table.watchers == nil {
		s.table.watchers = make(map[id.Host]watcher)
	}
	w := s.table.watchers[h]
	if lost {
		w.lost = s.now
	} else {
		w.lastContact = s.now
	}
	s.table.watchers[h] = w
	s.chooseFollow()
}

// platformChanged forwards the changes that this watcher has read to all hosts.
func (s *step) platformChanged(ev PlatformChanged) {
	if s.table.followMode != FollowAsWatcher || ev.Era < s.storeEra {
		return
	}
	s.table.announcedAt = s.now
	s.broadcast("", message.PlatformUpdate{
		ConfigSource: int(ev.ConfigSource), Since: ev.Since, Revision: ev.Revision, Changes: ev.Changes, StoreEra: ev.Era,
	})
}

// handlePlatformUpdate handles an announcement of a watcher and applies the forwarded
// changes, if they are new.
func (s *step) handlePlatformUpdate(from id.Host, m message.PlatformUpdate) {
	if !s.cfg.Relay || m.ConfigSource < 0 || m.ConfigSource >= int(SourceCount) {
		return
	}
	s.recordWatcher(from, m.Lost)
	if m.Contact > 0 && !m.Lost {
		s.recordUp(s.now.Add(-m.Contact))
		s.emit(PeerContact{Since: s.table.upSince})
	}
	s.handlePeerRevisions(m.StoreEra, m.SeenRevisions, m.Digests)
	if len(m.Changes) == 0 {
		return
	}
	s.observeEra(m.StoreEra)
	if !s.isNewUpdate(m) {
		s.emit(Log{
			Level: LogInfo, Component: partPeer, Text: "Forwarded changes are not newer than what was read.", Host: from,
			Trace: fmt.Sprintf("source %d, era %d, revision %d, read up to %d of era %d",
				m.ConfigSource, m.StoreEra, m.Revision, s.table.seenRevisions[m.ConfigSource], s.storeEra),
		})
		return
	}
	s.emit(ApplyPlatform{Changes: PlatformChanged{
		ConfigSource: ConfigSource(m.ConfigSource), Era: m.StoreEra, Since: m.Since, Revision: m.Revision, Changes: m.Changes,
	}})
}

// isNewUpdate reports whether forwarded changes may be newer than what this host has read.
func (s *step) isNewUpdate(m message.PlatformUpdate) bool {
	if s.sameEra(m.StoreEra) {
		return m.Revision > s.table.seenRevisions[m.ConfigSource]
	}
	return m.StoreEra == 0
}

// namedRevisions returns the revisions that this host has read, as messages carry them. They are
// a copy, because messages are encoded while this host reads on. Without evacuations they are those
// of the sources that hosts of older versions know, which ignore any other number of them.
func (s *step) namedRevisions() []uint64 {
	if s.table.seenRevisions[SourceEvacuations] == 0 {
		return slices.Clone(s.table.seenRevisions[:SourceEvacuations])
	}
	return slices.Clone(s.table.seenRevisions[:])
}

// isNumberOfSources reports whether a message can name n revisions.
func isNumberOfSources(n int) bool {
	return n == int(SourceEvacuations) || n == int(SourceCount)
}

// handlePeerRevisions requests another read of the platform's configuration if a peer has
// read a newer revision, has found other contents at the same revision, or has seen a newer era
// of the store. Only watchers name digests: the contents that they know are soon current.
func (s *step) handlePeerRevisions(era uint64, seenRevisions, digests []uint64) {
	if !s.cfg.Relay || !isNumberOfSources(len(seenRevisions)) {
		return
	}
	restored := s.restoredEra
	s.observeEra(era)
	if !s.sameEra(era) {
		return
	}
	ev := RefreshPlatform{Era: era}
	newer := s.restoredEra > restored
	for i, rev := range seenRevisions {
		ev.SeenRevisions[i] = rev
		newer = newer || rev > s.table.seenRevisions[i]
	}
	if len(digests) == len(seenRevisions) {
		newer = s.hasOtherContents(seenRevisions, digests) || newer
		copy(ev.Digests[:], digests)
	}
	if newer {
		s.emit(ev)
	}
}

// hasOtherContents reports whether a peer has found other contents of a source at the revision
// that this host has read. One of the two has missed a removal, which leaves no newer object.
func (s *step) hasOtherContents(seenRevisions, digests []uint64) bool {
	for i, digest := range digests {
		known := s.table.digests[i]
		if seenRevisions[i] == s.table.seenRevisions[i] && digest != 0 && known != 0 && digest != known {
			return true
		}
	}
	return false
}
