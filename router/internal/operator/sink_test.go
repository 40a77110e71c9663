package operator_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/router/internal/operator"
)

// stuckOutput blocks all writes until release is closed.
type stuckOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (o *stuckOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *stuckOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// TestStuckOutput guards against a process that blocks because nobody reads its log, and
// against lines that are dropped without a log message about it.
func TestStuckOutput(t *testing.T) {
	out := &stuckOutput{release: make(chan struct{})}
	s := operator.NewSink(out)
	start := time.Now()
	const lines = 20_000
	for range lines {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second, "writing took %s", time.Since(start))
	lost := s.Lost()
	assert.Assert(t, lost > 0)
	close(out.release)
	assert.NilError(t, s.Sync())
	assert.Assert(t, strings.Contains(out.text(), "Lines were lost"))
	assert.Equal(t, int64(strings.Count(out.text(), "line\n")), lines-lost)
}

// TestSinkOrder guards against lines that are reordered, or changed because the caller
// reuses its buffer after Write.
func TestSinkOrder(t *testing.T) {
	r, w := io.Pipe()
	s := operator.NewSink(w)
	line := []byte("one\n")
	_, err := s.Write(line)
	assert.NilError(t, err)
	copy(line, "two\n")
	_, err = s.Write(line)
	assert.NilError(t, err)
	buf := make([]byte, 8)
	_, err = io.ReadFull(r, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), "one\ntwo\n")
}
