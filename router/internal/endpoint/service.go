package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/platform/exchange"
	"ragwortshunt.example/router/internal/inflight"
)

// maxOutcomeBytes limits the size of a reply that is recorded with a claim. A
// larger reply is not recorded; a retry of the call is then refused with the
// message that the call has run.
const maxOutcomeBytes = 2048

// smallReplyBytes is the size from which on a reply needs memory of its request. Smaller replies are
// recorded also if the caller has gone, and the memory of the request has been released.
const smallReplyBytes = 4 << 10

// unknownLength is the length of a body that is read to its end.
const unknownLength = -1

// errReplyTooLarge is returned for a reply that exceeds maxReplyBytes.
var errReplyTooLarge = fmt.Errorf("%w: reply is too large", ErrEndpoint)

// Call sends a caller's call to a plain service. The result is core.ServiceDone or
// core.RunFailed.
func (c *Client) Call(e core.CallService) {
	ctx, call := c.beginCall(e.Request, e.Attempt, e.Timeout)
	go func() {
		defer c.finishCall(call)
		c.callService(ctx, e)
	}()
}

func (c *Client) callService(ctx context.Context, e core.CallService) {
	item, ok := c.store.Get(e.Request)
	if !ok || item.Call == nil || c.clock.Now().After(e.NotAfter) {
		c.postFailure(e.Request, e.Attempt, e.Endpoint, callError{code: codeNotStarted, notRun: true})
		return
	}
	ctx = context.WithValue(ctx, notAfterKey{}, e.NotAfter)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := serviceRequest(ctx, e, item.Call)
	if err != nil {
		c.postFailure(e.Request, e.Attempt, e.Endpoint, callError{code: codeInvalidReply, notRun: true})
		return
	}
	resp, err := c.services.Do(req)
	if err != nil {
		callErr := classify(err)
		callErr.notRun = !connected.Load()
		c.postFailure(e.Request, e.Attempt, e.Endpoint, callErr)
		return
	}
	defer resp.Body.Close()
	c.handleServiceReply(e, item, resp)
}

func serviceRequest(ctx context.Context, e core.CallService, call *inflight.Call) (*http.Request, error) {
	u := "http://" + e.Address + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, u, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // without it, net/http cannot resend the body in a silent retry
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(engine.HeaderRequest, string(e.Request))
	req.Header.Set(engine.HeaderAttempt, strconv.FormatUint(uint64(e.Attempt), 10))
	return req, nil
}

func (c *Client) handleServiceReply(e core.CallService, item *inflight.Item, resp *http.Response) {
	statesNotRun := resp.Header.Get(engine.HeaderNotRun) == "true"
	if statesNotRun && resp.StatusCode >= http.StatusBadRequest {
		c.postFailure(e.Request, e.Attempt, e.Endpoint, callError{code: codeRefused, notRun: true})
		return
	}
	if statesNotRun || resp.StatusCode < http.StatusOK {
		c.postFailure(e.Request, e.Attempt, e.Endpoint, callError{code: codeInvalidReply})
		return
	}
	body, err := readReply(resp, item.Memory)
	done := core.ServiceDone{Request: e.Request, Attempt: e.Attempt, Status: resp.StatusCode}
	switch {
	case errors.Is(err, exchange.ErrMemory): // the call has run, and its reply is not kept
	case err != nil:
		c.postFailure(e.Request, e.Attempt, e.Endpoint, callError{code: codeStreamBroken})
		return
	default:
		reply := &inflight.Reply{Status: resp.StatusCode, Header: forwardedHeader(resp.Header), Body: body}
		item.SetReply(reply)
		done.Outcome = recordedOutcome(e, reply)
	}
	c.poster.Post(done)
}

// readReply reads the body of a reply. If there is no memory for it, readReply reads it to its end
// and returns exchange.ErrMemory. Any other error means that the reply is not complete or too large.
func readReply(resp *http.Response, m *exchange.Memory) ([]byte, error) {
	rest := &io.LimitedReader{R: resp.Body, N: maxReplyBytes + 1}
	body, err := io.ReadAll(io.LimitReader(rest, smallReplyBytes))
	if err == nil && len(body) == smallReplyBytes {
		body, err = m.ReadReply(io.MultiReader(bytes.NewReader(body), rest), unknownLength)
	}
	if errors.Is(err, exchange.ErrMemory) {
		if _, copyErr := io.Copy(io.Discard, rest); copyErr != nil {
			return nil, copyErr
		}
	}
	switch {
	case rest.N <= 0:
		return nil, errReplyTooLarge
	case err == nil && len(body) == 0 && isUnframed(resp):
		return nil, io.ErrUnexpectedEOF
	}
	return body, err
}

// isUnframed reports whether the body of a reply has neither a length nor chunks, so that it
// ends with its connection. If it is empty, the crash of the service looks the same.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

// forwardedHeader returns the headers of a service's reply that callers receive.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

func recordedOutcome(e core.CallService, reply *inflight.Reply) []byte {
	if !e.Repeat {
		return nil
	}
	data, err := json.Marshal(reply)
	if err != nil || len(data) > maxOutcomeBytes {
		return nil
	}
	return data
}
