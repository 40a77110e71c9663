package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	protocol "ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/standin/answer"
	"ragwortshunt.example/standin/internal/engine"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/record"
	"ragwortshunt.example/standin/internal/settings"
)

const (
	prompt       = "a prompt of some words that fill the first block of it"
	promptTokens = 12
	never        = time.Hour // longer than any test takes
)

// enginePair is a prefill engine and a decode engine that share faults and records.
type enginePair struct {
	t       *testing.T
	prefill string // host:port
	decode  string // host:port
	faults  *fault.Injector
	records *record.Store
}

// start starts two engines with the same settings. It first applies change to the
// settings, unless change is nil.
func start(t *testing.T, change func(cfg *settings.Engine)) enginePair {
	p := enginePair{t: t, faults: fault.New(), records: record.New()}
	cfg := settings.Engine{
		Slots:        4,
		Blocks:       100,
		BlockTokens:  4,
		PrefillRate:  1_000_000,
		TokenTime:    time.Millisecond,
		KVSurvival:   never,
		CacheEntries: 2,
		Fencing:      table.FencingChecked,
	}
	if change != nil {
		change(&cfg)
	}
	p.prefill = p.add(cfg, "prefill", table.RolePrefill)
	p.decode = p.add(cfg, "decode", table.RoleDecode)
	return p
}

func (p enginePair) add(cfg settings.Engine, name id.Endpoint, role table.Role) string {
	cfg.Name = name
	cfg.Role = role
	e := engine.New(cfg, p.faults, p.records)
	server := httptest.NewServer(e.Handler())
	p.t.Cleanup(func() {
		e.Close()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func (p enginePair) send(ctx context.Context, method, url string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	assert.NilError(p.t, err)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(data))
	assert.NilError(p.t, err)
	return http.DefaultClient.Do(req)
}

// callError makes a call and returns the error in the reply without its message, or
// the zero value if the call succeeds.
func (p enginePair) callError(method, url string, body any) protocol.Error {
	resp, err := p.send(context.Background(), method, url, body)
	assert.NilError(p.t, err)
	defer resp.Body.Close()
	var out protocol.Error
	if resp.StatusCode >= http.StatusBadRequest {
		assert.NilError(p.t, json.NewDecoder(resp.Body).Decode(&out))
	}
	out.Message = ""
	return out
}

// runPrefill runs a prefill and returns the ID of its KV cache.
func (p enginePair) runPrefill(request id.Request, output string) string {
	params := protocol.PrefillRequest{Request: request, Attempt: 1, Prompt: prompt, Output: output, PromptTokens: promptTokens}
	resp, err := p.send(context.Background(), "POST", p.prefill+"/v1/prefill", params)
	assert.NilError(p.t, err)
	defer resp.Body.Close()
	assert.Equal(p.t, resp.StatusCode, http.StatusOK)
	var reply protocol.PrefillReply
	assert.NilError(p.t, json.NewDecoder(resp.Body).Decode(&reply))
	return reply.KV
}

// decodeRequest returns a request for at most ten output tokens.
func (p enginePair) decodeRequest(request id.Request, kv string, from int64) protocol.DecodeRequest {
	return protocol.DecodeRequest{
		Request: request, Attempt: 1, KV: kv, Source: p.prefill, PromptTokens: promptTokens, From: from, MaxTokens: 10,
	}
}

// readChunks makes a call and reads the stream until it ends or breaks.
func (p enginePair) readChunks(method, url string, body any) ([]protocol.Chunk, error) {
	resp, err := p.send(context.Background(), method, url, body)
	assert.NilError(p.t, err)
	defer resp.Body.Close()
	assert.Equal(p.t, resp.StatusCode, http.StatusOK)
	var out []protocol.Chunk
	decoder := json.NewDecoder(resp.Body)
	for {
		var c protocol.Chunk
		err := decoder.Decode(&c)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, c)
	}
}

// wantChunks returns the expected chunks of the answer from an offset.
func wantChunks(from int64) []protocol.Chunk {
	var out []protocol.Chunk
	for i := from; i < 10; i++ {
		out = append(out, protocol.Chunk{Offset: i, Tokens: []string{answer.Token(prompt, i)}})
	}
	return append(out, protocol.Chunk{Offset: 10, End: true, Finish: answer.FinishLength})
}

func (p enginePair) load(address string) protocol.Load {
	resp, err := p.send(context.Background(), "GET", address+"/v1/load", nil)
	assert.NilError(p.t, err)
	defer resp.Body.Close()
	var load protocol.Load
	assert.NilError(p.t, json.NewDecoder(resp.Body).Decode(&load))
	return load
}

// waitForLoad polls the load of an engine until ok accepts it.
func (p enginePair) waitForLoad(address string, ok func(l protocol.Load) bool) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if load := p.load(address); !ok(load) {
			return poll.Continue("load is %+v", load)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
}

// idle reports whether an engine has no runs and all of its KV blocks are free.
func idle(l protocol.Load) bool { return l.Running == 0 && l.FreeBlocks == 100 && len(l.Runs) == 0 }

// TestWholeAnswer guards against answers that differ from those of the package
// answer, and against slots and KV blocks that are not freed after a run.
func TestWholeAnswer(t *testing.T) {
	p := start(t, nil)
	got, err := p.readChunks("POST", p.decode+"/v1/decode", p.decodeRequest("r", p.runPrefill("r", ""), 0))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, wantChunks(0))
	p.waitForLoad(p.prefill, idle)
	p.waitForLoad(p.decode, idle)
	runs := p.records.Runs("r")
	assert.Equal(t, len(runs), 2)
	assert.Equal(t, runs[0].KV, record.KVDecoded)
	assert.Equal(t, runs[0].Prefilled, int64(promptTokens))
	assert.Equal(t, runs[1].Outcome, record.EndFinished)
	assert.Equal(t, runs[1].Tokens, int64(10))
}

