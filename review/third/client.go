package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const clientKey = "3d3zji9n73hh2b9wu3fe"

// answer is what a client got.
type answer struct {
	status   int  // 0 without an answer
	events   int  // begun
	whole    bool // the last event has its end
	complete bool
	body     string
}

// clients send requests to routers and count what they get.
type clients struct {
	rec  *record
	http *http.Client

	mu      sync.Mutex
	answers map[string]answer
}

func newClients(rec *record) *clients {
	return &clients{
		rec: rec, answers: make(map[string]answer),
		http: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64,
		}},
	}
}

// call is one request of a client.
type call struct {
	id, method, path string
	deadline         time.Duration
	header           map[string]string
	body             string
}

// send sends a request to a router and reads its answer.
func (c *clients) send(r *router, q call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	var out answer
	defer func() {
		c.rec.add("client of %s gets status %d, %d events, complete %t", q.id, out.status, out.events, out.complete)
		c.mu.Lock()
		c.answers[q.id] = out
		c.mu.Unlock()
	}()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+r.address+q.path, strings.NewReader(q.body))
	if err != nil {
		return out
	}
	req.Host = "ficu95.example"
	req.Header.Set(headerID, q.id)
	req.Header.Set("X-Ragwortshunt-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+clientKey)
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	c.rec.add("client sends %s to %s", q.id, r.name)
	resp, err := c.http.Do(req)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		data, err := io.ReadAll(resp.Body)
		out.body, out.complete = string(data), err == nil
		return out
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			out.events++
		}
		if err != nil {
			out.complete = err == io.EOF
			return out
		}
		out.whole = line == "\n"
	}
}
