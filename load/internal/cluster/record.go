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

// Outcomes of runs, states of KV caches and roles, as the stand-ins record them.
const (
	runFinished = "finished"
	runKVLost   = "kv-lost"  // the KV cache to decode from was gone
	runOrphaned = "orphaned" // cancelled because it had no reader left
	kvHeld      = "held"     // the KV cache still occupies engine memory
	roleDecode  = "decode"
)

// Run is one attempt of a request on one engine, as recorded by a stand-in.
type Run struct {
	Request      string    `json:"request-id"` // ID of the request
	Attempt      uint32    `json:"attempt"`
	Endpoint     string    `json:"endpoint"`
	Role         string    `json:"role"`
	Start        time.Time `json:"start"`
	End          time.Time `json:"end"`
	Outcome      string    `json:"outcome"` // empty while the run is in progress
	PromptTokens int64     `json:"prompt-tokens"`
	OutputTokens int64     `json:"tokens"` // output tokens generated
	KVState      string    `json:"kv"`     // of the KV cache; kvHeld while it occupies memory
}

// Execution is one execution of a service call, as recorded by a stand-in.
type Execution struct {
	Service        string    `json:"service"`
	Request        string    `json:"request-id"` // ID of the request
	IdempotencyKey string    `json:"idempotency-key"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Time           time.Time `json:"time"`
}

// String describes an execution in one line.
func (e Execution) String() string {
	return fmt.Sprintf("request %q (%s %s) on %s at %s", e.Request, e.Method, e.Path, e.Service, e.Time.Format(time.StampMilli))
}

// searchResult is the reply of a stand-in to a search in the calls that it received.
type searchResult struct {
	Matches []struct {
		Endpoint string `json:"endpoint"`
		Method   string `json:"method"`
		URL      string `json:"url"`
	} `json:"matches"`
	Searched int `json:"searched"` // calls that were searched
	Dropped  int `json:"dropped"`  // calls that are no longer on record
}

// Records holds the records of one or more stand-ins.
type Records struct {
	Runs        []Run
	Executions  []Execution
	Searched    int      // calls that were searched for secrets
	Dropped     int      // calls that the stand-ins no longer have on record
	SecretLeaks []string // descriptions of calls that contain a secret
}

// add appends the records of o.
func (r *Records) add(o Records) {
	r.Runs = append(r.Runs, o.Runs...)
	r.Executions = append(r.Executions, o.Executions...)
	r.Searched += o.Searched
	r.Dropped += o.Dropped
	r.SecretLeaks = append(r.SecretLeaks, o.SecretLeaks...)
}

// Records returns the records of all stand-ins, including killed ones. It searches the
// calls that the stand-ins received for secrets.
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
	for _, r := range c.killedRecords {
		out.add(r)
	}
	return out, nil
}

// recordsOf returns the records of one stand-in process.
func (c *Cluster) recordsOf(name string, secrets []string) (Records, error) {
	var out Records
	base := "http://" + c.layout.controlAddresses[name] + "/record/"
	if err := c.getJSON(base+"runs", &out.Runs); err != nil {
		return Records{}, err
	}
	if err := c.getJSON(base+"executions", &out.Executions); err != nil {
		return Records{}, err
	}
	for _, secret := range secrets {
		var found searchResult
		if err := c.getJSON(base+"search?text="+url.QueryEscape(secret), &found); err != nil {
			return Records{}, err
		}
		out.Searched = found.Searched
		out.Dropped = found.Dropped
		for _, m := range found.Matches {
			out.SecretLeaks = append(out.SecretLeaks, fmt.Sprintf("%s received a key: %s %s", m.Endpoint, m.Method, m.URL))
		}
	}
	return out, nil
}

// KillEndpoint kills the process of an endpoint in Config.DedicatedEndpoints. It fetches
// the records directly before. Runs that were in progress count as ended, and held KV
// caches as no longer held.
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
		if r.Runs[i].KVState == kvHeld {
			r.Runs[i].KVState = "killed"
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killedRecords = append(c.killedRecords, r)
	return nil
}

// Fault is a fault that the stand-ins inject at the platform, a zone or an endpoint.
// The meaning of Value depends on Kind.
type Fault struct {
	// Target is TargetPlatform or the name of a zone, a service or an engine. FaultClear
	// also accepts an empty target.
	Target string  `json:"target"`
	Kind   string  `json:"kind"`
	Value  float64 `json:"value,omitempty"`
}

// TargetPlatform is the target for faults of the platform.
const TargetPlatform = "platform"

// Kinds of faults.
const (
	// FaultOutage makes the platform reply 503 to every call.
	FaultOutage = "outage"
	// FaultLostReply makes the platform execute writes without a reply. Value is the
	// share of such writes, 0 to 1.
	FaultLostReply = "lost-reply"
	// FaultZonePartition partitions a zone from the platform and from the other
	// zones. The latter needs Config.Relays.
	FaultZonePartition = "cut"
	// FaultDropReply makes a service execute calls without a reply. Value is the share
	// of such calls, 0 to 1.
	FaultDropReply = "drop-reply"
	// FaultBreakStream breaks every stream of an engine after Value tokens.
	FaultBreakStream = "break-stream"
	// FaultDuplicateChunks sends every chunk of an engine's streams twice.
	FaultDuplicateChunks = "duplicate-chunks"
	// FaultReorderChunks swaps every two successive chunks of an engine's streams.
	FaultReorderChunks = "reorder-chunks"
	// FaultClear removes the faults of the target, or all faults of the stand-in
	// process if the target is empty.
	FaultClear = "clear"
)

// SetFault injects a fault, or removes it with FaultClear.
func (c *Cluster) SetFault(f Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode fault: %w", err)
	}
	address := "http://" + c.layout.controlAddresses[c.layout.processOf(f.Target)] + "/fault"
	resp, err := c.client.Post(address, "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("set fault: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		text, err := io.ReadAll(resp.Body)
		return fmt.Errorf("set fault: %s: %s %w", resp.Status, text, err)
	}
	return nil
}
