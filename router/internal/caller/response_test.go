package caller_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/platform/exchange"
	"ragwortshunt.example/router/internal/caller"
	"ragwortshunt.example/router/internal/inflight"
)

var (
	twoTokens = core.Deliver{Tokens: []string{"one", " two"}}
	oneToken  = core.Deliver{Offset: 2, Tokens: []string{" three"}}
	finished  = core.Finish{Finish: "length", PromptTokens: 2, OutputTokens: 3}
)

// TestWholeAnswer covers responses that are not streamed, for text and chat
// completions.
func TestWholeAnswer(t *testing.T) {
	const ending = `,"usage":{"prompt_tokens":2,"completion_tokens":3,"total_tokens":5}}`
	cases := map[string]struct{ path, body, want string }{
		"text": {
			"/v1/completions", `{"model":"chat","prompt":"two words"}`,
			`"object":"text_completion","model":"chat","choices":[{"index":0,"text":"one two three","finish_reason":"length"}]`,
		},
		"chat": {
			"/v1/chat/completions", `{"model":"chat","messages":[{"role":"user","content":"words"}]}`,
			`"object":"chat.completion","model":"chat","choices":[{"index":0,` +
				`"message":{"role":"assistant","content":"one two three"},"finish_reason":"length"}]`,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, twoTokens, oneToken, finished)
			resp := r.sendWithKey(t, c.path, c.body)
			arrived := r.nextEvent(t).(core.RequestArrived)
			assert.Equal(t, resp.status, http.StatusOK)
			assert.Equal(t, resp.header.Get("Request-Id"), string(arrived.Request))
			assert.Equal(t, strings.TrimSpace(resp.body), `{"id":"`+string(arrived.Request)+`",`+c.want+ending)
			assert.Equal(t, arrived.PromptTokens, int64(2))
			assert.Equal(t, arrived.MaxTokens, int64(16))
			item, _ := r.store.Get(arrived.Request)
			assert.Equal(t, item.Output(), "one two three")
		})
	}
}

// streamEvents returns the data of each event in a stream.
func streamEvents(t *testing.T, resp response) []string {
	t.Helper()
	assert.Equal(t, resp.header.Get("Content-Type"), "text/event-stream")
	var out []string
	for _, event := range strings.Split(strings.TrimSuffix(resp.body, "\n\n"), "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		assert.Assert(t, ok, event)
		out = append(out, data)
	}
	return out
}

// TestStreamedAnswer checks the events of a streamed response, for text and chat
// completions: the tokens in order, the finish reason, and the [DONE] marker.
func TestStreamedAnswer(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
		t.Run(path, func(t *testing.T) {
			r := newHarness(t, twoTokens, oneToken, finished)
			resp := r.sendWithKey(t, path, `{"model":"chat","stream":true,"prompt":"a","messages":[{"role":"user","content":"a"}]}`)
			events := streamEvents(t, resp)
			assert.Equal(t, len(events), 4)
			assert.Equal(t, events[3], "[DONE]")
			text := ""
			for _, event := range events[:3] {
				var chunk struct {
					Choices []struct {
						Text   string                   `json:"text"`
						Delta  struct{ Content string } `json:"delta"`
						Finish string                   `json:"finish_reason"`
					} `json:"choices"`
				}
				assert.NilError(t, json.Unmarshal([]byte(event), &chunk))
				text += chunk.Choices[0].Text + chunk.Choices[0].Delta.Content + chunk.Choices[0].Finish
			}
			assert.Equal(t, text, "one two threelength")
		})
	}
}

// TestBrokenStream guards against an incomplete response that looks complete:
// after the first token, a refusal must appear in the stream without [DONE].
func TestBrokenStream(t *testing.T) {
	refuse := core.Refuse{Code: core.CodeEndpointFailed, Text: "endpoints failed repeatedly"}
	r := newHarness(t, twoTokens, refuse)
	events := streamEvents(t, r.sendWithKey(t, "/v1/completions", `{"model":"chat","prompt":"a","stream":true}`))
	assert.Equal(t, len(events), 2)
	assert.Assert(t, strings.Contains(events[1], `{"error":{"code":"endpoint-failed"`), events[1])
	assert.Assert(t, strings.Contains(events[1], `"not-run":false`), events[1])

	unstreamed := r.sendWithKey(t, "/v1/completions", `{"model":"chat","prompt":"a"}`)
	code, notRun := unstreamed.refusal(t)
	assert.Equal(t, unstreamed.status, http.StatusBadGateway)
	assert.Equal(t, code, core.CodeEndpointFailed)
	assert.Assert(t, !notRun)
}

// TestEndlessStream guards against an engine that exhausts the memory of the host with tokens that
// its caller reads, because the output is kept for another attempt.
func TestEndlessStream(t *testing.T) {
	const (
		budget = 4 << 20 // bytes
		sent   = 4 * budget
	)
	token := strings.Repeat("x", 32<<10)
	for _, body := range []string{`{"model":"free","prompt":"a"}`, `{"model":"free","prompt":"a","stream":true}`} {
		r := newHarness(t)
		r.Server = caller.New(caller.Config{Host: "h", MaxBodyBytes: 2048, DefaultMaxTokens: 16, Budget: exchange.NewBudget(budget)}, r, r.store)
		r.SetTable(r.table(t))
		srv := httptest.NewServer(r.Handler())
		defer srv.Close()
		defer srv.CloseClientConnections()
		go func() {
			resp, err := http.Post(srv.URL+"/v1/completions", "application/json", strings.NewReader(body))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}()
		arrived := r.nextEvent(t).(core.RequestArrived)
		for n := 0; n < sent && len(r.events) == 0; n += len(token) {
			r.Handle(arrived.Request, core.Deliver{Request: arrived.Request, Offset: int64(n), Tokens: []string{token}})
			time.Sleep(2 * time.Millisecond) // the caller reads as fast as the tokens come
		}
		item, _ := r.store.Get(arrived.Request)
		assert.Assert(t, len(item.Output()) < budget, "%d bytes are kept", len(item.Output()))
		assert.DeepEqual(t, r.nextEvent(t), core.Event(core.CallerGone{Request: arrived.Request}))
	}
}

