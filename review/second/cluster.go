package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Cluster is a small deployment: a store, runners and the project's routers.
type Cluster struct {
	store   *Store
	address string // of the store
	dir     string // for settings and logs
	hosts   []*Host
	given   map[string]bool // addresses
}

// Host is one entry host with its router process.
type Host struct {
	name, zone                   string
	front, ready, peer, operator string // addresses
	settings, log                string // files
	mu                           sync.Mutex
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

// settingsText is deploy/router.ini, filled in as `fleetbench wire` shows it for the small
// deployments.
const settingsText = `[host]
name = %s
zone = %s
zones = tln-a,tln-b,tln-c
drain-timeout = 8s
memory-limit = 33554432
capacity = 0.4
machine-memory = %d
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
domain = tln
cell-endpoints = 96
domains = tln,tln,tln

[cold-start]

[retry]
ratio = 0.2
window = 10s
extra = 58

[pace]
enabled = true
`

// machineMemoryMB is the memory of each machine of the Tallinn deployment.
const machineMemoryMB = 134

// The ports of the hosts lie below those that the kernel gives to connections.
const (
	firstPort = 12000
	portCount = 18000
)

// freeAddress returns a loopback address with a free port that it hasn't returned before.
func (c *Cluster) freeAddress() string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if c.given[address] {
			continue // a host already has it, which may not be listening yet
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		c.given[address] = true
		return address
	}
	unable("no free port")
	return ""
}

// NewCluster returns a deployment with the given number of hosts, which are not started yet.
func NewCluster(hosts int) *Cluster {
	dir, err := os.MkdirTemp("", "ragwort-review-")
	if err != nil {
		unable("no temporary folder: %v", err)
	}
	c := &Cluster{store: NewStore(), dir: dir, given: make(map[string]bool)}
	c.address = c.store.listen()
	zones := []string{"tln-a", "tln-b", "tln-c"}
	for i := range hosts {
		zone := zones[i%len(zones)]
		h := &Host{
			name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone,
			front: c.freeAddress(), ready: c.freeAddress(), peer: c.freeAddress(), operator: c.freeAddress(),
		}
		h.settings = filepath.Join(dir, h.name+".ini")
		h.log = filepath.Join(dir, h.name+".log")
		text := fmt.Sprintf(settingsText, h.name, h.zone, machineMemoryMB, h.front, h.ready, h.peer, h.operator, c.address)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			unable("write settings: %v", err)
		}
		c.hosts = append(c.hosts, h)
	}
	return c
}

// warmUp is more than contact_ms (3,000): after it, all hosts are in touch.
const warmUp = 4 * time.Second

// Start starts all hosts and waits until they are in touch.
func (c *Cluster) Start() {
	for _, h := range c.hosts {
		h.Start()
	}
	for _, h := range c.hosts {
		h.awaitReady()
	}
	time.Sleep(warmUp)
}

// Close ends all processes and removes the temporary folder.
func (c *Cluster) Close() {
	for _, h := range c.hosts {
		h.Kill()
	}
	os.RemoveAll(c.dir)
}

// Start starts the router with the command of the deploy file.
func (h *Host) Start() {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("open log: %v", err)
	}
	defer log.Close()
	cmd := exec.Command("target/ragwortshunt", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTSHUNT_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		unable("start router: %v", err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.exited = cmd, exited
}

// Signal sends a signal to the router.
func (h *Host) Signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig)
	}
}

// Kill ends the router with SIGKILL and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// HasExited reports whether the router has ended.
func (h *Host) HasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

func (h *Host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

func (h *Host) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/ragwortshunt/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *Host) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return
		}
	}
	data, _ := os.ReadFile(h.log)
	unable("%s does not become ready: %s", h.name, data[max(0, len(data)-1000):])
}

// megabyte is the unit of memory_mb.
const megabyte = 1 << 20

// residentMB returns the resident memory of the router in megabytes.
func (h *Host) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// queuedMB returns the bytes, in megabytes, that callers have sent to the router and that it has
// not read.
func (h *Host) queuedMB() float64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	_, port, _ := net.SplitHostPort(h.front)
	n, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", n)
	total := 0.0
	for _, line := range strings.Split(string(data), "\n")[1:] {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasSuffix(f[1], suffix) || f[3] == "0A" {
			continue
		}
		_, rx, _ := strings.Cut(f[4], ":")
		v, _ := strconv.ParseInt(rx, 16, 64)
		total += float64(v)
	}
	return total / megabyte
}