// TestResume guards against output that cannot be read from an offset after a
// stream has broken.
func TestResume(t *testing.T) {
	p := start(t, nil)
	assert.NilError(t, p.faults.Apply(fault.Fault{Target: "decode", Kind: fault.BreakStream, Value: 3, Count: 1}))
	got, err := p.readChunks("POST", p.decode+"/v1/decode", p.decodeRequest("r", p.runPrefill("r", ""), 0))
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, got, wantChunks(0)[:3])
	got, err = p.readChunks("GET", p.decode+"/v1/runs/r/1?from=3", nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, wantChunks(3))
	assert.Equal(t, p.callError("GET", p.decode+"/v1/runs/r/2?from=3", nil).Code, protocol.CodeNoRun)
}

// TestContinuedAttempt guards against a decode run that starts at an offset other than
// the end of the output in its KV cache, or uses the KV cache of another request.
func TestContinuedAttempt(t *testing.T) {
	p := start(t, nil)
	output := answer.For(prompt).Text(4)
	got, err := p.readChunks("POST", p.decode+"/v1/decode", p.decodeRequest("r", p.runPrefill("r", output), 4))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, wantChunks(4))
	rejected := protocol.Error{Code: protocol.CodeBadRequest, NotRun: true}
	assert.Equal(t, p.callError("POST", p.decode+"/v1/decode", p.decodeRequest("s", p.runPrefill("s", output), 3)), rejected)
	assert.Equal(t, p.callError("POST", p.decode+"/v1/decode", p.decodeRequest("other", p.runPrefill("u", ""), 0)), rejected)
}

// TestKVExpiry guards against KV caches that can be fetched, or occupy KV blocks,
// after their survival time.
func TestKVExpiry(t *testing.T) {
	p := start(t, func(cfg *settings.Engine) { cfg.KVSurvival = time.Millisecond })
	kv := p.runPrefill("r", "")
	p.waitForLoad(p.prefill, idle)
	lost := protocol.Error{Code: protocol.CodeKVLost, NotRun: true}
	assert.Equal(t, p.callError("POST", p.decode+"/v1/decode", p.decodeRequest("r", kv, 0)), lost)
	assert.Equal(t, p.records.Runs("r")[0].KV, record.KVWasted)
	p.waitForLoad(p.decode, idle)
}

