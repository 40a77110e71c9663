package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/standin/answer"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/record"
)

// errKVLost tells that the KV cache could not be fetched.
var errKVLost = errors.New("the KV cache is lost")

// errMismatch tells that the KV cache does not fit the request.
var errMismatch = errors.New("the KV cache does not fit the request")

// Export is a KV cache on its way to a decode engine. The prompt and the output
// stand for the state that a real cache holds.
type Export struct {
	Request id.Request `json:"request-id"`
	Prompt  string     `json:"prompt"`
	Output  string     `json:"output"`
	Tokens  int64      `json:"tokens"`
}

// run is one decode attempt. Until it ends, it holds a slot and memory.
type run struct {
	key    runKey
	ask    engine.DecodeRequest
	blocks int64
	log    *record.Run
	cancel context.CancelFunc
	ready  chan struct{} // closed when the transfer is complete or the run has ended

	// Guarded by the mutex of the engine.
	tokens  []string // generated ones, from ask.From on
	outcome string   // empty until the run ends
	finish  string   // with EndFinished
	failure error    // with EndKVLost and EndRejected
	changed chan struct{}
	readers int
	orphan  *time.Timer
}

// addRun starts a decode run, or returns the refusal.
func (e *Engine) addRun(ask engine.DecodeRequest) (*run, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &run{
		key:     runKey{ask.Request, ask.Attempt},
		ask:     ask,
		blocks:  e.blocks(ask.PromptTokens + ask.MaxTokens - ask.From),
		ready:   make(chan struct{}),
		changed: make(chan struct{}),
	}
	if f := e.admit(r.key, table.RoleDecode, r.blocks); f != nil {
		return nil, f
	}
	r.log = e.records.Begin(record.Run{
		Request:      ask.Request,
		Attempt:      ask.Attempt,
		Endpoint:     e.cfg.Name,
		Role:         string(table.RoleDecode),
		PromptTokens: ask.PromptTokens,
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	e.runs[r.key] = r
	e.note()
	go e.decode(ctx, r)
	return r, nil
}

// decode imports the KV cache and generates the answer.
func (e *Engine) decode(ctx context.Context, r *run) {
	export, err := e.fetchKV(ctx, r.ask)
	if err == nil {
		err = checkExport(export, r.ask)
	}
	if err != nil {
		e.failRun(r, err)
		return
	}
	close(r.ready)
	text := answer.For(export.Prompt)
	length := text.Length(r.ask.MaxTokens)
	for i := r.ask.From; i < length; i++ {
		if !e.waitToken(ctx) {
			return
		}
		e.addToken(r, text.Token(i))
	}
	e.finishRun(r, text.Finish(r.ask.MaxTokens))
}

func (e *Engine) waitToken(ctx context.Context) bool {
	timer := time.NewTimer(e.slowed(e.cfg.TokenTime))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// checkExport makes sure that the KV cache belongs to the request and ends with
// the output before the offset at which the run starts.
func checkExport(export Export, ask engine.DecodeRequest) error {
	if export.Request != ask.Request {
		return fmt.Errorf("%w: it belongs to %s", errMismatch, export.Request)
	}
	if export.Output != answer.For(export.Prompt).Text(ask.From) {
		return fmt.Errorf("%w: its output is not that before offset %d", errMismatch, ask.From)
	}
	return nil
}

// fetchKV fetches the KV cache from its source, at the pace of both links.
func (e *Engine) fetchKV(ctx context.Context, ask engine.DecodeRequest) (Export, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	received := make(chan error, 1)
	go func() { received <- e.ingress.transfer(ctx, ask.PromptTokens, nil, e.stalled) }()
	export, err := e.callExport(ctx, ask)
	if err != nil {
		return Export{}, err
	}
	if err := <-received; err != nil {
		return Export{}, fmt.Errorf("%w: %w", errKVLost, err)
	}
	return export, nil
}

func (e *Engine) callExport(ctx context.Context, ask engine.DecodeRequest) (Export, error) {
	url := "http://" + ask.Source + "/v1/kv/" + ask.KV + "/export"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(nil))
	if err != nil {
		return Export{}, fmt.Errorf("%w: %w", errKVLost, err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return Export{}, fmt.Errorf("%w: %w", errKVLost, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Export{}, fmt.Errorf("%w: source replied %s", errKVLost, resp.Status)
	}
	var export Export
	if err := json.NewDecoder(resp.Body).Decode(&export); err != nil {
		return Export{}, fmt.Errorf("%w: %w", errKVLost, err)
	}
	return export, nil
}

func (e *Engine) stalled() bool {
	return e.faults.On(e.name, fault.StallTransfer)
}

func (e *Engine) addToken(r *run, token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.outcome != "" {
		return
	}
	r.tokens = append(r.tokens, token)
	e.records.Update(r.log, func(l *record.Run) { l.Tokens++ })
	r.notify()
}

func (e *Engine) finishRun(r *run, finish string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.finish = finish
	e.endRun(r, record.EndFinished)
}

// failRun ends a run that has not generated any token.
func (e *Engine) failRun(r *run, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.failure = err
	outcome := record.EndKVLost
	if errors.Is(err, errMismatch) {
		outcome = record.EndRejected
	}
	e.endRun(r, outcome)
}

// endRun frees what a run holds and keeps its output for a while. The caller
// holds mu.
func (e *Engine) endRun(r *run, outcome string) {
	if r.outcome != "" {
		return
	}
	r.outcome = outcome
	r.cancel()
	e.usedSlots--
	e.usedBlocks -= r.blocks
	e.records.Finish(r.log, outcome)
	r.notify()
	e.note()
	time.AfterFunc(keepTime, func() { e.forgetRun(r) })
}

func (e *Engine) forgetRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.key] == r {
		delete(e.runs, r.key)
	}
}

// notify wakes the readers of a run. The caller holds the mutex of the engine.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// attach counts a reader of a run.
func (e *Engine) attach(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers++
	if r.orphan != nil {
		r.orphan.Stop()
		r.orphan = nil
	}
}

// detach cancels the run in a while if it has lost its last reader.
func (e *Engine) detach(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.readers > 0 || r.outcome != "" {
		return
	}
	r.orphan = time.AfterFunc(orphanTime, func() { e.cancelOrphan(r) })
}

func (e *Engine) cancelOrphan(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.readers == 0 {
		e.endRun(r, record.EndOrphaned)
	}
}
