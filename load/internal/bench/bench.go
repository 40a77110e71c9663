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

// ErrUnknown tells that a deployment or variant does not exist.
var ErrUnknown = errors.New("unknown name")

// Arguments are the arguments of the subcommand bench. Empty lists stand for
// everything.
type Arguments struct {
	Traces      []string // names or paths
	Deployments []string
	Variants    []string
	Seeds       []uint64
	Workers     int
	Explain     int    // missed requests of each cause that are explained
	Out         string // directory of the JSON report and the plots; empty for none
	Table       io.Writer
}

// quickTraces and quickVariants are what a quick run covers.
var (
	quickTraces   = []string{"morning", "evening"}
	quickVariants = []string{"round-robin", "least-load", nameDesign}
)

// Quick cuts the arguments that are not set to a short run.
func (a *Arguments) Quick() {
	if len(a.Traces) == 0 {
		a.Traces = quickTraces
	}
	if len(a.Variants) == 0 {
		a.Variants = quickVariants
	}
}

// Command runs all cases, prints the tables and writes the report and the plots.
func Command(ctx context.Context, args Arguments) error {
	cases, err := args.cases()
	if err != nil {
		return err
	}
	results, err := runAll(ctx, cases, args.Workers)
	if err != nil {
		return err
	}
	rows := average(results)
	if err := writeTables(args.Table, rows); err != nil {
		return err
	}
	for _, r := range results {
		for _, text := range r.Examples {
			fmt.Fprintf(args.Table, "\n%s, %s, %s, seed %d: %s", r.Deployment, r.Trace, r.Variant, r.Seed, text)
		}
	}
	if args.Out == "" {
		return nil
	}
	return writeFiles(args.Out, rows, results)
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
	variants, err := choose(Variants(), a.Variants, func(v Variant) string { return v.Name })
	if err != nil {
		return nil, err
	}
	deployments, err := choose(Deployments(), a.Deployments, func(d fake.Deployment) string { return d.Name })
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

// choose returns the elements with the given names, or all if there are none.
func choose[T any](all []T, names []string, nameOf func(T) string) ([]T, error) {
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

// runAll runs the cases with several workers. The results are in the order of
// the cases.
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
