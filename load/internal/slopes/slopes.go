// Package slopes measures how the costs of one host grow with requests, tokens,
// accounts, peers, endpoints and configuration changes. Each figure is measured
// at several sizes and fitted with a line, from which docs/CAPACITY.md works out
// the cost at the target size.
//
// Times are wall times of single-threaded code, as the median of several rounds.
// Everything else (messages, bytes, calls, memory) does not depend on the speed
// of the machine.
package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"
)

// ErrSlopes tells that a measurement could not be made.
var ErrSlopes = errors.New("slopes")

// experiment measures one group of figures.
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

// Command returns the subcommand slopes.
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
			return fmt.Errorf("%w: no group %q; there are %s", ErrSlopes, name, groupNames())
		}
	}
	for _, e := range experiments() {
		if len(only) > 0 && !slices.Contains(only, e.name) {
			continue
		}
		if err := runOne(w, e); err != nil {
			return err
		}
	}
	return nil
}

func runOne(w io.Writer, e experiment) error {
	all, err := e.run()
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrSlopes, e.name, err)
	}
	for _, s := range all {
		if err := s.write(w); err != nil {
			return fmt.Errorf("%w: %w", ErrSlopes, err)
		}
	}
	return nil
}
