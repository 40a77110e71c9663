package platform_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/ctl/internal/platform"
	"ragwortshunt.example/fleet/rawhttp"
)

const stored = `{"kind":"manifest","name":"n","version":12,"value":"aaaa"}`

// TestTruncatedAnswers guards against an answer whose head or body was cut off and that is
// taken for an object, for a missing one, or for the success or the conflict of a write. The
// cuts of an answer are tried at the same time, because the client repeats a call until its
// context ends.
func TestTruncatedAnswers(t *testing.T) {
	answers := rawhttp.Framings("HTTP/1.1 200 OK\r\n", stored)
	answers = append(answers, rawhttp.Framings("HTTP/1.1 404 None\r\n", stored)[0], rawhttp.Framings("HTTP/1.1 409 Conflict\r\n", stored)[0])
	for _, a := range answers {
		var calls sync.WaitGroup
		for _, cut := range a.Cuts() {
			c := newCutCall(t, a, cut)
			calls.Go(func() { c.get(t) })
			calls.Go(func() { c.put(t) })
		}
		calls.Wait()
	}
}

// cutCall is a call and what the part of the answer to it that is sent proves.
type cutCall struct {
	text                           string
	client                         *platform.Client
	ctx                            context.Context
	isFound, isMissing, isConflict bool
	complete                       bool // a success of which nothing is missing
}

// newCutCall starts a server for a call, so that all calls can be made at the same time.
func newCutCall(t *testing.T, a rawhttp.Answer, cut rawhttp.Cut) cutCall {
	s, err := rawhttp.NewServer()
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.SetAnswer(cut.Text, cut.Reset)
	c := cutCall{text: cut.Text, client: platform.New("http://" + s.Address())}
	c.isMissing = cut.Whole && strings.HasPrefix(a.Head, "HTTP/1.1 404")
	c.isConflict = cut.Whole && strings.HasPrefix(a.Head, "HTTP/1.1 409")
	c.isFound = cut.Whole && cut.Payload == stored && !c.isMissing && !c.isConflict
	c.complete = c.isFound && !cut.Reset
	timeout := 100 * time.Millisecond
	if c.complete {
		timeout = 5 * time.Second // the call succeeds at once
	}
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	return c
}

func (c cutCall) get(t *testing.T) {
	o, err := c.client.Get(c.ctx, "manifest", "n")
	isFound := c.isFound && string(o.Value) == "i\xa6\x9a"
	assert.Check(t, err != nil && !c.complete || isFound || c.isMissing && o.Version == 0, "%q: %+v, %v", c.text, o, err)
}

func (c cutCall) put(t *testing.T) {
	version, err := c.client.Put(c.ctx, "manifest", "n", 1, []byte("v"))
	assert.Check(t, err != nil && !c.complete || c.isFound && version == 12, "%q: %d, %v", c.text, version, err)
	var conflict *platform.ConflictError
	isConflict := c.isConflict && errors.As(err, &conflict) && conflict.Current.Version == 12
	assert.Check(t, !errors.As(err, &conflict) || isConflict, "%q: %v", c.text, err)
}
