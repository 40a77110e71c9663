package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// answer writes the answer of one model request, streamed or whole.
type answer struct {
	w       http.ResponseWriter
	request id.Request
	ask     ask
	started bool
	text    strings.Builder
}

func newAnswer(w http.ResponseWriter, req id.Request, a ask) *answer {
	return &answer{w: w, request: req, ask: a}
}

// choice is one element of the choices of an OpenAI-style answer.
type choice struct {
	Index   int          `json:"index"`
	Text    *string      `json:"text,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type completion struct {
	ID      id.Request `json:"id"`
	Object  string     `json:"object"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usage     `json:"usage,omitempty"`
}

// handle writes one effect and returns whether the answer has ended.
func (a *answer) handle(e core.Effect) bool {
	switch e := e.(type) {
	case core.Deliver:
		a.deliver(strings.Join(e.Tokens, ""))
		return false
	case core.Finish:
		a.finish(e)
		return true
	case core.Refuse:
		a.refuse(e)
		return true
	default:
		return false
	}
}

func (a *answer) deliver(text string) {
	if !a.ask.stream {
		a.text.WriteString(text)
		return
	}
	a.event(a.completion(a.part(text, nil)))
}

// part returns a choice of a streamed answer.
func (a *answer) part(text string, finish *string) choice {
	if a.ask.chat {
		return choice{Delta: &chatMessage{Role: "assistant", Content: text}, Finish: finish}
	}
	return choice{Text: &text, Finish: finish}
}

func (a *answer) completion(c choice) completion {
	object := "text_completion"
	switch {
	case a.ask.chat && a.ask.stream:
		object = "chat.completion.chunk"
	case a.ask.chat:
		object = "chat.completion"
	}
	return completion{ID: a.request, Object: object, Model: a.ask.route, Choices: []choice{c}}
}

func (a *answer) finish(e core.Finish) {
	u := &usage{
		PromptTokens: e.PromptTokens, CompletionTokens: e.OutputTokens,
		TotalTokens: e.PromptTokens + e.OutputTokens,
	}
	if a.ask.stream {
		last := a.completion(a.part("", &e.Finish))
		last.Usage = u
		a.event(last)
		a.raw("data: [DONE]\n\n")
		return
	}
	text := a.text.String()
	c := choice{Text: &text, Finish: &e.Finish}
	if a.ask.chat {
		c = choice{Message: &chatMessage{Role: "assistant", Content: text}, Finish: &e.Finish}
	}
	whole := a.completion(c)
	whole.Usage = u
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(headerRequest, string(a.request))
	_ = json.NewEncoder(a.w).Encode(whole)
}

// refuse reports a refusal. In a stream that has begun it is an event, and the
// stream ends without the end marker.
func (a *answer) refuse(e core.Refuse) {
	if !a.started {
		writeRefusal(a.w, e)
		return
	}
	a.event(errorBody{Error: refusal(e)})
}

func (a *answer) event(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	a.raw("data: " + string(data) + "\n\n")
}

func (a *answer) raw(text string) {
	if !a.started {
		a.started = true
		h := a.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(headerRequest, string(a.request))
		a.w.WriteHeader(http.StatusOK)
	}
	_, _ = a.w.Write([]byte(text))
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}
