package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"ragwortshunt.example/load/internal/check"
	"ragwortshunt.example/load/internal/workload"
)

const (
	completionsPath = "/v1/completions"
	maxEvent        = 1 << 20 // bytes in one event
	dataPrefix      = "data:"
	doneMark        = "[DONE]"
)

// completionRequest is the body of a completion call.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// completionEvent is one event of a stream. A router reports a failure in the
// middle of a stream as an event with an error.
type completionEvent struct {
	errorBody
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// wrongError tells that an answer is not what it must be.
type wrongError struct{ err error }

// Error returns the text of the cause.
func (e *wrongError) Error() string { return e.err.Error() }

// errNoEnd tells that a stream ended without its end mark.
var errNoEnd = errors.New("stream ended without " + doneMark)

// errEvent tells that a router reported a failure in the middle of a stream.
var errEvent = errors.New("error event")

func (c *Client) completion(ctx context.Context, r workload.Request) Result {
	body, err := json.Marshal(completionRequest{
		Model:     r.Flow.Route,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Stream:    true,
	})
	if err != nil {
		return failed(ctx, Result{}, fmt.Errorf("encode request: %w", err))
	}
	start := time.Now()
	resp, router, err := c.send(ctx, r, completionsPath, "", func() io.Reader { return bytes.NewReader(body) })
	if err != nil {
		return failed(ctx, Result{Router: router}, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failed(ctx, Result{RequestID: resp.Header.Get(headerRequest), Router: router}, readRefusal(resp))
	}
	s := &stream{check: check.New(r.Prompt, r.MaxTokens), start: start}
	s.result.RequestID = resp.Header.Get(headerRequest)
	s.result.Router = router
	err = s.read(resp.Body)
	return s.end(ctx, err)
}

// readRefusal reads an error reply.
func readRefusal(resp *http.Response) error {
	var body errorBody
	err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&body)
	if err != nil || body.Error == nil {
		return &refusedError{Code: fmt.Sprintf("status-%d", resp.StatusCode), Message: "no error body"}
	}
	return body.Error
}

// stream follows one streamed answer.
type stream struct {
	check  *check.Answer
	start  time.Time
	last   time.Time // arrival of the last token
	result Result
	finish string
}

// read reads events up to the end mark.
func (s *stream) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMark {
			return nil
		}
		if err := s.event(data, time.Now()); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return errNoEnd
}

func (s *stream) event(data []byte, now time.Time) error {
	var e completionEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return &wrongError{fmt.Errorf("event is not JSON: %w", err)}
	}
	if e.Error != nil {
		s.result.Code = e.Error.Code
		s.result.NotRun = e.Error.NotRun
		return fmt.Errorf("%w: %s", errEvent, e.Error.Error())
	}
	for _, choice := range e.Choices {
		before := s.check.Tokens()
		if err := s.check.Add(choice.Text); err != nil {
			return &wrongError{err}
		}
		s.time(s.check.Tokens()-before, now)
		if choice.FinishReason != "" {
			s.finish = choice.FinishReason
		}
	}
	return nil
}

// time notes the arrival of n tokens at once. Each counts with an equal part of
// the time since the previous arrival.
func (s *stream) time(n int64, now time.Time) {
	if n == 0 {
		return
	}
	if s.last.IsZero() {
		s.result.FirstToken = now.Sub(s.start)
		s.last = now
		n--
	}
	for range n {
		s.result.Gaps = append(s.result.Gaps, now.Sub(s.last)/time.Duration(n))
	}
	s.last = now
	s.result.LastToken = now.Sub(s.start)
}

// end returns the result of a stream that ended with err, or with the end mark.
func (s *stream) end(ctx context.Context, err error) Result {
	if err == nil {
		if short := s.check.End(s.finish); short != nil {
			err = &wrongError{short}
		}
	}
	s.result.Tokens = s.check.Tokens()
	if err == nil {
		s.result.Status = Whole
		return s.result
	}
	var wrong *wrongError
	if errors.As(err, &wrong) {
		s.result.Status = Wrong
		s.result.Detail = wrong.Error()
		return s.result
	}
	return failed(ctx, s.result, err)
}
