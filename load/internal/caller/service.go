package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"ragwortshunt.example/load/internal/workload"
)

// serviceReply is the echo of a stand-in service.
type serviceReply struct {
	Service string `json:"service"`
	Serial  int64  `json:"serial"`
	Body    string `json:"body"`
}

// service makes one service call. It repeats a share of the calls with the same
// idempotency key at another router: those with an unknown result, and those
// that are complete, whose repetition must give the same reply.
func (c *Client) service(ctx context.Context, r workload.Request) Result {
	first, reply, router := c.callService(ctx, r, "")
	repeat := false
	switch {
	case first.Status == Whole:
		repeat = r.Draw < r.Flow.RepeatDone
	case first.Status == Broken, first.Status == Refused && !first.NotRun:
		repeat = r.Draw < r.Flow.RepeatShare
	}
	if !repeat {
		return first
	}
	second, again, _ := c.callService(ctx, r, router)
	if first.Status != Whole {
		second.Repeats = 1
		return second
	}
	first.Repeats = 1
	if second.Status == Wrong || second.Status == Whole && again != reply {
		first.Status = Wrong
		first.Detail = fmt.Sprintf("call %s ran as %s/%d, its repeat as %s/%d %s",
			r.IdempotencyKey, reply.Service, reply.Serial, again.Service, again.Serial, second.Detail)
	}
	return first
}

// callService makes one call and returns its result, the reply and the router.
func (c *Client) callService(ctx context.Context, r workload.Request, avoid string) (Result, serviceReply, string) {
	path := "/services/" + r.Flow.Route + r.Flow.Path
	resp, router, err := c.send(ctx, r, path, avoid, func() io.Reader { return strings.NewReader(r.Prompt) })
	if err != nil {
		return failed(ctx, Result{Router: router}, err), serviceReply{}, router
	}
	defer resp.Body.Close()
	out := Result{RequestID: resp.Header.Get(headerRequest), Router: router}
	if resp.StatusCode != http.StatusOK {
		return failed(ctx, out, readRefusal(resp)), serviceReply{}, router
	}
	reply, err := readEcho(resp.Body, r.Prompt)
	var wrong *wrongError
	if errors.As(err, &wrong) {
		out.Status = Wrong
		out.Detail = wrong.Error()
		return out, reply, router
	}
	if err != nil {
		return failed(ctx, out, err), reply, router
	}
	out.Status = Whole
	return out, reply, router
}

// readEcho reads the reply of a service, which must hold the body sent.
func readEcho(body io.Reader, sent string) (serviceReply, error) {
	var reply serviceReply
	data, err := io.ReadAll(io.LimitReader(body, maxReply))
	if err != nil {
		return reply, fmt.Errorf("read reply: %w", err)
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return reply, &wrongError{fmt.Errorf("reply is not JSON: %w", err)}
	}
	if reply.Body != sent || reply.Serial == 0 {
		return reply, &wrongError{errors.New("reply belongs to another call")}
	}
	return reply, nil
}
