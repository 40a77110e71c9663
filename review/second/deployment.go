package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// The Tallinn deployment of SYSTEM.md, as its settings and its configuration name it.
const (
	hostname     = "ficu95.example"
	modelService = "huvo11a"
	plainService = "wuno96b"
	streamPath   = "/lohu930/" // resumable streams
	oncePath     = "/pufi791/" // streams that may run once
	unsafePath   = "/pule252/"
	safePath     = "/puxa403/"
	firstTenant  = "huka270"
	firstKey     = "3d3zji9n73hh2b9wu3fe"
	secondTenant = "taru118"
	secondKey    = "k2m8c1v0q7h5x4z9w6p3"
)

// tenant is a client account of the configuration.
type tenant struct {
	name string
	keys []string
}

var tenants = []tenant{{firstTenant, []string{firstKey}}, {secondTenant, []string{secondKey}}}

func routeOf(name, path, kind, service string, timeoutMS, targetMS, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "hostname": hostname, "path_prefix": path, "type": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": targetMS, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
	}
	if kind == "streaming" {
		r["sticky"], r["resumable"], r["target_gap_ms"] = true, resumable, 300
	}
	return r
}

// configuration returns one version of the operator's configuration.
func configuration(version int, tenants []tenant) map[string]any {
	accounts := []any{}
	for _, t := range tenants {
		accounts = append(accounts, map[string]any{
			"name": t.name, "api_keys": t.keys, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 57431, "burst": 57431,
		})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			routeOf("r-imaj3nr", streamPath, "streaming", modelService, 14000, 900, 2, true),
			routeOf("r-26tta82", oncePath, "streaming", modelService, 14000, 900, 1, false),
			routeOf("r-u8d2kk1", unsafePath, "unsafe", plainService, 1500, 100, 1, false),
			routeOf("r-p0xq7e4", safePath, "safe", plainService, 1500, 100, 2, false),
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health_check_path": "/health", "max_connections": 210, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 24, "kv_capacity_tokens": 37563, "kv_token_bytes": 163840, "link_mbps": 1300000.0, "moves": true,
					"backups": true, "stride": 11, "most": 12, "kv_ttl_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": plainService, "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": accounts,
	}
}

// addRunners starts the 12 model runners and the 3 runners of the plain service.
func (c *Cluster) addRunners() (models, plain []*Runner, runs *Runs) {
	runs = new(Runs)
	zones := []string{"tln-a", "tln-b", "tln-c"}
	for i := range 12 {
		stage := stageDecode
		if i%3 == 0 {
			stage = stagePrefill
		}
		r := &Runner{
			id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: modelService, zone: zones[i%3], stage: stage, slots: 24, queue: 2,
			conns: 210, prefill: 60 * time.Millisecond, event: 50 * time.Millisecond, events: 8, runs: runs, store: c.store,
		}
		r.Start()
		models = append(models, r)
	}
	for i := range 3 {
		r := &Runner{
			id: fmt.Sprintf("i-%08x", 0x02d9e6b0+i), service: plainService, zone: zones[i], slots: 6, queue: 24, conns: 110,
			work: 15 * time.Millisecond, runs: runs, store: c.store,
		}
		r.Start()
		plain = append(plain, r)
	}
	return models, plain, runs
}

// head returns the head of a request.
func head(method, path, id, key string, deadlineMS int, fields ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, hostname, headerAttempt, id, headerDeadline, deadlineMS, key)
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	return b.String() + "\r\n"
}

// call sends an ordinary request on a new connection and returns the status, or 0 without an answer.
func call(address, method, path, id, key string, timeout time.Duration) (int, string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer conn.Close()
	return exchange(conn, head(method, path, id, key, int(timeout.Milliseconds()), "Content-Length: 0"), method, timeout)
}

// exchange writes a request and reads its answer.
func exchange(conn net.Conn, text, method string, timeout time.Duration) (int, string) {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte(text)); err != nil {
		return 0, err.Error()
	}
	return answer(conn, method)
}

// answer reads one answer.
func answer(conn net.Conn, method string) (int, string) {
	resp, err := readResponse(conn, method)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, http.StatusText(resp.StatusCode)
}
