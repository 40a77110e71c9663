package core

import (
	"maps"
	"sort"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/limit"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/order"
	"ragwortshunt.example/fleet/table"
)

// partTable marks log lines about the table.
const partTable = "table"

const tableRequestRetryInterval = time.Second // retry interval of an unanswered TableRequest

// tableState holds the table in force, the table being fetched, and the state of the
// watch on either source of tables.
type tableState struct {
	snapshot       *table.Snapshot
	endpointCounts map[modelZone]int // number of prefill and decode endpoints
	manifest       []byte
	segments       map[string][]byte
	seenRevisions  [SourceCount]uint64 // latest known revisions of the platform's configuration; relay mode only
	digests        [SourceCount]uint64 // of the contents at these revisions; relay mode only
	followMode     Follow              // current follow mode; relay mode only
	watchers       map[id.Host]watcher // contact of each watcher with the platform, as last announced
	announcedLost  bool                // the last announcement of this watcher was that contact is lost
	followChosenAt time.Time
	upSince        time.Time // the platform is known to have had no outage from then
	upUntil        time.Time // until then
	announcedAt    time.Time // last announcement of this watcher to the other hosts
	confirmedAt    time.Time // time at which the platform last confirmed the version in force

	object      uint64    // version of the last manifest object that was read
	watching    bool      // a watch or a read of the manifest is outstanding
	retryAt     time.Time // earliest time of the next watch or read
	pending     *pendingTable
	requestedAt time.Time // time of the unanswered TableRequest; zero if there is none
	problem     string    // reason why the newest table is not in force
}

// pendingTable is a new manifest whose missing segments are being read.
type pendingTable struct {
	manifest []byte
	segments map[string][]byte
	missing  map[string]bool
	sentAt   time.Time
}

// isStale reports whether the table has not been confirmed for longer than the route
// allows.
func (s *step) isStale(route table.Route) bool {
	if route.MaxStaleness <= 0 {
		return false
	}
	return s.now.Sub(s.table.confirmedAt) > route.MaxStaleness
}

func (s *step) version() uint64 {
	if s.table.snapshot == nil {
		return 0
	}
	return s.table.snapshot.Version
}

// tickTable keeps a watch on the manifest if this host is one of the watchers of
// its zone, or has no table yet.
func (s *step) tickTable() {
	if s.cfg.Relay {
		s.tickFollow()
		return
	}
	if s.table.watching || s.now.Before(s.table.retryAt) {
		return
	}
	if !s.isWatcher() {
		s.pollManifest()
		return
	}
	s.table.watching = true
	wait := s.cfg.WatchWait
	if s.table.object == 0 {
		wait = 0
	}
	s.emit(ReadObject{Kind: object.KindManifest, Name: object.ManifestName, After: s.table.object, Wait: wait})
}

// pollManifest reads the manifest every ManifestPollInterval if the watchers of the zone
// have not confirmed the table for ManifestPollAfter. The platform may be unreachable for
// them, but not for this host. Jitter spreads the reads of a zone's hosts.
func (s *step) pollManifest() {
	if s.confirmedAge() < s.cfg.ManifestPollAfter {
		return
	}
	s.table.watching = true
	jitter := time.Duration(s.seed % uint64(s.cfg.ManifestPollInterval))
	s.table.retryAt = s.now.Add(s.cfg.ManifestPollInterval + jitter)
	s.emit(ReadObject{Kind: object.KindManifest, Name: object.ManifestName})
}

func (s *step) isWatcher() bool {
	if s.table.snapshot == nil {
		return true
	}
	return s.hostViews().watcher
}

// manifestRead handles the result of a watch or a read of the manifest.
func (s *step) manifestRead(ev ObjectRead) {
	s.table.watching = false
	if ev.Failed || ev.Version == 0 && !ev.Unchanged {
		s.retryWatch()
		return
	}
	if ev.Unchanged {
		s.confirm(ev.Sent)
		return
	}
	v, err := table.ManifestVersion(ev.Value)
	if err != nil {
		s.table.problem = err.Error()
		s.table.retryAt = s.now.Add(s.cfg.WatchRetry)
		s.log(LogError, partTable, "Manifest is unreadable: "+err.Error()+".")
		return
	}
	s.manifestOffered(v, ev)
}

