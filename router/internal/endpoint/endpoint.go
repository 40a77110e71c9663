// Package endpoint is the shell towards model engines and plain services.
//
// Every call that starts work ends in one event. The clock is compared with an
// effect's NotAfter directly before the call, so that a process that was frozen
// starts nothing late. No caller key is known here.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/router/internal/inflight"
)

// ErrEndpoint is the base of the errors of this package.
var ErrEndpoint = errors.New("endpoint")

// The codes of failed calls that no engine has named.
const (
	codeUnreachable = "unreachable"
	codeTimeout     = "timeout"
	codeBroken      = "stream-broken"
	codeNonsense    = "invalid-reply"
	codeLate        = "not-started-in-time"
	codeRefused     = "refused"    // by a service, with HeaderNotRun
	codeOther       = "other-code" // a code that the engine protocol does not define
)

const (
	dialTimeout    = time.Second
	controlTimeout = 2 * time.Second // cancel, load, orders
	cancelTries    = 5
	cancelPause    = 200 * time.Millisecond
	drainTimeout   = 100 * time.Millisecond // of a stream after its end marker
	maxLine        = 1 << 20                // bytes in one line of a token stream
	maxReply       = 8 << 20                // bytes in one reply
)

// Poster takes the events that the shell produces.
type Poster interface {
	Post(ev core.Event)
}

// Client calls endpoints.
type Client struct {
	ctx      context.Context
	clock    clockwork.Clock
	poster   Poster
	store    *inflight.Store
	engines  *http.Client
	services *http.Client

	mu   sync.Mutex
	runs map[runKey]*run
}

// run is the latest call of an attempt.
type run struct {
	key    runKey
	cancel context.CancelFunc
}

type runKey struct {
	request id.Request
	attempt id.Attempt
}

// New returns a client.
func New(ctx context.Context, clock clockwork.Clock, p Poster, store *inflight.Store) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{
		ctx: ctx, clock: clock, poster: p, store: store,
		engines: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64}},
		// A call with an Idempotency-Key would be repeated by net/http when a
		// reused connection breaks. Without reuse it never is.
		services: &http.Client{
			Transport:     &http.Transport{DialContext: dialInTime(clock, dial), DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		runs: make(map[runKey]*run),
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// notAfterKey is the context key of the time after which a call must not start.
type notAfterKey struct{}

// errLate tells that a call was not sent because its time had passed.
var errLate = fmt.Errorf("%w: too late to start", ErrEndpoint)

// dialInTime compares the clock with the call's NotAfter again when the
// connection has been made, because that can take up to dialTimeout. The
// transport must use each connection for one call only.
func dialInTime(clock clockwork.Clock, dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if limit, ok := ctx.Value(notAfterKey{}).(time.Time); ok && clock.Now().After(limit) {
			_ = conn.Close()
			return nil, errLate
		}
		return conn, nil
	}
}

// begin registers a call of an attempt and returns its context. A later call of
// the same attempt ends the earlier one. A timeout of 0 is none.
func (c *Client) begin(req id.Request, attempt id.Attempt, timeout time.Duration) (context.Context, *run) {
	ctx, cancel := context.WithCancel(c.ctx)
	if timeout > 0 {
		cancel()
		ctx, cancel = context.WithTimeout(c.ctx, timeout)
	}
	r := &run{key: runKey{req, attempt}, cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.runs[r.key]; ok {
		old.cancel()
	}
	c.runs[r.key] = r
	return ctx, r
}

// finish ends a call and forgets it, unless a later call of the attempt has
// taken its place.
func (c *Client) finish(r *run) {
	r.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[r.key] == r {
		delete(c.runs, r.key)
	}
}

// end ends the latest call of an attempt.
func (c *Client) end(req id.Request, attempt id.Attempt) {
	c.mu.Lock()
	r, ok := c.runs[runKey{req, attempt}]
	c.mu.Unlock()
	if ok {
		c.finish(r)
	}
}

// Running returns the number of calls that have not ended.
func (c *Client) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs)
}

// post sends v as JSON and returns the response. Its body must be closed.
func (c *Client) post(ctx context.Context, u string, v any) (*http.Response, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: encode: %w", ErrEndpoint, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEndpoint, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.engines.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEndpoint, err)
	}
	return resp, nil
}

// callError is what is known of a failed call.
type callError struct {
	code   string
	notRun bool
	down   bool
}

// classify tells a connection that was never made, which proves that nothing
// ran, from everything else.
func classify(err error) callError {
	if errors.Is(err, errLate) {
		return callError{code: codeLate, notRun: true}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return callError{code: codeUnreachable, notRun: true, down: true}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return callError{code: codeTimeout}
	}
	return callError{code: codeBroken}
}

// engineError reads the error body of an engine.
func engineError(resp *http.Response) callError {
	var e engine.Error
	err := json.NewDecoder(io.LimitReader(resp.Body, maxLine)).Decode(&e)
	if err != nil || e.Code == "" {
		return callError{code: codeNonsense}
	}
	if !engineCodes[e.Code] {
		return callError{code: codeOther, notRun: e.NotRun}
	}
	return callError{code: e.Code, notRun: e.NotRun}
}

// engineCodes are the codes that metrics and explanations show. They show any
// other text of an engine as codeOther, so that it cannot add metrics at will.
var engineCodes = map[string]bool{
	engine.CodeFull: true, engine.CodeLeaving: true, engine.CodeKVLost: true, engine.CodeNoRun: true,
	engine.CodeCancelled: true, engine.CodeBadRequest: true, engine.CodeStaleFence: true,
}

func (c *Client) fail(req id.Request, attempt id.Attempt, ep id.Endpoint, e callError) {
	c.poster.Post(core.RunFailed{
		Request: req, Attempt: attempt, Endpoint: ep,
		Code: e.code, NotRun: e.notRun, Down: e.down,
	})
}

// Cancel frees what an attempt holds on an engine.
func (c *Client) Cancel(e core.CancelRun) {
	c.end(e.Request, e.Attempt)
	go c.cancel(e)
}

func (c *Client) cancel(e core.CancelRun) {
	u := runURL(e.Address, e.Request, e.Attempt)
	for range cancelTries {
		if c.delete(u) {
			return
		}
		c.clock.Sleep(cancelPause)
	}
}

// delete returns whether the engine has answered or is gone.
func (c *Client) delete(u string) bool {
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, u, nil)
	if err != nil {
		return true
	}
	resp, err := c.engines.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError
}

func runURL(address string, req id.Request, attempt id.Attempt) string {
	return fmt.Sprintf("http://%s/v1/runs/%s/%d", address, req, attempt)
}
