package endpoint_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/rawhttp"
)

// bodies are those of answers by the kind of call.
var bodies = map[string]string{
	"call": "answer", "prefill": `{"kv-id":"h","cached-tokens":12}`, "order": `{"code":"stale-fence"}`,
	"decode": `{"offset":0,"tokens":["a"]}` + "\n" + `{"offset":1,"tokens":["b"],"end":true,"finish":"stop"}` + "\n",
}

// TestTruncatedAnswers guards against an answer whose head or body was cut off and that is
// forwarded as complete, ends a stream, names a KV cache or a result of an order, or states
// that the request has not run. JSON values end by themselves, so that they may be used before
// the end of the body that they are in.
func TestTruncatedAnswers(t *testing.T) {
	heads := map[string]string{
		"200 OK": "HTTP/1.1 200 OK\r\n", "404 None": "HTTP/1.1 404 None\r\n", "503 Full": "HTTP/1.1 503 Full\r\nNot-Run: true\r\n",
	}
	for kind, body := range bodies {
		for status, head := range heads {
			body := body
			if (kind == "prefill" || kind == "decode") && status != "200 OK" {
				body = `{"code":"full","not-run":true}`
			}
			answers := rawhttp.Framings(head, body)
			if status != "200 OK" {
				answers = answers[:1]
			}
			for _, a := range answers {
				t.Run(kind+"/"+strings.ReplaceAll(status, " ", "-")+"/"+a.Framing, func(t *testing.T) {
					t.Parallel()
					s, err := rawhttp.NewServer()
					assert.NilError(t, err)
					defer s.Close()
					r := newHarness(t)
					for _, cut := range a.Cuts() {
						s.SetAnswer(cut.Text, cut.Reset)
						r.start(kind, s.Address())
						r.checkCut(t, cutCall{
							Cut: cut, kind: kind, status: status,
							hasValue: strings.Count(cut.Text, "}") == strings.Count(a.Body, "}"),
							complete: !cut.Reset && cut.Text == a.Head+a.Body,
						})
					}
				})
			}
		}
	}
}

// TestResetDuringUpload guards against a part of an answer without length and chunks that is taken
// for the whole one, because the write of the request got the reset of the connection. An answer
// that ends regularly before the request has been read is complete.
func TestResetDuringUpload(t *testing.T) {
	const upload = 16 << 20 // bytes, more than the sockets of both sides buffer
	for end, tries := range rawhttp.EarlyEnds {
		s, err := rawhttp.NewServer()
		assert.NilError(t, err)
		defer s.Close()
		s.SetEarlyAnswer("HTTP/1.1 200 OK\r\n\r\npart", end)
		r := newHarness(t)
		item, _ := r.store.Get("r-1")
		item.Call.Body = make([]byte, upload)
		for range tries {
			r.start("call", s.Address())
			_, failed := r.events.Next(t).(core.RunFailed)
			assert.Equal(t, failed, end == rawhttp.EarlyReset || end == rawhttp.EarlyClose, end)
		}
	}
}

// TestInvalidStatuses guards against an answer without a valid status that is taken for one.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range rawhttp.InvalidStatuses {
		for kind, body := range bodies {
			r := newHarness(t)
			r.checkBroken(t, kind, "HTTP/1.1 "+status+" OK\r\n\r\n"+body)
		}
	}
}

// TestInvalidHead guards against an answer that is taken for one although a line of its head is
// invalid, or for a statement that the request has not run.
func TestInvalidHead(t *testing.T) {
	for line, isValid := range rawhttp.HeadLines {
		for kind, body := range bodies {
			if !isValid {
				newHarness(t).checkBroken(t, kind, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n"+body)
				newHarness(t).checkBroken(t, kind, "HTTP/1.1 503 Full\r\nNot-Run: true\r\n"+line+"\r\n\r\n{\"code\":\"full\",\"not-run\":true}")
			}
		}
	}
}

// checkBroken checks that a call fails which gets an answer that is none.
func (r *harness) checkBroken(t *testing.T, kind, answer string) {
	t.Helper()
	s, err := rawhttp.NewServer()
	assert.NilError(t, err)
	defer s.Close()
	s.SetAnswer(answer, false)
	r.start(kind, s.Address())
	switch ev := r.events.Next(t).(type) {
	case core.RunFailed:
		assert.Assert(t, !ev.NotRun && ev.Code == "invalid-reply" && !ev.HasReply, "%s %q: %+v", kind, answer, ev)
	case core.OrderAnswered:
		assert.Assert(t, !ev.Done && !ev.Stale, "%s %q: %+v", kind, answer, ev)
	default:
		t.Fatalf("%s %q: %+v", kind, answer, ev)
	}
}

// cutCall is a call and the part of the answer to it that is sent.
type cutCall struct {
	rawhttp.Cut
	kind, status string
	hasValue     bool // the last JSON value is whole
	complete     bool // nothing is missing
}

// start starts a call to an endpoint.
func (r *harness) start(kind, address string) {
	switch kind {
	case "call":
		r.Call(r.call(address))
	case "prefill":
		r.Prefill(r.prefill(address))
	case "decode":
		r.Decode(core.StartDecode{Request: "r-1", Attempt: 1, Endpoint: "e", Address: address})
	case "order":
		r.Order(core.SendOrder{Endpoint: "e", Address: address, NotAfter: r.clock.Now()})
	}
}

// checkCut checks the events of one call.
func (r *harness) checkCut(t *testing.T, c cutCall) {
	t.Helper()
	succeeded := c.status == "200 OK"
	for {
		switch ev := r.events.Next(t).(type) {
		case core.TokensArrived:
			if !ev.End {
				continue
			}
			assert.Assert(t, succeeded && c.hasValue && ev.Finish == "stop", "%q: %+v", c.Text, ev)
		case core.ServiceDone:
			item, _ := r.store.Get("r-1")
			assert.Assert(t, c.Whole && c.status != "503 Full" && string(item.Reply().Body) == c.Payload, "%q: %q", c.Text, item.Reply().Body)
		case core.PrefillDone:
			assert.Assert(t, succeeded && c.hasValue && ev.KV == "h" && ev.CachedTokens == 12, "%q: %+v", c.Text, ev)
		case core.OrderAnswered:
			assert.Assert(t, !ev.Done || c.HasHead && succeeded, "%q", c.Text)
			assert.Assert(t, !ev.Stale || c.hasValue && !succeeded, "%q", c.Text)
		case core.RunFailed:
			isRefused := c.kind == "call" && c.HasHead && c.status == "503 Full" || c.kind != "call" && c.hasValue && !succeeded
			assert.Assert(t, ev.NotRun == isRefused && !ev.Unreachable, "%q: %+v", c.Text, ev)
			assert.Assert(t, !c.complete || !succeeded, "%q: %+v", c.Text, ev)
		}
		return
	}
}
