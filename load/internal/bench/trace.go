// Package bench replays fixed traces through the decision cores of a whole
// deployment and compares variants of the policy.
//
// All variants of a run get the same requests at the same times. A run depends
// on nothing but the trace, the deployment, the variant and the seed.
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
	BaseShare float64       // of the rates at the begin and the end
	PeakFrom  time.Duration // rates rise until then
	PeakTo    time.Duration // rates fall from then
	Flows     []Flow
	Faults    []Fault
}

// Flow is the traffic of one account on one route. Gaps are exponential, prompt
// lengths log-uniform and output lengths uniform.
type Flow struct {
	Name                  string
	Deployment            string // empty for all
	Account               id.Account
	Route                 id.Route
	Rate                  float64 // requests/s at the peak
	PromptLow, PromptHigh int64   // tokens
	OutputLow, OutputHigh int64   // tokens
	Limit                 int64   // output limit, tokens
	Prefixes              int64   // number of prefixes that requests share; 0 is none
	Shared                int64   // length of a shared prefix, tokens
}

// The kinds of faults.
const (
	kindKillHost     = "kill-host"
	kindKillEndpoint = "kill-endpoint"
	kindCutZone      = "cut-zone" // from the other zones and from the platform
	kindPlatformDown = "platform-down"
)

// Fault is one fault. Target is the name of a host, endpoint or zone without the
// name of the deployment, such as a-1, a-prefill-1 or a.
type Fault struct {
	Name   string
	Kind   string
	Target string
	At     time.Duration // since the start of the trace
	For    time.Duration
}

// LoadTrace reads the trace of that name, or else the file at that path.
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

// ParseTrace reads a trace. Errors name it by path.
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
		s.Done()
	}
	return t, f.Err()
}

// readTrace reads the section that stands first. The flows of a base trace are
// taken over.
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
		s.Errorf("duration-s", "want 0 <= peak-from-s <= peak-to-s <= duration-s")
	}
	return nil
}

func seconds(s *inifile.Section, key string, def float64) time.Duration {
	return time.Duration(s.Float(key, def, 0, 3600) * float64(time.Second))
}

// addFlow reads a flow. It replaces an earlier one of the same name, which sets
// its defaults.
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
	f.Limit = s.Int("limit", max(f.Limit, f.OutputHigh), 1)
	f.Prefixes = s.Int("prefixes", f.Prefixes, 0)
	f.Shared = s.Int("shared-tokens", f.Shared, 0)
	t.Flows[i] = f
}

func readFault(s *inifile.Section) Fault {
	return Fault{
		Name:   s.Name,
		Kind:   s.Choice("kind", "", kindKillHost, kindKillEndpoint, kindCutZone, kindPlatformDown),
		Target: s.String("target", ""),
		At:     seconds(s, "at-s", 0),
		For:    seconds(s, "for-s", 0),
	}
}

// level returns the share of the peak rates at a time since the start.
func (t Trace) level(at time.Duration) float64 {
	switch {
	case at < t.PeakFrom:
		return t.BaseShare + (1-t.BaseShare)*float64(at)/float64(t.PeakFrom)
	case at > t.PeakTo:
		return 1 - (1-t.BaseShare)*float64(at-t.PeakTo)/float64(t.Duration-t.PeakTo)
	}
	return 1
}