// retryWatch delays the next watch after a failure. It does not shorten a longer delay.
func (s *step) retryWatch() {
	if at := s.now.Add(s.cfg.WatchRetry); at.After(s.table.retryAt) {
		s.table.retryAt = at
	}
}

// manifestOffered handles a readable manifest. An older version than the one in force
// is a stale read and confirms nothing; the same version confirms the table.
func (s *step) manifestOffered(v uint64, ev ObjectRead) {
	if v < s.version() {
		s.table.retryAt = s.now.Add(s.cfg.WatchRetry)
		s.log(LogWarn, partTable, "Stale manifest was ignored.")
		return
	}
	s.table.object = ev.Version
	if v == s.version() {
		s.confirm(ev.Sent)
		return
	}
	s.fetchSegments(ev.Value, ev.Sent)
}

// confirm records that the platform has confirmed the table in force at the given time.
func (s *step) confirm(at time.Time) {
	if at.After(s.table.confirmedAt) {
		s.table.confirmedAt = at
	}
}

func (s *step) fetchSegments(manifest []byte, sentAt time.Time) {
	have := make(map[string]bool, len(s.table.segments))
	for name := range s.table.segments {
		have[name] = true
	}
	missing, err := table.Missing(manifest, have)
	if err != nil {
		s.table.problem = err.Error()
		s.log(LogError, partTable, "Manifest is invalid: "+err.Error()+".")
		return
	}
	p := &pendingTable{
		manifest: manifest, sentAt: sentAt,
		segments: make(map[string][]byte), missing: make(map[string]bool),
	}
	for name, data := range s.table.segments {
		p.segments[name] = data
	}
	s.table.pending = p
	for _, name := range missing {
		p.missing[name] = true
		s.emit(ReadObject{Kind: object.KindSegment, Name: name})
	}
	s.completeTable()
}

func (s *step) segmentRead(ev ObjectRead) {
	p := s.table.pending
	if p == nil || !p.missing[ev.Name] {
		return
	}
	if ev.Failed || ev.Version == 0 {
		// The next watch reads the manifest from the start.
		s.table.pending = nil
		s.table.object = 0
		s.table.retryAt = s.now.Add(s.cfg.WatchRetry)
		return
	}
	delete(p.missing, ev.Name)
	p.segments[ev.Name] = ev.Value
	s.completeTable()
}

func (s *step) completeTable() {
	p := s.table.pending
	if p == nil || len(p.missing) > 0 {
		return
	}
	s.table.pending = nil
	s.openTable(p.manifest, p.segments, p.sentAt)
}

// openTable opens a complete table and installs it. If it is invalid or not newer, the
// table in force does not change.
func (s *step) openTable(manifest []byte, segments map[string][]byte, confirmed time.Time) {
	snap, err := table.OpenIncremental(s.table.snapshot, s.table.manifest, manifest, segments)
	if err != nil {
		s.table.problem = err.Error()
		s.table.retryAt = s.now.Add(s.cfg.WatchRetry)
		s.log(LogError, partTable, "Table is invalid, the last one stays in force: "+err.Error()+".")
		return
	}
	s.install(snap, manifest, segments, confirmed)
}

func (s *step) tableOpened(ev TableOpened) {
	s.install(ev.Snapshot, ev.Manifest, ev.Segments, s.now)
}

func (s *step) install(snap *table.Snapshot, manifest []byte, segments map[string][]byte, confirmed time.Time) {
	if snap.Version <= s.version() {
		return
	}
	prev := s.table.snapshot
	s.table.snapshot = snap
	s.table.endpointCounts = countEndpoints(snap)
	s.endpointsChanged(prev)
	s.invalidateViews()
	s.table.manifest = manifest
	s.table.segments = usedSegments(manifest, segments)
	s.table.problem = ""
	s.confirm(confirmed)
	if prev == nil || !maps.Equal(prev.Accounts, snap.Accounts) {
		s.applyLimits(snap)
	}
	for _, k := range sortedCells(s.scheduler.cells) {
		s.configureCell(k, s.scheduler.cells[k])
	}
	s.applyOrders()
	s.revokeRequests()
	s.emit(TableInstalled{Snapshot: snap})
	s.log(LogInfo, partTable, "Table installed.")
}

