// Package platform accesses the platform's object API on behalf of operators.
//
// Client makes single calls and retries them while the platform refuses them or
// does not answer. Load reads the stored table, Apply replaces it.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/object"
)

// Errors of calls to the platform.
var (
	// ErrNotReachable means that no call succeeded before the context ended.
	ErrNotReachable = errors.New("the platform cannot be reached")
	// ErrUnexpectedReply means that a reply of the platform violated the protocol.
	ErrUnexpectedReply = errors.New("unexpected reply from the platform")
)

// ConflictError reports that a conditional write found another object version
// than expected.
type ConflictError struct {
	Current object.Object // version 0 if the object does not exist
}

// Error names the object and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q has version %d now", e.Current.Kind, e.Current.Name, e.Current.Version)
}

const (
	callTimeout       = 5 * time.Second        // of one attempt
	minBackoff        = 100 * time.Millisecond // doubles with each retry
	maxBackoff        = 2 * time.Second
	maxReplyBytes     = 256 << 20
	maxInvalidReplies = 3 // a call fails after this number of replies that violate the protocol
)

// Client calls the object API. It is safe for concurrent use. All methods retry
// until the context ends and then return ErrNotReachable.
type Client struct {
	baseURL string // URL without trailing slash
	http    *http.Client
}

// New returns a client for the platform at the base URL.
func New(baseURL string) *Client {
	return &Client{baseURL: baseURL, http: &http.Client{}}
}

// Get returns an object, or one with version 0 if it does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) (object.Object, error) {
	r := request{method: http.MethodGet, path: objectPath(kind, name)}
	var out object.Object
	err := c.callWithRetry(ctx, r, func(reply reply) error {
		if reply.status == http.StatusNotFound {
			out = object.Object{Kind: kind, Name: name}
			return nil
		}
		var err error
		out, err = decodeObject(reply, kind, name)
		return err
	})
	return out, err
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) ([]object.Object, error) {
	r := request{method: http.MethodGet, path: "/objects/" + url.PathEscape(kind)}
	var out object.List
	err := c.callWithRetry(ctx, r, func(reply reply) error {
		if reply.status == http.StatusNotFound {
			return nil
		}
		return decode(reply, &out)
	})
	return out.Objects, err
}

// Put writes an object if it still has the given version, and returns its new
// version. It retries when the outcome is unknown; an earlier attempt that took
// effect counts as success. The error can be a *ConflictError. After a lost reply, a
// *ConflictError does not prove that this write failed: another write may have followed
// it.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	r := request{
		method: http.MethodPut,
		path:   objectPath(kind, name) + "?if-version=" + strconv.FormatUint(ifVersion, 10),
		body:   value,
	}
	var version uint64
	err := c.callWithRetry(ctx, r, func(reply reply) error {
		o, err := decodePut(reply, kind, name, ifVersion)
		var conflict *ConflictError
		if errors.As(err, &conflict) && o.Version > ifVersion && bytes.Equal(o.Value, value) {
			err = nil
		}
		version = o.Version
		return err
	})
	return version, err
}

// Delete removes an object if it still has the given version. An object that does
// not exist counts as removed.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	r := request{
		method: http.MethodDelete,
		path:   objectPath(kind, name) + "?if-version=" + strconv.FormatUint(ifVersion, 10),
	}
	return c.callWithRetry(ctx, r, func(reply reply) error {
		switch reply.status {
		case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
			return nil
		case http.StatusConflict:
			return &ConflictError{Current: object.Object{Kind: kind, Name: name}}
		}
		return replyError(reply)
	})
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func decodeObject(r reply, kind, name string) (object.Object, error) {
	var o object.Object
	if err := decode(r, &o); err != nil {
		return object.Object{}, err
	}
	if o.Kind != kind || o.Name != name || o.Version == 0 {
		return object.Object{}, fmt.Errorf("%w: object %s/%s version %d, want %s/%s", ErrUnexpectedReply, o.Kind, o.Name, o.Version, kind, name)
	}
	return o, nil
}

// decodePut returns the new object, or the current object and a *ConflictError.
func decodePut(r reply, kind, name string, ifVersion uint64) (object.Object, error) {
	if r.status != http.StatusConflict {
		o, err := decodeObject(r, kind, name)
		if err == nil && o.Version <= ifVersion {
			err = fmt.Errorf("%w: version %d after a write over version %d", ErrUnexpectedReply, o.Version, ifVersion)
		}
		return o, err
	}
	var o object.Object
	if err := json.Unmarshal(r.body, &o); err != nil {
		return o, fmt.Errorf("%w: conflict: %w", ErrUnexpectedReply, err)
	}
	if o.Version == ifVersion {
		return o, fmt.Errorf("%w: conflict with the expected version %d", ErrUnexpectedReply, ifVersion)
	}
	o.Kind, o.Name = kind, name
	return o, &ConflictError{Current: o}
}

func decode(r reply, out any) error {
	if r.status != http.StatusOK && r.status != http.StatusCreated {
		return replyError(r)
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnexpectedReply, err)
	}
	return nil
}

func replyError(r reply) error { return fmt.Errorf("%w: status %d", ErrUnexpectedReply, r.status) }

// request is one call. It can be retried safely, since writes are conditional.
type request struct {
	method, path string
	body         []byte
}

// reply is a complete HTTP response.
type reply struct {
	status     int
	body       []byte
	retryDelay time.Duration // from the Retry-After header; 0 if absent
}

// callWithRetry retries a call until accept returns nil or an error other than
// ErrUnexpectedReply. It retries until ctx ends while the platform refuses the call
// (429, 5xx) or does not answer, and gives up after maxInvalidReplies replies that
// accept rejects with ErrUnexpectedReply.
func (c *Client) callWithRetry(ctx context.Context, r request, accept func(reply) error) error {
	backoff := minBackoff
	invalidReplies := 0
	for {
		reply, err := c.call(ctx, r)
		if err == nil && !isRetryable(reply.status) {
			err = accept(reply)
			if !errors.Is(err, ErrUnexpectedReply) {
				return err
			}
			invalidReplies++
			if invalidReplies == maxInvalidReplies {
				return err
			}
		}
		if err == nil {
			err = fmt.Errorf("status %d", reply.status)
		}
		if sleepWithJitter(ctx, max(backoff, reply.retryDelay)) != nil {
			return fmt.Errorf("%w: %s %s: %w", ErrNotReachable, r.method, r.path, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleepWithJitter waits for between 50% and 100% of d, so that operators that were
// refused at the same time do not retry at the same time.
func sleepWithJitter(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d/2 + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return ctx.Err()
	}
}

func isRetryable(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

func (c *Client) call(ctx context.Context, r request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, c.baseURL+r.path, bytes.NewReader(r.body))
	if err != nil {
		return reply{}, fmt.Errorf("make the request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply{}, fmt.Errorf("read the reply: %w", err)
	}
	return reply{status: resp.StatusCode, body: body, retryDelay: retryAfter(resp.Header)}, nil
}

// retryAfter returns the delay that the Retry-After header asks for, at most
// maxBackoff. It returns 0 if the header is absent or is not a number of seconds.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return min(time.Duration(min(s, 60))*time.Second, maxBackoff)
}
