package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/schedule"
	"ragwortshunt.example/platform/exchange"
)

// Prefill starts a prefill on an engine. The result is core.PrefillDone or
// core.RunFailed.
func (c *Client) Prefill(e core.StartPrefill) {
	ctx, call := c.beginCall(e.Request, e.Attempt, e.Timeout)
	go func() {
		defer c.finishCall(call)
		c.prefill(ctx, e)
	}()
}

func (c *Client) prefill(ctx context.Context, e core.StartPrefill) {
	item, ok := c.store.Get(e.Request)
	if !ok || c.clock.Now().After(e.NotAfter) {
		c.postFailure(e.Request, e.Attempt, e.Endpoint, callError{code: codeNotStarted, notRun: true})
		return
	}
	body := engine.PrefillRequest{
		Request: e.Request, Attempt: e.Attempt, Model: e.Model, Prompt: item.Prompt,
		PromptTokens: e.Tokens, Priority: e.Priority,
	}
	if e.Output > 0 {
		body.Output = item.Output()
	}
	resp, err := c.post(ctx, "http://"+e.Address+"/v1/prefill", body)
	if err != nil {
		c.postFailure(e.Request, e.Attempt, e.Endpoint, classify(err))
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.postFailure(e.Request, e.Attempt, e.Endpoint, engineError(resp))
		return
	}
	var reply engine.PrefillReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(&reply); err != nil || reply.KV == "" {
		c.postFailure(e.Request, e.Attempt, e.Endpoint, callError{code: codeInvalidReply})
		return
	}
	c.poster.Post(core.PrefillDone{
		Request: e.Request, Attempt: e.Attempt, KV: reply.KV, CachedTokens: reply.CachedTokens,
	})
}

// Decode starts a decode on an engine and posts its tokens as they arrive.
func (c *Client) Decode(e core.StartDecode) {
	ctx, call := c.beginCall(e.Request, e.Attempt, 0)
	go func() {
		defer c.finishCall(call)
		resp, err := c.post(ctx, "http://"+e.Address+"/v1/decode", engine.DecodeRequest{
			Request: e.Request, Attempt: e.Attempt, Model: e.Model, KV: e.KV, Source: e.Source,
			PromptTokens: e.Tokens, From: e.From, MaxTokens: e.MaxTokens, Priority: e.Priority,
		})
		c.stream(ctx, e.Request, e.Attempt, e.Endpoint, resp, err)
	}()
}

// Resume reconnects to a broken token stream, starting at an offset.
func (c *Client) Resume(e core.ResumeDecode) {
	ctx, call := c.beginCall(e.Request, e.Attempt, 0)
	go func() {
		defer c.finishCall(call)
		u := fmt.Sprintf("%s?from=%d", runURL(e.Address, e.Request, e.Attempt), e.From)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
		if err != nil {
			c.postFailure(e.Request, e.Attempt, e.Endpoint, callError{code: codeInvalidReply})
			return
		}
		resp, err := c.engines.Do(req)
		c.stream(ctx, e.Request, e.Attempt, e.Endpoint, resp, err)
	}()
}

func (c *Client) stream(
	ctx context.Context, req id.Request, attempt id.Attempt, ep id.Endpoint, resp *http.Response, err error,
) {
	if ctx.Err() != nil {
		if err == nil {
			resp.Body.Close()
		}
		return // cancelled or replaced by a later call of the attempt
	}
	if err != nil {
		c.postFailure(req, attempt, ep, classify(err))
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.postFailure(req, attempt, ep, engineError(resp))
		return
	}
	complete := c.readChunks(req, attempt, resp.Body)
	if complete {
		c.drainBody(resp.Body)
		return
	}
	if ctx.Err() == nil {
		c.postFailure(req, attempt, ep, callError{code: codeStreamBroken})
	}
}

// drainBody reads a stream to its end, so that its connection can be reused. If
// the engine does not end the stream in time, the connection is closed.
func (c *Client) drainBody(body io.ReadCloser) {
	timer := c.clock.AfterFunc(streamDrainTimeout, func() { body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxLineBytes))
}

// readChunks posts the chunks of a stream and reports whether the end marker was
// received. It does not wait for data after the marker.
func (c *Client) readChunks(req id.Request, attempt id.Attempt, body io.Reader) bool {
	lines := newLineReader(body, c.memory(req))
	defer lines.release()
	for {
		line, err := lines.next()
		if err != nil {
			return false
		}
		var chunk engine.Chunk
		if err := json.Unmarshal(line, &chunk); err != nil || chunk.Offset < 0 {
			return false
		}
		c.poster.Post(core.TokensArrived{
			Request: req, Attempt: attempt, Offset: chunk.Offset,
			Tokens: chunk.Tokens, End: chunk.End, Finish: chunk.Finish,
		})
		if chunk.End {
			return true
		}
	}
}

// memory returns the memory of a request.
func (c *Client) memory(req id.Request) *exchange.Memory {
	item, ok := c.store.Get(req)
	if !ok {
		return nil
	}
	return item.Memory
}

// Poll reads the load report and the new cache events of an engine. A failed read
// posts nothing.
func (c *Client) Poll(e core.PollLoad) {
	go func() {
		var load engine.Load
		if !c.getJSON("http://"+e.Address+"/v1/load", &load) {
			return
		}
		c.poster.Post(core.LoadReported{Report: scheduleReport(e.Endpoint, load)})
		var events engine.CacheEvents
		if !c.getJSON(fmt.Sprintf("http://%s/v1/cache-events?after=%d", e.Address, e.After), &events) {
			return
		}
		for _, ev := range events.Events {
			c.poster.Post(core.CacheChanged{Endpoint: e.Endpoint, Seq: ev.Seq, Prefix: ev.Prefix, Evicted: ev.Evicted})
		}
	}()
}

func scheduleReport(ep id.Endpoint, l engine.Load) schedule.Report {
	out := schedule.Report{
		Endpoint: ep, Running: l.Running, Slots: l.Slots,
		FreeBlocks: l.FreeBlocks, Waiting: l.Waiting, Leaving: l.Leaving,
	}
	for _, r := range l.Runs {
		out.Runs = append(out.Runs, schedule.Run{Request: r.Request, Attempt: r.Attempt})
	}
	return out
}

func (c *Client) getJSON(u string, out any) bool {
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return false
	}
	resp, err := c.engines.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	memory := c.reports.NewMemory(nil)
	defer memory.Release()
	data, err := memory.ReadReply(io.LimitReader(resp.Body, maxReportBytes), unknownLength)
	return err == nil && json.Unmarshal(data, out) == nil
}

// Order sends an order to an engine. It posts exactly one core.OrderAnswered, also
// when the order was not sent or its reply was lost.
func (c *Client) Order(e core.SendOrder) {
	go func() {
		ev := core.OrderAnswered{Endpoint: e.Endpoint, Fence: e.Order.Fence}
		defer func() { c.poster.Post(ev) }()
		if c.clock.Now().After(e.NotAfter) {
			return
		}
		ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
		defer cancel()
		resp, err := c.post(ctx, "http://"+e.Address+"/v1/orders", e.Order)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		ev.Done = resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
		if !ev.Done {
			ev.Stale = engineError(resp).code == engine.CodeStaleFence
		}
	}()
}
