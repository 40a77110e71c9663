package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/schedule"
)

// Prefill starts a prefill.
func (c *Client) Prefill(e core.StartPrefill) {
	ctx, r := c.begin(e.Request, e.Attempt, e.Timeout)
	go func() {
		defer c.finish(r)
		c.prefill(ctx, e)
	}()
}

func (c *Client) prefill(ctx context.Context, e core.StartPrefill) {
	item, ok := c.store.Get(e.Request)
	if !ok || c.clock.Now().After(e.NotAfter) {
		c.fail(e.Request, e.Attempt, e.Endpoint, callError{code: codeLate, notRun: true})
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
		c.fail(e.Request, e.Attempt, e.Endpoint, classify(err))
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.fail(e.Request, e.Attempt, e.Endpoint, engineError(resp))
		return
	}
	var reply engine.PrefillReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLine)).Decode(&reply); err != nil || reply.KV == "" {
		c.fail(e.Request, e.Attempt, e.Endpoint, callError{code: codeNonsense})
		return
	}
	c.poster.Post(core.PrefillDone{
		Request: e.Request, Attempt: e.Attempt, KV: reply.KV, CachedTokens: reply.CachedTokens,
	})
}

// Decode starts a decode and reads its tokens.
func (c *Client) Decode(e core.StartDecode) {
	ctx, r := c.begin(e.Request, e.Attempt, 0)
	go func() {
		defer c.finish(r)
		resp, err := c.post(ctx, "http://"+e.Address+"/v1/decode", engine.DecodeRequest{
			Request: e.Request, Attempt: e.Attempt, Model: e.Model, KV: e.KV, Source: e.Source,
			PromptTokens: e.Tokens, From: e.From, MaxTokens: e.MaxTokens, Priority: e.Priority,
		})
		c.stream(ctx, e.Request, e.Attempt, e.Endpoint, resp, err)
	}()
}

// Resume reads a broken stream again.
func (c *Client) Resume(e core.ResumeDecode) {
	ctx, r := c.begin(e.Request, e.Attempt, 0)
	go func() {
		defer c.finish(r)
		u := fmt.Sprintf("%s?from=%d", runURL(e.Address, e.Request, e.Attempt), e.From)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
		if err != nil {
			c.fail(e.Request, e.Attempt, e.Endpoint, callError{code: codeNonsense})
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
		c.fail(req, attempt, ep, classify(err))
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.fail(req, attempt, ep, engineError(resp))
		return
	}
	ended := c.readChunks(req, attempt, resp.Body)
	if ended {
		c.drainBody(resp.Body)
		return
	}
	if ctx.Err() == nil {
		c.fail(req, attempt, ep, callError{code: codeBroken})
	}
}

// drainBody reads a stream to its end, so that its connection can be used
// again. An engine that does not end the stream soon loses the connection.
func (c *Client) drainBody(body io.ReadCloser) {
	timer := c.clock.AfterFunc(drainTimeout, func() { body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxLine))
}

// readChunks posts the chunks of a stream and returns whether the end marker
// has come. It does not read past the marker.
func (c *Client) readChunks(req id.Request, attempt id.Attempt, body io.Reader) bool {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxLine)
	for sc.Scan() {
		var ch engine.Chunk
		if err := json.Unmarshal(sc.Bytes(), &ch); err != nil || ch.Offset < 0 {
			return false
		}
		c.poster.Post(core.TokensArrived{
			Request: req, Attempt: attempt, Offset: ch.Offset,
			Tokens: ch.Tokens, End: ch.End, Finish: ch.Finish,
		})
		if ch.End {
			return true
		}
	}
	return false
}

// Poll reads the load report and the cache events of an engine.
func (c *Client) Poll(e core.PollLoad) {
	go func() {
		var load engine.Load
		if !c.getJSON("http://"+e.Address+"/v1/load", &load) {
			return
		}
		c.poster.Post(core.LoadReported{Report: report(e.Endpoint, load)})
		var events engine.CacheEvents
		if !c.getJSON(fmt.Sprintf("http://%s/v1/cache-events?after=%d", e.Address, e.After), &events) {
			return
		}
		for _, ev := range events.Events {
			c.poster.Post(core.CacheChanged{Endpoint: e.Endpoint, Seq: ev.Seq, Prefix: ev.Prefix, Evicted: ev.Evicted})
		}
	}()
}

func report(ep id.Endpoint, l engine.Load) schedule.Report {
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
	return json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(out) == nil
}

// Order sends an order to an engine.
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
		ev.Done = resp.StatusCode < http.StatusMultipleChoices
		if !ev.Done {
			ev.Stale = engineError(resp).code == engine.CodeStaleFence
		}
	}()
}
