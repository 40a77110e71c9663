// Package caller calls routers as a client does and verifies what they reply.
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

// Status tells how a request ended.
type Status string

// The ways in which a request ends.
const (
	Whole       Status = "whole"
	Refused     Status = "refused"     // an error before any part of the answer
	Broken      Status = "broken"      // ended without its end, or the result is unknown
	Wrong       Status = "wrong"       // tokens differ, or complete but not whole
	Unreachable Status = "unreachable" // no router accepted the connection
	Stopped     Status = "stopped"     // cut by the end of the load
)

// Result is the outcome of one request.
type Result struct {
	Status     Status
	Code       string // of the error, with Refused and Broken
	NotRun     bool   // the error says that nothing ran
	RequestID  string
	Router     string // base URL of the last router that was called
	Detail     string
	Tokens     int64 // complete output tokens received
	FirstToken time.Duration
	LastToken  time.Duration   // since the request was sent
	Gaps       []time.Duration // between successive tokens
	Repeats    int             // service calls: repeated calls
}

// MeanGap returns the mean time between tokens, or 0 below two tokens.
func (r Result) MeanGap() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.LastToken - r.FirstToken) / time.Duration(r.Tokens-1)
}

// refusedError is an error reply of a router.
type refusedError struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request-id"`
	NotRun    bool   `json:"not-run"`
}

// Error returns the code and the message.
func (e *refusedError) Error() string { return e.Code + ": " + e.Message }

// errorBody is the body of an error reply and of an error event in a stream.
type errorBody struct {
	Error *refusedError `json:"error"`
}

// headerRequest carries the request ID in replies.
const headerRequest = "Request-Id"

// maxReply bounds the size of error bodies and service replies, in bytes.
const maxReply = 4 << 20

// Client calls a set of routers.
type Client struct {
	routers *routers
	http    *http.Client
	keys    map[string]string
}

// New returns a client of the routers at the given base URLs.
func New(urls []string, keys map[string]string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		routers: newRouters(urls),
		keys:    keys,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 1000,
			DisableCompression:  true,
		}},
	}
}

// Do sends one request and follows it to its end.
func (c *Client) Do(ctx context.Context, r workload.Request) Result {
	if r.Flow.Kind == workload.KindService {
		return c.service(ctx, r)
	}
	return c.completion(ctx, r)
}

// send posts a body to the next router that accepts a connection, except avoid.
// It returns the reply and the router.
func (c *Client) send(ctx context.Context, r workload.Request, path, avoid string, body func() io.Reader) (*http.Response, string, error) {
	for range c.routers.count() {
		url := c.routers.next(time.Now(), avoid)
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
		c.routers.markDead(url, time.Now())
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
		// Without GetBody the transport cannot send the call a second time by itself,
		// which it otherwise does for calls with an idempotency key.
		req.GetBody = nil
	}
}

// errUnreachable tells that no router accepted a connection.
var errUnreachable = errors.New("no router accepts connections")

// notConnected tells whether err shows that nothing was sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// failed returns the result of a call that ended with err, after all before.
func failed(ctx context.Context, out Result, err error) Result {
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

// ErrStopped is the cause with which the end of the load cancels requests.
var ErrStopped = errors.New("the load has ended")
