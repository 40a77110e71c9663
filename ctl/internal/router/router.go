// Package router reads the operator endpoints of routers.
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

// The faults of calls to a router.
var (
	ErrNotReachable   = errors.New("the router cannot be reached")
	ErrReply          = errors.New("unexpected reply from the router")
	ErrUnknownRequest = errors.New("the request is unknown")
)

const (
	callTimeout = 5 * time.Second // for one call
	maxReply    = 16 << 20        // bytes of one reply
)

// Object is the JSON object of a reply. Its fields are not known here.
type Object map[string]any

// Status returns the status of the router at the base URL.
func Status(ctx context.Context, base string) (Object, error) {
	out, err := get(ctx, base, "/status")
	if errors.Is(err, ErrUnknownRequest) {
		err = fmt.Errorf("%w: status %d", ErrReply, http.StatusNotFound)
	}
	return out, err
}

// Explain returns the record of a request from the router at the base URL, or
// ErrUnknownRequest.
func Explain(ctx context.Context, base string, request id.Request) (Object, error) {
	return get(ctx, base, "/explain/"+url.PathEscape(string(request)))
}

func get(ctx context.Context, base, path string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("make the request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotReachable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, fmt.Errorf("%w: read the reply: %w", ErrNotReachable, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, ErrUnknownRequest
	default:
		return nil, fmt.Errorf("%w: status %d", ErrReply, resp.StatusCode)
	}
	return decode(body)
}

// decode keeps numbers as they were written.
func decode(body []byte) (Object, error) {
	var out Object
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(&out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrReply, err)
	}
	if out == nil {
		return nil, fmt.Errorf("%w: no object", ErrReply)
	}
	return out, nil
}
