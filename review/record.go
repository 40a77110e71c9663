package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"
)

// record is what was sent, answered and run, in the order of time.
type record struct {
	start time.Time

	mu      sync.Mutex
	lines   []string
	runs    map[string][]execution // by request
	targets map[string][]string    // request targets at runners, by request
	arrives []arrival
	crash   []time.Time
	calls   []*call
}

type execution struct {
	server string
	at     time.Time
	end    time.Time // zero while the runner works on it
}

type arrival struct {
	request, server, prefix string
	prefill                 bool
	at                      time.Time
}

func newRecord() *record {
	return &record{start: time.Now(), runs: make(map[string][]execution), targets: make(map[string][]string)}
}

func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f %-9s %s", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...)))
}

func (r *record) arrived(request, server string, prefill bool, prefix string) {
	what := "run"
	if prefill {
		what = "prefill"
	}
	r.add("reaches", "%s reaches %s (%s)", request, server, what)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrives = append(r.arrives, arrival{request, server, prefix, prefill, time.Now()})
}

// ran records that a runner has begun to work on a request. The returned function records the
// end.
func (r *record) ran(request, server string) (end func()) {
	r.add("runs", "%s on %s", request, server)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request] = append(r.runs[request], execution{server: server, at: time.Now()})
	n := len(r.runs[request]) - 1
	return func() {
		r.add("run ends", "%s on %s", request, server)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[request][n].end = time.Now()
	}
}

// ranAs records the request target with which a runner ran a request.
func (r *record) ranAs(request, target string) {
	r.add("target", "%s ran as %s", request, target)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets[request] = append(r.targets[request], target)
}

func (r *record) targetsOf(request string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.targets[request]...)
}

func (r *record) runsOf(request string) []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]execution(nil), r.runs[request]...)
}

func (r *record) crashed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash = append(r.crash, time.Now())
}

func (r *record) crashTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crash...)
}

func (r *record) ended(c *call) {
	r.add("answer", "%s from %s: status %d, %d bytes, complete %t %s", c.id, c.host, c.status, len(c.body2), c.complete, c.err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// allCalls returns the calls that have ended, by the time at which they were sent.
func (r *record) allCalls() []*call {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := append([]*call(nil), r.calls...)
	sort.Slice(out, func(i, j int) bool { return out[i].sent.Before(out[j].sent) })
	return out
}

// write writes the record and the summary to record.txt in dir.
func (r *record) write(dir string, summary []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return err
	}
	for _, l := range summary {
		fmt.Fprintln(f, l)
		fmt.Println(l)
	}
	fmt.Fprintln(f, "\nseconds since the start, what, details")
	for _, l := range r.lines {
		fmt.Fprintln(f, l)
	}
	return f.Close()
}
