package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["queued"] = queued }

const (
	queuedPause   = 35 * time.Millisecond // between two requests: 28.6 a second, 2.2 times the sheet's 13
	queuedTime    = 4 * time.Second       // that requests are sent
	queuedSilence = 2 * time.Second       // from the first request to the silence of the prefill runners
	queuedChange  = 700 * time.Millisecond
	// allowedDenied and deniedShare are those of the rule: more than 5 + one in 500.
	allowedDenied = 5
	deniedShare   = 500
)

// queued passes a key on to another tenant while requests with it wait for a runner. Both versions of
// the configuration allow the requests, and the rule wants them not to be ended with 401.
func queued(rec *Record, trouble string) bool {
	c := NewCluster(9)
	cleanup = c.Close
	models, _, runs := c.addRunners()
	c.store.Put("config", "main", configuration(1, tenants))
	c.Start()
	time.AfterFunc(queuedSilence, func() {
		for _, m := range models {
			if m.stage == stagePrefill {
				m.FallSilent(silence)
			}
		}
		rec.Say("the prefill runners are silent for %s", silence)
	})
	if trouble != troubleNone {
		time.AfterFunc(queuedSilence+queuedChange, func() {
			c.store.Put("config", "main", configuration(2, []tenant{
				{firstTenant, []string{"xd9dnn2ctnfzs989anu6"}}, {secondTenant, []string{secondKey, firstKey}},
			}))
			rec.Say("version 2 is acknowledged: the key belongs to %s", secondTenant)
		})
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	total := 0
	for end := time.Now().Add(queuedTime); time.Now().Before(end); time.Sleep(queuedPause) {
		h := c.hosts[total%len(c.hosts)]
		id := fmt.Sprintf("stream-%d", total)
		total++
		clients.Go(func() {
			sent := time.Since(rec.start)
			status, text := callStream(h, streamPath, id)
			rec.Printf("%s: sent to %s at %.3f s, %d %s", id, h.name, sent.Seconds(), status, text)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	clients.Wait()
	rec.Say("%d requests, answers by status: %v; %d ran", total, statuses, len(runs.All()))
	denied := statuses[http.StatusUnauthorized]
	if denied > allowedDenied+total/deniedShare {
		rec.Say("DENIED: %d requests were ended with 401, though both versions allow them", denied)
		return false
	}
	return true
}

// callStream sends a request for a stream of the route with the path and reads the whole answer.
func callStream(h *Host, path, id string) (status int, text string) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer conn.Close()
	body := strings.Repeat("x", 3000)
	return exchange(conn, head(http.MethodPost, path, id, firstKey, 14000, headerModel+": m", headerTokens+": 1460,88",
		headerPrefix+": 5c1e07a2:800,91bd3f06:410,e4402b7d:250", "Content-Length: 3000")+body, http.MethodPost, 14*time.Second)
}
