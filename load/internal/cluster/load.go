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

const (
	requestTimeout = 45 * time.Second
	drainTimeout   = 30 * time.Second // for requests in flight after sending ends
)

// Load is a load that runs in the background while a test injects faults.
type Load struct {
	Start  time.Time
	Report stats.Report // valid after Wait

	stop     context.CancelFunc
	done     chan struct{}
	mu       sync.Mutex
	outcomes []runner.Outcome
}

// APIKeys returns the API keys of the example accounts, by account.
func (c *Cluster) APIKeys() (map[string]string, error) {
	w, err := workload.Load(filepath.Join(c.cfg.Root, "load", "examples", "tallinn-demo.ini"))
	if err != nil {
		return nil, err
	}
	return w.Accounts, nil
}

// Secrets returns the secret parts of the API keys of the example accounts. The secret
// part follows the last hyphen of a key.
func (c *Cluster) Secrets() ([]string, error) {
	keys, err := c.APIKeys()
	if err != nil {
		return nil, err
	}
	var out []string
	for _, key := range keys {
		out = append(out, key[strings.LastIndex(key, "-")+1:])
	}
	return out, nil
}

// StartLoad starts to send the flows of a workload file to all routers, with the API
// keys of the example accounts.
func (c *Cluster) StartLoad(path string, duration time.Duration, seed uint64) (*Load, error) {
	w, err := workload.Load(path)
	if err != nil {
		return nil, err
	}
	if w.Accounts, err = c.APIKeys(); err != nil {
		return nil, err
	}
	l := &Load{Start: time.Now(), done: make(chan struct{})}
	opts := runner.Options{
		Workload: w,
		Duration: duration,
		Timeout:  requestTimeout,
		Drain:    drainTimeout,
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

// observe records a finished request. It is called concurrently.
func (l *Load) observe(o runner.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// WaitUntil waits until the given time since the start of the load.
func (l *Load) WaitUntil(at time.Duration) { time.Sleep(time.Until(l.Start.Add(at))) }

// Wait waits for the end of the load and returns the outcomes of all requests.
func (l *Load) Wait() []runner.Outcome {
	<-l.done
	l.stop()
	return l.outcomes
}

// Stop ends the load early: it cancels the requests in flight and waits for their end.
func (l *Load) Stop() {
	l.stop()
	<-l.done
}
