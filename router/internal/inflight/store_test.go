package inflight_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/router/internal/inflight"
)

// TestStore guards against items that are not found, lose output or remain after
// their removal.
func TestStore(t *testing.T) {
	s := inflight.New()
	item := &inflight.Item{Prompt: "p"}
	s.Add("r-1", item)
	got, ok := s.Get("r-1")
	assert.Assert(t, ok && got == item)
	item.AddOutput([]string{"a", "b"})
	item.AddOutput(nil)
	assert.Equal(t, got.Output(), "ab")
	assert.Assert(t, got.Reply() == nil)
	s.Remove("r-1")
	s.Remove("r-1")
	_, ok = s.Get("r-1")
	assert.Assert(t, !ok)
	assert.Equal(t, s.Len(), 0)
}