// TestRefusal checks that not-run, Retry-After and the request ID of a refusal
// reach the caller as the decision core set them.
func TestRefusal(t *testing.T) {
	r := newHarness(t, core.Refuse{Code: core.CodeRateLimited, NotRun: true, RetryAfter: 1200 * time.Millisecond})
	resp := r.sendWithKey(t, "/v1/completions", `{"model":"chat","prompt":"a","stream":true}`)
	code, notRun := resp.refusal(t)
	assert.Equal(t, resp.status, http.StatusTooManyRequests)
	assert.Equal(t, code, core.CodeRateLimited)
	assert.Assert(t, notRun)
	assert.Equal(t, resp.header.Get("Retry-After"), "2")
	assert.Equal(t, resp.header.Get("Request-Id"), string(r.nextEvent(t).(core.RequestArrived).Request))
	r.script = []core.Effect{core.Refuse{Code: core.CodeKeyMissing, NotRun: true}}
	resp = r.sendWithKey(t, "/services/issue/x", "")
	assert.Equal(t, resp.header.Get("Retry-After"), "")
	assert.Equal(t, resp.status, http.StatusBadRequest)
}

// TestServiceRequest checks that a service receives the path, the body and the
// forwarded headers unchanged, without the caller's key.
func TestServiceRequest(t *testing.T) {
	r := newHarness(t, core.Refuse{Code: core.CodeLeaving})
	r.send(t, http.MethodPut, "/services/issue/a//b%2Fc?x=1", "body",
		"Authorization", "Bearer "+r.active, "Idempotency-Key", "k-1", "Cookie", "c=1", "Accept", "text/plain")
	arrived := r.nextEvent(t).(core.RequestArrived)
	item, _ := r.store.Get(arrived.Request)
	assert.DeepEqual(t, item.Call, &inflight.Call{
		Method: http.MethodPut, Path: "/a//b%2Fc?x=1", Body: []byte("body"),
		Header: http.Header{"Idempotency-Key": {"k-1"}, "Accept": {"text/plain"}},
	})
	assert.Equal(t, arrived.IdempotencyKey, "k-1")
	assert.Equal(t, string(arrived.Route), "issue")
	first := arrived.Digest
	r.send(t, http.MethodPut, "/services/issue/a//b%2Fc?x=2", "body", "Authorization", "Bearer "+r.active)
	assert.Assert(t, r.nextEvent(t).(core.RequestArrived).Digest != first)
}

// TestServiceReply covers replies of endpoints and replies recorded with a claim.
// A recorded reply that cannot be decoded must not reach the caller as a reply.
func TestServiceReply(t *testing.T) {
	recorded, err := json.Marshal(inflight.Reply{Status: 201, Header: http.Header{"Location": {"/l/1"}}, Body: []byte("label")})
	assert.NilError(t, err)
	cases := map[string]struct {
		reply    core.Reply
		status   int
		replayed string
	}{
		"fresh":               {core.Reply{}, 202, ""},
		"recorded":            {core.Reply{Recorded: true, Outcome: recorded}, 201, "true"},
		"unreadable":          {core.Reply{Recorded: true, Outcome: []byte("{")}, 409, ""},
		"without a status":    {core.Reply{Recorded: true, Outcome: []byte("{}")}, 409, ""},
		"impossible statuses": {core.Reply{Recorded: true, Outcome: []byte(`{"status":1000}`)}, 409, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			done := make(chan response, 1)
			go func() { done <- r.send(t, http.MethodPost, "/services/board/x", "") }()
			arrived := r.nextEvent(t).(core.RequestArrived)
			item, _ := r.store.Get(arrived.Request)
			item.SetReply(&inflight.Reply{Status: 202, Header: http.Header{"Etag": {"v1"}}, Body: []byte("fresh")})
			r.Handle(arrived.Request, c.reply)
			resp := <-done
			assert.Equal(t, resp.status, c.status)
			assert.Equal(t, resp.header.Get("Idempotent-Replayed"), c.replayed)
			assert.Equal(t, resp.header.Get("Request-Id"), string(arrived.Request))
			if c.status == http.StatusConflict {
				code, notRun := resp.refusal(t)
				assert.Equal(t, code, core.CodeOutcomeUnknown)
				assert.Assert(t, !notRun)
				return
			}
			assert.Equal(t, resp.header.Get("Location")+resp.header.Get("Etag")+resp.body, map[int]string{201: "/l/1label", 202: "v1fresh"}[c.status])
		})
	}
}

// TestLostReply guards against an invented reply when the endpoint's reply is no
// longer stored.
func TestLostReply(t *testing.T) {
	r := newHarness(t, core.Reply{})
	resp := r.send(t, http.MethodPost, "/services/board/x", "")
	code, notRun := resp.refusal(t)
	assert.Equal(t, resp.status, http.StatusConflict)
	assert.Equal(t, code, core.CodeOutcomeUnknown)
	assert.Assert(t, !notRun)
}
