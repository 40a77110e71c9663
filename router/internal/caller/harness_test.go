package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/router/internal/caller"
	"ragwortshunt.example/router/internal/inflight"
)

const eventTimeout = 10 * time.Second

// harness is a caller.Server with a fake decision core that responds to each request
// with the effects in script.
type harness struct {
	*caller.Server
	url     string
	store   *inflight.Store
	events  chan core.Event
	script  []core.Effect
	active  string // valid key
	revoked string // withdrawn key
}

// Post responds to a request with the effects in script, whose refusals get the
// ID of the request.
func (r *harness) Post(ev core.Event) {
	r.events <- ev
	arrived, ok := ev.(core.RequestArrived)
	if !ok {
		return
	}
	go func() {
		for _, e := range r.script {
			if refuse, ok := e.(core.Refuse); ok {
				refuse.Request = arrived.Request
				e = refuse
			}
			r.Handle(arrived.Request, e)
		}
	}()
}

func newHarness(t *testing.T, script ...core.Effect) *harness {
	t.Helper()
	r := &harness{store: inflight.New(), events: make(chan core.Event, 64), script: script}
	r.Server = caller.New(caller.Config{Host: "h-1", Incarnation: 7, MaxBodyBytes: 2048, DefaultMaxTokens: 16}, r, r.store)
	r.SetTable(r.table(t))
	srv := httptest.NewServer(r.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	r.url = srv.URL
	return r
}

func (r *harness) table(t *testing.T) *table.Snapshot {
	t.Helper()
	snap := &table.Snapshot{
		Version:  1,
		Accounts: map[id.Account]table.Account{"a": {Name: "a"}},
		Routes: map[id.Route]table.Route{
			"chat": {Name: "chat", Model: "m"}, "free": {Name: "free", Model: "m", Open: true, Account: "a"},
			"issue": {Name: "issue", Pool: "p"}, "board": {Name: "board", Pool: "p", Open: true, Account: "a"},
		},
		Pools: map[id.Pool]table.Pool{"prefill": {Name: "prefill", Role: table.RolePrefill, Model: "m", BlockTokens: 3}},
		Keys:  map[id.KeyID]table.Key{},
	}
	for i, keyID := range []id.KeyID{"active", "revoked"} {
		random := bytes.NewReader(bytes.Repeat([]byte{byte(i + 1)}, 64))
		presented, row, err := table.NewKey(random, keyID, "a")
		assert.NilError(t, err)
		if keyID == "revoked" {
			row.State = table.StateWithdrawn
			r.revoked = presented
		} else {
			r.active = presented
		}
		snap.Keys[keyID] = row
	}
	return snap
}

// response is an HTTP response whose body has been read.
type response struct {
	status int
	header http.Header
	body   string
}

// refusal returns the code and the not-run flag of a refusal.
func (r response) refusal(t *testing.T) (code string, notRun bool) {
	t.Helper()
	var body struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"not-run"`
		} `json:"error"`
	}
	assert.NilError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	return body.Error.Code, body.Error.NotRun
}

// send sends a request. The elements of headers alternate between names and
// values.
func (r *harness) send(t *testing.T, method, path, body string, headers ...string) response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, r.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}
}

// sendWithKey sends a POST request with the valid key.
func (r *harness) sendWithKey(t *testing.T, path, body string) response {
	t.Helper()
	return r.send(t, http.MethodPost, path, body, "Authorization", "Bearer "+r.active)
}

func (r *harness) nextEvent(t *testing.T) core.Event {
	t.Helper()
	select {
	case ev := <-r.events:
		return ev
	case <-time.After(eventTimeout):
		t.Fatal("no event within the timeout")
		return nil
	}
}
