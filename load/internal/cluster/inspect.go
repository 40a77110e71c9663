package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// TableVersion returns the version of the table that a router uses.
func (c *Cluster) TableVersion(name string) (uint64, error) {
	for _, h := range c.layout.hosts {
		if h.name == name {
			var status struct {
				TableVersion uint64 `json:"table-version"`
			}
			err := c.getJSON("http://"+h.operator+"/status", &status)
			return status.TableVersion, err
		}
	}
	return 0, fmt.Errorf("router %s: %w", name, os.ErrNotExist)
}

// WaitSameTable waits until all running routers use the same version of the table. It
// returns an error after the timeout.
func (c *Cluster) WaitSameTable(timeout time.Duration) error {
	return waitFor(timeout, c.checkSameTable, func() bool { return true })
}

// checkSameTable returns an error if the running routers use different versions of the
// table.
func (c *Cluster) checkSameTable() error {
	routersByVersion := map[uint64][]string{}
	for name, p := range c.routers {
		if !p.Running() {
			continue
		}
		v, err := c.TableVersion(name)
		if err != nil {
			return err
		}
		routersByVersion[v] = append(routersByVersion[v], name)
	}
	if len(routersByVersion) != 1 {
		return fmt.Errorf("routers use different table versions: %v", routersByVersion)
	}
	return nil
}

// RouterOutput returns the standard output and standard error of the routers, by file
// path.
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

// Metrics returns the metrics pages of the running routers, by host name.
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

// declaredDead returns the routers that another router declared dead. This can also
// happen to a live router on a slow machine.
func (c *Cluster) declaredDead() (map[string]bool, error) {
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

// hostOf returns the name of the router that issued a request ID, or "" if there is none.
func (c *Cluster) hostOf(requestID string) string {
	for _, h := range c.layout.hosts {
		if strings.HasPrefix(requestID, h.name+"-") {
			return h.name
		}
	}
	return ""
}

// Explain returns the reply of the router that issued a request ID to an explain call
// for the request, or the reason why there is none.
func (c *Cluster) Explain(requestID string) string {
	host := c.hostOf(requestID)
	for _, h := range c.layout.hosts {
		if h.name != host || !c.routers[host].Running() {
			continue
		}
		data, err := c.get("http://" + h.operator + "/explain/" + requestID)
		if err != nil {
			return err.Error()
		}
		return string(data)
	}
	return "no running router issued this request ID"
}
