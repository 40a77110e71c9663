package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/load/traces"
)

// ErrUnknown is returned for the name of a deployment or variant that does not
// exist.
var ErrUnknown = errors.New("unknown name")

// Arguments are the arguments of the subcommand bench. An empty list of traces,
// deployments or variants selects all of them. Seeds has no default: without a
// seed nothing runs.
type Arguments struct {
	Traces      []string // names or paths
	Deployments []string
	Variants    []string
	Seeds       []uint64
	Workers     int
	Explain     int    // number of missed requests per cause whose steps are printed, per run
	OutputDir   string // directory for the JSON report and the plots; empty writes neither
	Table       io.Writer
}

// quickTraces and quickVariants are the defaults of a quick run.
var (
	quickTraces   = []string{"morning", "evening"}
	quickVariants = []string{"round-robin", "least-load", designVariant}
)

// SetQuickDefaults limits traces and variants to those of a quick run unless they
// are set.
func (a *Arguments) SetQuickDefaults() {
	if len(a.Traces) == 0 {
		a.Traces = quickTraces
	}
	if len(a.Variants) == 0 {
		a.Variants = quickVariants
	}
}

// Command runs every combination of trace, deployment, variant and seed, prints
// the tables and writes the report and the plots.
func Command(ctx context.Context, args Arguments) error {
	cases, err := args.cases()
	if err != nil {
		return err
	}
	results, err := runAll(ctx, cases, args.Workers)
	if err != nil {
		return err
	}
	rows := averageBySeeds(results)
	if err := writeTables(args.Table, rows); err != nil {
		return err
	}
	for _, r := range results {
		for _, text := range r.Explanations {
			fmt.Fprintf(args.Table, "\n%s, %s, %s, seed %d: %s", r.Deployment, r.Trace, r.Variant, r.Seed, text)
		}
	}
	if args.OutputDir == "" {
		return nil
	}
	return writeFiles(args.OutputDir, rows, results)
}

func writeFiles(dir string, rows []Row, results []Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create output directory: %w", err)
	}
	report := struct {
		Rows []Row    `json:"rows"`
		Runs []Result `json:"runs"`
	}{rows, results}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "bench.json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return writePlots(dir, rows)
}

func (a Arguments) cases() ([]Case, error) {
	names := a.Traces
	if len(names) == 0 {
		names = traces.Names()
	}
	variants, err := selectByName(Variants(), a.Variants, func(v Variant) string { return v.Name })
	if err != nil {
		return nil, err
	}
	deployments, err := selectByName(Deployments(), a.Deployments, func(d fake.Deployment) string { return d.Name })
	if err != nil {
		return nil, err
	}
	var out []Case
	for _, name := range names {
		t, err := LoadTrace(name)
		if err != nil {
			return nil, err
		}
		for _, d := range deployments {
			for _, v := range variants {
				for _, seed := range a.Seeds {
					out = append(out, Case{Trace: t, Deployment: d, Variant: v, Seed: seed, Explain: a.Explain})
				}
			}
		}
	}
	return out, nil
}

// selectByName returns the elements with the given names, in the order of the
// names, or all elements if names is empty.
func selectByName[T any](all []T, names []string, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	for _, name := range names {
		i := slices.IndexFunc(all, func(x T) bool { return nameOf(x) == name })
		if i < 0 {
			return nil, fmt.Errorf("%w: %s", ErrUnknown, name)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// runAll runs the cases on several workers, at least one. The results are in the
// order of the cases. After ctx is done, no further case starts.
func runAll(ctx context.Context, cases []Case, workers int) ([]Result, error) {
	results := make([]Result, len(cases))
	errs := make([]error, len(cases))
	next := make(chan int)
	var wg sync.WaitGroup
	for range max(1, workers) {
		wg.Go(func() {
			for i := range next {
				results[i], errs[i] = cases[i].Run()
			}
		})
	}
	for i := range cases {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	wg.Wait()
	return results, errors.Join(append(errs, ctx.Err())...)
}
