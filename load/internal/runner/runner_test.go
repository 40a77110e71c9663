package runner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/load/internal/runner"
	"ragwortshunt.example/load/internal/stats"
	"ragwortshunt.example/load/internal/workload"
	"ragwortshunt.example/standin/answer"
)

const config = `
[account shop]
key = rws-k-secret

[flow ask]
account = shop
route = chat
requests-per-s = 1000
end-s = 0.05
prompt-tokens = 5-9
max-tokens = 4
first-token-ms = 60000
between-tokens-ms = 60000
`

const serviceConfig = `
[account shop]

[flow issue]
account = shop
kind = service
route = release
requests-per-s = 1000
end-s = 0.05
repeat-share = 1
repeat-done-share = 1
`

// event returns one server-sent event of a completion stream.
func event(text, finish string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"text\":%q,\"index\":0,\"finish_reason\":%q}]}\n\n", text, finish)
}

// doneEvent is the end marker of a stream.
const doneEvent = "data: [DONE]\n\n"

// router starts a fake router and returns its URL. reply gets the complete answer to
// each prompt and writes the stream.
func router(t *testing.T, reply func(w http.ResponseWriter, text string)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Prompt    string `json:"prompt"`
			MaxTokens int64  `json:"max_tokens"`
		}
		if r.Header.Get("Authorization") != "Bearer rws-k-secret" || json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		w.Header().Set("Request-Id", "r-1")
		reply(w, answer.For(body.Prompt).Text(body.MaxTokens))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// run parses a workload, runs it and returns the report.
func run(t *testing.T, config string, routers ...string) stats.Report {
	w, err := workload.Parse("test.ini", []byte(config))
	assert.NilError(t, err)
	return runner.Run(context.Background(), runner.Options{
		Workload: w,
		Routers:  routers,
		Duration: time.Minute,
		Timeout:  time.Minute,
		Drain:    time.Minute,
		Seed:     7,
		Run:      "test",
	})
}

// Guards against outcomes that are counted under the wrong status, for example a
// truncated answer that counts as complete.
func TestOutcomes(t *testing.T) {
	refusal := `{"error":{"code":"rate","message":"m","request-id":"r-1","not-run":true}}`
	for _, test := range []struct {
		name  string
		reply func(w http.ResponseWriter, text string)
		count func(s stats.Summary) int64
	}{
		{
			"complete",
			func(w http.ResponseWriter, text string) {
				fmt.Fprint(w, event(text[:3], "")+event(text[3:], "")+event("", "length")+doneEvent)
			},
			func(s stats.Summary) int64 { return s.Good },
		},
		{
			"reported as complete but truncated",
			func(w http.ResponseWriter, text string) { fmt.Fprint(w, event(text[:3], "length")+doneEvent) },
			func(s stats.Summary) int64 { return s.Wrong },
		},
		{
			"duplicated",
			func(w http.ResponseWriter, text string) { fmt.Fprint(w, event(text+text, "length")+doneEvent) },
			func(s stats.Summary) int64 { return s.Wrong },
		},
		{
			"no end marker",
			func(w http.ResponseWriter, text string) { fmt.Fprint(w, event(text, "length")) },
			func(s stats.Summary) int64 { return s.Broken },
		},
		{
			"error in the stream",
			func(w http.ResponseWriter, text string) {
				fmt.Fprint(w, event(text[:3], "")+"data: "+refusal+"\n\n"+doneEvent)
			},
			func(s stats.Summary) int64 { return s.Broken },
		},
		{
			"refused",
			func(w http.ResponseWriter, _ string) {
				w.WriteHeader(http.StatusTooManyRequests)
				fmt.Fprint(w, refusal)
			},
			func(s stats.Summary) int64 { return min(s.Refused["rate"], s.RefusedNotRun) },
		},
	} {
		total := run(t, config, router(t, test.reply)).Total
		assert.Assert(t, total.Sent > 0, test.name)
		assert.Equal(t, test.count(total), total.Sent, "%s: %+v", test.name, total)
	}
}

// Guards against a load that fails because one of several routers accepts no
// connections, and against failures without any router that are not counted as
// unreachable.
func TestDeadRouter(t *testing.T) {
	const deadURL = "http://127.0.0.1:1"
	liveURL := router(t, func(w http.ResponseWriter, text string) { fmt.Fprint(w, event(text, "length")+doneEvent) })
	total := run(t, config, deadURL, liveURL).Total
	assert.Assert(t, total.Sent > 0)
	assert.Equal(t, total.Whole, total.Sent)
	total = run(t, config, deadURL).Total
	assert.Equal(t, total.Unreachable, total.Sent)
}

// service starts a fake service and returns its URL. With deduplicate, it replies to
// every call with the same serial number, as if the repeated call had not been executed
// again. With abortFirst, it closes the connection of the first call without a reply.
func service(t *testing.T, deduplicate, abortFirst bool) string {
	var serial atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		n := serial.Add(1)
		if abortFirst && n == 1 {
			panic(http.ErrAbortHandler)
		}
		if deduplicate {
			n = 1
		}
		fmt.Fprintf(w, `{"service":"s","serial":%d,"body":%q}`, n, body)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a repeated call that is executed twice without being counted as wrong,
// and against calls with an unknown result that are not repeated.
func TestServiceRepeats(t *testing.T) {
	total := run(t, serviceConfig, service(t, true, true)).Total
	assert.Assert(t, total.Sent > 0)
	assert.Equal(t, total.Whole, total.Sent)
	assert.Equal(t, total.Repeats, total.Sent)
	total = run(t, serviceConfig, service(t, false, false)).Total
	assert.Equal(t, total.Wrong, total.Sent)
}

// Guards against a run with wrong answers that exits with success: RunWorkload must
// return ErrWrongAnswers and still write the table and the report.
func TestCommand(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "w.ini")
	assert.NilError(t, os.WriteFile(path, []byte(config), 0o600))
	url := router(t, func(w http.ResponseWriter, _ string) { fmt.Fprint(w, event("wrong", "length")+doneEvent) })
	var table bytes.Buffer
	err := runner.RunWorkload(context.Background(), runner.Arguments{
		Options:      runner.Options{Routers: []string{url}, Duration: time.Minute, Timeout: time.Minute, Drain: time.Minute},
		WorkloadPath: path,
		ReportPath:   filepath.Join(dir, "report.json"),
		Table:        &table,
	})
	assert.Assert(t, errors.Is(err, runner.ErrWrongAnswers), err)
	assert.Assert(t, strings.Contains(table.String(), "worst-served account: shop"), table.String())
	data, err := os.ReadFile(filepath.Join(dir, "report.json"))
	assert.NilError(t, err)
	var report stats.Report
	assert.NilError(t, json.Unmarshal(data, &report))
	assert.Equal(t, report.Total.Wrong, report.Total.Sent)
}

// Guards against an example workload that does not parse.
func TestExample(t *testing.T) {
	w, err := workload.Load("../../examples/tallinn-demo.ini")
	assert.NilError(t, err)
	assert.Equal(t, len(w.Accounts), 5)
	assert.Equal(t, len(w.Flows), 9)
}
