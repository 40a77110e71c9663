package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/router/internal/caller"
)

// eventTimeout limits the wait for one event. It expires only in a failing test.
// TestRefusedRequests guards against invalid requests that reach the decision
// core, and against refusals without not-run.
func TestRefusedRequests(t *testing.T) {
	const path = "/v1/completions"
	long := strings.Repeat("x", 3000)
	cases := map[string]struct {
		path, body string
		status     int
		code       string
	}{
		"body too large":       {path, `{"model":"chat","prompt":"` + long + `"}`, 413, "body-too-large"},
		"invalid JSON":         {path, `{"model":`, 400, "invalid-request"},
		"wrong type":           {path, `{"model":"chat","prompt":7}`, 400, "invalid-request"},
		"text after the body":  {path, `{"model":"chat","prompt":"a"} b`, 400, "invalid-request"},
		"no model":             {path, `{"prompt":"a"}`, 400, "invalid-request"},
		"no prompt":            {path, `{"model":"chat","prompt":" "}`, 400, "invalid-request"},
		"no messages":          {"/v1/chat/completions", `{"model":"chat","prompt":"a"}`, 400, "invalid-request"},
		"max_tokens 0":         {path, `{"model":"chat","prompt":"a","max_tokens":0}`, 400, "invalid-request"},
		"max_tokens negative":  {path, `{"model":"chat","prompt":"a","max_tokens":-1}`, 400, "invalid-request"},
		"max_tokens too large": {path, `{"model":"chat","prompt":"a","max_tokens":1048577}`, 400, "invalid-request"},
		"max_tokens fraction":  {path, `{"model":"chat","prompt":"a","max_tokens":1.5}`, 400, "invalid-request"},
		"max_tokens overflow":  {path, `{"model":"chat","prompt":"a","max_tokens":1e30}`, 400, "invalid-request"},
		"unknown model":        {path, `{"model":"other","prompt":"a"}`, 404, "unknown-route"},
		"service as model":     {path, `{"model":"issue","prompt":"a"}`, 404, "unknown-route"},
		"model as service":     {"/services/chat/x", "", 404, "unknown-route"},
		"unknown service":      {"/services/other/x", "", 404, "unknown-route"},
		"no such path":         {"/v2/completions", "", 404, "not-found"},
		"no such API path":     {"/v1/embeddings", "", 404, "not-found"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			resp := r.sendWithKey(t, c.path, c.body)
			code, notRun := resp.refusal(t)
			assert.Equal(t, resp.status, c.status)
			assert.Equal(t, code, c.code)
			assert.Assert(t, notRun)
			assert.Equal(t, len(r.events), 0)
		})
	}
	t.Run("method", func(t *testing.T) {
		resp := newHarness(t).send(t, http.MethodGet, path, "")
		code, notRun := resp.refusal(t)
		assert.Equal(t, resp.status, http.StatusMethodNotAllowed)
		assert.Equal(t, code, "method-not-allowed")
		assert.Assert(t, notRun)
	})
	t.Run("long idempotency key", func(t *testing.T) {
		r := newHarness(t)
		resp := r.send(t, http.MethodPost, "/services/issue/x", "", "Idempotency-Key", strings.Repeat("k", 256))
		code, _ := resp.refusal(t)
		assert.Equal(t, code, "invalid-request")
	})
}

// TestKeys guards against requests that are admitted with an invalid key. A
// request without a key must reach the decision core.
func TestKeys(t *testing.T) {
	r := newHarness(t, core.Refuse{Code: core.CodeLeaving, NotRun: true})
	cases := map[string]struct {
		header, code string
	}{
		"valid":               {"Bearer " + r.active, core.CodeLeaving},
		"lower case":          {"bearer  " + r.active, core.CodeLeaving},
		"no key":              {"", core.CodeLeaving}, // the decision core knows whether the route is open
		"other scheme":        {"Basic YTpi", core.CodeLeaving},
		"malformed":           {"Bearer secret", core.CodeUnauthorized},
		"unknown ID":          {"Bearer " + strings.Replace(r.active, "active", "other", 1), core.CodeUnauthorized},
		"wrong secret":        {"Bearer " + r.active + "a", core.CodeUnauthorized},
		"secret of other key": {"Bearer " + strings.Replace(r.revoked, "revoked", "active", 1), core.CodeUnauthorized},
		"withdrawn":           {"Bearer " + r.revoked, core.CodeKeyWithdrawn},
	}
	for name, c := range cases {
		for _, path := range []string{"/v1/completions", "/services/issue/x"} {
			t.Run(name+path, func(t *testing.T) {
				resp := r.send(t, http.MethodPost, path, `{"model":"free","prompt":"a"}`, "Authorization", c.header)
				code, notRun := resp.refusal(t)
				assert.Equal(t, code, c.code)
				assert.Assert(t, notRun)
				if c.code != core.CodeLeaving {
					assert.Equal(t, resp.status, http.StatusUnauthorized)
					assert.Equal(t, len(r.events), 0)
					return
				}
				arrived := r.nextEvent(t).(core.RequestArrived)
				assert.Equal(t, arrived.Key == "active", strings.Contains(c.header, r.active))
			})
		}
	}
}