// TestFullAndCancel guards against admission beyond the slots or KV blocks, against
// cancelled runs that keep their slot or end their stream like complete ones, and
// against a leaving engine that accepts work.
func TestFullAndCancel(t *testing.T) {
	p := start(t, func(cfg *settings.Engine) {
		cfg.Slots = 1
		cfg.TokenTime = never
	})
	full := protocol.Error{Code: protocol.CodeFull, NotRun: true}
	big := protocol.PrefillRequest{Request: "big", Attempt: 1, Prompt: prompt, PromptTokens: 401}
	assert.Equal(t, p.callError("POST", p.prefill+"/v1/prefill", big), full)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := p.send(ctx, "POST", p.decode+"/v1/decode", p.decodeRequest("r", p.runPrefill("r", ""), 0))
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.DeepEqual(t, p.load(p.decode).Runs, []protocol.Run{{Request: "r", Attempt: 1}})
	kv := p.runPrefill("s", "")
	assert.Equal(t, p.callError("POST", p.decode+"/v1/decode", p.decodeRequest("s", kv, 0)), full)
	assert.Equal(t, p.callError("DELETE", p.decode+"/v1/runs/r/1", nil), protocol.Error{})
	assert.Assert(t, idle(p.load(p.decode)))
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "a cancelled stream must not end like a complete one")
	assert.NilError(t, p.faults.Apply(fault.Fault{Target: "decode", Kind: fault.Leaving}))
	leaving := protocol.Error{Code: protocol.CodeLeaving, NotRun: true}
	assert.Equal(t, p.callError("POST", p.decode+"/v1/decode", p.decodeRequest("s", kv, 0)), leaving)
}

// TestOrphan guards against a decode run that keeps its slot forever after its
// last reader has disconnected.
func TestOrphan(t *testing.T) {
	t.Parallel()
	p := start(t, func(cfg *settings.Engine) { cfg.TokenTime = never })
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := p.send(ctx, "POST", p.decode+"/v1/decode", p.decodeRequest("r", p.runPrefill("r", ""), 0))
	assert.NilError(t, err)
	defer resp.Body.Close()
	cancel()
	p.waitForLoad(p.decode, idle)
	assert.Equal(t, p.records.Runs("r")[1].Outcome, record.EndOrphaned)
}

// TestStalledTransfer guards against a stalled KV cache transfer that cannot be
// cancelled, or that keeps slots or KV blocks after its cancellation.
func TestStalledTransfer(t *testing.T) {
	p := start(t, nil)
	assert.NilError(t, p.faults.Apply(fault.Fault{Target: "prefill", Kind: fault.StallTransfer}))
	kv := p.runPrefill("r", "")
	done := make(chan protocol.Error)
	go func() { done <- p.callError("POST", p.decode+"/v1/decode", p.decodeRequest("r", kv, 0)) }()
	p.waitForLoad(p.decode, func(l protocol.Load) bool { return l.Running == 1 })
	p.callError("DELETE", p.decode+"/v1/runs/r/1", nil)
	p.callError("DELETE", p.prefill+"/v1/runs/r/1", nil)
	assert.Equal(t, (<-done).Code, protocol.CodeCancelled)
	p.waitForLoad(p.decode, idle)
	p.waitForLoad(p.prefill, idle)
}

// TestPrefillPriority guards against queued prefills that run in order of arrival
// instead of priority.
func TestPrefillPriority(t *testing.T) {
	p := start(t, func(cfg *settings.Engine) {
		cfg.PrefillRate = 1000
		cfg.Blocks = 1_000_000
	})
	done := make(chan protocol.Error, 3)
	add := func(request id.Request, priority int, tokens int64) {
		params := protocol.PrefillRequest{Request: request, Attempt: 1, Prompt: string(request), PromptTokens: tokens, Priority: priority}
		before := len(p.load(p.prefill).Runs)
		go func() { done <- p.callError("POST", p.prefill+"/v1/prefill", params) }()
		p.waitForLoad(p.prefill, func(l protocol.Load) bool { return len(l.Runs) > before })
	}
	add("first", 0, 3_600_000)
	add("late", 2, 1)
	add("early", 1, 1)
	p.callError("DELETE", p.prefill+"/v1/runs/first/1", nil)
	for range 3 {
		<-done
	}
	ends := map[id.Request]time.Time{}
	for _, r := range p.records.Runs("") {
		ends[r.Request] = r.End
	}
	assert.Assert(t, ends["early"].Before(ends["late"]))
}

