package caller_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/router/internal/caller"
	"ragwortshunt.example/router/internal/inflight"
)

// refuser refuses each request and records its event.
type refuser struct {
	srv     *caller.Server
	arrived []core.RequestArrived
}

func (r *refuser) Post(ev core.Event) {
	if a, ok := ev.(core.RequestArrived); ok {
		r.arrived = append(r.arrived, a)
		r.srv.Handle(a.Request, core.Refuse{Code: core.CodeLeaving, Request: a.Request, NotRun: true})
	}
}

// FuzzCompletionBody guards against request bodies that make the API panic, and
// against events whose token counts are out of range.
func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{
		"", "{", "[]", "null", `{"model":"free","prompt":"a b"}`, `{"model":"free","prompt":"a","max_tokens":-9}`,
		`{"model":"free","messages":[{"role":"user","content":"\u0000\ud800"}],"stream":true}`,
		`{"model":"free","messages":[null],"max_tokens":9223372036854775807}`,
	} {
		f.Add(seed, true)
		f.Add(seed, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		r := new(refuser)
		r.srv = caller.New(caller.Config{Host: "h", MaxBodyBytes: 1 << 16, DefaultMaxTokens: 16}, r, inflight.New())
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		w := httptest.NewRecorder()
		r.srv.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		assert.Assert(t, w.Code >= 400 && w.Code < 600)
		for _, a := range r.arrived {
			assert.Assert(t, a.PromptTokens > 0 && a.MaxTokens > 0 && a.MaxTokens <= 1<<20)
		}
	})
}
