package core

import (
	"slices"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
)

// In relay mode every call to the platform's store is paid for, and a watch on each
// host would cost one call for each change and host. Two watchers of the zone read
// the configuration and pass it on. They say at least every contactInterval that
// they are in contact with the store, and at once when they have lost it; a host that
// has heard of no watcher for fedTimeout watches the store itself. A change is thus
// known within 2 s of the store's answer, also if both watchers die with it.
const (
	contactInterval = 500 * time.Millisecond
	fedTimeout      = 1800 * time.Millisecond
	// replaceTime is how long a host that has lost contact with the platform is not
	// chosen as a watcher.
	replaceTime = 5 * time.Second
	// followInterval is the time between two looks at the choice of watchers.
	followInterval = 100 * time.Millisecond
	watchKey       = "platform" // of the rendezvous choice
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
	if s.now.Sub(s.table.followAt) >= followInterval {
		s.chooseFollow()
	}
}

// chooseFollow chooses the way in which the platform is followed.
func (s *step) chooseFollow() {
	s.table.followAt = s.now
	want := FollowSelf
	switch {
	case s.starting():
		want = FollowPeers // the sources have just been read, and the watchers are not yet known
	case s.watchesPlatform():
		want = FollowBrisk
	case s.isFed():
		want = FollowPeers
	}
	if want != s.table.follow {
		s.table.follow = want
		s.emit(FollowPlatform{Follow: want})
	}
}

// watchesPlatform tells whether this host is a watcher. Hosts that have lost contact
// with the platform are replaced by the next ones.
func (s *step) watchesPlatform() bool {
	var fit []id.Host
	for _, h := range s.liveIn(s.cfg.Zone) {
		if lost := s.table.fed[h].lost; lost.IsZero() || s.now.Sub(lost) > replaceTime {
			fit = append(fit, h)
		}
	}
	return slices.Contains(member.Owners(fit, watchKey, s.cfg.Watchers), s.cfg.Host)
}

// isFed tells whether a watcher passes on what it reads. When all watchers have lost
// contact, the next ones have time to take over. Hosts that start together give the
// watchers the same time: a watch on each of them would cost two calls for each host.
func (s *step) isFed() bool {
	if s.now.Sub(s.started) < s.cfg.StartWait+fedTimeout {
		return true
	}
	for _, w := range s.table.fed {
		if s.now.Sub(w.heard) < fedTimeout {
			return true
		}
	}
	return false
}

// watcher is what is known of a host that passes on the platform's configuration.
type watcher struct {
	heard time.Time // last word that it is in contact with the platform
	lost  time.Time // last word that it is not
}

// platformSeen notes what this host has read of the platform's configuration.
func (s *step) platformSeen(ev PlatformSeen) {
	newer := false
	for i, rev := range ev.Seen {
		newer = newer || rev > s.table.seen[i]
		s.table.seen[i] = max(s.table.seen[i], rev)
	}
	if newer && s.table.follow == FollowBrisk {
		s.tell(false)
	}
}

// tell tells all hosts whether this watcher is in contact with the platform.
func (s *step) tell(lost bool) {
	s.table.told = s.now
	s.table.lostTold = lost
	s.broadcast(message.PlatformGive{Lost: lost, Seen: s.table.seen[:]})
}

// platformContact tells the other hosts whether this watcher is in contact with the
// platform.
func (s *step) platformContact(ev PlatformContact) {
	if s.table.follow != FollowBrisk {
		return
	}
	if ev.Lost == s.table.lostTold && s.now.Sub(s.table.told) < contactInterval {
		return
	}
	s.tell(ev.Lost)
	if ev.Lost {
		s.noteWatcher(s.cfg.Host, true)
	}
}

// noteWatcher notes what a watcher says of its contact with the platform.
func (s *step) noteWatcher(h id.Host, lost bool) {
	if s.table.fed == nil {
		s.table.fed = make(map[id.Host]watcher)
	}
	w := s.table.fed[h]
	if lost {
		w.lost = s.now
	} else {
		w.heard = s.now
	}
	s.table.fed[h] = w
	s.chooseFollow()
}

// platformChanged passes on what this watcher has read.
func (s *step) platformChanged(ev PlatformChanged) {
	if s.table.follow != FollowBrisk {
		return
	}
	s.table.told = s.now
	s.broadcast(message.PlatformGive{
		Source: int(ev.Source), Since: ev.Since, Revision: ev.Revision, Changes: ev.Changes,
	})
}

// platformGiven takes what a watcher says.
func (s *step) platformGiven(from id.Host, m message.PlatformGive) {
	if !s.cfg.Relay || m.Source < 0 || m.Source >= int(SourceCount) {
		return
	}
	s.noteWatcher(from, m.Lost)
	s.peerSeen(m.Seen)
	if len(m.Changes) == 0 || m.Revision <= s.table.seen[m.Source] {
		return
	}
	s.emit(ApplyPlatform{Changes: PlatformChanged{
		Source: Source(m.Source), Since: m.Since, Revision: m.Revision, Changes: m.Changes,
	}})
}

// peerSeen has the platform's configuration read again if a peer has read a newer
// revision.
func (s *step) peerSeen(seen []uint64) {
	if !s.cfg.Relay || len(seen) != int(SourceCount) {
		return
	}
	var ev RefreshPlatform
	newer := false
	for i, rev := range seen {
		ev.Seen[i] = rev
		newer = newer || rev > s.table.seen[i]
	}
	if newer {
		s.emit(ev)
	}
}
