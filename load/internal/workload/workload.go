// Package workload reads the description of a load from an INI file and derives
// its requests from a seed.
//
// Arrivals of a flow are a Poisson process. Prompt and output lengths are in
// tokens; a token is one word of the prompt.
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

// Workload describes the load of one run: latency targets, accounts and flows.
type Workload struct {
	Targets  Targets
	Accounts map[string]string // account -> API key; empty on open routes
	Flows    []Flow
}

// Targets are the latency targets. A request is good if its response is
// complete, its time to first token is at most FirstToken, and the mean time
// between its tokens is at most BetweenTokens.
type Targets struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Range is an inclusive range of integers.
type Range struct{ Low, High int64 }

// Flow is the traffic of one account on one route.
type Flow struct {
	Name                 string
	Account              string
	Route                string
	Kind                 string
	Rate                 float64       // mean requests per second; arrivals are a Poisson process
	Start                time.Duration // since the start of the run
	End                  time.Duration // since the start of the run; 0 is the end of the run
	Targets              Targets
	PromptTokens         Range
	SharedTokens         int64 // leading prompt tokens that all requests of the flow share
	MaxTokens            Range
	Path                 string  // of service calls, relative to the route
	RepeatUnknownShare   float64 // share of service calls without a definite result that are sent again
	RepeatCompletedShare float64 // share of completed service calls that are sent again
}

// The default latency targets.
const (
	defaultFirstToken    = 570 * time.Millisecond
	defaultBetweenTokens = 51 * time.Millisecond
)

// Load reads and validates the workload file at path.
func Load(path string) (Workload, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return Workload{}, err
	}
	return read(f)
}

// Parse reads and validates the content of a workload file. The path only
// appears in error messages.
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
		s.CheckUnknownKeys()
	}
	return w, f.Err()
}

func readTargets(s *inifile.Section, fallback Targets) Targets {
	return Targets{
		FirstToken:    s.Millis("first-token-ms", fallback.FirstToken),
		BetweenTokens: s.Millis("between-tokens-ms", fallback.BetweenTokens),
	}
}

// readFlow reads a flow. The section of its account must precede it in the file.
func readFlow(s *inifile.Section, w Workload) Flow {
	f := Flow{
		Name:                 s.Name,
		Account:              s.String("account", ""),
		Route:                s.String("route", ""),
		Kind:                 s.Choice("kind", KindCompletion, KindCompletion, KindService),
		Rate:                 s.Float("requests-per-s", 1, 0.001, 1e5),
		Start:                seconds(s, "start-s"),
		End:                  seconds(s, "end-s"),
		Targets:              readTargets(s, w.Targets),
		PromptTokens:         readRange(s, "prompt-tokens", Range{50, 50}),
		SharedTokens:         s.Int("shared-prompt-tokens", 0, 0),
		MaxTokens:            readRange(s, "max-tokens", Range{64, 64}),
		Path:                 s.String("path", "/"),
		RepeatUnknownShare:   s.Float("repeat-share", 0, 0, 1),
		RepeatCompletedShare: s.Float("repeat-done-share", 0, 0, 1),
	}
	if _, ok := w.Accounts[f.Account]; !ok {
		s.Errorf("account", "account %q is not defined above this flow", f.Account)
	}
	if f.Route == "" {
		s.Errorf("route", "route is missing")
	}
	if !strings.HasPrefix(f.Path, "/") {
		s.Errorf("path", "path = %s: must start with a slash", f.Path)
	}
	if f.End != 0 && f.End <= f.Start {
		s.Errorf("end-s", "end-s must be greater than start-s")
	}
	return f
}

func seconds(s *inifile.Section, key string) time.Duration {
	return time.Duration(s.Float(key, 0, 0, 1e6) * float64(time.Second))
}

// readRange parses "N" or "LOW-HIGH" with 1 <= LOW <= HIGH.
func readRange(s *inifile.Section, key string, fallback Range) Range {
	text := s.String(key, "")
	if text == "" {
		return fallback
	}
	lowText, highText, ok := strings.Cut(text, "-")
	if !ok {
		highText = lowText
	}
	low, err1 := strconv.ParseInt(strings.TrimSpace(lowText), 10, 32)
	high, err2 := strconv.ParseInt(strings.TrimSpace(highText), 10, 32)
	if err1 != nil || err2 != nil || low < 1 || high < low {
		s.Errorf(key, "%s = %s: must be N or LOW-HIGH, at least 1", key, text)
		return fallback
	}
	return Range{low, high}
}
