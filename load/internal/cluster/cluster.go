// Package cluster runs a whole deployment on the loopback interface as processes:
// stand-ins for the platform, the engines and the services, and the routers of
// three zones. It checks what must always hold against what the stand-ins
// recorded and the callers received.
//
// All waits are bounded. No process outlives Close or the calling process.
package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The leases of the routers.
const (
	PooledLease  = 2 * time.Second
	ReserveLease = 6 * time.Second
)

// The bounds of waits.
const (
	startTime = 30 * time.Second
	killTime  = 10 * time.Second
	callTime  = 10 * time.Second
	applyTime = 20 * time.Second
	pollTime  = 100 * time.Millisecond
)

const (
	filePerm        = 0o644
	platformProcess = "platform"
	startAttempts   = 3
)

var errTimeout = errors.New("time-out")

// Config describes a deployment.
type Config struct {
	Root         string   // of the repository
	Programs     string   // directory of the programs, from Build
	Dir          string   // of settings and logs
	HostsPerZone int      // routers per zone
	Relays       bool     // peers talk through relays, which the fault cut breaks
	Alone        []string // endpoints with a process of their own
}

// Cluster is a running deployment.
type Cluster struct {
	cfg      Config
	layout   *layout
	starter  *starter
	client   *http.Client
	standins map[string]*Process
	routers  map[string]*Process

	mu   sync.Mutex
	kept []Records // of stand-ins that were killed
}

// Build builds the programs of the repository at root into dir.
func Build(ctx context.Context, root, dir string) error {
	for _, module := range []string{"router", "ctl", "standin"} {
		cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", dir+"/", "./cmd/...")
		cmd.Dir = filepath.Join(root, module)
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", module, err, out)
		}
	}
	return nil
}

