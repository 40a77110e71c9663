// Package platform is the adapter for the platform's object API and host list in the
// native protocol.
//
// Every read and write results in one event; a failed read of the host list results in
// none. A conditional update without a response is reported as object.WriteUnknown, and
// the decision core reads the object to learn its outcome.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/http1"
	"ragwortshunt.example/fleet/object"
)

// maxReplyBytes is the maximum size of a response body that is read. It is larger than
// object.MaxValueBytes because values are base64 in JSON.
const maxReplyBytes = 2 * object.MaxValueBytes

// ErrPlatform is wrapped by all errors of this package.
var ErrPlatform = errors.New("platform")

// Poster receives the events that result from calls.
type Poster interface {
	Post(ev core.Event)
}

// Client calls the platform's object API. Its methods return at once and post the result
// as an event.
type Client struct {
	baseURL   string
	userAgent string
	timeout   time.Duration
	clock     clockwork.Clock
	poster    Poster
	health    *health
	http      *http.Client
	ctx       context.Context // context of all calls; ends at shutdown
}

// New returns a client for the platform at baseURL, for example "http://10.0.0.1:8080".
// userAgent identifies this host to the platform. timeout limits each call; a watch may
// take longer by its wait time. The client logs the start and the end of an outage.
func New(
	ctx context.Context, baseURL, userAgent string, timeout time.Duration, clock clockwork.Clock, log *zap.Logger, p Poster,
) *Client {
	return &Client{
		baseURL: baseURL, userAgent: userAgent, timeout: timeout, clock: clock, poster: p, ctx: ctx,
		health: &health{log: log, clock: clock},
		// Answers do not name the call that they belong to. With a connection for each call,
		// a late second copy of one cannot be taken for another.
		http: &http.Client{Transport: http1.NewTransport((&net.Dialer{Timeout: timeout}).DialContext)},
	}
}

// Read starts a read, or a watch if e.Wait is not zero. It results in a core.ObjectRead.
func (c *Client) Read(e core.ReadObject) {
	go func() { c.poster.Post(c.read(e)) }()
}

// Write starts a conditional update. It results in a core.ObjectWritten.
func (c *Client) Write(e core.WriteObject) {
	go func() { c.poster.Post(c.write(e)) }()
}

// List starts a read of the host list. It results in a core.HostsListed, or in no event if
// the read fails.
func (c *Client) List(core.ListHosts) {
	go func() {
		var list object.Hosts
		status, err := c.get(c.baseURL+"/hosts", c.timeout, &list)
		if err == nil && status == http.StatusOK {
			c.poster.Post(core.HostsListed{Hosts: list.Hosts})
		}
	}()
}

// read treats a 404 response as an object that does not exist, with version 0. Any other
// unexpected response counts as a failed read.
func (c *Client) read(e core.ReadObject) core.ObjectRead {
	ev := core.ObjectRead{Kind: e.Kind, Name: e.Name, Sent: c.clock.Now()}
	var obj object.Object
	status, err := c.get(c.readURL(e), c.timeout+e.Wait, &obj)
	switch {
	case err != nil:
		ev.Failed = true
	case status == http.StatusNotModified:
		ev.Unchanged = true
		ev.Version = e.After
	case status == http.StatusNotFound:
	case status == http.StatusOK && obj.Name == e.Name && obj.Version > 0:
		ev.Version = obj.Version
		ev.Value = obj.Value
	default:
		ev.Failed = true
	}
	return ev
}

func (c *Client) readURL(e core.ReadObject) string {
	name := url.PathEscape(e.Name)
	if e.Wait == 0 {
		return fmt.Sprintf("%s/objects/%s/%s", c.baseURL, e.Kind, name)
	}
	return fmt.Sprintf("%s/watch/%s/%s?after=%d&wait-ms=%d", c.baseURL, e.Kind, name, e.After, e.Wait.Milliseconds())
}

// get sends a GET request and returns the status. It decodes the body into out if the
// status is 200.
func (c *Client) get(u string, timeout time.Duration, out any) (int, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodGet, u, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, fmt.Errorf("%w: read reply: %w", ErrPlatform, err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return 0, fmt.Errorf("%w: decode reply: %w", ErrPlatform, err)
	}
	return resp.StatusCode, nil
}

// do sends a request and updates the outage detection. Statuses below 500 count as
// success.
func (c *Client) do(ctx context.Context, method, u string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	req.Header.Set("User-Agent", c.userAgent)
	resp, err := c.http.Do(req)
	if err != nil {
		c.reportFailure(err.Error())
		return nil, fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		c.reportFailure(resp.Status)
	} else {
		c.health.recordSuccess()
	}
	return resp, nil
}

// reportFailure reports a failed call to the outage detection, unless the call has failed
// because the context of the client has ended.
func (c *Client) reportFailure(cause string) {
	if c.ctx.Err() == nil {
		c.health.recordFailure(cause)
	}
}

func (c *Client) write(e core.WriteObject) core.ObjectWritten {
	ev := core.ObjectWritten{Kind: e.Kind, Name: e.Name}
	u := fmt.Sprintf("%s/objects/%s/%s?if-version=%s",
		c.baseURL, e.Kind, url.PathEscape(e.Name), strconv.FormatUint(e.IfVersion, 10))
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodPut, u, e.Value)
	if err != nil {
		ev.Outcome = errorOutcome(err)
		return ev
	}
	defer resp.Body.Close()
	ev.Outcome, ev.Version = responseOutcome(resp)
	return ev
}

// errorOutcome returns the outcome of a write without a response. Only if no connection
// could be established is it certain that nothing was written.
func errorOutcome(err error) object.WriteOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return object.WriteFailed
	}
	return object.WriteUnknown
}

// responseOutcome returns the outcome and the new version of a write with a response. A
// response that does not prove the outcome counts as object.WriteUnknown.
func responseOutcome(resp *http.Response) (object.WriteOutcome, uint64) {
	switch resp.StatusCode {
	case http.StatusConflict:
		return object.WriteConflict, 0
	case http.StatusTooManyRequests:
		return object.WriteFailed, 0
	case http.StatusOK, http.StatusCreated:
	default:
		return object.WriteUnknown, 0
	}
	var obj object.Object
	err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&obj)
	if err != nil || obj.Version == 0 {
		return object.WriteUnknown, 0
	}
	return object.WriteDone, obj.Version
}
