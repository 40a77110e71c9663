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

// serviceReply is the reply of a stand-in service. It echoes the body of the call;
// Serial numbers the executions.
type serviceReply struct {
	Service string `json:"service"`
	Serial  int64  `json:"serial"`
	Body    string `json:"body"`
}

// service makes one service call. It repeats a share of the calls at another router
// with the same idempotency key: calls with an unknown result, and calls that
// succeeded, where the repeated call must return the same reply.
func (c *Client) service(ctx context.Context, r workload.Request) Result {
	first, reply, router := c.callService(ctx, r, "")
	repeat := false
	switch {
	case first.Status == Whole:
		repeat = r.RepeatDraw < r.Flow.RepeatCompletedShare
	case first.Status == Broken, first.Status == Refused && !first.NotRun:
		repeat = r.RepeatDraw < r.Flow.RepeatUnknownShare
	}
	if !repeat {
		return first
	}
	second, secondReply, _ := c.callService(ctx, r, router)
	if first.Status != Whole {
		second.Repeats = 1
		return second
	}
	first.Repeats = 1
	if second.Status == Wrong || second.Status == Whole && secondReply != reply {
		first.Status = Wrong
		first.Detail = fmt.Sprintf("call %s was executed as %s/%d, its repetition as %s/%d %s",
			r.IdempotencyKey, reply.Service, reply.Serial, secondReply.Service, secondReply.Serial, second.Detail)
	}
	return first
}

// callService sends one call and returns its result, the reply and the base URL of the
// router. It avoids the router avoid if there is another one.
func (c *Client) callService(ctx context.Context, r workload.Request, avoid string) (Result, serviceReply, string) {
	path := "/services/" + r.Flow.Route + r.Flow.Path
	resp, router, err := c.send(ctx, r, path, avoid, func() io.Reader { return strings.NewReader(r.Prompt) })
	if err != nil {
		return failedResult(ctx, Result{Router: router}, err), serviceReply{}, router
	}
	defer resp.Body.Close()
	out := Result{RequestID: resp.Header.Get(headerRequestID), Router: router}
	if resp.StatusCode != http.StatusOK {
		return failedResult(ctx, out, readRefusal(resp)), serviceReply{}, router
	}
	reply, err := readEcho(resp.Body, r.Prompt)
	var wrong *wrongError
	if errors.As(err, &wrong) {
		out.Status = Wrong
		out.Detail = wrong.Error()
		return out, reply, router
	}
	if err != nil {
		return failedResult(ctx, out, err), reply, router
	}
	out.Status = Whole
	return out, reply, router
}

// readEcho reads the reply of a service and verifies that it echoes the body sent.
func readEcho(body io.Reader, sent string) (serviceReply, error) {
	var reply serviceReply
	data, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
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
