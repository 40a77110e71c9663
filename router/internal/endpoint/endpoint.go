// Package endpoint is the adapter between the decision core and the endpoints:
// model engines and plain services.
//
// Every call that starts work ends with one event, except a token stream that was
// cancelled or replaced by a later call of its attempt. The clock is compared with
// the effect's NotAfter immediately before the call, so that a process that
// was frozen starts no call too late. This package never receives a caller's key.
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
	"ragwortshunt.example/fleet/http1"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/platform/exchange"
	"ragwortshunt.example/router/internal/inflight"
)

// ErrEndpoint is wrapped by the errors of this package.
var ErrEndpoint = errors.New("endpoint")

// Codes of failed calls without a known code from the engine.
const (
	codeUnreachable  = "unreachable"
	codeTimeout      = "timeout"
	codeStreamBroken = "stream-broken"
	codeInvalidReply = "invalid-reply"
	codeNotStarted   = "not-started-in-time"
	codeRefused      = "refused"    // a service refused the call with engine.HeaderNotRun
	codeOther        = "other-code" // a code that the engine protocol does not define
)

const (
	dialTimeout        = time.Second
	controlTimeout     = 2 * time.Second // for cancellation, load polling and orders
	maxCancelTries     = 5
	cancelRetryDelay   = 200 * time.Millisecond
	streamDrainTimeout = 100 * time.Millisecond // for reading a stream after its end marker
	maxReplyBytes      = 8 << 20                // of a service
	maxMessageBytes    = 16 << 10               // reply to a prefill, and error
	maxReportBytes     = 1 << 20                // load report or list of cache events
	maxReportsBytes    = 8 << 20                // memory for all reports that are being read
)

// Poster receives the events that the client produces.
type Poster interface {
	Post(ev core.Event)
}

// Client calls endpoints. The methods that start a call return without waiting for
// its result, which is posted as an event.
type Client struct {
	ctx      context.Context
	clock    clockwork.Clock
	poster   Poster
	store    *inflight.Store
	engines  *http.Client
	services *http.Client
	reports  *exchange.Budget // memory for reports of engines

	mu    sync.Mutex
	calls map[attemptKey]*activeCall
}

// activeCall is the latest call of an attempt.
type activeCall struct {
	key    attemptKey
	cancel context.CancelFunc
}

type attemptKey struct {
	request id.Request
	attempt id.Attempt
}

// New returns a client whose calls end when ctx is cancelled.
func New(ctx context.Context, clock clockwork.Clock, p Poster, store *inflight.Store) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{
		ctx: ctx, clock: clock, poster: p, store: store,
		// Answers of engines do not name their request. With a connection for each call, a
		// late second copy of one cannot be taken for another.
		engines: &http.Client{Transport: http1.NewTransport(dial)},
		// net/http retries a request with an Idempotency-Key when a reused connection
		// breaks. Without connection reuse it never does.
		services: &http.Client{
			Transport:     http1.NewTransport(dialNotAfter(clock, dial)),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		reports: exchange.NewBudget(maxReportsBytes, exchange.WithoutConnectionMemory()),
		calls:   make(map[attemptKey]*activeCall),
	}
}

// notAfterKey is the context key of the time after which a call must not start.
type notAfterKey struct{}

// errTooLate reports that a call was not sent because its NotAfter had passed.
var errTooLate = fmt.Errorf("%w: too late to start", ErrEndpoint)

// dialNotAfter wraps dial. It compares the clock with the call's NotAfter again
// once the connection is established, because that can take up to dialTimeout.
// The transport must use each connection for one call only.
func dialNotAfter(clock clockwork.Clock, dial http1.DialFunc) http1.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if notAfter, ok := ctx.Value(notAfterKey{}).(time.Time); ok && clock.Now().After(notAfter) {
			_ = conn.Close()
			return nil, errTooLate
		}
		return conn, nil
	}
}

