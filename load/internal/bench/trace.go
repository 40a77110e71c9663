// Package bench replays fixed traces through the decision cores of a whole
// simulated deployment and compares variants of the scheduling policy.
//
// All variants get the same requests at the same times. The result of a run
// depends only on the trace, the deployment, the variant and the seed. Times are
// virtual and lengths of prompts and outputs are in tokens.
package bench

import (
	"fmt"
	"os"
	"slices"
	"time"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/load/traces"
	"ragwortshunt.example/standin/inifile"
)

// Trace describes the load and the faults of a run.
type Trace struct {
	Name      string
	Duration  time.Duration // during which requests are sent
	BaseShare float64       // rates at the start and at the end, as a share of the peak rates
	PeakFrom  time.Duration // rates rise linearly until then
	PeakTo    time.Duration // rates fall linearly from then on
	Flows     []Flow
	Faults    []Fault
}

// Flow is the traffic of one account on one route. The times between arrivals are
// exponentially distributed, prompt lengths log-uniformly and output lengths
// uniformly.
type Flow struct {
	Name                  string
	Deployment            string // name of the only deployment with this flow; empty for all
	Account               id.Account
	Route                 id.Route
	Rate                  float64 // requests/s at the peak
	PromptLow, PromptHigh int64   // tokens
	OutputLow, OutputHigh int64   // tokens
	OutputLimit           int64   // output limit, tokens
	Prefixes              int64   // number of shared prompt prefixes; 0 for none
	SharedTokens          int64   // length of a shared prefix, tokens
}

// The kinds of faults.
const (
	kindKillHost      = "kill-host"
	kindKillEndpoint  = "kill-endpoint"
	kindPartitionZone = "cut-zone" // a partition from the other zones and from the platform
	kindPlatformDown  = "platform-down"
)

// Fault is a fault that begins at the time At and lasts for ActiveTime.
// Target is the name of a host, endpoint or zone without the prefix of the
// deployment, such as a-1, a-prefill-1 or a. An outage of the platform has no
// target.
type Fault struct {
	Name       string
	Kind       string
	Target     string
	At         time.Duration // since the start of the trace
	ActiveTime time.Duration
}

// LoadTrace reads the embedded trace of that name, or else the file at that path.
func LoadTrace(name string) (Trace, error) {
	data, ok := traces.Read(name)
	if !ok {
		var err error
		if data, err = os.ReadFile(name); err != nil {
			return Trace{}, fmt.Errorf("trace %s: neither a known trace (%v) nor a readable file: %w", name, traces.Names(), err)
		}
	}
	return ParseTrace(name, data)
}

// ParseTrace parses and validates a trace. The path becomes the name of the trace
// and appears in error messages.
func ParseTrace(path string, data []byte) (Trace, error) {
	f, err := inifile.Parse(path, data)
	if err != nil {
		return Trace{}, fmt.Errorf("trace: %w", err)
	}
	t := Trace{Name: path}
	for _, s := range f.Sections() {
		switch s.Kind {
		case "trace":
			if err := t.readTrace(s); err != nil {
				return Trace{}, err
			}
		case "flow":
			t.addFlow(s)
		case "fault":
			t.Faults = append(t.Faults, readFault(s))
		default:
			s.Errorf("", "unknown section kind %q", s.Kind)
			continue
		}
		s.CheckUnknownKeys()
	}
	return t, f.Err()
}

// readTrace reads the section [trace], which must precede the flows. The trace
// inherits the flows of its base trace, but not its faults and times.
func (t *Trace) readTrace(s *inifile.Section) error {
	if base := s.String("base", ""); base != "" {
		b, err := LoadTrace(base)
		if err != nil {
			return err
		}
		t.Flows = b.Flows
	}
	t.Duration = seconds(s, "duration-s", 40)
	t.BaseShare = s.Float("base-share", 1, 0, 1)
	t.PeakFrom = seconds(s, "peak-from-s", 0)
	t.PeakTo = seconds(s, "peak-to-s", t.Duration.Seconds())
	if t.Duration <= 0 || t.PeakFrom > t.PeakTo || t.PeakTo > t.Duration {
		s.Errorf("duration-s", "must be 0 <= peak-from-s <= peak-to-s <= duration-s, and duration-s > 0")
	}
	return nil
}

func seconds(s *inifile.Section, key string, def float64) time.Duration {
	return time.Duration(s.Float(key, def, 0, 3600) * float64(time.Second))
}

// addFlow reads a flow. If an earlier flow has the same name, it is replaced, and
// its values are the defaults of the new one.
func (t *Trace) addFlow(s *inifile.Section) {
	i := slices.IndexFunc(t.Flows, func(f Flow) bool { return f.Name == s.Name })
	if i < 0 {
		i = len(t.Flows)
		t.Flows = append(t.Flows, Flow{Name: s.Name, Account: "large-1", Route: fake.RouteInteractive, PromptLow: 1, OutputLow: 1})
	}
	f := t.Flows[i]
	f.Deployment = s.String("deployment", f.Deployment)
	f.Account = id.Account(s.String("account", string(f.Account)))
	f.Route = id.Route(s.Choice("route", string(f.Route), string(fake.RouteInteractive), string(fake.RouteDeferrable)))
	f.Rate = s.Float("requests-per-s", f.Rate, 0, 1e5)
	f.PromptLow = s.Int("prompt-low", f.PromptLow, 1)
	f.PromptHigh = s.Int("prompt-high", max(f.PromptHigh, f.PromptLow), f.PromptLow)
	f.OutputLow = s.Int("output-low", f.OutputLow, 1)
	f.OutputHigh = s.Int("output-high", max(f.OutputHigh, f.OutputLow), f.OutputLow)
	f.OutputLimit = s.Int("limit", max(f.OutputLimit, f.OutputHigh), 1)
	f.Prefixes = s.Int("prefixes", f.Prefixes, 0)
	f.SharedTokens = s.Int("shared-tokens", f.SharedTokens, 0)
	t.Flows[i] = f
}

func readFault(s *inifile.Section) Fault {
	return Fault{
		Name:       s.Name,
		Kind:       s.Choice("kind", "", kindKillHost, kindKillEndpoint, kindPartitionZone, kindPlatformDown),
		Target:     s.String("target", ""),
		At:         seconds(s, "at-s", 0),
		ActiveTime: seconds(s, "for-s", 0),
	}
}

// rateFactor returns the ratio of the rates to the peak rates at a time since the
// start of the trace.
func (t Trace) rateFactor(at time.Duration) float64 {
	switch {
	case at < t.PeakFrom:
		return t.BaseShare + (1-t.BaseShare)*float64(at)/float64(t.PeakFrom)
	case at > t.PeakTo:
		return 1 - (1-t.BaseShare)*float64(at-t.PeakTo)/float64(t.Duration-t.PeakTo)
	}
	return 1
}
