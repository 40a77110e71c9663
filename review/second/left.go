package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["left"] = left }

// troubleLost is the value of TROUBLE with which only the answer is lost.
const troubleLost = "lost"

const (
	leftEvents   = 40                     // events of a stream, of 11 tokens each
	leftGap      = 60 * time.Millisecond  // between two events
	removedAfter = 300 * time.Millisecond // from the first event to the removal of the entry
	lostAfter    = 500 * time.Millisecond // from there to the loss of the answer
	maxOverlap   = 400 * time.Millisecond // of the rule
)

// left removes the entry of a runner that works on a stream, and then loses the answer. The runner
// works on, as it may, and the rule wants no other runner to go on beside it.
func left(rec *Record, trouble string) bool {
	c := NewCluster(9)
	cleanup = c.Close
	models, _, runs := c.addRunners()
	for _, m := range models {
		m.events, m.event = leftEvents, leftGap
	}
	c.store.Put("config", "main", configuration(1, tenants))
	c.Start()
	for i, h := range c.hosts[:3] {
		id := fmt.Sprintf("stream-%d", i+1)
		events := openStream(rec, h, id)
		<-events
		x := runnerOf(models, runs, id)
		rec.Say("%s runs at %s", id, x.id)
		time.Sleep(removedAfter)
		if trouble == troubleAll {
			c.store.Delete("servers", x.id)
			rec.Say("%s: the entry of %s is removed; it continues serving", id, x.id)
		}
		time.Sleep(lostAfter)
		if trouble != troubleNone {
			x.LoseAnswer(id)
			rec.Say("%s: the answer of %s is lost; it works on", id, x.id)
		}
		n := 1
		for range events {
			n++
		}
		rec.Say("%s: the client got %d events of %d", id, n, leftEvents)
		time.Sleep(2 * time.Second)
	}
	return checkOverlaps(rec, runs.All())
}

// openStream sends a request for a resumable stream and returns its events.
func openStream(rec *Record, h *Host, id string) <-chan string {
	conn, err := net.Dial("tcp", h.front)
	if err != nil {
		unable("%v", err)
	}
	body := strings.Repeat("x", 3000)
	_, err = conn.Write([]byte(head("POST", streamPath, id, firstKey, 14000, headerModel+": m",
		fmt.Sprintf("%s: 1460,%d", headerTokens, leftEvents*11), headerPrefix+": 5c1e07a2:800,91bd3f06:410,e4402b7d:250",
		"Content-Length: 3000") + body))
	if err != nil {
		unable("%v", err)
	}
	rec.Say("%s is sent to %s", id, h.name)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		unable("the stream doesn't begin: %v", err)
	}
	events := make(chan string, leftEvents)
	go func() {
		defer conn.Close()
		defer close(events)
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				rec.Printf("%s: event %s", id, event)
				events <- event
			}
		}
		rec.Printf("%s: the stream ends, error %v", id, lines.Err())
	}()
	return events
}

// runnerOf returns the runner that works on a request.
func runnerOf(all []*Runner, runs *Runs, id string) *Runner {
	for _, run := range runs.All() {
		for _, r := range all {
			if run.ID == id && run.Ended.IsZero() && r.id == run.Runner {
				return r
			}
		}
	}
	unable("no runner works on %s", id)
	return nil
}

// checkOverlaps reports whether no runner still worked on a request maxOverlap after another one had
// gone on with it.
func checkOverlaps(rec *Record, runs []Run) bool {
	held := true
	for i, run := range runs {
		rec.Say("%s ran at %s from %.2f s to %.2f s", run.ID, run.Runner,
			run.At.Sub(rec.start).Seconds(), run.Ended.Sub(rec.start).Seconds())
		for _, next := range runs[i+1:] {
			overlap := run.Ended.Sub(next.At)
			if next.ID == run.ID && overlap > maxOverlap {
				rec.Say("TWICE: %s went on at %s while %s worked on it for %.2f s more", run.ID, next.Runner, run.Runner, overlap.Seconds())
				held = false
			}
		}
	}
	return held
}