// beginCall registers a call of an attempt and returns its context. A later call
// of the same attempt cancels the earlier one. A timeout of 0 means no timeout.
func (c *Client) beginCall(req id.Request, attempt id.Attempt, timeout time.Duration) (context.Context, *activeCall) {
	ctx, cancel := context.WithCancel(c.ctx)
	if timeout > 0 {
		cancel()
		ctx, cancel = context.WithTimeout(c.ctx, timeout)
	}
	call := &activeCall{key: attemptKey{req, attempt}, cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous, ok := c.calls[call.key]; ok {
		previous.cancel()
	}
	c.calls[call.key] = call
	return ctx, call
}

// finishCall cancels the context of a call and unregisters the call, unless a
// later call of the attempt has replaced it.
func (c *Client) finishCall(call *activeCall) {
	call.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[call.key] == call {
		delete(c.calls, call.key)
	}
}

// endCall cancels and unregisters the latest call of an attempt.
func (c *Client) endCall(req id.Request, attempt id.Attempt) {
	c.mu.Lock()
	call, ok := c.calls[attemptKey{req, attempt}]
	c.mu.Unlock()
	if ok {
		c.finishCall(call)
	}
}

// Running returns the number of registered calls.
func (c *Client) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

// post sends v as JSON and returns the response. The caller must close its body.
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

// callError describes a failed call.
type callError struct {
	code        string
	notRun      bool
	unreachable bool
}

// classify returns the code of a failed call. Only a call that was not sent or
// whose connection was never established proves that nothing ran.
func classify(err error) callError {
	if errors.Is(err, errTooLate) {
		return callError{code: codeNotStarted, notRun: true}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return callError{code: codeUnreachable, notRun: true, unreachable: true}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return callError{code: codeTimeout}
	}
	if errors.Is(err, http1.ErrHead) {
		return callError{code: codeInvalidReply}
	}
	return callError{code: codeStreamBroken}
}

// engineError decodes an engine's error response. Only one with the status of an error can
// state that the request did not run.
func engineError(resp *http.Response) callError {
	if resp.StatusCode < http.StatusBadRequest {
		return callError{code: codeInvalidReply}
	}
	var e engine.Error
	err := json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(&e)
	if err != nil || e.Code == "" {
		return callError{code: codeInvalidReply}
	}
	if !engineCodes[e.Code] {
		return callError{code: codeOther, notRun: e.NotRun}
	}
	return callError{code: e.Code, notRun: e.NotRun}
}

// engineCodes lists the engine codes that appear in metrics and explanations. Any
// other code becomes codeOther, so that an engine cannot create arbitrary metric
// labels.
var engineCodes = map[string]bool{
	engine.CodeFull: true, engine.CodeLeaving: true, engine.CodeKVLost: true, engine.CodeNoRun: true,
	engine.CodeCancelled: true, engine.CodeBadRequest: true, engine.CodeStaleFence: true,
}

func (c *Client) postFailure(req id.Request, attempt id.Attempt, ep id.Endpoint, e callError) {
	c.poster.Post(core.RunFailed{
		Request: req, Attempt: attempt, Endpoint: ep,
		Code: e.code, NotRun: e.notRun, Unreachable: e.unreachable,
	})
}

// Cancel ends the current call of an attempt and frees what the attempt holds on
// the engine.
func (c *Client) Cancel(e core.CancelRun) {
	c.endCall(e.Request, e.Attempt)
	go c.cancelOnEngine(e)
}

func (c *Client) cancelOnEngine(e core.CancelRun) {
	u := runURL(e.Address, e.Request, e.Attempt)
	for range maxCancelTries {
		if c.delete(u) {
			return
		}
		c.clock.Sleep(cancelRetryDelay)
	}
}

// delete tells an engine to delete a run. It reports whether no retry is needed:
// the engine has responded with a valid status that is no server error, or the URL is
// invalid.
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
	return resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusInternalServerError
}

func runURL(address string, req id.Request, attempt id.Attempt) string {
	return fmt.Sprintf("http://%s/v1/runs/%s/%d", address, req, attempt)
}
