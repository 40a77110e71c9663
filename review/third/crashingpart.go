package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// crashes counts the crashes under a part of prompts and the requests with it that reach runners.
type crashes struct {
	mu      sync.Mutex
	times   []time.Time
	reached map[string]time.Time // first arrival at a runner, by request
	cut     int                  // other runs that a crash has ended
}

// noting returns a handler that notes the requests with a part that reach a runner.
func (x *crashes) noting(part string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.Header.Get(headerPrefix), part+":") {
			x.mu.Lock()
			if _, ok := x.reached[r.Header.Get(headerID)]; !ok {
				x.reached[r.Header.Get(headerID)] = time.Now()
			}
			x.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// longParts plays a case in which one part of prompts crashes each runner that begins to write an
// answer on it. The IDs of parts are hashes of 128 bits, in hexadecimal.
func longParts(c *cluster, trouble bool) error {
	return crashingPart(c, trouble, os.Getenv("SHORT") != "1", 0)
}

// lateCrash plays the same with IDs of 48 bits. The runners crash half a second after they have begun
// to write the answer.
func lateCrash(c *cluster, trouble bool) error {
	const half = 11 // events, of 45 ms each
	return crashingPart(c, trouble, false, half)
}

func crashingPart(c *cluster, trouble, longIDs bool, crashAfter int) error {
	const (
		eventTime = 45 * time.Millisecond
		output    = 400 // tokens of a sound answer
		sendFor   = 30 * time.Second
		calmFor   = 5 * time.Second // before the first request with the crashing part
		backAfter = 3 * time.Second // that a runner is back after a crash
		contact   = 3 * time.Second // contact_ms
		fifth     = 5
		allowed   = 3 // requests that may reach runners later than contact after the fifth crash
	)
	partID := func(n int) string { return fmt.Sprintf("91bd3f06e4402b7d5c1e07a2%08x", n) }
	if !longIDs {
		partID = func(n int) string { return fmt.Sprintf("91bd%08x", n) }
	}
	shared, crashing := partID(1), partID(2)
	x := &crashes{reached: make(map[string]time.Time)}
	all := &engines{rec: c.rec, handles: make(map[string]time.Time)}
	if err := c.addEngines(all, "huvo11a", "prefill", 4, eventTime); err != nil {
		return err
	}
	for i := range 8 {
		e := &engine{
			all: all, id: fmt.Sprintf("i-decode%d", i), zone: zones[i%len(zones)], stage: "decode",
			eventTime: eventTime, born: time.Now().UnixMilli(), crashPart: crashing, crashAfter: crashAfter,
		}
		server, address, err := c.serveAt("127.0.0.1:0", x.noting(crashing, e))
		if err != nil {
			return err
		}
		e.address = address
		all.list = append(all.list, e)
		c.store.put("servers", e.id, e.entry("huvo11a"))
		var mu sync.Mutex
		e.onCrash = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			c.rec.add("%s crashes as it begins to answer %s", e.id, id)
			_ = server.Close()
			x.mu.Lock()
			x.times = append(x.times, time.Now())
			x.mu.Unlock()
			all.mu.Lock()
			for _, r := range all.runs {
				if r.engine == e && r.ended.IsZero() && r.id != id {
					all.end(r)
					x.cut++
				}
			}
			all.mu.Unlock()
			time.AfterFunc(backAfter, func() {
				mu.Lock()
				defer mu.Unlock()
				e.born = time.Now().UnixMilli()
				if server, _, err = c.serveAt(e.address, x.noting(crashing, e)); err != nil {
					c.rec.add("%s is not back: %v", e.id, err)
					return
				}
				c.rec.add("%s is back", e.id)
				c.store.put("servers", e.id, e.entry("huvo11a"))
			})
		}
	}
	c.store.put("config", "main", config(7))
	if err := c.startRouters(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	cl := newClients(c.rec)
	var wg sync.WaitGroup
	begin := time.Now()
	send := func(kind, middle string, interval time.Duration) {
		for n := 0; time.Since(begin) < sendFor; n++ {
			parts := []string{shared + ":200"}
			if middle != "" {
				parts = append(parts, middle+":400")
			}
			parts = append(parts, partID(0x10000*int(kind[0])+n)+":860")
			q := call{
				id: fmt.Sprintf("%s%07d", kind, n), method: "POST", path: "/pufi791/2f", deadline: 14 * time.Second, body: "prompt",
				header: map[string]string{
					headerUsage: fmt.Sprintf("1460,%d", output), "X-Ragwortshunt-Model": "m", headerPrefix: strings.Join(parts, ","),
				},
			}
			r := c.routers[n%len(c.routers)]
			wg.Go(func() { cl.send(r, q) })
			time.Sleep(interval)
		}
	}
	wg.Go(func() { send("c", "", 150*time.Millisecond) })
	time.Sleep(calmFor)
	if trouble {
		wg.Go(func() { send("d", crashing, 400*time.Millisecond) })
	}
	wg.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	sound, served, late := 0, 0, 0
	for id, a := range cl.answers {
		if id[0] == 'c' {
			sound++
			if a.status == 200 && a.complete {
				served++
			}
		}
	}
	if len(x.times) >= fifth {
		limit := x.times[fifth-1].Add(contact)
		for _, at := range x.reached {
			if at.After(limit) {
				late++
			}
		}
	}
	c.rec.say("%d crashes, which cut %d other runs; %d requests with the part reached runners, %d of them later than %v after the fifth crash",
		len(x.times), x.cut, len(x.reached), late, contact)
	c.rec.say("%d of %d sound requests were served", served, sound)
	switch {
	case trouble && len(x.times) == 0 || !trouble && served*2 < sound:
		return fmt.Errorf("%w: no runner crashed, or too few requests were served", errSetup)
	case late > allowed:
		return fmt.Errorf("%w: BUDGET, %d requests", errBroken, late)
	}
	return nil
}
