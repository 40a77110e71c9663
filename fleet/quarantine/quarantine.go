// Package quarantine finds segments of prompts that crash engines, and keeps requests
// with such a segment away from engines.
//
// The load that it answers: one segment crashes each engine that begins to answer a prompt
// with it. Requests with the segment arrive at any host, and each would crash one more
// engine together with all other runs on it. Engines also crash for other reasons, so that
// one crash says little about the prompts.
//
// A host whose run breaks off before it has produced much output reports the endpoint and
// the shared segments of the prompt to all hosts (Report). A host that knows better objects
// (Rebut): it has lately received an answer to a prompt with the segment, or the endpoint
// still answers. One host, the arbiter, decides which segments to quarantine (Decide). All
// hosts know the reports, so that any of them can be the next arbiter. They refuse requests
// with a quarantined segment until the quarantine ends (Find), and pass it on to hosts that
// have missed it (Entries, Merge).
//
// The functions are not safe for concurrent use.
package quarantine

import (
	"time"

	"ragwortshunt.example/fleet/id"
)

// Config holds the parameters of a State. They should be equal on all hosts.
type Config struct {
	// Crashes is the number of endpoints that must break off under a segment before it is
	// quarantined. A single segment must explain them all.
	Crashes int
	// CertainCrashes is the same number if several segments explain the crashes, if the
	// segment has been answered before, or if endpoints of several zones break off at the
	// same moment.
	CertainCrashes int
	// Wait is the time that the arbiter waits for objections to a report.
	Wait time.Duration
	// ReportTTL is how long a report counts.
	ReportTTL time.Duration
	// AnswerTTL is how long a host remembers that a segment has been answered.
	AnswerTTL time.Duration
	// Duration is how long a segment stays in quarantine.
	Duration time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Crashes:        3,
		CertainCrashes: 5,
		Wait:           200 * time.Millisecond,
		ReportTTL:      5 * time.Minute,
		AnswerTTL:      time.Minute,
		Duration:       time.Hour,
	}
}

const (
	// maxReports bounds the reports that a host keeps. The oldest are dropped first.
	maxReports = 256
	// maxReportSegments bounds the segments of all reports that a host keeps.
	maxReportSegments = 64 << 10
	// maxReportsPerSecond bounds the reports that a host sends.
	maxReportsPerSecond = 10
	// maxSegmentsPerSecond bounds the segments of the reports that a host sends. Each other
	// host may send as many objections.
	maxSegmentsPerSecond = 16 << 10
	// maxAnswers bounds the answered segments of one half of Config.AnswerTTL. It is several
	// times the number of segments that a prompt may have.
	maxAnswers = 16 << 10
	// maxEntries bounds the entries that a host keeps and passes on.
	maxEntries = 64
)

// State is what one host knows. New creates it.
type State struct {
	cfg     Config
	reports []report
	// decideAt is when the objections to the latest reports should have arrived; zero means
	// that there is nothing new to decide about.
	decideAt time.Time

	reportsSent  int // since reportsSince
	segmentsSent int // in these reports
	reportsSince time.Time

	entries map[id.Segment]*entry
	// explained holds the endpoints that a quarantined segment has crashed, and when.
	explained map[id.Endpoint]time.Time

	// The segments that were answered in the current and in the previous half of
	// Config.AnswerTTL.
	answered, answeredBefore map[id.Segment]time.Time
	answersSince             time.Time
}

// report says that a run on an endpoint has broken off before it had produced much output.
type report struct {
	endpoint   id.Endpoint
	zone       id.Zone      // of the endpoint; empty if unknown
	segments   []id.Segment // in the order of the prompt
	receivedAt time.Time
}

// New returns a State without reports and without segments in quarantine.
func New(cfg Config) *State {
	return &State{
		cfg:            cfg,
		entries:        make(map[id.Segment]*entry),
		explained:      make(map[id.Endpoint]time.Time),
		answered:       make(map[id.Segment]time.Time),
		answeredBefore: make(map[id.Segment]time.Time),
	}
}
