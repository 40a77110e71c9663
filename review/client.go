package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is one request of a client and its answer.
type call struct {
	id, route, kind, host string
	prefix                string
	tokens                string
	body                  []byte
	deadline              time.Duration
	lastEvent             string
	method, query         string // GET for tag-status and POST for the others, and none, if they are empty

	kept        bool // the connection had carried other requests
	sent, ended time.Time
	status      int
	seal        string
	body2       []byte
	complete    bool
	err         string
}

// target returns the path and the query of the request.
func (c *call) target() string { return "/" + c.route + "/2f" + c.query }

// clients sends requests over kept connections.
type clients struct {
	c    *cluster
	next atomic.Int64
	wg   sync.WaitGroup

	mu   sync.Mutex
	idle map[*machine][]*clientConn
}

type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
	used   int
}

func newClients(c *cluster) *clients { return &clients{c: c, idle: make(map[*machine][]*clientConn)} }

// id returns a new ID of a request.
func (k *clients) id() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), k.next.Add(1)) }

// every calls send at the given rate, at random times, until ctx ends.
func (k *clients) every(ctx context.Context, perSecond float64, send func()) {
	k.wg.Add(1)
	go func() {
		defer k.wg.Done()
		for {
			sleep(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second)))
			if ctx.Err() != nil {
				return
			}
			k.wg.Add(1)
			go func() {
				defer k.wg.Done()
				send()
			}()
		}
	}()
}

func (k *clients) connect(m *machine) (*clientConn, error) {
	k.mu.Lock()
	if list := k.idle[m]; len(list) > 0 {
		cc := list[len(list)-1]
		k.idle[m] = list[:len(list)-1]
		k.mu.Unlock()
		return cc, nil
	}
	k.mu.Unlock()
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends a request to a machine and reads the answer.
func (k *clients) do(m *machine, c *call) *call {
	c.host = m.name
	k.c.rec.add("sent", "%s (%s %s) to %s", c.id, c.route, c.kind, m.name)
	k.exchange(m, c)
	c.ended = time.Now()
	k.c.rec.ended(c)
	return c
}

func (k *clients) exchange(m *machine, c *call) {
	c.sent = time.Now()
	cc, err := k.connect(m)
	if err != nil {
		c.err = "connect: " + err.Error()
		return
	}
	c.kept = cc.used > 0
	method := c.method
	switch {
	case method != "":
	case c.route == "tag-status":
		method = http.MethodGet
	default:
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+m.front()+c.target(), bytes.NewReader(c.body))
	if err != nil {
		panic(err)
	}
	req.Host = hostname
	req.Header.Set(headerRequest, c.id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(headerDeadline, fmt.Sprint(c.deadline.Milliseconds()))
	if c.tokens != "" {
		req.Header.Set(headerTokens, c.tokens)
		req.Header.Set(headerPrefix, c.prefix)
		req.Header.Set(headerModel, "m")
	}
	if c.lastEvent != "" {
		req.Header.Set(headerLastEvent, c.lastEvent)
	}
	if err := req.Write(cc.conn); err != nil {
		cc.conn.Close()
		c.err = "write: " + err.Error()
		return
	}
	cc.used++
	c.sent = time.Now()
	_ = cc.conn.SetReadDeadline(c.sent.Add(c.deadline))
	resp, err := http.ReadResponse(cc.reader, req)
	if err != nil {
		cc.conn.Close()
		c.err = "head: " + err.Error()
		return
	}
	c.status = resp.StatusCode
	c.seal = resp.Header.Get(headerSeal)
	c.body2, err = io.ReadAll(resp.Body)
	if err != nil {
		cc.conn.Close()
		c.err = "body: " + err.Error()
		return
	}
	c.complete = true
	if resp.Close {
		cc.conn.Close()
		return
	}
	k.mu.Lock()
	k.idle[m] = append(k.idle[m], cc)
	k.mu.Unlock()
}

// anyMachine returns one of the machines.
func (k *clients) anyMachine() *machine { return k.c.machines[rand.IntN(len(k.c.machines))] }

// sendTag sends a request to the plain service.
func (k *clients) sendTag(route string) {
	c := &call{id: k.id(), route: route, kind: "plain", deadline: 1500 * time.Millisecond}
	if route == "tag-lock" {
		c.body = bytes.Repeat([]byte("x"), 600)
	}
	k.do(k.anyMachine(), c)
}

// stream returns a request to the model with the given shared parts of its prompt. The last
// part is its own.
func (k *clients) stream(route, kind string, shared []string) *call {
	parts := append(append([]string(nil), shared...), fmt.Sprintf("%08x:200", rand.Uint32()|1))
	return &call{
		id: k.id(), route: route, kind: kind, deadline: 14 * time.Second, tokens: "3000,80", prefix: strings.Join(parts, ","),
		body: bytes.Repeat([]byte("p"), 3000),
	}
}
