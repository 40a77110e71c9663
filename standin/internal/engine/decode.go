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

// errKVLost reports that the KV cache could not be fetched.
var errKVLost = errors.New("the KV cache is lost")

// errKVMismatch reports that the KV cache belongs to another request or offset.
var errKVMismatch = errors.New("the KV cache does not match the request")

// Export is the content of a KV cache in its transfer to a decode engine. The
// prompt and the output represent the state that a real KV cache holds.
type Export struct {
	Request id.Request `json:"request-id"`
	Prompt  string     `json:"prompt"`
	Output  string     `json:"output"`
	Tokens  int64      `json:"tokens"`
}

// run is one decode attempt. It occupies a slot and KV blocks until it ends.
type run struct {
	key    runKey
	params engine.DecodeRequest
	blocks int64
	entry  *record.Run // record of the run
	cancel context.CancelFunc
	ready  chan struct{} // closed when the KV cache has arrived and matches the request

	// Guarded by Engine.mu.
	tokens      []string      // generated so far; the first one has the offset params.From
	outcome     string        // one of the record.End constants; empty until the run ends
	finish      string        // finish reason; set with EndFinished
	failure     error         // set with EndKVLost and EndRejected
	changed     chan struct{} // closed and replaced at each change
	readers     int           // replies that wait for or stream the output
	orphanTimer *time.Timer   // cancels the run; nil while the run has readers
}

// addRun starts a decode run, or returns an error reply if the engine refuses it.
func (e *Engine) addRun(params engine.DecodeRequest) (*run, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &run{
		key:     runKey{params.Request, params.Attempt},
		params:  params,
		blocks:  e.blocks(params.PromptTokens + params.MaxTokens - params.From),
		ready:   make(chan struct{}),
		changed: make(chan struct{}),
	}
	if f := e.admit(r.key, table.RoleDecode, r.blocks); f != nil {
		return nil, f
	}
	r.entry = e.records.Begin(record.Run{
		Request:      params.Request,
		Attempt:      params.Attempt,
		Endpoint:     e.cfg.Name,
		Role:         string(table.RoleDecode),
		PromptTokens: params.PromptTokens,
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	e.runs[r.key] = r
	e.recordLoad()
	go e.decode(ctx, r)
	return r, nil
}

// decode fetches the KV cache and generates the answer until ctx is done.
func (e *Engine) decode(ctx context.Context, r *run) {
	export, err := e.fetchKV(ctx, r.params)
	if err == nil {
		err = checkExport(export, r.params)
	}
	if err != nil {
		e.failRun(r, err)
		return
	}
	close(r.ready)
	generated := answer.For(export.Prompt)
	length := generated.Length(r.params.MaxTokens)
	for i := r.params.From; i < length; i++ {
		if !e.waitToken(ctx) {
			return
		}
		e.addToken(r, generated.Token(i))
	}
	e.finishRun(r, generated.Finish(r.params.MaxTokens))
}

// waitToken waits for the time of one token. It returns false if ctx is done first.
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

// checkExport returns an error unless the KV cache belongs to the request and
// contains exactly the output before the offset at which the run starts.
func checkExport(export Export, params engine.DecodeRequest) error {
	if export.Request != params.Request {
		return fmt.Errorf("%w: it belongs to %s", errKVMismatch, export.Request)
	}
	if export.Output != answer.For(export.Prompt).Text(params.From) {
		return fmt.Errorf("%w: its output is not the output before offset %d", errKVMismatch, params.From)
	}
	return nil
}

// fetchKV fetches the KV cache from the prefill engine. It takes as long as the
// slower of the two links needs: the egress of that engine or the ingress here.
func (e *Engine) fetchKV(ctx context.Context, params engine.DecodeRequest) (Export, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	received := make(chan error, 1)
	go func() { received <- e.ingress.transfer(ctx, params.PromptTokens, nil, e.stalled) }()
	export, err := e.callExport(ctx, params)
	if err != nil {
		return Export{}, err
	}
	if err := <-received; err != nil {
		return Export{}, fmt.Errorf("%w: %w", errKVLost, err)
	}
	return export, nil
}

// callExport makes the export call, which returns when the egress link of the
// prefill engine has transferred the KV cache.
func (e *Engine) callExport(ctx context.Context, params engine.DecodeRequest) (Export, error) {
	url := "http://" + params.Source + "/v1/kv/" + params.KV + "/export"
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
	return e.faults.IsActive(e.name, fault.StallTransfer)
}

func (e *Engine) addToken(r *run, token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.outcome != "" {
		return
	}
	r.tokens = append(r.tokens, token)
	e.records.Update(r.entry, func(l *record.Run) { l.Tokens++ })
	r.notify()
}

func (e *Engine) finishRun(r *run, finish string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.finish = finish
	e.endRun(r, record.EndFinished)
}

// failRun ends a run that failed before its first token.
func (e *Engine) failRun(r *run, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.failure = err
	outcome := record.EndKVLost
	if errors.Is(err, errKVMismatch) {
		outcome = record.EndRejected
	}
	e.endRun(r, outcome)
}

// endRun frees the slot and the KV blocks of a run. Its output stays readable for
// outputRetention. It has no effect if the run has ended. The caller holds mu.
func (e *Engine) endRun(r *run, outcome string) {
	if r.outcome != "" {
		return
	}
	r.outcome = outcome
	r.cancel()
	e.usedSlots--
	e.usedBlocks -= r.blocks
	e.records.Finish(r.entry, outcome)
	r.notify()
	e.recordLoad()
	time.AfterFunc(outputRetention, func() { e.forgetRun(r) })
}

func (e *Engine) forgetRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.key] == r {
		delete(e.runs, r.key)
	}
}

// notify wakes the readers of a run. The caller holds Engine.mu.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// addReader adds a reader to a run and stops the run's orphan timer.
func (e *Engine) addReader(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers++
	if r.orphanTimer != nil {
		r.orphanTimer.Stop()
		r.orphanTimer = nil
	}
}

// removeReader removes a reader from a run. If it was the last one, it starts the
// run's orphan timer.
func (e *Engine) removeReader(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.readers > 0 || r.outcome != "" {
		return
	}
	r.orphanTimer = time.AfterFunc(orphanTimeout, func() { e.cancelOrphan(r) })
}

// cancelOrphan cancels a run that still has no reader when its timer expires.
func (e *Engine) cancelOrphan(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.readers == 0 {
		e.endRun(r, record.EndOrphaned)
	}
}
