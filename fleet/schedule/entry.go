package schedule

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// state is the place of an entry in the scheduler.
type state uint8

const (
	stateQueued  state = iota
	stateGranted       // reserved, not yet known to have started
	stateRunning
)

// maxTokens bounds the token counts that are taken from a message, so that no
// sum or product overflows.
const maxTokens = 1 << 30

// entry is the live attempt of one request. Times count from Cell.start.
type entry struct {
	request id.Request
	attempt id.Attempt
	host    id.Host
	az      id.Zone  // of the host, if the cell spans several
	account *account // nil for attempts that this cell has not granted
	class   message.Class
	state   state
	phase   message.Phase
	own     bool // granted by this cell

	prompt, output, tokens int64 // prompt, output limit, output so far
	expected               int64 // output
	prefix                 uint64
	avoid                  id.Endpoint
	canWait                bool
	large                  bool

	asked    time.Duration
	patience time.Duration // longest queueing time of this request; 0 is no bound of its own
	arrived  time.Duration // at its host
	latest   time.Duration // latest start that meets the target, or the order of arrival
	giveUp   time.Duration // refused or demoted after this time

	lane      *lane
	laneIndex int
	lateIndex int
	runIndex  int

	prefill, decode             *endpoint // nil once free
	sender                      *endpoint // prefill endpoint of a planned transfer
	prefillBlocks, decodeBlocks int64
	charge                      time.Duration // endpoint time charged to the account
	decodeSince                 time.Duration
	absent                      int           // load reports in a row without the decode run
	deadline                    time.Duration // end of the reservation unless refreshed
	prefillTime                 time.Duration
	prefillStart, prefillEnd    time.Duration // planned
	sendStart, sendEnd          time.Duration // planned transfer
}

func clampTokens(n int64) int64 { return min(max(n, 0), maxTokens) }

// outcome is the way in which an attempt ended.
type outcome uint8

const (
	outcomeClosed  outcome = iota // done, cancelled or lapsed
	outcomeExpired                // granted and never used
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

// endedLog remembers ended attempts for a time, so that late and doubled
// messages do not bring them back.
type endedLog struct {
	records map[id.Request]endedRecord
	order   []endedRef // by until
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

// covers tells whether the attempt, or a later one of the request, has ended.
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
