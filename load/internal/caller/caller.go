// Package caller is an HTTP client that sends the requests of a workload to a set of
// routers, verifies the replies and measures when output tokens arrive.
package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ragwortshunt.example/load/internal/workload"
)

// Status classifies the outcome of a request.
type Status string

// Outcomes of a request.
const (
	// Whole: the complete answer arrived and is correct.
	Whole Status = "whole"
	// Refused: the router replied with an error before any part of the answer.
	Refused Status = "refused"
	// Broken: the stream broke off or failed before its end, or the result is unknown.
	Broken Status = "broken"
	// Wrong: the tokens or the reply of a service differ from the expected ones, or an
	// answer that was reported as complete is truncated.
	Wrong Status = "wrong"
	// Unreachable: no router accepted the connection.
	Unreachable Status = "unreachable"
	// Stopped: the request was cancelled because the load ended.
	Stopped Status = "stopped"
)

// Result is the outcome of one request.
type Result struct {
	Status     Status
	Code       string          // error code, for Refused and Broken
	NotRun     bool            // the error states that no engine or service ran the request
	RequestID  string          // as issued by the router
	Router     string          // base URL of the router called last
	Detail     string          // error text; empty for Whole
	Tokens     int64           // complete output tokens received
	FirstToken time.Duration   // from sending the request to the first token
	LastToken  time.Duration   // from sending the request to the last token
	Gaps       []time.Duration // between successive tokens
	Repeats    int             // service calls sent again with the same idempotency key
}

// MeanGap returns the mean time between tokens, or 0 for fewer than two tokens.
func (r Result) MeanGap() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.LastToken - r.FirstToken) / time.Duration(r.Tokens-1)
}

// refusedError is the error object in a router's reply.
type refusedError struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request-id"`
	NotRun    bool   `json:"not-run"`
}

// Error returns the code and the message.
func (e *refusedError) Error() string { return e.Code + ": " + e.Message }

// errorBody is the body of an error reply, and the data of an error event in a stream.
type errorBody struct {
	Error *refusedError `json:"error"`
}

// headerRequestID is the reply header that carries the request ID.
const headerRequestID = "Request-Id"

// maxReplyBytes is the maximum size of an error body or a service reply, in bytes.
const maxReplyBytes = 4 << 20

// Client sends requests to a set of routers. It is safe for concurrent use.
type Client struct {
	routerPool *routerPool
	http       *http.Client
	keys       map[string]string
}

// New returns a client of the routers at the given base URLs. keys maps a client
// account to its API key.
func New(urls []string, keys map[string]string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		routerPool: newRouterPool(urls),
		keys:       keys,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 1000,
			DisableCompression:  true,
		}},
	}
}

// Do sends one request and reads its reply to the end.
func (c *Client) Do(ctx context.Context, r workload.Request) Result {
	if r.Flow.Kind == workload.KindService {
		return c.service(ctx, r)
	}
	return c.completion(ctx, r)
}

// send posts a body to the next router that accepts a connection. It avoids the
// router with the base URL avoid if there is another one. It returns the response
// and the base URL of the router.
func (c *Client) send(ctx context.Context, r workload.Request, path, avoid string, body func() io.Reader) (*http.Response, string, error) {
	for range c.routerPool.count() {
		url := c.routerPool.next(time.Now(), avoid)
		if url == "" {
			break
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, body())
		if err != nil {
			return nil, url, fmt.Errorf("make request: %w", err)
		}
		c.setHeaders(req, r)
		resp, err := c.http.Do(req)
		if err == nil {
			return resp, url, nil
		}
		if !notConnected(err) {
			return nil, url, err
		}
		c.routerPool.markUnreachable(url, time.Now())
	}
	return nil, "", errUnreachable
}

func (c *Client) setHeaders(req *http.Request, r workload.Request) {
	req.Header.Set("Content-Type", "application/json")
	if key := c.keys[r.Flow.Account]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if r.Flow.Kind == workload.KindService {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
		// Without GetBody the transport cannot resend the call. It would otherwise do
		// so by itself for calls with an idempotency key.
		req.GetBody = nil
	}
}

// errUnreachable means that no router accepted a connection.
var errUnreachable = errors.New("no router accepts connections")

// notConnected reports whether err is a dial error, so that nothing was sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// failedResult adds the failure err to out, the result so far, and returns it.
func failedResult(ctx context.Context, out Result, err error) Result {
	var refused *refusedError
	out.Detail = err.Error()
	switch {
	case errors.Is(err, errUnreachable):
		out.Status = Unreachable
	case errors.As(err, &refused):
		out.Status = Refused
		out.Code = refused.Code
		out.NotRun = refused.NotRun
	case errors.Is(context.Cause(ctx), ErrStopped):
		out.Status = Stopped
	default:
		out.Status = Broken
	}
	return out
}

// ErrStopped is the cancellation cause of requests that still run when the load ends.
var ErrStopped = errors.New("the load has ended")