// TestPromptPrefix guards against prefix hashes that do not match the cache events
// of engines, which identify the first KV block of a prompt.
func TestPromptPrefix(t *testing.T) {
	r := newHarness(t, core.Refuse{Code: core.CodeLeaving, NotRun: true})
	for prompt, prefix := range map[string]uint64{
		"a b":         0,
		"a b c":       xxhash.Sum64String("a b c"),
		"a  b c\\n d": xxhash.Sum64String("a b c"),
	} {
		body := fmt.Sprintf(`{"model":"free","prompt":"%s"}`, prompt)
		r.send(t, http.MethodPost, "/v1/completions", body)
		assert.Equal(t, r.nextEvent(t).(core.RequestArrived).Prefix, prefix, prompt)
	}
}

// TestNoTable guards against requests that are not refused with no-table while no
// table is installed, with and without a key.
func TestNoTable(t *testing.T) {
	r := newHarness(t, core.Refuse{Code: core.CodeNoTable, NotRun: true, RetryAfter: 1500 * time.Millisecond})
	r.SetTable(nil)
	for _, key := range []string{"", "Bearer " + r.active} {
		resp := r.send(t, http.MethodPost, "/v1/completions", `{"model":"chat","prompt":"a"}`, "Authorization", key)
		code, notRun := resp.refusal(t)
		assert.Equal(t, resp.status, http.StatusServiceUnavailable)
		assert.Equal(t, code, core.CodeNoTable)
		assert.Assert(t, notRun)
	}
}

// TestKeyInRequest guards against requests that would reveal a caller's key to an
// endpoint.
func TestKeyInRequest(t *testing.T) {
	r := newHarness(t, core.Refuse{Code: core.CodeLeaving, NotRun: true})
	secret := r.active[strings.LastIndexByte(r.active, '-')+1:]
	escaped := strings.ReplaceAll(r.active, "rws-", `\u0072ws-`)
	encoded := strings.ReplaceAll(r.active, "-", "%2D")
	bearer := []string{"Authorization", "Bearer " + r.active}
	cases := map[string]struct {
		path, body string
		headers    []string
	}{
		"prompt":           {"/v1/completions", `{"model":"chat","prompt":"my key is ` + r.active + `."}`, bearer},
		"other field":      {"/v1/completions", `{"model":"chat","prompt":"a","user":"` + r.active + `"}`, bearer},
		"escaped prompt":   {"/v1/completions", `{"model":"chat","prompt":"` + escaped + `"}`, bearer},
		"escaped model":    {"/v1/completions", `{"model":"` + escaped + `","prompt":"a"}`, bearer},
		"message":          {"/v1/chat/completions", `{"model":"chat","messages":[{"role":"user","content":"` + escaped + `"}]}`, bearer},
		"open model":       {"/v1/completions", `{"model":"free","prompt":"` + escaped + `"}`, nil},
		"service body":     {"/services/issue/x", "key=" + r.active, bearer},
		"secret alone":     {"/services/issue/x", "secret=" + secret, bearer},
		"path":             {"/services/issue/" + r.active, "", bearer},
		"encoded path":     {"/services/issue/" + encoded, "", bearer},
		"query":            {"/services/issue/x?key=" + encoded, "", bearer},
		"open service":     {"/services/board/x?key=" + encoded, "", nil},
		"idempotency key":  {"/services/issue/x", "", append(bearer, "Idempotency-Key", r.active)},
		"no bearer key":    {"/services/board/x", "", []string{"Idempotency-Key", r.active}},
		"forwarded header": {"/services/issue/x", "", append(bearer, "Accept", "text/"+r.active)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp := r.send(t, http.MethodPost, c.path, c.body, c.headers...)
			code, notRun := resp.refusal(t)
			assert.Equal(t, resp.status, http.StatusBadRequest)
			assert.Equal(t, code, "key-in-request")
			assert.Assert(t, notRun)
			assert.Assert(t, !strings.Contains(resp.body, secret))
			assert.Equal(t, len(r.events), 0)
			assert.Equal(t, r.store.Len(), 0)
		})
	}
	t.Run("text that looks like a key", func(t *testing.T) {
		resp := r.sendWithKey(t, "/v1/completions", `{"model":"chat","prompt":"rws-doc-abcdefghijklmnopqrstuvwxyz"}`)
		code, _ := resp.refusal(t)
		assert.Equal(t, code, core.CodeLeaving)
	})
}

