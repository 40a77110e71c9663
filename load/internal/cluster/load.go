package cluster

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ragwortshunt.example/load/internal/runner"
	"ragwortshunt.example/load/internal/stats"
	"ragwortshunt.example/load/internal/workload"
)

// The bounds of requests.
const (
	requestTime = 45 * time.Second
	drainTime   = 30 * time.Second
)

// Load is a load that runs beside the faults.
type Load struct {
	Start  time.Time
	Report stats.Report // valid after Wait

	stop     context.CancelFunc
	done     chan struct{}
	mu       sync.Mutex
	outcomes []runner.Outcome
}

// Keys returns the caller keys of the example accounts.
func (c *Cluster) Keys() (map[string]string, error) {
	w, err := workload.Load(filepath.Join(c.cfg.Root, "load", "examples", "tallinn-demo.ini"))
	if err != nil {
		return nil, err
	}
	return w.Accounts, nil
}

// Secrets returns the secret parts of the keys of the example accounts.
func (c *Cluster) Secrets() ([]string, error) {
	keys, err := c.Keys()
	if err != nil {
		return nil, err
	}
	var out []string
	for _, key := range keys {
		out = append(out, key[strings.LastIndex(key, "-")+1:])
	}
	return out, nil
}

// StartLoad starts to send the flows of a workload file to all routers, with the keys
// of the example accounts.
func (c *Cluster) StartLoad(path string, duration time.Duration, seed uint64) (*Load, error) {
	w, err := workload.Load(path)
	if err != nil {
		return nil, err
	}
	if w.Accounts, err = c.Keys(); err != nil {
		return nil, err
	}
	l := &Load{Start: time.Now(), done: make(chan struct{})}
	opts := runner.Options{
		Workload: w,
		Duration: duration,
		Timeout:  requestTime,
		Drain:    drainTime,
		Seed:     seed,
		Run:      fmt.Sprintf("seed-%d", seed),
		Observe:  l.observe,
	}
	for _, h := range c.layout.hosts {
		opts.Routers = append(opts.Routers, "http://"+h.caller)
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	go func() {
		defer close(l.done)
		l.Report = runner.Run(ctx, opts)
	}()
	return l, nil
}

func (l *Load) observe(o runner.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// Until waits for a time since the start of the load.
func (l *Load) Until(at time.Duration) { time.Sleep(time.Until(l.Start.Add(at))) }

// Wait waits for the end of the load and returns the ends of all requests.
func (l *Load) Wait() []runner.Outcome {
	<-l.done
	l.stop()
	return l.outcomes
}

// Stop ends the load early.
func (l *Load) Stop() {
	l.stop()
	<-l.done
}
