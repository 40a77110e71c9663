package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["tenant"] = movedKey }

const (
	pauseBefore = time.Second     // of a slow client, before the change
	pauseAfter  = 5 * time.Second // and after it; config_apply_ms is 2,000
)

// movedKey changes the tenant of a key while slow clients send the bodies of their requests. The rule
// wants the runner to be told the tenant that holds the key.
func movedKey(rec *Record, trouble string) bool {
	c := NewCluster(9)
	cleanup = c.Close
	_, _, runs := c.addRunners()
	c.store.Put("config", "main", configuration(1, tenants))
	c.Start()
	body := strings.Repeat("x", 3000)
	var conns []net.Conn
	for i, h := range c.hosts[:3] {
		conn, err := net.Dial("tcp", h.front)
		if err != nil {
			unable("%v", err)
		}
		id := fmt.Sprintf("slow-%d", i+1)
		text := head("POST", streamPath, id, firstKey, 14000, headerModel+": m", headerTokens+": 1460,80",
			headerPrefix+": 5c1e07a2:800,91bd3f06:410,e4402b7d:250", "Content-Length: 3000")
		if _, err := conn.Write([]byte(text + body[:1500])); err != nil {
			unable("%v", err)
		}
		rec.Say("%s: the head and half of the body are sent to %s, with the key of %s", id, h.name, firstTenant)
		conns = append(conns, conn)
	}
	time.Sleep(pauseBefore)
	holder := firstTenant
	if trouble != troubleNone {
		holder = secondTenant
		c.store.Put("config", "main", configuration(2, []tenant{
			{firstTenant, []string{"xd9dnn2ctnfzs989anu6"}}, {secondTenant, []string{secondKey, firstKey}},
		}))
		rec.Say("version 2 is acknowledged: the key belongs to %s", secondTenant)
	}
	time.Sleep(pauseAfter)
	for i, h := range c.hosts[:3] {
		id := fmt.Sprintf("probe-%d", i+1)
		status, text := call(h.front, http.MethodGet, safePath, id, firstKey, 1500*time.Millisecond)
		rec.Say("%s: a whole request with the same key at %s: %d %s", id, h.name, status, text)
	}
	for i, conn := range conns {
		status, text := exchange(conn, body[1500:], http.MethodPost, 5*time.Second)
		rec.Say("slow-%d: the rest of the body is sent, and the answer is %d %s", i+1, status, text)
		conn.Close()
	}
	held := true
	for _, run := range runs.All() {
		rec.Say("%s ran at %s at %.2f s for tenant %s; the key is held by %s", run.ID, run.Runner,
			run.At.Sub(rec.start).Seconds(), run.Tenant, holder)
		if run.Tenant != holder {
			rec.Say("UNASKED: %s ran for a tenant that doesn't hold its key", run.ID)
			held = false
		}
	}
	return held
}