// TestModels guards against showing the names of closed routes without a key.
func TestModels(t *testing.T) {
	r := newHarness(t)
	open := r.send(t, http.MethodGet, "/v1/models", "")
	assert.Equal(t, strings.TrimSpace(open.body), `{"object":"list","data":[{"id":"free","object":"model"}]}`)
	all := r.send(t, http.MethodGet, "/v1/models", "", "Authorization", "Bearer "+r.active)
	assert.Equal(t, strings.TrimSpace(all.body),
		`{"object":"list","data":[{"id":"chat","object":"model"},{"id":"free","object":"model"}]}`)
	refused := r.send(t, http.MethodGet, "/v1/models", "", "Authorization", "Bearer "+r.revoked)
	assert.Equal(t, refused.status, http.StatusUnauthorized)
}

// TestCallerGone guards against requests that continue after their caller has
// disconnected.
func TestCallerGone(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/services/board/x"} {
		t.Run(path, func(t *testing.T) {
			r := newHarness(t)
			ctx, cancel := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, strings.NewReader(`{"model":"free","prompt":"a"}`))
			assert.NilError(t, err)
			done := make(chan struct{})
			go func() {
				defer close(done)
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					resp.Body.Close()
				}
			}()
			arrived := r.nextEvent(t).(core.RequestArrived)
			cancel()
			assert.DeepEqual(t, r.nextEvent(t), core.Event(core.CallerGone{Request: arrived.Request}))
			<-done
			assert.Equal(t, r.store.Len(), 1) // until the decision core has closed the request
			r.ReleaseRequest(arrived.Request)
			assert.Equal(t, r.store.Len(), 0)
			for r.ActiveRequests() > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestHalfClosedCaller guards against an empty 200 for a caller that has closed only its own
// direction of the connection and still reads.
func TestHalfClosedCaller(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/services/board/x"} {
		t.Run(path, func(t *testing.T) {
			r := newHarness(t)
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			body := `{"model":"free","prompt":"a"}`
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
			assert.NilError(t, err)
			arrived := r.nextEvent(t).(core.RequestArrived)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			answer, _ := io.ReadAll(conn)
			assert.Equal(t, string(answer), "")
			assert.DeepEqual(t, r.nextEvent(t), core.Event(core.CallerGone{Request: arrived.Request}))
		})
	}
}

// TestBodyTimeout guards against callers that hold a request open by not sending
// its body, and against a body deadline that ends a response which takes longer.
func TestBodyTimeout(t *testing.T) {
	const timeout = 200 * time.Millisecond
	r := newHarness(t)
	server := caller.New(caller.Config{Host: "h-1", MaxBodyBytes: 2048, DefaultMaxTokens: 16, BodyTimeout: timeout}, r, r.store)
	server.SetTable(r.table(t))
	srv := httptest.NewServer(server.Handler())
	t.Cleanup(srv.Close)
	for header, want := range map[string]int{"": http.StatusBadRequest, "Authorization: Bearer x\r\n": http.StatusUnauthorized} {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"+header+"Content-Length: 100\r\n\r\n{")
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(eventTimeout)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.NilError(t, conn.Close())
		assert.Equal(t, resp.StatusCode, want)
	}
	r.url = srv.URL
	done := make(chan response, 1)
	go func() { done <- r.send(t, http.MethodPost, "/v1/completions", `{"model":"free","prompt":"a"}`) }()
	arrived := r.nextEvent(t).(core.RequestArrived)
	time.Sleep(2 * timeout)
	server.Handle(arrived.Request, core.Finish{Finish: "stop"})
	assert.Equal(t, (<-done).status, http.StatusOK)
	assert.Equal(t, len(r.events), 0)
}

// TestRequestIDs guards against two requests with the same ID.
func TestRequestIDs(t *testing.T) {
	r := newHarness(t, core.Refuse{Code: core.CodeLeaving})
	seen := map[id.Request]bool{}
	for range 40 {
		r.sendWithKey(t, "/v1/completions", `{"model":"chat","prompt":"a"}`)
		seen[r.nextEvent(t).(core.RequestArrived).Request] = true
	}
	assert.Equal(t, len(seen), 40)
}
