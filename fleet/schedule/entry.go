package schedule

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// state is the stage of an entry in the scheduler.
type state uint8

const (
	stateQueued  state = iota
	stateGranted       // reserved; its host has not reported the start
	stateRunning
)

// maxTokens bounds the token counts taken from a message, so that no sum or product
// overflows.
const maxTokens = 1 << 30

// entry is the latest attempt of one request. Times count from Cell.start.
type entry struct {
	request     id.Request
	attempt     id.Attempt
	host        id.Host
	az          id.Zone  // of the host; empty unless the cell spans several zones
	account     *account // nil for attempts that this cell has not granted
	class       message.Class
	stated      message.Level // as its host stated it
	level       int           // position among the queues, 0 is the most urgent
	state       state
	phase       message.Phase
	grantedHere bool // granted by this cell

	prompt, output, tokens int64 // prompt tokens, output limit, output tokens so far
	expected               int64 // expected output tokens
	prefix                 uint64
	avoid                  id.Endpoint
	canWait                bool
	large                  bool

	requestedAt   time.Duration
	maxWait       time.Duration // longest queueing time of this request; 0 means Config.MaxDeferrableWait
	arrivedAt     time.Duration // at its host
	latestStart   time.Duration // latest start that meets the target; without a target, end of the queueing time
	queueDeadline time.Duration // refused or demoted after this time

	waitsIn     int           // the pass over the queue in which it waits for a faster engine
	callerUntil time.Duration // when the caller stops waiting for the end of the response; 0 is unknown
	maxEventGap time.Duration // target for the pause between two events; 0 means none

	lane               *lane
	laneIndex          int
	queueDeadlineIndex int
	runIndex           int

	prefill, decode             *endpoint // nil once released
	transferSource              *endpoint // prefill endpoint of a planned transfer
	prefillBlocks, decodeBlocks int64
	charge                      time.Duration // endpoint time charged to the account
	decodeSince                 time.Duration
	startClock                  float64       // outputClock of the decode endpoint at decodeSince
	missedReports               int           // consecutive load reports without the decode run
	reservedUntil               time.Duration // expiry of the reservation, extended by updates and holds
	queryAt                     time.Duration // when the host is asked whether the attempt still runs
	prefillTime                 time.Duration
	prefillStart, prefillEnd    time.Duration // planned
	transferStart, transferEnd  time.Duration // planned transfer
}

func clampTokens(n int64) int64 { return min(max(n, 0), maxTokens) }

// outcome is the reason why an attempt ended.
type outcome uint8

const (
	outcomeClosed  outcome = iota // done, cancelled, expired or replaced
	outcomeExpired                // granted and never started
	outcomeRefused
)

type endedRecord struct {
	attempt id.Attempt
	outcome outcome
	reason  string
	retry   time.Duration
	until   time.Duration
}

type endedRef struct {
	request id.Request
	until   time.Duration
}

// endedLog remembers ended attempts for Config.EndedRetention, so that late and
// duplicated messages do not revive them.
type endedLog struct {
	records map[id.Request]endedRecord
	order   []endedRef // sorted by until
	head    int
}

func newEndedLog() endedLog {
	return endedLog{records: make(map[id.Request]endedRecord)}
}

func (l *endedLog) add(request id.Request, r endedRecord) {
	if old, ok := l.records[request]; ok && old.attempt > r.attempt {
		return
	}
	l.records[request] = r
	l.order = append(l.order, endedRef{request: request, until: r.until})
}

// covers reports whether the attempt, or a later one of the request, has ended.
func (l *endedLog) covers(request id.Request, attempt id.Attempt) bool {
	r, ok := l.records[request]
	return ok && r.attempt >= attempt
}

func (l *endedLog) expire(now time.Duration) {
	for l.head < len(l.order) && l.order[l.head].until < now {
		ref := l.order[l.head]
		l.order[l.head] = endedRef{}
		l.head++
		if r, ok := l.records[ref.request]; ok && r.until <= ref.until {
			delete(l.records, ref.request)
		}
	}
	if l.head > len(l.order)/2 {
		n := copy(l.order, l.order[l.head:])
		clear(l.order[n:])
		l.order = l.order[:n]
		l.head = 0
	}
}
