// Package cluster runs a complete deployment as processes on the loopback interface:
// stand-ins for the platform, the engines and the services, and the routers of three
// zones. It injects faults, and checks the invariants of the system against the records
// of the stand-ins and the results of the callers.
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
	"sync"
	"time"
)

// Durations of the rate limit leases, as configured in the routers.
const (
	PooledLease  = 2 * time.Second
	ReserveLease = 6 * time.Second
)

const (
	startTimeout = 30 * time.Second // until a process is ready
	killTimeout  = 10 * time.Second // until a killed process has exited
	callTimeout  = 10 * time.Second // of an HTTP call
	applyTimeout = 20 * time.Second // of ragwortctl
	pollInterval = 100 * time.Millisecond
)

const (
	filePerm        = 0o644
	platformProcess = "platform"
	startAttempts   = 3
)

var errTimeout = errors.New("time-out")

// Config describes a deployment.
type Config struct {
	Root         string // root directory of the repository
	Programs     string // directory of the programs; see Build
	Dir          string // directory for settings and logs
	HostsPerZone int    // routers per zone
	// Relays makes routers reach their peers through relays, which
	// FaultZonePartition can interrupt.
	Relays bool
	// DedicatedEndpoints lists the endpoints that run in a process of their own.
	// The other endpoints of a zone share one process.
	DedicatedEndpoints []string
}

// Cluster is a running deployment.
type Cluster struct {
	cfg      Config
	layout   *layout
	starter  *starter
	client   *http.Client
	standins map[string]*Process // by process name
	routers  map[string]*Process // by host name

	mu            sync.Mutex
	killedRecords []Records // of stand-ins that were killed
}

// Build compiles the programs of the repository at root into dir.
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

// Start starts all processes, applies the configuration table and waits until all
// routers are ready. If this fails, it starts over, up to startAttempts times: another
// program can take a port after it was reserved and before the process binds it.
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

// start makes one attempt at starting a cluster.
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
		client:   &http.Client{Timeout: callTimeout},
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
	for name, standinNames := range c.layout.standinNames {
		args := []string{"--settings", path, "--control", c.layout.controlAddresses[name]}
		for _, standinName := range standinNames {
			args = append(args, "--only", standinName)
		}
		if c.standins[name], err = c.starter.start(c.cfg.Dir, "standin-"+name, c.program("ragwort-standin"), args...); err != nil {
			return err
		}
	}
	for name, p := range c.standins {
		if err := c.waitURL(p, "http://"+c.layout.controlAddresses[name]+"/fault"); err != nil {
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

// waitURL waits until a GET of url succeeds. It fails early if p exits.
func (c *Cluster) waitURL(p *Process, url string) error {
	return waitFor(startTimeout, func() error {
		_, err := c.get(url)
		return err
	}, p.Running)
}

// waitFor polls try until it succeeds. It fails after the timeout, or once running
// returns false.
func waitFor(timeout time.Duration, try func() error, running func() bool) error {
	deadline := time.Now().Add(timeout)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || !running() {
			return fmt.Errorf("%w: %w", errTimeout, err)
		}
		time.Sleep(pollInterval)
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

// Router returns the process of a router by host name, for example "tallinn-a-1".
func (c *Cluster) Router(name string) *Process { return c.routers[name] }

// URL returns the base URL of a router for callers, or "" if the host does not exist.
func (c *Cluster) URL(name string) string {
	for _, h := range c.layout.hosts {
		if h.name == name {
			return "http://" + h.caller
		}
	}
	return ""
}

// ApplyTable changes the configuration table, applies it with ragwortctl and returns the
// time at which ragwortctl exited.
func (c *Cluster) ApplyTable(change func(t *Table)) (time.Time, error) {
	change(c.layout.table)
	err := c.apply(c.layout.table)
	return time.Now(), err
}

// apply writes a table to a file and applies it with ragwortctl.
func (c *Cluster) apply(t *Table) error {
	path := filepath.Join(c.cfg.Dir, "table.csv")
	if err := t.write(path); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, c.program("ragwortctl"), "--platform", "http://"+c.layout.platform, "table", "apply", path)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("apply table: %w\n%s", err, out)
	}
	return nil
}

// Shutdown terminates all running routers gracefully and concurrently. It returns an
// error unless each of them exits with status 0 within the timeout.
func (c *Cluster) Shutdown(timeout time.Duration) error {
	errs := make(chan error)
	n := 0
	for _, p := range c.routers {
		if p.Running() {
			n++
			go func() { errs <- p.Terminate(timeout) }()
		}
	}
	var all []error
	for range n {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// Close kills all processes that are still running.
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