// TestFencing guards against engines that apply orders with a stale fencing token
// although they check tokens, and against engines that check them although their
// settings say that tokens are ignored.
func TestFencing(t *testing.T) {
	order := func(fence uint64) protocol.Order {
		return protocol.Order{Fence: fence, Kind: "role", Role: "decode"}
	}
	stale := protocol.Error{Code: protocol.CodeStaleFence, NotRun: true}
	for fencing, want := range map[table.Fencing]protocol.Error{table.FencingChecked: stale, table.FencingIgnored: {}} {
		p := start(t, func(cfg *settings.Engine) { cfg.Fencing = fencing })
		assert.Equal(t, p.callError("POST", p.decode+"/v1/orders", order(5)), protocol.Error{})
		assert.Equal(t, p.callError("POST", p.decode+"/v1/orders", order(5)), protocol.Error{})
		assert.Equal(t, p.callError("POST", p.decode+"/v1/orders", order(4)), want)
		orders := p.records.Orders()
		assert.Equal(t, orders[2].Accepted, want == protocol.Error{})
	}
}

// TestReportLag guards against load reports that show changes before the report lag
// has passed.
func TestReportLag(t *testing.T) {
	p := start(t, func(cfg *settings.Engine) { cfg.ReportLag = never })
	p.runPrefill("r", "")
	assert.Assert(t, idle(p.load(p.prefill)))
}

// TestCacheEvents guards against cache events without evictions or without the
// gaps that lost events leave in the sequence numbers.
func TestCacheEvents(t *testing.T) {
	p := start(t, nil)
	for i := range 6 {
		params := protocol.PrefillRequest{
			Request: "r", Attempt: id.Attempt(i + 1), Prompt: fmt.Sprintf("%d b c d", i), PromptTokens: 4,
		}
		assert.Equal(t, p.callError("POST", p.prefill+"/v1/prefill", params), protocol.Error{})
	}
	resp, err := p.send(context.Background(), "GET", p.prefill+"/v1/cache-events?after=4", nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var got protocol.CacheEvents
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&got))
	prefix := func(i int) uint64 { return answer.Prefix(fmt.Sprintf("%d b c d", i), 4) }
	assert.DeepEqual(t, got.Events, []protocol.CacheEvent{
		{Seq: 5, Prefix: prefix(3)},
		{Seq: 6, Prefix: prefix(1), Evicted: true},
		{Seq: 7, Prefix: prefix(4)},
		{Seq: 8, Prefix: prefix(2), Evicted: true},
		{Seq: 9, Prefix: prefix(5)},
	})
}

// TestChunkFaults guards against lost or spurious chunks when the faults
// DuplicateChunks and ReorderChunks are combined.
func TestChunkFaults(t *testing.T) {
	p := start(t, nil)
	assert.NilError(t, p.faults.Apply(fault.Fault{Target: "decode", Kind: fault.DuplicateChunks}))
	assert.NilError(t, p.faults.Apply(fault.Fault{Target: "decode", Kind: fault.ReorderChunks}))
	got, err := p.readChunks("POST", p.decode+"/v1/decode", p.decodeRequest("r", p.runPrefill("r", ""), 0))
	assert.NilError(t, err)
	var offsets []int64
	for _, c := range got {
		offsets = append(offsets, c.Offset)
	}
	assert.DeepEqual(t, offsets, []int64{1, 1, 0, 0, 3, 3, 2, 2, 5, 5, 4, 4, 7, 7, 6, 6, 9, 9, 8, 8, 10, 10})
}
