package process_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ragwortshunt.example/standin/internal/process"
	"ragwortshunt.example/standin/internal/record"
	"ragwortshunt.example/standin/internal/settings"
)

const config = `
[control]
address = 127.0.0.1:0

[engine e1]
address = 127.0.0.1:0

[service s1]
address = 127.0.0.1:0
`

// testProcess is a process with an engine e1 and a service s1.
type testProcess struct {
	t *testing.T
	p *process.Process
}

func start(t *testing.T) testProcess {
	cfg, err := settings.Parse("test.ini", []byte(config))
	assert.NilError(t, err)
	p, err := process.Start(cfg, zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return testProcess{t, p}
}

// call calls a stand-in with a secret in a header and an idempotency key.
func (tp testProcess) call(method, name, path, body string) (*http.Response, string, error) {
	url := "http://" + tp.p.Address(name) + path
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	assert.NilError(tp.t, err)
	// Without GetBody the transport does not retry a request that has an idempotency
	// key.
	req.GetBody = nil
	req.Header.Set("Idempotency-Key", "key-1")
	req.Header.Set("X-Secret", "rws-abc")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func (tp testProcess) applyFault(text string, status int) {
	tp.t.Helper()
	resp, body, err := tp.call("POST", "control", "/fault", text)
	assert.NilError(tp.t, err)
	assert.Equal(tp.t, resp.StatusCode, status, body)
}

func (tp testProcess) get(path string, v any) {
	tp.t.Helper()
	_, body, err := tp.call("GET", "control", path, "")
	assert.NilError(tp.t, err)
	assert.NilError(tp.t, json.Unmarshal([]byte(body), v))
}

// TestServiceRecords guards against services that execute calls that they refuse,
// and against executions that are not recorded because their reply is lost.
func TestServiceRecords(t *testing.T) {
	tp := start(t)
	tp.applyFault(`{"target":"s1","kind":"refuse","count":1}`, 204)
	resp, _, err := tp.call("POST", "s1", "/release/7", "crate")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("Not-Run"), "true")
	tp.applyFault(`{"target":"s1","kind":"drop-reply","value":1,"count":1}`, 204)
	_, _, err = tp.call("POST", "s1", "/release/7", "crate")
	assert.Assert(t, err != nil)
	_, body, err := tp.call("POST", "s1", "/release/7", "crate")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(body, `"serial":2`), body)
	var got []record.Execution
	tp.get("/record/executions", &got)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].IdempotencyKey, "key-1")
	assert.Equal(t, got[0].Path, "/release/7")
}

// TestSearch guards against a search that misses a secret in the URL, the headers
// or the body of a call, and against one that finds text which no call contains.
func TestSearch(t *testing.T) {
	tp := start(t)
	_, _, err := tp.call("POST", "s1", "/release?in=url", "in-body")
	assert.NilError(t, err)
	for _, text := range []string{"rws-abc", "in-body", "in%3Durl"} {
		var got record.SearchResult
		tp.get("/record/search?text="+text, &got)
		assert.Equal(t, got.Total, 1, text)
		assert.Equal(t, got.Matches[0].Endpoint, "s1")
	}
	var got record.SearchResult
	tp.get("/record/search?text=elsewhere", &got)
	assert.Equal(t, got.Total, 0)
	assert.Equal(t, got.Searched, 1)
}

// TestDie guards against an engine that still replies under the fault die, or that
// does not serve again when the fault ends.
func TestDie(t *testing.T) {
	tp := start(t)
	load := func() error {
		_, _, err := tp.call("GET", "e1", "/v1/load", "")
		return err
	}
	assert.NilError(t, load())
	tp.applyFault(`{"target":"e1","kind":"die"}`, 204)
	assert.Assert(t, load() != nil)
	tp.applyFault(`{"target":"e1","kind":"die","duration-ms":1}`, 204)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := load(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
}

// TestBadFaults guards against invalid faults, such as misspelled ones, that are
// accepted and have no effect.
func TestBadFaults(t *testing.T) {
	tp := start(t)
	for _, text := range []string{
		`{"target":"e2","kind":"die"}`,
		`{"target":"e1","kind":"outage"}`,
		`{"target":"s1","kind":"drop-reply","value":2}`,
		`{"target":"e1","kind":"die","duration":5}`,
		`{`,
	} {
		tp.applyFault(text, 400)
	}
}
