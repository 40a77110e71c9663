package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/router/internal/inflight"
)

// maxOutcome bounds the reply that is kept with a claim, in bytes. A larger one
// is not kept; a repeat of the call is then told that the call has run.
const maxOutcome = 2048

// Call sends a caller's call to a plain service.
func (c *Client) Call(e core.CallService) {
	ctx, r := c.begin(e.Request, e.Attempt, e.Timeout)
	go func() {
		defer c.finish(r)
		c.call(ctx, e)
	}()
}

func (c *Client) call(ctx context.Context, e core.CallService) {
	item, ok := c.store.Get(e.Request)
	if !ok || item.Call == nil || c.clock.Now().After(e.NotAfter) {
		c.fail(e.Request, e.Attempt, e.Endpoint, callError{code: codeLate, notRun: true})
		return
	}
	ctx = context.WithValue(ctx, notAfterKey{}, e.NotAfter)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := serviceRequest(ctx, e, item.Call)
	if err != nil {
		c.fail(e.Request, e.Attempt, e.Endpoint, callError{code: codeNonsense, notRun: true})
		return
	}
	resp, err := c.services.Do(req)
	if err != nil {
		failed := classify(err)
		failed.notRun = !connected.Load()
		c.fail(e.Request, e.Attempt, e.Endpoint, failed)
		return
	}
	defer resp.Body.Close()
	c.serviceReply(e, item, resp)
}

func serviceRequest(ctx context.Context, e core.CallService, call *inflight.Call) (*http.Request, error) {
	u := "http://" + e.Address + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, u, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // a body that can be read again would allow a silent repetition
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(engine.HeaderRequest, string(e.Request))
	req.Header.Set(engine.HeaderAttempt, strconv.FormatUint(uint64(e.Attempt), 10))
	return req, nil
}

func (c *Client) serviceReply(e core.CallService, item *inflight.Item, resp *http.Response) {
	if resp.Header.Get(engine.HeaderNotRun) == "true" {
		c.fail(e.Request, e.Attempt, e.Endpoint, callError{code: codeRefused, notRun: true})
		return
	}
	if resp.StatusCode < http.StatusOK {
		c.fail(e.Request, e.Attempt, e.Endpoint, callError{code: codeNonsense})
		return
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if err != nil || len(body) > maxReply {
		c.fail(e.Request, e.Attempt, e.Endpoint, callError{code: codeBroken})
		return
	}
	reply := &inflight.Reply{Status: resp.StatusCode, Header: keptHeader(resp.Header), Body: body}
	item.SetReply(reply)
	c.poster.Post(core.ServiceDone{
		Request: e.Request, Attempt: e.Attempt, Status: resp.StatusCode, Outcome: outcome(e, reply),
	})
}

// keptHeader returns the headers of a service's reply that callers receive.
func keptHeader(h http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

func outcome(e core.CallService, reply *inflight.Reply) []byte {
	if !e.Repeat {
		return nil
	}
	data, err := json.Marshal(reply)
	if err != nil || len(data) > maxOutcome {
		return nil
	}
	return data
}
