package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// The outcomes of runs and the fates of KV caches that the stand-ins record.
const (
	runFinished = "finished"
	runKVLost   = "kv-lost"
	runOrphaned = "orphaned"
	kvHeld      = "held"
	roleDecode  = "decode"
)

// Run is one attempt on one engine.
type Run struct {
	Request      string    `json:"request-id"`
	Attempt      uint32    `json:"attempt"`
	Endpoint     string    `json:"endpoint"`
	Role         string    `json:"role"`
	Start        time.Time `json:"start"`
	End          time.Time `json:"end"`
	Outcome      string    `json:"outcome"` // empty while it runs
	PromptTokens int64     `json:"prompt-tokens"`
	Tokens       int64     `json:"tokens"` // output tokens generated
	KV           string    `json:"kv"`
}

// Execution is one execution of a service call.
type Execution struct {
	Service        string    `json:"service"`
	Request        string    `json:"request-id"`
	IdempotencyKey string    `json:"idempotency-key"`
	Time           time.Time `json:"time"`
}

// search is what a stand-in answers to a search of the calls that it received.
type search struct {
	Matches []struct {
		Endpoint string `json:"endpoint"`
		Method   string `json:"method"`
		URL      string `json:"url"`
	} `json:"matches"`
	Searched int `json:"searched"`
	Dropped  int `json:"dropped"`
}

// Records is what stand-ins recorded.
type Records struct {
	Runs       []Run
	Executions []Execution
	Searched   int      // calls that were searched for secrets
	Dropped    int      // calls that the stand-ins no longer have
	Found      []string // calls that contain a secret
}

func (r *Records) add(o Records) {
	r.Runs = append(r.Runs, o.Runs...)
	r.Executions = append(r.Executions, o.Executions...)
	r.Searched += o.Searched
	r.Dropped += o.Dropped
	r.Found = append(r.Found, o.Found...)
}

// Records returns what all stand-ins recorded, also those that were killed, and
// searches the calls that they received for secrets.
func (c *Cluster) Records(secrets []string) (Records, error) {
	var out Records
	for name, p := range c.standins {
		if !p.Running() {
			continue
		}
		r, err := c.recordsOf(name, secrets)
		if err != nil {
			return Records{}, err
		}
		out.add(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.kept {
		out.add(r)
	}
	return out, nil
}

func (c *Cluster) recordsOf(name string, secrets []string) (Records, error) {
	var out Records
	base := "http://" + c.layout.controls[name] + "/record/"
	if err := c.getJSON(base+"runs", &out.Runs); err != nil {
		return Records{}, err
	}
	if err := c.getJSON(base+"executions", &out.Executions); err != nil {
		return Records{}, err
	}
	for _, secret := range secrets {
		var found search
		if err := c.getJSON(base+"search?text="+url.QueryEscape(secret), &found); err != nil {
			return Records{}, err
		}
		out.Searched = found.Searched
		out.Dropped = found.Dropped
		for _, m := range found.Matches {
			out.Found = append(out.Found, fmt.Sprintf("%s received a key: %s %s", m.Endpoint, m.Method, m.URL))
		}
	}
	return out, nil
}

// KillEndpoint kills the process of an endpoint that runs alone. Its records are
// read directly before. Runs that were under way count as ended.
func (c *Cluster) KillEndpoint(name string, secrets []string) error {
	r, err := c.recordsOf(name, secrets)
	if err != nil {
		return err
	}
	if err := c.standins[name].Kill(); err != nil {
		return err
	}
	for i := range r.Runs {
		if r.Runs[i].Outcome == "" {
			r.Runs[i].Outcome = "killed"
			r.Runs[i].End = time.Now()
		}
		if r.Runs[i].KV == kvHeld {
			r.Runs[i].KV = "killed"
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = append(c.kept, r)
	return nil
}

// Fault is a fault of the platform, a zone or an endpoint.
type Fault struct {
	Target string  `json:"target"`
	Kind   string  `json:"kind"`
	Value  float64 `json:"value,omitempty"`
}

// TargetPlatform is the target of the faults of the platform.
const TargetPlatform = "platform"

// The kinds of faults.
const (
	FaultOutage          = "outage"
	FaultLostReply       = "lost-reply"       // share of the writes to the platform
	FaultCut             = "cut"              // of a zone
	FaultDropReply       = "drop-reply"       // share of the calls of a service
	FaultBreakStream     = "break-stream"     // after so many tokens
	FaultDuplicateChunks = "duplicate-chunks" // of an engine's stream
	FaultReorderChunks   = "reorder-chunks"   // of an engine's stream
	FaultClear           = "clear"
)

// Switch switches a fault on, or off with FaultClear.
func (c *Cluster) Switch(f Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode fault: %w", err)
	}
	address := "http://" + c.layout.controls[c.layout.processOf(f.Target)] + "/fault"
	resp, err := c.client.Post(address, "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("switch fault: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		text, err := io.ReadAll(resp.Body)
		return fmt.Errorf("switch fault: %s: %s %w", resp.Status, text, err)
	}
	return nil
}
