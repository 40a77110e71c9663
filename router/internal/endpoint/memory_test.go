package endpoint_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/rawhttp"
	"ragwortshunt.example/platform/exchange"
	"ragwortshunt.example/router/internal/inflight"
)

// TestSharedMemory guards against endpoints that exhaust the memory of a host together, each with
// an answer that has no end and is not too large by itself. The answers fall silent, so that what
// the host keeps of them stays.
func TestSharedMemory(t *testing.T) {
	const (
		budget    = 8 << 20 // bytes
		slack     = 8 << 20 // for connections
		calls     = 64
		longBytes = 1000 << 10
	)
	longString := "\"" + strings.Repeat("x", longBytes)
	servers := make(map[string]*rawhttp.Server)
	for kind, answer := range map[string]string{
		"call": "200 OK\r\n\r\n" + strings.Repeat("x", 7<<20), "decode": "200 OK\r\n\r\n" + longString,
		"prefill": "200 OK\r\n\r\n" + longString, "refusal": "503 Full\r\n\r\n" + longString, "poll": "200 OK\r\n\r\n" + longString,
	} {
		s, err := rawhttp.NewServer()
		assert.NilError(t, err)
		defer s.Close()
		s.SetAnswer("HTTP/1.1 "+answer, false)
		s.Hold()
		servers[kind] = s
	}
	before := heapBytes()
	for kind, s := range servers {
		t.Run(kind, func(t *testing.T) {
			r := newHarness(t)
			b := exchange.NewBudget(budget, exchange.WithoutConnectionMemory())
			for i := range calls {
				r.startWith(kind, s.Address(), id.Request(fmt.Sprintf("r-%d", i)), b.NewMemory(nil))
			}
			time.Sleep(time.Second) // until all answers have been read
			kept := heapBytes() - before
			assert.Assert(t, kept < budget+slack, "%d MB are kept", kept>>20)
			r.cancel()
			for end := time.Now().Add(5 * time.Second); heapBytes()-before > slack; time.Sleep(10 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "the memory is not given back")
			}
		})
	}
}

// TestReleasedMemory guards against a call that counts as failed, or whose outcome is lost, because
// its caller has gone and the memory of the request has been released.
func TestReleasedMemory(t *testing.T) {
	for _, n := range []int{100, 100_000} {
		for _, isWhole := range []bool{true, false} {
			r := newHarness(t)
			item, _ := r.store.Get("r-1")
			item.Memory = exchange.NewBudget(1 << 20).NewMemory(nil)
			item.Memory.Release()
			s, err := rawhttp.NewServer()
			assert.NilError(t, err)
			defer s.Close()
			s.SetAnswer(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n)), false)
			if !isWhole {
				s.SetAnswer(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n+1, strings.Repeat("x", n)), false)
			}
			r.start("call", s.Address())
			done, ok := r.events.Next(t).(core.ServiceDone)
			assert.Equal(t, ok, isWhole)
			isSmall := n == 100
			assert.Equal(t, len(done.Outcome) > 0, isWhole && isSmall)
			assert.Equal(t, item.Reply() != nil, isWhole && isSmall)
		}
	}
}

// startWith starts a call for a new request with its memory.
func (r *harness) startWith(kind, address string, req id.Request, m *exchange.Memory) {
	r.store.Add(req, &inflight.Item{Call: &inflight.Call{Method: http.MethodGet, Path: "/"}, Memory: m})
	switch kind {
	case "call":
		e := r.call(address)
		e.Request = req
		r.Call(e)
	case "prefill", "refusal":
		e := r.prefill(address)
		e.Request = req
		r.Prefill(e)
	case "decode":
		r.Decode(core.StartDecode{Request: req, Attempt: 1, Endpoint: "e", Address: address})
	case "poll":
		r.Poll(core.PollLoad{Endpoint: "e", Address: address})
	}
}

// heapBytes returns the memory that is in use. What is allocated during a collection counts as used
// until the next one.
func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