// usedSegments returns the segments that the manifest refers to.
func usedSegments(manifest []byte, segments map[string][]byte) map[string][]byte {
	names, err := table.Missing(manifest, nil)
	if err != nil {
		return segments
	}
	out := make(map[string][]byte, len(names))
	for _, name := range names {
		out[name] = segments[name]
	}
	return out
}

func (s *step) applyLimits(snap *table.Snapshot) {
	budgets := make(map[id.Account]limit.Budget, len(snap.Accounts))
	for name, a := range snap.Accounts {
		budgets[name] = s.cfg.Limit.Tolerance.Widen(limit.Budget{Rate: a.Rate, Burst: a.Burst})
	}
	limit.SetBudgets(s.limit, s.now, budgets)
}

func (s *step) applyOrders() {
	snap := s.snapshot()
	if snap == nil || s.cfg.Relay {
		return
	}
	var desired []order.DesiredState
	for _, ep := range snap.Endpoints {
		pool := snap.Pools[ep.Pool]
		if ep.Zone != s.cfg.Zone || pool.Role == table.RoleService {
			continue
		}
		desired = append(desired, order.DesiredState{Endpoint: ep.Name, Role: pool.Role, Model: pool.Model, Fencing: ep.Fencing})
	}
	sort.Slice(desired, func(i, j int) bool { return desired[i].Endpoint < desired[j].Endpoint })
	leader := member.Owner(s.strongIn(s.cfg.Zone), "order") == s.cfg.Host && !s.draining
	s.orderActions(order.SetDesiredStates(s.orders, s.now, desired, leader))
}

// handlePeerVersion handles the table version of a peer. A newer table is requested; if
// the versions are equal, the peer's confirmation by the platform applies here too.
func (s *step) handlePeerVersion(from id.Host, version uint64, age time.Duration, confirmed bool) {
	s.peerVersionKnown = true
	if s.cfg.Relay {
		return
	}
	if version > s.version() {
		s.requestTable(from)
		return
	}
	if confirmed && version == s.version() && version > 0 {
		s.confirm(s.now.Add(-age))
	}
}

func (s *step) requestTable(from id.Host) {
	if s.now.Sub(s.table.requestedAt) < tableRequestRetryInterval && !s.table.requestedAt.IsZero() {
		return
	}
	s.table.requestedAt = s.now
	names := make([]string, 0, len(s.table.segments))
	for name := range s.table.segments {
		names = append(names, name)
	}
	sort.Strings(names)
	s.send(from, message.TableRequest{Have: s.version(), Segments: names})
}

func (s *step) sendTable(from id.Host, m message.TableRequest) {
	if s.version() <= m.Have {
		return
	}
	have := make(map[string]bool, len(m.Segments))
	for _, name := range m.Segments {
		have[name] = true
	}
	missing, err := table.Missing(s.table.manifest, have)
	if err != nil {
		return
	}
	segments := make(map[string][]byte, len(missing))
	for _, name := range missing {
		segments[name] = s.table.segments[name]
	}
	s.send(from, message.TableReply{
		Version: s.version(), Manifest: s.table.manifest, Segments: segments, Age: s.confirmedAge(),
	})
}

func (s *step) installPeerTable(m message.TableReply) {
	s.table.requestedAt = time.Time{}
	if m.Version <= s.version() {
		return
	}
	segments := make(map[string][]byte, len(s.table.segments)+len(m.Segments))
	for name, data := range s.table.segments {
		segments[name] = data
	}
	for name, data := range m.Segments {
		segments[name] = data
	}
	s.openTable(m.Manifest, segments, s.now.Add(-m.Age))
}

func (s *step) confirmedAge() time.Duration {
	if s.table.confirmedAt.IsZero() {
		return 0
	}
	return s.now.Sub(s.table.confirmedAt)
}
