// Package slopes measures how the cost of one host grows with the number of
// requests, tokens, accounts, peers, endpoints and configuration changes. Each
// figure is measured at several sizes and fitted with a line, from which
// docs/CAPACITY.md extrapolates the cost at the target size.
//
// Times are wall-clock times of single-threaded code, as the median of several
// rounds. All other figures (messages, bytes, calls, memory) do not depend on the
// speed of the machine.
package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"
)

// ErrMeasurement is wrapped by every error of this package: an unknown group, a
// failed measurement or a failed write of the result.
var ErrMeasurement = errors.New("slopes")

// experiment measures one named group of figures.
type experiment struct {
	name string
	run  func() ([]series, error)
}

func experiments() []experiment {
	return []experiment{
		{"wire", wireSeries},
		{"tick", tickSeries},
		{"request", requestSeries},
		{"heartbeat", heartbeatSeries},
		{"memory", memorySeries},
		{"table", tableSeries},
		{"claims", claimSeries},
		{"platform", platformSeries},
		{"fanout", fanOutSeries},
	}
}

// Command returns the subcommand slopes, which prints the figures and their fits.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure what a router costs per request, token, account, peer and change",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "only", Usage: "measure only these `GROUPS`: " + groupNames()},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return run(c.Root().Writer, c.StringSlice("only"))
		},
	}
}

func groupNames() string {
	out := ""
	for i, e := range experiments() {
		if i > 0 {
			out += ", "
		}
		out += e.name
	}
	return out
}

// run measures the named groups, or all of them, and writes the figures to w.
func run(w io.Writer, only []string) error {
	for _, name := range only {
		known := slices.ContainsFunc(experiments(), func(e experiment) bool { return e.name == name })
		if !known {
			return fmt.Errorf("%w: no group %q; there are %s", ErrMeasurement, name, groupNames())
		}
	}
	for _, e := range experiments() {
		if len(only) > 0 && !slices.Contains(only, e.name) {
			continue
		}
		if err := runExperiment(w, e); err != nil {
			return err
		}
	}
	return nil
}

func runExperiment(w io.Writer, e experiment) error {
	all, err := e.run()
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrMeasurement, e.name, err)
	}
	for _, s := range all {
		if err := s.write(w); err != nil {
			return fmt.Errorf("%w: %w", ErrMeasurement, err)
		}
	}
	return nil
}
