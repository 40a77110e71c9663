package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/record"
)

// stream writes the output of a run from the token offset next until the run ends or
// ctx is done. It aborts the connection if the run fails or is cancelled.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *run, next int64) {
	e.addReader(r)
	defer e.removeReader(r)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := e.newChunkWriter(w)
	out.flush()
	for {
		tokens, outcome, changed := e.outputFrom(r, next)
		for _, token := range tokens {
			out.write(engine.Chunk{Offset: next, Tokens: []string{token}})
			next++
		}
		if outcome == record.EndFinished {
			out.write(engine.Chunk{Offset: next, End: true, Finish: r.finish})
			out.end()
			return
		}
		if outcome != "" {
			panic(http.ErrAbortHandler)
		}
		out.flush()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// outputFrom returns the generated tokens of a run from the offset next, the run's
// outcome, and a channel that is closed at the next change.
func (e *Engine) outputFrom(r *run, next int64) ([]string, string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tokens []string
	if i := next - r.params.From; i < int64(len(r.tokens)) {
		tokens = r.tokens[i:]
	}
	return tokens, r.outcome, r.changed
}

// chunkWriter writes chunks to a reply and applies the faults BreakStream,
// ReorderChunks and DuplicateChunks.
type chunkWriter struct {
	w          http.ResponseWriter
	encoder    *json.Encoder
	pending    *engine.Chunk // sent after the next chunk; nil if none is delayed
	breakAfter int64         // tokens until the stream breaks; negative means never
	reorder    func() bool
	duplicate  func() bool
}

func (e *Engine) newChunkWriter(w http.ResponseWriter) *chunkWriter {
	out := &chunkWriter{
		w:          w,
		encoder:    json.NewEncoder(w),
		breakAfter: -1,
		reorder:    func() bool { return e.faults.IsActive(e.name, fault.ReorderChunks) },
		duplicate:  func() bool { return e.faults.IsActive(e.name, fault.DuplicateChunks) },
	}
	if n, ok := e.faults.Value(e.name, fault.BreakStream); ok && e.faults.Fires(e.name, fault.BreakStream) {
		out.breakAfter = int64(n)
	}
	return out
}

// write sends a chunk, delays it under ReorderChunks, or aborts the connection
// under BreakStream.
func (c *chunkWriter) write(chunk engine.Chunk) {
	if c.breakAfter == 0 {
		c.flush()
		panic(http.ErrAbortHandler)
	}
	c.breakAfter--
	if c.pending == nil && c.reorder() && !chunk.End {
		c.pending = &chunk
		return
	}
	c.send(chunk)
	c.sendPending()
}

func (c *chunkWriter) sendPending() {
	if c.pending != nil {
		c.send(*c.pending)
		c.pending = nil
	}
}

func (c *chunkWriter) send(chunk engine.Chunk) {
	copies := 1
	if c.duplicate() {
		copies = 2
	}
	for range copies {
		// If the reader has disconnected, the context of the call is done.
		_ = c.encoder.Encode(chunk)
	}
}

func (c *chunkWriter) flush() {
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}

// end sends the delayed chunk, if any, and flushes the reply.
func (c *chunkWriter) end() {
	c.sendPending()
	c.flush()
}
