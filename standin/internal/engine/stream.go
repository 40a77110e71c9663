package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/record"
)

// stream writes the output of a run from offset next on, until the run ends or
// the reader goes away. It aborts the connection if the run does not finish.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *run, next int64) {
	e.attach(r)
	defer e.detach(r)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := e.newChunkWriter(w)
	out.flush()
	for {
		tokens, outcome, changed := e.output(r, next)
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

// output returns the tokens of a run from offset next on, its outcome, and a
// channel that is closed when there is more.
func (e *Engine) output(r *run, next int64) ([]string, string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tokens []string
	if i := next - r.ask.From; i < int64(len(r.tokens)) {
		tokens = r.tokens[i:]
	}
	return tokens, r.outcome, r.changed
}

// chunkWriter writes chunks under the faults that change streams.
type chunkWriter struct {
	w       http.ResponseWriter
	encoder *json.Encoder
	held    *engine.Chunk // waits for the next chunk to go first
	limit   int64         // tokens until the stream breaks; below 0 is never
	reorder func() bool
	double  func() bool
}

func (e *Engine) newChunkWriter(w http.ResponseWriter) *chunkWriter {
	out := &chunkWriter{
		w:       w,
		encoder: json.NewEncoder(w),
		limit:   -1,
		reorder: func() bool { return e.faults.On(e.name, fault.ReorderChunks) },
		double:  func() bool { return e.faults.On(e.name, fault.DuplicateChunks) },
	}
	if n, ok := e.faults.Value(e.name, fault.BreakStream); ok && e.faults.Fires(e.name, fault.BreakStream) {
		out.limit = int64(n)
	}
	return out
}

func (c *chunkWriter) write(chunk engine.Chunk) {
	if c.limit == 0 {
		c.flush()
		panic(http.ErrAbortHandler)
	}
	c.limit--
	if c.held == nil && c.reorder() && !chunk.End {
		c.held = &chunk
		return
	}
	c.send(chunk)
	c.sendHeld()
}

func (c *chunkWriter) sendHeld() {
	if c.held != nil {
		c.send(*c.held)
		c.held = nil
	}
}

func (c *chunkWriter) send(chunk engine.Chunk) {
	times := 1
	if c.double() {
		times = 2
	}
	for range times {
		// The reader may have gone, which the context of the call tells.
		_ = c.encoder.Encode(chunk)
	}
}

func (c *chunkWriter) flush() {
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (c *chunkWriter) end() {
	c.sendHeld()
	c.flush()
}
