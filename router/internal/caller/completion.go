package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// completionWriter writes the response to one model request, either as a
// server-sent event stream or as one JSON body.
type completionWriter struct {
	w            http.ResponseWriter
	request      id.Request
	modelRequest modelRequest
	started      bool            // the header of a stream has been written
	text         strings.Builder // output tokens of a response that is not streamed
}

func newCompletionWriter(w http.ResponseWriter, req id.Request, m modelRequest) *completionWriter {
	return &completionWriter{w: w, request: req, modelRequest: m}
}

// choice is one element of the choices of an OpenAI-compatible response.
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

// handle writes one effect and reports whether the response is complete.
func (c *completionWriter) handle(e core.Effect) bool {
	switch e := e.(type) {
	case core.Deliver:
		c.deliver(strings.Join(e.Tokens, ""))
		return false
	case core.Finish:
		c.finish(e)
		return true
	case core.Refuse:
		c.refuse(e)
		return true
	default:
		return false
	}
}

func (c *completionWriter) deliver(text string) {
	if !c.modelRequest.stream {
		c.text.WriteString(text)
		return
	}
	c.writeEvent(c.completion(c.streamChoice(text, nil)))
}

// streamChoice returns the choice of one event in a stream.
func (c *completionWriter) streamChoice(text string, finish *string) choice {
	if c.modelRequest.chat {
		return choice{Delta: &chatMessage{Role: "assistant", Content: text}, Finish: finish}
	}
	return choice{Text: &text, Finish: finish}
}

func (c *completionWriter) completion(ch choice) completion {
	object := "text_completion"
	switch {
	case c.modelRequest.chat && c.modelRequest.stream:
		object = "chat.completion.chunk"
	case c.modelRequest.chat:
		object = "chat.completion"
	}
	return completion{ID: c.request, Object: object, Model: c.modelRequest.route, Choices: []choice{ch}}
}

func (c *completionWriter) finish(e core.Finish) {
	u := &usage{
		PromptTokens: e.PromptTokens, CompletionTokens: e.OutputTokens,
		TotalTokens: e.PromptTokens + e.OutputTokens,
	}
	if c.modelRequest.stream {
		last := c.completion(c.streamChoice("", &e.Finish))
		last.Usage = u
		c.writeEvent(last)
		c.writeStream("data: [DONE]\n\n")
		return
	}
	text := c.text.String()
	ch := choice{Text: &text, Finish: &e.Finish}
	if c.modelRequest.chat {
		ch = choice{Message: &chatMessage{Role: "assistant", Content: text}, Finish: &e.Finish}
	}
	resp := c.completion(ch)
	resp.Usage = u
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set(headerRequest, string(c.request))
	_ = json.NewEncoder(c.w).Encode(resp)
}

// refuse reports a refusal. If the stream has already started, the refusal is
// sent as an event and the stream ends without the [DONE] marker.
func (c *completionWriter) refuse(e core.Refuse) {
	if !c.started {
		writeRefusal(c.w, e)
		return
	}
	c.writeEvent(errorBody{Error: toAPIError(e)})
}

func (c *completionWriter) writeEvent(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	c.writeStream("data: " + string(data) + "\n\n")
}

func (c *completionWriter) writeStream(text string) {
	if !c.started {
		c.started = true
		h := c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(headerRequest, string(c.request))
		c.w.WriteHeader(http.StatusOK)
	}
	_, _ = c.w.Write([]byte(text))
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}