// Start starts all processes, puts the table in force and waits until all
// routers are ready. A free port can be taken between its choice and its use;
// then all is started anew.
func Start(cfg Config) (*Cluster, error) {
	var errs []error
	for range startAttempts {
		c, err := start(cfg)
		if err == nil {
			return c, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

func start(cfg Config) (*Cluster, error) {
	var p ports
	l, err := newLayout(cfg, &p)
	if err := errors.Join(err, p.release()); err != nil {
		return nil, err
	}
	c := &Cluster{
		cfg:      cfg,
		layout:   l,
		starter:  newStarter(),
		client:   &http.Client{Timeout: callTime},
		standins: map[string]*Process{},
		routers:  map[string]*Process{},
	}
	if err := c.startAll(); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) startAll() error {
	if err := c.startStandins(); err != nil {
		return err
	}
	if err := c.apply(c.layout.table); err != nil {
		return err
	}
	for _, h := range c.layout.hosts {
		path, err := c.writeFile(h.name+".ini", c.layout.router(h))
		if err != nil {
			return err
		}
		if c.routers[h.name], err = c.starter.start(c.cfg.Dir, h.name, c.program("ragwortshunt"), "run", "--settings", path); err != nil {
			return err
		}
	}
	return c.waitReady()
}

func (c *Cluster) startStandins() error {
	path, err := c.writeFile("standins.ini", c.layout.standins())
	if err != nil {
		return err
	}
	for name, members := range c.layout.members {
		args := []string{"--settings", path, "--control", c.layout.controls[name]}
		for _, member := range members {
			args = append(args, "--only", member)
		}
		if c.standins[name], err = c.starter.start(c.cfg.Dir, "standin-"+name, c.program("ragwort-standin"), args...); err != nil {
			return err
		}
	}
	for name, p := range c.standins {
		if err := c.waitURL(p, "http://"+c.layout.controls[name]+"/fault"); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) waitReady() error {
	for _, h := range c.layout.hosts {
		if err := c.waitURL(c.routers[h.name], "http://"+h.operator+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// waitURL waits until a process answers a call with success.
func (c *Cluster) waitURL(p *Process, url string) error {
	return waitFor(startTime, func() error {
		_, err := c.get(url)
		return err
	}, p.Running)
}

// waitFor calls try until it succeeds, the time is over, or going is false.
func waitFor(bound time.Duration, try func() error, going func() bool) error {
	deadline := time.Now().Add(bound)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || !going() {
			return fmt.Errorf("%w: %w", errTimeout, err)
		}
		time.Sleep(pollTime)
	}
}

func (c *Cluster) get(url string) ([]byte, error) {
	resp, err := c.client.Get(url)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", url, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("call %s: %s: %s", url, resp.Status, data)
	}
	return data, nil
}

func (c *Cluster) getJSON(url string, v any) error {
	data, err := c.get(url)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("call %s: %w", url, err)
	}
	return nil
}

func (c *Cluster) writeFile(name, text string) (string, error) {
	path := filepath.Join(c.cfg.Dir, name)
	if err := os.WriteFile(path, []byte(text), filePerm); err != nil {
		return "", fmt.Errorf("write file: %w", err)
	}
	return path, nil
}

func (c *Cluster) program(name string) string { return filepath.Join(c.cfg.Programs, name) }

// Router returns the process of a router, for example "tallinn-a-1".
func (c *Cluster) Router(name string) *Process { return c.routers[name] }

// URL returns the address of a router for callers.
func (c *Cluster) URL(name string) string {
	for _, h := range c.layout.hosts {
		if h.name == name {
			return "http://" + h.caller
		}
	}
	return ""
}

// Apply puts a changed table in force and returns the time at which the tool had
// ended.
func (c *Cluster) Apply(change func(t *Table)) (time.Time, error) {
	change(c.layout.table)
	err := c.apply(c.layout.table)
	return time.Now(), err
}

func (c *Cluster) apply(t *Table) error {
	path := filepath.Join(c.cfg.Dir, "table.csv")
	if err := t.write(path); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTime)
	defer cancel()
	cmd := exec.CommandContext(ctx, c.program("ragwortctl"), "--platform", "http://"+c.layout.platform, "table", "apply", path)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("apply table: %w\n%s", err, out)
	}
	return nil
}

// Version returns the version of the table that a router has in force.
func (c *Cluster) Version(name string) (uint64, error) {
	for _, h := range c.layout.hosts {
		if h.name == name {
			var status struct {
				Version uint64 `json:"table-version"`
			}
			err := c.getJSON("http://"+h.operator+"/status", &status)
			return status.Version, err
		}
	}
	return 0, fmt.Errorf("router %s: %w", name, os.ErrNotExist)
}

// WaitSame waits until all running routers have the highest table version that
// any of them has, and returns an error after the bound.
func (c *Cluster) WaitSame(bound time.Duration) error {
	return waitFor(bound, c.sameVersion, func() bool { return true })
}

func (c *Cluster) sameVersion() error {
	found := map[uint64][]string{}
	for name, p := range c.routers {
		if !p.Running() {
			continue
		}
		v, err := c.Version(name)
		if err != nil {
			return err
		}
		found[v] = append(found[v], name)
	}
	if len(found) != 1 {
		return fmt.Errorf("routers differ in the table version: %v", found)
	}
	return nil
}

// Shutdown asks all running routers to end and returns an error unless each
// exits with status 0 within the bound.
func (c *Cluster) Shutdown(bound time.Duration) error {
	errs := make(chan error)
	n := 0
	for _, p := range c.routers {
		if p.Running() {
			n++
			go func() { errs <- p.Terminate(bound) }()
		}
	}
	var all []error
	for range n {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// Close kills all processes that still run.
func (c *Cluster) Close() error {
	var errs []error
	for _, group := range []map[string]*Process{c.routers, c.standins} {
		for _, p := range group {
			if p != nil && p.Running() {
				errs = append(errs, p.Kill())
			}
		}
	}
	close(c.starter.jobs)
	c.client.CloseIdleConnections()
	return errors.Join(errs...)
}

// RouterOutput returns what the routers have written, by file.
func (c *Cluster) RouterOutput() (map[string]string, error) {
	out := map[string]string{}
	for _, p := range c.routers {
		for _, path := range p.output {
			data, err := os.ReadFile(path)
			if err != nil {
				return nil, fmt.Errorf("read output: %w", err)
			}
			out[path] = string(data)
		}
	}
	return out, nil
}

// Metrics returns the metrics pages of the running routers, by router.
func (c *Cluster) Metrics() (map[string]string, error) {
	out := map[string]string{}
	for _, h := range c.layout.hosts {
		if !c.routers[h.name].Running() {
			continue
		}
		data, err := c.get("http://" + h.operator + "/metrics")
		if err != nil {
			return nil, err
		}
		out[h.name] = string(data)
	}
	return out, nil
}

// takenForDead returns the routers that another router took for dead, as a slow
// machine can make it do.
func (c *Cluster) takenForDead() (map[string]bool, error) {
	output, err := c.RouterOutput()
	if err != nil {
		return nil, err
	}
	dead := map[string]bool{}
	for _, text := range output {
		for line := range strings.Lines(text) {
			var entry struct {
				Message string `json:"msg"`
				Peer    string `json:"peer"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "peer: Host is dead." {
				dead[entry.Peer] = true
			}
		}
	}
	return dead, nil
}

// hostOf returns the router that issued a request ID, or nothing.
func (c *Cluster) hostOf(request string) string {
	for _, h := range c.layout.hosts {
		if strings.HasPrefix(request, h.name+"-") {
			return h.name
		}
	}
	return ""
}

// Explain returns what the router that issued a request ID knows of the request.
func (c *Cluster) Explain(request string) string {
	host := c.hostOf(request)
	for _, h := range c.layout.hosts {
		if h.name != host || !c.routers[host].Running() {
			continue
		}
		data, err := c.get("http://" + h.operator + "/explain/" + request)
		if err != nil {
			return err.Error()
		}
		return string(data)
	}
	return "no running router issued it"
}
