package platform_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/platform"
	"ragwortshunt.example/standin/internal/settings"
)

type client struct {
	t      *testing.T
	url    string
	faults *fault.Injector
}

func start(t *testing.T, cfg settings.Platform) client {
	faults := fault.New()
	server := httptest.NewServer(platform.New(cfg, faults).Handler())
	t.Cleanup(server.Close)
	return client{t: t, url: server.URL, faults: faults}
}

// try makes a call and returns the status and the body of the reply.
func (c client) try(method, path, body string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, c.url+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// call makes a call that must get the given status, and returns the object in
// the reply.
func (c client) call(method, path, body string, status int) object.Object {
	c.t.Helper()
	got, data, err := c.try(method, path, body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, got, status, "%s %s: %s", method, path, data)
	var o object.Object
	if len(data) > 0 && data[0] == '{' {
		assert.NilError(c.t, json.Unmarshal(data, &o))
	}
	return o
}

// TestConditionalUpdate guards against writes that overwrite a newer version, and
// against versions that restart when a deleted object is created again.
func TestConditionalUpdate(t *testing.T) {
	c := start(t, settings.Platform{})
	const path = "/objects/lease/a.1"
	assert.Equal(t, c.call("PUT", path+"?if-version=0", "one", 200).Version, uint64(1))
	conflict := c.call("PUT", path+"?if-version=0", "other", 409)
	assert.Equal(t, conflict.Version, uint64(1))
	assert.Equal(t, string(conflict.Value), "one")
	c.call("PUT", path+"?if-version=1", "two", 200)
	c.call("DELETE", path+"?if-version=1", "", 409)
	c.call("DELETE", path+"?if-version=2", "", 204)
	c.call("GET", path, "", 404)
	assert.Assert(t, c.call("PUT", path+"?if-version=0", "three", 200).Version > 2)
	c.call("PUT", path, "no condition", 400)
	c.call("PUT", path+"?if-version=4", strings.Repeat("x", object.MaxValueBytes+1), 413)
}

// TestLostReply guards against a write that does not take effect when its reply is
// lost.
func TestLostReply(t *testing.T) {
	c := start(t, settings.Platform{})
	assert.NilError(t, c.faults.Apply(fault.Fault{Target: "platform", Kind: fault.LostReply, Value: 1, Count: 1}))
	_, _, err := c.try("PUT", "/objects/claim/1?if-version=0", "mine")
	assert.Assert(t, err != nil)
	assert.Equal(t, string(c.call("GET", "/objects/claim/1", "", 200).Value), "mine")
	c.call("PUT", "/objects/claim/1?if-version=1", "next", 200)
}

// TestWatch guards against watches that miss a change, or that stay pending when
// an outage begins.
func TestWatch(t *testing.T) {
	c := start(t, settings.Platform{})
	const path = "/watch/manifest/table"
	c.call("GET", path+"?after=0&wait-ms=1", "", 304)
	statuses := make(chan int)
	watch := func(after string) {
		status, _, err := c.try("GET", path+"?wait-ms=60000&after="+after, "")
		if err != nil {
			status = -1
		}
		statuses <- status
	}
	go watch("0")
	c.call("PUT", "/objects/manifest/table?if-version=0", "v1", 200)
	assert.Equal(t, <-statuses, 200)
	go watch("1")
	assert.NilError(t, c.faults.Apply(fault.Fault{Target: "platform", Kind: fault.Outage}))
	assert.Equal(t, <-statuses, 503)
	assert.NilError(t, c.faults.Apply(fault.Fault{Kind: fault.Clear}))
	assert.Equal(t, c.call("GET", path+"?after=0&wait-ms=0", "", 200).Version, uint64(1))
}

// TestRateAndStats guards against calls that exceed the rate limit, and against
// calls that the statistics don't count.
func TestRateAndStats(t *testing.T) {
	c := start(t, settings.Platform{WriteRate: 0.001})
	c.call("PUT", "/objects/lease/a?if-version=0", "x", 200)
	c.call("PUT", "/objects/lease/a?if-version=1", "y", 429)
	c.call("GET", "/objects/lease", "", 200)
	c.call("GET", "/hosts", "", 200)
	_, data, err := c.try("GET", "/stats", "")
	assert.NilError(t, err)
	var stats platform.Stats
	assert.NilError(t, json.Unmarshal(data, &stats))
	assert.DeepEqual(t, stats, platform.Stats{
		Calls:   map[string]map[string]int64{"lease": {"PUT": 2, "LIST": 1}, "hosts": {"GET": 1}},
		Refused: map[string]int64{"429": 1},
	})
}

// TestHostListLag guards against a host list that shows changes before the lag has
// passed, or not at all.
func TestHostListLag(t *testing.T) {
	for _, test := range []struct {
		lag  time.Duration
		want object.Hosts
	}{
		{0, object.Hosts{Hosts: []object.Host{{Host: "b", Leaving: true}}}},
		{time.Hour, object.Hosts{Hosts: []object.Host{{Host: "a"}, {Host: "b"}}}},
	} {
		c := start(t, settings.Platform{HostListLag: test.lag, Hosts: []object.Host{{Host: "a"}, {Host: "b"}}})
		assert.NilError(t, c.faults.Apply(fault.Fault{Target: "a", Kind: fault.Removed}))
		assert.NilError(t, c.faults.Apply(fault.Fault{Target: "b", Kind: fault.Leaving}))
		_, data, err := c.try("GET", "/hosts", "")
		assert.NilError(t, err)
		var got object.Hosts
		assert.NilError(t, json.Unmarshal(data, &got))
		assert.DeepEqual(t, got, test.want)
	}
}
