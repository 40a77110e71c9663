// Package router reads the status and the request records that routers serve at
// their operator address.
package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"ragwortshunt.example/fleet/id"
)

// Errors of calls to a router.
var (
	ErrNotReachable    = errors.New("the router cannot be reached")
	ErrUnexpectedReply = errors.New("unexpected reply from the router")
	ErrUnknownRequest  = errors.New("the request is unknown")
)

const (
	callTimeout   = 5 * time.Second
	maxReplyBytes = 16 << 20
)

// Object is the JSON object of a reply. This package does not interpret its
// fields; numbers are of type json.Number.
type Object map[string]any

// Status returns the status of the router at the base URL.
func Status(ctx context.Context, baseURL string) (Object, error) {
	out, err := get(ctx, baseURL, "/status")
	if errors.Is(err, ErrUnknownRequest) {
		err = fmt.Errorf("%w: status %d", ErrUnexpectedReply, http.StatusNotFound)
	}
	return out, err
}

// Explain returns the record of a request from the router at the base URL, or
// ErrUnknownRequest.
func Explain(ctx context.Context, baseURL string, request id.Request) (Object, error) {
	return get(ctx, baseURL, "/explain/"+url.PathEscape(string(request)))
}

func get(ctx context.Context, baseURL, path string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+path, nil)
	if err != nil {
		return nil, fmt.Errorf("make the request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotReachable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: read the reply: %w", ErrNotReachable, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, ErrUnknownRequest
	default:
		return nil, fmt.Errorf("%w: status %d", ErrUnexpectedReply, resp.StatusCode)
	}
	return decode(body)
}

// decode keeps numbers as json.Number, because float64 would round large integers.
func decode(body []byte) (Object, error) {
	var out Object
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(&out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnexpectedReply, err)
	}
	if out == nil {
		return nil, fmt.Errorf("%w: no object", ErrUnexpectedReply)
	}
	return out, nil
}
