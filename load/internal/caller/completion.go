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
	maxEventBytes   = 1 << 20 // bytes per event of a stream
	dataPrefix      = "data:"
	doneMarker      = "[DONE]"
)

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// completionEvent is the data of one server-sent event. A router reports a failure in
// the middle of a stream as an event that holds an error.
type completionEvent struct {
	errorBody
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// wrongError means that an answer or a reply differs from the expected one.
type wrongError struct{ err error }

// Error returns the text of the cause.
func (e *wrongError) Error() string { return e.err.Error() }

// errNoEndMarker means that a stream ended without its end marker.
var errNoEndMarker = errors.New("stream ended without " + doneMarker)

// errErrorEvent means that a router reported a failure in the middle of a stream.
var errErrorEvent = errors.New("router sent an error event")

// completion sends a completion request and reads its streamed answer.
func (c *Client) completion(ctx context.Context, r workload.Request) Result {
	body, err := json.Marshal(completionRequest{
		Model:     r.Flow.Route,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Stream:    true,
	})
	if err != nil {
		return failedResult(ctx, Result{}, fmt.Errorf("encode request: %w", err))
	}
	start := time.Now()
	resp, router, err := c.send(ctx, r, completionsPath, "", func() io.Reader { return bytes.NewReader(body) })
	if err != nil {
		return failedResult(ctx, Result{Router: router}, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failedResult(ctx, Result{RequestID: resp.Header.Get(headerRequestID), Router: router}, readRefusal(resp))
	}
	s := &stream{check: check.New(r.Prompt, r.MaxTokens), start: start}
	s.result.RequestID = resp.Header.Get(headerRequestID)
	s.result.Router = router
	err = s.read(resp.Body)
	return s.finalResult(ctx, err)
}

// readRefusal reads the error from a reply. Without a valid error body it derives the
// code from the HTTP status.
func readRefusal(resp *http.Response) error {
	var body errorBody
	err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&body)
	if err != nil || body.Error == nil {
		return &refusedError{Code: fmt.Sprintf("status-%d", resp.StatusCode), Message: "reply has no error body"}
	}
	return body.Error
}

// stream reads and verifies one streamed answer.
type stream struct {
	check       *check.Answer
	start       time.Time // when the request was sent
	lastArrival time.Time // of a token; zero before the first
	result      Result
	finish      string // finish reason; empty until received
}

// read reads events up to the end marker.
func (s *stream) read(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMarker {
			return nil
		}
		if err := s.handleEvent(data, time.Now()); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return errNoEndMarker
}

// handleEvent verifies the text of one event and records the arrival of its tokens.
func (s *stream) handleEvent(data []byte, now time.Time) error {
	var e completionEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return &wrongError{fmt.Errorf("event is not JSON: %w", err)}
	}
	if e.Error != nil {
		s.result.Code = e.Error.Code
		s.result.NotRun = e.Error.NotRun
		return fmt.Errorf("%w: %s", errErrorEvent, e.Error.Error())
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

// time records that n tokens arrived together. The time since the previous
// arrival is divided equally among them.
func (s *stream) time(n int64, now time.Time) {
	if n == 0 {
		return
	}
	if s.lastArrival.IsZero() {
		s.result.FirstToken = now.Sub(s.start)
		s.lastArrival = now
		n--
	}
	for range n {
		s.result.Gaps = append(s.result.Gaps, now.Sub(s.lastArrival)/time.Duration(n))
	}
	s.lastArrival = now
	s.result.LastToken = now.Sub(s.start)
}

// finalResult returns the result of a stream. err is nil if the stream ended with the end
// marker.
func (s *stream) finalResult(ctx context.Context, err error) Result {
	if err == nil {
		if checkErr := s.check.End(s.finish); checkErr != nil {
			err = &wrongError{checkErr}
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
	return failedResult(ctx, s.result, err)
}
