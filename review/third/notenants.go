package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// plainRunner is a stand-in of one runner of a plain service.
type plainRunner struct {
	rec  *record
	id   string
	runs atomic.Int64
}

func (p *plainRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if r.Header.Get(headerExpected) != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.runs.Add(1)
	p.rec.add("%s runs %s", p.id, id)
	time.Sleep(30 * time.Millisecond) // the sheet's work
	w.Header().Set(headerSeal, "seal."+p.id+"."+id)
	fmt.Fprintf(w, "answer to %s", id)
}

// noTenants plays a case in which the operator sends a version without tenants. Requests need no key
// then. Half of the clients send none from then on.
func noTenants(c *cluster, trouble bool) error {
	const (
		calm     = 5 * time.Second
		apply    = 2 * time.Second // config_apply_ms
		sendFor  = 15 * time.Second
		interval = 20 * time.Millisecond // between two requests: the 63 a second of the sheet, less some
	)
	for i := range 3 {
		p := &plainRunner{rec: c.rec, id: fmt.Sprintf("i-plain%d", i)}
		address, err := c.serve(p)
		if err != nil {
			return err
		}
		c.store.put("servers", p.id, map[string]any{
			"service": "wuno96b", "address": address, "zone": zones[i], "version": "v1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	c.store.put("config", "main", config(7))
	if err := c.startRouters(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	cl := newClients(c.rec)
	var wg sync.WaitGroup
	begin := time.Now()
	var changed time.Time
	sent, keyless := make(map[string]time.Time), make(map[string]bool)
	for n := 0; time.Since(begin) < sendFor; n++ {
		if changed.IsZero() && time.Since(begin) > calm {
			changed = time.Now()
			next := config(9)
			if trouble {
				delete(next, "tenants")
			}
			c.store.put("config", "main", next)
			c.rec.add("the operator sends version 9")
		}
		q := call{id: fmt.Sprintf("e%07d", n), method: "GET", path: "/puxa403/2f", deadline: 2500 * time.Millisecond}
		if n%2 == 0 {
			q.method, q.path, q.body = "POST", "/pule252/2f", "label"
		}
		late := !changed.IsZero() && time.Since(changed) > apply
		q.keyless = trouble && late && n%4 < 2
		sent[q.id], keyless[q.id] = time.Now(), q.keyless
		r := c.routers[n%len(c.routers)]
		wg.Go(func() { cl.send(r, q) })
		time.Sleep(interval)
	}
	wg.Wait()
	before, served, denied, withKey := 0, 0, 0, 0
	for id, a := range cl.answers {
		switch {
		case sent[id].Before(changed):
			if a.status == http.StatusOK {
				before++
			}
		case sent[id].Before(changed.Add(apply)):
		case a.status == http.StatusOK:
			served++
		case a.status == http.StatusUnauthorized && keyless[id]:
			denied++
		case a.status == http.StatusUnauthorized:
			withKey++ // a key that no tenant has any more; not judged
		}
	}
	allowed := 5 + len(cl.answers)/500
	c.rec.say("%d requests; before the change %d were served; later than 2 s after it %d were served, %d without a key ended with 401 (%d are allowed), and %d with a key",
		len(cl.answers), before, served, denied, allowed, withKey)
	switch {
	case before < 100:
		return fmt.Errorf("%w: too few requests were served before the change", errSetup)
	case denied > allowed:
		return fmt.Errorf("%w: DENIED, %d requests", errBroken, denied)
	}
	return nil
}
