// Package workload reads the description of a load and derives its requests.
package workload

import (
	"strconv"
	"strings"
	"time"

	"ragwortshunt.example/standin/inifile"
)

// The kinds of flows.
const (
	KindCompletion = "completion"
	KindService    = "service"
)

// Workload is one load on the system.
type Workload struct {
	Targets  Targets
	Accounts map[string]string // account -> caller key; empty on open routes
	Flows    []Flow
}

// Targets are the latency targets. A request is good if it is whole, its first
// token arrives in time, and the mean time between its tokens is within bounds.
type Targets struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Range is a range of whole numbers, both ends included.
type Range struct{ Low, High int64 }

// Flow is the traffic of one account on one route.
type Flow struct {
	Name         string
	Account      string
	Route        string
	Kind         string
	Rate         float64       // requests per second; arrivals are random
	Start        time.Duration // since the start of the run
	End          time.Duration // since the start of the run; 0 is the end of the run
	Targets      Targets
	PromptTokens Range
	SharedTokens int64 // leading prompt tokens that all requests of the flow share
	MaxTokens    Range
	Path         string  // service calls: path below the route
	RepeatShare  float64 // share of calls with an unknown result that are repeated
	RepeatDone   float64 // share of completed calls that are repeated
}

// The targets of workloads that set none.
const (
	defaultFirstToken    = 570 * time.Millisecond
	defaultBetweenTokens = 51 * time.Millisecond
)

// Load reads and checks the workload file at path.
func Load(path string) (Workload, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return Workload{}, err
	}
	return read(f)
}

// Parse reads and checks data. Errors name it by path.
func Parse(path string, data []byte) (Workload, error) {
	f, err := inifile.Parse(path, data)
	if err != nil {
		return Workload{}, err
	}
	return read(f)
}

func read(f *inifile.File) (Workload, error) {
	w := Workload{
		Targets:  Targets{FirstToken: defaultFirstToken, BetweenTokens: defaultBetweenTokens},
		Accounts: map[string]string{},
	}
	for _, s := range f.Sections() {
		switch s.Kind {
		case "targets":
			w.Targets = readTargets(s, w.Targets)
		case "account":
			w.Accounts[s.Name] = s.String("key", "")
		case "flow":
			w.Flows = append(w.Flows, readFlow(s, w))
		default:
			s.Errorf("", "unknown section kind %q", s.Kind)
			continue
		}
		s.Done()
	}
	return w, f.Err()
}

func readTargets(s *inifile.Section, def Targets) Targets {
	return Targets{
		FirstToken:    s.Millis("first-token-ms", def.FirstToken),
		BetweenTokens: s.Millis("between-tokens-ms", def.BetweenTokens),
	}
}

// readFlow reads a flow. Its account stands above it in the file.
func readFlow(s *inifile.Section, w Workload) Flow {
	f := Flow{
		Name:         s.Name,
		Account:      s.String("account", ""),
		Route:        s.String("route", ""),
		Kind:         s.Choice("kind", KindCompletion, KindCompletion, KindService),
		Rate:         s.Float("requests-per-s", 1, 0.001, 1e5),
		Start:        seconds(s, "start-s"),
		End:          seconds(s, "end-s"),
		Targets:      readTargets(s, w.Targets),
		PromptTokens: readRange(s, "prompt-tokens", Range{50, 50}),
		SharedTokens: s.Int("shared-prompt-tokens", 0, 0),
		MaxTokens:    readRange(s, "max-tokens", Range{64, 64}),
		Path:         s.String("path", "/"),
		RepeatShare:  s.Float("repeat-share", 0, 0, 1),
		RepeatDone:   s.Float("repeat-done-share", 0, 0, 1),
	}
	if _, ok := w.Accounts[f.Account]; !ok {
		s.Errorf("account", "no account %q above this flow", f.Account)
	}
	if f.Route == "" {
		s.Errorf("route", "route is missing")
	}
	if !strings.HasPrefix(f.Path, "/") {
		s.Errorf("path", "path = %s: want a leading slash", f.Path)
	}
	if f.End != 0 && f.End <= f.Start {
		s.Errorf("end-s", "end-s must be above start-s")
	}
	return f
}

func seconds(s *inifile.Section, key string) time.Duration {
	return time.Duration(s.Float(key, 0, 0, 1e6) * float64(time.Second))
}

// readRange reads "N" or "LOW-HIGH".
func readRange(s *inifile.Section, key string, def Range) Range {
	text := s.String(key, "")
	if text == "" {
		return def
	}
	lowText, highText, ok := strings.Cut(text, "-")
	if !ok {
		highText = lowText
	}
	low, err1 := strconv.ParseInt(strings.TrimSpace(lowText), 10, 32)
	high, err2 := strconv.ParseInt(strings.TrimSpace(highText), 10, 32)
	if err1 != nil || err2 != nil || low < 1 || high < low {
		s.Errorf(key, "%s = %s: want N or LOW-HIGH, at least 1", key, text)
		return def
	}
	return Range{low, high}
}
