package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// errSetup marks a case that could not run.
var errSetup = errors.New("the case could not run")

// cluster is a small deployment on loopback: a store, runners and router processes.
type cluster struct {
	rec     *record
	dir     string // temporary folder for settings and logs
	store   *store
	servers []*http.Server

	mu    sync.Mutex
	ports map[int]bool // that were given out

	routers []*router
	storeAt string
}

// router is one router process.
type router struct {
	name, zone    string
	address       string // for clients
	ready         string
	settings, log string
	peer, metrics string
	cmd           *exec.Cmd
	exited        chan struct{}
}

var zones = []string{"aberdaron", "milford", "cardigan"}

func newCluster(rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "ragwort-review-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	c := &cluster{rec: rec, dir: dir, store: newStore(), ports: make(map[int]bool)}
	c.storeAt, err = c.serve(c.store)
	return c, err
}

// freeAddress returns a loopback address with a free port.
func (c *cluster) freeAddress() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		c.mu.Lock()
		used := c.ports[port]
		c.ports[port] = true
		c.mu.Unlock()
		if !used {
			return fmt.Sprintf("127.0.0.1:%d", port)
		}
	}
}

// serve serves a handler on a free loopback address.
func (c *cluster) serve(h http.Handler) (string, error) {
	_, address, err := c.serveAt("127.0.0.1:0", h)
	return address, err
}

// serveAt serves a handler on an address.
func (c *cluster) serveAt(address string, h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", fmt.Errorf("%w: %w", errSetup, err)
	}
	s := &http.Server{Handler: h}
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.ports[l.Addr().(*net.TCPAddr).Port] = true
	c.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// settingsText is what the template deploy/router.ini gives on a host of a small deployment,
// with addresses of the loopback interface.
const settingsText = `[host]
name = %s
zone = %s
zones = aberdaron,milford,cardigan
drain-timeout = 8s
memory-limit = 33554432
capacity = 0.4
machine-memory = 284
max-open-files = 4100

[caller]
address = %s
ready-address = %s

[peer]
address = %s

[operator]
address = %s
log-level = info

[platform]
protocol = objects
url = http://%s
checks-fences = true

[limit]
lease-groups = 16
slot-rate = 6000
reserve-share = 0.5
pooled-lease = 20s
reserve-lease = 60s
overrun = 0.1
overrun-slack = 190000
overrun-window = 8s

[schedule]
domain = cymru-west
cell-endpoints = 96
domains = cymru-west,cymru-west,cymru-west

[cold-start]

[retry]
ratio = 0.2
window = 10s
extra = 58

[pace]
enabled = true
`

// addRouter starts a router in a zone, as the deploy file says.
func (c *cluster) addRouter(zone string, n int) error {
	r := &router{
		name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone,
		address: c.freeAddress(), ready: c.freeAddress(), peer: c.freeAddress(), metrics: c.freeAddress(),
	}
	r.settings = filepath.Join(c.dir, r.name+".ini")
	r.log = filepath.Join(c.dir, r.name+".log")
	text := fmt.Sprintf(settingsText, r.name, r.zone, r.address, r.ready, r.peer, r.metrics, c.storeAt)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	c.routers = append(c.routers, r)
	return c.start(r)
}

// start starts the process of a router, which must not be running.
func (c *cluster) start(r *router) error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	defer log.Close()
	cmd := exec.Command("target/ragwortshunt", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTSHUNT_SETTINGS=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	r.cmd, r.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(r.exited)
	return nil
}

// startRouters starts three routers in each zone and waits until all are ready.
func (c *cluster) startRouters() error {
	for n := 1; n <= 3; n++ {
		for _, zone := range zones {
			if err := c.addRouter(zone, n); err != nil {
				return err
			}
		}
	}
	for _, r := range c.routers {
		if err := c.awaitReady(r); err != nil {
			return err
		}
	}
	c.rec.say("%d routers are ready", len(c.routers))
	return nil
}

func (c *cluster) awaitReady(r *router) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.ready + "/ragwortshunt/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	text, _ := os.ReadFile(r.log)
	return fmt.Errorf("%w: %s is not ready: %s", errSetup, r.name, bytes.TrimSpace(text[max(0, len(text)-500):]))
}

// isRunning reports whether the process of a router runs.
func (r *router) isRunning() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

// stop ends all processes of the cluster and removes its folder.
func (c *cluster) stop() {
	for _, r := range c.routers {
		if r.cmd != nil && r.cmd.Process != nil {
			_ = r.cmd.Process.Signal(syscall.SIGKILL)
			<-r.exited
		}
	}
	c.mu.Lock()
	servers := c.servers
	c.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		c.rec.say("logs in %s", c.dir)
	}
}
