// Package platform is the shell towards the platform's object API and host
// list.
//
// Every call ends in one event. A conditional update whose reply is lost is
// reported as object.WriteUnknown; the decision core reads back.
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
	"ragwortshunt.example/fleet/object"
)

// maxReply bounds the replies that are read. A value is base64 in JSON.
const maxReply = 2 * object.MaxValue

// ErrPlatform is the base of the errors of this package.
var ErrPlatform = errors.New("platform")

// Poster takes the events that the shell produces.
type Poster interface {
	Post(ev core.Event)
}

// Client calls the platform.
type Client struct {
	base    string
	agent   string
	timeout time.Duration
	clock   clockwork.Clock
	poster  Poster
	health  *health
	http    *http.Client
	ctx     context.Context // ends the calls at shutdown
}

// New returns a client for the platform at base, for example
// "http://10.0.0.1:8080". agent names this host to the platform. The begin and
// the end of an outage are logged.
func New(
	ctx context.Context, base, agent string, timeout time.Duration, clock clockwork.Clock, log *zap.Logger, p Poster,
) *Client {
	return &Client{
		base: base, agent: agent, timeout: timeout, clock: clock, poster: p, ctx: ctx,
		health: &health{log: log, clock: clock},
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 32,
			DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		}},
	}
}

// Read starts a read or a watch.
func (c *Client) Read(e core.ReadObject) {
	go func() { c.poster.Post(c.read(e)) }()
}

// Write starts a conditional update.
func (c *Client) Write(e core.WriteObject) {
	go func() { c.poster.Post(c.write(e)) }()
}

// List starts a read of the host list.
func (c *Client) List(core.ListHosts) {
	go func() {
		var list object.Hosts
		status, err := c.get(c.base+"/hosts", c.timeout, &list)
		if err == nil && status == http.StatusOK {
			c.poster.Post(core.HostsListed{Hosts: list.Hosts})
		}
	}()
}

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
		return fmt.Sprintf("%s/objects/%s/%s", c.base, e.Kind, name)
	}
	return fmt.Sprintf("%s/watch/%s/%s?after=%d&wait-ms=%d", c.base, e.Kind, name, e.After, e.Wait.Milliseconds())
}

// get returns the status and, for 200, the decoded body.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return 0, fmt.Errorf("%w: read reply: %w", ErrPlatform, err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return 0, fmt.Errorf("%w: decode reply: %w", ErrPlatform, err)
	}
	return resp.StatusCode, nil
}

func (c *Client) do(ctx context.Context, method, u string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	req.Header.Set("User-Agent", c.agent)
	resp, err := c.http.Do(req)
	if err != nil {
		c.noteFailure(err.Error())
		return nil, fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		c.noteFailure(resp.Status)
	} else {
		c.health.succeeded()
	}
	return resp, nil
}

// noteFailure passes a failure on, unless the shutdown has ended the call.
func (c *Client) noteFailure(cause string) {
	if c.ctx.Err() == nil {
		c.health.failed(cause)
	}
}

func (c *Client) write(e core.WriteObject) core.ObjectWritten {
	ev := core.ObjectWritten{Kind: e.Kind, Name: e.Name}
	u := fmt.Sprintf("%s/objects/%s/%s?if-version=%s",
		c.base, e.Kind, url.PathEscape(e.Name), strconv.FormatUint(e.IfVersion, 10))
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodPut, u, e.Value)
	if err != nil {
		ev.Outcome = failedWrite(err)
		return ev
	}
	defer resp.Body.Close()
	ev.Outcome, ev.Version = writeOutcome(resp)
	return ev
}

// failedWrite tells a connection that was never made from a lost reply.
func failedWrite(err error) object.WriteOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return object.WriteFailed
	}
	return object.WriteUnknown
}

func writeOutcome(resp *http.Response) (object.WriteOutcome, uint64) {
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
	err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&obj)
	if err != nil || obj.Version == 0 {
		return object.WriteUnknown, 0
	}
	return object.WriteDone, obj.Version
}
